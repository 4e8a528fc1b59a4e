"""Requests run in the regions to which their route and organisation are kept."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.hosted import HostedFleet, call, configuration, plain_headers
from tests.log_readers import read_log

REGIONS = {"north": "hills", "south": "coast"}
ENDPOINTS = {"d-1": "north", "d-2": "south"}
SENDS = 6


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name, place in ENDPOINTS.items():
        fleet.launch_endpoint(name, "desk")
        fleet.register(name, zone=place)
    fleet.start_router("router-0", regions=REGIONS)
    asyncio.run(fleet.wait_ready("router-0"))
    return fleet


def keep(fleet, version, route=(), organisation=()):
    """Keep the routes and the organisation to regions, and wait until that counts."""
    config = configuration(version)
    for item in config["routes"]:
        item["allowed_regions"] = list(route)
    for item in config["tenants"]:
        item["allowed_regions"] = list(organisation)
    fleet.configure(config)
    read_log(fleet, "router-0", event="configuration in force", version=version)


def ask(fleet, request):
    headers = plain_headers(request)
    port = fleet.ports["router-0"][0]
    return asyncio.run(call(port, "POST", "/once/x", b"body", headers))


def where(fleet, name):
    """Send requests, and return their statuses and the endpoints that ran them."""
    sent = [f"{name}-{number}" for number in range(SENDS)]
    statuses = {ask(fleet, item).status for item in sent}
    ran = {
        endpoint
        for endpoint in ENDPOINTS
        for record in fleet.ran(endpoint)
        if record["id"] in sent
    }
    return statuses, ran


@pytest.mark.parametrize(("region", "endpoint"), [("hills", "d-1"), ("coast", "d-2")])
def test_a_route_is_kept_to_a_region(fleet, region, endpoint):
    keep(fleet, 2, route=[region])
    assert where(fleet, "route") == ({200}, {endpoint})


def test_where_both_are_kept_both_bind(fleet):
    keep(fleet, 2, route=["hills", "coast"], organisation=["coast"])
    assert where(fleet, "both") == ({200}, {"d-2"})


def test_what_may_run_nowhere_is_refused_and_has_not_run(fleet):
    keep(fleet, 2, route=["hills"], organisation=["coast"])
    answer = ask(fleet, "nowhere")
    assert (answer.status, where(fleet, "none")[1]) == (503, set())
    assert float(answer.headers["retry-after"]) > 0
