"""Pools of a large service: few moves, and requests in proportion to capacity."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from carawayfold.coordination.scheduling import (
    pool_assignment as pool_assignment_module,
)
from carawayfold.coordination.scheduling.pool_assignment import (
    MAX_POOL_SIZE,
    PoolAssignment,
    choose_fallback_pool,
    choose_pool,
)
from carawayfold.state.ids import PoolId
from tests.schedule_builders import endpoint


def places(count):
    """Return the pool of each of `count` endpoints."""
    return pools_by(PoolAssignment(), range(count))


def pools_by(pool_assignment, numbers):
    """Return the pool of each endpoint in an assignment."""
    pools = pool_assignment.assign([endpoint(f"e-{number}") for number in numbers])
    return {item.id: number for number, pool in enumerate(pools) for item in pool}


@given(st.lists(st.sets(st.integers(0, 120), max_size=100), max_size=6))
def test_cached_results_change_no_pool(fleets):
    pool_assignment = PoolAssignment()
    for numbers in fleets:
        assert pools_by(pool_assignment, numbers) == pools_by(PoolAssignment(), numbers)


def test_a_change_of_one_endpoint_needs_no_hashes_for_the_others(monkeypatch):
    drawn = []

    def draw(text):
        drawn.append(text)
        return len(text)

    monkeypatch.setattr(pool_assignment_module, "_hash", draw)
    pool_assignment = PoolAssignment()
    pools_by(pool_assignment, range(5 * MAX_POOL_SIZE - 1))
    drawn.clear()
    pools_by(pool_assignment, range(5 * MAX_POOL_SIZE))
    assert len(drawn) == 5


def test_an_added_pool_moves_only_its_own_endpoints():
    before = places(5 * MAX_POOL_SIZE)
    after = places(5 * MAX_POOL_SIZE + 1)
    moved = [name for name in before if before[name] != after[name]]
    assert moved
    assert {after[name] for name in moved} == {5}


def test_a_removed_endpoint_moves_no_other():
    before = places(3 * MAX_POOL_SIZE)
    after = places(3 * MAX_POOL_SIZE - 1)
    assert all(before[name] == number for name, number in after.items())


def test_pools_get_requests_in_proportion_to_their_weights():
    weights = {PoolId("model/0"): 100, PoolId("model/1"): 300}
    chosen = Counter(choose_pool(weights, f"p-{number}") for number in range(4000))
    assert 0.70 < chosen[PoolId("model/1")] / 4000 < 0.80


def test_a_pool_without_endpoints_gets_no_requests():
    weights = {PoolId("model/0"): 0, PoolId("model/1"): 8}
    assert {choose_pool(weights, f"p-{number}") for number in range(200)} == {"model/1"}


def test_a_change_of_weights_leaves_most_prefixes_where_they_are():
    before = {PoolId(f"model/{number}"): 160 for number in range(5)}
    after = {**before, PoolId("model/2"): 150}
    prefixes = [f"p-{number}" for number in range(2000)]
    moved = sum(
        choose_pool(before, item) != choose_pool(after, item) for item in prefixes
    )
    assert moved < 60


def test_a_fallback_pool_is_one_that_was_not_tried():
    weights = {f"model/{number}": 2 for number in range(3)}
    first = choose_pool(weights, "topic")
    second = choose_fallback_pool(weights, [first], "r.1.1")
    third = choose_fallback_pool(weights, [first, second], "r.1.1")
    assert {first, second, third} == weights.keys()
    assert choose_fallback_pool(weights, list(weights), "r.1.1") is None


def test_requests_of_one_prefix_spread_over_all_fallback_pools():
    weights = {f"model/{number}": 2 for number in range(5)}
    first = choose_pool(weights, "topic")
    drawn = Counter(
        choose_fallback_pool(weights, [first], f"r.1.{number}") for number in range(400)
    )
    assert drawn.keys() == weights.keys() - {first}
    assert min(drawn.values()) > 60
