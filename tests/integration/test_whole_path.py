"""Requests from a caller through balancer and routers to endpoints, and back."""

from __future__ import annotations

import asyncio

from benchmarks.client import call, chat
from benchmarks.fleet import Fleet, key_of, start_deployment
from tests.builders import SMALL


def test_requests_are_served_end_to_end(processes):
    async def scenario():
        fleet = Fleet(processes)
        await start_deployment(fleet, SMALL)
        balancer = fleet.start_balancer()
        streamed = await chat(balancer.port, key_of("alder"), "survey", 12)
        completion = await chat(
            balancer.port, key_of("birch"), "survey", 5, stream=False
        )
        headers = {"X-Request-Id": "order-1"}
        order = await call(balancer.port, key_of("alder"), "desk", 5, headers)
        unknown = await chat(balancer.port, "nobody's key", "survey", 5)
        return streamed, completion, order, unknown

    streamed, completion, order, unknown = asyncio.run(scenario())
    assert streamed.is_whole_stream(12)
    text = completion.json()["choices"][0]["message"]["content"]
    assert text == "w1 w2 w3 w4 w5 "
    assert order.json()["request_id"] == "order-1"
    assert order.headers["x-request-id"] == "order-1"
    assert unknown.status == 401
    assert unknown.json()["kind"] == "unknown-key"
    assert unknown.json()["ran"] == "no"
