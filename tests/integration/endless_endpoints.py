"""Endpoints in the test's own process that send without end."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OK = b"HTTP/1.1 200 \r\n"
SIGNED = OK + b"Server-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
#: Bytes that are sent at once by an endpoint without pauses.
BURST = 65536


class EndlessEndpoint:
    """Answers with `beginning`, then sends `repeated` until the router closes.

    Attributes
    ----------
    requests : int
        Requests received.
    closed : asyncio.Event
        Set when the router has closed a connection with a request.
    port : int
        Its port.
    """

    def __init__(self, beginning: bytes, repeated: bytes, pause: float) -> None:
        self.beginning = beginning
        self.repeated = repeated
        if not pause:
            self.repeated *= max(1, BURST // len(repeated))
        self.pause = pause
        self.requests = 0
        self.closed = asyncio.Event()
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.beginning)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause)
        except asyncio.IncompleteReadError:
            # A probe, or a connection that was closed unused.
            pass
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


@asynccontextmanager
async def endless_endpoint(
    beginning: bytes, repeated: bytes, pause: float = 0.0
) -> AsyncIterator[EndlessEndpoint]:
    """Run an endpoint during the block, with `pause` seconds between what it sends."""
    endpoint = EndlessEndpoint(beginning, repeated, pause)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint
    finally:
        server.close()
