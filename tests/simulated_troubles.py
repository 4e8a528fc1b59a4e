"""Faults in a simulated fleet at the time an endpoint announces that it leaves."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.simulated_store import Access

#: Number of registered endpoints; the last ones leave before the store is restored
#: from a copy.
ENDPOINTS = 6
#: Seconds between the stops of routers that stop in turn.
ROLLING_INTERVAL = 0.5


@dataclass(frozen=True)
class Trouble:
    """Faults that are present when an endpoint leaves.

    Attributes
    ----------
    refused, swallowed, slow : float
        Fractions of the routers that the store refuses, does not answer, or answers
        late.
    readers, hubs : Access or None
        How the store responds to the first reader of each data centre, and to all
        hubs; a reader reads the store for other routers.
    dead : int
        Number of routers of each data centre that stop, readers first.
    dead_hubs : bool
        Whether all hubs stop.
    rolling : int
        Number of routers of each data centre that stop in turn, each one a reader at
        the time.
    apart : int
        Number of data centres that are cut off from the others.
    loss : float
        Fraction of the datagrams that is lost.
    copied : int
        Number of registrations lost when the store is restored from a copy.
    storm : bool
        Whether configurations are written in quick succession.
    places : int or None
        Number of data centres whose routers are affected; None for all.
    before : float
        Seconds from the start of the faults to the announcement.
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
#: Faults of all hubs of a large fleet at the moment of the announcement; its leaf
#: routers are not affected.
HUB_TROUBLES = {
    "hubs refused": Trouble(hubs=Access.REFUSED, before=0.0),
    "hubs swallowed": Trouble(hubs=Access.SWALLOWED, before=0.0),
    "hubs stop": Trouble(dead_hubs=True, before=0.0),
}


def readers_first(world, place):
    """Return the routers of a data centre, by descending number of store calls."""
    names = [name for name in world.fleet.routers if world.fleet.places[name] == place]
    return sorted(names, key=lambda name: -world.store.calls[name])


async def strike(world, trouble, places):
    """Apply the faults of `trouble` to the simulated fleet and store."""
    fleet, draw = world.fleet, world.draw
    fleet.loss = trouble.loss
    names = list(fleet.routers)
    fractions = {
        Access.REFUSED: trouble.refused,
        Access.SWALLOWED: trouble.swallowed,
        Access.SLOW: trouble.slow,
    }
    for access, fraction in fractions.items():
        for name in draw.sample(names, round(fraction * len(names))):
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
        stopping = stop_readers_in_turn(world, trouble.rolling, places)
        fleet.tasks["rolling"] = world.loop.create_task(stopping)
    if trouble.storm:
        world.storm = world.loop.create_task(write_configurations(world))


async def stop_readers_in_turn(world, times, places):
    """Stop one reader in each data centre, `times` times."""
    fleet = world.fleet
    for _ in range(times):
        for number in range(places):
            readers = [
                name
                for name in fleet.routers
                if name not in fleet.dead
                and fleet.places[name] == f"dc-{number}"
                and world.routers[name].anti_entropy.reading.is_set()
            ]
            fleet.dead |= set(readers[:1])
        await asyncio.sleep(ROLLING_INTERVAL)


async def write_configurations(world):
    version = 2
    while True:
        world.store.configure(version)
        version += 1
        await asyncio.sleep(0.1)
