"""Spread of configurations from a simulated store to all routers of a fleet.

Followers, queries between peers and heartbeats are the product's own, as in
`tests.simulated_registrations`. A fault starts and may end, and a version is written.
Each router in touch is observed until the version is in force, and afterwards for a
return to an older one. Instead of a version, an endpoint may leave or be deregistered.
``python -m tests.simulated_configurations SIZES SEEDS WORD`` prints the times for each
fleet size and fault.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from enum import Enum

import logbook

from carawayfold.protocol.sources import EndpointChange
from carawayfold.state.progress import is_newer
from tests.simulated_fleet import STRONG, WEAK, simulate, started
from tests.simulated_registrations import SETTLED, SimulatedNews
from tests.simulated_store import Access
from tests.simulated_troubles import readers_first

#: Seconds between checks of the routers.
LOOK_INTERVAL = 0.01
#: Seconds within which each router must apply a version.
PATIENCE = 8.0
#: Seconds for which routers are observed after all have applied the version.
WATCHED_ON = 2.0
#: Seconds after the end of its fault from which a router counts as in touch.
STABLE = 3.0


@dataclass(frozen=True)
class Trouble:
    """Faults before a version is written.

    Attributes
    ----------
    silent, refused : float
        Fractions of the routers that get no answers of the store, or refusals.
    topic_silent : float
        Fraction of the routers that get no answers for the operators' topic.
    readers_hang : int
        Number of readers in each data centre that get no answers for that topic.
    apart : int
        Number of data centres that are cut off from the others.
    killed : float
        Fraction of the routers that are killed and restart.
    connections_silent : float
        Fraction of the routers whose open connections to the store stop responding.
    lasts : tuple of float
        Minimum and maximum duration in seconds. A version is written at its start, so
        that all routers begin to read at the same time.
    ends : bool
        Whether it ends before the version is written.
    loss : float
        Fraction of datagrams that are lost.
    """

    silent: float = 0.0
    refused: float = 0.0
    topic_silent: float = 0.0
    readers_hang: int = 0
    apart: int = 0
    killed: float = 0.0
    connections_silent: float = 0.0
    lasts: tuple[float, float] = (0.5, 6.0)
    ends: bool = True
    loss: float = 0.0


TROUBLES = {
    "calm": Trouble(),
    "loss": Trouble(loss=0.05),
    "store silent for all": Trouble(silent=1.0),
    "store refuses all": Trouble(refused=1.0),
    "one topic silent for all": Trouble(topic_silent=1.0),
    "readers' topic silent": Trouble(readers_hang=1, ends=False),
    "both readers' topic silent": Trouble(readers_hang=2, lasts=(0.0, 0.3), ends=False),
    "6 of 10 silent, going on": Trouble(silent=0.6, ends=False),
    "6 of 10 refused, going on": Trouble(refused=0.6, ends=False),
    "cut": Trouble(apart=1),
    "cut, store silent": Trouble(apart=1, silent=1.0),
    "all killed": Trouble(killed=1.0),
    "half killed, store silent": Trouble(killed=0.5, silent=1.0),
    "store silent, loss": Trouble(silent=1.0, loss=0.05),
    "store silent for long": Trouble(silent=1.0, lasts=(9.0, 13.0)),
    "connections silent": Trouble(connections_silent=1.0, lasts=(0.0, 1.0)),
    "half silenced, half swallowed": Trouble(
        connections_silent=0.5, silent=0.5, lasts=(0.0, 1.0), ends=False
    ),
}


class Word(Enum):
    """Records that are written after a fault."""

    VERSION = "a version of the configuration"
    LEAVES = "an endpoint leaves"
    GOES = "an endpoint's entry vanishes"


@dataclass
class Round:
    """Results of one round.

    Attributes
    ----------
    ages : dict of str to float
        Seconds from the write until the version was in force, by router.
    late : dict of str to float
        Seconds beyond the allowed time, if any, by router.
    back : set of str
        Routers that returned to an older version.
    calls : float
        Calls of the store in a second without faults.
    """

    ages: dict[str, float] = field(default_factory=dict)
    late: dict[str, float] = field(default_factory=dict)
    back: set[str] = field(default_factory=set)
    calls: float = 0.0


async def play_round(count, places, trouble, seed, bound, word=Word.VERSION):
    """Simulate a fault and a record after it, and return the results."""
    fleet = started(count, places, seed=seed, loss=trouble.loss)
    world = SimulatedNews(fleet)
    shown = Round()
    await asyncio.sleep(SETTLED)
    world.store.calls.clear()
    await asyncio.sleep(4.0)
    shown.calls = sum(world.store.calls.values()) / 4.0
    await asyncio.sleep(world.draw.uniform(0, 2.0))
    world.store.configure(2)
    await asyncio.sleep(world.draw.uniform(0.01, 0.3))
    strike(world, trouble, places)
    await asyncio.sleep(world.draw.uniform(*trouble.lasts))
    healed = world.loop.time() if trouble.ends else float("-inf")
    if trouble.ends:
        heal(world)
        await asyncio.sleep(world.draw.uniform(0, 1.2))
    written = world.loop.time()
    write(world, word)
    allowed = max(written + bound, healed + STABLE)
    await watch(world, written, allowed, shown, word)
    await fleet.close()
    return shown


def write(world, word):
    if word is Word.VERSION:
        world.store.configure(3)
    elif word is Word.LEAVES:
        world.register("e-0", leaving=True)
    else:
        world.store.write(EndpointChange("e-0", None))


def obeys(router, word):
    """Return whether a router has applied the record."""
    if word is Word.VERSION:
        return not is_newer(3, router.knowledge.version)
    return router.knows("e-0")


async def watch(world, written, allowed, shown, word=Word.VERSION):
    """Observe the routers until all have applied the record for a while."""
    unaware = set(world.in_touch())
    had = {}
    end = written + PATIENCE
    while world.loop.time() < end:
        for name, router in world.routers.items():
            version = router.knowledge.version
            if is_newer(had.get(router), version):
                shown.back.add(name)
            had[router] = version
            if name in unaware and obeys(router, word):
                unaware.discard(name)
                note(shown, name, world.loop.time(), written, allowed)
                if not unaware:
                    end = min(end, world.loop.time() + WATCHED_ON)
        await asyncio.sleep(LOOK_INTERVAL)
    for name in unaware:
        note(shown, name, world.loop.time(), written, allowed)


def note(shown, name, now, written, allowed):
    shown.ages[name] = now - written
    if now > allowed + LOOK_INTERVAL:
        shown.late[name] = now - allowed


def strike(world, trouble, places):
    """Apply a fault."""
    fleet, store = world.fleet, world.store
    names = list(fleet.routers)

    def some(part):
        return world.draw.sample(names, round(part * len(names)))

    store.access.update(dict.fromkeys(some(trouble.silent), Access.SWALLOWED))
    store.access.update(dict.fromkeys(some(trouble.refused), Access.REFUSED))
    hung = some(trouble.topic_silent)
    for place in range(places):
        hung += readers_first(world, f"dc-{place}")[: trouble.readers_hang]
    store.operators_access.update(dict.fromkeys(hung, Access.SWALLOWED))
    silenced = some_but(names, world, trouble)
    store.silenced.update(dict.fromkeys(silenced, world.loop.time()))
    fleet.apart |= {f"dc-{number}" for number in range(trouble.apart)}
    killed = some(trouble.killed)
    fleet.kill(*killed)
    world.killed = killed


def some_but(names, world, trouble):
    """Return the routers whose connections stop responding, among the others."""
    others = [name for name in names if name not in world.store.access]
    wanted = round(trouble.connections_silent * len(names))
    return world.draw.sample(others, min(wanted, len(others)))


def heal(world):
    """End a fault; killed routers restart."""
    fleet = world.fleet
    world.store.access.clear()
    world.store.operators_access.clear()
    fleet.apart.clear()
    for name in world.killed:
        processor = STRONG if fleet.draw.random() < 0.1 else WEAK
        fleet.restart(name, processor, fleet.draw.uniform(0, 0.3))


def rounds_of(count, places, trouble, seeds, bound=2.0, word=Word.VERSION):
    """Return the results of each round."""

    def play(seed):
        return simulate(lambda: play_round(count, places, trouble, seed, bound, word))

    with logbook.NullHandler().applicationbound():
        return [play(seed) for seed in seeds]


def worst_of(played):
    """Return the maximum time until a router applied the record."""
    return max((age for shown in played for age in shown.ages.values()), default=0.0)


def main(sizes, rounds, word):
    """Print a row for each fleet size and fault."""
    print("routers  trouble                    median   worst   late by   calls/s calm")
    for count, places in sizes:
        for name, trouble in TROUBLES.items():
            played = rounds_of(count, places, trouble, range(rounds), word=word)
            ages = sorted(age for shown in played for age in shown.ages.values())
            late = max((x for shown in played for x in shown.late.values()), default=0)
            back = sum(len(shown.back) for shown in played)
            middle = ages[len(ages) // 2] if ages else float("nan")
            row = f"{middle:7.2f} {ages[-1] if ages else 0:7.2f} {late:7.2f}"
            row += f"  {played[0].calls:7.1f}" + (f"  back {back}" if back else "")
            print(f"{count:7}  {name:26} {row}", flush=True)


if __name__ == "__main__":
    chosen = {
        "1": (1, 1),
        "6": (6, 3),
        "9": (9, 4),
        "24": (24, 3),
        "67": (67, 3),
        "195": (195, 5),
        "360": (360, 11),
    }
    wanted = sys.argv[1].split(",") if len(sys.argv) > 1 else list(chosen)
    seeds = int((sys.argv[2:] or ["4"])[0])
    main(
        [chosen[size] for size in wanted], seeds, Word[(sys.argv[3:] or ["VERSION"])[0]]
    )
