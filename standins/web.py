"""HTTP server of the stand-ins, built on asyncio streams and h11."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec

from standins.send_gate import SendGate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_SIZE = 65536


@dataclass(slots=True)
class WebRequest:
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class WebAnswer:
    """A complete answer of a stand-in."""

    status: int = 200
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)

    @classmethod
    def json(cls, value: object, status: int = 200) -> WebAnswer:
        """Return an answer with `value` encoded as JSON."""
        headers = [("Content-Type", "application/json")]
        return cls(status, msgspec.json.encode(value), headers)


class WebConnection:
    """A connection of a client.

    Attributes
    ----------
    closed : asyncio.Event
        Set once the connection is closed.
    unframed : bool
        Whether the current answer ends with its connection.
    gate : SendGate
        Through which all bytes of the server are sent.
    gated : bool
        Whether the gate may hold back what is sent on this connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: SendGate | None = None,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.gate = gate or SendGate()
        self.gated = True
        self.parser = h11.Connection(h11.SERVER)
        self.closed = asyncio.Event()
        self.unframed = False

    def begin(
        self, status: int, headers: list[tuple[str, str]], chunked: bool = True
    ) -> None:
        """Send the head of an answer that is chunked or ends with its connection.

        The latter is sent without the parser, which would add a framing.
        """
        self.unframed = not chunked
        if self.unframed:
            lines = [f"HTTP/1.1 {status} OK"]
            lines += [f"{name}: {value}" for name, value in headers]
            self.write("\r\n".join([*lines, "", ""]).encode())
            return
        fields = [*headers, ("Transfer-Encoding", "chunked")]
        self._send(h11.Response(status_code=status, headers=fields))

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.unframed:
            if not self.closed.is_set():
                self.write(data)
            return
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """Complete the current answer."""
        if self.unframed:
            # No further request is served on the connection.
            self.closed.set()
            return
        self._send(h11.EndOfMessage())

    def disconnect(self) -> None:
        """Close the connection in the middle of an answer.

        An answer that ends with its connection would look complete without a reset.
        """
        self.closed.set()
        if self.unframed:
            sock = self.writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    def answer(self, answer: WebAnswer) -> None:
        """Send a complete answer."""
        fields = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        self._send(h11.Response(status_code=answer.status, headers=fields))
        self._send(h11.Data(data=answer.body))
        self._send(h11.EndOfMessage())

    def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        if self.gated:
            self.gate.write(self.writer, data)
        else:
            self.writer.write(data)

    def close(self) -> None:
        """Close the connection after all that was sent on it."""
        self.closed.set()
        if self.gated:
            self.gate.close(self.writer)
        else:
            self.writer.close()

    def _send(self, event: object) -> None:
        if not self.closed.is_set():
            self.write(self.parser.send(event))

    async def read_request(self) -> WebRequest | None:
        """Return the next request, or None if there is none."""
        head = None
        body = b""
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self.reader.read(READ_SIZE))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return _build_request(head, body)
            else:
                return None

    async def watch(self) -> None:
        """Set `closed` once the client closes; data of a next request is kept."""
        data = b""
        with contextlib.suppress(ConnectionError):
            data = await self.reader.read(READ_SIZE)
        if data:
            self.parser.receive_data(data)
        else:
            self.closed.set()


def _build_request(head: h11.Request, body: bytes) -> WebRequest:
    target = urlsplit(head.target.decode())
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return WebRequest(
        head.method.decode(),
        target.path,
        dict(parse_qsl(target.query)),
        headers,
        bytes(body),
    )


class WebServer:
    """Serves a handler on 127.0.0.1.

    Parameters
    ----------
    handle : callable
        Called with a request and its connection; returns an answer, or None if it
        has answered on the connection.
    """

    def __init__(
        self,
        handle: Callable[[WebRequest, WebConnection], Awaitable[WebAnswer | None]],
    ) -> None:
        self.handle = handle
        self.gate = SendGate()
        self.port = 0

    async def start(self, port: int) -> None:
        """Listen on `port`; 0 lets the operating system assign one."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, backlog=1024
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = WebConnection(reader, writer, self.gate)
        try:
            while await self._serve_one(connection):
                connection.parser.start_next_cycle()
        except (ConnectionError, h11.ProtocolError):
            pass
        finally:
            connection.close()

    async def _serve_one(self, connection: WebConnection) -> bool:
        request = await connection.read_request()
        if request is None:
            return False
        watcher = asyncio.create_task(connection.watch())
        try:
            answer = await self.handle(request, connection)
        finally:
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher
        if answer is not None:
            connection.answer(answer)
        parser = connection.parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        return done and not connection.closed.is_set()
