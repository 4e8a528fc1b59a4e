"""Streams resumed at routers that have no proof of where these began.

A router that is out of step, or knows less of the past than callers wait, must refuse a
stream of which it has no record: the only version that it knows is no proof.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from carawayfold.protocol.sources import Page
from carawayfold.state.endpoints import EndpointTable
from carawayfold.state.route_history import RouteHistory
from carawayfold.state.stream_origins import Origin
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate, started
from tests.simulated_streams import ROUTE, SETTLED, SimulatedStreams, route_table

#: A world in which one version has served for long.
SOLE = {"versions": ("v1",), "complete_for": 100.0}
V1 = Origin("model", "v1")


def run_fleet(work, **world):
    """Return the result of `work` on four routers."""

    async def run():
        fleet = started(4, 2)
        streams = SimulatedStreams(fleet, **world)
        await asyncio.sleep(SETTLED)
        try:
            return await work(fleet, streams)
        finally:
            await fleet.close()

    return simulate(run)


def test_a_router_cut_off_for_a_moment_does_not_name_the_version_that_it_knows():
    async def work(fleet, world):
        world.cut_off("r-0")
        await asyncio.sleep(0.3)
        for name in ("r-1", "r-2", "r-3"):
            world.register(name, endpoint("e-2", software="v2"))
        world.begin("s", "r-1", "v2")
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) is None


def test_a_router_cut_off_from_the_store_does_not_name_the_version_that_it_knows():
    """No peer has a record: the router that began the stream has ended."""

    async def work(fleet, world):
        world.cut_off_store("r-0")
        for name in ("r-1", "r-2", "r-3"):
            world.register(name, endpoint("e-2", software="v2"))
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) is None


def test_a_peer_cut_off_from_the_store_does_not_name_the_version_that_it_knows():
    async def work(fleet, world):
        for name in ("r-0", "r-1", "r-2"):
            world.cut_off_store(name)
        world.register("r-3", endpoint("e-2", software="v2"))
        fleet.kill("r-3")
        own = world.routers["r-0"].knowledge.endpoints.software
        own.complete_since = fleet.loop.time()
        world.routers["r-0"].origins.refresh()
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) is None


@pytest.mark.parametrize("after", [16.0, 25.0, 39.0])
def test_the_history_reaches_back_as_far_as_callers_wait(after):
    """After all routers have ended, a version that left before is unknown to all."""
    long = msgspec.structs.replace(ROUTE, timeout=30.0)

    async def work(fleet, world):
        await asyncio.sleep(after - SETTLED)
        return await world.resume("s", "r-0")

    assert run_fleet(work, versions=("v1",), routed=long) is None


def test_streams_go_on_once_the_history_reaches_back_far_enough():
    async def work(fleet, world):
        await asyncio.sleep(RouteHistory().window)
        return await world.resume("s", "r-0")

    assert run_fleet(work, versions=("v1",)) == V1


def test_a_router_that_has_just_started_does_not_know_earlier_services_of_a_route():
    """A peer's list of endpoints tells nothing of the route's services before."""

    async def work(fleet, world):
        for name in ("r-1", "r-2", "r-3"):
            fleet.kill(name)
        made = world.routers["r-0"]
        made.knowledge.route_history = RouteHistory()
        made.knowledge.route_history.note_table(route_table(), fleet.loop.time())
        made.restart_origins()
        made.origins.refresh()
        await asyncio.sleep(1.0)
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) is None


def test_a_router_without_news_of_the_operators_does_not_know_a_routes_service():
    async def work(fleet, world):
        world.cut_off_operators("r-0")
        moved = route_table(services=("other",))
        for name in ("r-1", "r-2", "r-3"):
            world.routers[name].knowledge.apply_routes(moved, "store")
            world.routers[name].origins.refresh()
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) is None


def test_the_version_of_an_entry_that_is_not_accepted_yet_may_have_served():
    """Another router may have accepted it before."""
    table = EndpointTable()
    table.put(endpoint("e-1", incarnation=5, software="v2"), 100.0)
    table.put(endpoint("e-1", incarnation=4, software="v1"), 101.0)
    assert table.software_of("model", 101.0, 10.0) == {"v1", "v2"}


def test_a_configuration_of_a_restored_store_does_not_hide_the_one_in_force():
    async def work(fleet, world):
        made = world.routers["r-0"]
        made.knowledge.apply_routes(route_table(services=("model", "other")), "store")
        listed = Page([route_table()], 1)
        made.knowledge.apply_operator_records(listed, listed=True)
        await asyncio.sleep(2 * RouteHistory().window)
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) is None


def test_a_route_with_a_shorter_timeout_does_not_shorten_the_past():
    """The stream may have begun under the longer one, or on another route."""
    long = msgspec.structs.replace(ROUTE, timeout=100.0)

    async def work(fleet, world):
        shorter = msgspec.structs.replace(route_table(), version=2)
        for made in world.routers.values():
            made.knowledge.apply_routes(shorter, "store")
        await asyncio.sleep(RouteHistory().window + 1)
        return await world.resume("s", "r-0")

    assert run_fleet(work, versions=("v1",), routed=long) is None


def test_a_record_of_a_peer_outweighs_a_proof_that_is_faster():
    async def work(fleet, world):
        world.begin("s", "r-1", "v2")
        await asyncio.sleep(0.1)
        for made in world.routers.values():
            made.origins.reported.records.clear()
        slow = world.routers["r-1"].origins
        reply, loop = slow._reply, fleet.loop

        def reply_late(*args):
            loop.call_later(0.01, reply, *args)

        slow._reply = reply_late
        return await world.resume("s", "r-0")

    assert run_fleet(work, **SOLE) == Origin("model", "v2")


def test_an_entry_that_is_not_accepted_yet_counts_for_as_long_as_it_lasts():
    table = EndpointTable()
    table.put(endpoint("e-1", incarnation=5, software="v2"), 100.0)
    table.put(endpoint("e-1", incarnation=4, software="v1"), 101.0)
    assert table.software_of("model", 1000.0, 10.0) == {"v1", "v2"}
