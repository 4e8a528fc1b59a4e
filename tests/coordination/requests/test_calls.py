"""What a refusal states about a request after several attempts."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.requests.calls import (
    AttemptFailed,
    CallHandler,
    RetryBudget,
)
from carawayfold.errors import ErrorKind, Ran, Refusal
from tests.builders import call, small_view


class SingleSlotDispatcher:
    """Grants one slot, then refuses with ``deadline-exceeded``."""

    def __init__(self):
        self.granted = False

    async def acquire(self, *_):
        if self.granted:
            raise Refusal(ErrorKind.DEADLINE_EXCEEDED)
        self.granted = True
        return "survey-1"


class EmptyContainment:
    """Holds no content under which endpoints crashed."""

    def reject_harmful(self, call):
        pass

    def is_suspected(self, call):
        return False


@pytest.mark.parametrize("ran", [Ran.UNKNOWN, Ran.NO])
def test_refusal_after_a_retry_states_whether_the_first_attempt_may_have_run(ran):
    handler = CallHandler.__new__(CallHandler)
    handler.dispatcher = SingleSlotDispatcher()
    handler.view = small_view()
    handler.stopping = False
    handler.budget = RetryBudget(1.0)
    handler.containment = EmptyContainment()

    async def fail(*_):
        raise AttemptFailed(Refusal(ErrorKind.ENDPOINT_FAILED, ran=ran))

    handler._use_slot = fail
    with pytest.raises(Refusal) as caught:
        asyncio.run(handler.attempt(call()))
    assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
    assert caught.value.ran is ran
