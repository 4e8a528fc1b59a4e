"""Servers that answer with a beginning and then send the same bytes until closed."""

from __future__ import annotations

import asyncio
import contextlib
import time
import tracemalloc
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from carawayfold.settings import Address
from carawayfold.transport.client import ExchangeError, HttpClient
from carawayfold.transport.loop import Root

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable

#: Bytes that are sent at once.
BURST = 65536
HOST = "127.0.0.1"


class EndlessServer:
    """Answers each request with `beginning`, then sends `repeated` without end.

    Attributes
    ----------
    closed : asyncio.Event
        Set when the remote side has closed a connection while bytes were sent.
    sent : int
        Bytes sent on all connections.
    """

    def __init__(self, beginning: bytes, repeated: bytes) -> None:
        self.beginning = beginning
        self.burst = repeated * max(1, BURST // len(repeated))
        self.closed = asyncio.Event()
        self.sent = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until the remote side closes it."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.beginning)
            while True:
                writer.write(self.burst)
                self.sent += len(self.burst)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


@asynccontextmanager
async def endless_server(
    beginning: bytes, repeated: bytes
) -> AsyncIterator[tuple[EndlessServer, Address]]:
    """Run an `EndlessServer` during the block; yield it with its address."""
    endless = EndlessServer(beginning, repeated)
    server = await asyncio.start_server(endless.serve, HOST, 0)
    try:
        yield endless, Address(HOST, server.sockets[0].getsockname()[1])
    finally:
        server.close()


@contextlib.contextmanager
def http_client():
    """Provide a client that is attached to the running loop."""
    root = Root()
    client = HttpClient(root).register(root)
    root.attach()
    try:
        yield client
    finally:
        client.close_all()
        root.detach()


class Peak:
    """Largest number of bytes allocated during a block, and the time it took."""

    def __enter__(self) -> Peak:
        """Begin to trace allocations."""
        tracemalloc.start()
        self.bytes = 0
        self.began = time.perf_counter()
        return self

    def __exit__(self, *error: object) -> None:
        """Read the peak and end tracing."""
        self.seconds = time.perf_counter() - self.began
        self.bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


def exchange_with(client: HttpClient, address: Address) -> asyncio.Future[None]:
    """Start an exchange whose own answer has no header ``Other``."""
    connection = client.start(
        address,
        "GET",
        "/",
        [],
        b"",
        lambda head: None,
        lambda data: None,
        is_own_response=lambda head: "other" not in head.headers,
    )
    return connection.exchange.done


async def fetch_ends(fetch: Awaitable[object]) -> bool:
    """Return whether a fetch fails."""
    try:
        await fetch
    except ExchangeError:
        return True
    return False
