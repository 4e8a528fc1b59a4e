"""Answers that have no end: bytes are sent until the connection is closed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins.web import WebConnection

#: Size of a portion of bytes.
PORTION_BYTES = 4096
#: Where bytes without end may be sent, by the values of `HostedFaults.endless`.
HEAD, BODY, EVENTS, AFTER = "head", "body", "events", "after"
#: Header line, text and comment of a stream that are repeated without end.
HEADER_LINE = b"X-More: " + b"x" * 100 + b"\r\n"
TEXT = b"x" * PORTION_BYTES
COMMENT = b": more\n"


async def send_endless_head(connection: WebConnection, interval: float) -> None:
    """Send a head that never ends."""
    connection.write(b"HTTP/1.1 200 OK\r\n")
    lines = HEADER_LINE * (PORTION_BYTES // len(HEADER_LINE))
    await _repeat(connection, lines, interval)


async def send_endless_body(
    connection: WebConnection, headers: list[tuple[str, str]], interval: float
) -> None:
    """Send a head and a chunked body that never ends."""
    connection.begin(200, headers)
    chunk = b"%x\r\n%b\r\n" % (PORTION_BYTES, TEXT)
    await _repeat(connection, chunk, interval)


async def send_endless_comments(connection: WebConnection, interval: float) -> None:
    """Send comments in a chunked stream that has begun, and never go on."""
    comments = COMMENT * (PORTION_BYTES // len(COMMENT))
    chunk = b"%x\r\n%b\r\n" % (len(comments), comments)
    await _repeat(connection, chunk, interval)


async def send_endless_rest(connection: WebConnection, interval: float) -> None:
    """Send bytes that belong to no answer."""
    await _repeat(connection, TEXT, interval)


async def _repeat(connection: WebConnection, data: bytes, interval: float) -> None:
    """Send data again and again until the connection is closed."""
    while not connection.closed.is_set():
        connection.write(data)
        await connection.writer.drain()
        await asyncio.sleep(interval)
    connection.disconnect()
