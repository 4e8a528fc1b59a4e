"""Answers that don't end."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.requests.attempts import MAX_BUFFERED_BYTES
from carawayfold.coordination.requests.retries import AttemptEnd
from carawayfold.state.routes import RouteKind
from tests.coordination.requests.answered_attempts import AnsweredAttempt
from tests.schedule_builders import route

READ = b"x" * 65536
READS = 20
SIGNED = "server-signature"
STREAM = route(RouteKind.STREAMING)


def run(scenario):
    async def start():
        return scenario()

    return asyncio.run(start())


@pytest.mark.parametrize(
    ("names", "end"),
    [((), AttemptEnd.BROKEN), (("not-executed", SIGNED), AttemptEnd.REJECTED)],
    ids=["unsigned", "not run"],
)
def test_an_answer_that_is_not_forwarded_is_bounded(names, end):
    def scenario():
        answered = AnsweredAttempt(route(RouteKind.IDEMPOTENT))
        answered.head(200, *names)
        for _ in range(READS):
            answered.data(READ)
        assert answered.attempt.body_size <= MAX_BUFFERED_BYTES + len(READ)
        assert answered.end() is end
        assert answered.caller.sent == []

    run(scenario)


def test_an_error_answer_to_a_resumption_does_not_begin_a_second_answer():
    def scenario():
        answered = AnsweredAttempt(STREAM, resume_after=3, answer_started=True)
        answered.head(500, SIGNED)
        for _ in range(READS):
            answered.data(READ)
        assert answered.caller.sent == []
        assert answered.end() is AttemptEnd.BROKEN

    run(scenario)


def test_a_forwarded_answer_is_not_kept():
    def scenario():
        answered = AnsweredAttempt(route(RouteKind.IDEMPOTENT))
        answered.head(200, SIGNED)
        for _ in range(READS):
            answered.data(READ)
        assert b"".join(answered.caller.sent[1:]) == READ * READS
        assert answered.attempt.body == []

    run(scenario)
