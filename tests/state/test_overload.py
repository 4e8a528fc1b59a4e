"""Overload detection: a lasting delay counts, a burst or a pause does not."""

from __future__ import annotations

import pytest

from carawayfold.state.overload import (
    CALM_DURATION,
    FRACTION_DECREASE,
    MAX_INCREASE_FACTOR,
    MAX_REJECTED_FRACTION,
    TARGET_DELAY,
    OverloadDetector,
)

#: Seconds between two samples of a loop without delay.
STEP = 0.05


def feed(gauge, delays, start=0.0):
    now = start
    for delay in delays:
        now += STEP + delay
        gauge.note(delay, now)
    return now


def test_loop_below_the_target_delay_rejects_nothing():
    gauge = OverloadDetector()
    now = feed(gauge, [TARGET_DELAY / 2] * 50)
    assert gauge.part == 0
    assert not gauge.is_busy(now)
    assert not any(gauge.should_reject() for _ in range(100))


@pytest.mark.parametrize(
    "delay", [TARGET_DELAY * 1.1, TARGET_DELAY * MAX_INCREASE_FACTOR, 1.0]
)
def test_lasting_delay_increases_the_rejected_fraction(delay):
    gauge = OverloadDetector()
    fractions = []
    for _ in range(30):
        feed(gauge, [delay])
        fractions.append(gauge.part)
    assert fractions == sorted(fractions)
    assert fractions[-1] == MAX_REJECTED_FRACTION


def test_rejections_are_evenly_spaced():
    gauge = OverloadDetector(part=0.25)
    rejected = [gauge.should_reject() for _ in range(12)]
    assert rejected == [False, False, False, True] * 3


def test_single_late_samples_are_not_overload():
    gauge = OverloadDetector()
    feed(gauge, [0.2, 0.001] * 10)
    assert gauge.part == 0


def test_process_paused_as_a_whole_is_not_overloaded():
    gauge = OverloadDetector()
    now = feed(gauge, [0.001] * 10)
    gauge.note(4.0, now + 4.0)
    assert gauge.part == 0


def test_process_stays_busy_for_a_time_after_the_last_rejection():
    gauge = OverloadDetector()
    now = feed(gauge, [1.0] * 10)
    assert gauge.is_busy(now)
    now = feed(gauge, [0.0] * int(MAX_REJECTED_FRACTION / FRACTION_DECREASE + 1), now)
    assert gauge.part == 0
    assert gauge.is_busy(now)
    now = feed(gauge, [0.0] * int(CALM_DURATION / STEP + 1), now)
    assert not gauge.is_busy(now)


def test_a_process_that_is_late_for_some_time_is_overloaded():
    gauge = OverloadDetector()
    now = feed(gauge, [0.03] * 2)
    assert not gauge.is_overloaded()
    feed(gauge, [0.1] * 3, now)
    assert gauge.is_overloaded()
