"""Callers of the soak test tell a close that their request crossed from others."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from benchmarks.soak.connections import CROSSING_BOUND, CallerConnection


@contextlib.asynccontextmanager
async def connected(serve):
    """Connect a caller to a server that handles its connection with `serve`."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = CallerConnection(*await asyncio.open_connection("127.0.0.1", port))
    try:
        yield connection
    finally:
        connection.close()
        server.close()


async def end_unanswered(serve, delay):
    """Return whether a request crossed, sent after a delay and left unanswered."""
    async with connected(serve) as connection:
        await asyncio.sleep(delay)
        answer = await connection.ask("/again/x", {})
        assert not answer.status
        return await connection.crossed()


async def read_and_close(reader, writer):
    await reader.readuntil(b"body")
    writer.close()


async def close(_, writer):
    writer.close()


async def reset_late(_, writer):
    writer.transport.pause_reading()
    await asyncio.sleep(2 * CROSSING_BOUND)
    writer.transport.abort()


@pytest.mark.parametrize(
    ("serve", "delay", "crossed"),
    [(read_and_close, 0.0, False), (close, 0.05, True), (reset_late, 0.0, False)],
)
def test_only_a_request_sent_after_the_close_crosses_it(serve, delay, crossed):
    assert asyncio.run(end_unanswered(serve, delay)) is crossed


def test_a_connection_that_the_router_has_closed_is_not_open():
    async def state():
        async with connected(close) as connection:
            await asyncio.sleep(0.05)
            return connection.is_open()

    assert not asyncio.run(state())
