"""A loop that is late for a while is overload; a burst or a pause is not."""

from __future__ import annotations

import pytest

from carawayfold.state.pressure import (
    CALM_DURATION,
    FRACTION_DECREASE,
    MAX_INCREASE_FACTOR,
    MAX_REJECTED_FRACTION,
    TARGET_DELAY,
    PressureGauge,
)

STEP = 0.05


def feed(gauge, delays, start=0.0):
    now = start
    for delay in delays:
        now += STEP + delay
        gauge.note(delay, now)
    return now


def test_a_loop_in_time_refuses_nothing():
    gauge = PressureGauge()
    now = feed(gauge, [TARGET_DELAY / 2] * 50)
    assert gauge.part == 0
    assert not gauge.is_busy(now)
    assert not any(gauge.refuses() for _ in range(100))


@pytest.mark.parametrize(
    "delay", [TARGET_DELAY * 1.1, TARGET_DELAY * MAX_INCREASE_FACTOR, 1.0]
)
def test_a_delay_that_stays_is_refused_more_and_more(delay):
    gauge = PressureGauge()
    parts = []
    for _ in range(30):
        feed(gauge, [delay])
        parts.append(gauge.part)
    assert parts == sorted(parts)
    assert parts[-1] == MAX_REJECTED_FRACTION


def test_requests_are_refused_evenly():
    gauge = PressureGauge(part=0.25)
    refused = [gauge.refuses() for _ in range(12)]
    assert refused == [False, False, False, True] * 3


def test_single_late_samples_between_which_the_loop_catches_up_are_none():
    gauge = PressureGauge()
    feed(gauge, [0.2, 0.001] * 10)
    assert gauge.part == 0


def test_a_process_that_stood_still_is_not_overloaded():
    gauge = PressureGauge()
    now = feed(gauge, [0.001] * 10)
    gauge.note(4.0, now + 4.0)
    assert gauge.part == 0


def test_calm_returns_only_after_a_while():
    gauge = PressureGauge()
    now = feed(gauge, [1.0] * 10)
    assert gauge.is_busy(now)
    now = feed(gauge, [0.0] * int(MAX_REJECTED_FRACTION / FRACTION_DECREASE + 1), now)
    assert gauge.part == 0
    assert gauge.is_busy(now)
    now = feed(gauge, [0.0] * int(CALM_DURATION / STEP + 1), now)
    assert not gauge.is_busy(now)


def test_a_process_that_is_late_for_some_time_is_overloaded():
    gauge = PressureGauge()
    now = feed(gauge, [0.03] * 2)
    assert not gauge.is_overloaded()
    feed(gauge, [0.1] * 3, now)
    assert gauge.is_overloaded()
