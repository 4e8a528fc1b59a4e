"""Requests that wait longer than predicted for the endpoint with their prefix."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import offer, scheduler

SHARED = 1500


def full_holder(endpoints=2, balances=True):
    """Return a scheduler whose engine e-0 has the prefix and is full at 1.0 s."""
    features = SchedulingFeatures(balance_pools=balances)
    made = scheduler(endpoints=endpoints, slots=2, features=features)
    made.record_cached_prefixes("e-0", [Part("topic", SHARED)])
    for number in range(2):
        active = ActiveRequest(f"b.0.{number}", "b", 0, 1, 1.0, 1.0, begun=True)
        made.record_active("e-0", active)
    return made


def decided(made, length=0.3, **other):
    """Return the time and the decision of a request that arrives at 1.0 s."""
    made.offer(offer(now=1.0, tokens=SHARED, own=20, due=1.4, **other), 1.0)
    for step in range(round(length / 0.01)):
        now = 1.0 + 0.01 * step
        for decision in made.decide(now):
            return now - 1.0, decision
    return length, None


def test_a_request_waits_first_and_then_takes_an_idle_engine():
    waited, decision = decided(full_holder())
    assert isinstance(decision, Granted)
    assert decision.endpoint == "e-1"
    assert 0.0 < waited < 0.1


def test_a_request_waits_on_with_the_setting_off():
    assert decided(full_holder(balances=False)) == (0.3, None)


def test_a_request_waits_on_while_no_other_engine_has_room():
    assert decided(full_holder(endpoints=1))[1] is None


def test_a_request_takes_no_engine_at_which_it_may_not_run():
    assert decided(full_holder(), avoid=frozenset({"e-1"}))[1] is None


def test_a_long_prefix_is_worth_a_longer_wait():
    made = full_holder()
    made.record_cached_prefixes("e-0", [Part("long", 6000)])
    prompt = (Part("long", 6000), Part("own", 20))
    other = {"prompt": prompt, "prompt_tokens": 6020, "expires": 5.0}
    waited, _ = decided(made, length=0.39, **other)
    assert waited > 1.5 * decided(full_holder())[0]


@pytest.mark.parametrize("late", [0.0, 0.2, 1.0])
def test_an_engine_with_room_is_taken_at_once_whatever_the_age(late):
    made = full_holder()
    made.ended("b.0.0", Outcome.COMPLETE, 1.0)
    made.offer(offer(now=1.0 - late, tokens=SHARED, own=20, due=3.0), 1.0)
    (decision,) = made.decide(1.0)
    assert decision.endpoint == "e-0"
