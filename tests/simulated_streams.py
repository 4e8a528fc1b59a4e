"""Streams that callers resume at other routers of a simulated fleet.

Each router's part is the product's own `StreamOrigins` and `Knowledge`. ``python -m
tests.simulated_streams`` prints how many streams go on at each size under each trouble.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass, field

import logbook
import msgspec

from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.coordination.requests.stream_origins import StreamOrigins
from carawayfold.state.routes import (
    CallerLimits,
    KeyPolicy,
    RouteTable,
    WeightedService,
)
from carawayfold.state.stream_origins import Origin, stream_id
from tests.schedule_builders import endpoint, route
from tests.simulated_fleet import simulate, started

#: Seconds in which a fleet has surely settled.
SETTLED = 6.0
#: Seconds until the store answers.
STORE_DELAY = 0.004
#: Seconds between two streams that begin.
BEGIN_INTERVAL = 0.01
#: Seconds for which the caller of a stream waits.
PATIENCE = 15.0
#: Streams of one round.
STREAMS = 200
VERSIONS = ("v1", "v2")
ROUTE = route(id="summary", resumable=True)


@dataclass(frozen=True)
class Trouble:
    """What becomes of the routers that began the streams.

    Attributes
    ----------
    loss : float
        Part of the datagrams that is lost.
    killed : float
        Part of the routers that end without notice.
    lost_data_centre : bool
        Whether all routers of one data centre end.
    apart : bool
        Whether one data centre is cut off; its streams come back within it.
    """

    loss: float = 0.0
    killed: float = 0.0
    lost_data_centre: bool = False
    apart: bool = False


TROUBLES = {
    "calm": Trouble(),
    "loss": Trouble(loss=0.03),
    "a sixth killed": Trouble(killed=1 / 6),
    "half killed": Trouble(loss=0.03, killed=0.5),
    "a data centre lost": Trouble(loss=0.03, lost_data_centre=True),
    "a data centre cut off": Trouble(apart=True),
}


def route_table(routed=ROUTE, services=None):
    """Return a configuration with one route, version 2 if it has other services."""
    if services is None:
        return RouteTable(
            1,
            (routed,),
            {},
            {},
            {},
            CallerLimits(),
            0.0,
            key_policy=KeyPolicy.NOT_REQUIRED,
        )
    weighted = tuple(WeightedService(name, 1.0) for name in services)
    routed = msgspec.structs.replace(routed, services=weighted)
    return RouteTable(
        2, (routed,), {}, {}, {}, CallerLimits(), 0.0, key_policy=KeyPolicy.NOT_REQUIRED
    )


class RouterStreams:
    """One router's knowledge of endpoints, and of the streams that it began."""

    def __init__(self, world, name, fleet):
        self.world, self.name, self.fleet = world, name, fleet
        self.knowledge = Knowledge(lambda table: None, lambda: None)
        self.knowledge.apply_routes(route_table(world.routed), "store")
        now = fleet.loop.time()
        endpoints = self.knowledge.endpoints
        for version in world.versions:
            endpoints.put(endpoint(f"e-{version}", software=version), now)
        endpoints.software.complete_since = now - world.complete_for
        self.knowledge.route_history.complete_since = now - world.complete_for
        self.age = 0.0
        self.restart_origins()

    def restart_origins(self):
        """Forget all streams."""
        self.origins = StreamOrigins(
            self.fleet,
            self.knowledge,
            lambda: self.age,
            self.confirm,
            self.fleet.loop.create_task,
        )

    async def confirm(self):
        """Read the store, unless it doesn't answer."""
        await asyncio.sleep(STORE_DELAY)
        if self.name in self.world.without_store | self.world.without_operators:
            return False
        now = self.fleet.loop.time()
        for registered in self.world.registered:
            self.knowledge.endpoints.put(registered, now)
        return True

    def take(self, datagram):
        self.origins.take(datagram)

    def fleet_changed(self):
        self.origins.fleet_changed()

    async def run_periodically(self):
        await self.origins.refresh_periodically()


@dataclass
class SimulatedStreams:
    """A fleet whose routers begin streams at endpoints of some versions."""

    fleet: object
    versions: tuple = VERSIONS
    complete_for: float = 0.0
    routed: object = ROUTE
    routers: dict = field(default_factory=dict)
    begun: dict = field(default_factory=dict)
    registered: list = field(default_factory=list)
    without_store: set = field(default_factory=set)
    without_operators: set = field(default_factory=set)

    def __post_init__(self):
        self.fleet.attach = self.attach
        self.fleet.fill_beat = lambda name, beat: beat

    def attach(self, name, router):
        made = RouterStreams(self, name, router)
        self.routers[name] = made
        return made

    def begin(self, name, router, version):
        """Let a stream begin at a router and an endpoint of a version."""
        stream = stream_id("alder", name)
        origin = Origin("model", version)
        expires_at = self.fleet.loop.time() + PATIENCE
        self.routers[router].origins.begun(stream, ROUTE.id, origin, expires_at)
        self.begun[name] = (router, origin)

    def register(self, router, added):
        """Register an endpoint; one router reads that at once."""
        self.registered.append(added)
        made = self.routers[router]
        made.knowledge.endpoints.put(added, self.fleet.loop.time())
        made.origins.refresh()

    def cut_off(self, router):
        """Cut a router off from its peers and the store."""
        self.fleet.dead.add(router)
        self.cut_off_store(router)

    def cut_off_store(self, router):
        """Cut a router off from the store."""
        self.without_store.add(router)

    def cut_off_operators(self, router):
        """Let a router read no operators' records."""
        self.without_operators.add(router)

    async def resume(self, name, router):
        """Return what a router tells of the origin of a stream."""
        stream = stream_id("alder", name)
        finding = await self.routers[router].origins.find(stream, self.routed)
        return finding.origin


async def play_round(count, places, trouble, seed):
    """Return how many streams went on, were refused and went on wrongly."""
    fleet = started(count, places, seed, trouble.loss)
    world = SimulatedStreams(fleet)
    await asyncio.sleep(SETTLED)
    names = sorted(fleet.routers)
    for number in range(STREAMS):
        version = fleet.draw.choice(VERSIONS)
        world.begin(f"s-{number}", fleet.draw.choice(names), version)
        await asyncio.sleep(BEGIN_INTERVAL)
    if trouble.apart:
        fleet.apart.add("dc-0")
    gone = fleet.draw.sample(names, int(len(names) * trouble.killed))
    if trouble.lost_data_centre:
        gone = [name for name in names if fleet.places[name] == "dc-0"]
    fleet.kill(*gone)
    tally = Counter()
    for name, (router, origin) in world.begun.items():
        cut_off = trouble.apart and fleet.places[router] == "dc-0"
        if (gone or trouble.apart) and router not in gone and not cut_off:
            continue
        place = fleet.places[router]
        near = [x for x in fleet.routers if fleet.places[x] == place and x != router]
        other = fleet.draw.choice(near or [x for x in fleet.routers if x != router])
        found = await world.resume(name, other)
        kind = "gone on" if found == origin else "refused"
        tally[kind if found in (None, origin) else "wrong"] += 1
    await fleet.close()
    return tally


def tally_of(count, places, trouble, seeds):
    """Return the sum of some rounds."""
    with logbook.NullHandler().applicationbound():
        return sum(
            (
                simulate(lambda seed=seed: play_round(count, places, trouble, seed))
                for seed in seeds
            ),
            Counter(),
        )


def main(sizes, rounds):
    """Print a row for each size and trouble."""
    print("routers  trouble                gone on  refused  wrong")
    for count, places in sizes:
        for name, trouble in TROUBLES.items():
            tally = tally_of(count, places, trouble, range(rounds))
            shown = [tally[kind] for kind in ("gone on", "refused", "wrong")]
            row = "".join(f"{number:8}" for number in shown)
            print(f"{count:7}  {name:22} {row}", flush=True)


if __name__ == "__main__":
    wanted = [int(size) for size in sys.argv[1].split(",")] if sys.argv[1:] else [6, 67]
    chosen = {6: (6, 3), 9: (9, 4), 67: (67, 3), 195: (195, 5), 360: (360, 11)}
    main([chosen[size] for size in wanted], int((sys.argv[2:] or ["4"])[0]))
