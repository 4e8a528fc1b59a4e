"""Heartbeats of small and large fleets on a simulated clock and network."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.fleet.fleet import LAGGING_DURATION, Role
from carawayfold.coordination.fleet.hubs import HUBS_PER_DATA_CENTRE, MAX_MESH_ROUTERS
from carawayfold.protocol.datagrams import HubEntry, HubListMessage
from tests.simulated_fleet import WEAK, simulate, started

SUBJECTS = [f"model/{number}" for number in range(4)]
#: Seconds after which the roles and leaders of a fleet no longer change.
SETTLING_TIME = 5.0


def agreed(fleet, data_centre=None):
    """Return whether all routers, or those of a data centre, have the same leaders."""
    return all(len(fleet.leaders(subject, data_centre)) == 1 for subject in SUBJECTS)


def leader(fleet):
    return next(iter(fleet.leaders(SUBJECTS[0])))


def run_scenario(scenario, count=67, data_centres=4, **options):
    async def run():
        fleet = started(count, data_centres, **options)
        await asyncio.sleep(SETTLING_TIME)
        try:
            return await scenario(fleet)
        finally:
            await fleet.close()

    return simulate(run)


@pytest.mark.parametrize(("count", "data_centres"), [(9, 3), (MAX_MESH_ROUTERS, 4)])
def test_a_small_fleet_is_a_mesh(count, data_centres):
    async def scenario(fleet):
        return fleet.roles(), agreed(fleet)

    assert run_scenario(scenario, count, data_centres) == ({Role.MESH: count}, True)


@pytest.mark.parametrize(
    ("count", "data_centres"), [(MAX_MESH_ROUTERS + 1, 3), (67, 4), (195, 5)]
)
def test_a_large_fleet_has_three_hubs_in_each_data_centre(count, data_centres):
    async def scenario(fleet):
        hubs = HUBS_PER_DATA_CENTRE * data_centres
        assert fleet.roles() == {Role.HUB: hubs, Role.LEAF: count - hubs}
        assert all(
            len(fleet.hubs(f"dc-{data_centre}")) == HUBS_PER_DATA_CENTRE
            for data_centre in range(data_centres)
        )
        return agreed(fleet)

    assert run_scenario(scenario, count, data_centres)


def test_the_idle_traffic_of_a_router_does_not_grow_with_the_fleet():
    def busiest(count, data_centres):
        async def scenario(fleet):
            fleet.sent.clear()
            fleet.sent_bytes.clear()
            await asyncio.sleep(4)
            leaves = [
                fleet.sent[name] / 4
                for name, router in fleet.routers.items()
                if router.role is Role.LEAF
            ]
            return max(leaves), max(fleet.sent_bytes.values()) / 4

        return run_scenario(scenario, count, data_centres)

    leaf, most_bytes = busiest(67, 4)
    large_leaf, large_most_bytes = busiest(195, 5)
    assert large_leaf <= leaf <= HUBS_PER_DATA_CENTRE / 0.5 + 1
    # Bytes per second: a quarter of the limit for control traffic of an instance.
    assert max(most_bytes, large_most_bytes) < 14_000 / 2


@pytest.mark.parametrize("seed", range(3))
def test_lost_datagrams_do_not_make_routers_considered_failed(seed):
    async def scenario(fleet):
        assert agreed(fleet)
        fleet.changes.clear()
        await asyncio.sleep(20)
        lost = sum(fleet.changes.values())
        return lost <= 2 * len(fleet.routers), agreed(fleet)

    assert run_scenario(scenario, seed=seed, loss=0.03) == (True, True)


@pytest.mark.parametrize(("count", "data_centres"), [(9, 3), (67, 4), (195, 5)])
def test_a_killed_leader_is_replaced_within_a_second(count, data_centres):
    async def scenario(fleet):
        lost = leader(fleet)
        fleet.kill(lost)

        def replaced():
            return agreed(fleet) and leader(fleet) != lost

        return await fleet.until(replaced, 1.0) is not None

    assert run_scenario(scenario, count, data_centres)


def test_a_router_asked_in_place_of_the_leader_confirms_its_failure_early():
    async def scenario(fleet):
        lost = leader(fleet)
        asking = next(
            item
            for name, item in fleet.routers.items()
            if item.role is Role.LEAF and fleet.places[name] != fleet.places[lost]
        )
        fleet.kill(lost)
        begun = fleet.loop.time()
        # Four offers remain unanswered, then the next router in rank is asked.
        await asyncio.sleep(0.1)
        asking.add_suspect(lost)
        second = fleet.routers[asking.responsible(SUBJECTS[0])]

        def leads():
            second.confirm_failure(lost)
            return second.leader(SUBJECTS[0]) == second.own.router

        await fleet.until(leads, 1.0)
        return second.own.router != lost, fleet.loop.time() - begun < 0.4

    assert run_scenario(scenario) == (True, True)


def test_a_suspect_that_sends_a_datagram_is_asked_again():
    async def scenario(fleet):
        suspected = leader(fleet)
        asking = next(item for item in fleet.routers.values() if not item.own.hub)
        asking.add_suspect(suspected)
        passed_over = asking.responsible(SUBJECTS[0]) != suspected
        leads = asking.leader(SUBJECTS[0]) == suspected
        fleet.routers[suspected].send(asking.own.router, HubListMessage("dc-0", []))
        await asyncio.sleep(0.01)
        return passed_over, leads, asking.responsible(SUBJECTS[0]) == suspected

    assert run_scenario(scenario) == (True, True, True)


def test_both_sides_of_a_partition_continue_and_merge_afterwards():
    async def scenario(fleet):
        fleet.apart.add("dc-1")

        def parted():
            inside = fleet.leaders(SUBJECTS[0], "dc-1")
            outside = fleet.leaders(SUBJECTS[0], "dc-0")
            here = {fleet.places[name] for name in inside}
            there = {fleet.places[name] for name in outside}
            both = agreed(fleet, "dc-1") and agreed(fleet, "dc-0")
            return both and here == {"dc-1"} and "dc-1" not in there

        assert await fleet.until(parted, 2.0) is not None
        await asyncio.sleep(10)
        assert parted()
        fleet.apart.clear()
        return await fleet.until(lambda: agreed(fleet), 3.0) is not None

    assert run_scenario(scenario)


def test_a_data_centre_that_loses_all_hubs_chooses_new_ones():
    async def scenario(fleet):
        fleet.kill(*fleet.hubs("dc-2"))

        def found():
            return agreed(fleet) and len(fleet.hubs("dc-2")) == HUBS_PER_DATA_CENTRE

        return await fleet.until(found, 4.0) is not None

    assert run_scenario(scenario)


def test_a_fleet_that_restarts_as_a_whole_agrees_on_leaders_soon():
    async def scenario(fleet):
        names = list(fleet.routers)
        fleet.kill(*names)
        fleet.dead.clear()
        fleet.sent.clear()
        for name in names:
            fleet.start(name, fleet.places[name], WEAK, fleet.draw.uniform(0, 1))
        await asyncio.sleep(1)

        def settled():
            return len(fleet.routers) == len(names) and agreed(fleet)

        settled_after = await fleet.until(settled, 3.0)
        return settled_after is not None, sum(fleet.sent.values()) / len(names) < 400

    assert run_scenario(scenario) == (True, True)


def test_a_router_that_stops_is_replaced_at_once():
    async def scenario(fleet):
        stopping = leader(fleet)
        fleet.routers[stopping].stop()

        def replaced():
            return agreed(fleet) and leader(fleet) != stopping

        replaced_after = await fleet.until(replaced, 0.6)
        await asyncio.sleep(SETTLING_TIME)
        return replaced_after is not None and replaced()

    assert run_scenario(scenario)


def test_a_listed_hub_that_sends_no_heartbeat_does_not_become_a_member():
    async def scenario(fleet):
        sender = min(fleet.hubs("dc-0"))
        leaf = next(
            name
            for name, item in fleet.routers.items()
            if item.role is Role.LEAF and fleet.places[name] == "dc-0"
        )
        unreachable = HubEntry("nobody", "192.0.2.1", 1, 7, 10_000)
        message = HubListMessage("dc-0", [unreachable])
        fleet.routers[sender].send(leaf, message)
        await asyncio.sleep(0.1)
        listed = [item.router for item in fleet.routers[leaf].hubs()]
        assert "nobody" not in listed
        await asyncio.sleep(SETTLING_TIME)
        return agreed(fleet)

    assert run_scenario(scenario)


@pytest.mark.parametrize(("count", "expected"), [(1, None), (2, 2), (9, 9)])
def test_the_fleet_size_is_unknown_before_entries_or_heartbeats(count, expected):
    async def scenario(fleet):
        return {router.known_size for router in fleet.routers.values()}

    assert run_scenario(scenario, count, 1) == {expected}


def test_the_fleet_size_is_one_for_the_only_listed_router():
    async def scenario(fleet):
        (alone,) = fleet.routers.values()
        alone.listed.set()
        return alone.known_size

    assert run_scenario(scenario, 1, 1) == 1


@pytest.mark.parametrize(("count", "data_centres"), [(9, 3), (67, 4)])
def test_a_lagging_router_does_not_lead(count, data_centres):
    async def scenario(fleet):
        late = leader(fleet)
        router = fleet.routers[late]
        router.set_lagging(True)

        def replaced():
            return agreed(fleet) and leader(fleet) != late

        soon = await fleet.until(replaced, 1.0)
        router.set_lagging(False)
        await asyncio.sleep(LAGGING_DURATION / 2)
        router.set_lagging(False)
        still_replaced = leader(fleet) != late
        await asyncio.sleep(LAGGING_DURATION / 2)
        router.set_lagging(False)
        again = await fleet.until(lambda: agreed(fleet) and leader(fleet) == late, 1.0)
        return soon is not None, still_replaced, again is not None

    assert run_scenario(scenario, count, data_centres) == (True, True, True)


def test_routers_lead_as_usual_if_all_of_them_lag():
    async def scenario(fleet):
        before = leader(fleet)
        for router in fleet.routers.values():
            router.set_lagging(True)
        await asyncio.sleep(2.0)
        return agreed(fleet) and leader(fleet) == before

    assert run_scenario(scenario, 9, 3)
