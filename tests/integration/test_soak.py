"""Short soaks with fixed seeds: faults at random, no broken promise."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.soak import forwarding, own


def check(account):
    assert account.violations == []
    assert account.whole > 0
    assert account.faults.total() > 0


@pytest.mark.parametrize("seed", [11, 12])
def test_no_promise_is_broken_under_mixed_faults(seed):
    check(asyncio.run(own.soak(10.0, seed)))


@pytest.mark.parametrize("seed", [1, 2])
def test_no_promise_of_routers_that_forward_is_broken(seed):
    check(asyncio.run(forwarding.soak(8.0, seed)))
