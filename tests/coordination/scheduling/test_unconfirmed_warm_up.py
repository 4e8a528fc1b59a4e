"""Limits on requests to endpoints that may warm up without a word of their entries."""

from __future__ import annotations

import math

import pytest

from carawayfold.coordination.scheduling.offers import Granted, Outcome
from tests.coordination.scheduling.test_slow_start import (
    BOUND,
    RATE,
    most_in_a_second,
    play,
    pool,
)
from tests.schedule_builders import offer

#: Seconds from a grant until a health check that it made due is answered.
CHECK_DELAY = 0.05


def confirming_pool(**other):
    """Return a scheduler whose router can confirm that endpoints do not warm up."""
    made = pool(warming=0, **other)
    made.confirms_warm_up = True
    return made


def play_checked(made, cold_from=math.inf, begin=0.0, end=5.0, delay=CHECK_DELAY):
    """Play with health checks, which find the endpoints cold from a time on."""
    got = {name: [] for name in made.loads}
    checks = {}
    asked = 0
    now = begin
    while now < end:
        for name, since in list(checks.items()):
            if now < since + delay:
                continue
            del checks[name]
            load = made.loads[name]
            if since >= cold_from:
                made.record_warm_up(load, 100.0, now)
            else:
                load.warm_up.confirm(since)
        for name, times in play(made, now, now + 0.005, each=2).items():
            got[name] += times
        for load in made.loads_to_confirm(now):
            if load.endpoint.id not in checks:
                checks[load.endpoint.id] = now
                asked += 1
        now += 0.01
    return got, asked


# Guards against the whole traffic for an endpoint that becomes cold unnoticed.
@pytest.mark.parametrize("cold_from", [1.0, 1.003, 1.031, 1.5, 2.007])
def test_an_endpoint_that_becomes_cold_unnoticed_gets_no_more_than_it_tolerates(
    cold_from,
):
    got, _ = play_checked(confirming_pool(warm=2), cold_from)
    for times in got.values():
        assert most_in_a_second([at for at in times if at < cold_from]) > BOUND
        assert most_in_a_second([at for at in times if at >= cold_from]) <= BOUND


# Guards against an endpoint that gets all requests since it doesn't answer.
def test_an_endpoint_that_is_never_confirmed_gets_no_more_than_it_tolerates():
    got, _ = play_checked(confirming_pool(), delay=math.inf)
    assert 0 < most_in_a_second(got["w-0"]) <= RATE


def test_a_confirmed_endpoint_gets_its_full_rate():
    got, _ = play_checked(confirming_pool())
    assert most_in_a_second(got["w-0"]) > BOUND


# Guards against the full rate from routers that lead together with one that took over.
def test_routers_that_decide_without_confirmation_stay_within_the_bound():
    sides = [play_checked(confirming_pool(), delay=math.inf)[0] for _ in range(2)]
    assert most_in_a_second(sides[0]["w-0"] + sides[1]["w-0"]) <= BOUND


def test_a_router_that_does_not_lead_grants_once_a_window_without_confirmation():
    made = confirming_pool()
    made.warm_up_allowed_from = math.inf
    got, _ = play_checked(made, delay=math.inf)
    assert most_in_a_second(got["w-0"]) == 1


def test_no_confirmation_is_due_below_half_of_the_tolerated_rate():
    made = confirming_pool()
    for number in range(20):
        now = number * 0.4
        call = f"r.0.{number}"
        made.offer(offer(call, f"t-{number}", 10, 10, now=now, due=now + 0.5), now)
        assert [type(item) for item in made.decide(now)] == [Granted]
        made.ended(call, Outcome.COMPLETE, now)
        assert made.loads_to_confirm(now) == []


def test_a_service_without_a_limit_needs_no_confirmation():
    made = confirming_pool(rate=0.0)
    got, asked = play_checked(made, delay=math.inf)
    assert asked == 0
    assert most_in_a_second(got["w-0"]) > BOUND


def test_requests_wait_for_a_confirmation_that_is_expected():
    made = confirming_pool()
    for number in range(20):
        call = f"r.0.{number}"
        made.offer(offer(call, f"t-{number}", 10, 10, now=1.0, due=1.3), 1.0)
    decisions = made.decide(1.0)
    granted = sum(isinstance(item, Granted) for item in decisions)
    assert granted == math.floor(RATE)
    assert len(decisions) == granted
    made.confirm_entries(1.0)
    assert all(isinstance(item, Granted) for item in made.decide(1.01))
