"""When a request may be retried, and the refusal when it is not."""

from __future__ import annotations

import pytest

from carawayfold.coordination.requests.retries import (
    AttemptEnd,
    AttemptHistory,
    final_refusal,
    may_retry,
)
from carawayfold.errors import Ran
from carawayfold.state.routes import RouteKind
from tests.schedule_builders import route

MAY_HAVE_RUN = [
    AttemptEnd.BROKEN,
    AttemptEnd.SILENT,
    AttemptEnd.ERROR_ANSWER,
]
NOT_RUN = [AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE]


def after(*ends):
    attempts = AttemptHistory()
    for end in ends:
        attempts.add(end)
    return attempts


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_a_request_that_must_run_once_is_not_retried_after_it_may_have_run(end):
    non_idempotent = route(RouteKind.NON_IDEMPOTENT, attempts=3)
    assert not may_retry(non_idempotent, after(end))
    assert not may_retry(route(resumable=False), after(end))


@pytest.mark.parametrize("end", NOT_RUN)
def test_a_request_that_did_not_run_may_be_retried(end):
    non_idempotent = route(RouteKind.NON_IDEMPOTENT, attempts=1)
    assert may_retry(non_idempotent, after(end))


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_retries_end_at_the_maximum_of_attempts(end):
    idempotent = route(RouteKind.IDEMPOTENT, attempts=2)
    assert may_retry(idempotent, after(end))
    assert not may_retry(idempotent, after(end, end))


@pytest.mark.parametrize("first", MAY_HAVE_RUN)
@pytest.mark.parametrize("last", MAY_HAVE_RUN + NOT_RUN)
def test_a_request_that_may_have_run_is_never_reported_as_not_run(first, last):
    refusal = final_refusal(after(first, last), last)
    assert refusal.ran is Ran.UNKNOWN
    assert refusal.answer.status in (502, 504)


@pytest.mark.parametrize("end", NOT_RUN)
def test_the_refusal_of_a_request_that_did_not_run_states_when_to_retry(end):
    refusal = final_refusal(after(end), end)
    assert refusal.ran is Ran.NO
    assert refusal.answer.status == 503
    assert refusal.wait
