"""Metrics of a forwarding router."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from carawayfold.coordination.scheduling.wait_predictions import WaitCounts
from carawayfold.protocol.forward_exposition import ForwardCollector, render
from tests.gateway_builders import running_gateway
from tests.knowledge_builders import table


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


@pytest.mark.parametrize(
    ("versions", "configured", "version"), [((), 0, 0), ((0,), 1, 0), ((0, 3), 1, 3)]
)
def test_no_configuration_is_told_from_version_0(versions, configured, version):
    async def scenario():
        async with running_gateway(0.1) as gateway:
            for number in versions:
                gateway.knowledge.apply_routes(table(number), "store")
            return render(gateway).decode().splitlines()

    lines = asyncio.run(scenario())
    assert f"carawayfold_configured {configured:.1f}" in lines
    assert f"carawayfold_version {version:.1f}" in lines
