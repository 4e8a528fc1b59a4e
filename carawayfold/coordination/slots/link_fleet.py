"""Messages between routers over links, with the interface of `Fleet`.

Used for verdicts on contents where routers serve the product's own interface.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawayfold.protocol.datagrams import Datagram, decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.fleet.membership import Membership
    from carawayfold.coordination.slots.exchange import Exchange
    from carawayfold.protocol.datagrams import Message
    from carawayfold.state.ids import RouterId
    from carawayfold.transport.links import Link


class LinkFleet:
    """Sends messages over the links between routers, without loss while a link is open.

    Parameters
    ----------
    exchange : Exchange
        Owns the links.
    membership : Membership
        The live routers.
    """

    def __init__(self, exchange: Exchange, membership: Membership) -> None:
        self.exchange = exchange
        self.membership = membership
        self.own = membership.own
        self.loop = asyncio.get_running_loop()

    def responsible(self, subject: str) -> RouterId:
        """Return the router responsible for a subject."""
        return self.membership.responsible(subject)

    def send(self, router: RouterId, message: Message) -> bool:
        """Send a message to a router; return whether it is linked."""
        link = self.exchange.links.get(router)
        if link is None or router == self.own.router:
            return False
        self.send_on(link, message)
        return True

    def send_on(self, link: Link, message: Message) -> None:
        """Send a message on a link."""
        frame = self.exchange.new_frame()
        datagram = Datagram(self.own.router, self.own.incarnation, [message])
        frame.messages.append(encode(datagram))
        link.send(frame)

    def send_to_all(self, message: Message) -> None:
        """Send a message to every linked router."""
        for router in list(self.exchange.links):
            self.send(router, message)

    def forward_recipients(self, sender: RouterId) -> list[RouterId]:
        """Return no routers: messages reach all linked routers directly."""
        return []


def take_messages(data: list[bytes], take: Callable[[Datagram], None]) -> None:
    """Decode the messages of a frame and pass them to a handler.

    Parameters
    ----------
    data : list of bytes
        Encoded datagrams.
    take : callable
        Handles one datagram.

    Raises
    ------
    ValueError
        If one of them cannot be decoded.
    """
    for item in data:
        take(decode(item))
