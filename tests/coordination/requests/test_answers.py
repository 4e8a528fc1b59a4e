"""Answers that don't end, and streams on which no event comes."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.requests.attempts import MAX_BUFFERED_BYTES
from carawayfold.coordination.requests.forwarding import outcome_of
from carawayfold.coordination.requests.retries import AttemptEnd
from carawayfold.coordination.scheduling.offers import Outcome
from carawayfold.protocol.events import EVENT_LIMIT
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


@pytest.mark.parametrize(
    "endless", [b"data: ", b": alive\n\n", b"data: x\n\n"], ids=repr
)
@pytest.mark.parametrize("begun", [False, True])
def test_a_stream_without_events_fails(endless, begun):
    def scenario():
        answered = AnsweredAttempt(STREAM)
        answered.head(200, SIGNED)
        if begun:
            answered.data(b"id: 1\n\n")
        for _ in range(2 * EVENT_LIMIT // len(READ)):
            answered.data(endless * (len(READ) // len(endless)))
        assert answered.forwarder.done.done()
        assert answered.end() is AttemptEnd.BROKEN
        assert not answered.caller.ended
        assert bool(answered.caller.sent) is begun

    run(scenario)


def test_only_events_are_progress_of_a_stream():
    def scenario():
        answered = AnsweredAttempt(STREAM)
        answered.head(200, SIGNED)
        active = len(answered.forwarder.active_at)
        for data in (b": alive\n\n", b"data: x\n\n", b"id: 1\nda"):
            answered.data(data)
        assert len(answered.forwarder.active_at) == active
        assert answered.forwarder.begun == []
        answered.data(b"ta: x\n\n")
        assert len(answered.forwarder.active_at) == active + 1
        assert len(answered.forwarder.begun) == 1

    run(scenario)


def test_a_complete_stream_without_numbers_is_forwarded():
    def scenario():
        answered = AnsweredAttempt(STREAM)
        answered.head(200, SIGNED)
        answered.data(b"data: x\n\n")
        assert answered.end() is AttemptEnd.COMPLETE
        assert answered.caller.sent == [200, b"data: x\n\n"]
        assert answered.caller.ended

    run(scenario)


def test_an_unsigned_stream_is_not_forwarded():
    def scenario():
        answered = AnsweredAttempt(STREAM)
        answered.head(200)
        answered.data(b"id: 1\n\n")
        assert answered.caller.sent == []
        assert answered.end() is AttemptEnd.BROKEN

    run(scenario)


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.STREAMING])
def test_nothing_is_read_while_the_caller_is_slower(kind):
    def scenario():
        answered = AnsweredAttempt(route(kind))
        connection = answered.attempt.connection
        answered.caller.slow = True
        answered.head(200, SIGNED)
        for number in range(READS):
            answered.data(b"id: %d\ndata: %b\n\n" % (number, READ))
        assert connection.paused
        active = len(answered.forwarder.active_at)
        answered.caller.resume()
        assert not connection.paused
        assert len(answered.forwarder.active_at) == active + 1

    run(scenario)


def test_a_caller_that_reads_the_rest_later_resumes_no_later_request():
    def scenario():
        answered = AnsweredAttempt(STREAM)
        connection = answered.attempt.connection
        answered.caller.slow = True
        answered.head(200, SIGNED)
        answered.data(b"id: 1\ndata: x\n\n")
        answered.forwarder.done.set_result(None)
        active = len(answered.forwarder.active_at)
        # A later request has the connection, and its caller is slow too.
        connection.paused = True
        answered.caller.resume()
        assert connection.paused
        assert len(answered.forwarder.active_at) == active

    run(scenario)


@pytest.mark.parametrize("status", [500, 503, 504])
def test_an_error_answer_that_is_not_retried_counts_as_a_failure(status):
    """Guards against an engine that answers each request with an error at once.

    It seemed to answer within two milliseconds and to have read the prompts, and drew
    most of the requests with long prompts.
    """

    def scenario():
        answered = AnsweredAttempt(route(RouteKind.NON_IDEMPOTENT))
        answered.head(status, SIGNED)
        answered.data(READ)
        end = answered.end()
        assert end is AttemptEnd.COMPLETE
        assert answered.caller.sent[0] == status
        assert answered.caller.ended
        assert answered.forwarder.begun == []
        assert outcome_of(answered.attempt, end) is Outcome.FAILED

    run(scenario)


def test_a_long_error_answer_counts_as_a_failure():
    """Its body is passed on as it arrives."""

    def scenario():
        answered = AnsweredAttempt(route(RouteKind.NON_IDEMPOTENT))
        answered.head(500, SIGNED)
        for _ in range(READS):
            answered.data(READ)
        end = answered.end()
        assert end is AttemptEnd.COMPLETE
        assert answered.caller.ended
        assert outcome_of(answered.attempt, end) is Outcome.FAILED

    run(scenario)


@pytest.mark.parametrize("status", [200, 404, 429])
def test_an_answer_without_an_error_of_the_endpoint_counts_as_complete(status):
    def scenario():
        answered = AnsweredAttempt(route(RouteKind.NON_IDEMPOTENT))
        answered.head(status, SIGNED)
        answered.data(READ)
        end = answered.end()
        assert outcome_of(answered.attempt, end) is Outcome.COMPLETE
        assert len(answered.forwarder.begun) == 1

    run(scenario)
