"""Endpoints that say that they leave, among real processes.

An application endpoint that had said it was leaving got two more requests 3.08 s later,
from two routers in the same millisecond; 3.0 s are allowed. One router decides for all,
so it can't have known; the two that sent obeyed it and did not look at their own lists.
Here the decider gets nothing of the store, and the other router has logged `endpoint
registered`, `"leaving":true`: all of its next 12 requests went to that endpoint. Such a
grant goes back now, and its line tells who was behind: `granted an endpoint that
leaves`, `"known_for_ms":21.8`, `"offset":3`, `"decider":"router-1"`,
`"decider_offset":2`.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from benchmarks.hosted import (
    HostedFleet,
    ask_standin,
    call,
    configuration,
    plain_headers,
)

ROUTERS = ["router-0", "router-1"]
ENDPOINTS = ["d-1", "d-2"]
#: Requests that are sent after the word has come: each has one chance in two.
SENDS = 12


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name in ENDPOINTS:
        fleet.start_endpoint(name, "desk")
    for router in ROUTERS:
        fleet.start_router(router, behind_proxy=True)
    for router in ROUTERS:
        asyncio.run(fleet.wait_ready(router))
    return fleet


def ask(fleet, router, request):
    headers = plain_headers(request)
    port = fleet.ports[router][0]
    return asyncio.run(call(port, "POST", "/once/x", b"body", headers))


async def logged(fleet, router, **wanted):
    """Wait for a line of a router's log with the fields `wanted`, and return it."""
    while True:
        for line in fleet.processes.output_of(router).splitlines():
            fields = json.loads(line)
            if wanted.items() <= fields.items():
                return fields
        await asyncio.sleep(0.02)


def read_log(fleet, router, **wanted):
    return asyncio.run(asyncio.wait_for(logged(fleet, router, **wanted), 20))


def swallow_store(fleet, router):
    """Let nothing of the store come through to a router any more."""
    control = fleet.proxies[f"store-of-{router}"].control
    faults = {"swallow_up": True, "swallow_down": True}
    ask_standin(control, "POST", "/faults", json.dumps(faults).encode())


def ran(fleet, endpoint, requests):
    return [x["id"] for x in fleet.ran(endpoint) if x["id"] in requests]


def test_a_router_that_knows_better_than_the_decider_does_not_send(fleet):
    assert ask(fleet, "router-0", "first").status == 200
    decider = read_log(fleet, "router-0", request="first")["decider"]
    sender = next(name for name in ROUTERS if name != decider)
    swallow_store(fleet, decider)
    fleet.register("d-1", state="draining")
    read_log(fleet, sender, event="endpoint registered", endpoint="d-1", leaving=True)
    late = [f"late-{number}" for number in range(SENDS)]
    assert [ask(fleet, sender, request).status for request in late] == [200] * SENDS
    assert ran(fleet, "d-1", late) == []
    given_back = read_log(fleet, sender, event="granted an endpoint that leaves")
    assert given_back["decider"] == decider
    assert given_back["decider_offset"] < given_back["offset"]
