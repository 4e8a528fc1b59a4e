"""Routers that start while the store does not answer them, beside peers it answers."""

from __future__ import annotations

import asyncio

import logbook
import pytest

from carawayfold.coordination.knowledge.anti_entropy import AntiEntropy
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.protocol.datagrams import Heartbeat
from tests.coordination.knowledge.test_anti_entropy import starting
from tests.knowledge_builders import knowledge, run_in_loop, table
from tests.schedule_builders import endpoint
from tests.simulated_fleet import WEAK, simulate, started
from tests.simulated_registrations import SETTLED, SimulatedNews
from tests.simulated_store import Access

#: Seconds after which a router that starts has the records of its peers: four polls.
MAX_START_DELAY = 1.0
FLEETS = [(2, 1), (4, 2), (9, 3), (24, 3), (67, 3)]


async def restart_beside_a_silent_store(world, name, silent):
    """Restart a router while the store doesn't answer the routers in `silent`.

    Returns whether it has all records that it needs after `MAX_START_DELAY`.
    """
    fleet = world.fleet
    world.store.access.update(dict.fromkeys(silent, Access.SWALLOWED))
    fleet.kill(name)
    fleet.restart(name, WEAK)
    await asyncio.sleep(MAX_START_DELAY)
    return world.routers[name].knowledge.complete


def is_complete(count, places, all_silent=False, evacuated=False, **records):
    """Return whether the last router of a fleet has all records after its restart."""

    async def run():
        fleet = started(count, places)
        world = SimulatedNews(fleet, **records)
        if evacuated:
            world.store.evacuate("dc-0")
        await asyncio.sleep(SETTLED)
        name = f"r-{count - 1}"
        silent = list(fleet.routers) if all_silent else [name]
        complete = await restart_beside_a_silent_store(world, name, silent)
        known = world.routers[name].knowledge.evacuations.active
        await fleet.close()
        return complete, known

    with logbook.NullHandler().applicationbound():
        return simulate(run)


# Guards against a first position 0 that counts as known by a router that knows nothing:
# it asked no peer for evacuations, and was not ready while its store was silent.
@pytest.mark.parametrize("all_silent", [False, True])
@pytest.mark.parametrize(("count", "places"), FLEETS)
def test_a_router_beside_a_silent_store_asked_no_peer_for_evacuations(
    count, places, all_silent
):
    assert is_complete(count, places, all_silent) == (True, set())


@pytest.mark.parametrize(("count", "places"), FLEETS)
def test_a_router_beside_a_silent_store_gets_the_evacuations_of_its_peers(
    count, places
):
    assert is_complete(count, places, evacuated=True) == (True, {"dc-0"})


# Guards against the same for registrations, where no endpoint has ever registered.
@pytest.mark.parametrize("version", [0, 1])
@pytest.mark.parametrize(("count", "places"), FLEETS)
def test_a_router_beside_a_silent_store_asked_no_peer_for_an_empty_list(
    count, places, version
):
    complete, _ = is_complete(count, places, version=version, endpoints=0)
    assert complete


# Guards against an age of peers' records that counts for a router without any records.
@pytest.mark.parametrize("configured", [False, True])
def test_a_router_without_records_took_the_age_of_its_peers_for_its_own(configured):
    async def run():
        known, _ = knowledge()
        loop = asyncio.get_running_loop()
        known.store.registrations = known.store.operators = loop.time() - 60
        fleet = starting(80)
        made = AntiEntropy(fleet, known, None)
        fleet.heartbeats["router-1"] = Heartbeat("north", False, 1, 0, 2000)
        fleet.heartbeat_times = {"router-1": loop.time()}
        if configured:
            known.apply_routes(table(1), "router-1")
        return round(made.registrations_age()), round(made.operators_age())

    assert run_in_loop(run) == (60, 60)


# Guards against a list of a peer that is ignored because its first position is 0.
def test_a_first_list_of_a_peer_at_position_0_was_ignored():
    async def run():
        known, _ = knowledge()
        known.merge_snapshot(EndpointSnapshot(0, []), "peer")
        first = known.listed
        known.merge_snapshot(EndpointSnapshot(0, [endpoint("a")]), "peer")
        return first, list(known.endpoints.entries)

    assert run_in_loop(run) == (True, [])
