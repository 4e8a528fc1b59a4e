"""Short soak tests with fixed seeds: random faults must not violate a guarantee."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.soak import forwarding, own


def check_account(account):
    assert account.violations == []
    assert account.whole > 0
    assert account.faults.total() > 0


@pytest.mark.parametrize("seed", [11, 12])
def test_no_promise_is_broken_under_mixed_faults(seed):
    check_account(asyncio.run(own.soak(10.0, seed)))


@pytest.mark.parametrize("seed", [1, 2])
def test_forwarding_routers_violate_no_guarantee_under_mixed_faults(seed):
    check_account(asyncio.run(forwarding.soak(8.0, seed)))


@pytest.mark.parametrize("seed", [1])
def test_planned_work_and_silence_break_off_no_request(seed):
    check_account(asyncio.run(forwarding.soak(8.0, seed, planned=True)))
