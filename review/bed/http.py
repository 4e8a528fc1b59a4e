"""Small HTTP/1.1 server and client of the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
LAST_CHUNK = b"0\r\n\r\n"


@dataclass
class Request:
    """A request that was read; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass
class Answer:
    """A complete answer."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def json(cls, value: object, status: int = 200) -> Answer:
        """Return an answer with a JSON body."""
        fields = {"Content-Type": "application/json"}
        return cls(status, json.dumps(value).encode(), fields)

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        fields = {**self.headers, "Content-Length": str(len(self.body))}
        return head(f"HTTP/1.1 {self.status} -", fields) + self.body


def head(line: str, fields: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [line, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Return one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[list[str], dict[str, str]]:
    """Return the words of the first line, and the headers."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first.split(" ", 2), {a.lower(): b.strip() for a, _, b in pairs}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk, empty at the end of the body."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while data := await read_chunk(reader):
            body += data
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class HttpServer:
    """Serves one request after the other on each connection.

    Parameters
    ----------
    handle : callable
        Returns the answer, or None if it has written one itself; the connection is
        closed then.
    """

    def __init__(self, handle: Callable[[Request], Awaitable[Answer | None]]) -> None:
        self.handle = handle
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        """Stop to listen and reset all connections, as if the process had ended."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start(self, port: int = 0) -> int:
        """Start to listen; return the port."""
        self.server = await asyncio.start_server(self._serve, HOST, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lost = (asyncio.IncompleteReadError, asyncio.CancelledError, ValueError)
        self.writers.add(writer)
        try:
            while True:
                words, fields = await read_head(reader)
                body = await read_body(reader, fields)
                target = urlsplit(words[1])
                query = dict(parse_qsl(target.query))
                request = Request(
                    words[0], target.path, query, fields, body, reader, writer
                )
                answer = await self.handle(request)
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
        except (OSError, *lost):
            # Also at the end of the case, which cancels what still waits.
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


@dataclass
class Received:
    """What a client received: `complete` is false for an answer that ended early."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> Received:
    """Send the bytes of a request and return what was received."""
    received = Received()
    try:
        writer.write(data)
        words, received.headers = await read_head(reader)
        received.status = int(words[1])
        fields = received.headers
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while part := await read_chunk(reader):
                received.body += part
        else:
            received.body = await read_body(reader, fields)
        received.complete = True
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    return received


async def call(
    port: int,
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout: float = 20.0,
    chunked: bool = False,
) -> Received:
    """Send one request on a connection of its own; its body may be chunked."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return Received()
    try:
        framing = {"Content-Length": str(len(body))} if body else {}
        if chunked:
            framing = {"Transfer-Encoding": "chunked"}
            body = chunk(body) + LAST_CHUNK
        data = head(f"{method} {path} HTTP/1.1", {**fields, **framing}) + body
        async with asyncio.timeout(timeout):
            return await exchange(reader, writer, data)
    except TimeoutError:
        return Received()
    finally:
        writer.close()
