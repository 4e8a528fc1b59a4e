"""A request at a silent endpoint until the endpoint that replaces it has taken it."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment import endpoint_activity
from carawayfold.coordination.requests import attempts
from carawayfold.coordination.scheduling.offers import Outcome
from carawayfold.state.routes import RouteKind
from tests.coordination.requests.handover_builders import FULL, WHOLE, handover
from tests.schedule_builders import route

REPEATABLE = route(RouteKind.IDEMPOTENT)


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(endpoint_activity, "SILENCE_TIMEOUT", 0.05)
    monkeypatch.setattr(attempts, "CONNECT_TIMEOUT", 0.05)
    monkeypatch.setattr(attempts, "LIVENESS_CHECK_INTERVAL", 0.01)


def play(scenario, asked_route=REPEATABLE):
    """Return the answers to the caller and the outcomes of the grants."""

    async def run():
        async with handover(asked_route) as made:
            await made.second.arrived.wait()
            await scenario(made)
            await made.task
            return made.call.incoming.answers, made.coordinator.outcomes

    answers, outcomes = asyncio.run(asyncio.wait_for(run(), 10))
    return answers, list(outcomes.values())


@pytest.fixture
def long_handover(monkeypatch):
    monkeypatch.setattr(attempts, "HANDOVER_DURATION", 5.0)


def test_the_first_endpoint_answers_if_the_second_has_no_room(long_handover):
    async def scenario(made):
        made.second.answer(FULL)
        while not made.call.attempts.not_run:
            await asyncio.sleep(0)
        made.first.answer(WHOLE % b"first")

    answers, outcomes = play(scenario)
    assert answers == [(200, "first")]
    assert Outcome.COMPLETE in outcomes


def test_the_first_endpoint_answers_if_it_goes_on_before_the_second(long_handover):
    async def scenario(made):
        made.first.answer(WHOLE % b"first")
        await made.second.left.wait()

    answers, outcomes = play(scenario)
    assert answers == [(200, "first")]
    assert sorted(item.value for item in outcomes) == ["cancelled", "whole"]


def test_the_second_endpoint_answers_if_it_begins_first(long_handover):
    async def scenario(made):
        made.second.answer(WHOLE % b"second")
        await made.first.left.wait()

    answers, outcomes = play(scenario)
    assert answers == [(200, "second")]
    assert sorted(item.value for item in outcomes) == ["silent", "whole"]


def test_the_first_attempt_ends_soon_after_the_second_was_sent(monkeypatch):
    monkeypatch.setattr(attempts, "HANDOVER_DURATION", 0.02)

    async def scenario(made):
        await made.first.left.wait()
        made.second.answer(WHOLE % b"second")

    answers, _ = play(scenario)
    assert answers == [(200, "second")]


def test_both_attempts_end_if_the_caller_leaves(long_handover):
    async def run():
        async with handover(REPEATABLE) as made:
            await made.second.arrived.wait()
            made.task.cancel()
            await made.first.left.wait()
            await made.second.left.wait()
            return made.coordinator.outcomes, made.call.attempts.may_have_run

    outcomes, may_have_run = asyncio.run(asyncio.wait_for(run(), 10))
    assert list(outcomes.values()) == [Outcome.CANCELLED] * 2
    assert may_have_run == 2
