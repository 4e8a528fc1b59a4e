"""Requests on connections that were idle, and what their routers report of them."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment import endpoint_activity
from carawayfold.coordination.requests import attempts
from carawayfold.coordination.scheduling.offers import Outcome
from carawayfold.state.budget import BudgetBounds
from carawayfold.state.routes import RouteKind
from tests.coordination.requests.handover_builders import WHOLE, handover
from tests.coordination.requests.replacement_builders import WINDOW
from tests.schedule_builders import route

REPEATABLE = route(RouteKind.IDEMPOTENT)
RUNS_ONCE = route(RouteKind.NON_IDEMPOTENT)
#: A whole answer after which the connection is closed, or kept for 4 s.
CLOSING = WHOLE.replace(b"Content-Length", b"Connection: close\r\nContent-Length")
KEPT = WHOLE.replace(b"Content-Length", b"Keep-Alive: timeout=4\r\nContent-Length")


async def first_answer(made, data):
    """Answer a request at the first endpoint and return the idle connections."""
    await made.first.arrived.wait()
    made.first.answer(data % b"first")
    await made.task
    return made.forwarder.http.idle.get(made.first.address, [])


async def close_under_second(made, asked_route):
    """Have the endpoint close the idle connection while a request is on its way."""
    [connection] = await first_answer(made, KEPT)
    made.coordinator.outcomes.clear()
    made.send(asked_route)
    while connection.exchange is None:
        await asyncio.sleep(0)
    assert connection.used == 2
    made.first.writer.close()


def test_a_repeatable_request_goes_on_if_its_reused_connection_is_closed():
    async def run():
        async with handover(REPEATABLE) as made:
            await close_under_second(made, REPEATABLE)
            await made.second.arrived.wait()
            made.second.answer(WHOLE % b"second")
            await made.task
            return made

    made = asyncio.run(asyncio.wait_for(run(), 10))
    assert made.call.incoming.answers == [(200, "second")]
    assert list(made.coordinator.outcomes.values()) == [
        Outcome.FAILED,
        Outcome.COMPLETE,
    ]
    uses = made.forwarder.http.uses
    assert (uses.opened, uses.reused, uses.lost) == (2, 1, 1)


def test_a_request_that_runs_once_is_not_sent_again():
    async def run():
        async with handover(RUNS_ONCE) as made:
            await close_under_second(made, RUNS_ONCE)
            await made.task
            return made

    made = asyncio.run(asyncio.wait_for(run(), 10))
    # Without a problem document, which would state that it did not run.
    assert made.call.incoming.answers == [(502, "")]
    assert not made.second.arrived.is_set()


def test_a_request_is_not_sent_again_beyond_the_retry_budget():
    async def run():
        async with handover(REPEATABLE) as made:
            made.forwarder.budget.bounds = BudgetBounds(0.0, 0.0, WINDOW)
            await close_under_second(made, REPEATABLE)
            await made.task
            return made

    made = asyncio.run(asyncio.wait_for(run(), 10))
    assert made.call.incoming.answers == [(502, "")]
    assert not made.second.arrived.is_set()


@pytest.mark.parametrize(
    ("reuse_longer", "answer", "asked_route", "expected"),
    [
        (True, KEPT, REPEATABLE, 3750),
        (True, KEPT, RUNS_ONCE, 1000),
        (True, WHOLE, REPEATABLE, 20_000),
        (True, WHOLE, RUNS_ONCE, 1000),
        (True, CLOSING, REPEATABLE, 0),
        (False, KEPT, REPEATABLE, 0),
    ],
)
def test_the_time_for_which_a_connection_is_kept_is_reported(
    reuse_longer, answer, asked_route, expected
):
    async def run():
        async with handover(asked_route) as made:
            made.forwarder.http.reuse_longer = reuse_longer
            at = asyncio.get_running_loop().time()
            await first_answer(made, answer)
            passed = asyncio.get_running_loop().time() - at
            [kept] = made.coordinator.kept.values()
            return kept, passed

    kept, passed = asyncio.run(asyncio.wait_for(run(), 10))
    # The time since the last byte came is part of the test's own.
    assert expected - passed * 1000 - 1 <= kept <= expected


@pytest.mark.parametrize(("reuse_longer", "left"), [(True, 0), (False, 1)])
def test_idle_connections_to_a_silent_endpoint_are_closed(
    monkeypatch, reuse_longer, left
):
    monkeypatch.setattr(endpoint_activity, "SILENCE_TIMEOUT", 0.05)
    monkeypatch.setattr(attempts, "LIVENESS_CHECK_INTERVAL", 0.01)

    async def run():
        async with handover(REPEATABLE) as made:
            client = made.forwarder.http
            client.reuse_longer = reuse_longer
            await made.first.arrived.wait()
            # The connection of a request beside the one that gets no answer.
            silent, made.first.arrived = made.first.writer, asyncio.Event()
            beside = asyncio.ensure_future(client.fetch(made.first.address, "GET", "/"))
            await made.first.arrived.wait()
            made.first.answer(WHOLE % b"beside")
            await beside
            await made.second.arrived.wait()
            idle = len(client.idle[made.first.address])
            made.second.answer(WHOLE % b"second")
            await made.task
            silent.close()
            return made.call.incoming.answers, idle

    answers, idle = asyncio.run(asyncio.wait_for(run(), 10))
    assert answers == [(200, "second")]
    assert idle == left
