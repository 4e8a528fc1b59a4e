"""What a scheduler concludes from endpoints that send nothing for a while."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.endpoint_load import (
    MAX_SUSPENSION_DURATION,
    MIN_SUSPENSION_DURATION,
)
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from tests.schedule_builders import offer, scheduler
from tests.simulated_silences import play


def grant(pool, now, *calls):
    """Have a scheduler grant requests of short prompts; return their endpoints."""
    for call in calls:
        pool.offer(offer(call, tokens=10, own=10, now=now), now)
    decisions = pool.decide(now)
    return {item.call: item.endpoint for item in decisions if isinstance(item, Granted)}


def silence(pool, calls, at, interval=0.05):
    """End attempts one after the other without a byte from their endpoint."""
    for number, call in enumerate(calls):
        pool.ended(call, Outcome.SILENT, at + number * interval)


CALLS = [f"r.0.{number}" for number in range(6)]


def test_one_silence_of_several_requests_counts_once():
    pool = scheduler(slots=8)
    assert len(grant(pool, 1.0, *CALLS)) == 6
    silence(pool, CALLS, at=2.0)
    last = 2.0 + 5 * 0.05
    assert not grant(pool, last + 0.9 * MIN_SUSPENSION_DURATION, "r.0.9")
    assert grant(pool, last + 1.1 * MIN_SUSPENSION_DURATION, "r.0.10")


def test_one_silence_of_several_requests_is_one_failure():
    pools = [scheduler(slots=8), scheduler(slots=8)]
    for pool, calls in zip(pools, (CALLS, CALLS[:1]), strict=True):
        grant(pool, 1.0, *calls)
        silence(pool, calls, at=2.0)
    ratios = [pool.loads["e-0"].current_failure_ratio(2.5) for pool in pools]
    assert ratios[0] == pytest.approx(ratios[1])


def test_an_endpoint_that_stays_silent_is_suspended_for_longer_each_time():
    pool = scheduler(slots=8)
    now, pauses = 1.0, []
    for number in range(5):
        calls = [f"r.{number}.{call}" for call in range(3)]
        assert len(grant(pool, now, *calls)) == 3
        silence(pool, calls, at=now + 1.0, interval=0.0)
        pauses.append(pool.loads["e-0"].unavailable_until - now - 1.0)
        now = pool.loads["e-0"].unavailable_until + 0.1
    assert pauses == pytest.approx([0.5, 1.0, 2.0, 4.0, MAX_SUSPENSION_DURATION])


def test_requests_of_a_silence_that_has_ended_do_not_suspend_the_endpoint():
    pool = scheduler(slots=8)
    grant(pool, 1.0, *CALLS)
    silence(pool, CALLS[:2], at=2.0)
    pool.begun(CALLS[2], 1.1)
    silence(pool, CALLS[3:], at=2.12)
    assert grant(pool, 2.3, "r.0.9")


def test_a_stream_that_goes_on_ends_the_suspension_of_its_endpoint():
    pool = scheduler(slots=8)
    grant(pool, 1.0, *CALLS)
    pool.begun(CALLS[0], 0.1)
    silence(pool, CALLS[1:], at=2.0)
    pool.begun(CALLS[0], 0.0)
    assert grant(pool, 2.3, "r.0.9")


def test_a_stream_that_goes_on_does_not_make_a_leaving_endpoint_usable():
    pool = scheduler(slots=8)
    grant(pool, 1.0, *CALLS)
    pool.begun(CALLS[0], 0.1)
    pool.ended(CALLS[1], Outcome.LEAVING, 1.2)
    pool.begun(CALLS[0], 0.0)
    assert not grant(pool, 1.4, "r.0.9")


@pytest.mark.parametrize("seed", range(3))
def test_engines_that_go_on_are_soon_used_again(seed):
    tally = play(seed, "one engine each 4 s, 1.5 s", seconds=15.0)
    assert tally.ends["none"] == 0
    # Three pauses.
    assert tally.suspended < 3 * MIN_SUSPENSION_DURATION
