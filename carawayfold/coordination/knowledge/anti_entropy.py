"""Asks peers for what the store has not told this router.

Heartbeats tell how far each peer is. One that starts asks for everything.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.fleet.readers import ALL_READ, is_reader
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.state.evacuations import EvacuationSnapshot
from carawayfold.state.routes import RouteTable
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.datagrams import Beat
    from carawayfold.settings import Address
    from carawayfold.state.ids import RouterId
    from carawayfold.transport.client import HttpClient

logger = logbook.Logger(__name__)

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
#: Routers of a data centre that read the store at their start for the others.
FIRST_READERS = 2
#: Seconds between looks at whether a peer knows more.
RELAY_INTERVAL = 0.25
#: Seconds for which a router that reads the store itself waits for what a peer has read
#: already: its own answer comes within some hundredths, if it comes.
BEHIND_PATIENCE = 0.3
#: Seconds for a peer's answer.
RELAY_TIMEOUT = 0.4
#: Seconds for which a peer that did not answer is asked only if no other knows more
#: than this router: until its silence is noticed.
MUTE_FOR = 2.5
#: Seconds that are added to what a peer said of its knowledge, for the way and a late
#: loop: an age that goes round among routers, none of which reads the store, would
#: otherwise lose that at each hop, and hardly grow.
HOP_TIME = 0.01
#: Seconds between calls of a silent store, for each router of a fleet in which a few
#: read for the others: whichever is answered first tells the rest.
SILENT_PAUSE_PER_ROUTER = 0.05
CONFIGURATION_PATH = "/configuration"
ENDPOINTS_PATH = "/endpoints"
EVACUATIONS_PATH = "/evacuations"


class AntiEntropy:
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
        self.known_at = knowledge.store.registrations
        #: Loop time since which peers have known more endpoints; None if none does.
        self.behind_since: float | None = None
        #: Until when each peer that did not answer is passed over.
        self.mute_until: dict[RouterId, float] = {}
        #: Set while this router should read registrations from the store.
        self.reading = asyncio.Event()
        #: The same for the operators' words: one topic may be silent by itself.
        self.reading_operators = asyncio.Event()
        #: Set to look at once, and not after the usual interval.
        self.woken = asyncio.Event()

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
                self._settle()
                return
            await asyncio.sleep(ADOPTION_INTERVAL)

    def _first_readers(self) -> list[RouterId]:
        """Return who of this data centre reads the store first, by the entries."""
        return self.fleet.expected_hubs()[:FIRST_READERS]

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
        if not self.knowledge.evacuations.known:
            await self._ask(router, EVACUATIONS_PATH)

    def information_age(self) -> float:
        """Return the seconds since this router knew all registrations."""
        known = self.knowledge

        def knows_more(beat: Beat) -> bool:
            ahead = beat.version > known.version
            return ahead or beat.endpoints_offset > known.endpoints.offset

        own = asyncio.get_running_loop().time() - known.store.registrations
        return self._age(own, knows_more, lambda beat: beat.store_age)

    def operators_age(self) -> float:
        """Return the seconds since this router knew all of the operators' words."""
        known = self.knowledge

        def knows_more(beat: Beat) -> bool:
            ahead = beat.version > known.version
            return ahead or beat.evacuations_changed > known.evacuations.changed_at

        return self._age(
            known.operators_age(), knows_more, lambda beat: beat.operators_age
        )

    def _age(
        self,
        own: float,
        knows_more: Callable[[Beat], bool],
        told: Callable[[Beat], int],
    ) -> float:
        """Return the age of what this router knows, from the store or a peer.

        A peer that knows more says nothing of what is known here. What a peer said of
        itself goes on counting from its heartbeat, not from when a roster named it or a
        role changed: what is old would pass for new, and be told on.
        """
        now = asyncio.get_running_loop().time()
        ages = [own]
        for name, beat in self.fleet.beats.items():
            if beat.version and not knows_more(beat):
                passed = now - self.fleet.beaten_at[name] + HOP_TIME
                ages.append(passed + told(beat) / 1000)
        return min(ages)

    def may_read(self) -> bool:
        """Return whether this router should read registrations from the store."""
        return self._may_read(self.information_age())

    def _may_read(self, age: float) -> bool:
        if asyncio.get_running_loop().time() < self.settled_at:
            return False
        return is_reader(self.fleet, age)

    def reads_for_others(self) -> bool:
        """Return whether other routers rely on what this one reads."""
        return self.fleet.size > ALL_READ

    def silent_pause(self) -> float:
        """Return the seconds before a call after one that was never answered."""
        if is_reader(self.fleet, 0.0):
            return 0.0
        return SILENT_PAUSE_PER_ROUTER * self.fleet.size * random.uniform(0.5, 1.5)

    async def turn(self) -> None:
        """Wait until this router should read registrations from the store."""
        await self.reading.wait()

    async def operators_turn(self) -> None:
        """Wait until this router should read the operators' words from the store."""
        await self.reading_operators.wait()

    def wake(self) -> None:
        """Look soon whether a peer knows more, and who reads."""
        self.woken.set()

    async def keep_asking(self) -> None:
        """Look for ever whether a peer knows more."""
        while True:
            self._settle()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RELAY_INTERVAL):
                    await self.woken.wait()
            self.woken.clear()
            self.knowledge.expire()
            await self._look()

    def _settle(self) -> None:
        """Find out how old this router's knowledge is, and what it should read."""
        age = self.information_age()
        self.known_at = asyncio.get_running_loop().time() - age
        for event, how_old in (
            (self.reading, age),
            (self.reading_operators, self.operators_age()),
        ):
            if self._may_read(how_old):
                event.set()
            else:
                event.clear()

    async def _look(self) -> None:
        known = self.knowledge
        told = self._furthest(lambda beat: beat.version, known.version)
        if told is not None:
            await self._ask(told, CONFIGURATION_PATH)
        changed_at = known.evacuations.changed_at
        told = self._furthest(lambda beat: beat.evacuations_changed, changed_at)
        if told is not None:
            await self._ask(told, EVACUATIONS_PATH)
        offset = known.endpoints.offset
        told = self._furthest(lambda beat: beat.endpoints_offset, offset)
        if told is None:
            self.behind_since = None
        elif self._waited_long_enough():
            await self._ask(told, ENDPOINTS_PATH)

    def _furthest(self, how_far: Callable[[Beat], int], own: int) -> RouterId | None:
        """Return the peer to ask for what is beyond `own`, None if none knows it.

        One that did not answer comes after others; of equal ones the furthest comes
        first, and of these one of this data centre.
        """
        now = asyncio.get_running_loop().time()
        place = self.fleet.own.data_centre
        beats = self.fleet.beats

        def worth(name: RouterId) -> tuple[bool, int, bool]:
            answers = self.mute_until.get(name, now) <= now
            return answers, how_far(beats[name]), beats[name].data_centre == place

        ahead = [name for name, beat in beats.items() if how_far(beat) > own]
        return max(ahead, key=worth, default=None)

    def _waited_long_enough(self) -> bool:
        """Return whether a router that is behind its peers should ask them.

        One that reads the store gives its read a moment; a read that hangs fails only
        after seconds.
        """
        now = asyncio.get_running_loop().time()
        if self.behind_since is None:
            self.behind_since = now
        reads = self.reading.is_set() and self.knowledge.store.reachable
        if not reads or not self.knowledge.listed:
            return True
        return now - self.behind_since >= BEHIND_PATIENCE

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
            now = asyncio.get_running_loop().time()
            self.mute_until[router] = now + MUTE_FOR
            return
        self.mute_until.pop(router, None)
        if answer.head.status == 200:
            self._take(router, path, answer.body)

    def _take(self, router: RouterId, path: str, body: bytes) -> None:
        if path == CONFIGURATION_PATH:
            table = msgspec.msgpack.decode(body, type=RouteTable)
            self.knowledge.take_routes(table, router)
            return
        if path == EVACUATIONS_PATH:
            evacuations = msgspec.msgpack.decode(body, type=EvacuationSnapshot)
            self.knowledge.take_evacuations(evacuations, router)
            return
        snapshot = msgspec.msgpack.decode(body, type=EndpointSnapshot)
        self.knowledge.take_snapshot(snapshot, router)
