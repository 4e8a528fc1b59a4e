"""Requests run only in the regions that their route and organisation allow."""

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
    for name, data_centre in ENDPOINTS.items():
        fleet.launch_endpoint(name, "desk")
        fleet.register(name, zone=data_centre)
    fleet.start_router("router-0", regions=REGIONS)
    asyncio.run(fleet.wait_ready("router-0"))
    return fleet


def restrict(fleet, version, route=(), organisation=()):
    """Restrict routes and the organisation to regions; wait until this is in force.

    Without regions there is no restriction; an empty list would exclude all regions.
    """
    document = configuration(version)
    for table, regions in (("routes", route), ("tenants", organisation)):
        for item in document[table] if regions else ():
            item["allowed_regions"] = list(regions)
    fleet.configure(document)
    read_log(fleet, "router-0", event="configuration in force", version=version)


def send(fleet, request):
    headers = plain_headers(request)
    port = fleet.ports["router-0"][0]
    return asyncio.run(call(port, "POST", "/once/x", b"body", headers))


def send_many(fleet, name):
    """Send requests, and return their statuses and the endpoints that ran them."""
    sent = [f"{name}-{number}" for number in range(SENDS)]
    statuses = {send(fleet, item).status for item in sent}
    ran = {
        endpoint
        for endpoint in ENDPOINTS
        for record in fleet.ran(endpoint)
        if record["id"] in sent
    }
    return statuses, ran


@pytest.mark.parametrize(("region", "endpoint"), [("hills", "d-1"), ("coast", "d-2")])
def test_requests_of_a_restricted_route_run_in_its_region(fleet, region, endpoint):
    restrict(fleet, 2, route=[region])
    assert send_many(fleet, "route") == ({200}, {endpoint})


def test_restrictions_of_route_and_organisation_both_apply(fleet):
    restrict(fleet, 2, route=["hills", "coast"], organisation=["coast"])
    assert send_many(fleet, "both") == ({200}, {"d-2"})


def test_requests_without_an_allowed_region_are_refused_and_not_run(fleet):
    restrict(fleet, 2, route=["hills"], organisation=["coast"])
    answer = send(fleet, "nowhere")
    assert (answer.status, send_many(fleet, "none")[1]) == (503, set())
    assert float(answer.headers["retry-after"]) > 0
