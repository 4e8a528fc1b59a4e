"""When a request may go to a further endpoint, and what it is told at the end."""

from __future__ import annotations

import pytest

from carawayfold.coordination.requests.repeats import (
    AttemptEnd,
    Attempts,
    final_refusal,
    may_repeat,
)
from carawayfold.errors import Ran
from carawayfold.state.routes import RouteKind
from tests.schedule_builders import route

RAN = [
    AttemptEnd.BROKEN,
    AttemptEnd.SILENT,
    AttemptEnd.ERROR_ANSWER,
]
NOT_RUN = [AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE]


def after(*ends):
    attempts = Attempts()
    for end in ends:
        attempts.note(end)
    return attempts


@pytest.mark.parametrize("end", RAN)
def test_what_may_run_once_is_never_sent_again_after_it_may_have_run(end):
    once = route(RouteKind.NON_IDEMPOTENT, attempts=3)
    assert not may_repeat(once, after(end))
    assert not may_repeat(route(resumable=False), after(end))


@pytest.mark.parametrize("end", NOT_RUN)
def test_what_did_not_run_may_go_elsewhere(end):
    once = route(RouteKind.NON_IDEMPOTENT, attempts=1)
    assert may_repeat(once, after(end))


@pytest.mark.parametrize("end", RAN)
def test_a_repeat_ends_at_the_most_attempts(end):
    again = route(RouteKind.IDEMPOTENT, attempts=2)
    assert may_repeat(again, after(end))
    assert not may_repeat(again, after(end, end))


@pytest.mark.parametrize("first", RAN)
@pytest.mark.parametrize("last", RAN + NOT_RUN)
def test_what_may_have_run_is_never_called_not_run(first, last):
    refusal = final_refusal(after(first, last), last)
    assert refusal.ran is Ran.UNKNOWN
    assert refusal.answer.status in (502, 504)


@pytest.mark.parametrize("end", NOT_RUN)
def test_what_did_not_run_is_told_when_to_come_back(end):
    refusal = final_refusal(after(end), end)
    assert refusal.ran is Ran.NO
    assert refusal.answer.status == 503
    assert refusal.wait
