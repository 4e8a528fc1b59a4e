"""Errors of predicted waits, and their correction."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.wait_predictions import (
    ALLOWED_ERROR,
    MAX_CLASSES,
    MAX_RATIO,
    WaitPredictions,
)
from tests.schedule_builders import offer


def observe(made, predicted, actual, count, now=1.0, **fields):
    """Record waits of `actual` seconds that were predicted as `predicted`."""
    for number in range(count):
        item = offer(f"r.0.{number}", now=now, due=now + 9.0, **fields)
        made.predict(item, predicted, now)
        made.ended(item, 0.0, now + actual)


def predicted(made, wait, now, **fields):
    return made.predict(offer("r.0.99", now=now, due=now + 9.0, **fields), wait, now)


def test_predictions_that_were_too_hopeful_are_corrected():
    made = WaitPredictions(corrects=True)
    observe(made, predicted=0.1, actual=0.25, count=100)
    assert predicted(made, 0.2, 1.25) == pytest.approx(0.2 * 2.5, rel=0.1)


def test_predictions_are_only_counted_if_they_are_not_to_be_corrected():
    made = WaitPredictions(corrects=False)
    observe(made, predicted=0.1, actual=0.25, count=100)
    assert predicted(made, 0.2, 1.25) == 0.2
    assert made.take_summary() == {"waits": 100, "waits_wrong": 100}
    assert made.take_summary() == {"waits": 0, "waits_wrong": 0}


def test_a_request_that_is_rejected_counts_with_the_wait_still_predicted():
    made = WaitPredictions(corrects=True)
    for number in range(100):
        item = offer(f"r.0.{number}", now=1.0)
        made.predict(item, 0.2, 1.0)
        made.ended(item, 0.3, 1.1)
    assert predicted(made, 0.2, 1.1) == pytest.approx(0.4, rel=0.1)


@pytest.mark.parametrize("actual", [0.001, 0.1])
def test_correct_and_pessimistic_predictions_are_not_corrected(actual):
    made = WaitPredictions(corrects=True)
    observe(made, predicted=0.1, actual=actual, count=100)
    assert predicted(made, 0.2, 1.1) == pytest.approx(0.2)


def test_the_correction_is_bounded():
    made = WaitPredictions(corrects=True)
    observe(made, predicted=0.05, actual=5.0, count=100)
    assert predicted(made, 0.2, 6.0) == pytest.approx(0.2 * MAX_RATIO)


@pytest.mark.parametrize(
    ("other", "ratio"),
    [
        ({"priority": 1}, 1.0),
        ({"priority": 0}, 2.0),
        ({"priority": 2}, 1.0),
        ({"priority": 0, "due": 0.5}, 1.0),
    ],
)
def test_the_correction_is_bounded_by_what_requests_that_rank_before_took(other, ratio):
    made = WaitPredictions(corrects=True)
    for number in range(10):
        made.granted(offer(f"r.1.{number}", now=1.0, priority=1), 1.0)
        made.granted(offer(f"r.2.{number}", now=1.0, **other), 1.0)
    observe(made, predicted=0.1, actual=0.3, count=100, priority=1)
    assert predicted(made, 0.2, 1.3, priority=1) == pytest.approx(0.2 * ratio)


def test_late_requests_wait_for_all_that_can_be_in_time():
    made = WaitPredictions(corrects=True)
    late = {"due": 0.5, "priority": 0}
    made.granted(offer("r.1.1", now=1.0, priority=1), 1.0)
    made.granted(offer("r.1.2", now=1.0, **late), 1.0)
    for number in range(100):
        item = offer(f"r.2.{number}", now=1.0, **late)
        made.predict(item, 0.1, 1.0)
        made.ended(item, 0.0, 1.3)
    item = offer("r.3.1", now=1.3, **late)
    assert made.predict(item, 0.2, 1.3) == pytest.approx(0.4)


def test_the_correction_ends_if_no_request_waits():
    made = WaitPredictions(corrects=True)
    observe(made, predicted=0.1, actual=0.3, count=100)
    assert predicted(made, 0.2, 1.3 + 10.0) < 0.21


def test_priorities_and_late_requests_are_corrected_by_themselves():
    made = WaitPredictions(corrects=True)
    observe(made, predicted=0.1, actual=0.3, count=100, priority=2)
    assert predicted(made, 0.2, 1.3, priority=1) == 0.2
    late = offer(now=1.3, due=1.0, priority=2)
    assert made.predict(late, 0.2, 1.3) == 0.2


def test_small_errors_are_not_wrong():
    made = WaitPredictions(corrects=True)
    observe(made, predicted=0.01, actual=0.9 * ALLOWED_ERROR, count=10)
    assert made.take_summary() == {"waits": 10, "waits_wrong": 0}


def test_memory_is_bounded():
    made = WaitPredictions(corrects=True)
    for number in range(3 * MAX_CLASSES):
        observe(made, 0.1, 0.3, 1, priority=number)
        made.granted(offer(f"r.1.{number}", priority=number), 1.0)
    assert len(made.classes) == len(made.granted_tokens.tokens) == MAX_CLASSES
