"""Copies of cached prefixes between engines."""

from __future__ import annotations

from carawayfold.coordination.scheduling.copy_sources import (
    MIN_COPIED_TOKENS,
    find_copy_source,
)
from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.offers import Granted, Outcome, Rejected
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import offer, scheduler


def grant(pool, item, now):
    pool.offer(item, now)
    (decision,) = pool.decide(now)
    assert isinstance(decision, Granted)
    return decision


def full_engine_with_prefix(topic=5000):
    """Return two engines: e-0 has a prefix cached, and all its slots are in use."""
    pool = scheduler(endpoints=2)
    pool.record_cached_prefixes("e-0", [Part("topic", topic)])
    for number in range(4):
        active = ActiveRequest(f"r.0.9{number}", "r", 0, 10, 1.0, 1.0, begun=True)
        pool.record_active("e-0", active)
    pool.loads["e-0"].residence = 3.0
    return pool


def test_an_idle_engine_copies_the_prefix_of_a_full_one():
    decision = grant(full_engine_with_prefix(), offer(tokens=5000, now=1.0), 1.0)
    assert (decision.endpoint, decision.copy_source) == ("e-1", "e-0")


def test_an_idle_engine_copies_the_prefix_of_a_busy_one():
    pool = scheduler(endpoints=2)
    pool.record_cached_prefixes("e-0", [Part("topic", 5000)])
    pool.record_active("e-0", ActiveRequest("r.0.0", "r", 40_000, 40_000, 1.0, 1.0))
    decision = grant(pool, offer(tokens=5000, now=1.0), 1.0)
    assert (decision.endpoint, decision.copy_source) == ("e-1", "e-0")


def test_copied_tokens_are_not_prefilled():
    pool = full_engine_with_prefix()
    grant(pool, offer(tokens=5000, own=700, now=1.0), 1.0)
    assert pool.loads["e-1"].prefill_tokens == 700


def test_nothing_is_copied_from_an_engine_before_its_prefill():
    pool = scheduler(endpoints=2, slots=1)
    first = grant(pool, offer("r.0.1", tokens=5000, now=1.0), 1.0)
    item = offer("r.0.2", tokens=5000, now=1.01, due=1.1)
    assert find_copy_source(item, pool.backlogs(1.01)) is None
    pool.begun("r.0.1", 0.05)
    found = find_copy_source(item, pool.backlogs(1.06))
    assert found.id == first.endpoint


def test_an_engine_with_the_prefix_cached_copies_nothing():
    pool = scheduler(endpoints=2)
    for name in ("e-0", "e-1"):
        pool.record_cached_prefixes(name, [Part("topic", 5000)])
    assert grant(pool, offer(tokens=5000, now=1.0), 1.0).copy_source is None


def test_a_short_prefix_is_prefilled_and_not_copied():
    pool = full_engine_with_prefix(MIN_COPIED_TOKENS - 1)
    item = offer(tokens=MIN_COPIED_TOKENS - 1, now=1.0)
    assert grant(pool, item, 1.0).copy_source is None


def test_nothing_is_copied_from_a_suspended_engine():
    pool = full_engine_with_prefix()
    pool.ended("r.0.90", Outcome.SILENT, 1.0)
    assert grant(pool, offer(tokens=5000, now=1.1), 1.1).copy_source is None


def test_nothing_is_copied_from_an_engine_that_some_router_cannot_reach():
    pool = full_engine_with_prefix()
    pool.ended("r.0.90", Outcome.UNREACHABLE, 1.0)
    item = offer(tokens=5000, router="other", now=1.1)
    assert grant(pool, item, 1.1).copy_source is None


def test_nothing_is_copied_from_a_failing_engine():
    pool = full_engine_with_prefix()
    for number in range(4):
        pool.ended(f"r.0.9{number}", Outcome.FAILED, 1.0)
    blocked = ActiveRequest("r.0.8", "r", 10**6, 10, 1.0, 1.0)
    pool.record_active("e-0", blocked)
    assert grant(pool, offer(tokens=5000, now=1.1), 1.1).copy_source is None


def test_a_prefix_is_copied_from_an_engine_of_another_pool():
    item = offer(tokens=5000, own=700, now=1.0, cached_at="far-1")
    pool = scheduler(endpoints=2)
    decision = grant(pool, item, 1.0)
    assert decision.copy_source == "far-1"
    assert pool.loads[decision.endpoint].prefill_tokens == 700


def test_an_engine_of_the_pool_is_preferred_as_copy_source():
    item = offer(tokens=5000, now=1.0, cached_at="far-1")
    assert grant(full_engine_with_prefix(), item, 1.0).copy_source == "e-0"


def rejected(pool):
    """Return the rejection of a request that no engine can serve in time."""
    for name, load in pool.loads.items():
        load.residence = 100.0
        for number in range(load.endpoint.slots):
            call = f"b.0.{name}-{number}"
            pool.record_active(
                name, ActiveRequest(call, "b", 0, 10, 1.0, 1.0, begun=True)
            )
    pool.offer(offer(tokens=5000, now=1.0), 1.0)
    (decision,) = pool.decide(1.0)
    assert isinstance(decision, Rejected)
    return decision


def test_a_rejection_names_the_engine_that_has_the_prompt_cached():
    pool = scheduler(endpoints=3)
    pool.record_cached_prefixes("e-1", [Part("topic", 5000)])
    assert rejected(pool).cached_at == "e-1"


def test_a_rejection_does_not_name_a_suspended_engine():
    pool = scheduler(endpoints=3)
    pool.record_cached_prefixes("e-1", [Part("topic", 5000)])
    pool.loads["e-1"].suspended_until = 9.0
    assert rejected(pool).cached_at is None
