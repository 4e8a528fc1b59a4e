"""How long requests stay without being passed on or refused while routers have trouble.

``python -m tests.simulated_holds`` prints the figures of each trouble.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from types import SimpleNamespace

from carawayfold.state.routes import RouteKind
from tests.simulated_fleet import SimulatedFleet
from tests.simulated_requests import (
    Behaviour,
    events,
    make_endpoint,
    make_routes,
    make_table,
    play,
)

#: Seconds from the begin of the traffic to the trouble, and to its end.
BEGIN, END = 1.0, 4.0
#: Routers of the fleet.
ROUTERS = 5
#: Seconds between two requests, and of one request at its endpoint.
INTERVAL, RESIDENCE = 0.005, 0.02
#: Seconds within which a request is to be passed on or refused while an endpoint is
#: free.
LOST = 0.2
ENGINES, SLOTS = 4, 4
#: Seconds between the datagrams of a router that has stood still.
SPACING = 1e-6


class TroubledFleet(SimulatedFleet):
    """A fleet some of whose routers stand still or are cut off.

    Attributes
    ----------
    still : dict
        Datagrams from and to each router that stands still, with what to do with them.
    cut_off : set
        Routers whose datagrams, in both directions, are lost.
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.still = {}
        self.cut_off = set()

    def stand_still(self, name, seconds):
        """Have a router neither send nor receive for some seconds, and do both then."""
        self.still[name] = []
        self.loop.call_later(seconds, self._go_on, name)

    def _go_on(self, name):
        # In the order in which they came, as from a socket's buffer.
        for number, (work, *arguments) in enumerate(self.still.pop(name)):
            self.loop.call_later(number * SPACING, work, *arguments)

    def carry(self, socket, address, data):
        if {socket.router, self.name_at(address)} & self.cut_off:
            return
        if socket.router in self.still:
            self.still[socket.router].append((super().carry, socket, address, data))
        else:
            super().carry(socket, address, data)

    def deliver(self, receiver, data, source):
        if receiver in self.still:
            self.still[receiver].append((super().deliver, receiver, data, source))
        else:
            super().deliver(receiver, data, source)


@dataclass
class Trouble:
    """What happens to routers between `BEGIN` and `END`.

    Attributes
    ----------
    loss : float
        Part of the datagrams that is lost.
    killed : int
        Number of leaders that end: that of the pool, then the next one.
    restarted_after : float or None
        Seconds from the end of a router to its start.
    still : float
        Seconds for which the leader stands still.
    cut_off : bool
        Whether the leader is cut off from all other routers.
    lagging : bool
        Whether the leader gives up leading.
    isolated : bool
        Whether a router that doesn't lead is cut off from all others.
    versions : bool
        Whether configurations are written in quick succession.
    """

    loss: float = 0.0
    killed: int = 0
    restarted_after: float | None = None
    still: float = 0.0
    cut_off: bool = False
    lagging: bool = False
    isolated: bool = False
    versions: bool = False


TROUBLES = {
    "calm": Trouble(),
    "configurations": Trouble(versions=True),
    "loss of 1 %": Trouble(loss=0.01),
    "loss of 5 %": Trouble(loss=0.05),
    "loss of 20 %": Trouble(loss=0.2),
    "leader killed": Trouble(killed=1),
    "leader killed, loss of 5 %": Trouble(killed=1, loss=0.05),
    "two leaders killed": Trouble(killed=2),
    "leader restarted at once": Trouble(killed=1, restarted_after=0.02),
    "leader restarted": Trouble(killed=1, restarted_after=0.5),
    "leader restarted, configurations": Trouble(
        killed=1, restarted_after=0.5, versions=True
    ),
    "leader stands still 0.3 s": Trouble(still=0.3),
    "leader stands still 0.6 s": Trouble(still=0.6),
    "leader stands still 1.5 s": Trouble(still=1.5),
    "leader cut off": Trouble(cut_off=True),
    "leader gives up leading": Trouble(lagging=True),
    "another router cut off": Trouble(isolated=True),
}


@dataclass
class Holds:
    """What became of the requests of one run.

    Attributes
    ----------
    longest : float
        Longest time in seconds for which a request stayed while an endpoint was free.
    beyond : int
        Requests that stayed for longer than `LOST`.
    requests, refused, other : int
        All requests, those refused, and those neither whole nor refused.
    """

    longest: float = 0.0
    beyond: int = 0
    requests: int = 0
    refused: int = 0
    other: int = 0


def drop_requests(world, name):
    """Leave the requests of a router out that ends."""
    router = world.routers[name]
    for call, task in list(router.forwarder.calls.items()):
        world.callers.pop(call.incoming.name)
        task.cancel()
    router.fleet.socket.net = SimpleNamespace(carry=lambda *args: None)


def kill(world, name, after):
    """End a router, and start it after some seconds."""
    drop_requests(world, name)
    world.fleet.kill(name)

    def start():
        world.fleet.dead.discard(name)
        world.fleet.start(name, "north", 100)

    if after is not None:
        world.loop.call_later(after, start)


async def strike(world, trouble):
    """Begin the trouble, and end it."""
    await asyncio.sleep(BEGIN)
    fleet, leader = world.fleet, world.leader()
    fleet.loss = trouble.loss
    if trouble.lagging:
        fleet.routers[leader].set_lagging(True)
    if trouble.cut_off:
        fleet.cut_off.add(leader)
    if trouble.isolated:
        fleet.cut_off.add(world.other())
    if trouble.still:
        fleet.stand_still(leader, trouble.still)
    for _ in range(trouble.killed):
        kill(world, leader, trouble.restarted_after)
        await asyncio.sleep(0.3)
        leader = world.leader()
    until = world.loop.time() + END - BEGIN
    while world.loop.time() < until:
        await asyncio.sleep(0.05)
        if trouble.versions:
            table = make_table(world.table.version + 1, world.table.routes)
            world.configure(table)
    fleet.loss = 0.0
    fleet.cut_off.clear()


async def send_all(world, draw):
    """Send requests to all routers that don't stand still."""
    begun = world.loop.time()
    number = 0
    while world.loop.time() - begun < END + 1.0:
        await asyncio.sleep(INTERVAL)
        name = draw.choice(sorted(world.routers))
        if name in world.fleet.still:
            continue
        number += 1
        world.send(name, f"c-{number}")


def run(trouble, seed=1):
    """Return the `Holds` of one run."""
    table = make_table(1, make_routes(RouteKind.IDEMPOTENT))
    endpoints = [make_endpoint(f"e-{n}", slots=SLOTS) for n in range(ENGINES)]

    async def scenario(world):
        behaviour = Behaviour(pieces=events(1, 1, RESIDENCE))
        world.default_behaviour = lambda request, headers: behaviour
        striking = asyncio.create_task(strike(world, trouble))
        await send_all(world, world.fleet.draw)
        await striking

    world = play(scenario, table, endpoints, seed, TroubledFleet, ROUTERS)
    holds = Holds()
    for name, caller in world.callers.items():
        stay = world.longest_hold(name)
        holds.longest = max(holds.longest, stay)
        holds.beyond += stay > LOST
        holds.requests += 1
        holds.refused += caller.status >= 400 and bool(caller.outcomes)
        holds.other += caller.outcomes not in (["answered"], ["ended"])
    return holds


def main(seeds=(1, 2, 3)):
    """Print the figures of each trouble."""
    for name, trouble in TROUBLES.items():
        runs = [run(trouble, seed) for seed in seeds]
        print(
            f"{name:34} longest {max(item.longest for item in runs) * 1000:6.0f} ms, "
            f"beyond {LOST * 1000:.0f} ms: {sum(item.beyond for item in runs)} of "
            f"{sum(item.requests for item in runs)}, refused "
            f"{sum(item.refused for item in runs)}, neither "
            f"{sum(item.other for item in runs)}"
        )


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or (1, 2, 3))
