"""A short soak with fixed seeds: faults at random, no broken promise."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.soak import soak


@pytest.mark.parametrize("seed", [11, 12])
def test_no_promise_is_broken_under_mixed_faults(seed):
    account = asyncio.run(soak(10.0, seed))
    assert account.violations == []
    assert account.whole > 0
    assert account.faults.total() > 0
