"""Answers that are on their way when a connection is closed."""

from __future__ import annotations

import asyncio
import socket

import pytest

from carawayfold.transport import sockets
from carawayfold.transport.edge import CloseReason, EdgeLimits
from tests.transport.edge_builders import GET, POST, accepted, connect, open_edge, run

#: Size of a body that the buffers of both sockets don't hold, in bytes.
LARGE = 900_000
#: Size of a body that a small receive buffer doesn't hold, but a send buffer does.
SMALL = 12_000
#: Size of what a caller sends before it reads, in bytes.
SENT = 3_000_000
CLOSING = POST.replace(b"Host: x", b"Host: x\r\nConnection: close")
#: Requests that are refused before they have been read, and the status of each.
REFUSED = [
    (b"GET /a HTTP/1.1\r\nHost: x\r\nX: " + b"x" * SENT, b"431"),
    (b"GET / HTTP/3\r\n\r\n" + b"x" * SENT, b"400"),
    (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n" + b"x" * SENT,
        b"413",
    ),
]


def served(incoming):
    incoming.answer(200, [], b"whole")


async def open_socket(edge):
    """Return a blocking socket connected to an edge, with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    address = ("127.0.0.1", edge.server.port)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def read_all(sock):
    """Return what arrives at a socket up to its end."""
    loop = asyncio.get_running_loop()
    parts = []
    while part := await loop.sock_recv(sock, 65536):
        parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize(("data", "status"), REFUSED)
def test_a_refusal_reaches_a_caller_that_is_still_sending(data, status):
    async def scenario():
        async with open_edge(served) as edge:
            edge.limits = EdgeLimits(body_bytes=100_000)
            sock = await open_socket(edge)
            await asyncio.get_running_loop().sock_sendall(sock, data)
            got = await read_all(sock)
            sock.close()
            return got

    assert run(scenario).startswith(b"HTTP/1.1 " + status)


def test_an_answer_was_destroyed_by_bytes_that_crossed_its_end():
    async def scenario():
        async with open_edge(
            lambda incoming: incoming.answer(200, [], b"x" * SMALL)
        ) as edge:
            sock = await open_socket(edge)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, CLOSING)
            while not edge.closed:
                await asyncio.sleep(0)
            await loop.sock_sendall(sock, GET)
            got = await read_all(sock)
            sock.close()
            return got

    got = run(scenario)
    assert got.count(b"HTTP/1.1 ") == 1
    assert got.endswith(b"\r\n\r\n" + b"x" * SMALL)


def test_the_unsent_end_of_an_answer_was_lost_as_its_caller_ended_its_input():
    async def scenario():
        async with open_edge(
            lambda incoming: incoming.answer(200, [], b"x" * LARGE)
        ) as edge:
            sock = await open_socket(edge)
            connection = await accepted(edge)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await asyncio.get_running_loop().sock_sendall(sock, CLOSING)
            while not edge.closed:
                await asyncio.sleep(0)
            sock.shutdown(socket.SHUT_WR)
            got = await read_all(sock)
            sock.close()
            return len(got), edge.closed

    size, closed = run(scenario)
    assert size > LARGE
    assert closed == {CloseReason.ANSWERED: 1}


def test_a_closed_connection_counts_until_its_caller_has_closed_it():
    async def scenario():
        async with open_edge(served) as edge:
            reader, writer = await connect(edge)
            writer.write(CLOSING)
            await reader.read()
            assert not edge.connections
            assert edge.server.open_connections == 1
            writer.close()
            while edge.server.open_connections:
                await asyncio.sleep(0)

    run(scenario)


def test_a_caller_that_never_closes_is_left_after_a_while(monkeypatch):
    monkeypatch.setattr(sockets, "LINGER_TIMEOUT", 0.01)

    async def scenario():
        async with open_edge(served) as edge:
            reader, writer = await connect(edge)
            writer.write(CLOSING)
            await reader.read()
            while edge.server.open_connections:
                await asyncio.sleep(0)
            writer.close()

    run(scenario)


def test_a_caller_that_sends_on_for_ever_is_left(monkeypatch):
    monkeypatch.setattr(sockets, "LINGER_TIMEOUT", 1000.0)

    async def scenario():
        async with open_edge(served) as edge:
            reader, writer = await connect(edge)
            writer.write(CLOSING)
            await reader.read()
            with pytest.raises(ConnectionError):
                while True:
                    writer.write(b"x" * 65536)
                    await writer.drain()
            assert not edge.server.open_connections

    run(scenario)


def test_a_new_caller_takes_the_place_of_a_closed_connection():
    async def scenario():
        async with open_edge(served) as edge:
            edge.limit = 2
            writers = []
            for _ in range(edge.limit + 1):
                reader, writer = await connect(edge)
                writers.append(writer)
                writer.write(CLOSING)
                assert (await reader.read()).endswith(b"whole")
                assert edge.server.open_connections == min(len(writers), edge.limit)
            for writer in writers:
                writer.close()

    run(scenario)


def test_a_cut_answer_without_a_length_looked_complete():
    async def scenario():
        def cut(incoming):
            incoming.begin(200, [])
            incoming.send(b"a part")
            incoming.abort()

        async with open_edge(cut) as edge:
            sock = await open_socket(edge)
            request = b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(sock, request)
            try:
                await read_all(sock)
            except ConnectionResetError:
                return edge.closed, edge.server.open_connections
            finally:
                sock.close()

    assert run(scenario) == ({CloseReason.CUT: 1}, 0)


def test_the_unsent_end_of_an_answer_is_sent_after_a_close_as_idle():
    async def scenario():
        async with open_edge(
            lambda incoming: incoming.answer(200, [], b"x" * LARGE)
        ) as edge:
            sock = await open_socket(edge)
            connection = await accepted(edge)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await asyncio.get_running_loop().sock_sendall(sock, POST)
            while not connection.edge.server.is_sending(connection.sock):
                await asyncio.sleep(0)
            edge.close_idle()
            sock.shutdown(socket.SHUT_WR)
            got = await read_all(sock)
            sock.close()
            return len(got), edge.closed

    size, closed = run(scenario)
    assert size > LARGE
    assert closed == {CloseReason.STOPPING: 1}


def test_a_new_caller_does_not_take_the_place_of_an_answer_that_is_being_sent():
    async def scenario():
        async with open_edge(
            lambda incoming: incoming.answer(200, [], b"x" * LARGE)
        ) as edge:
            edge.limit = 2
            sock = await open_socket(edge)
            connection = await accepted(edge)
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await asyncio.get_running_loop().sock_sendall(sock, CLOSING)
            while not edge.closed:
                await asyncio.sleep(0)
            others = []
            for _ in range(edge.limit):
                reader, writer = await connect(edge)
                writer.write(CLOSING)
                others.append(writer)
                await reader.read()
            got = await read_all(sock)
            for writer in others:
                writer.close()
            sock.close()
            return len(got)

    assert run(scenario) > LARGE
