"""Shares of organisations where a service's endpoints form several pools.

Guards against unequal shares across pools. Each pool is shared out by itself, and all
requests with one prefix go to one pool first, so an organisation whose requests share
a prefix got its share of that pool only. This probably caused the unequal shares in a
simulation of 67 routers and 64 engines: of 18.7 million tokens requested in six
seconds, with a request waiting throughout, one organisation got 1.8 million while
another one got 5.4 million.
"""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.pool_balance import PoolBalance
from tests.simulated_pools import PoolsRun


@pytest.mark.parametrize("prefixes", [1, 40])
def test_floods_get_equal_shares_whatever_their_prefixes(prefixes):
    got = PoolsRun({"one": prefixes, "two": 40}).play()
    assert min(got["one"], got["two"]) >= 0.5 * max(got.values())


@pytest.mark.parametrize("prefixes", [1, 2, 40])
def test_floods_get_equal_shares_with_balance_between_pools(prefixes):
    """Full pools aren't skipped, so each one sees the demand of both."""
    got = PoolsRun({"one": prefixes, "two": 40}, balance=PoolBalance()).play()
    assert min(got["one"], got["two"]) >= 0.5 * max(got.values())
