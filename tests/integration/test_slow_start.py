"""Limit on the requests a second, over all routers, to an endpoint that warms up.

Guards against routers that ignore the limit: when all endpoints of a service restarted,
they received 225 requests in a second where 12.5 were allowed.
"""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.hosted import HostedFleet, call, configuration, plain_headers

ROUTERS = ["router-0", "router-1"]
ENDPOINTS = ["d-1", "d-2"]
#: Requests a second allowed to an endpoint while it warms up.
RATE = 5.0
#: Most requests that may reach such an endpoint in any second.
MAX_PER_SECOND = RATE * 1.5 + 5
#: Milliseconds left of its warm-up: longer than the test runs.
WARM_UP_LEFT_MS = 600_000
SENDS = 60


def with_warm_up():
    document = configuration()
    for service in document["services"]:
        service["cold_per_s"] = RATE
    return document


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(with_warm_up())
    for name in ENDPOINTS:
        fleet.start_endpoint(name, "desk")
        fleet.register(name, cold_remaining_ms=WARM_UP_LEFT_MS)
    for router in ROUTERS:
        fleet.start_router(router)
    for router in ROUTERS:
        asyncio.run(fleet.wait_ready(router))
    return fleet


def most_in_a_second(fleet, name):
    """Return the most requests that reached an endpoint in any second."""
    times = sorted(record["at"] for record in fleet.ran(name))
    return max(
        (sum(start <= at < start + 1.0 for at in times) for start in times), default=0
    )


def send_all(fleet, names):
    """Send requests sequentially and return their statuses."""

    async def work():
        answers = [
            await call(
                fleet.ports[ROUTERS[number % 2]][0],
                "POST",
                "/once/x",
                b"body",
                plain_headers(name),
            )
            for number, name in enumerate(names)
        ]
        return [answer.status for answer in answers]

    return asyncio.run(work())


def test_endpoints_that_warm_up_get_no_more_than_the_limit(fleet):
    statuses = send_all(fleet, [f"cold-{number}" for number in range(SENDS)])
    assert set(statuses) <= {200, 503}
    served = [len(fleet.ran(name)) for name in ENDPOINTS]
    assert sum(served) == statuses.count(200)
    for name in ENDPOINTS:
        assert most_in_a_second(fleet, name) <= MAX_PER_SECOND


def test_a_warm_endpoint_gets_the_remaining_requests(fleet):
    fleet.start_endpoint("d-3", "desk")
    statuses = send_all(fleet, [f"mixed-{number}" for number in range(SENDS)])
    assert statuses.count(200) >= SENDS - 2
    for name in ENDPOINTS:
        assert most_in_a_second(fleet, name) <= MAX_PER_SECOND
