"""Spread of registrations from a simulated store to all routers of a fleet.

Followers, queries between peers and heartbeats are the product's own, on the clock and
network of `tests.simulated_fleet`; calls between peers are simulated here, the store in
`tests.simulated_store`. An endpoint announces its leaving, and each router that reaches
the store is observed until it has read it. ``python -m tests.simulated_registrations``
prints the times for each fleet size and fault (`tests.simulated_troubles`).
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, replace

import msgspec

from carawayfold.coordination.fleet.hubs import MAX_MESH_ROUTERS
from carawayfold.coordination.fleet.readers import can_relay_updates
from carawayfold.coordination.knowledge import anti_entropy, followers
from carawayfold.coordination.knowledge.anti_entropy import AntiEntropy
from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.protocol.datagrams import Heartbeat
from carawayfold.protocol.sources import EndpointChange
from carawayfold.transport.client import Answer, ExchangeError, Head, Phase
from tests.schedule_builders import endpoint
from tests.simulated_fleet import DELAY, simulate, started
from tests.simulated_store import Access, SimulatedSource, SimulatedStore
from tests.simulated_troubles import ENDPOINTS, HUB_TROUBLES, TROUBLES, strike

#: Seconds between checks of the routers.
LOOK_INTERVAL = 0.01
#: Seconds within which each router must know a record.
PATIENCE = 6.0
#: Seconds after which all routers of a fleet are connected.
SETTLED = 6.0


@dataclass
class SimulatedHttp:
    """Calls between peers."""

    world: SimulatedNews
    router: str

    async def fetch(self, address, method, path, body=b"", timeout=1.0):
        fleet = self.world.fleet
        there = self.world.fleet.name_at(address)
        lost = {self.router, there} & fleet.dead
        places = {fleet.places[self.router], fleet.places.get(there)}
        if lost or (len(places) > 1 and places & fleet.apart):
            await asyncio.sleep(timeout)
            raise ExchangeError(Phase.SENT, "no answer in time")
        await asyncio.sleep(2 * DELAY)
        body = self.world.routers[there].serve(path)
        return Answer(Head(200 if body else 404, {}), body)


class RouterNews:
    """Knowledge of one router, and the components that update it."""

    def __init__(self, world, name, fleet):
        self.world = world
        self.name = name
        self.fleet = fleet
        self.knowledge = Knowledge(
            lambda table: fleet.notify_local_routers(),
            fleet.notify_local_routers,
            self.store_changed,
            age=lambda: self.anti_entropy.registrations_age(),
        )
        http = SimulatedHttp(world, name)
        self.anti_entropy = AntiEntropy(fleet, self.knowledge, http)

    def beat(self, beat):
        return msgspec.structs.replace(
            beat,
            version=self.knowledge.version or 0,
            endpoints_offset=self.knowledge.endpoints.offset,
            store_age=round(self.anti_entropy.registrations_age() * 1000),
            refused=not self.knowledge.store.reachable,
            evacuations_changed=self.knowledge.evacuations.changed_at,
            operators_age=round(self.anti_entropy.operators_age() * 1000),
            configured=self.knowledge.routes is not None,
        )

    def store_changed(self):
        self.fleet.notify_local_routers()
        self.anti_entropy.wake()

    def take(self, datagram):
        for message in datagram.messages:
            told = isinstance(message, Heartbeat) and message.hub
            if told and not can_relay_updates(self.fleet, datagram.sender):
                self.anti_entropy.wake()

    def fleet_changed(self):
        self.anti_entropy.wake()

    def serve(self, path):
        if path == anti_entropy.CONFIGURATION_PATH and self.knowledge.routes:
            return msgspec.msgpack.encode(self.knowledge.routes)
        if path == anti_entropy.ENDPOINTS_PATH and self.knowledge.listed:
            return msgspec.msgpack.encode(self.knowledge.snapshot())
        evacuations = self.knowledge.evacuations
        if path == anti_entropy.EVACUATIONS_PATH and evacuations.known:
            return msgspec.msgpack.encode(evacuations.snapshot(self.fleet.loop.time()))
        return b""

    def source(self, records, newest):
        return SimulatedSource(self.world.store, self.name, records, newest)

    async def run_periodically(self):
        store = self.world.store
        tables = self.source(store.tables, store.newest_words)
        registered = self.source(store.records, store.newest)
        peers = self.anti_entropy
        async with asyncio.TaskGroup() as group:
            group.create_task(self.anti_entropy.poll_periodically())
            await self.anti_entropy.bootstrap()
            routes = followers.follow_operators(
                tables,
                self.knowledge,
                peers.wait_for_operators_turn,
                peers.reads_for_others,
                peers.no_answer_delay,
            )
            endpoints = followers.follow_endpoints(
                registered,
                self.knowledge,
                peers.wait_for_turn,
                peers.reads_for_others,
                peers.no_answer_delay,
            )
            group.create_task(routes.follow())
            group.create_task(endpoints.follow())

    def age(self):
        """Return the age of the oldest state of this router, as it reports it."""
        return self.anti_entropy.registrations_age()

    def knows_evacuated(self, data_centre):
        """Return whether this router sends no more requests to a data centre."""
        return data_centre in self.knowledge.evacuations.active

    def knows(self, name):
        """Return whether this router sends no more requests to an endpoint."""
        known = self.knowledge.endpoints.entries.get(name)
        return known is None or known.leaving


class SimulatedNews:
    """A fleet whose routers follow a store.

    Parameters
    ----------
    version : int
        First version of the configuration.
    endpoints : int
        Number of endpoints that are registered at first.
    """

    def __init__(self, fleet, version=1, endpoints=ENDPOINTS):
        self.fleet = fleet
        self.loop = fleet.loop
        self.draw = fleet.draw
        self.store = SimulatedStore()
        self.routers = {}
        #: Routers that reported complete knowledge although they lacked a record.
        self.too_young = set()
        fleet.attach = self.attach
        fleet.fill_beat = lambda name, beat: self.routers[name].beat(beat)
        self.store.configure(version)
        for number in range(endpoints):
            self.register(f"e-{number}")

    def attach(self, name, router):
        made = self.routers[name] = RouterNews(self, name, router)
        return made

    def register(self, name, **other):
        self.store.write(EndpointChange(name, endpoint(name, "desk", **other)))

    def in_touch(self):
        """Return the running routers that reach the others and the store."""
        fleet, access = self.fleet, self.store.access
        return [
            name
            for name in fleet.routers
            if name not in fleet.dead
            and fleet.places[name] not in fleet.apart
            and access.get(name, Access.SERVED) is Access.SERVED
        ]

    def cut_off(self):
        """Return the routers that reach the others but not the store."""
        access = self.store.access
        return [name for name in access if access[name] is Access.SWALLOWED]

    async def leave(self, name, watched=None):
        """Let an endpoint leave; return the seconds until each router knows it.

        By default, the routers in touch are observed.
        """
        self.register(name, leaving=True)
        return await self.watch(name, watched)

    async def evacuate(self, data_centre, watched=None):
        """Evacuate a data centre; return the seconds until each router knows it."""
        self.store.evacuate(data_centre)
        begun = self.loop.time()
        unaware = set(self.in_touch() if watched is None else watched)
        ages = {}
        while unaware and self.loop.time() - begun < PATIENCE:
            for router in list(unaware):
                if self.routers[router].knows_evacuated(data_centre):
                    ages[router] = self.loop.time() - begun
                    unaware.discard(router)
            await asyncio.sleep(LOOK_INTERVAL)
        return ages | dict.fromkeys(unaware, PATIENCE)

    async def vanish(self, name):
        """Deregister an endpoint; return the seconds until each router knows it."""
        self.store.write(EndpointChange(name, None))
        return await self.watch(name)

    async def watch(self, name, watched=None):
        """Return the seconds until each router no longer uses an endpoint."""
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


async def play_round(count, places, trouble, seed, watch=None, evacuate=False):
    """Return the ages of one round, and the store calls of a second without faults.

    Parameters
    ----------
    watch : callable, optional
        Returns the routers to observe; the default is those in touch.
    evacuate : bool
        Whether a data centre is evacuated instead of an endpoint leaving.
    """
    fleet = started(count, places, seed=seed)
    world = SimulatedNews(fleet)
    await asyncio.sleep(SETTLED)
    world.store.calls.clear()
    await asyncio.sleep(4.0)
    calls = sum(world.store.calls.values()) / 4.0
    # The record is written at a random time during a read that waits.
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
    if evacuate:
        ages = await world.evacuate("north", watched)
    else:
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


def ages_of(count, places, trouble, seeds, watch=None, evacuate=False):
    """Return the sorted ages of all rounds, and the calls per second."""
    ages = []
    calls = 0.0
    for seed in seeds:
        taken = simulate(
            lambda seed=seed: play_round(count, places, trouble, seed, watch, evacuate)
        )
        ages += taken[0].values()
        calls = taken[1]
    return sorted(ages), calls


def main(sizes, rounds, evacuate=False):
    """Print a row for each fleet size and fault."""
    print("routers  trouble                      median   99 %  worst  calls/s calm")
    for count, places in sizes:
        troubles = TROUBLES if count <= MAX_MESH_ROUTERS else TROUBLES | HUB_TROUBLES
        for name, trouble in troubles.items():
            ages, calls = ages_of(
                count, places, replace(trouble), range(rounds), evacuate=evacuate
            )
            shown = [ages[len(ages) // 2], ages[int(len(ages) * 0.99)], ages[-1]]
            row = "".join(f"{age:7.2f}" for age in shown)
            print(f"{count:7}  {name:27} {row}  {calls:7.1f}", flush=True)


if __name__ == "__main__":
    chosen = {"24": (24, 3), "67": (67, 3), "195": (195, 5), "360": (360, 11)}
    wanted = sys.argv[1].split(",") if len(sys.argv) > 1 else list(chosen)
    rounds = int((sys.argv[2:] or ["4"])[0])
    main([chosen[size] for size in wanted], rounds, "evacuation" in sys.argv[3:])
