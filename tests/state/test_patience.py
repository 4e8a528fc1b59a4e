"""How long callers have waited already."""

from __future__ import annotations

import pytest

from carawayfold.state.patience import Patience


def test_a_caller_that_comes_back_has_waited():
    patience = Patience()
    for _ in range(20):
        assert patience.waited(15.0) == 0.0
    assert patience.waited(13.4) == pytest.approx(1.6)
    assert patience.waited(15.0) == 0.0


def test_callers_with_different_times_are_told_apart():
    patience = Patience()
    for _ in range(20):
        patience.waited(15.0)
        patience.waited(3.0)
    assert patience.waited(3.0) == 0.0
    assert patience.waited(2.5) == pytest.approx(0.5)


def test_what_is_not_known_counts_as_fresh():
    assert Patience().waited(2.345) == 0.0


def test_only_bounded_times_are_remembered():
    patience = Patience()
    for number in range(5000):
        patience.waited(15.0 if number % 2 else number / 1000)
    assert len(patience.counts) <= 401
    assert patience.waited(14.9995) == pytest.approx(0.0, abs=0.001)
