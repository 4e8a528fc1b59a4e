"""Metrics of connections to endpoints, and the settings that bound them."""

from __future__ import annotations

import asyncio

import msgspec

from carawayfold.gateway import Gateway
from carawayfold.protocol.forward_exposition import render
from tests.gateway_builders import gateway_settings


def made(reuse_connections):
    """Return the client of a router, and its metrics after some attempts."""

    async def work():
        settings = msgspec.structs.replace(
            gateway_settings(1.0), reuse_connections=reuse_connections
        )
        gateway = Gateway(settings, lambda: None, lambda: 0)
        for reused in (False, True, True, True):
            gateway.http.uses.record(reused)
        gateway.http.uses.lost += 1
        lines = render(gateway).decode().splitlines()
        return gateway.http, dict(line.rsplit(" ", 1) for line in lines)

    return asyncio.run(work())


def test_metrics_tell_how_attempts_came_by_their_connections():
    _, metrics = made(True)
    name = "carawayfold_endpoint_connections_total"
    assert metrics[name + '{kind="opened"}'] == "1.0"
    assert metrics[name + '{kind="reused"}'] == "3.0"
    assert metrics[name + '{kind="lost"}'] == "1.0"
    assert metrics["carawayfold_reused_connections_ratio"] == "0.75"
    assert metrics["carawayfold_outgoing_connections"] == "0.0"


def test_open_connections_are_bounded_by_the_descriptors_left_by_callers():
    http, _ = made(True)
    assert http.reuse_longer
    # 1,024 descriptors, 563 for callers and 64 for other purposes.
    assert http.max_open == 397


def test_connections_are_kept_as_before_if_it_is_off():
    http, _ = made(False)
    assert not http.reuse_longer
    assert http.max_open == 0
