"""Time until every router knows that an endpoint leaves.

The routers of a data centre get registrations through a few that read the store. If the
store does not answer those readers, other routers must take over. This fails if only
the age of the readers' records, 3.5 s, makes others read, if failed calls are not
reported to peers, or if a reported age does not increase. With 81 routers and three
readers refused within two milliseconds the next read came 3.65 s later, and 25 requests
reached an endpoint more than 3.0 s after it had announced that it leaves. Heartbeats
therefore carry failed calls, and each hub reads once its records are 1.3 s old.
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

#: Seconds after which no request may be sent to an endpoint that leaves, in the
#: deployment with the strictest bound.
MAX_DELAY = 2.0
#: Seeds of each case.
SEEDS = range(3)
#: Faults that affect one router, or one data centre.
SINGLE_FAULTS = {
    "calm": Trouble(),
    "loss": Trouble(loss=0.05),
    "storm": Trouble(storm=True),
    "one reader refused": replace(TROUBLES["readers refused"], places=1),
    "one reader swallowed": replace(TROUBLES["readers swallowed"], places=1),
    "one reader slow": replace(TROUBLES["readers slow"], places=1),
    "one reader stops": replace(TROUBLES["readers stop"], places=1),
    "cut": Trouble(apart=1),
}
MULTIPLE_FAULTS = {
    name: trouble for name, trouble in TROUBLES.items() if name not in SINGLE_FAULTS
}


def worst(count, places, trouble):
    ages, _ = ages_of(count, places, trouble, SEEDS)
    return ages[-1]


@pytest.mark.parametrize("name", SINGLE_FAULTS)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_one_fault_leaves_half_of_the_bound(count, places, name):
    assert worst(count, places, SINGLE_FAULTS[name]) <= MAX_DELAY / 2


@pytest.mark.parametrize("name", MULTIPLE_FAULTS)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_several_faults_stay_within_the_bound(count, places, name):
    assert worst(count, places, MULTIPLE_FAULTS[name]) <= MAX_DELAY


@pytest.mark.parametrize("seed", [52])
def test_reported_ages_keep_increasing(seed):
    """A hub list or a change of role must not reset the age of a heartbeat.

    The hubs that read for their data centres stop and the store refuses the other hubs.
    If the age is reset, a router that became a hub 0.04 s ago reports records 0.04 s
    old and others rely on it: leaves that could reach the store read it only 3.13 s
    after the endpoint announced that it leaves.
    """
    ages, _ = ages_of(67, 3, TROUBLES["readers stop, 6 of 10 refused"], [seed])
    assert ages[-1] <= MAX_DELAY


@pytest.mark.parametrize("name", HUB_TROUBLES)
def test_leaves_stay_within_the_bound_without_their_hubs(name):
    """Leaves must read the store within the bound if their hubs do not.

    A wait of 1.8 to 2.2 s, whatever the hubs report meanwhile, exceeds the bound.
    """
    ages, _ = ages_of(67, 3, HUB_TROUBLES[name], range(6))
    assert ages[-1] <= MAX_DELAY


@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_a_reader_without_answers_gets_records_from_peers(count, places):
    """A read without an answer fails after 3 s; peers must be asked before that."""
    trouble = SINGLE_FAULTS["one reader swallowed"]
    ages, _ = ages_of(count, places, trouble, SEEDS, SimulatedNews.cut_off)
    assert ages[-1] <= MAX_DELAY / 2


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_an_endpoint_removed_as_a_reader_recovers_is_removed_everywhere(
    count, places, seed
):
    """A reader that has just reached the store again must report a removed entry.

    The endpoint is removed without a notice, 0.1 s after the reader logs `store
    reachable again` (with 81 routers, `"after_s":9.37`). If the reader considers the
    entry lapsed, its peers keep the endpoint.
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

    assert simulate(play) <= MAX_DELAY / 2


#: Prints the result of a round of 67 routers.
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
    """Heartbeats must not be sent in set order, which differs between processes.

    Otherwise a failure can not be repeated by its seed: seed 0 of one case took 0.56,
    0.41, 0.49 and 0.41 s in four processes.
    """
    assert printed("0") == printed("1") == printed("2")


#: Seconds after which no request may be sent to an evacuated data centre, in all known
#: deployments.
MAX_EVACUATION_DELAY = 5.0


@pytest.mark.parametrize("name", TROUBLES)
@pytest.mark.parametrize(("count", "places"), [(24, 3), (67, 3)])
def test_an_evacuation_reaches_all_routers_in_time(count, places, name):
    ages, _ = ages_of(count, places, TROUBLES[name], SEEDS[:2], evacuate=True)
    assert ages[-1] <= MAX_EVACUATION_DELAY


def test_an_evacuation_reaches_all_routers_in_time_when_all_hubs_are_hit():
    for trouble in HUB_TROUBLES.values():
        ages, _ = ages_of(67, 3, trouble, SEEDS[:2], evacuate=True)
        assert ages[-1] <= MAX_EVACUATION_DELAY
