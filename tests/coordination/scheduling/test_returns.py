"""Callers that return to a pool after rejections, replayed at its scheduler."""

from __future__ import annotations

import hashlib
import statistics
from dataclasses import replace
from functools import cache

import pytest

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import (
    Granted,
    Outcome,
    Rejected,
    Standing,
)
from carawayfold.coordination.scheduling.return_schedule import RETURN_WAIT_FRACTION
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import WINDOW, endpoint, offer
from tests.simulated_returns import Replay, burst

#: Loads of `tests.simulated_returns`, by name.
LOADS = {
    "burst": {},
    "varying timeouts": {"timeout_spread": 0.3},
    "abusers": {"abusers": 0.2},
    "leavers": {"leavers": 0.3},
    "new leader": {"restart_at": 5.0},
    "lost schedule": {"restart_at": 6.5},
    "half urgent": {"urgent": 0.5, "objective": 0.8},
}


@cache
def replay(name, scheduled, seed=1):
    return Replay(scheduled, burst(), **LOADS[name], seed=seed).play()


@pytest.mark.parametrize("seed", [1, 2])
def test_more_callers_of_a_burst_are_served(seed):
    """A burst of 2.1 times the capacity for 3 s, with callers that retry once."""
    before, after = replay("burst", False, seed), replay("burst", True, seed)
    assert after.ends()["refused"] < 0.7 * before.ends()["refused"]
    assert after.ends()["in time"] >= before.ends()["in time"]


def test_a_burst_has_no_second_peak_of_rejections_at_its_return():
    before, after = replay("burst", False), replay("burst", True)
    assert after.later_rejections.total() < 0.7 * before.later_rejections.total()
    highest = max(after.later_rejections.values())
    assert highest < max(before.later_rejections.values())
    assert highest < max(after.first_rejections.values())


def test_late_returns_do_not_displace_requests_that_can_be_in_time():
    """Routers can't estimate how long callers with varying timeouts have waited."""
    before = replay("varying timeouts", False)
    after = replay("varying timeouts", True)
    assert after.ends()["in time"] > 1.1 * before.ends()["in time"]
    assert after.worth() > before.worth()


def test_callers_that_repeat_at_once_gain_nothing_and_harm_nobody():
    made, without = replay("abusers", True), replay("burst", True)
    assert made.worth(abuses=True) <= made.worth(abuses=False) + 0.02
    assert made.worth(abuses=False) >= without.worth() - 0.02


def test_more_callers_are_served_although_some_leave():
    before, after = replay("leavers", False), replay("leavers", True)
    assert after.ends()["refused"] < 0.7 * before.ends()["refused"]
    assert after.worth() > before.worth()


@pytest.mark.parametrize("name", ["new leader", "lost schedule"])
def test_a_leader_that_knows_no_promises_serves_as_many_as_without_a_schedule(name):
    before, after = replay(name, False), replay(name, True)
    assert after.worth() >= before.worth()
    assert after.ends()["refused"] <= before.ends()["refused"]


def test_less_urgent_requests_of_a_burst_are_rejected_early():
    """Urgent requests that arrive later delay them beyond their predicted waits."""
    before, after = replay("half urgent", False), replay("half urgent", True)
    held_before, held_after = (
        statistics.median(item.held_first) for item in (before, after)
    )
    assert held_after < 0.6 * held_before
    (ended, wrong), (ended_before, wrong_before) = (
        (counts.ended, counts.wrong)
        for item in (after, before)
        for counts in item.scheduler.predictions.counts.values()
    )
    assert wrong / ended < 0.8 * wrong_before / ended_before
    assert after.worth() > before.worth()
    assert after.worth(priority=0) >= before.worth(priority=0)


@pytest.mark.parametrize("name", [*LOADS])
def test_nobody_is_held_to_the_deadline(name):
    made = replay(name, True)
    assert max(made.held) < 1.5 * RETURN_WAIT_FRACTION * made.timeout


@pytest.mark.parametrize(
    ("fields", "count", "digest"),
    [
        ({}, 859, "0abc0ba8903bcd48"),
        (
            {"timeout": 2.6, "objective": 1.5, "abusers": 0.2},
            756,
            "10bc726a10add6de",
        ),
    ],
)
def test_decisions_without_the_setting_are_those_of_the_version_before(
    fields, count, digest
):
    """Digests of all decisions of the scheduler before the setting existed."""
    rate = burst(length=1.0, begin=1.0)
    made = Replay(False, rate, seconds=4.0, **fields).play()
    assert len(made.decisions) == count
    text = repr(made.decisions).encode()
    assert hashlib.sha256(text).hexdigest()[:16] == digest


def returning_scheduler(slots=1, throughput=0.0, **features):
    made = Scheduler(
        WINDOW, features=SchedulingFeatures(**{"schedule_returns": True, **features})
    )
    plan = PoolPlan(throughput, 1_000_000, 100_000.0)
    made.set_endpoints([endpoint("e-0", slots=slots)], plan)
    return made


def decide(made, now, *offers):
    for item in offers:
        made.offer(item, now)
    return {item.call: item for item in made.decide(now)}


def rejection(made, now, item):
    """Offer a request to a full pool; return its rejection."""
    made.loads["e-0"].residence = 30.0
    busy = offer(f"busy.0.{now}", now=now)
    assert isinstance(decide(made, now, busy)[busy.call], Granted)
    made.begun(busy.call, 0.1)
    decided = decide(made, now + 0.1, item)[item.call]
    assert isinstance(decided, Rejected)
    return decided


def again(item, now, number):
    return offer(
        f"r.0.{number}", now=now, prompt=item.prompt, due=9.0, expires=item.expires
    )


def test_a_full_pool_rejects_early_returns_at_once_with_the_time_told_before():
    made = returning_scheduler()
    item = offer("r.0.1", now=1.1)
    first = rejection(made, 1.0, item)
    early = again(item, 1.2, 2)
    decided = decide(made, 1.2, early)["r.0.2"]
    assert decided.retry_after == pytest.approx(first.retry_after - 0.1)
    assert made.usage.usages["alder"].asked.total == 2 * item.charged_tokens


def test_a_free_endpoint_serves_an_early_return():
    made = returning_scheduler(slots=4)
    item = offer("r.0.1", now=1.1)
    made.offer(item, 1.1)
    made.withdraw("r.0.1")
    made._reject(item, "no answer in time", 0.0, 1.1)
    assert isinstance(decide(made, 1.15, again(item, 1.15, 2))["r.0.2"], Granted)


def test_free_endpoints_serve_more_early_returns_than_one_review_examines():
    made = Scheduler(WINDOW, features=SchedulingFeatures(schedule_returns=True))
    engines = [endpoint(f"e-{number}") for number in range(30)]
    made.set_endpoints(engines, PoolPlan(0.0, 1_000_000, 100_000.0))
    items = [
        offer(f"r.0.{number}", f"topic-{number}", 100, 100, now=1.1)
        for number in range(40)
    ]
    for item in items:
        made._reject(item, "no answer in time", 0.0, 1.1)
    early = [again(item, 1.15, 100 + number) for number, item in enumerate(items)]
    decisions = list(decide(made, 1.15, *early).values())
    assert {item.standing for item in early} == {Standing.EARLY}
    for step in range(1, 5):
        decisions += made.decide(1.15 + step * 0.002)
    assert [isinstance(item, Granted) for item in decisions] == [True] * len(items)


def test_a_request_that_failed_in_another_pool_is_no_early_return():
    """Its router offers it again by itself; its caller has not returned."""
    made = returning_scheduler()
    item = offer("r.0.1", now=1.1)
    rejection(made, 1.0, item)
    made.loads["e-0"].residence = 0.2
    failed = replace(item, call="r.0.2", arrived=1.2, avoid=frozenset(["other"]))
    assert not decide(made, 1.2, failed)
    assert failed.standing is Standing.NEW
    made.ended("busy.0.1.0", Outcome.COMPLETE, 1.3)
    assert isinstance(made.decide(1.3)[0], Granted)


def test_early_returns_rank_last_whatever_their_organisation_got():
    made = returning_scheduler()
    item = offer("r.0.1", now=1.1)
    rejection(made, 1.0, item)
    early = again(item, 1.2, 2)
    other = offer("r.0.3", now=1.2, organisation="flood", due=1.3)
    made.usage.granted("flood", 1.2, 1e9)
    for item in (early, other):
        made.offer(item, 1.2)
    assert early.standing is Standing.EARLY
    assert made.rank(early, 1.0, 1.25) > made.rank(other, 1.0, 1.25)


def test_a_late_return_ranks_before_requests_beyond_a_share_and_behind_others():
    made = returning_scheduler(throughput=20_000)
    item = offer("r.0.1", now=1.1)
    delay = rejection(made, 1.0, item).retry_after
    now = 1.1 + delay + 1.0
    late, fresh = again(item, now, 2), offer("r.0.3", now=now, organisation="birch")
    flood = offer("r.0.4", now=now, organisation="flood")
    made.usage.asked("flood", now, 1e6)
    made.usage.granted("flood", now, 1e6)
    made.usage.granted("alder", now, 1e4)
    made.usage.granted("birch", now, 1e4)
    for other in (late, fresh, flood):
        made.offer(other, now)
    made.usage.share_level = 50_000
    ranks = [made.rank(other, 1.0, now) for other in (fresh, late, flood)]
    assert late.standing is Standing.RETURNED
    assert [rank[1:3] for rank in ranks] == [
        (False, False),
        (False, True),
        (True, False),
    ]


def scheduler_with_wrong_predictions():
    """Return a scheduler of two engines whose predictions have been far too short.

    The first engine has the shared prefix of requests and prefills for 0.45 s; the
    second one is idle.
    """
    features = SchedulingFeatures(schedule_returns=True)
    made = Scheduler(WINDOW, features=features)
    engines = [endpoint("e-0", slots=64), endpoint("e-1", slots=64)]
    made.set_endpoints(engines, PoolPlan(0.0, 1_000_000, 100_000.0))
    made.loads["e-0"].prefixes.send([Part("topic", 5000)])
    busy = ActiveRequest("busy", "r", 45_000, 45_000, 1.0, 1.0)
    made.loads["e-0"].add(busy)
    for number in range(200):
        item = offer(f"r.9.{number}", now=0.9)
        made.predictions.predict(item, 0.02, 0.9)
        made.predictions.ended(item, 0.0, 1.0)
    return made


@pytest.mark.parametrize("count", [1, 30])
def test_no_prediction_is_corrected_while_an_engine_has_room(count):
    """Requests wait for the engine that has their prefix, beside an idle one."""
    made = scheduler_with_wrong_predictions()
    offers = [
        offer(f"r.0.{number}", now=1.0, tokens=5000, own=1500)
        for number in range(count)
    ]
    decisions = decide(made, 1.0, *offers).values()
    assert not [item for item in decisions if isinstance(item, Rejected)]


def test_a_prediction_is_corrected_while_no_engine_has_room():
    made = scheduler_with_wrong_predictions()
    made.loads["e-1"].add(ActiveRequest("other", "r", 45_000, 45_000, 1.0, 1.0))
    item = offer("r.0.1", now=1.0, tokens=5000, own=200)
    assert isinstance(decide(made, 1.0, item)["r.0.1"], Rejected)


def flooded_scheduler():
    """Return a scheduler of ten slots whose flood is beyond its share."""
    made = returning_scheduler(slots=10, throughput=20_000)
    made.returns.capacity = 20_000.0
    made.usage.asked("flood", 1.0, 1e6)
    made.usage.granted("flood", 1.0, 1e6)
    made.usage.share_level = 50_000
    made.loads["e-0"].residence = 30.0
    return made


@pytest.mark.parametrize(("running", "adjusted"), [(5, False), (10, True)])
def test_the_rate_of_grants_is_the_capacity_only_while_no_endpoint_has_room(
    running, adjusted
):
    """Requests beyond a share are rejected while others would find room."""
    made = flooded_scheduler()
    for number in range(running):
        busy = ActiveRequest(f"busy.0.{number}", "r", 0, 100, 1.0, 1.0, begun=True)
        made.record_active("e-0", busy)
    item = offer("r.0.1", now=2.0, organisation="flood")
    assert isinstance(decide(made, 2.0, item)["r.0.1"], Rejected)
    assert (made.returns.capacity < 20_000.0) == adjusted


@pytest.mark.parametrize(("priority", "rejected"), [(0, True), (1, False)])
def test_a_prediction_is_corrected_for_what_more_urgent_requests_took_only(
    priority, rejected
):
    """Some of those of its own priority are overtaken by others, some are not."""
    made = scheduler_with_wrong_predictions()
    other = offer("r.8.1", "other", 0, 45_000, now=1.0, priority=priority)
    assert isinstance(decide(made, 1.0, other)["r.8.1"], Granted)
    item = offer("r.0.1", now=1.05, tokens=5000, own=200, priority=1)
    decision = decide(made, 1.05, item).get("r.0.1")
    assert isinstance(decision, Rejected) == rejected


def test_a_request_that_expires_before_its_answer_is_rejected_at_once():
    made = returning_scheduler()
    made.loads["e-0"].residence = 0.8
    busy = offer("r.0.0", now=1.0)
    decide(made, 1.0, busy)
    short = offer("r.0.1", now=1.1, due=2.6, expires=1.5)
    assert isinstance(decide(made, 1.1, short)["r.0.1"], Rejected)


@pytest.mark.parametrize("scheduled", [False, True])
@pytest.mark.parametrize("abusers", [0.0, 0.3])
def test_floods_of_callers_that_return_get_equal_shares_while_they_last(
    scheduled, abusers
):
    seconds = 8.0
    made = Replay(
        scheduled,
        burst(2.5, 0.0, seconds),
        seconds=seconds,
        organisations=("one", "two", "two", "two"),
        abusers=abusers,
    ).play()
    counts = [
        sum(
            caller.end in ("in time", "late") and caller.ended_at < seconds
            for caller in made.callers
            if caller.organisation == name
        )
        for name in ("one", "two")
    ]
    # The first organisation asks for five eighths of the capacity.
    assert counts[0] > 0.5 * counts[1]
