"""Requests that a router refuses itself by what the pool's decider told."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.held_back import (
    ADMISSION_DURATION,
    AdmissionControl,
)
from carawayfold.coordination.scheduling.offers import Granted, Outcome, TurnedAway
from carawayfold.coordination.scheduling.scheduler import FULL_DURATION
from carawayfold.state.usage import HEADROOM, LEAST_ADMITTED
from tests.schedule_builders import offer, scheduler

POOL = "model/0"


def calls(count=1000, **other):
    return [offer(f"r.1.{number}", **other) for number in range(count)]


def told(part, retry_after=1.0, now=0.0, **other):
    """Return what a router knows that was told a part of an organisation's."""
    held = AdmissionControl()
    answer = TurnedAway("r.1.x", "late", retry_after, admitted_fraction=part)
    held.record_decision(offer("r.1.x", **other), POOL, answer, "decider", now)
    return held


@pytest.mark.parametrize("part", [0.0, 0.1, 0.5, 0.9])
def test_the_told_part_of_an_organisation_is_offered(part):
    held = told(part)
    offered = sum(held.reject(item, POOL, 0.1) is None for item in calls())
    assert offered / 1000 == pytest.approx(part, abs=0.04)


def test_other_organisations_pools_and_priorities_are_not_held_back():
    held = told(0.0)
    others = [
        (offer("r.1.1", organisation="birch"), POOL),
        (offer("r.1.1"), "model/1"),
        (offer("r.1.1", priority=0), POOL),
    ]
    assert [held.reject(item, pool, 0.1) for item, pool in others] == [None] * 3


def test_a_part_holds_for_a_while_after_the_decider_fell_silent():
    held = told(0.0)
    assert held.reject(offer(), POOL, ADMISSION_DURATION) is not None
    assert held.reject(offer(), POOL, ADMISSION_DURATION + 0.01) is None
    held.expire(ADMISSION_DURATION + 0.01)
    assert not held.limits


def test_a_grant_tells_that_there_is_room_again():
    held = told(0.0)
    granted = Granted("r.1.y", "e-0")
    held.record_decision(offer("r.1.y"), POOL, granted, "decider", 0.1)
    assert held.reject(offer(), POOL, 0.2) is None


def test_callers_are_told_who_refused_and_to_come_back_apart():
    held = told(0.0, retry_after=2.0)
    refusals = [held.reject(item, POOL, 0.1) for item in calls(100)]
    waits = [item.retry_after for item in refusals]
    assert {item.decider for item in refusals} == {"decider"}
    assert min(waits) >= 1.5
    assert max(waits) <= 2.5
    assert len(set(waits)) > 50


def test_what_was_held_back_is_told_once_with_the_next_offer():
    held = told(0.0)
    for item in calls(3):
        held.reject(item, POOL, 0.1)
    assert held.take_throttled_tokens(offer(), POOL) == 3 * offer().charged_tokens
    assert held.take_throttled_tokens(offer(), POOL) == 0


def flooded(loads, seconds=5.0, step=0.02, room=40):
    """Return a scheduler after such a load, requests each step, and the time."""
    made = scheduler(endpoints=1, slots=room, throughput=100_000)
    made.overloaded = True
    now = 0.0
    number = 0
    while now < seconds:
        now += step
        for name, count in loads.items():
            for _ in range(count):
                number += 1
                wants = offer(
                    f"r.0.{number}", "t", now=now, organisation=name, due=now + 0.2
                )
                made.offer(wants, now)
        for decision in made.decide(now):
            if isinstance(decision, Granted):
                made.begun(decision.call, 0.05)
                made.ended(decision.call, Outcome.WHOLE, now + 0.05)
    return made, now


def test_an_organisation_that_asks_for_less_than_the_common_level_offers_all():
    made, now = flooded({"flood": 60, "small": 1})
    made.full_until = now + FULL_DURATION
    made.usage.refresh(now, 100_000)
    small = made._admitted_fraction(offer(organisation="small"), now)
    flood = made._admitted_fraction(offer(organisation="flood"), now)
    assert small == 1.0
    assert flood < 1.0


def test_all_that_may_be_offered_is_some_times_what_is_granted():
    made, now = flooded({"one": 40, "two": 30, "three": 30})
    made.usage.refresh(now, 100_000)
    book = made.usage.book
    offered = sum(
        usage.asked.total * made.usage.admitted_part(name)
        for name, usage in book.items()
    )
    granted = sum(usage.granted.total for usage in book.values())
    assert offered == pytest.approx(HEADROOM * granted, rel=0.01)


def test_a_pool_with_room_holds_nothing_back():
    made, now = flooded({"flood": 60})
    made.full_until = now
    assert made._admitted_fraction(offer(organisation="flood"), now) == 1.0


def test_urgent_requests_are_not_held_back_for_others():
    made, now = flooded({"flood": 60})
    made.full_until = now + FULL_DURATION
    made.least_urgent = 2
    assert made._admitted_fraction(offer(organisation="flood", priority=1), now) == 1.0
    assert made._admitted_fraction(offer(organisation="flood", priority=2), now) < 1.0


def test_a_pool_that_grants_nothing_still_hears_of_what_is_asked():
    made = scheduler()
    made.overloaded = True
    for item in calls(50):
        made.offer(item, 0.0)
    made.full_until = FULL_DURATION
    made.usage.refresh(0.0, 0.0)
    assert made._admitted_fraction(offer(), 0.1) == LEAST_ADMITTED


def test_tokens_held_back_count_as_asked_once():
    made = scheduler()
    wants = offer(throttled_tokens=5000)
    made.offer(wants, 0.0)
    made.offer(wants, 0.1)
    asked = made.usage.book["alder"].asked.total
    assert asked == wants.charged_tokens + 5000


def test_a_decider_that_has_time_for_all_holds_nothing_back():
    made, now = flooded({"flood": 60})
    made.full_until = now + FULL_DURATION
    made.overloaded = False
    assert made._admitted_fraction(offer(organisation="flood"), now) == 1.0


def test_an_organisation_that_got_far_less_than_others_offers_all():
    made, now = flooded({"short": 60})
    for number in range(60):
        wants = offer(f"l.0.{number}", tokens=50_000, now=now, organisation="long")
        made.offer(wants, now)
    made.full_until = now + FULL_DURATION
    made.usage.refresh(now, 100_000)
    assert made._admitted_fraction(offer(organisation="long"), now) == 1.0
    assert made._admitted_fraction(offer(organisation="short"), now) < 1.0
