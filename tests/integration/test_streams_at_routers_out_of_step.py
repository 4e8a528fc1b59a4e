"""Streams that callers resume at a router that does not know of their version yet.

Guards against streams that hold events of two versions: while a release replaces the
endpoints of a service, one router hears neither the store nor its peers, or stands
still. Streams that began at the new version through other routers break off, and their
callers return at this router, which knows of the old version only.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

import pytest

from benchmarks.hosted import HostedFleet, configuration
from benchmarks.processes import Processes
from tests.integration.stream_builders import (
    EVENTS,
    Stream,
    begin_broken,
    model_service,
    stream_route,
)

ROUTERS = ["router-0", "router-1", "router-2", "router-3"]
LATE_ROUTER = "router-3"
OTHERS = ROUTERS[:3]
STREAMS = 32
#: Seconds for which the routers know the endpoints before a trouble.
ESTABLISHED_DURATION = 16.0
#: Seconds within which the other routers learn of a release.
RELEASE_DELAY = 0.2
#: Seconds for which the router is out of step at least, after its callers returned.
OUT_OF_STEP_DURATION = 0.3
#: Seconds after which a router that is back in touch knows of the release.
CATCH_UP_DURATION = 1.5


@contextlib.contextmanager
def isolated(fleet):
    """Cut the router off in both directions."""
    fleet.isolate(LATE_ROUTER)
    yield
    fleet.reconnect(LATE_ROUTER)


@contextlib.contextmanager
def deaf(fleet):
    """Drop what peers and the store send to the router, but not what it sends."""
    fleet.block((other, LATE_ROUTER) for other in OTHERS)
    fleet.set_store_faults(LATE_ROUTER, swallow_down=True)
    yield
    fleet.reconnect(LATE_ROUTER)


@contextlib.contextmanager
def stopped(fleet):
    """Suspend the router."""
    fleet.routers[LATE_ROUTER].signal(signal.SIGSTOP)
    yield
    fleet.routers[LATE_ROUTER].signal(signal.SIGCONT)


TROUBLES = {
    "isolated": isolated,
    "alone": isolated,
    "deaf": deaf,
    "stopped": stopped,
}
#: Seconds before the release for which the router is out of step already. After so
#: long, it considers its peers failed and queries none.
LEADS = {"alone": 1.4}


def endpoints_of(trouble, software):
    return [f"{trouble}-{software}-{number}" for number in range(2)]


@pytest.fixture(scope="module")
def fleet():
    """Start routers that know the first versions for longer than the window."""
    with Processes() as processes:
        fleet = HostedFleet(processes)
        fleet.start_relay()
        routes = [stream_route(f"stream-{name}", name) for name in TROUBLES]
        services = [model_service(name) for name in TROUBLES]
        fleet.configure(configuration(routes=routes, services=services))
        for trouble in TROUBLES:
            for name in endpoints_of(trouble, "v1"):
                fleet.start_endpoint(name, trouble)
            for name in endpoints_of(trouble, "v2"):
                fleet.launch_endpoint(name, trouble, software="v2")
        for router in ROUTERS:
            fleet.start_router(router, behind_proxy=True)
        asyncio.run(wait_established(fleet))
        yield fleet


async def wait_established(fleet):
    """Wait until each router has known the endpoints for a while."""
    for router in ROUTERS:
        await fleet.wait_ready(router)
    await asyncio.sleep(ESTABLISHED_DURATION)


def release(fleet, trouble):
    """Register the endpoints of the new version; those of the old one leave."""
    for name in endpoints_of(trouble, "v2"):
        fleet.register(name)
    for name in endpoints_of(trouble, "v1"):
        fleet.register(name, state="draining")


async def play(fleet, trouble):
    """Return the streams whose callers returned meanwhile, and afterwards."""
    streams = [
        Stream(f"{trouble}-{number}", f"/stream-{trouble}/x")
        for number in range(STREAMS)
    ]
    new = endpoints_of(trouble, "v2")
    with TROUBLES[trouble](fleet):
        await asyncio.sleep(LEADS.get(trouble, 0.0))
        release(fleet, trouble)
        await asyncio.sleep(RELEASE_DELAY)
        begun = await begin_broken(fleet, new, OTHERS, streams)
        early, late = begun[::2], begun[1::2]
        returns = asyncio.gather(*(x.resume(fleet, LATE_ROUTER) for x in early))
        await asyncio.sleep(OUT_OF_STEP_DURATION)
    await returns
    await asyncio.sleep(CATCH_UP_DURATION)
    await asyncio.gather(*(x.resume(fleet, LATE_ROUTER) for x in late))
    return early, late


@pytest.fixture(scope="module", params=TROUBLES)
def returned(fleet, request):
    return asyncio.run(play(fleet, request.param))


def test_no_stream_of_the_new_version_goes_on_at_the_old_one(returned):
    early, late = returned
    for stream in (*early, *late):
        assert stream.answers[-1].status in (200, 503)
    joined = {stream.name for stream in (*early, *late) if stream.is_joined}
    assert joined == set()


def test_streams_go_on_at_a_router_that_is_back_in_touch(returned):
    _, late = returned
    assert len(late) >= STREAMS / 4
    whole = [stream for stream in late if len(stream.events) == EVENTS]
    assert 2 * len(whole) >= len(late)
