"""Admission control: requests that a router rejects before they are offered."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.admission import (
    ADMISSION_DURATION,
    AdmissionControl,
)
from carawayfold.coordination.scheduling.offers import Granted, Outcome, Rejected
from carawayfold.coordination.scheduling.scheduler import FULL_DURATION
from carawayfold.state.usage import HEADROOM, MIN_ADMITTED_FRACTION
from tests.schedule_builders import offer, scheduler

POOL = "model/0"


def many_offers(count=1000, **other):
    return [offer(f"r.1.{number}", **other) for number in range(count)]


def limited(part, retry_after=1.0, now=0.0, **other):
    """Return the admission control of a router after a rejection with such a limit."""
    admission = AdmissionControl()
    answer = Rejected("r.1.x", "late", retry_after, admitted_fraction=part)
    admission.record_decision(offer("r.1.x", **other), POOL, answer, "decider", now)
    return admission


@pytest.mark.parametrize("part", [0.0, 0.1, 0.5, 0.9])
def test_the_admitted_fraction_of_an_organisation_is_offered(part):
    admission = limited(part)
    offered = sum(admission.reject(item, POOL, 0.1) is None for item in many_offers())
    assert offered / 1000 == pytest.approx(part, abs=0.04)


def test_other_organisations_pools_and_priorities_are_not_throttled():
    admission = limited(0.0)
    others = [
        (offer("r.1.1", organisation="birch"), POOL),
        (offer("r.1.1"), "model/1"),
        (offer("r.1.1", priority=0), POOL),
    ]
    assert [admission.reject(item, pool, 0.1) for item, pool in others] == [None] * 3


def test_a_resumed_stream_was_throttled_with_the_new_requests_of_its_organisation():
    admission = limited(0.0)
    resumed = offer(abandoned_at=3.0)
    assert admission.reject(resumed, POOL, 0.1) is None
    assert admission.take_throttled_tokens(offer(), POOL) == 0


def test_a_limit_expires_after_the_leader_stopped_answering():
    admission = limited(0.0)
    assert admission.reject(offer(), POOL, ADMISSION_DURATION) is not None
    assert admission.reject(offer(), POOL, ADMISSION_DURATION + 0.01) is None
    admission.expire(ADMISSION_DURATION + 0.01)
    assert not admission.limits


def test_a_grant_removes_the_limit():
    admission = limited(0.0)
    granted = Granted("r.1.y", "e-0")
    admission.record_decision(offer("r.1.y"), POOL, granted, "decider", 0.1)
    assert admission.reject(offer(), POOL, 0.2) is None


def test_rejections_name_the_decider_and_spread_the_retry_delays():
    admission = limited(0.0, retry_after=2.0)
    refusals = [admission.reject(item, POOL, 0.1) for item in many_offers(100)]
    waits = [item.retry_after for item in refusals]
    assert {item.decider for item in refusals} == {"decider"}
    assert min(waits) >= 1.5
    assert max(waits) <= 2.5
    assert len(set(waits)) > 50


def test_throttled_tokens_are_reported_once_with_the_next_offer():
    admission = limited(0.0)
    for item in many_offers(3):
        admission.reject(item, POOL, 0.1)
    assert admission.take_throttled_tokens(offer(), POOL) == 3 * offer().charged_tokens
    assert admission.take_throttled_tokens(offer(), POOL) == 0


def flooded(loads, seconds=5.0, step=0.02, room=40):
    """Return a scheduler after a load of so many requests per step, and the time."""
    made = scheduler(endpoints=1, slots=room, throughput=100_000)
    made.overloaded = True
    now = 0.0
    number = 0
    while now < seconds:
        now += step
        for name, count in loads.items():
            for _ in range(count):
                number += 1
                request = offer(
                    f"r.0.{number}", "t", now=now, organisation=name, due=now + 0.2
                )
                made.offer(request, now)
        for decision in made.decide(now):
            if isinstance(decision, Granted):
                made.begun(decision.call, 0.05)
                made.ended(decision.call, Outcome.COMPLETE, now + 0.05)
    return made, now


def test_an_organisation_below_the_fair_level_is_not_throttled():
    made, now = flooded({"flood": 60, "small": 1})
    made.full_until = now + FULL_DURATION
    made.usage.refresh(now, 100_000)
    small = made._admitted_fraction(offer(organisation="small"), now)
    flood = made._admitted_fraction(offer(organisation="flood"), now)
    assert small == 1.0
    assert flood < 1.0


def test_the_admitted_demand_is_a_multiple_of_the_granted_tokens():
    made, now = flooded({"one": 40, "two": 30, "three": 30})
    made.usage.refresh(now, 100_000)
    usages = made.usage.usages
    offered = sum(
        usage.asked.total * made.usage.admitted_part(name)
        for name, usage in usages.items()
    )
    granted = sum(usage.granted.total for usage in usages.values())
    assert offered == pytest.approx(HEADROOM * granted, rel=0.01)


def test_a_pool_with_room_throttles_nothing():
    made, now = flooded({"flood": 60})
    made.full_until = now
    assert made._admitted_fraction(offer(organisation="flood"), now) == 1.0


def test_urgent_requests_are_not_throttled_for_others():
    made, now = flooded({"flood": 60})
    made.full_until = now + FULL_DURATION
    made.least_urgent = 2
    assert made._admitted_fraction(offer(organisation="flood", priority=1), now) == 1.0
    assert made._admitted_fraction(offer(organisation="flood", priority=2), now) < 1.0


def test_a_pool_that_grants_nothing_still_gets_some_offers():
    made = scheduler()
    made.overloaded = True
    for item in many_offers(50):
        made.offer(item, 0.0)
    made.full_until = FULL_DURATION
    made.usage.refresh(0.0, 0.0)
    assert made._admitted_fraction(offer(), 0.1) == MIN_ADMITTED_FRACTION


def test_throttled_tokens_count_once_as_requested():
    made = scheduler()
    request = offer(throttled_tokens=5000)
    made.offer(request, 0.0)
    made.offer(request, 0.1)
    asked = made.usage.usages["alder"].asked.total
    assert asked == request.charged_tokens + 5000


def test_a_leader_that_is_not_overloaded_throttles_nothing():
    made, now = flooded({"flood": 60})
    made.full_until = now + FULL_DURATION
    made.overloaded = False
    assert made._admitted_fraction(offer(organisation="flood"), now) == 1.0


def test_an_organisation_far_behind_others_is_not_throttled():
    made, now = flooded({"short": 60})
    for number in range(60):
        request = offer(f"l.0.{number}", tokens=50_000, now=now, organisation="long")
        made.offer(request, now)
    made.full_until = now + FULL_DURATION
    made.usage.refresh(now, 100_000)
    assert made._admitted_fraction(offer(organisation="long"), now) == 1.0
    assert made._admitted_fraction(offer(organisation="short"), now) < 1.0
