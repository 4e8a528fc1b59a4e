"""Registrations on their way from a simulated store to every router of a fleet.

Real followers, questions between peers and heartbeats on the clock and network of
`tests.simulated_fleet`; the store, the calls of it and those between peers are
simulated here. An endpoint says that it leaves, and each router that reaches the store
is watched until it knows. ``python -m tests.simulated_registrations`` prints how long
that takes at each size under each trouble.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum

import msgspec

from carawayfold.coordination import anti_entropy, followers
from carawayfold.coordination.anti_entropy import AntiEntropy
from carawayfold.coordination.hubs import MESH_MOST
from carawayfold.coordination.knowledge import Knowledge
from carawayfold.coordination.readers import can_tell
from carawayfold.platform import store as platform_store
from carawayfold.protocol.datagrams import Beat
from carawayfold.protocol.sources import HistoryLost, Page, Registered, SourceError
from carawayfold.state.positions import era_of, offset_of, position
from carawayfold.state.routes import CallerLimits, RouteTable
from carawayfold.transport.client import Answer, ExchangeError, Head, Phase
from tests.schedule_builders import endpoint
from tests.simulated_fleet import DELAY, simulate, started

#: Seconds for an answer of the store.
STORE_DELAY = 0.004
#: The same while the store is slow.
SLOW_DELAY = 0.2
#: Seconds between looks at what the routers know.
LOOK_INTERVAL = 0.01
#: Seconds after which a router that still does not know is not waited for.
PATIENCE = 6.0
#: Endpoints that are registered.
ENDPOINTS = 6
#: Seconds in which a fleet has surely settled.
SETTLED = 6.0
#: Seconds between stops of routers one after the other.
ROLLING_INTERVAL = 0.5


class Access(Enum):
    """How the store treats a router."""

    SERVED = "served"
    REFUSED = "refused"
    SWALLOWED = "swallowed"
    SLOW = "slow"


@dataclass
class SimulatedStore:
    """One topic of registrations and one of the configuration."""

    access: dict[str, Access] = field(default_factory=dict)
    records: list[Registered] = field(default_factory=list)
    tables: list[RouteTable] = field(default_factory=list)
    calls: Counter = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    era: int = 0

    def write(self, item):
        self.records.append(item)
        self._tell()

    def configure(self, version):
        table = RouteTable(version, (), {}, {}, {}, CallerLimits(), 0.0)
        self.tables.append(table)
        self._tell()

    def _tell(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def come_back(self, lost):
        """Come back from a copy that lacks the last `lost` registrations."""
        del self.records[-lost:]
        self.era += 1
        self._tell()

    def place(self, records):
        """Return the position after all records."""
        return position(self.era, len(records))

    def newest(self):
        by_name = {item.name: item for item in self.records}
        return [item for item in by_name.values() if item.endpoint is not None]

    async def admit(self, router, patience):
        """Let a call of a router in, or fail as the store does with it."""
        self.calls[router] += 1
        access = self.access.get(router, Access.SERVED)
        if access is Access.SWALLOWED:
            await asyncio.sleep(patience)
            raise SourceError("no answer in time")
        await asyncio.sleep(SLOW_DELAY if access is Access.SLOW else STORE_DELAY)
        if access is Access.REFUSED:
            raise SourceError("status 503")


@dataclass
class SimulatedSource:
    """One router's way to a topic of the store."""

    store: SimulatedStore
    router: str
    records: list
    newest_of: object

    async def newest(self):
        await self.store.admit(self.router, platform_store.TIMEOUT)
        return Page(self.newest_of(), self.store.place(self.records))

    async def read(self, start, wait):
        loop = asyncio.get_running_loop()
        patience = wait + platform_store.TIMEOUT
        end = loop.time() + patience
        await self.store.admit(self.router, patience)
        until = loop.time() + wait
        while start == self.store.place(self.records) and loop.time() < until:
            changed = self.store.changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                break
            access = self.store.access.get(self.router, Access.SERVED)
            if access is not Access.SERVED:
                break
        await self._stay_cut(end)
        if era_of(start) != self.store.era or offset_of(start) > len(self.records):
            raise HistoryLost("the store came back from a copy")
        read = self.records[offset_of(start) :]
        return Page(read, self.store.place(self.records))

    async def _stay_cut(self, end):
        """Fail a read that waited when its router was cut off."""
        access = self.store.access.get(self.router, Access.SERVED)
        if access is Access.SWALLOWED:
            await asyncio.sleep(end - asyncio.get_running_loop().time())
            raise SourceError("no answer in time")
        if access is Access.REFUSED:
            raise SourceError("the connection was reset")


@dataclass
class SimulatedHttp:
    """Calls between peers."""

    world: SimulatedNews
    router: str

    async def fetch(self, address, method, path, body=b"", timeout=1.0):
        fleet = self.world.fleet
        there = address.host
        lost = {self.router, there} & fleet.dead
        places = {fleet.places[self.router], fleet.places.get(there)}
        if lost or (len(places) > 1 and places & fleet.apart):
            await asyncio.sleep(timeout)
            raise ExchangeError(Phase.SENT, "no answer in time")
        await asyncio.sleep(2 * DELAY)
        body = self.world.routers[there].serve(path)
        return Answer(Head(200 if body else 404, {}), body)


class RouterNews:
    """What one router knows, and how it comes to know it."""

    def __init__(self, world, name, fleet):
        self.world = world
        self.name = name
        self.fleet = fleet
        self.knowledge = Knowledge(
            lambda table: fleet.tell_near(),
            fleet.tell_near,
            self.store_changed,
            age=lambda: self.anti_entropy.information_age(),
        )
        http = SimulatedHttp(world, name)
        self.anti_entropy = AntiEntropy(fleet, self.knowledge, http)

    def beat(self, beat):
        return msgspec.structs.replace(
            beat,
            version=self.knowledge.version,
            endpoints_offset=self.knowledge.endpoints.offset,
            store_age=round(self.anti_entropy.information_age() * 1000),
            refused=not self.knowledge.store.reachable,
        )

    def store_changed(self):
        self.fleet.tell_near()
        self.anti_entropy.wake()

    def take(self, datagram):
        for message in datagram.messages:
            told = isinstance(message, Beat) and message.hub
            if told and not can_tell(self.fleet, datagram.sender):
                self.anti_entropy.wake()

    def fleet_changed(self):
        self.anti_entropy.wake()

    def serve(self, path):
        if path == anti_entropy.CONFIGURATION_PATH and self.knowledge.routes:
            return msgspec.msgpack.encode(self.knowledge.routes)
        if path == anti_entropy.ENDPOINTS_PATH and self.knowledge.listed:
            return msgspec.msgpack.encode(self.knowledge.snapshot())
        return b""

    def source(self, records, newest):
        return SimulatedSource(self.world.store, self.name, records, newest)

    async def keep_looking(self):
        store = self.world.store
        tables = self.source(store.tables, lambda: store.tables[-1:])
        registered = self.source(store.records, store.newest)
        peers = self.anti_entropy
        async with asyncio.TaskGroup() as group:
            group.create_task(self.anti_entropy.keep_asking())
            await self.anti_entropy.adopt()
            routes = followers.follow_configuration(tables, self.knowledge, peers.turn)
            endpoints = followers.follow_endpoints(
                registered, self.knowledge, peers.turn, peers.reads_for_others
            )
            group.create_task(routes.follow())
            group.create_task(endpoints.follow())

    def age(self):
        """Return for how long this router says that it has not known everything."""
        return self.anti_entropy.information_age()

    def knows(self, name):
        """Return whether this router would send nothing more to an endpoint."""
        known = self.knowledge.endpoints.entries.get(name)
        return known is None or known.leaving


class SimulatedNews:
    """A fleet whose routers follow a store."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.loop = fleet.loop
        self.draw = fleet.draw
        self.store = SimulatedStore()
        self.routers = {}
        #: Routers that said they knew everything after a word that they had not heard.
        self.too_young = set()
        fleet.attach = self.attach
        fleet.fill_beat = lambda name, beat: self.routers[name].beat(beat)
        self.store.configure(1)
        for number in range(ENDPOINTS):
            self.register(f"e-{number}")

    def attach(self, name, router):
        made = self.routers[name] = RouterNews(self, name, router)
        return made

    def register(self, name, **other):
        self.store.write(Registered(name, endpoint(name, "desk", **other)))

    def in_touch(self):
        """Return the routers that run, hear the others and reach the store."""
        fleet, access = self.fleet, self.store.access
        return [
            name
            for name in fleet.routers
            if name not in fleet.dead
            and fleet.places[name] not in fleet.apart
            and access.get(name, Access.SERVED) is Access.SERVED
        ]

    def cut_off(self):
        """Return the routers that hear the others and get no answers of the store."""
        access = self.store.access
        return [name for name in access if access[name] is Access.SWALLOWED]

    async def leave(self, name, watched=None):
        """Let an endpoint leave; return after how long each router knew.

        Those in touch are watched, unless others are named.
        """
        self.register(name, leaving=True)
        return await self.watch(name, watched)

    async def vanish(self, name):
        """Let an endpoint go without a word; return after how long each router knew."""
        self.store.write(Registered(name, None))
        return await self.watch(name)

    async def watch(self, name, watched=None):
        """Return after how long each router knew that an endpoint is not to be used."""
        begun = self.loop.time()
        unaware = set(self.in_touch() if watched is None else watched)
        ages = {}
        while unaware and self.loop.time() - begun < PATIENCE:
            passed = self.loop.time() - begun
            for router in list(unaware):
                if self.routers[router].knows(name):
                    ages[router] = passed
                    unaware.discard(router)
                elif self.routers[router].age() < passed:
                    self.too_young.add(router)
            await asyncio.sleep(LOOK_INTERVAL)
        return ages | dict.fromkeys(unaware, PATIENCE)


@dataclass(frozen=True)
class Trouble:
    """What is wrong when an endpoint leaves.

    Attributes
    ----------
    refused, swallowed, slow : float
        Part of the routers that the store refuses, does not answer, answers late.
    readers, hubs : Access or None
        How it treats all those that read for others, and all hubs.
    dead : int
        Routers of each data centre that stop, those that read for others first.
    dead_hubs : bool
        Whether all hubs stop.
    rolling : int
        Routers of each data centre that stop one after the other, each time one that
        reads for the others then.
    apart : int
        Data centres that are cut off.
    loss : float
        Part of the datagrams that is lost.
    copied : int
        Registrations that are lost with a return of the store from a copy.
    storm : bool
        Whether configurations come in quick succession.
    places : int or None
        Data centres whose readers are hit; all for None.
    before : float
        Seconds from the trouble to the word.
    """

    refused: float = 0.0
    swallowed: float = 0.0
    slow: float = 0.0
    readers: Access | None = None
    hubs: Access | None = None
    dead: int = 0
    dead_hubs: bool = False
    rolling: int = 0
    apart: int = 0
    loss: float = 0.0
    copied: int = 0
    storm: bool = False
    places: int | None = None
    before: float = 0.3


TROUBLES = {
    "calm": Trouble(),
    "loss": Trouble(loss=0.05),
    "storm": Trouble(storm=True),
    "readers refused": Trouble(readers=Access.REFUSED),
    "readers swallowed": Trouble(readers=Access.SWALLOWED),
    "readers slow": Trouble(readers=Access.SLOW),
    "6 of 10 refused": Trouble(refused=0.6),
    "6 of 10 swallowed": Trouble(swallowed=0.6),
    "readers stop": Trouble(dead=1),
    "three of each stop": Trouble(dead=3),
    "cut": Trouble(apart=1),
    "store from a copy": Trouble(copied=3),
    "store from a copy, cut": Trouble(copied=3, apart=1),
    "store from a copy, 6 of 10 refused": Trouble(copied=3, refused=0.6),
    "cut, 6 of 10 swallowed": Trouble(apart=1, swallowed=0.6),
    "loss, readers swallowed": Trouble(loss=0.05, readers=Access.SWALLOWED),
    "readers stop, 6 of 10 refused": Trouble(dead=1, refused=0.6),
    "readers stop in turn": Trouble(rolling=4, before=1.0),
    "readers stop in turn, 3 of 10 refused": Trouble(
        rolling=4, refused=0.3, before=1.0
    ),
    "readers stop in turn, 3 of 10 swallowed": Trouble(
        rolling=4, swallowed=0.3, before=1.0
    ),
}
#: Troubles of all hubs of a large fleet just as the word comes; leaves stay in touch.
HUB_TROUBLES = {
    "hubs refused": Trouble(hubs=Access.REFUSED, before=0.0),
    "hubs swallowed": Trouble(hubs=Access.SWALLOWED, before=0.0),
    "hubs stop": Trouble(dead_hubs=True, before=0.0),
}


def readers_first(world, place):
    """Return the routers of a data centre, those that read the store most first."""
    names = [name for name in world.fleet.routers if world.fleet.places[name] == place]
    return sorted(names, key=lambda name: -world.store.calls[name])


async def strike(world, trouble, places):
    """Bring a trouble about."""
    fleet, draw = world.fleet, world.draw
    fleet.loss = trouble.loss
    names = list(fleet.routers)
    treated = {
        Access.REFUSED: trouble.refused,
        Access.SWALLOWED: trouble.swallowed,
        Access.SLOW: trouble.slow,
    }
    for access, part in treated.items():
        for name in draw.sample(names, round(part * len(names))):
            world.store.access[name] = access
    for number in range(places if trouble.places is None else trouble.places):
        first = readers_first(world, f"dc-{number}")
        if trouble.readers is not None:
            world.store.access[first[0]] = trouble.readers
        fleet.dead |= set(first[: trouble.dead])
        hubs = fleet.hubs(f"dc-{number}")
        if trouble.hubs is not None:
            world.store.access.update(dict.fromkeys(hubs, trouble.hubs))
        if trouble.dead_hubs:
            fleet.dead |= hubs
    fleet.apart |= {f"dc-{number}" for number in range(trouble.apart)}
    if trouble.copied:
        for number in range(trouble.copied):
            world.register(f"e-{ENDPOINTS - 1 - number}", leaving=True)
        await asyncio.sleep(1.0)
        world.store.come_back(trouble.copied)
    if trouble.rolling:
        stopping = stop_in_turn(world, trouble.rolling, places)
        fleet.tasks["rolling"] = world.loop.create_task(stopping)
    if trouble.storm:
        world.storm = world.loop.create_task(keep_configuring(world))


async def stop_in_turn(world, times, places):
    """Stop a router that reads in each data centre, again and again."""
    fleet = world.fleet
    for _ in range(times):
        for number in range(places):
            reading = [
                name
                for name in fleet.routers
                if name not in fleet.dead
                and fleet.places[name] == f"dc-{number}"
                and world.routers[name].anti_entropy.reading.is_set()
            ]
            fleet.dead |= set(reading[:1])
        await asyncio.sleep(ROLLING_INTERVAL)


async def keep_configuring(world):
    version = 2
    while True:
        world.store.configure(version)
        version += 1
        await asyncio.sleep(0.1)


async def play_round(count, places, trouble, seed, watch=None):
    """Return the ages of one round, and the calls of the store in a calm second.

    Parameters
    ----------
    watch : callable, optional
        Returns the routers to watch; those in touch without it.
    """
    fleet = started(count, places, seed=seed)
    world = SimulatedNews(fleet)
    await asyncio.sleep(SETTLED)
    world.store.calls.clear()
    await asyncio.sleep(4.0)
    calls = sum(world.store.calls.values()) / 4.0
    # The word comes at any moment of a read that waits.
    await asyncio.sleep(world.draw.uniform(0, 2.0))
    world.storm = None
    await strike(world, trouble, places)
    await asyncio.sleep(trouble.before)
    world.back = [
        name
        for number in range(trouble.copied)
        for name, router in world.routers.items()
        if not router.knows(f"e-{ENDPOINTS - 1 - number}")
    ]
    watched = watch(world) if watch is not None else None
    ages = await world.leave("e-0", watched)
    if world.storm is not None:
        world.storm.cancel()
    failed = [task for task in fleet.looks.values() if task.done()]
    await fleet.close()
    for task in failed:
        task.result()
    assert not world.back, f"endpoints that left are back at {world.back}"
    assert not world.too_young, f"false ages at {sorted(world.too_young)}"
    return ages, calls


def ages_of(count, places, trouble, seeds, watch=None):
    """Return the ages of all rounds, sorted, and the calls in a calm second."""
    ages = []
    calls = 0.0
    for seed in seeds:
        taken = simulate(
            lambda seed=seed: play_round(count, places, trouble, seed, watch)
        )
        ages += taken[0].values()
        calls = taken[1]
    return sorted(ages), calls


def main(sizes, rounds):
    """Print a row for each size and trouble."""
    print("routers  trouble                      median   99 %  worst  calls/s calm")
    for count, places in sizes:
        troubles = TROUBLES if count <= MESH_MOST else TROUBLES | HUB_TROUBLES
        for name, trouble in troubles.items():
            ages, calls = ages_of(count, places, replace(trouble), range(rounds))
            shown = [ages[len(ages) // 2], ages[int(len(ages) * 0.99)], ages[-1]]
            row = "".join(f"{age:7.2f}" for age in shown)
            print(f"{count:7}  {name:27} {row}  {calls:7.1f}", flush=True)


if __name__ == "__main__":
    chosen = {"24": (24, 3), "67": (67, 3), "195": (195, 5), "360": (360, 11)}
    wanted = sys.argv[1].split(",") if len(sys.argv) > 1 else list(chosen)
    main([chosen[size] for size in wanted], int((sys.argv[2:] or ["4"])[0]))
