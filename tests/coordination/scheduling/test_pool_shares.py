"""Shares of organisations where a service's endpoints form several pools.

On a hunted day of 67 routers and 64 engines one organisation asked for 18.7 million
tokens in six seconds, had a request waiting all the while and got 1.8, another one got
5.4. Each pool is shared out by itself, and all requests with one prefix go to one pool
first: an organisation whose requests share a prefix got its part of that pool only.
That this is what happened on the day is suspected, not shown.
"""

from __future__ import annotations

import pytest

from tests.simulated_pools import PoolsRun


@pytest.mark.parametrize("prefixes", [1, 40])
def test_floods_get_alike_whatever_prefixes_they_have(prefixes):
    got = PoolsRun({"one": prefixes, "two": 40}).play()
    assert min(got["one"], got["two"]) >= 0.5 * max(got.values())
