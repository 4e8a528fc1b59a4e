"""Configurations that are written while requests of all kinds are on their way."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from benchmarks.hosted import HostedFleet, call, model_headers, plain_headers
from tests.integration.change_builders import SECOND_KEY, changes_in_turn, slow_call

ROUTERS = ("router-0", "router-1")
#: Seconds between two configurations, and number of them.
CHANGE_INTERVAL, CHANGES = 0.15, 36
#: Seconds between two requests of one kind.
CALL_INTERVAL = 0.04
#: Seconds within which each request has an answer or a refusal.
PATIENCE = 9.0


@pytest.fixture
def fleet(processes):
    made = HostedFleet(processes)
    made.configure(changes_in_turn(1))
    for name in ("m-1", "m-2"):
        made.start_endpoint(name, "model", pace=0.02)
    for name in ("d-1", "d-2"):
        made.start_endpoint(name, "desk")
    made.start_endpoint("s-1", "spare")
    for name in ROUTERS:
        made.start_router(name)
    for name in ROUTERS:
        asyncio.run(made.wait_ready(name))
    return made


def stream(port, name):
    return call(port, "POST", "/stream/x", b"body", model_headers(name, 10))


def once(port, name):
    return call(port, "POST", "/once/x", b"body", plain_headers(name))


def again(port, name):
    return slow_call(port, "/again/x", plain_headers(name))


def open_route(port, name):
    return call(port, "POST", "/open/x", b"body", {"Request-Id": name})


def second_key(port, name):
    return call(port, "POST", "/again/x", b"body", plain_headers(name, SECOND_KEY))


#: Kinds of requests with the statuses that they may end with.
KINDS = {
    stream: {200, 503},
    once: {200, 503},
    again: {200, 503},
    open_route: {200, 404, 503},
    second_key: {200, 401, 503},
}


async def ends_of(fleet, send, changes):
    """Return how requests ended that were sent while changes were written."""
    ends = Counter()

    async def one(port, name):
        try:
            answer = await asyncio.wait_for(send(port, name), PATIENCE)
        except (OSError, TimeoutError) as error:
            ends[repr(error)] += 1
            return
        ends[answer.status if answer.complete else "not whole"] += 1

    tasks = []
    while not changes.done():
        port = fleet.ports[ROUTERS[len(tasks) % len(ROUTERS)]][0]
        name = f"{send.__name__}-{len(tasks)}"
        tasks.append(asyncio.create_task(one(port, name)))
        await asyncio.sleep(CALL_INTERVAL)
    await asyncio.gather(*tasks)
    return ends


async def change(fleet):
    for version in range(2, CHANGES + 2):
        await asyncio.to_thread(fleet.configure, changes_in_turn(version))
        await asyncio.sleep(CHANGE_INTERVAL)


def test_each_request_beside_changes_ends_whole_or_refused(fleet):
    async def run():
        changes = asyncio.create_task(change(fleet))
        ends = await asyncio.gather(*[ends_of(fleet, kind, changes) for kind in KINDS])
        return dict(zip(KINDS, ends, strict=True))

    for kind, ends in asyncio.run(run()).items():
        assert set(ends) <= KINDS[kind], (kind.__name__, ends)
        assert ends[200]
