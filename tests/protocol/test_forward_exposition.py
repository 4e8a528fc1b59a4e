"""Metrics of a forwarding router."""

from __future__ import annotations

from types import SimpleNamespace

from carawayfold.coordination.scheduling.wait_predictions import WaitCounts
from carawayfold.protocol.forward_exposition import ForwardCollector


def pool(**counts):
    predictions = SimpleNamespace(counts=counts)
    return SimpleNamespace(scheduler=SimpleNamespace(predictions=predictions))


def test_predicted_waits_are_summed_over_pools_by_route():
    pools = {
        "model/0": pool(summary=WaitCounts(5, 2)),
        "model/1": pool(summary=WaitCounts(3, 0), note=WaitCounts(1, 1)),
    }
    gateway = SimpleNamespace(coordinator=SimpleNamespace(pools=pools))
    values = {
        (family.name, sample.labels["route"]): sample.value
        for family in ForwardCollector(gateway)._predicted_waits()
        for sample in family.samples
    }
    assert values == {
        ("carawayfold_predicted_waits", "summary"): 8,
        ("carawayfold_predicted_waits", "note"): 1,
        ("carawayfold_wrong_predictions", "summary"): 2,
        ("carawayfold_wrong_predictions", "note"): 1,
    }
