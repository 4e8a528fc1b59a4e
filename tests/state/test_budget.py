"""A router's part of the fleet's budget of repeats."""

from __future__ import annotations

import pytest

from carawayfold.state.budget import BudgetBounds, RetryBudget

#: Start of a router that has counted for a whole window.
LONG_AGO = -10.0


def test_the_parts_of_all_routers_stay_within_the_whole():
    bounds = BudgetBounds(ratio=0.2, extra=50, window=10)
    routers = [RetryBudget(bounds, LONG_AGO) for _ in range(6)]
    sent = 0
    for number, router in enumerate(routers):
        for _ in range(20 * (number + 1)):
            router.request("desk", 1.0)
        while router.take("desk", len(routers), 1.0):
            sent += 1
    requests = sum(20 * (number + 1) for number in range(6))
    assert 0 < sent <= 0.2 * requests + 50


def test_repeats_come_back_when_the_window_has_passed():
    router = RetryBudget(BudgetBounds(ratio=0.0, extra=5, window=10), LONG_AGO)
    assert sum(router.take("desk", 1, 1.0) for _ in range(10)) == 4
    assert not router.take("desk", 1, 10.9)
    assert router.take("desk", 1, 11.1)


def test_the_window_tells_what_was_counted_and_what_it_allows():
    router = RetryBudget(BudgetBounds(ratio=0.2, extra=50, window=10), LONG_AGO)
    for _ in range(10):
        router.request("desk", 1.0)
    assert router.take("desk", 5, 1.0)
    window = router.window("desk", 5, 1.0)
    assert (window.requests, window.repeats) == (10, 1)
    assert window.allowed == pytest.approx(9.6)


def test_a_router_has_only_what_its_predecessor_left_until_a_window_after_its_start():
    router = RetryBudget(BudgetBounds(ratio=0.2, extra=50, window=10), started=1.0)
    for _ in range(10):
        router.request("desk", 10.9)
    assert router.window("desk", 5, 10.9).allowed == pytest.approx(0.2 * 0.2 * 10)
    assert router.window("desk", 5, 11.0).allowed == pytest.approx(9.6)
