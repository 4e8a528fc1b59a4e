"""Positions in a log that is restored from a backup."""

from __future__ import annotations

from carawayfold.state.positions import era_of, offset_of, position


def test_position_of_a_later_era_is_greater_whatever_its_offset():
    assert position(2, 0) > position(1, 1_000_000_000)


def test_era_and_offset_are_read_from_a_position():
    place = position(3, 450) + 7
    assert (era_of(place), offset_of(place)) == (3, 457)
