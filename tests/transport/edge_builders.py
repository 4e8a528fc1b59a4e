"""An edge that serves on a free port, with a connection of a caller."""

from __future__ import annotations

import asyncio
import contextlib
import select
from socket import MSG_PEEK
from typing import TYPE_CHECKING

from carawayfold.settings import Address
from carawayfold.transport.edge import Edge
from carawayfold.transport.loop import Root

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from socket import socket

    from carawayfold.transport.edge import CallerConnection, Incoming

#: Complete requests, one without a body and one with it.
GET = b"GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: r-1\r\n\r\n"
POST = (
    b"POST /a HTTP/1.1\r\nHost: x\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nbody"
)


@contextlib.asynccontextmanager
async def open_edge(serve: Callable[[Incoming], None]) -> AsyncIterator[Edge]:
    """Serve an edge in the running loop, and close it afterwards."""
    root = Root()
    edge = Edge(Address("127.0.0.1", 0), serve, id_header="request-id").register(root)
    root.attach()
    try:
        yield edge
    finally:
        edge.server.close()
        root.pump()
        root.detach()


async def connect(edge: Edge) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an edge."""
    return await asyncio.open_connection("127.0.0.1", edge.server.port)


async def accepted(edge: Edge) -> CallerConnection:
    """Return the oldest connection of an edge once there is one."""
    while not edge.connections:
        await asyncio.sleep(0)
    return next(iter(edge.connections.values()))


async def connect_unread(
    edge: Edge, data: bytes
) -> tuple[CallerConnection, asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection on which `data` has arrived that the edge has not read.

    The edge reads nothing of its own accord until its poller runs again.
    """
    reader, writer = await connect(edge)
    connection = await accepted(edge)
    edge.root.detach()
    writer.write(data)
    await writer.drain()
    arrived(connection.sock, len(data))
    return connection, reader, writer


def arrived(sock: socket, size: int) -> None:
    """Wait until `size` bytes have arrived at a socket."""
    while len(select_readable(sock, size)) < size:
        pass


def select_readable(sock: socket, size: int) -> bytes:
    """Return up to `size` bytes that have arrived, without reading them."""
    select.select([sock], [], [])
    return sock.recv(size, MSG_PEEK)


def run(scenario: Callable[[], object], timeout: float = 10.0) -> object:
    """Run a coroutine function in a new loop, for at most `timeout` seconds."""
    return asyncio.run(asyncio.wait_for(scenario(), timeout))
