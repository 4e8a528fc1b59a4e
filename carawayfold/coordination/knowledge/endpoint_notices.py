"""Notices that endpoints give in response headers, and their distribution to peers.

Endpoints may leave while the store does not answer, or answers only some routers. Each
response of such an endpoint says that it leaves, and the router that gets one
broadcasts it. Checksums show which routers have missed a notice, including those that
have just started; they are sent while any endpoint is known to leave.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import logbook
import xxhash

from carawayfold.protocol.datagrams import (
    EndpointsLeavingMessage,
    LeavingChecksumMessage,
)
from carawayfold.state.ids import RouterId

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.protocol.exchanges import ResponseFields
    from carawayfold.state.endpoint_backoffs import EndpointBackoffs
    from carawayfold.state.endpoints import Endpoint

logger = logbook.Logger(__name__)

#: Seconds between checksums.
DIGEST_INTERVAL = 0.5
#: Least seconds between two transfers of all leaving endpoints to the same peer.
MIN_SYNC_INTERVAL = 1.0
#: Endpoints listed in one message, so that it fits into a datagram.
MAX_ENDPOINTS_PER_MESSAGE = 40


class EndpointNotices:
    """Handles notices of endpoints and distributes them to the other routers.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    knowledge : Knowledge
        Holds which endpoints are leaving.
    rests : EndpointBackoffs
        Backoffs that endpoints requested of this router. Other routers may continue
        to send to them.
    """

    def __init__(
        self, fleet: Fleet, knowledge: Knowledge, rests: EndpointBackoffs
    ) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.rests = rests
        self.loop = asyncio.get_running_loop()
        #: Loop time of the last transfer of all leaving endpoints to each peer.
        self.last_sync_at: dict[RouterId, float] = {}

    @property
    def checksum(self) -> int:
        """Return a checksum of the leaving endpoints known here, 0 for none."""
        leaving_endpoints = self.knowledge.endpoints.announced_leaving()
        if not leaving_endpoints:
            return 0
        # 31 bits, so that it is encoded in five bytes.
        return (
            xxhash.xxh3_64_intdigest("\n".join(leaving_endpoints).encode()) >> 33 or 1
        )

    def handle_response(
        self, endpoint: Endpoint, answered: ResponseFields, sent_at: float
    ) -> None:
        """Handle the notices in the head of a response.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint that responded.
        answered : ResponseFields
            The head of the response.
        sent_at : float
            Loop time in seconds at which the request was sent.
        """
        if answered.leaving and self.knowledge.record_leaving(endpoint.id):
            self.fleet.send_to_all(EndpointsLeavingMessage([endpoint.id]))
        if not answered.rest:
            self.rests.answered(endpoint.id, sent_at)
            return
        self.rests.request_backoff(endpoint.id, answered.rest, self.loop.time())
        extra = {"endpoint": endpoint.id, "rest_s": answered.rest}
        logger.info("endpoint asks for rest", extra=extra)

    async def report_periodically(self) -> None:
        """Send checksums at regular intervals while any endpoint is known to leave."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL)
            checksum = self.checksum
            if checksum:
                self.fleet.send_to_all(LeavingChecksumMessage(checksum))

    def take(self, datagram: Datagram) -> None:
        """Handle the messages of a peer."""
        for message in datagram.messages:
            self._handle_message(message, datagram.sender)

    @singledispatchmethod
    def _handle_message(self, message: Message, sender: RouterId) -> None:
        """Handle one message; those of other modules are ignored."""

    @_handle_message.register
    def _(self, message: EndpointsLeavingMessage, sender: RouterId) -> None:
        known = self.knowledge
        new_endpoints = [
            x for x in message.endpoints if known.record_leaving(x, sender)
        ]
        if new_endpoints:
            for router in self.fleet.forward_recipients(sender):
                self.fleet.send(router, EndpointsLeavingMessage(new_endpoints))

    @_handle_message.register
    def _(self, message: LeavingChecksumMessage, sender: RouterId) -> None:
        checksum = self.checksum
        if message.checksum == checksum:
            return
        now = self.loop.time()
        if now - self.last_sync_at.get(sender, -MIN_SYNC_INTERVAL) < MIN_SYNC_INTERVAL:
            return
        self.last_sync_at[sender] = now
        self._send_all(sender)
        if message.checksum:
            # The sets differ: lets the sender reply with the endpoints that it has.
            self.fleet.send(sender, LeavingChecksumMessage(checksum))

    def _send_all(self, router: RouterId) -> None:
        leaving_endpoints = self.knowledge.endpoints.announced_leaving()
        for start in range(0, len(leaving_endpoints), MAX_ENDPOINTS_PER_MESSAGE):
            part = leaving_endpoints[start : start + MAX_ENDPOINTS_PER_MESSAGE]
            self.fleet.send(router, EndpointsLeavingMessage(part))
