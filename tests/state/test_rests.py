"""Endpoints that want nothing from a router for a while.

An engine that had asked a router for 3 s of rest got nine requests of it in that time.
"""

from __future__ import annotations

from enum import Enum

import pytest

from carawayfold.state.rests import MAX_BACKOFF_DURATION, PROBE_INTERVAL, Rests
from tests.model_check import check

NAME = "e-1"


def rested(seconds, now=0.0):
    rests = Rests()
    rests.ask(NAME, seconds, now)
    return rests


def test_an_endpoint_rests_for_as_long_as_it_asked():
    rests = rested(3.0)
    assert rests.opens_at(NAME, 0.0) == rests.opens_at(NAME, 2.9) == 3.0
    assert rests.opens_at(NAME, 3.0) == 0.0
    assert rests.lasts(NAME, 2.9)
    assert not rests.lasts(NAME, 3.0)


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_no_time_is_no_rest(seconds):
    assert rested(seconds).entries == {}


@pytest.mark.parametrize("seconds", [1e9, float("inf")])
def test_a_time_without_reason_ends_all_the_same(seconds):
    assert rested(seconds).opens_at(NAME, 0.0) == MAX_BACKOFF_DURATION


def test_a_shorter_rest_asked_for_later_ends_no_longer_one():
    rests = rested(3.0)
    rests.ask(NAME, 1.0, 0.5)
    assert rests.opens_at(NAME, 0.5) == 3.0


def test_one_request_at_a_time_goes_to_an_endpoint_after_its_rest():
    rests = rested(3.0)
    rests.sent(NAME, 3.0)
    assert rests.opens_at(NAME, 3.1) == 3.0 + PROBE_INTERVAL
    rests.answered(NAME, 2.0)
    assert rests.opens_at(NAME, 3.1) == 3.0 + PROBE_INTERVAL, "it was sent before"
    rests.answered(NAME, 3.0)
    assert rests.opens_at(NAME, 3.1) == 0.0


def test_a_rest_outlasts_the_entry_of_its_endpoint():
    rests = rested(3.0)
    rests.expire({}, 2.9)
    assert rests.lasts(NAME, 2.9)
    rests.expire({NAME: None}, 3.0)
    assert NAME in rests.entries
    rests.expire({}, 3.0)
    assert rests.entries == {}


class Event(Enum):
    """What may happen next."""

    ASKS_LONG = "it asks for three steps of rest"
    ASKS_SHORT = "it asks for one step of rest"
    ANSWERS = "it answers what was sent last"
    SENT = "a request is sent, if one may be"
    PASSES = "a step of time passes"


class Model:
    """A router's rests, and what the endpoint has asked for."""

    def __init__(self):
        self.rests = Rests()
        self.now = 0.0
        self.until = 0.0
        self.sent_at = 0.0

    def possible(self):
        return list(Event)

    def play(self, event):
        """Let an event happen; return whether a rest is broken or never ends."""
        if event is Event.PASSES:
            self.now += 1.0
        elif event is Event.ANSWERS:
            self.rests.answered(NAME, self.sent_at)
        elif event is Event.SENT:
            return self._send()
        else:
            asked = 3.0 if event is Event.ASKS_LONG else 1.0
            self.until = max(self.until, self.now + asked)
            self.rests.ask(NAME, asked, self.now)
        return self._avoided_for_ever()

    def _send(self):
        if self.rests.opens_at(NAME, self.now):
            return False
        self.rests.sent(NAME, self.now)
        self.sent_at = self.now
        return self.now < self.until

    def _avoided_for_ever(self):
        return bool(self.rests.opens_at(NAME, max(self.now, self.until) + 1.0))

    def key(self):
        rest = self.rests.entries.get(NAME)
        left = (rest.until - self.now, rest.next_probe - self.now) if rest else None
        since = min(4.0, self.now - self.sent_at)
        return left, max(0.0, self.until - self.now), since


def test_no_order_of_events_breaks_a_rest_or_makes_it_endless():
    checked = check(Model, 9)
    assert checked.counterexample is None
    assert checked.states > 50
