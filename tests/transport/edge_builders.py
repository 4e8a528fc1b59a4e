"""An edge that serves on a free port, with a connection of a caller."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from carawayfold.settings import Address
from carawayfold.transport.edge import Edge
from carawayfold.transport.loop import Root

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

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


def run(scenario: Callable[[], object], timeout: float = 10.0) -> object:
    """Run a coroutine function in a new loop, for at most `timeout` seconds."""
    return asyncio.run(asyncio.wait_for(scenario(), timeout))
