"""Answers that callers do not read, beside those of others."""

from __future__ import annotations

import asyncio
from collections import deque
from socket import SO_SNDBUF, SOL_SOCKET
from types import SimpleNamespace

from carawayfold.transport.sockets import DirectServer
from tests.transport.edge_builders import GET, open_edge, run

#: Bytes of an answer; some of them wait in the buffers of the sockets.
SIZE = 900_000
UNSENT_LIMIT = 1_000_000
READERS = 6


async def connect_slow(edge):
    """Open a connection whose caller does not read."""
    known = set(edge.connections)
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", edge.server.port, limit=1024
    )
    while not (new := set(edge.connections) - known):
        await asyncio.sleep(0)
    new.pop().setsockopt(SOL_SOCKET, SO_SNDBUF, 4096)
    writer.write(GET)
    return reader, writer


# Guards against a crowd that reads nothing and fills the memory with answers.
def test_unread_answers_of_all_callers_are_limited():
    most = []

    def serve(incoming):
        incoming.begin(200, [("Content-Length", str(SIZE))])
        incoming.send(b"x" * SIZE)
        incoming.end()
        most.append(edge.server.unsent_total)

    async def scenario():
        nonlocal edge
        async with open_edge(serve) as edge:
            edge.server.unsent_limit = UNSENT_LIMIT
            crowd = [await connect_slow(edge) for _ in range(READERS)]
            while len(most) < READERS:
                await asyncio.sleep(0)
            assert sum(edge.server.unsent.values()) == edge.server.unsent_total
            for _, writer in crowd:
                writer.close()
            while edge.server.open_connections:
                await asyncio.sleep(0)
            return edge.server.unsent_total, edge.server.unsent

    edge = None
    assert run(scenario) == (0, {})
    assert 0 < max(most) <= UNSENT_LIMIT


def test_an_answer_that_is_read_late_is_whole():
    def serve(incoming):
        incoming.answer(200, [], b"x" * SIZE)

    async def scenario():
        async with open_edge(serve) as edge:
            reader, writer = await connect_slow(edge)
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(SIZE)
            writer.close()
            return head, body, edge.server.unsent_total

    head, body, unsent = run(scenario)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert (body, unsent) == (b"x" * SIZE, 0)


# Guards against bytes of the product's own interface that count for ever once read.
def test_answers_that_were_read_since_do_not_count(monkeypatch):
    server = DirectServer(("127.0.0.1", 0), "unread")
    monkeypatch.setattr(server, "_poller", SimpleNamespace(isWriting=lambda sock: True))
    closed = []
    monkeypatch.setattr(server, "_close", closed.append)
    server.unsent_limit = UNSENT_LIMIT
    for number in range(2 * READERS):
        server._buffers[number] = deque([b"x" * (UNSENT_LIMIT // 2)])
        server._wait_writable(number)
        server._buffers[number].clear()
    assert closed == []
