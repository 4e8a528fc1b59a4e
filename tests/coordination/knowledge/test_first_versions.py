"""First configurations of version 0, from the store and from peers."""

from __future__ import annotations

import asyncio

import logbook
import msgspec
import pytest

from carawayfold.checked import MAX_INTEGER
from carawayfold.protocol.sources import Page
from carawayfold.state.routes import WeightedService
from tests.knowledge_builders import knowledge, run_in_loop, table
from tests.schedule_builders import route
from tests.simulated_fleet import WEAK, simulate, started
from tests.simulated_registrations import SETTLED, SimulatedNews
from tests.simulated_store import Access

#: Seconds after which a router that starts has the records of its peers: four polls.
MAX_START_DELAY = 1.0


# Guards against a version 0 that is taken for no configuration: it was treated as
# overtaken by a peer's, whose routes are unknown, and the error ended the router.
@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("version", [0, 1, MAX_INTEGER])
def test_a_first_configuration_of_version_0_ended_the_router(version, listed):
    async def run():
        known, taken = knowledge()
        known.apply_operator_records(Page([table(version)], 1), listed)
        return taken, known.version, known.in_force.version

    assert run_in_loop(run) == ([version], version, version)


# Guards against a version 0 that peers or the store put in force again and again.
def test_version_0_is_replaced_by_later_versions_only():
    async def run():
        known, taken = knowledge()
        for version in (0, 0, 2, 1, 0):
            known.apply_routes(table(version), "peer")
            known.apply_operator_records(Page([table(version)], 1))
        return taken

    assert run_in_loop(run) == [0, 2]


def routes_to(version, service):
    """Return a configuration whose only route goes to a service."""
    routes = (route(services=(WeightedService(service, 1.0),)),)
    return msgspec.structs.replace(table(version), routes=routes)


def changed_services(first, later):
    """Return the routes whose services count as changed, and whether `first` stays."""

    async def run():
        known, _ = knowledge()
        known.apply_operator_records(Page([first], 1), listed=True)
        known.apply_operator_records(Page([later], 2))
        return set(known.route_history.changed_at), known.routes == first

    return run_in_loop(run)


# Guards against an equal version of the store that counts as one that was overtaken, so
# that streams of its routes are refused.
@pytest.mark.parametrize("version", [0, 1, MAX_INTEGER])
def test_an_equal_version_that_is_read_again_changes_nothing(version):
    table = routes_to(version, "model")
    assert changed_services(table, table) == (set(), True)


# Other routers may have put it in force, and begun streams at its service.
@pytest.mark.parametrize("version", [0, 1])
def test_an_equal_version_with_another_service_is_noted_and_not_put_in_force(version):
    changed = changed_services(routes_to(version, "model"), routes_to(version, "other"))
    assert changed == ({route().id}, True)


def start_beside_a_silent_store(count, places, version):
    """Return the version that a router which restarts has from its peers, or None."""

    async def run():
        fleet = started(count, places)
        world = SimulatedNews(fleet, version)
        await asyncio.sleep(SETTLED)
        world.store.access["r-1"] = Access.SWALLOWED
        fleet.kill("r-1")
        fleet.restart("r-1", WEAK)
        await asyncio.sleep(MAX_START_DELAY)
        known = world.routers["r-1"].knowledge.version
        await fleet.close()
        return known

    with logbook.NullHandler().applicationbound():
        return simulate(run)


# Guards against peers with version 0 that count as peers without a configuration.
@pytest.mark.parametrize(("count", "places"), [(4, 2), (24, 3)])
@pytest.mark.parametrize("version", [0, 1])
def test_a_router_beside_a_silent_store_took_no_version_0_from_peers(
    version, count, places
):
    assert start_beside_a_silent_store(count, places, version) == version


def calm_calls(version):
    """Return the store calls of a second of a fleet in which few routers read."""

    async def run():
        fleet = started(24, 3)
        world = SimulatedNews(fleet, version)
        await asyncio.sleep(SETTLED)
        world.store.calls.clear()
        await asyncio.sleep(4.0)
        calls = sum(world.store.calls.values()) / 4.0
        await fleet.close()
        return calls

    with logbook.NullHandler().applicationbound():
        return simulate(run)


# Guards against ages that peers with version 0 report and that nobody counts: every
# router then reads the store for itself.
def test_a_fleet_with_version_0_called_the_store_at_every_router():
    assert calm_calls(0) <= 1.1 * calm_calls(1)
