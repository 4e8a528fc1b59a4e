"""Endpoints of the stand-ins that are silent for a while, or send without end."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from benchmarks.client import post_json
from benchmarks.hosted import call, model_headers, plain_headers, stream_events
from standins import endless
from standins.hosted import Hosted
from standins.web import WebServer

SILENCE = 0.4
PACE = 0.02
#: More bytes than any complete answer of the stand-in has.
MANY_BYTES = 100_000


@contextlib.asynccontextmanager
async def endpoint(**faults):
    """Serve an endpoint with faults and return its port."""
    server = WebServer(Hosted("desk-1", PACE).handle)
    await server.start(0)
    await post_json(server.port, "/faults", faults)
    yield server.port


async def read_more_than(port, path, limit):
    """Return the first bytes that an endpoint sends, more than a limit."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    data = await reader.readexactly(limit)
    writer.transport.abort()
    return data


def test_a_silent_endpoint_sends_nothing_and_goes_on():
    async def ask():
        async with endpoint() as port:
            started_at = time.time()
            stream = asyncio.create_task(
                call(port, "POST", "/stream/x", headers=model_headers("q-1", 8))
            )
            await asyncio.sleep(3 * PACE)
            await post_json(port, "/faults", {"quiet": SILENCE})
            plain = call(port, "POST", "/again/x", headers=plain_headers("q-2"))
            answers = await asyncio.gather(stream, plain)
            return answers, time.time() - started_at

    (stream, plain), lasted = asyncio.run(ask())
    assert stream.complete
    assert [event.number for event in stream_events(stream.body)] == list(range(1, 9))
    assert plain.complete
    assert plain.body == b"answer to q-2"
    assert lasted >= SILENCE


def test_a_silent_endpoint_works_meanwhile_and_answers_its_operators():
    async def ask():
        async with endpoint(quiet=60) as port:
            plain = asyncio.create_task(call(port, "POST", "/again/x"))
            await asyncio.sleep(5 * PACE)
            ran = (await call(port, "GET", "/ran")).body
            silent = not plain.done()
            await post_json(port, "/faults", {})
            return ran, silent, await plain

    ran, silent, plain = asyncio.run(ask())
    assert b'"whole"' in ran
    assert silent
    assert plain.complete


@pytest.mark.parametrize(
    ("kind", "path", "repeated"),
    [
        (endless.HEAD, "/again/x", endless.HEADER_LINE),
        (endless.BODY, "/again/x", b"xxx"),
        (endless.BODY, "/stream/x", b"xxx"),
        (endless.EVENTS, "/stream/x", endless.COMMENT),
        (endless.AFTER, "/again/x", b"xxx"),
        (endless.AFTER, "/stream/x", b"xxx"),
    ],
)
def test_bytes_without_end_are_sent(kind, path, repeated):
    async def ask():
        async with endpoint(endless=kind) as port:
            return await read_more_than(port, path, MANY_BYTES)

    data = asyncio.run(ask())
    assert data.startswith(b"HTTP/1.1 200")
    assert repeated * 3 in data[-MANY_BYTES // 2 :]
