"""Log lines and metrics on requests that leave their data centre."""

from __future__ import annotations

from types import SimpleNamespace

import logbook

from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.locality import crossing_bytes
from carawayfold.coordination.scheduling.pending import PoolState
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.forward_exposition import ForwardCollector
from tests.schedule_builders import WINDOW, endpoint, offer


def sending_pool():
    """Return a pool that sends one request from `a`, which has one slot, to `b`."""
    made = Scheduler(WINDOW, features=SchedulingFeatures(remote_cost=0.05))
    endpoints = [endpoint(f"{name}-0", slots=1, data_centre=name) for name in "ab"]
    made.set_endpoints(endpoints, PoolPlan())
    item = None
    for number in range(2):
        item = offer(
            f"r.0.{number}",
            data_centre="a",
            prompt=(),
            prompt_tokens=0,
            output_tokens=0,
            body_bytes=9000,
        )
        made.offer(item, 0.0)
        assert made.decide(0.0)
    return PoolState("app/0", made), item


def samples(families):
    return {
        sample.name: (sample.labels, sample.value)
        for family in families
        for sample in family.samples
    }


def test_begin_and_end_are_logged_once():
    pool, item = sending_pool()
    with logbook.TestHandler() as handler:
        pool.expire(0.5)
        pool.expire(0.6)
        pool.expire(1.5)
        pool.expire(1.6)
    begin, end = handler.records
    assert begin.message == "requests leave their data centre"
    assert (begin.extra["origin"], begin.extra["target"]) == ("a", "b")
    assert begin.extra["pool"] == "app/0"
    assert begin.extra["local_wait_ms"] > begin.extra["remote_wait_ms"]
    assert begin.extra["cost_ms"] > 4
    assert end.message == "requests stay in their data centre again"
    assert (end.extra["requests"], end.extra["bytes"]) == (1, crossing_bytes(item))


def test_metrics_count_by_pair_and_state_the_budget():
    pool, item = sending_pool()
    coordinator = SimpleNamespace(pools={pool.id: pool}, decides_for=lambda _: True)
    collector = ForwardCollector(SimpleNamespace(coordinator=coordinator))
    found = samples(collector._remote_requests())
    labels = {"pool": "app/0", "origin": "a", "target": "b", "reason": "load"}
    assert found["carawayfold_remote_requests_total"] == (labels, 1)
    assert found["carawayfold_remote_bytes_total"] == (labels, crossing_bytes(item))
    assert found["carawayfold_remote_budget_slots"][0]["pool"] == "app/0"


def test_without_the_setting_nothing_is_reported():
    made = Scheduler(WINDOW)
    made.set_endpoints([endpoint("a-0", data_centre="a")], PoolPlan())
    made.offer(offer(data_centre="b"), 0.0)
    made.decide(0.0)
    pool = PoolState("model/0", made)
    with logbook.TestHandler() as handler:
        pool.expire(2.0)
    assert not handler.records
    coordinator = SimpleNamespace(pools={pool.id: pool}, decides_for=lambda _: True)
    collector = ForwardCollector(SimpleNamespace(coordinator=coordinator))
    assert samples(collector._remote_requests()) == {}
