"""Containment of harmful contents, in simulated fleets of several sizes.

Requirement: a content that crashed three endpoints is sent at most three more times,
counted from three seconds after the third crash, and no other content is refused.
"""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment.containment import REVIEW_INTERVAL
from carawayfold.coordination.containment.crash_reports import partition_of
from carawayfold.state.contents import content_id
from carawayfold.state.quarantine import Level
from tests.simulated_crashes import (
    ALLOWED_FOR,
    SimulatedCrashes,
    killers_of,
    play,
)
from tests.simulated_fleet import simulate, started
from tests.simulated_pauses import LOADS, tally_of

#: Endpoints that a content may crash before it is refused.
ALLOWED_CRASHES = 3
#: Times that it may be sent later than `ALLOWED_FOR` after that.
ALLOWED_SENDS = 3
#: Seconds until all routers of a fleet are connected.
CONNECT_DURATION = 6.0
#: Seconds for which a router reads nothing, more than until it holds others for failed.
BLIND_DURATION = 1.5
SIZES = [(6, 3), (67, 4), (195, 6)]


def run_connected(work, routers=6, places=3, seed=1, loss=0.0, engines=12):
    """Return the result of `work` on a connected fleet and its endpoints."""

    async def run():
        fleet = started(routers, places, seed, loss)
        world = SimulatedCrashes(fleet, engines, places)
        await asyncio.sleep(CONNECT_DURATION)
        try:
            return await work(fleet, world)
        finally:
            await fleet.close()
            for task in list(world.tasks):
                task.cancel()

    return simulate(run)


def routers_refusing(world, content):
    """Return the names of the routers that refuse a content."""
    now = world.loop.time()
    return {
        name
        for name, made in world.containments.items()
        if made.quarantine.rejection_remaining(content, now)
    }


def all_refuse(world, content):
    return len(routers_refusing(world, content)) == len(world.containments)


async def crash_engines(world, content, count):
    """Send a content to any router until `count` endpoints have crashed under it."""
    while world.tally.crashes[content] < count:
        before = world.tally.crashes[content]
        world.send(world.any_router(), content, True)
        await world.fleet.until(lambda n=before: world.tally.crashes[content] > n, 1.0)


async def crash_from(world, router, content):
    """Have a router send a content and wait until an endpoint has crashed under it."""
    before = world.tally.crashes[content]
    world.send(router, content, True)
    await world.fleet.until(lambda: world.tally.crashes[content] > before, 1.0)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("loss", [0.0, 0.03])
def test_harmful_contents_are_stopped_within_their_allowance(seed, loss):
    tally = play(seed, seconds=20.0, innocents=20.0, killers=3, killing=1.0, loss=loss)
    assert len(tally.crashes) == 3
    assert max(tally.late_sends.values()) <= ALLOWED_SENDS
    assert tally.refused == 0


@pytest.mark.parametrize("seed", range(5))
def test_no_content_is_refused_where_endpoints_end_by_chance(seed):
    load = {"killers": 0, "killing": 0.0, "crashing": 0.5, "repeated": 10}
    tally = play(seed, seconds=30.0, innocents=40.0, **load)
    assert sum(tally.lost.values()) > 0
    assert tally.refused == 0


@pytest.mark.parametrize("seed", range(5))
def test_repeated_contents_are_served_beside_a_harmful_one(seed):
    load = {"killers": 2, "killing": 1.0, "repeated": 10}
    tally = play(seed, seconds=20.0, innocents=40.0, **load)
    assert max(tally.late_sends.values()) <= ALLOWED_SENDS
    assert tally.refused == 0


@pytest.mark.parametrize(("routers", "places"), SIZES)
@pytest.mark.parametrize("loss", [0.0, 0.03])
def test_every_router_knows_before_the_allowance_begins(routers, places, loss):
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        return await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)

    assert run_connected(work, routers, places, loss=loss) is not None


@pytest.mark.parametrize("late", [0.2, 0.4])
def test_one_crash_counts_once_at_a_router_that_reads_late(late):
    """Guards against counting each copy of a report as a further crash.

    A router that was paused for 0.2 to 0.4 s at a time counted up to four crashes of
    one endpoint, and refused the content after two crashes.
    """

    async def work(fleet, world):
        [harmful] = killers_of(1)
        responsible_router = next(iter(fleet.routers.values())).responsible(
            partition_of(harmful)
        )
        sender = min(world.containments.keys() - {responsible_router})
        made = world.containments[responsible_router]
        world.send(sender, harmful, True)
        await fleet.until(lambda: harmful in made.crash_table.cases, 1.0)
        for _ in range(4):
            fleet.reads_at[responsible_router] = fleet.loop.time() + late
            await asyncio.sleep(late)
        return list(made.crash_table.cases[harmful].crashes)

    assert len(run_connected(work)) == 1


def test_a_late_router_does_not_lower_a_verdict_for_good():
    """Guards against a quarantine replaced by a verdict on fewer crashes.

    A router that reads nothing for a while considers itself responsible. It knew of two
    crashes, and its later verdict replaced the quarantine after three at all routers.
    """

    async def work(fleet, world):
        [harmful] = killers_of(1)
        responsible_router = next(iter(fleet.routers.values())).responsible(
            partition_of(harmful)
        )
        late = min(world.containments.keys() - {responsible_router})
        await crash_from(world, late, harmful)
        await asyncio.sleep(2 * REVIEW_INTERVAL)
        reads_at = fleet.loop.time() + BLIND_DURATION
        fleet.reads_at[late] = reads_at
        await crash_from(world, late, harmful)
        await crash_from(world, responsible_router, harmful)
        await asyncio.sleep(reads_at - fleet.loop.time() - REVIEW_INTERVAL)
        lowered = world.containments[late].quarantine.get(harmful).level
        return lowered, await fleet.until(lambda: all_refuse(world, harmful), 1.0)

    lowered, refused_after = run_connected(work)
    assert lowered is Level.SUSPECTED
    assert refused_after is not None


@pytest.mark.parametrize(("routers", "places"), SIZES[:2])
def test_a_router_that_starts_later_gets_the_verdict(routers, places):
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        world.records.kept.clear()
        fleet.start("late", "dc-0", 52)
        await fleet.until(lambda: "late" in world.containments, 1.0)
        return await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)

    assert run_connected(work, routers, places) is not None


@pytest.mark.parametrize(("routers", "places"), SIZES[:2])
def test_crash_counts_survive_the_router_that_counted_them(routers, places):
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES - 1)
        made = world.containments.items()
        counting_routers = {
            name for name, item in made if harmful in item.crash_table.cases
        }
        assert counting_routers
        world.kill(*counting_routers)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        return await fleet.until(lambda: all_refuse(world, harmful), 2 * ALLOWED_FOR)

    assert run_connected(work, routers, places) is not None


@pytest.mark.parametrize("downtime", [0.3, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crash_counts_survive_a_restart_under_the_same_name(downtime, seed):
    """Peers notice a silent router after 0.6 s; it may have restarted before that."""

    async def work(fleet, world):
        [harmful] = killers_of(1)
        responsible_router = next(iter(fleet.routers.values())).responsible(
            partition_of(harmful)
        )
        processor = fleet.routers[responsible_router].own.processor
        sender, other = sorted(world.containments.keys() - {responsible_router})[:2]
        world.send(sender, harmful, True)
        await fleet.until(
            lambda: harmful in world.containments[responsible_router].crash_table.cases,
            3.0,
        )
        await asyncio.sleep(1.0)
        world.kill(responsible_router)
        await asyncio.sleep(downtime)
        fleet.dead.discard(responsible_router)
        fleet.start(responsible_router, fleet.places[responsible_router], processor)
        await asyncio.sleep(CONNECT_DURATION)
        while world.tally.crashes[harmful] < ALLOWED_CRASHES:
            before = world.tally.crashes[harmful]
            world.send(other, harmful, True)
            await fleet.until(lambda n=before: world.tally.crashes[harmful] > n, 2.0)
        return await fleet.until(lambda: all_refuse(world, harmful), 2 * ALLOWED_FOR)

    assert run_connected(work, seed=seed) is not None


def test_verdicts_survive_all_routers():
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        names = list(world.containments)
        world.kill(*names)
        for name in names:
            fleet.dead.discard(name)
            fleet.start(name, fleet.places[name], 52)
        await fleet.until(lambda: len(world.containments) == len(names), 1.0)
        return all_refuse(world, harmful)

    assert run_connected(work)


def test_a_verdict_is_written_once_the_store_is_back():
    async def work(fleet, world):
        [harmful] = killers_of(1)
        world.records.down = True
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        await asyncio.sleep(5.0)
        world.records.down = False
        return await fleet.until(lambda: harmful in world.records.kept, 5.0)

    assert run_connected(work) is not None


def test_a_verdict_is_written_once_not_by_every_router():
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await asyncio.sleep(5.0)
        return world.records.calls

    assert run_connected(work, 67, 4) == 1


@pytest.mark.parametrize(("routers", "places"), SIZES[:2])
def test_both_sides_of_a_network_partition_know_the_verdict_once_it_ends(
    routers, places
):
    async def work(fleet, world):
        [harmful] = killers_of(1)
        fleet.apart.add("dc-0")
        await asyncio.sleep(3.0)
        while world.tally.crashes[harmful] < ALLOWED_CRASHES:
            near = [x for x in world.containments if fleet.places[x] == "dc-1"]
            world.send(near[0], harmful, True)
            await asyncio.sleep(0.3)
        assert (
            await fleet.until(lambda: routers_refusing(world, harmful), 5.0) is not None
        )
        fleet.apart.clear()
        return await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)

    assert run_connected(work, routers, places) is not None


def test_a_verdict_lifted_by_an_operator_is_lifted_everywhere():
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        made = world.containments[world.any_router()]
        assert made.lift(harmful)
        assert not made.lift(harmful)
        lifted = await fleet.until(
            lambda: not routers_refusing(world, harmful), ALLOWED_FOR
        )
        await fleet.until(lambda: harmful not in world.records.kept, ALLOWED_FOR)
        return lifted, list(world.records.kept)

    assert run_connected(work) == (pytest.approx(0.0, abs=ALLOWED_FOR), [])


def test_a_content_that_was_lifted_is_refused_again_after_as_many_crashes():
    """A lift must not count as a successful run of the content.

    If it does, five more endpoints crash before the content is refused, and it is
    refused for ten seconds only.
    """

    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        world.containments[world.any_router()].lift(harmful)
        await fleet.until(lambda: not routers_refusing(world, harmful), ALLOWED_FOR)
        await crash_engines(world, harmful, 2 * ALLOWED_CRASHES)
        return await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)

    assert run_connected(work) is not None


def test_one_more_crash_after_expiry_has_a_content_refused_again():
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        await fleet.until(lambda: not routers_refusing(world, harmful), 1000.0)
        await crash_engines(world, harmful, ALLOWED_CRASHES + 1)
        return await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)

    assert run_connected(work) is not None


def test_verdicts_of_one_organisation_evict_none_of_another():
    async def work(fleet, world):
        [harmful] = killers_of(1)
        await crash_engines(world, harmful, ALLOWED_CRASHES)
        await fleet.until(lambda: all_refuse(world, harmful), ALLOWED_FOR)
        made = world.containments[world.any_router()]
        for number in range(2000):
            other = content_id("birch", b"POST", b"/", b"%d" % number)
            endpoints = ("e-1", "e-2", "e-3")
            made._issue_verdict(other, "birch", Level.QUARANTINED, 0.0, endpoints)
        await asyncio.sleep(3.0)
        return [
            (made.quarantine.is_suspected(harmful), len(made.quarantine.entries))
            for made in world.containments.values()
        ]

    assert set(run_connected(work)) == {(True, 51)}


@pytest.mark.parametrize("seed", range(3))
def test_pauses_of_sound_endpoints_accuse_no_content(seed):
    tally, suspected, _ = tally_of(LOADS["pauses"], seed, seconds=20.0)
    assert sum(tally.crashes.values()) == 0
    assert suspected == set()


@pytest.mark.parametrize("load", ["harmful, dark", "harmful, hanging"])
@pytest.mark.parametrize("seed", range(3))
def test_a_content_is_stopped_that_ends_endpoints_without_a_reset(load, seed):
    tally, _, _ = tally_of(LOADS[load], seed, seconds=20.0)
    assert max(tally.late_sends.values()) <= ALLOWED_SENDS
