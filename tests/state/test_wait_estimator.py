"""Estimates of how long callers have waited already."""

from __future__ import annotations

import pytest

from carawayfold.state.wait_estimator import WaitEstimator


def test_caller_that_retries_has_waited():
    estimator = WaitEstimator()
    for _ in range(20):
        assert estimator.waited(15.0) == 0.0
    assert estimator.waited(13.4) == pytest.approx(1.6)
    assert estimator.waited(15.0) == 0.0


def test_callers_with_different_initial_timeouts_are_distinguished():
    estimator = WaitEstimator()
    for _ in range(20):
        estimator.waited(15.0)
        estimator.waited(3.0)
    assert estimator.waited(3.0) == 0.0
    assert estimator.waited(2.5) == pytest.approx(0.5)


def test_unknown_initial_timeout_counts_as_no_wait():
    assert WaitEstimator().waited(2.345) == 0.0


def test_number_of_remembered_values_is_limited():
    estimator = WaitEstimator()
    for number in range(5000):
        estimator.waited(15.0 if number % 2 else number / 1000)
    assert len(estimator.counts) <= 401
    assert estimator.waited(14.9995) == pytest.approx(0.0, abs=0.001)
