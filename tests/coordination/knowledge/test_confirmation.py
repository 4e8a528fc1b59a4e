"""Reads of the store that confirm what a router knows."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.knowledge.confirmation import (
    CONFIRMATION_INTERVAL,
    CONFIRMATION_TIMEOUT,
    StoreConfirmation,
)
from carawayfold.protocol.sources import SourceTimeout
from tests.simulated_fleet import simulate

#: Seconds until the store answers.
DELAY = 0.01


class FakeFollower:
    """Follower that keeps when it read, and what it read."""

    def __init__(self, complete=True, delay=DELAY, error=None, has_position=True):
        self.complete, self.delay, self.error = complete, delay, error
        self.has_position = has_position
        self.began = []

    async def read_at_once(self):
        self.began.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.delay)
        if self.error is not None:
            raise self.error
        return self.complete


def confirm_at(followers, *times):
    """Return the results of confirmations that are asked for at some times."""

    async def run():
        confirmation = StoreConfirmation(followers)

        async def ask(after):
            await asyncio.sleep(after)
            return await confirmation.confirm()

        return await asyncio.gather(*(ask(after) for after in times))

    return simulate(run)


def test_both_topics_must_be_read_to_their_ends():
    assert confirm_at([FakeFollower(), FakeFollower()], 0) == [True]
    assert confirm_at([FakeFollower(), FakeFollower(complete=False)], 0) == [False]


def test_records_read_before_the_question_confirm_nothing():
    """What was written after the first read began may be missing in its answer."""
    follower = FakeFollower()
    assert confirm_at([follower], 0, DELAY / 2) == [True, True]
    first, second = follower.began
    assert second - first >= DELAY / 2


def test_all_who_ask_before_a_read_begins_share_it():
    follower = FakeFollower()
    times = [0, 0.001, 0.002, 0.003, 0.004]
    assert confirm_at([follower], *times) == [True] * 5
    first, second = follower.began
    assert second - first == pytest.approx(CONFIRMATION_INTERVAL, abs=1e-6)


@pytest.mark.parametrize(
    "follower",
    [
        FakeFollower(error=SourceTimeout("silent")),
        FakeFollower(delay=CONFIRMATION_TIMEOUT + 0.1),
        FakeFollower(has_position=False),
    ],
)
def test_a_store_that_does_not_answer_confirms_nothing(follower):
    assert confirm_at([FakeFollower(), follower], 0) == [False]


def test_a_router_that_follows_nothing_yet_confirms_nothing():
    assert confirm_at([], 0) == [False]


def test_a_router_without_a_position_makes_no_call():
    reading, lost = FakeFollower(), FakeFollower(has_position=False)
    assert confirm_at([reading, lost], 0) == [False]
    assert reading.began == []


def test_a_request_that_ends_meanwhile_does_not_end_the_read_for_others():
    async def run():
        confirmation = StoreConfirmation([FakeFollower()])
        first = asyncio.create_task(confirmation.confirm())
        second = asyncio.create_task(confirmation.confirm())
        await asyncio.sleep(DELAY / 2)
        first.cancel()
        return await second

    assert simulate(run) is True


def test_a_silent_store_is_not_called_again_while_a_confirmation_waits_for_it():
    follower = FakeFollower(delay=CONFIRMATION_TIMEOUT + 0.1)
    times = [0.02 * number for number in range(30)]
    assert set(confirm_at([follower], *times)) == {False}
    assert len(follower.began) == 3
