"""Streams that go on while the endpoints of their version are busy."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.state.routes import RouteKind
from tests.simulated_requests import (
    Behaviour,
    end_of,
    events,
    make_endpoint,
    make_routes,
    make_table,
    play,
)

OBJECTIVE, PATIENCE = 0.4, 2.0
#: Seconds between the events of a stream.
PACE = 0.05
#: Events of a stream, and those before its endpoint breaks it off.
LAST, BROKEN_AFTER = 6, 3


def play_streams(scenario, busy):
    """Play a scenario with two endpoints of one version.

    Streams whose names begin with ``busy`` last some seconds. Others break off, and
    have the further events when they are resumed.
    """

    def behave(request, headers):
        if request.startswith("busy"):
            return Behaviour(pieces=events(1, round(busy / PACE), PACE))
        after = headers.get("last-event-id")
        if after is None:
            return Behaviour(pieces=events(1, BROKEN_AFTER, PACE), broken=True)
        return Behaviour(pieces=events(int(after) + 1, LAST, PACE))

    async def run(world):
        world.default_behaviour = behave
        await scenario(world, world.other())

    endpoints = [make_endpoint(name, software="v1") for name in ("e-0", "e-1")]
    routes = make_routes(
        RouteKind.STREAMING, objective=OBJECTIVE, patience=PATIENCE, attempts=2
    )
    world = play(run, make_table(1, routes), endpoints)
    world.check()
    return world


def received(caller):
    """Return the numbers of the events that a caller received."""
    lines = bytes(caller.data).splitlines()
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


async def begin_stream(world, router):
    """Send a stream that breaks off, and wait until its router knows its origin."""
    world.send(router, "first")
    await asyncio.sleep(2 * PACE)


async def resume(world, router):
    """Have a caller resume that stream while the endpoints are busy."""
    await begin_stream(world, router)
    for number in range(2):
        world.send(router, f"busy-{number}")
    await asyncio.sleep(2 * PACE)
    world.send(router, "again", resumes="first", last_event_id=str(BROKEN_AFTER))


@pytest.mark.parametrize("busy", [0.8, 1.4])
def test_a_broken_stream_was_cut_while_its_caller_still_waited(busy):
    async def scenario(world, router):
        world.send(router, "busy")
        await begin_stream(world, router)

    caller = play_streams(scenario, busy).callers["first"]
    assert end_of(caller) == "whole"
    assert received(caller) == list(range(1, LAST + 1))


@pytest.mark.parametrize("busy", [0.8, 1.4])
def test_a_resumed_stream_was_refused_while_its_caller_still_waited(busy):
    caller = play_streams(resume, busy).callers["again"]
    assert end_of(caller) == "whole"
    assert received(caller) == list(range(BROKEN_AFTER + 1, LAST + 1))


def test_a_resumed_stream_is_refused_before_its_caller_leaves():
    caller = play_streams(resume, 4.0).callers["again"]
    assert end_of(caller) == "503"
    assert caller.ended_at - caller.received < PATIENCE
