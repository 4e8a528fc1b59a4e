"""Streams that callers resume after all routers were killed at once.

Guards against streams that hold events of two versions: the records of where streams
began are lost, and endpoints of the old version serve no more, or two versions serve.
A route gives its streams so much time that callers return even after the routers have
known the registrations for as long as versions count as serving.
"""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from benchmarks.hosted import HostedFleet, configuration
from benchmarks.processes import Processes
from tests.integration.stream_builders import (
    Stream,
    begin_broken,
    model_service,
    stream_route,
)

ROUTERS = ["router-0", "router-1", "router-2", "router-3"]
#: Services of which both versions serve, and of which the old one has just left.
SERVICES = ["both", "left"]
VERSIONS = ["v1", "v2"]
STREAMS = 36
#: Milliseconds that the route gives its streams, and that their callers wait.
TIMEOUT_MS = 30_000
#: Seconds before the kill at which the endpoints of the old version are removed.
REMOVAL_LEAD = 0.3
#: Seconds after the routers are ready again at which callers return.
RETURNS = (0.2, 5.0, 15.5, 17.0)


def endpoints_of(service, software):
    return [f"{service}-{software}-{number}" for number in range(2)]


@pytest.fixture(scope="module")
def fleet():
    with Processes() as processes:
        fleet = HostedFleet(processes)
        routes = [
            stream_route(f"stream-{name}", name, timeout_ms=TIMEOUT_MS)
            for name in SERVICES
        ]
        services = [model_service(name) for name in SERVICES]
        fleet.configure(configuration(routes=routes, services=services))
        for service in SERVICES:
            for software in VERSIONS:
                for name in endpoints_of(service, software):
                    fleet.start_endpoint(name, service, software=software)
        for router in ROUTERS:
            fleet.start_router(router)
        yield fleet


async def wait_ready(fleet):
    await asyncio.gather(*(fleet.wait_ready(router) for router in ROUTERS))


async def restart_all(fleet):
    """Kill all routers, start them again and wait until they are ready."""
    for router in ROUTERS:
        fleet.routers[router].signal(signal.SIGKILL)
    for router in ROUTERS:
        fleet.routers[router].popen.wait()
        fleet.restart_router(router)
    await wait_ready(fleet)


async def begin(fleet, service):
    """Return streams of a service that broke off."""
    streams = [
        Stream(f"{service}-{number}", f"/stream-{service}/x", TIMEOUT_MS)
        for number in range(STREAMS)
    ]
    names = [name for x in VERSIONS for name in endpoints_of(service, x)]
    return await begin_broken(fleet, names, ROUTERS, streams)


async def play(fleet):
    """Return the streams by service and by when their callers returned."""
    await wait_ready(fleet)
    begun = {service: await begin(fleet, service) for service in SERVICES}
    for name in endpoints_of("left", "v1"):
        fleet.put("keyed.servers", name, None)
    await asyncio.sleep(REMOVAL_LEAD)
    await restart_all(fleet)
    ready_at = time.monotonic()
    for number, at in enumerate(RETURNS):
        await asyncio.sleep(ready_at + at - time.monotonic())
        group = [x for streams in begun.values() for x in streams[number::4]]
        await asyncio.gather(
            *(x.resume(fleet, ROUTERS[i % len(ROUTERS)]) for i, x in enumerate(group))
        )
    return {
        (service, number): streams[number::4]
        for service, streams in begun.items()
        for number in range(4)
    }


@pytest.fixture(scope="module")
def returned(fleet):
    return asyncio.run(play(fleet))


@pytest.mark.parametrize("number", range(4), ids=lambda x: f"{RETURNS[x]}s")
@pytest.mark.parametrize("service", SERVICES)
def test_no_stream_goes_on_at_another_version(returned, service, number):
    streams = returned[service, number]
    assert len(streams) >= STREAMS / 8
    for stream in streams:
        assert stream.answers[-1].status in (200, 503)
    assert {stream.name for stream in streams if stream.is_joined} == set()
