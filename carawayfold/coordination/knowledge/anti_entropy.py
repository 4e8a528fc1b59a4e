"""Anti-entropy: fetches records from peers that this router lacks.

Heartbeats carry the versions and offsets of each peer. A router that starts fetches
everything.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.fleet.readers import MAX_ROUTERS_ALL_READ, is_reader
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.state.evacuations import EvacuationSnapshot
from carawayfold.state.progress import is_newer
from carawayfold.state.routes import RouteTable
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.datagrams import Heartbeat
    from carawayfold.settings import Address
    from carawayfold.state.ids import Position, RouterId
    from carawayfold.transport.client import HttpClient

logger = logbook.Logger(__name__)

#: Seconds for which a router that starts in a large fleet tries to fetch everything
#: from peers before it reads the store. Hubs that started at the same time, on equally
#: slow instances, have read the store by then.
BOOTSTRAP_TIMEOUT = 2.0
#: Seconds that such a router first waits for the list of routers. The two store calls
#: that this needs take some ten milliseconds.
LISTING_TIMEOUT = 0.3
#: Seconds between fetches from peers within `BOOTSTRAP_TIMEOUT`.
BOOTSTRAP_INTERVAL = 0.2
#: Seconds for which a router that fetched everything from a peer does not read the
#: store. It learns from heartbeats which routers are readers; two heartbeat intervals
#: of a large fleet are enough.
READ_DEFER_DURATION = 1.2
#: Routers of a data centre that read the store at startup on behalf of the others.
INITIAL_READER_COUNT = 2
#: Seconds between checks whether a peer has newer records.
POLL_INTERVAL = 0.25
#: Seconds that a router which reads the store waits for its own read before it fetches
#: records from a peer. A read that succeeds takes some hundredths of a second.
OWN_READ_GRACE_DURATION = 0.3
#: Seconds within which a peer must answer a fetch.
FETCH_TIMEOUT = 0.4
#: Seconds for which a peer that did not answer, or had no records, is asked only if no
#: other peer is ahead of this router. After that time its silence is detected by
#: missing heartbeats.
UNRESPONSIVE_DURATION = 2.5
#: Seconds added to each age that a peer reports, for transit and event loop delay.
#: Without it an age that circulates among routers, none of which reads the store, would
#: lose that delay at each hop and hardly grow.
HOP_DELAY = 0.01
#: Seconds between calls to a store that does not answer, per router of a fleet in
#: which a few routers read for the others. The first router that is answered informs
#: the others.
NO_ANSWER_DELAY_PER_ROUTER = 0.05
CONFIGURATION_PATH = "/configuration"
ENDPOINTS_PATH = "/endpoints"
EVACUATIONS_PATH = "/evacuations"


class AntiEntropy:
    """Fetches records from peers that this router has not read from the store.

    Parameters
    ----------
    fleet : Fleet
        The peers and their heartbeats.
    knowledge : Knowledge
        The records that this router has.
    http : HttpClient
        Client for fetches from peers.
    """

    def __init__(self, fleet: Fleet, knowledge: Knowledge, http: HttpClient) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.http = http
        #: Loop time before which this router does not read the store.
        self.reads_deferred_until = 0.0
        #: Loop time at which this router last had all records of the store.
        self.known_at = knowledge.store.registrations
        #: Loop time since which a peer has had newer registrations; None if none has.
        self.behind_since: float | None = None
        #: Loop time until which each peer that did not answer, or had no records, is
        #: ranked last.
        self.unresponsive_until: dict[RouterId, float] = {}
        #: Set while this router should read registrations from the store.
        self.reading = asyncio.Event()
        #: The same for the operators' records: one of the two topics may not answer.
        self.reading_operators = asyncio.Event()
        #: Set to poll peers at once rather than after the usual interval.
        self.wake_requested = asyncio.Event()

    async def bootstrap(self) -> None:
        """Fetch all records from peers when a router of a large fleet starts.

        Ends without result after `BOOTSTRAP_TIMEOUT`, or at once in a small fleet. The
        router then reads the store.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LISTING_TIMEOUT):
                await self.fleet.listed.wait()
        except TimeoutError:
            logger.info("list of routers not read in time; reading the store")
            return
        end = loop.time() + BOOTSTRAP_TIMEOUT
        if self.fleet.own.router in self._initial_readers():
            return
        while len(self.fleet.addresses) >= MAX_ROUTERS_ALL_READ and loop.time() < end:
            await self._fetch_missing(self._pick_informed_peer())
            if self.knowledge.complete:
                self.reads_deferred_until = loop.time() + READ_DEFER_DURATION
                self._update_reading()
                return
            await asyncio.sleep(BOOTSTRAP_INTERVAL)

    def _initial_readers(self) -> list[RouterId]:
        """Return the routers of this data centre that read the store first."""
        return self.fleet.expected_hubs()[:INITIAL_READER_COUNT]

    def _pick_informed_peer(self) -> RouterId:
        """Return a peer that has records by its heartbeats, or will have them soon."""
        informed = [
            name
            for name, beat in self.fleet.heartbeats.items()
            if beat.configuration is not None
        ]
        expected = informed or self._initial_readers()
        reached = [name for name in expected if name in self.fleet.addresses]
        return random.choice(reached) if reached else self.fleet.random_router()

    async def _fetch_missing(self, router: RouterId) -> None:
        if self.knowledge.routes is None:
            await self._fetch(router, CONFIGURATION_PATH)
        if not self.knowledge.listed:
            await self._fetch(router, ENDPOINTS_PATH)
        if not self.knowledge.evacuations.known:
            await self._fetch(router, EVACUATIONS_PATH)

    def registrations_age(self) -> float:
        """Return the age in seconds of the registrations that this router has."""
        known = self.knowledge

        def is_ahead(beat: Heartbeat) -> bool:
            ahead = is_newer(beat.configuration, known.version)
            return ahead or is_newer(
                beat.endpoints_offset, known.registrations_position
            )

        own = asyncio.get_running_loop().time() - known.store.registrations
        return self._age(own, is_ahead, lambda beat: beat.store_age)

    def operators_age(self) -> float:
        """Return the age in seconds of the operators' records that this router has."""
        known = self.knowledge

        def is_ahead(beat: Heartbeat) -> bool:
            ahead = is_newer(beat.configuration, known.version)
            return ahead or is_newer(
                beat.evacuations_changed, known.evacuations_position
            )

        return self._age(
            known.operators_age(), is_ahead, lambda beat: beat.operators_age
        )

    def _age(
        self,
        own: float,
        is_ahead: Callable[[Heartbeat], bool],
        reported: Callable[[Heartbeat], int],
    ) -> float:
        """Return the age in seconds of this router's records, from the store or a peer.

        The age reported by a peer with newer records does not apply to the records of
        this router. A reported age increases from the arrival of the heartbeat, not
        from when a hub list named the peer or a role changed; otherwise old records
        would appear to be new, and be reported to others as new.
        """
        now = asyncio.get_running_loop().time()
        ages = [own]
        for name, beat in self.fleet.heartbeats.items():
            if beat.configuration is not None and not is_ahead(beat):
                passed = now - self.fleet.heartbeat_times[name] + HOP_DELAY
                ages.append(passed + reported(beat) / 1000)
        return min(ages)

    def may_read(self) -> bool:
        """Return whether this router should read registrations from the store."""
        return self._may_read(self.registrations_age())

    def _may_read(self, age: float) -> bool:
        if asyncio.get_running_loop().time() < self.reads_deferred_until:
            return False
        return is_reader(self.fleet, age)

    def reads_for_others(self) -> bool:
        """Return whether other routers rely on what this one reads from the store."""
        return self.fleet.size > MAX_ROUTERS_ALL_READ

    def no_answer_delay(self) -> float:
        """Return the delay in seconds before a call after one without an answer."""
        if is_reader(self.fleet, 0.0):
            return 0.0
        return NO_ANSWER_DELAY_PER_ROUTER * self.fleet.size * random.uniform(0.5, 1.5)

    async def wait_for_turn(self) -> None:
        """Wait until this router should read registrations from the store."""
        await self.reading.wait()

    async def wait_for_operators_turn(self) -> None:
        """Wait until this router should read the operators' records from the store."""
        await self.reading_operators.wait()

    def wake(self) -> None:
        """Request a poll of the peers, and an update of the readers, without delay."""
        self.wake_requested.set()

    async def poll_periodically(self) -> None:
        """Poll peers for newer records at regular intervals, without end."""
        while True:
            self._update_reading()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL):
                    await self.wake_requested.wait()
            self.wake_requested.clear()
            self.knowledge.expire()
            await self._poll_peers()

    def _update_reading(self) -> None:
        """Update the age of the records, and whether this router reads the store."""
        age = self.registrations_age()
        self.known_at = asyncio.get_running_loop().time() - age
        for event, record_age in (
            (self.reading, age),
            (self.reading_operators, self.operators_age()),
        ):
            if self._may_read(record_age):
                event.set()
            else:
                event.clear()

    async def _poll_peers(self) -> None:
        known = self.knowledge
        peer = self._most_advanced_peer(lambda beat: beat.configuration, known.version)
        if peer is not None:
            await self._fetch(peer, CONFIGURATION_PATH)
        peer = self._most_advanced_peer(
            lambda beat: _stated_position(beat, beat.evacuations_changed),
            known.evacuations_position,
        )
        if peer is not None:
            await self._fetch(peer, EVACUATIONS_PATH)
        peer = self._most_advanced_peer(
            lambda beat: _stated_position(beat, beat.endpoints_offset),
            known.registrations_position,
        )
        if peer is None:
            self.behind_since = None
        elif self._should_ask_peers():
            await self._fetch(peer, ENDPOINTS_PATH)

    def _most_advanced_peer(
        self, progress: Callable[[Heartbeat], int | None], own: int | None
    ) -> RouterId | None:
        """Return the peer to fetch records newer than `own` from, None if none has any.

        `progress` returns the version or position that a peer states, None for none.
        Peers that recently did not answer, or had no records, come last. Among the
        others the most advanced comes first, and among equals one of this data centre.
        """
        now = asyncio.get_running_loop().time()
        place = self.fleet.own.data_centre
        heartbeats = self.fleet.heartbeats

        def rank(name: RouterId) -> tuple[bool, int, bool]:
            answers = self.unresponsive_until.get(name, now) <= now
            return (
                answers,
                progress(heartbeats[name]),
                heartbeats[name].data_centre == place,
            )

        ahead = [
            name for name, beat in heartbeats.items() if is_newer(progress(beat), own)
        ]
        return max(ahead, key=rank, default=None)

    def _should_ask_peers(self) -> bool:
        """Return whether a router that is behind its peers should fetch from them.

        A router that reads the store waits `OWN_READ_GRACE_DURATION` for its read, but
        not longer: a read that is not answered fails only after seconds.
        """
        now = asyncio.get_running_loop().time()
        if self.behind_since is None:
            self.behind_since = now
        reads = self.reading.is_set() and self.knowledge.store.reachable
        if not reads or not self.knowledge.listed:
            return True
        return now - self.behind_since >= OWN_READ_GRACE_DURATION

    async def _fetch(self, router: RouterId, path: str) -> None:
        address: Address | None = self.fleet.addresses.get(router)
        if address is None:
            return
        try:
            answer = await self.http.fetch(address, "GET", path, timeout=FETCH_TIMEOUT)
            if answer.head.status != 200:
                # It has no such records yet.
                self._rank_last(router)
                return
            self._apply_answer(router, path, answer.body)
        except (
            ExchangeError,
            msgspec.MsgspecError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            # Another program may answer at the address of a router that has ended.
            logger.info(
                "fetching from a peer failed",
                extra={"peer": router, "reason": str(error)},
            )
            self._rank_last(router)
            return
        self.unresponsive_until.pop(router, None)

    def _rank_last(self, router: RouterId) -> None:
        now = asyncio.get_running_loop().time()
        self.unresponsive_until[router] = now + UNRESPONSIVE_DURATION

    def _apply_answer(self, router: RouterId, path: str, body: bytes) -> None:
        if path == CONFIGURATION_PATH:
            self._apply_configuration(router, body)
            return
        if path == EVACUATIONS_PATH:
            evacuations = msgspec.msgpack.decode(body, type=EvacuationSnapshot)
            self.knowledge.merge_evacuations(evacuations, router)
            return
        snapshot = msgspec.msgpack.decode(body, type=EndpointSnapshot)
        self.knowledge.merge_snapshot(snapshot, router)

    def _apply_configuration(self, router: RouterId, body: bytes) -> None:
        table = msgspec.msgpack.decode(body, type=RouteTable)
        if table.is_ambiguous:
            extra = {"peer": router, "version": table.version}
            logger.warning("configuration without a key policy ignored", extra=extra)
            return
        self.knowledge.apply_routes(table, router)


def _stated_position(beat: Heartbeat, position: Position) -> Position | None:
    """Return a position that a peer states, None if it may have no records at all.

    The first position is 0, and so is that of a router without records.
    """
    return position if position or beat.configuration is not None else None
