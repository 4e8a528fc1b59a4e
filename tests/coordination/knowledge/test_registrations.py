"""How long until every router knows that an endpoint leaves.

All routers of a data centre learn of registrations through one that reads the store.
Where the store no longer answered those, nobody else asked it, although each other
router could: with 81 routers, three `store unreachable` within two milliseconds, then
nothing until another one read 3.65 s later, and 25 requests at an endpoint more than
3.0 s after it had said that it leaves. Only the age of what the readers knew, 3.5 s,
brought others to read; that a call had failed was told to nobody, and what a reader
said of its age did not go on counting. Failed calls are in heartbeats now, and each hub
reads once what it knows is 1.3 s old.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from dataclasses import replace

import pytest

from tests.simulated_fleet import simulate, started
from tests.simulated_registrations import SETTLED, SimulatedNews, ages_of
from tests.simulated_store import Access
from tests.simulated_troubles import HUB_TROUBLES, TROUBLES, Trouble, readers_first

#: Seconds after which nothing may be sent to an endpoint that leaves, on the deployment
#: with the tightest bound.
BOUND = 2.0
#: Seeds of each case.
SEEDS = range(3)
#: Troubles that hit one router, or one data centre.
SINGLE = {
    "calm": Trouble(),
    "loss": Trouble(loss=0.05),
    "storm": Trouble(storm=True),
    "one reader refused": replace(TROUBLES["readers refused"], places=1),
    "one reader swallowed": replace(TROUBLES["readers swallowed"], places=1),
    "one reader slow": replace(TROUBLES["readers slow"], places=1),
    "one reader stops": replace(TROUBLES["readers stop"], places=1),
    "cut": Trouble(apart=1),
}
MANY = {name: trouble for name, trouble in TROUBLES.items() if name not in SINGLE}


def worst(count, places, trouble):
    ages, _ = ages_of(count, places, trouble, SEEDS)
    return ages[-1]


@pytest.mark.parametrize("name", SINGLE)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_one_trouble_leaves_half_of_the_bound(count, places, name):
    assert worst(count, places, SINGLE[name]) <= BOUND / 2


@pytest.mark.parametrize("name", MANY)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_many_troubles_stay_within_the_bound(count, places, name):
    assert worst(count, places, MANY[name]) <= BOUND


@pytest.mark.parametrize("seed", [52])
def test_what_others_say_of_themselves_goes_on_counting(seed):
    """A roster, or a change of this router's role, made old heartbeats young.

    Each hub that read for its data centre stopped and the store refused the others. At
    0.04 s after it had become a hub, a router said that it had known everything 0.04 s
    before, and all others believed it: leaves that could reach the store read it 3.13 s
    after an endpoint had said that it leaves.
    """
    ages, _ = ages_of(67, 3, TROUBLES["readers stop, 6 of 10 refused"], [seed])
    assert ages[-1] <= BOUND


@pytest.mark.parametrize("name", HUB_TROUBLES)
def test_leaves_stay_within_the_bound_without_their_hubs(name):
    """Leaves waited for 1.8 to 2.2 s before they read for themselves.

    That is more than the bound, whatever their hubs said of themselves meanwhile.
    """
    ages, _ = ages_of(67, 3, HUB_TROUBLES[name], range(6))
    assert ages[-1] <= BOUND


@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_a_reader_without_answers_is_told_by_peers_like_others(count, places):
    """A read that hangs took three seconds to fail, and until then nobody was asked."""
    trouble = SINGLE["one reader swallowed"]
    ages, _ = ages_of(count, places, trouble, SEEDS, SimulatedNews.cut_off)
    assert ages[-1] <= BOUND / 2


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_an_endpoint_that_goes_as_a_reader_comes_back_is_gone_everywhere(
    count, places, seed
):
    """The reader took it for lapsed and told its peers that it stays.

    81 routers: `store reachable again`, `"after_s":9.37`, on the reader, and the entry
    vanished 0.1 s later; an endpoint that says nothing before it goes.
    """

    async def play():
        fleet = started(count, places, seed=seed)
        world = SimulatedNews(fleet)
        await asyncio.sleep(SETTLED)
        reader = readers_first(world, "dc-0")[0]
        world.store.access[reader] = Access.REFUSED
        await asyncio.sleep(8.0)
        calls = world.store.calls[reader]
        world.store.access[reader] = Access.SERVED
        while world.store.calls[reader] == calls:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        ages = await world.vanish("e-0")
        await fleet.close()
        return max(ages.values())

    assert simulate(play) <= BOUND / 2


#: Prints what a round of 67 routers comes to.
ONE_ROUND = """
from tests.simulated_registrations import ages_of
from tests.simulated_troubles import TROUBLES
ages, calls = ages_of(67, 3, TROUBLES["readers stop, 6 of 10 refused"], [0])
print(len(ages), sum(ages), ages[-1], calls)
"""


def printed(hash_seed):
    environment = os.environ | {"PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", ONE_ROUND]
    return subprocess.check_output(command, env=environment, text=True)


def test_a_seed_gives_the_same_round_in_each_process():
    """Heartbeats went out in the order of a set, which differs between processes.

    A case of this module failed once, beside other work, and passed with the same seeds
    ever after; seed 0 of it took 0.56, 0.41, 0.49 and 0.41 s in four processes.
    """
    assert printed("0") == printed("1") == printed("2")


#: Seconds after which nothing may be sent to an evacuated data centre, on the
#: deployments known.
EVACUATION_BOUND = 5.0


@pytest.mark.parametrize("name", TROUBLES)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_an_evacuation_reaches_all_routers_in_time(count, places, name):
    ages, _ = ages_of(count, places, TROUBLES[name], SEEDS[:2], evacuate=True)
    assert ages[-1] <= EVACUATION_BOUND


def test_an_evacuation_reaches_all_routers_in_time_when_all_hubs_are_hit():
    for trouble in HUB_TROUBLES.values():
        ages, _ = ages_of(67, 3, trouble, SEEDS[:2], evacuate=True)
        assert ages[-1] <= EVACUATION_BOUND
