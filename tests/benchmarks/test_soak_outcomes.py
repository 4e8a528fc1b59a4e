"""The soak test reports what became of requests, by route and second."""

from __future__ import annotations

import pytest

from benchmarks.soak.outcomes import Outcome, count_outcomes, list_seconds, outcome_of
from benchmarks.soak.promises import CallerRecord


def told(status=200, whole=True, **other):
    fields = {"service": "desk", "router": "router-0", "once": False}
    times = {"sent_at": 10.0, "ended_at": 11.5, "route": "again"}
    return CallerRecord("q-1", status=status, whole=whole, **fields, **times, **other)


@pytest.mark.parametrize(
    ("record", "outcome"),
    [
        (told(), Outcome.WHOLE),
        (told(503), Outcome.REFUSED),
        (told(504), Outcome.FAILED),
        (told(404), Outcome.OTHER),
        (told(whole=False), Outcome.CUT),
        (told(0, whole=False), Outcome.NEITHER),
        (told(0, whole=False, crossed=True), Outcome.CROSSED),
        (told(0, whole=False, left_at=10.1), Outcome.LEFT),
    ],
)
def test_each_request_has_one_outcome(record, outcome):
    assert outcome_of(record) is outcome


def test_outcomes_are_counted_by_route():
    records = [told(), told(504), told(0, whole=False), told(504)]
    assert count_outcomes(records) == ["again: whole 1, failed 2, neither 1"]


def test_broken_outcomes_and_changes_are_listed_with_their_seconds():
    records = [told(), told(504), told(0, whole=False), told(504)]
    assert list_seconds(records, [(12.0, "routes")], 10.0) == [
        "again failed at 1.50 1.50",
        "again neither at 1.50",
        "change routes at 2.00",
    ]
