"""A loop that is late for a while is overload; a burst or a pause is not."""

from __future__ import annotations

import pytest

from carawayfold.state.pressure import (
    BUSY_DELAY,
    CALM_AFTER,
    FULL_DELAY,
    SAMPLES,
    Pressure,
    PressureGauge,
)

STEP = 0.05


def feed(gauge, delays, start=0.0):
    now = start
    for delay in delays:
        now += STEP + delay
        gauge.note(delay, now)
    return now


def test_a_loop_in_time_is_calm():
    gauge = PressureGauge()
    feed(gauge, [0.001] * 20)
    assert gauge.level is Pressure.CALM


@pytest.mark.parametrize(
    ("delay", "level"),
    [
        (BUSY_DELAY * 1.1, Pressure.BUSY),
        (FULL_DELAY * 1.1, Pressure.FULL),
        (1.0, Pressure.FULL),
    ],
)
def test_a_delay_that_stays_is_overload(delay, level):
    gauge = PressureGauge()
    feed(gauge, [delay] * 20)
    assert gauge.level is level


def test_bursts_between_which_the_loop_catches_up_are_none():
    gauge = PressureGauge()
    feed(gauge, [FULL_DELAY, FULL_DELAY, 0.001] * 10)
    assert gauge.level is Pressure.CALM


def test_a_process_that_stood_still_is_not_overloaded():
    gauge = PressureGauge()
    now = feed(gauge, [0.001] * 10)
    gauge.note(4.0, now + 4.0)
    assert gauge.level is Pressure.CALM


def test_calm_returns_only_after_a_while():
    gauge = PressureGauge()
    now = feed(gauge, [FULL_DELAY * 2] * 10)
    now = feed(gauge, [0.0] * SAMPLES, now)
    assert gauge.level is Pressure.BUSY
    feed(gauge, [0.0] * int(CALM_AFTER / STEP + 1), now)
    assert gauge.level is Pressure.CALM
