"""Why callers' connections are closed, and what their requests get."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from carawayfold.transport.edge import CloseReason
from tests.transport.edge_builders import GET, POST, connect, open_edge, run


def test_a_connection_that_is_closed_beside_a_request_is_logged_with_its_reason():
    async def scenario():
        async with open_edge(lambda incoming: None) as edge:
            reader, writer = await connect(edge)
            writer.write(GET)
            while (
                not edge.connections
                or not next(iter(edge.connections.values())).request
            ):
                await asyncio.sleep(0)
            next(iter(edge.connections.values())).close(CloseReason.STOPPING)
            assert await reader.read() == b""
            writer.close()
            return edge.closed

    with logbook.TestHandler() as logs:
        closed = run(scenario)
    assert closed == {CloseReason.STOPPING: 1}
    record = next(item for item in logs.records if "beside a request" in item.message)
    assert record.extra["reason"] == "stopping"
    assert record.extra["stage"] == "answering"


def test_a_connection_that_is_closed_while_idle_is_counted_only():
    async def scenario():
        async with open_edge(lambda incoming: incoming.answer(200, [])) as edge:
            edge.limits = msgspec.structs.replace(edge.limits, idle_timeout=0.05)
            reader, writer = await connect(edge)
            writer.write(POST)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            return edge.closed

    with logbook.TestHandler() as logs:
        closed = run(scenario)
    assert closed == {CloseReason.IDLE: 1}
    assert not logs.records
