"""Rejection without parsing while the process is overloaded."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.settings import Address
from carawayfold.transport.edge import Edge
from carawayfold.transport.loop import Root

PLAIN = (
    b"POST /a HTTP/1.1\r\nHost: x\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nbody"
)


def exchange(data, should_reject=True, answers=1):
    """Send bytes to an edge; return the output, served requests and rejected ids."""

    async def run():
        served, shed = [], []

        def serve(incoming):
            served.append((incoming.target, incoming.body))
            incoming.answer(200, [])

        root = Root()
        address = Address("127.0.0.1", 0)
        edge = Edge(address, serve, id_header="request-id").register(root)
        edge.should_reject = lambda: should_reject
        edge.on_rejected = shed.append
        root.attach()
        port = edge.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for piece in data:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        got = b""
        while got.count(b"HTTP/1.1 ") < answers:
            part = await reader.read(4096)
            got += part
            if not part:
                break
        writer.close()
        root.detach()
        return got, served, shed

    return asyncio.run(asyncio.wait_for(run(), 10))


def test_rejected_request_gets_a_response_and_keeps_its_connection():
    got, served, shed = exchange([PLAIN + PLAIN], answers=2)
    assert served == []
    assert shed == ["r-1", "r-1"]
    assert got.count(b"HTTP/1.1 503 ") == 2
    assert got.count(b"Request-Id: r-1\r\n") == 2
    assert b"Retry-After: " in got
    assert b"Connection: close" not in got


def test_body_received_in_parts_is_skipped():
    pieces = [PLAIN[:-4], b"bo", b"dy" + PLAIN]
    got, served, shed = exchange(pieces, answers=2)
    assert (served, len(shed)) == ([], 2)
    assert got.count(b"HTTP/1.1 503 ") == 2


def test_connection_close_header_closes_the_connection():
    data = PLAIN.replace(b"Host: x", b"Host: x\r\nConnection: close")
    got, _, shed = exchange([data], answers=2)
    assert got.count(b"HTTP/1.1 503 ") == 1
    assert b"Connection: close" in got
    assert shed == ["r-1"]


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 4\r\n ,5",
        b"Content-Length: 4\r\nContent-Length: 4",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked",
        b"Content-Length: 4\r\nExpect: 100-continue",
        b"Content-Length: +4",
    ],
)
def test_requests_without_plain_framing_are_parsed(head):
    data = b"POST /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n\r\n"
    data += b"4\r\nbody\r\n0\r\n\r\n" if b"chunked" in head else b"body"
    _, _, shed = exchange([data])
    assert shed == []


def test_no_request_is_rejected_without_overload():
    got, served, shed = exchange([PLAIN], should_reject=False)
    assert served == [(b"/a", b"body")]
    assert shed == []
    assert b"HTTP/1.1 200 " in got
