"""Configurations of the soak test are valid and differ from each other."""

from __future__ import annotations

import copy
import json
import random

import pytest

from benchmarks.hosted import KEY
from benchmarks.soak.callers import KINDS, TIME_LIMITS
from benchmarks.soak.changes import Configurations
from carawayfold.platform.records import decode_routes


@pytest.mark.parametrize("seed", range(5))
def test_each_change_leaves_what_callers_use(seed):
    configurations = Configurations(random.Random(seed))
    for _ in range(40):
        before = copy.deepcopy(configurations.current)
        configurations.change()
        current = configurations.current
        assert current["version"] > before["version"]
        routes = {item["name"]: item for item in current["routes"]}
        for kind in KINDS:
            limit = TIME_LIMITS[kind.service]
            assert routes[kind.path]["timeout_ms"] >= 1000 * limit
        assert KEY in current["tenants"][0]["api_keys"]
        decode_routes(json.dumps(current).encode())


def test_added_routes_are_dropped_in_their_order():
    configurations = Configurations(random.Random(1))
    added = [configurations.add_route() for _ in range(3)]
    assert [configurations.drop_route() for _ in range(4)] == [*added, ""]
    names = {item["name"] for item in configurations.current["routes"]}
    assert not names & set(added)


def test_the_least_idle_timeout_that_may_be_active_counts():
    configurations = Configurations(random.Random(1))
    for at, idle_timeout in ((100.0, 2000), (105.0, 4000), (130.0, 15000)):
        configurations.current["limits"]["idle_timeout_ms"] = idle_timeout
        configurations.note_written(at)
    expected = {99.0: 15.0, 101.0: 2.0, 107.4: 2.0, 107.6: 4.0, 131.0: 4.0, 132.6: 15.0}
    found = {now: configurations.least_idle_timeout(now) for now in expected}
    assert found == expected
