"""Heartbeats between the routers of the fleet."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.membership import Member, Membership, PeerState
from carawayfold.protocol.datagrams import Beat
from carawayfold.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.protocol.sources import PeerEntry
    from carawayfold.state.ids import DataCentreId, RouterId
    from carawayfold.transport.datagrams import PeerSocket

logger = logbook.Logger(__name__)

#: Seconds between heartbeats in a small fleet.
BEAT_INTERVAL = 0.15
#: Seconds added to the interval for each peer, so that what a router sends and
#: takes for heartbeats stays the same from some twenty routers on.
BEAT_INTERVAL_PER_PEER = 0.005
#: Intervals without a heartbeat after which a peer is taken for dead; at 3 % loss
#: a live one is mistaken once in a million intervals.
SILENT_BEATS = 4
#: Seconds after which the entry of a silent router is no longer called.
FORGET_AFTER = 60.0


class Fleet:
    """The routers that this one hears.

    Parameters
    ----------
    socket : PeerSocket
        Where heartbeats go out.
    own : Member
        This router.
    beat : callable
        Returns the heartbeat to send.
    on_change : callable
        Called when a router came, went or began to stop.
    """

    def __init__(
        self,
        socket: PeerSocket,
        own: Member,
        beat: Callable[[], Beat],
        on_change: Callable[[], None],
    ) -> None:
        self.socket = socket
        self.own = own
        self.beat = beat
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.membership = Membership(own, self.loop.time, SILENT_BEATS * BEAT_INTERVAL)
        self.addresses: dict[RouterId, Address] = {}
        self.beats: dict[RouterId, Beat] = {}
        #: Who decides on which subject, until the members change.
        self.deciding: dict[str, RouterId] = {}
        #: When each router was last listed or heard, to stop calling lost ones.
        self.seen: dict[RouterId, float] = {}
        #: Set once the routers' entries have been read.
        self.listed = asyncio.Event()

    @property
    def interval(self) -> float:
        """Return the seconds between heartbeats."""
        return BEAT_INTERVAL + BEAT_INTERVAL_PER_PEER * max(0, len(self.addresses) - 8)

    def learn(self, entry: PeerEntry) -> None:
        """Take the entry of a router."""
        if entry.router == self.own.router:
            return
        address = Address(entry.host, entry.port)
        if self.addresses.get(entry.router) != address:
            self.addresses[entry.router] = address
            self.seen[entry.router] = self.loop.time()
            self.socket.send(address, self.beat())

    def take(self, datagram: Datagram, source: Address) -> None:
        """Note whom a datagram is from, and its heartbeat."""
        router = datagram.sender
        self.addresses[router] = source
        self.seen[router] = self.loop.time()
        for message in datagram.messages:
            if type(message) is Beat:
                self._take_beat(router, datagram.incarnation, message)

    def _take_beat(self, router: RouterId, incarnation: int, beat: Beat) -> None:
        self.beats[router] = beat
        known = self.membership.members.get(router)
        before = known.state if known is not None else None
        if known is None or known.incarnation != incarnation:
            self.membership.joined(
                router, beat.data_centre, incarnation, beat.processor
            )
        self.membership.heard(router, beat.stopping)
        after = self.membership.members[router].state
        if after is not before:
            logger.info("router heard", extra={"router": router, "state": after.value})
            self._changed()

    async def keep_beating(self) -> None:
        """Send heartbeats for ever and notice who falls silent."""
        while True:
            before = self.loop.time()
            await asyncio.sleep(self.interval)
            paused = self.loop.time() - before - self.interval
            self.tick(paused)

    def tick(self, paused: float = 0.0) -> None:
        """Send one heartbeat to each peer and drop silent ones.

        Parameters
        ----------
        paused : float
            Seconds for which this process itself stood still; peers are not silent
            because of that.
        """
        beat = self.beat()
        self.socket.broadcast(self.addresses.values(), beat)
        self.membership.silence_limit = SILENT_BEATS * self.interval + max(0.0, paused)
        lost = self.membership.expire()
        for router in lost:
            self.beats.pop(router, None)
            logger.info("router silent", extra={"router": router})
        self._forget()
        if lost:
            self._changed()

    def _forget(self) -> None:
        oldest = self.loop.time() - FORGET_AFTER
        for router, seen in list(self.seen.items()):
            if seen < oldest:
                del self.seen[router]
                self.addresses.pop(router, None)
        self.membership.forget_before(FORGET_AFTER)

    def send(self, router: RouterId, message: Message) -> bool:
        """Send a message to a router; return whether its address is known."""
        address = self.addresses.get(router)
        if address is not None:
            self.socket.send(address, message)
        return address is not None

    def live(self) -> list[Member]:
        """Return the routers that take new work, this one included."""
        return self.membership.live()

    def responsible(self, subject: str) -> RouterId:
        """Return the router that decides on `subject`."""
        known = self.deciding.get(subject)
        if known is None:
            known = self.deciding[subject] = self.membership.responsible(subject)
        return known

    def _changed(self) -> None:
        self.deciding.clear()
        self.on_change()

    def pick_known(self) -> RouterId:
        """Return any router whose address is known, heard or not."""
        return random.choice(list(self.addresses))

    def near(self, data_centre: DataCentreId) -> list[Member]:
        """Return the live routers of a data centre."""
        return [item for item in self.live() if item.data_centre == data_centre]

    def tell_near(self) -> None:
        """Send a heartbeat now to the routers of this data centre."""
        beat = self.beat()
        for member in self.near(self.own.data_centre):
            if member.router in self.addresses:
                self.socket.send(self.addresses[member.router], beat)

    def stop(self) -> None:
        """Tell the peers that this router takes no new work."""
        self.own.state = PeerState.STOPPING
        self.tick()
        self._changed()
