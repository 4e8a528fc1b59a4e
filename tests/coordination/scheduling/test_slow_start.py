"""Limits on requests to endpoints that warm up, over all routers.

Situations covered: the engines of a data centre restart at once with empty caches while
the others are overloaded; and routers that become leader, decide without leading, or
are late.
"""

from __future__ import annotations

import math

import pytest
from msgspec import structs

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.offers import Granted, Outcome, Rejected
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from tests.schedule_builders import WINDOW, endpoint, offer

#: Requests per second that a warming endpoint tolerates.
RATE = 8.7
#: Maximum requests that may reach it in any second.
BOUND = RATE * 1.5 + 5
SPEED = 100_000.0


def pool(warm=1, warming=2, until=3.0, rate=RATE):
    """Return a scheduler over engines, some of which warm up until `until` seconds."""
    made = Scheduler(WINDOW)
    members = [endpoint(f"w-{number}", slots=16) for number in range(warm)]
    members += [
        endpoint(f"c-{number}", slots=16, warm_up=until, warm_at=until)
        for number in range(warming)
    ]
    made.set_endpoints(members, PoolPlan(0.0, 1_000_000, SPEED, warm_up_rate=rate))
    return made


def play(made, begin=0.0, end=5.0, each=10, step=0.02):
    """Offer short requests continuously; return the times of each endpoint's grants."""
    got = {name: [] for name in made.loads}
    number = 0
    now = begin
    while now < end:
        for _ in range(each):
            number += 1
            call = f"r.0.{begin}-{number}"
            made.offer(offer(call, f"t-{call}", 10, 10, now=now, due=now + 0.5), now)
        for decision in made.decide(now):
            if isinstance(decision, Granted):
                got[decision.endpoint].append(now)
                made.begun(decision.call, 0.01)
                made.ended(decision.call, Outcome.COMPLETE, now + 0.01)
        now += step
    return got


def most_in_a_second(times):
    times = sorted(times)
    return max((sum(at <= x < at + 1.0 for x in times) for at in times), default=0)


def test_a_warming_endpoint_gets_less_than_it_tolerates():
    got = play(pool(), end=2.9)
    for name in ("c-0", "c-1"):
        assert 0 < most_in_a_second(got[name]) <= RATE


def test_a_warm_endpoint_gets_its_full_rate():
    got = play(pool(warm=0, warming=1, until=1.0), begin=1.0, end=2.0)
    assert most_in_a_second(got["c-0"]) > BOUND


def test_a_service_without_warm_up_is_not_limited():
    got = play(pool(warm=0, warming=1, rate=0.0), end=1.0)
    assert most_in_a_second(got["c-0"]) > BOUND


def test_two_routers_that_both_decide_stay_within_the_bound():
    sides = [play(pool(), end=2.9), play(pool(), end=2.9)]
    both = sides[0]["c-0"] + sides[1]["c-0"]
    assert most_in_a_second(both) <= BOUND


def test_a_router_that_does_not_lead_grants_no_warming_endpoint():
    made = pool(warm=0, warming=1)
    made.warm_up_allowed_from = math.inf
    got = play(made, end=2.9)
    assert got["c-0"] == []
    assert play(made, begin=3.0, end=3.5)["c-0"]


def test_grants_of_two_seconds_that_arrive_at_once_stay_within_the_bound():
    times = play(pool(), end=2.9)["c-0"]
    assert sum(at < 2.0 for at in times) <= BOUND


def test_an_endpoint_that_restarts_its_warm_up_is_limited_from_then_on():
    made = pool(warm=2, warming=0)
    play(made, end=1.0)
    load = made.loads["w-0"]
    load.endpoint = structs.replace(load.endpoint, warm_up=3.0, warm_at=4.0)
    got = play(made, begin=1.0, end=3.9)
    assert most_in_a_second(got["w-0"]) <= RATE
    assert most_in_a_second(got["w-1"]) > RATE


def test_requests_that_warming_endpoints_would_serve_too_late_are_rejected_at_once():
    made = pool(warm=0, warming=1)
    for number in range(20):
        call = f"r.0.{number}"
        made.offer(offer(call, f"t-{number}", 10, 10, now=1.0, due=1.3), 1.0)
    decisions = made.decide(1.0)
    assert sum(isinstance(item, Granted) for item in decisions) == 1
    assert sum(isinstance(item, Rejected) for item in decisions) > 10


def test_an_endpoint_reported_as_warming_is_suspended():
    made = pool(warm=1, warming=0)
    made.record_active("w-0", ActiveRequest("r.0.1", "r", 0, 10, 1.0, 1.0))
    made.ended("r.0.1", Outcome.WARMING, 1.0)
    assert made.loads["w-0"].suspended_until > 1.0
    assert made.loads["w-0"].failure_ratio == 0.0


@pytest.mark.parametrize("word", ["warming", "whole", "a-later-word"])
def test_outcomes_of_a_later_version_do_not_count_as_failures(word):
    known = {"warming": Outcome.WARMING, "whole": Outcome.COMPLETE}
    assert Outcome(word) is known.get(word, Outcome.CANCELLED)
