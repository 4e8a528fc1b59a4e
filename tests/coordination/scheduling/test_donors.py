"""Copies of kept prompts between engines, with the loads that they answer."""

from __future__ import annotations

from carawayfold.coordination.scheduling.donors import LEAST_FETCHED, find_copy_source
from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.offers import Granted, Outcome, TurnedAway
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import offer, scheduler


def grant(pool, item, now):
    pool.offer(item, now)
    (decision,) = pool.decide(now)
    assert isinstance(decision, Granted)
    return decision


def keeper_that_is_full(topic=5000):
    """Return two engines: e-0 has read a topic, and all its slots are taken."""
    pool = scheduler(endpoints=2)
    pool.record_cached_prefixes("e-0", [Part("topic", topic)])
    for number in range(4):
        active = ActiveRequest(f"r.0.9{number}", "r", 0, 10, 1.0, 1.0, begun=True)
        pool.record_active("e-0", active)
    pool.loads["e-0"].residence = 3.0
    return pool


def test_a_full_engine_hands_its_prefix_to_an_idle_one():
    decision = grant(keeper_that_is_full(), offer(tokens=5000, now=1.0), 1.0)
    assert (decision.endpoint, decision.donor) == ("e-1", "e-0")


def test_a_busy_engine_hands_its_prefix_to_an_idle_one():
    pool = scheduler(endpoints=2)
    pool.record_cached_prefixes("e-0", [Part("topic", 5000)])
    pool.record_active("e-0", ActiveRequest("r.0.0", "r", 40_000, 40_000, 1.0, 1.0))
    decision = grant(pool, offer(tokens=5000, now=1.0), 1.0)
    assert (decision.endpoint, decision.donor) == ("e-1", "e-0")


def test_what_is_copied_is_not_read_again():
    pool = keeper_that_is_full()
    grant(pool, offer(tokens=5000, own=700, now=1.0), 1.0)
    assert pool.loads["e-1"].prefill_tokens == 700


def test_an_engine_that_has_not_read_the_prefix_yet_is_not_asked():
    pool = scheduler(endpoints=2, slots=1)
    first = grant(pool, offer("r.0.1", tokens=5000, now=1.0), 1.0)
    item = offer("r.0.2", tokens=5000, now=1.01, due=1.1)
    assert find_copy_source(item, pool._backlogs(1.01)) is None
    pool.begun("r.0.1", 0.05)
    found = find_copy_source(item, pool._backlogs(1.06))
    assert found.id == first.endpoint


def test_an_engine_that_keeps_it_itself_asks_nobody():
    pool = scheduler(endpoints=2)
    for name in ("e-0", "e-1"):
        pool.record_cached_prefixes(name, [Part("topic", 5000)])
    assert grant(pool, offer(tokens=5000, now=1.0), 1.0).donor is None


def test_a_short_prefix_is_read_and_not_copied():
    pool = keeper_that_is_full(LEAST_FETCHED - 1)
    item = offer(tokens=LEAST_FETCHED - 1, now=1.0)
    assert grant(pool, item, 1.0).donor is None


def test_an_engine_that_fell_silent_is_not_asked():
    pool = keeper_that_is_full()
    pool.ended("r.0.90", Outcome.SILENT, 1.0)
    assert grant(pool, offer(tokens=5000, now=1.1), 1.1).donor is None


def test_an_engine_that_some_router_cannot_reach_is_not_asked():
    pool = keeper_that_is_full()
    pool.ended("r.0.90", Outcome.UNREACHABLE, 1.0)
    item = offer(tokens=5000, router="other", now=1.1)
    assert grant(pool, item, 1.1).donor is None


def test_an_engine_that_fails_is_not_asked():
    pool = keeper_that_is_full()
    for number in range(4):
        pool.ended(f"r.0.9{number}", Outcome.FAILED, 1.0)
    blocked = ActiveRequest("r.0.8", "r", 10**6, 10, 1.0, 1.0)
    pool.record_active("e-0", blocked)
    assert grant(pool, offer(tokens=5000, now=1.1), 1.1).donor is None


def test_an_engine_of_another_pool_hands_over_what_it_has_read():
    item = offer(tokens=5000, own=700, now=1.0, kept_at="far-1")
    pool = scheduler(endpoints=2)
    decision = grant(pool, item, 1.0)
    assert decision.donor == "far-1"
    assert pool.loads[decision.endpoint].prefill_tokens == 700


def test_an_engine_of_the_pool_is_asked_before_one_of_another_pool():
    item = offer(tokens=5000, now=1.0, kept_at="far-1")
    assert grant(keeper_that_is_full(), item, 1.0).donor == "e-0"


def rejected(pool):
    """Return the refusal of a request that no engine of the pool can serve in time."""
    for name, load in pool.loads.items():
        load.residence = 100.0
        for number in range(load.endpoint.slots):
            call = f"b.0.{name}-{number}"
            pool.record_active(
                name, ActiveRequest(call, "b", 0, 10, 1.0, 1.0, begun=True)
            )
    pool.offer(offer(tokens=5000, now=1.0), 1.0)
    (decision,) = pool.decide(1.0)
    assert isinstance(decision, TurnedAway)
    return decision


def test_who_turns_a_request_away_names_the_engine_that_keeps_its_prompt():
    pool = scheduler(endpoints=3)
    pool.record_cached_prefixes("e-1", [Part("topic", 5000)])
    assert rejected(pool).kept_at == "e-1"


def test_an_engine_that_fell_silent_is_not_named():
    pool = scheduler(endpoints=3)
    pool.record_cached_prefixes("e-1", [Part("topic", 5000)])
    pool.loads["e-1"].suspended_until = 9.0
    assert rejected(pool).kept_at is None
