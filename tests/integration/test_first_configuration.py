"""Routers that start with a first configuration, also beside a silent store."""

from __future__ import annotations

import asyncio
import signal

import pytest

from benchmarks.hosted import KEY, HostedFleet, call, configuration
from benchmarks.processes import Processes

ROUTERS = ["router-0", "router-1", "router-2"]
#: Seconds within which routers must be ready.
MAX_START_DELAY = 20.0


@pytest.fixture(params=[0, 1])
def fleet(request):
    """Start routers with a first configuration of each version."""
    with Processes() as processes:
        fleet = HostedFleet(processes)
        fleet.configure(configuration(request.param))
        fleet.start_endpoint("desk-0", "desk")
        for router in ROUTERS:
            fleet.start_router(router, behind_proxy=True)
        yield fleet


async def statuses(fleet, key):
    """Return the status of one request at each router."""
    answers = [
        await call(fleet.ports[router][0], "POST", "/once/x", b"order", headers(key, i))
        for i, router in enumerate(ROUTERS)
    ]
    return [answer.status for answer in answers]


def headers(key, number):
    return {
        "Request-Id": f"r-{key}-{number}",
        "Request-Deadline": "5000",
        "X-Api-Key": key,
    }


async def wait_ready(fleet):
    async with asyncio.timeout(MAX_START_DELAY):
        for router in ROUTERS:
            await fleet.wait_ready(router)


# Guards against routers that end when they read a configuration of version 0.
def test_routers_with_a_configuration_of_version_0_serve(fleet):
    async def scenario():
        await wait_ready(fleet)
        served = await statuses(fleet, KEY)
        return served, await statuses(fleet, "other-key")

    assert asyncio.run(scenario()) == ([200] * 3, [401] * 3)


# Guards against routers that know no evacuations, as their peers know of none either,
# and so are not ready until the store answers them.
def test_a_router_beside_a_silent_store_waited_for_it_with_ready_peers(fleet):
    async def scenario():
        await wait_ready(fleet)
        fleet.set_store_faults(ROUTERS[0], swallow_up=True, swallow_down=True)
        fleet.routers[ROUTERS[0]].signal(signal.SIGKILL)
        fleet.routers[ROUTERS[0]].popen.wait()
        fleet.restart_router(ROUTERS[0])
        await wait_ready(fleet)
        return await statuses(fleet, KEY)

    assert asyncio.run(scenario()) == [200] * 3
