"""Comparison of versions and positions, of which there may be none yet."""

from __future__ import annotations

import pytest

from carawayfold.state.progress import is_newer


@pytest.mark.parametrize("first", [0, 1, 7])
def test_any_first_number_is_newer_than_none(first):
    assert is_newer(first, None)
    assert not is_newer(None, first)
    assert not is_newer(None, None)


@pytest.mark.parametrize(
    ("progress", "known", "newer"), [(0, 0, False), (1, 0, True), (0, 1, False)]
)
def test_a_number_is_newer_than_lower_ones(progress, known, newer):
    assert is_newer(progress, known) is newer
