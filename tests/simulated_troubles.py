"""What may be wrong in a simulated fleet when an endpoint says that it leaves."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.simulated_store import Access

#: Endpoints that are registered; the last ones leave before a store is copied.
ENDPOINTS = 6
#: Seconds between stops of routers one after the other.
ROLLING_INTERVAL = 0.5


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
