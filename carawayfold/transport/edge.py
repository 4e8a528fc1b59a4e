"""Strict HTTP/1.1 server for callers, over circuits' sockets.

circuits.web accepts several forms that let one request hide inside another and
handles no pipelining, so the head of each request is cut out and checked here before
it is parsed, and bytes after a request wait until its answer has been sent.
"""

from __future__ import annotations

import asyncio
import re
from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING

import logbook
import msgspec
from circuits import BaseComponent

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.transport.messages import (
    BODYLESS,
    FORBIDDEN,
    HEAD_END,
    LAST_CHUNK,
    MessageError,
    answer_head,
    chunk,
    read_request_head,
)
from carawayfold.transport.sockets import CallbackServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from carawayfold.settings import Address
    from carawayfold.transport.messages import RequestHead

logger = logbook.Logger(__name__)

#: Seconds that a connection may stay without a request; above what callers use.
IDLE_TIMEOUT = 16.0
#: Seconds for the head of a request, from its first byte.
HEAD_TIMEOUT = 3.0
#: Seconds for the body of a request, from the end of its head.
BODY_TIMEOUT = 15.0
#: Most bytes of a request's head.
HEAD_LIMIT = 16384
#: Most bytes of a request's body.
BODY_LIMIT = 4 << 20
#: Most bytes of all bodies being received or forwarded, so that the smallest
#: instance (128 MB) keeps most of its memory for connections.
BODIES_LIMIT = 32 << 20
#: Most bytes that wait behind an unanswered request before its connection ends.
PIPELINE_LIMIT = 65536
#: A header that tells the length of the body.
FRAMING = re.compile(rb"\r\n(content-length|transfer-encoding)[ \t]*:", re.IGNORECASE)
#: The length of a body, where the head tells it plainly.
PLAIN_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.I)
#: What takes parsing: a folded line, an older version, a wish for an answer before
#: the body is sent.
INTRICATE = re.compile(rb"\r\n[ \t]|^[^\r]* HTTP/1\.0\r\n|\r\nexpect[ \t]*:", re.I)
#: A caller that wants the connection closed after the answer.
CLOSING = re.compile(rb"\r\nconnection[ \t]*:[^\r]*close", re.IGNORECASE)
#: Asks a caller that waits for it to send the body.
GO_ON = b"HTTP/1.1 100 \r\n\r\n"
#: Seconds until a caller comes back that was refused since this process is late; a
#: new connection goes to another instance, which has room now.
SHED_RETRY = b"0.02"
#: Part of the most connections above which answers ask callers to leave, so that
#: idle connections don't keep new callers out.
CROWDED_PART = 0.5
#: Part above which idle connections are closed for new ones, the oldest first.
FULL_PART = 0.9
#: Connections looked at for an idle one.
LOOKED_AT = 64


class Stage(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SKIPPING = "skipping"
    ANSWERING = "answering"
    CLOSED = "closed"


class EdgeLimits(msgspec.Struct, frozen=True):
    """What a caller may send and how long it may take.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Most bytes of a request's head and of its body.
    head_timeout : float
        Seconds for the head.
    idle_timeout : float
        Seconds between requests.
    """

    head_bytes: int = HEAD_LIMIT
    body_bytes: int = BODY_LIMIT
    head_timeout: float = HEAD_TIMEOUT
    idle_timeout: float = IDLE_TIMEOUT


class Incoming(msgspec.Struct, eq=False):
    """A whole request of a caller.

    Attributes
    ----------
    headers : list of tuple of bytes
        Names in lower case and values, in order.
    received : float
        Loop time at which its last byte was read.
    keep_alive : bool
        Whether its connection may be used again.
    newer : bool
        Whether its caller takes chunks.
    chunked : bool
        Whether its answer goes in chunks.
    left : int or None
        Bytes of the answer's body still to be sent; None where no length was told.
    """

    connection: CallerConnection
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool = True
    newer: bool = True
    received: float = 0.0
    body: bytes = b""
    answered: bool = False
    chunked: bool = False
    left: int | None = None
    on_gone: Callable[[], None] | None = None

    def answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        close: bool = False,
    ) -> None:
        """Send a whole answer."""
        if self.answered:
            return
        framed = [*headers, ("Content-Length", str(len(body)))]
        self.begin(status, framed, close)
        if body:
            self.send(body)
        self.end()

    def begin(
        self, status: int, headers: list[tuple[str, str]], close: bool = False
    ) -> None:
        """Send the head of an answer; without a length it goes in chunks."""
        connection = self.connection
        if connection.stage is Stage.CLOSED:
            return
        fields = list(headers)
        self._frame(status, fields)
        if close or not self.keep_alive or connection.edge.sheds():
            self.keep_alive = False
            fields.append(("Connection", "close"))
        connection.write(answer_head(status, fields))

    def _frame(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Choose how the caller sees where the body ends."""
        lengths = [value for name, value in fields if name.lower() == "content-length"]
        if self.method == b"HEAD" or status in BODYLESS:
            self.left = 0
        elif lengths:
            self.left = int(lengths[0])
        elif self.newer:
            self.chunked = True
            fields.append(("Transfer-Encoding", "chunked"))
        else:
            self.keep_alive = False

    def send(self, data: bytes) -> None:
        """Send a piece of the answer's body."""
        connection = self.connection
        if connection.stage is Stage.CLOSED:
            return
        if self.chunked:
            connection.write(chunk(data))
            return
        if self.left is not None:
            data = data[: self.left]
            self.left -= len(data)
        connection.write(data)

    def end(self) -> None:
        """Finish the answer; one that is shorter than was told is cut off instead."""
        self.answered = True
        connection = self.connection
        if connection.stage is Stage.CLOSED:
            return
        if self.left:
            connection.close()
            return
        if self.chunked:
            connection.write(LAST_CHUNK)
        connection.finished()

    def abort(self) -> None:
        """End the connection, so that a cut answer can't pass as whole."""
        self.answered = True
        self.connection.close()


class CallerConnection(msgspec.Struct, eq=False):
    """One connection of a caller.

    Attributes
    ----------
    pending : bytearray
        Bytes received and not yet parsed.
    head : RequestHead or None
        Of the request whose body is being read.
    """

    edge: Edge
    sock: socket
    stage: Stage = Stage.IDLE
    pending: bytearray = msgspec.field(default_factory=bytearray)
    head: RequestHead | None = None
    request: Incoming | None = None
    body: list[bytes] = msgspec.field(default_factory=list)
    body_size: int = 0
    timer: asyncio.TimerHandle | None = None
    skipped: int = 0
    refused_head: bytes = b""

    def write(self, data: bytes | None) -> None:
        """Send bytes to the caller."""
        if data:
            self.edge.server.write(self.sock, data)

    def wait(self, seconds: float, expire: Callable[[], None]) -> None:
        """Call `expire` unless the connection goes on within `seconds`."""
        self.stop_timer()
        self.timer = asyncio.get_running_loop().call_later(seconds, expire)

    def stop_timer(self) -> None:
        """Forget the time limit that is running."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def receive(self, data: bytes) -> None:
        """Take bytes from the socket."""
        if self.stage is Stage.CLOSED:
            return
        self.pending += data
        if self.stage is Stage.ANSWERING:
            if len(self.pending) > PIPELINE_LIMIT:
                self.close()
            return
        if self.stage is Stage.IDLE:
            self.stage = Stage.HEAD
            self.wait(self.edge.limits.head_timeout, self._head_late)
        self._advance()

    def _advance(self) -> None:
        try:
            if self.stage is Stage.HEAD:
                self._take_head()
            if self.stage is Stage.BODY:
                self._take_body()
            if self.stage is Stage.SKIPPING:
                self._skip_body()
        except Refusal as refusal:
            self.refuse(refusal)
        except MessageError as error:
            self.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(error)))

    def _take_head(self) -> None:
        while self.pending.startswith(b"\r\n"):
            del self.pending[:2]
        end = self.pending.find(HEAD_END)
        size = len(self.pending) if end < 0 else end
        if size > self.edge.limits.head_bytes:
            raise Refusal(ErrorKind.HEADERS_TOO_LARGE)
        # A lone CR at the end may still get its LF.
        seen = self.pending[:end] if end >= 0 else self.pending.removesuffix(b"\r")
        if FORBIDDEN.search(seen):
            detail = "a control character or a bare line end in the head"
            raise Refusal(ErrorKind.MALFORMED_REQUEST, detail)
        if end < 0:
            return
        head = bytes(self.pending[: end + len(HEAD_END)])
        del self.pending[: len(head)]
        length = _plain_length(head) if self.edge.refuses() else None
        if length is None or length > self.edge.limits.body_bytes:
            self._parse_head(head)
            return
        self.refused_head = head
        self.skipped = length
        self.stage = Stage.SKIPPING
        self.wait(BODY_TIMEOUT, self._body_late)

    def _skip_body(self) -> None:
        """Pass over the body of a refused request, then answer without parsing it.

        That spares a process that is late the parser, and a new connection for the
        caller's next request.
        """
        part = min(self.skipped, len(self.pending))
        del self.pending[:part]
        self.skipped -= part
        if self.skipped:
            return
        found = self.edge.id_pattern.search(self.refused_head)
        named = b"%b: %b\r\n" % found.groups() if found else b""
        closing = self.edge.sheds() or CLOSING.search(self.refused_head)
        close = b"Connection: close\r\n" if closing else b""
        self.write(
            b"HTTP/1.1 503 Service Unavailable\r\n%bRetry-After: %b\r\n%b"
            b"Content-Length: 0\r\n\r\n" % (named, SHED_RETRY, close)
        )
        self.refused_head = b""
        self.edge.on_shed(found.group(2).decode("ascii") if found else "")
        if closing:
            self.close()
        else:
            self._await_next()

    def _parse_head(self, head: bytes) -> None:
        self.head = read_request_head(head)
        self.request = Incoming(
            self,
            self.head.method,
            self.head.target,
            self.head.fields,
            self.head.keep_alive,
            self.head.newer,
        )
        self.body = []
        self.body_size = 0
        self.stage = Stage.BODY
        self.wait(BODY_TIMEOUT, self._body_late)
        self._check_length(self.head.fields)
        if self.head.awaits_continue and not self.pending:
            self.write(GO_ON)

    def _check_length(self, headers: list[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            if name == b"content-length" and int(value) > self.edge.limits.body_bytes:
                raise Refusal(ErrorKind.REQUEST_TOO_LARGE)

    def _take_body(self) -> None:
        data = bytes(self.pending)
        self.pending.clear()
        pieces, rest, complete = self.head.body.feed(data)
        self.pending += rest
        for piece in pieces:
            self._keep(piece)
        if complete:
            self._complete()

    def _keep(self, data: bytes) -> None:
        self.body.append(data)
        self.body_size += len(data)
        self.edge.bodies += len(data)
        if self.body_size > self.edge.limits.body_bytes:
            raise Refusal(ErrorKind.REQUEST_TOO_LARGE)
        if self.edge.bodies > BODIES_LIMIT:
            raise Refusal(ErrorKind.QUEUE_FULL, "no room for the request's body")

    def _complete(self) -> None:
        self.stop_timer()
        self.head = None
        self.stage = Stage.ANSWERING
        request = self.request
        request.body = b"".join(self.body)
        request.received = asyncio.get_running_loop().time()
        self.body = []
        self.edge.serve(request)

    def finished(self) -> None:
        """Go on after an answer, with what the caller has sent meanwhile."""
        self._forget_body()
        keep_alive = self.request.keep_alive
        self.request = None
        if not keep_alive or self.edge.stopping:
            self.close()
            return
        self._await_next()

    def _await_next(self) -> None:
        """Wait for the next request, a part of which may have come already."""
        self.stage = Stage.IDLE
        self.wait(self.edge.limits.idle_timeout, self.close)
        if self.pending:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._resume)

    def _resume(self) -> None:
        if self.stage is Stage.IDLE:
            self.receive(b"")

    def _forget_body(self) -> None:
        self.edge.bodies -= self.body_size
        self.body_size = 0

    def refuse(self, refusal: Refusal) -> None:
        """Answer what can't be taken as a request, and close."""
        self.stop_timer()
        self.stage = Stage.ANSWERING
        status = refusal.answer.status
        logger.info(
            "request not accepted", extra={"status": status, "reason": refusal.detail}
        )
        phrase = b"HTTP/1.1 %d %b\r\n" % (status, refusal.kind.value.encode())
        self.write(phrase + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        self.close()

    def _head_late(self) -> None:
        self.refuse(Refusal(ErrorKind.REQUEST_TIMEOUT, "the head came too slowly"))

    def _body_late(self) -> None:
        self.refuse(Refusal(ErrorKind.REQUEST_TIMEOUT, "the body came too slowly"))

    def close(self) -> None:
        """Close once everything written has been sent."""
        if self.stage is Stage.CLOSED:
            return
        self.lost()
        self.edge.server.close(self.sock)
        self.edge.root.wake()

    def lost(self) -> None:
        """Let go of everything after the socket is of no more use."""
        if self.stage is Stage.CLOSED:
            return
        self.stage = Stage.CLOSED
        self.stop_timer()
        self._forget_body()
        self.edge.connections.pop(self.sock, None)
        request = self.request
        self.request = None
        if request is not None and not request.answered and request.on_gone:
            request.on_gone()


class Edge(BaseComponent):
    """Listens for callers and hands their requests on.

    Parameters
    ----------
    address : Address
        Where to listen.
    serve : callable
        Takes each whole request and answers it in time.
    channel : str
        Channel of the circuits tree for this server.
    id_header : str
        Name of the header by which a caller knows its request.
    """

    def __init__(
        self,
        address: Address,
        serve: Callable[[Incoming], None],
        channel: str = "edge",
        id_header: str = "x-request-id",
    ) -> None:
        super().__init__(channel=channel)
        self.serve = serve
        self.limits = EdgeLimits()
        #: Whether no new work is taken.
        self.stopping = False
        #: The header by which a caller knows its request, and its value.
        self.id_pattern = header_pattern(id_header)
        #: Whether to refuse the next request since this process is late, and who is
        #: told of each one refused by its id.
        self.refuses: Callable[[], bool] = lambda: False
        self.on_shed: Callable[[str], None] = lambda request: None
        self.connections: dict[socket, CallerConnection] = {}
        #: Bytes of all bodies held.
        self.bodies = 0
        bind = (address.host, address.port)
        self.server = CallbackServer(bind, channel, self).register(self)

    @property
    def limit(self) -> int:
        """Return the most connections."""
        return self.server.limit

    @limit.setter
    def limit(self, connections: int) -> None:
        self.server.limit = connections

    def sheds(self) -> bool:
        """Return whether answers ask callers to leave."""
        crowded = len(self.connections) > CROWDED_PART * self.limit
        return self.stopping or crowded

    def opened(self, sock: socket) -> None:
        """Take a new connection."""
        connection = CallerConnection(self, sock)
        self.connections[sock] = connection
        connection.wait(self.limits.idle_timeout, connection.close)
        if len(self.connections) > FULL_PART * self.limit:
            self._close_oldest()

    def _close_oldest(self) -> None:
        """Close the oldest idle connection among the oldest ones."""
        for connection in islice(self.connections.values(), LOOKED_AT):
            if connection.stage is Stage.IDLE:
                connection.close()
                return

    def received(self, sock: socket, data: bytes) -> None:
        """Take bytes of a connection."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.receive(data)

    def lost(self, sock: socket) -> None:
        """Let go of a connection."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.lost()

    def close_idle(self) -> None:
        """Close connections on which no request is under way."""
        for connection in list(self.connections.values()):
            if connection.stage is Stage.IDLE:
                connection.close()
        self.root.wake()

    def shut(self) -> None:
        """Take no new connection and no new request; what runs goes on.

        A request that is not read yet may be sent elsewhere by its caller.
        """
        self.stopping = True
        self.server.stop_listening()
        for connection in list(self.connections.values()):
            if connection.stage is not Stage.ANSWERING:
                connection.close()
        self.root.wake()


def header_pattern(name: str) -> re.Pattern[bytes]:
    """Return what finds a header's name and a value of visible characters."""
    text = rb"\r\n(%b):[ \t]*([!-~]{1,128})[ \t]*\r\n" % re.escape(name.encode())
    return re.compile(text, re.IGNORECASE)


def _plain_length(head: bytes) -> int | None:
    """Return the length of a body that can be passed over, None if it takes parsing."""
    if INTRICATE.search(head):
        return None
    names = FRAMING.findall(head)
    if not names:
        return 0
    found = PLAIN_LENGTH.findall(head)
    if len(names) > 1 or len(found) != 1:
        return None
    return int(found[0])
