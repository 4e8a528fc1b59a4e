"""Shares of organisations in a sliding window."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.state.usage import UsageBook, max_min_level


def test_those_who_ask_for_less_get_what_they_ask():
    assert max_min_level([10, 50, 90], 100) == pytest.approx(45)
    assert max_min_level([10, 20], 100) == float("inf")
    assert max_min_level([], 100) == float("inf")


@given(st.lists(st.floats(0, 1e6), max_size=20), st.floats(1, 1e6))
def test_what_all_get_is_the_capacity_or_all_they_ask(demands, capacity):
    level = max_min_level(demands, capacity)
    got = sum(min(demand, level) for demand in demands)
    assert got == pytest.approx(min(capacity, sum(demands)), rel=1e-6, abs=1e-6)


def test_a_small_organisation_is_owed_what_a_flood_is_not():
    book = UsageBook(4.0)
    for _ in range(100):
        book.asked("flood", 1.0, 1000)
    book.asked("small", 1.0, 1000)
    book.granted("flood", 1.0, 39_000)
    book.refresh(1.0, 10_000)
    assert book.is_owed("small", 1000)
    assert not book.is_owed("flood", 1000)


def test_what_left_the_window_counts_no_more():
    book = UsageBook(4.0)
    book.asked("flood", 1.0, 100_000)
    book.granted("flood", 1.0, 39_500)
    book.refresh(1.0, 10_000)
    assert not book.is_owed("flood", 1000)
    book.asked("flood", 5.5, 100_000)
    book.refresh(5.5, 10_000)
    assert book.is_owed("flood", 1000)


def test_one_that_got_far_less_than_the_best_served_is_behind():
    book = UsageBook(4.0)
    for name, got in (("one", 1000), ("two", 9000), ("modest", 500)):
        book.asked(name, 1.0, 500 if name == "modest" else 20_000)
        book.granted(name, 1.0, got)
    book.refresh(1.0, 10_000)
    assert book.is_behind("one")
    assert not book.is_behind("two")
    assert not book.is_behind("modest")
