"""Fair shares of organisations in a sliding window."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.state.usage import UsageTable, max_min_level


def test_demands_below_the_fair_share_are_met():
    assert max_min_level([10, 50, 90], 100) == pytest.approx(45)
    assert max_min_level([10, 20], 100) == float("inf")
    assert max_min_level([], 100) == float("inf")


@given(st.lists(st.floats(0, 1e6), max_size=20), st.floats(1, 1e6))
def test_total_is_the_capacity_or_the_total_demand(demands, capacity):
    level = max_min_level(demands, capacity)
    total = sum(min(demand, level) for demand in demands)
    assert total == pytest.approx(min(capacity, sum(demands)), rel=1e-6, abs=1e-6)


def test_small_organisation_is_within_its_share_beside_an_overloading_one():
    table = UsageTable(4.0)
    for _ in range(100):
        table.asked("flood", 1.0, 1000)
    table.asked("small", 1.0, 1000)
    table.granted("flood", 1.0, 39_000)
    table.refresh(1.0, 10_000)
    assert table.is_within_share("small", 1000)
    assert not table.is_within_share("flood", 1000)


def test_tokens_older_than_the_window_do_not_count():
    table = UsageTable(4.0)
    table.asked("flood", 1.0, 100_000)
    table.granted("flood", 1.0, 39_500)
    table.refresh(1.0, 10_000)
    assert not table.is_within_share("flood", 1000)
    table.asked("flood", 5.5, 100_000)
    table.refresh(5.5, 10_000)
    assert table.is_within_share("flood", 1000)


def test_organisation_with_far_less_than_the_best_served_is_underserved():
    table = UsageTable(4.0)
    for name, got in (("one", 1000), ("two", 9000), ("modest", 500)):
        table.asked(name, 1.0, 500 if name == "modest" else 20_000)
        table.granted(name, 1.0, got)
    table.refresh(1.0, 10_000)
    assert table.is_underserved("one")
    assert not table.is_underserved("two")
    assert not table.is_underserved("modest")
