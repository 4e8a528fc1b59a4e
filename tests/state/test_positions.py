"""Positions across returns of a log from a copy."""

from __future__ import annotations

from carawayfold.state.positions import era_of, offset_of, position


def test_a_later_era_is_further_whatever_its_offset():
    assert position(2, 0) > position(1, 1_000_000_000)


def test_era_and_offset_come_back():
    place = position(3, 450) + 7
    assert (era_of(place), offset_of(place)) == (3, 457)
