"""Routers behind the relay of the stand-ins work as usual, and can be isolated."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.hosted import HostedFleet, call, configuration, plain_headers, route
from tests.log_readers import read_log

ROUTERS = ["router-0", "router-1", "router-2"]
ISOLATED = "router-2"
#: Seconds within which routers learn of a change.
CHANGE_TIMEOUT = 10.0


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.start_relay()
    fleet.configure(configuration())
    fleet.start_endpoint("d-1", "desk")
    for router in ROUTERS:
        fleet.start_router(router, behind_proxy=True)
    for router in ROUTERS:
        asyncio.run(fleet.wait_ready(router))
    return fleet


def add_route(fleet):
    """Write a configuration with one more route and return its path."""
    config = configuration(version=2)
    config["routes"].append(route("new", "idempotent", "desk"))
    fleet.configure(config)
    return "/new/x"


async def wait_known(fleet, router, path):
    """Wait until a router knows the route of a path."""
    async with asyncio.timeout(CHANGE_TIMEOUT):
        status = 404
        while status == 404:
            port = fleet.ports[router][0]
            status = (
                await call(port, "POST", path, headers=plain_headers("probe"))
            ).status
            await asyncio.sleep(0.02)


def test_peers_notice_that_a_router_is_isolated_and_that_it_is_back(fleet):
    pairs = sorted(fleet.pairs_of(ISOLATED))
    live = {"event": "router state changed", "state": "live"}
    for router, peer in pairs:
        read_log(fleet, router, router=peer, **live)
    fleet.isolate(ISOLATED)
    for router, peer in pairs:
        read_log(fleet, router, event="router failed", router=peer)
    fleet.reconnect(ISOLATED)
    for router, peer in pairs:
        read_log(fleet, router, count=2, router=peer, **live)


def test_an_isolated_router_learns_of_a_configuration_once_it_is_back(fleet):
    fleet.isolate(ISOLATED)
    path = add_route(fleet)
    asyncio.run(wait_known(fleet, ROUTERS[0], path))
    port = fleet.ports[ISOLATED][0]
    answer = asyncio.run(call(port, "POST", path, headers=plain_headers("q-1")))
    assert answer.status != 200
    fleet.reconnect(ISOLATED)
    asyncio.run(wait_known(fleet, ISOLATED, path))


def test_a_router_without_the_store_fetches_from_peers_through_the_relay(fleet):
    fleet.set_store_faults(ISOLATED, swallow_up=True, swallow_down=True)
    asyncio.run(wait_known(fleet, ISOLATED, add_route(fleet)))
