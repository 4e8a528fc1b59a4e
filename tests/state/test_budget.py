"""A router's part of the fleet's budget of repeats."""

from __future__ import annotations

import pytest

from carawayfold.state.budget import BudgetBounds, RetryBudget


def test_the_parts_of_all_routers_stay_within_the_whole():
    bounds = BudgetBounds(ratio=0.2, extra=50, window=10)
    routers = [RetryBudget(bounds) for _ in range(6)]
    sent = 0
    for number, router in enumerate(routers):
        for _ in range(20 * (number + 1)):
            router.request("desk", 1.0)
        while router.take("desk", len(routers), 1.0):
            sent += 1
    requests = sum(20 * (number + 1) for number in range(6))
    assert 0 < sent <= 0.2 * requests + 50


def test_repeats_come_back_when_the_window_has_passed():
    router = RetryBudget(BudgetBounds(ratio=0.0, extra=5, window=10))
    assert sum(router.take("desk", 1, 1.0) for _ in range(10)) == 4
    assert not router.take("desk", 1, 10.9)
    assert router.take("desk", 1, 11.1)


def test_the_window_tells_what_was_counted_and_what_it_allows():
    router = RetryBudget(BudgetBounds(ratio=0.2, extra=50, window=10))
    for _ in range(10):
        router.request("desk", 1.0)
    assert router.take("desk", 5, 1.0)
    window = router.window("desk", 5, 1.0)
    assert (window.requests, window.repeats) == (10, 1)
    assert window.allowed == pytest.approx(9.6)
