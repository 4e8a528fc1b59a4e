"""Keeps the configuration and the endpoints up to date, from the store or peers.

The store may be down, slow, or refuse only some routers, so a router whose peers
know more asks them. A version in force is never replaced by an older one.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.membership import rank
from carawayfold.protocol.sources import (
    HistoryLost,
    PeerEntry,
    QuarantineRecord,
    Registered,
    SourceError,
)
from carawayfold.state.endpoints import Endpoint, EndpointTable
from carawayfold.state.routes import RouteTable
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.fleet import Fleet
    from carawayfold.protocol.datagrams import Beat
    from carawayfold.protocol.sources import (
        Page,
        PeerDirectory,
        Source,
    )
    from carawayfold.settings import Address
    from carawayfold.state.ids import RouterId
    from carawayfold.transport.client import HttpClient

logger = logbook.Logger(__name__)

#: Seconds that a read waits for a new version; a connection that fell silent is
#: found that long and a second later.
CONFIGURATION_WAIT = 2.0
#: Seconds that a read of registrations waits; renewals of a lease add no record.
ENDPOINTS_WAIT = 2.0
#: Seconds between two such reads, so that a whole service that registers at once
#: takes a few reads and not one an endpoint.
ENDPOINTS_PAUSE = 0.1
#: Seconds between looks at the routers' entries. A router that starts writes its own
#: entry before it reads, and calls all others, so two that start together find each
#: other by the later one's read; the looks are for what was lost on the way.
DIRECTORY_INTERVAL = 15.0
#: The same for each known router, so that the calls of a large fleet add up to no
#: more than one a second.
DIRECTORY_INTERVAL_PER_ROUTER = 1.0
#: Seconds for which a router that starts in a large fleet looks for a peer that
#: tells it everything before it reads the store: the hubs that started with it, on
#: instances as slow as its own, have read by then.
ADOPTION_PATIENCE = 2.0
#: Seconds that it waits for the routers' entries before that: two calls of the
#: store take some ten milliseconds.
LISTING_PATIENCE = 0.3
#: Seconds between questions to peers meanwhile.
ADOPTION_INTERVAL = 0.2
#: Seconds for which a router that was told everything does not read the store, until
#: it has heard who the readers are: two heartbeats of a large fleet.
SETTLING = 1.2
#: Routers of a data centre that look after reading the store for the others once
#: there are more than `ALL_READ` routers: the first reads, the next one stands by.
#: While one that is lost is being replaced, the hubs of other data centres tell what
#: theirs have read. At their start all of them read.
READERS = 2
#: Routers up to which each one reads the store for itself.
ALL_READ = 12
#: Seconds between looks of a router whose peers read for it.
READER_INTERVAL = 0.5
#: Milliseconds since the store answered a reader, after which the others read for
#: themselves: a read that waits, and the time until it is given up.
READER_STALE_MS = 3500
#: Seconds before the store is asked again after it failed, twice as long after each
#: further failure, and the most: what comes meanwhile is told by peers, and a store
#: that refuses every call still counts them.
RETRY_WAIT = 0.25
RETRY_WAIT_MOST = 1.0
#: Seconds before the newest records are read after the history was lost, so that a
#: store that loses it again and again is not called without a pause.
HISTORY_WAIT = 0.05
#: Seconds between looks at whether a peer knows more.
RELAY_INTERVAL = 0.25
#: Seconds without an answer of the store after which peers are asked for endpoints:
#: a read that waits, and the time until it is given up.
STORE_SILENCE = 3.2
#: Seconds for a peer's answer.
RELAY_TIMEOUT = 1.0
CONFIGURATION_PATH = "/configuration"
ENDPOINTS_PATH = "/endpoints"


class EndpointSnapshot(msgspec.Struct):
    """Endpoints as one router knows them, for another one."""

    offset: int
    endpoints: list[Endpoint]


class Backoff(msgspec.Struct):
    """Growing pauses between calls of a store that fails."""

    pause: float = RETRY_WAIT

    def reset(self) -> None:
        """Note that a call was answered."""
        self.pause = RETRY_WAIT

    async def wait(self) -> None:
        """Pause, for longer the next time."""
        pause = self.pause
        self.pause = min(RETRY_WAIT_MOST, 2 * pause)
        await asyncio.sleep(pause)


class StoreHealth(msgspec.Struct):
    """How the store answers this router.

    Attributes
    ----------
    answered : float
        Loop time of its last answer.
    reachable : bool
        Whether the last call was answered.
    """

    answered: float = 0.0
    reachable: bool = True


class Knowledge:
    """What this router knows from the store, and its age.

    Parameters
    ----------
    on_routes : callable
        Called with each newer configuration.
    on_endpoints : callable
        Called when the endpoints have changed.
    """

    def __init__(
        self,
        on_routes: Callable[[RouteTable], None],
        on_endpoints: Callable[[], None],
    ) -> None:
        self.on_routes = on_routes
        self.on_endpoints = on_endpoints
        self.loop = asyncio.get_running_loop()
        self.routes: RouteTable | None = None
        self.endpoints = EndpointTable()
        self.listed = False
        self.store = StoreHealth(answered=self.loop.time())

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.routes.version if self.routes is not None else 0

    @property
    def complete(self) -> bool:
        """Return whether requests can be forwarded."""
        return self.routes is not None and self.listed

    def note_answer(self) -> None:
        """Note that the store answered."""
        now = self.loop.time()
        if not self.store.reachable:
            self.store.reachable = True
            self.endpoints.note_outage(now)
            outage = round(now - self.store.answered, 2)
            logger.info("store reachable again", extra={"after_s": outage})
        self.store.answered = now

    def note_failure(self, error: SourceError) -> None:
        """Note that the store did not answer, or refused."""
        self.endpoints.note_outage(self.loop.time())
        if self.store.reachable:
            self.store.reachable = False
            logger.warning("store unreachable", extra={"reason": str(error)})

    def take_routes(self, table: RouteTable, source: str) -> None:
        """Put a configuration in force unless it is older than the one in force."""
        if table.version <= self.version:
            return
        extra = {"version": table.version, "before": self.version, "source": source}
        self.routes = table
        logger.info("configuration in force", extra=extra)
        self.on_routes(table)

    def take_registered(self, page: Page[Registered]) -> None:
        """Apply registrations that were read from the store."""
        now = self.loop.time()
        changed = False
        for item in page.items:
            changed |= self._apply(item, now, page.next)
        self.endpoints.offset = max(self.endpoints.offset, page.next)
        self._settle(changed, now)

    def take_listed(self, page: Page[Registered]) -> None:
        """Take the complete list of registrations."""
        now = self.loop.time()
        listed = [item.endpoint for item in page.items if item.endpoint is not None]
        self._replace_all(listed, now, "store", page.next)
        self.endpoints.offset = max(self.endpoints.offset, page.next)
        self.listed = True
        self._settle(True, now)

    def take_snapshot(self, snapshot: EndpointSnapshot, source: RouterId) -> None:
        """Take a peer's list of endpoints if it has read further."""
        if snapshot.offset <= self.endpoints.offset:
            return
        logger.info(
            "endpoints from a peer",
            extra={"peer": source, "offset": snapshot.offset},
        )
        now = self.loop.time()
        # A peer that the store answers knows what has lapsed and what has left.
        self.endpoints.outage_end = float("-inf")
        self._replace_all(snapshot.endpoints, now, source, snapshot.offset)
        self.endpoints.offset = snapshot.offset
        self.listed = True
        self._settle(True, now)

    def snapshot(self) -> EndpointSnapshot:
        """Return the endpoints for a peer, without times of this process's clock."""
        entries = self.endpoints.entries.values()
        known = [
            msgspec.structs.replace(endpoint, cold_until=0.0) for endpoint in entries
        ]
        return EndpointSnapshot(self.endpoints.offset, known)

    def expire(self) -> None:
        """Drop endpoints whose entry has not come back."""
        gone = self.endpoints.expire(self.loop.time())
        for endpoint in gone:
            extra = {"endpoint": endpoint, "lapsed": True}
            logger.info("endpoint gone", extra=extra)
        if gone:
            self.on_endpoints()

    def _replace_all(
        self, endpoints: list[Endpoint], now: float, source: str, offset: int
    ) -> None:
        """Take a complete list, and log whose state it changes."""
        before = dict(self.endpoints.entries)
        self.endpoints.replace_all(endpoints, now)
        for name, known in self.endpoints.entries.items():
            old = before.get(name)
            if old is None or old.leaving is not known.leaving:
                self._log_registered(known, old is None, source, offset)
        for name in before.keys() - self.endpoints.entries.keys():
            extra = {"endpoint": name, "source": source, "offset": offset}
            logger.info("endpoint gone", extra=extra)

    def _log_registered(
        self, endpoint: Endpoint, new: bool, source: str, offset: int
    ) -> None:
        logger.info(
            "endpoint registered",
            extra={
                "endpoint": endpoint.name,
                "service": endpoint.service,
                "leaving": endpoint.leaving,
                "incarnation": endpoint.incarnation,
                "new": new,
                "source": source,
                "offset": offset,
            },
        )

    def _apply(self, item: Registered, now: float, offset: int) -> bool:
        known = self.endpoints.entries.get(item.name)
        if item.endpoint is None:
            dropped = self.endpoints.remove(item.name, now)
            if dropped:
                extra = {"endpoint": item.name, "source": "store", "offset": offset}
                logger.info("endpoint gone", extra=extra)
            return dropped
        changed = self.endpoints.put(item.endpoint, now)
        if changed:
            self._log_registered(item.endpoint, known is None, "store", offset)
        return changed

    def _settle(self, changed: bool, now: float) -> None:
        if self.endpoints.expire(now) or changed:
            self.on_endpoints()


class Follower:
    """Follows one source of the store for ever.

    Parameters
    ----------
    source : Source
        What to read.
    knowledge : Knowledge
        Told how the store answers.
    on_newest, on_read : callable
        Take what was listed and what was read on.
    wait : float
        Seconds that a read waits.
    may_read : callable
        Returns whether this router should read the store at all.
    pause : float
        Seconds between two reads.
    """

    def __init__(
        self,
        source: Source,
        knowledge: Knowledge,
        on_newest: Callable[[Page], None],
        on_read: Callable[[Page], None],
        wait: float,
        may_read: Callable[[], bool],
        pause: float = 0.0,
    ) -> None:
        self.may_read = may_read
        self.source = source
        self.knowledge = knowledge
        self.on_newest = on_newest
        self.on_read = on_read
        self.wait = wait
        self.pause = pause
        self.next: int | None = None
        self.backoff = Backoff()

    async def follow(self) -> None:
        """Read for ever; an outage only delays it."""
        while True:
            try:
                await self.step()
                self.backoff.reset()
            except HistoryLost:
                logger.info("history lost", extra={"from": self.next})
                self.next = None
                await asyncio.sleep(HISTORY_WAIT)
            except SourceError as error:
                self.knowledge.note_failure(error)
                await self.backoff.wait()

    async def step(self) -> None:
        """Read once, unless others read for this router."""
        begun = self.next is not None or self.knowledge.complete
        if begun and not self.may_read():
            await asyncio.sleep(READER_INTERVAL)
            return
        if self.next is None:
            page = await self.source.newest()
            self.knowledge.note_answer()
            self.on_newest(page)
        else:
            page = await self.source.read(self.next, self.wait)
            self.knowledge.note_answer()
            self.on_read(page)
        self.next = page.next
        if self.pause:
            await asyncio.sleep(self.pause)


def follow_configuration(
    source: Source[RouteTable], knowledge: Knowledge, may_read: Callable[[], bool]
) -> Follower:
    """Return a follower of the configuration."""

    def take(page: Page[RouteTable]) -> None:
        for table in page.items:
            knowledge.take_routes(table, "store")

    return Follower(source, knowledge, take, take, CONFIGURATION_WAIT, may_read)


def follow_endpoints(
    source: Source[Registered], knowledge: Knowledge, may_read: Callable[[], bool]
) -> Follower:
    """Return a follower of registrations."""
    return Follower(
        source,
        knowledge,
        knowledge.take_listed,
        knowledge.take_registered,
        ENDPOINTS_WAIT,
        may_read,
        ENDPOINTS_PAUSE,
    )


async def join(
    directory: PeerDirectory,
    entry: PeerEntry,
    fleet: Fleet,
    take_records: Callable[[list[QuarantineRecord]], None],
) -> None:
    """Write this router's entry, then look for others for ever.

    Parameters
    ----------
    take_records : callable
        Takes the refused contents that stand beside the entries.
    """
    await _announce(directory, entry)
    backoff = Backoff()
    while True:
        try:
            page = await directory.newest()
        except SourceError as error:
            logger.debug("routers not read", extra={"reason": str(error)})
            await backoff.wait()
            continue
        backoff.reset()
        fleet.learn([item for item in page.items if isinstance(item, PeerEntry)])
        take_records([x for x in page.items if isinstance(x, QuarantineRecord)])
        fleet.listed.set()
        pause = DIRECTORY_INTERVAL_PER_ROUTER * len(fleet.addresses)
        await asyncio.sleep(max(DIRECTORY_INTERVAL, pause))


async def _announce(directory: PeerDirectory, entry: PeerEntry) -> None:
    backoff = Backoff()
    while True:
        try:
            await directory.announce(entry)
        except SourceError as error:
            logger.debug("not announced yet", extra={"reason": str(error)})
            await backoff.wait()
        else:
            return


def is_reader(fleet: Fleet) -> bool:
    """Return whether this router should read the store.

    In a large fleet the first hub of each data centre by rendezvous hashing reads for
    the others, who follow it by its heartbeats. One before whom all readers have lost
    the store reads for itself.
    """
    if fleet.size <= ALL_READ:
        return True
    near = [item for item in fleet.near(fleet.own.data_centre) if item.hub]
    readers = [item.router for item in rank("store", near)[:READERS]]
    if fleet.own.router in readers:
        readers = readers[: readers.index(fleet.own.router)]
        if not readers:
            return True
    ages = [fleet.beats[name].store_age for name in readers if name in fleet.beats]
    return not ages or min(ages) > READER_STALE_MS


class Relay:
    """Asks peers for what the store has not told this router.

    Parameters
    ----------
    fleet : Fleet
        The peers, and how far each one is.
    knowledge : Knowledge
        What this router knows.
    http : HttpClient
        To ask with.
    """

    def __init__(self, fleet: Fleet, knowledge: Knowledge, http: HttpClient) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.http = http
        #: Loop time before which others are taken to read.
        self.settled_at = 0.0
        #: Loop time at which this router last knew all that the store knew.
        self.known_at = knowledge.store.answered

    async def adopt(self) -> None:
        """Ask peers for everything at the start of a router of a large fleet.

        Gives up after a while, or at once where the fleet is small: the router then
        reads the store.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LISTING_PATIENCE):
                await self.fleet.listed.wait()
        except TimeoutError:
            logger.info("routers not listed in time")
            return
        end = loop.time() + ADOPTION_PATIENCE
        if self.fleet.own.router in self._first_readers():
            return
        while len(self.fleet.addresses) >= ALL_READ and loop.time() < end:
            await self._ask_any(self._pick_told())
            if self.knowledge.complete:
                self.settled_at = loop.time() + SETTLING
                return
            await asyncio.sleep(ADOPTION_INTERVAL)

    def _first_readers(self) -> list[RouterId]:
        """Return who of this data centre reads the store first, by the entries."""
        return self.fleet.expected_hubs()[:READERS]

    def _pick_told(self) -> RouterId:
        """Return a peer that knows something, as far as it is heard, or may soon."""
        told = [name for name, beat in self.fleet.beats.items() if beat.version]
        expected = told or self._first_readers()
        reached = [name for name in expected if name in self.fleet.addresses]
        return random.choice(reached) if reached else self.fleet.pick_known()

    async def _ask_any(self, router: RouterId) -> None:
        if self.knowledge.routes is None:
            await self._ask(router, CONFIGURATION_PATH)
        if not self.knowledge.listed:
            await self._ask(router, ENDPOINTS_PATH)

    def information_age(self) -> float:
        """Return the seconds since the store told this router all it then knew.

        Also by way of a peer that knows nothing newer.
        """
        now = asyncio.get_running_loop().time()
        known = self.knowledge
        ages = [now - known.store.answered]
        for name, beat in self.fleet.beats.items():
            ahead = beat.version > known.version
            if ahead or beat.endpoints_offset > known.endpoints.offset:
                continue
            member = self.fleet.membership.members.get(name)
            if member is not None and beat.version:
                ages.append(now - member.heard + beat.store_age / 1000)
        return min(ages)

    def may_read(self) -> bool:
        """Return whether this router should read the store."""
        if asyncio.get_running_loop().time() < self.settled_at:
            return False
        return is_reader(self.fleet)

    async def keep_asking(self) -> None:
        """Look for ever whether a peer knows more."""
        while True:
            await asyncio.sleep(RELAY_INTERVAL)
            self.known_at = asyncio.get_running_loop().time() - self.information_age()
            self.knowledge.expire()
            await self._look()

    async def _look(self) -> None:
        best = self._furthest(lambda beat: beat.version)
        if best and self.fleet.beats[best].version > self.knowledge.version:
            await self._ask(best, CONFIGURATION_PATH)
        if self._reads_itself() and self.knowledge.listed:
            return
        best = self._furthest(lambda beat: beat.endpoints_offset)
        own = self.knowledge.endpoints.offset
        if best and self.fleet.beats[best].endpoints_offset > own:
            await self._ask(best, ENDPOINTS_PATH)

    def _furthest(self, how_far: Callable[[Beat], int]) -> RouterId | None:
        """Return the peer that knows most, one of this data centre if it can be."""
        own = self.fleet.own.data_centre
        beats = self.fleet.beats
        return max(
            beats,
            key=lambda name: (how_far(beats[name]), beats[name].data_centre == own),
            default=None,
        )

    def _reads_itself(self) -> bool:
        store = self.knowledge.store
        age = asyncio.get_running_loop().time() - store.answered
        return self.may_read() and store.reachable and age < STORE_SILENCE

    async def _ask(self, router: RouterId, path: str) -> None:
        address: Address | None = self.fleet.addresses.get(router)
        if address is None:
            return
        try:
            answer = await self.http.fetch(address, "GET", path, timeout=RELAY_TIMEOUT)
        except ExchangeError as error:
            logger.info(
                "peer did not tell", extra={"peer": router, "reason": str(error)}
            )
            return
        if answer.head.status == 200:
            self._take(router, path, answer.body)

    def _take(self, router: RouterId, path: str, body: bytes) -> None:
        if path == CONFIGURATION_PATH:
            table = msgspec.msgpack.decode(body, type=RouteTable)
            self.knowledge.take_routes(table, router)
            return
        snapshot = msgspec.msgpack.decode(body, type=EndpointSnapshot)
        self.knowledge.take_snapshot(snapshot, router)
