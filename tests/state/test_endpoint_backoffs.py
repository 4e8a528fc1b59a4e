"""Backoff from endpoints that asked a router to send no requests for a time.

Guards against requests to an endpoint during its backoff: an engine that requested 3 s
got nine requests of the router in that time.
"""

from __future__ import annotations

from enum import Enum

import pytest

from carawayfold.state.endpoint_backoffs import (
    MAX_BACKOFF_DURATION,
    PROBE_INTERVAL,
    EndpointBackoffs,
)
from tests.model_check import check

NAME = "e-1"


def backoffs_after(seconds, now=0.0):
    backoffs = EndpointBackoffs()
    backoffs.request_backoff(NAME, seconds, now)
    return backoffs


def test_backoff_lasts_as_long_as_requested():
    backoffs = backoffs_after(3.0)
    assert backoffs.available_at(NAME, 0.0) == backoffs.available_at(NAME, 2.9) == 3.0
    assert backoffs.available_at(NAME, 3.0) == 0.0
    assert backoffs.is_backing_off(NAME, 2.9)
    assert not backoffs.is_backing_off(NAME, 3.0)


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_duration_of_zero_or_less_is_no_backoff(seconds):
    assert backoffs_after(seconds).entries == {}


@pytest.mark.parametrize("seconds", [1e9, float("inf")])
def test_excessive_duration_is_limited(seconds):
    assert backoffs_after(seconds).available_at(NAME, 0.0) == MAX_BACKOFF_DURATION


def test_later_request_does_not_shorten_a_backoff():
    backoffs = backoffs_after(3.0)
    backoffs.request_backoff(NAME, 1.0, 0.5)
    assert backoffs.available_at(NAME, 0.5) == 3.0


def test_single_probe_requests_are_sent_after_a_backoff():
    backoffs = backoffs_after(3.0)
    backoffs.sent(NAME, 3.0)
    assert backoffs.available_at(NAME, 3.1) == 3.0 + PROBE_INTERVAL
    backoffs.answered(NAME, 2.0)
    assert backoffs.available_at(NAME, 3.1) == 3.0 + PROBE_INTERVAL, (
        "it was sent before"
    )
    backoffs.answered(NAME, 3.0)
    assert backoffs.available_at(NAME, 3.1) == 0.0


def test_backoff_is_kept_after_its_endpoint_is_deregistered():
    backoffs = backoffs_after(3.0)
    backoffs.expire({}, 2.9)
    assert backoffs.is_backing_off(NAME, 2.9)
    backoffs.expire({NAME: None}, 3.0)
    assert NAME in backoffs.entries
    backoffs.expire({}, 3.0)
    assert backoffs.entries == {}


class Event(Enum):
    """Events that may happen next."""

    ASKS_LONG = "it requests a backoff of three steps"
    ASKS_SHORT = "it requests a backoff of one step"
    ANSWERS = "it answers the request sent last"
    SENT = "a request is sent, if one may be"
    PASSES = "a step of time passes"


class Model:
    """A router's backoffs, and the end of the backoff that the endpoint requested."""

    def __init__(self):
        self.backoffs = EndpointBackoffs()
        self.now = 0.0
        self.until = 0.0
        self.sent_at = 0.0

    def possible(self):
        return list(Event)

    def play(self, event):
        """Apply an event; return whether it violates a backoff, or one never ends."""
        if event is Event.PASSES:
            self.now += 1.0
        elif event is Event.ANSWERS:
            self.backoffs.answered(NAME, self.sent_at)
        elif event is Event.SENT:
            return self._send()
        else:
            requested = 3.0 if event is Event.ASKS_LONG else 1.0
            self.until = max(self.until, self.now + requested)
            self.backoffs.request_backoff(NAME, requested, self.now)
        return self._is_endless()

    def _send(self):
        if self.backoffs.available_at(NAME, self.now):
            return False
        self.backoffs.sent(NAME, self.now)
        self.sent_at = self.now
        return self.now < self.until

    def _is_endless(self):
        return bool(self.backoffs.available_at(NAME, max(self.now, self.until) + 1.0))

    def key(self):
        found = self.backoffs.entries.get(NAME)
        remaining = (
            (found.until - self.now, found.next_probe - self.now) if found else None
        )
        since = min(4.0, self.now - self.sent_at)
        return remaining, max(0.0, self.until - self.now), since


def test_no_order_of_events_violates_a_backoff_or_makes_it_endless():
    checked = check(Model, 9)
    assert checked.counterexample is None
    assert checked.states > 50
