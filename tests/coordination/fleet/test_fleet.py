"""Heartbeats of small and large fleets, on a simulated clock and network."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.fleet.fleet import LATE_FOR, Role
from carawayfold.coordination.fleet.hubs import HUBS, MESH_MOST
from carawayfold.protocol.datagrams import HubEntry, RosterMessage
from tests.simulated_fleet import WEAK, simulate, started

SUBJECTS = [f"model/{number}" for number in range(4)]
#: Seconds in which a fleet has surely settled.
SETTLED = 5.0


def agreed(fleet, place=None):
    """Return whether all routers, or those of a data centre, name the same leaders."""
    return all(len(fleet.leaders(subject, place)) == 1 for subject in SUBJECTS)


def leader(fleet):
    return next(iter(fleet.leaders(SUBJECTS[0])))


def play(scenario, count=67, places=4, **options):
    async def work():
        fleet = started(count, places, **options)
        await asyncio.sleep(SETTLED)
        try:
            return await scenario(fleet)
        finally:
            await fleet.close()

    return simulate(work)


@pytest.mark.parametrize(("count", "places"), [(9, 3), (MESH_MOST, 4)])
def test_a_small_fleet_is_a_mesh(count, places):
    async def scenario(fleet):
        return fleet.roles(), agreed(fleet)

    assert play(scenario, count, places) == ({Role.MESH: count}, True)


@pytest.mark.parametrize(("count", "places"), [(MESH_MOST + 1, 3), (67, 4), (195, 5)])
def test_a_large_fleet_meets_at_three_hubs_a_data_centre(count, places):
    async def scenario(fleet):
        hubs = HUBS * places
        assert fleet.roles() == {Role.HUB: hubs, Role.LEAF: count - hubs}
        assert all(len(fleet.hubs(f"dc-{place}")) == HUBS for place in range(places))
        return agreed(fleet)

    assert play(scenario, count, places)


def test_what_a_router_sends_when_idle_does_not_grow_with_the_fleet():
    def busiest(count, places):
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

        return play(scenario, count, places)

    leaf, most_bytes = busiest(67, 4)
    large_leaf, large_most_bytes = busiest(195, 5)
    assert large_leaf <= leaf <= HUBS / 0.5 + 1
    # A quarter of what a node may send for control at any size.
    assert max(most_bytes, large_most_bytes) < 14_000 / 2


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_datagrams_loses_no_router(seed):
    async def scenario(fleet):
        assert agreed(fleet)
        fleet.changes.clear()
        await asyncio.sleep(20)
        lost = sum(fleet.changes.values())
        return lost <= 2 * len(fleet.routers), agreed(fleet)

    assert play(scenario, seed=seed, loss=0.03) == (True, True)


@pytest.mark.parametrize(("count", "places"), [(9, 3), (67, 4), (195, 5)])
def test_a_killed_decider_is_replaced_within_a_second(count, places):
    async def scenario(fleet):
        lost = leader(fleet)
        fleet.kill(lost)

        def replaced():
            return agreed(fleet) and leader(fleet) != lost

        return await fleet.until(replaced, 1.0) is not None

    assert play(scenario, count, places)


def test_a_router_that_one_asks_in_its_place_looks_at_once():
    async def scenario(fleet):
        lost = leader(fleet)
        asking = next(
            item
            for name, item in fleet.routers.items()
            if item.role is Role.LEAF and fleet.places[name] != fleet.places[lost]
        )
        fleet.kill(lost)
        begun = fleet.loop.time()
        # Four offers go unanswered, then the next in line is asked.
        await asyncio.sleep(0.1)
        asking.unanswered(lost)
        second = fleet.routers[asking.responsible(SUBJECTS[0])]

        def leads():
            second.doubt(lost)
            return second.leader(SUBJECTS[0]) == second.own.router

        await fleet.until(leads, 1.0)
        return second.own.router != lost, fleet.loop.time() - begun < 0.4

    assert play(scenario) == (True, True)


def test_a_suspect_that_is_heard_is_asked_again():
    async def scenario(fleet):
        suspected = leader(fleet)
        asking = next(item for item in fleet.routers.values() if not item.own.hub)
        asking.unanswered(suspected)
        passed_over = asking.responsible(SUBJECTS[0]) != suspected
        leads = asking.leader(SUBJECTS[0]) == suspected
        fleet.routers[suspected].send(asking.own.router, RosterMessage("dc-0", []))
        await asyncio.sleep(0.01)
        return passed_over, leads, asking.responsible(SUBJECTS[0]) == suspected

    assert play(scenario) == (True, True, True)


def test_both_sides_of_a_partition_go_on_and_find_each_other_again():
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

    assert play(scenario)


def test_a_data_centre_that_loses_all_hubs_finds_others():
    async def scenario(fleet):
        fleet.kill(*fleet.hubs("dc-2"))

        def found():
            return agreed(fleet) and len(fleet.hubs("dc-2")) == HUBS

        return await fleet.until(found, 4.0) is not None

    assert play(scenario)


def test_a_fleet_that_restarts_as_a_whole_settles_soon():
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

    assert play(scenario) == (True, True)


def test_a_router_that_stops_is_replaced_at_once():
    async def scenario(fleet):
        stopping = leader(fleet)
        fleet.routers[stopping].stop()

        def replaced():
            return agreed(fleet) and leader(fleet) != stopping

        replaced_after = await fleet.until(replaced, 0.6)
        await asyncio.sleep(SETTLED)
        return replaced_after is not None and replaced()

    assert play(scenario)


def test_a_hub_that_nobody_hears_does_not_become_one_by_being_told():
    async def scenario(fleet):
        sender = min(fleet.hubs("dc-0"))
        leaf = next(
            name
            for name, item in fleet.routers.items()
            if item.role is Role.LEAF and fleet.places[name] == "dc-0"
        )
        stranger = HubEntry("nobody", "192.0.2.1", 1, 7, 10_000)
        message = RosterMessage("dc-0", [stranger])
        fleet.routers[sender].send(leaf, message)
        await asyncio.sleep(0.1)
        told = [item.router for item in fleet.routers[leaf].hubs()]
        assert "nobody" not in told
        await asyncio.sleep(SETTLED)
        return agreed(fleet)

    assert play(scenario)


@pytest.mark.parametrize(("count", "counted"), [(1, None), (2, 2), (9, 9)])
def test_a_router_counts_a_fleet_only_once_it_was_told_of_it(count, counted):
    async def scenario(fleet):
        return {router.counted for router in fleet.routers.values()}

    assert play(scenario, count, 1) == {counted}


def test_a_router_that_is_the_only_one_listed_counts_itself():
    async def scenario(fleet):
        (alone,) = fleet.routers.values()
        alone.listed.set()
        return alone.counted

    assert play(scenario, 1, 1) == 1


@pytest.mark.parametrize(("count", "places"), [(9, 3), (67, 4)])
def test_a_router_that_cannot_keep_up_decides_for_nobody(count, places):
    async def scenario(fleet):
        late = leader(fleet)
        router = fleet.routers[late]
        router.note_late(True)

        def left():
            return agreed(fleet) and leader(fleet) != late

        soon = await fleet.until(left, 1.0)
        router.note_late(False)
        await asyncio.sleep(LATE_FOR / 2)
        router.note_late(False)
        kept = leader(fleet) != late
        await asyncio.sleep(LATE_FOR / 2)
        router.note_late(False)
        again = await fleet.until(lambda: agreed(fleet) and leader(fleet) == late, 1.0)
        return soon is not None, kept, again is not None

    assert play(scenario, count, places) == (True, True, True)


def test_where_no_router_keeps_up_they_decide_all_the_same():
    async def scenario(fleet):
        before = leader(fleet)
        for router in fleet.routers.values():
            router.note_late(True)
        await asyncio.sleep(2.0)
        return agreed(fleet) and leader(fleet) == before

    assert play(scenario, 9, 3)
