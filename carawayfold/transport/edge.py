"""Strict HTTP/1.1 server for callers, built on circuits sockets.

circuits.web accepts several forms that allow request smuggling and does not support
pipelining. Here, the head of each request is extracted and checked before it is
parsed, and bytes after a request are buffered until its response has been sent.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING

import logbook
import msgspec
from circuits import BaseComponent

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.transport.held_memory import FIELD_SIZE, HeldMemory
from carawayfold.transport.messages import (
    BODYLESS_STATUSES,
    FORBIDDEN_BYTES,
    HEAD_END,
    LAST_CHUNK,
    MessageError,
    chunk,
    read_request_head,
    response_head,
)
from carawayfold.transport.sockets import CallbackServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from carawayfold.settings import Address
    from carawayfold.transport.messages import RequestHead

logger = logbook.Logger(__name__)

#: Seconds that a connection may stay idle; longer than the idle timeout of callers.
IDLE_TIMEOUT = 16.0
#: Seconds to receive the head of a request, from its first byte.
HEAD_TIMEOUT = 3.0
#: Seconds to receive the body of a request, from the end of its head.
BODY_TIMEOUT = 15.0
#: Maximum size of a request head, in bytes.
HEAD_LIMIT = 16384
#: Maximum size of a request body, in bytes.
BODY_LIMIT = 4 << 20
#: Number of bytes buffered after a request in progress above which the connection is
#: not read until that request has been answered.
PIPELINE_LIMIT = 16384
#: Header that determines the length of the body.
FRAMING_HEADER = re.compile(
    rb"\r\n(content-length|transfer-encoding)[ \t]*:", re.IGNORECASE
)
#: ``Content-Length`` header with a plain decimal value.
PLAIN_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.I)
#: Heads that need the full parser: a folded line, HTTP/1.0, or an ``Expect`` header.
NEEDS_PARSER = re.compile(rb"\r\n[ \t]|^[^\r]* HTTP/1\.0\r\n|\r\nexpect[ \t]*:", re.I)
#: ``Connection`` header that asks to close the connection after the response.
CONNECTION_CLOSE = re.compile(rb"\r\nconnection[ \t]*:[^\r]*close", re.IGNORECASE)
#: Interim response to a caller that waits for it before it sends the body.
CONTINUE_RESPONSE = b"HTTP/1.1 100 \r\n\r\n"
#: ``Retry-After`` value, in seconds, of requests rejected because this process is
#: overloaded. It is short because a new connection goes to another instance, which
#: has capacity.
SHED_RETRY_AFTER = b"0.02"
#: Fraction of the connection limit above which responses close their connection, so
#: that idle connections do not exclude new callers.
CROWDED_FRACTION = 0.5
#: Fraction of the connection limit above which each new connection closes the oldest
#: idle one.
FULL_FRACTION = 0.9
#: Maximum number of reads from a connection before it is closed by a timer or a stop.
MAX_LAST_READS = 512
#: Maximum number of connections searched for an idle one.
MAX_IDLE_SEARCH = 64


class Stage(Enum):
    """State of a connection."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SKIPPING = "skipping"
    ANSWERING = "answering"
    CLOSED = "closed"


#: Stages in which a request is being received.
RECEIVING = frozenset({Stage.HEAD, Stage.BODY, Stage.SKIPPING})


class CloseReason(Enum):
    """Why a caller's connection was closed; the values appear in logs and metrics."""

    #: The response stated that it closes the connection.
    ANSWERED = "answered"
    #: The request was refused before it was complete.
    REFUSED = "refused"
    #: The response ended before its declared length.
    INCOMPLETE = "incomplete-answer"
    #: The answer was cut, so that the caller does not take it as complete.
    CUT = "answer-cut"
    #: No request came within the idle timeout.
    IDLE = "idle"
    #: There were too many connections, and this one was idle.
    CONNECTION_LIMIT = "connection-limit"
    #: The router is stopping.
    STOPPING = "stopping"
    #: The caller closed it, or the socket failed.
    LOST = "lost"


#: Reasons for which no request is left without an answer by this router.
EXPECTED_REASONS = frozenset(
    {CloseReason.ANSWERED, CloseReason.REFUSED, CloseReason.LOST}
)
#: Reasons for which only idle connections are closed. Bytes that cross such a close are
#: not read, so that the caller knows that they were not processed.
IDLE_REASONS = frozenset(
    {CloseReason.IDLE, CloseReason.CONNECTION_LIMIT, CloseReason.STOPPING}
)


class EdgeLimits(msgspec.Struct, frozen=True):
    """Limits for the size and duration of requests.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Maximum size of a request head and of a request body, in bytes.
    head_timeout : float
        Seconds to receive a head, from its first byte.
    idle_timeout : float
        Seconds that a connection may stay idle between requests.
    """

    head_bytes: int = HEAD_LIMIT
    body_bytes: int = BODY_LIMIT
    head_timeout: float = HEAD_TIMEOUT
    idle_timeout: float = IDLE_TIMEOUT


class Incoming(msgspec.Struct, eq=False):
    """A complete request of a caller.

    Attributes
    ----------
    headers : list of tuple of bytes
        Names in lower case and values, in the order received.
    received : float
        Loop time at which its last byte was read, in seconds.
    keep_alive : bool
        Whether its connection may be reused.
    is_http_1_1 : bool
        Whether the caller uses HTTP/1.1 and so accepts chunked responses.
    chunked : bool
        Whether the response uses chunked encoding.
    left : int or None
        Remaining bytes of the response body; None if its length was not declared.
    begun : bool
        Whether the head of the response has been sent.
    answered : bool
        Whether the response has ended.
    """

    connection: CallerConnection
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool = True
    is_http_1_1: bool = True
    received: float = 0.0
    body: bytes = b""
    begun: bool = False
    answered: bool = False
    chunked: bool = False
    left: int | None = None
    on_disconnect: Callable[[], None] | None = None

    def answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        close: bool = False,
    ) -> None:
        """Send a complete response."""
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
        """Send the head of a response, chunked if it declares no length."""
        connection = self.connection
        if connection.stage is Stage.CLOSED:
            return
        fields = list(headers)
        self._frame(status, fields)
        # What has arrived behind the request is answered too.
        closing = connection.edge.closes_connections() and not connection.pending
        if close or closing or not self.keep_alive:
            self.keep_alive = False
            fields.append(("Connection", "close"))
        head = response_head(status, fields)
        self.begun = True
        connection.write(head)

    def _frame(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Select the framing of the response body."""
        lengths = [value for name, value in fields if name.lower() == "content-length"]
        if self.method == b"HEAD" or status in BODYLESS_STATUSES:
            self.left = 0
        elif lengths:
            self.left = int(lengths[0])
        elif self.is_http_1_1:
            self.chunked = True
            fields.append(("Transfer-Encoding", "chunked"))
        else:
            self.keep_alive = False

    def send(self, data: bytes) -> None:
        """Send a part of the response body."""
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

    def call_when_drained(self, resume: Callable[[], None]) -> bool:
        """Return whether the caller reads too slowly; `resume` is called once not."""
        connection = self.connection
        if connection.stage is Stage.CLOSED:
            return False
        return connection.edge.server.call_when_drained(connection.sock, resume)

    def end(self) -> None:
        """Finish the response; close the connection if the body is incomplete."""
        self.answered = True
        connection = self.connection
        if connection.stage is Stage.CLOSED:
            return
        if self.left:
            connection.close(CloseReason.INCOMPLETE)
            return
        if self.chunked:
            connection.write(LAST_CHUNK)
        connection.finished()

    def abort(self) -> None:
        """Close the connection, so that the caller detects a truncated response.

        The end of the connection would complete a response without a length.
        """
        self.answered = True
        ends_at_close = self.begun and self.left is None and not self.chunked
        self.connection.close(CloseReason.CUT, reset=ends_at_close)

    def fail(self, status: int) -> None:
        """Answer after an error with `status` only; cut an answer that has begun."""
        if self.begun and not self.answered:
            self.abort()
        else:
            self.answer(status, [])


class CallerConnection(msgspec.Struct, eq=False):
    """One connection of a caller.

    Attributes
    ----------
    pending : bytearray
        Bytes received but not yet parsed.
    head : RequestHead or None
        Head of the request whose body is being read.
    body : bytearray
        Content of the request that is being read.
    held : int
        Bytes that the requests on the connection hold.
    since : float
        Loop time at which the request being read or answered began, in seconds.
    idle_since : float
        Loop time at which the connection last became idle, in seconds.
    paused : bool
        Whether it is not read, since too much is buffered.
    """

    edge: Edge
    sock: socket
    stage: Stage = Stage.IDLE
    pending: bytearray = msgspec.field(default_factory=bytearray)
    head: RequestHead | None = None
    request: Incoming | None = None
    body: bytearray = msgspec.field(default_factory=bytearray)
    held: int = 0
    since: float = 0.0
    timer: asyncio.TimerHandle | None = None
    bytes_to_skip: int = 0
    rejected_head: bytes = b""
    idle_since: float = 0.0
    paused: bool = False

    def write(self, data: bytes | None) -> None:
        """Send bytes to the caller."""
        if data:
            self.edge.server.write(self.sock, data)

    def wait(self, seconds: float, expire: Callable[[], None]) -> None:
        """Start a timer that calls `expire` after `seconds`, replacing any other."""
        self.stop_timer()
        self.timer = asyncio.get_running_loop().call_later(seconds, expire)

    def stop_timer(self) -> None:
        """Cancel the running timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def receive(self, data: bytes) -> None:
        """Process bytes received from the socket."""
        if self.stage is Stage.CLOSED:
            return
        self.pending += data
        if self.stage is Stage.ANSWERING:
            if len(self.pending) > PIPELINE_LIMIT:
                self._pause()
            self._update_held()
            return
        if self.stage is Stage.IDLE:
            self.stage = Stage.HEAD
            self.since = asyncio.get_running_loop().time()
            self.wait(self.edge.limits.head_timeout, self._head_timed_out)
        self._advance()
        self._update_held()

    def _update_held(self) -> None:
        """Count what the connection holds, and make room if all hold too much."""
        if self.stage is Stage.CLOSED:
            return
        memory = self.edge.memory
        memory.update(self, self._count_held())
        if memory.is_exceeded:
            now = asyncio.get_running_loop().time()
            memory.make_room(list(self.edge.connections.values()), now)

    def _count_held(self) -> int:
        held = len(self.pending) + len(self.body)
        if self.request is not None:
            held += len(self.request.body) + FIELD_SIZE * len(self.request.headers)
        return held

    @property
    def can_yield(self) -> bool:
        """Return whether it holds bytes of a request that was not passed on."""
        return self.stage in RECEIVING or bool(self.pending)

    def give_up(self) -> None:
        """Refuse the request being read, or drop what follows one in progress."""
        if self.stage in RECEIVING:
            self.refuse(Refusal(ErrorKind.QUEUE_FULL, "no memory for the request"))
            return
        self.pending.clear()
        # What arrives from now on belongs to the dropped bytes.
        self._pause()
        if self.request is not None:
            self.request.keep_alive = False
        self.edge.memory.update(self, self._count_held())

    def _pause(self) -> None:
        """Stop reading until the request in progress has been answered.

        That its caller leaves is not seen meanwhile; the request ends at its deadline
        at the latest.
        """
        if not self.paused:
            self.paused = True
            self.edge.server.pause(self.sock)

    def _unpause(self) -> None:
        if self.paused:
            self.paused = False
            self.edge.server.resume(self.sock)

    def _advance(self) -> None:
        try:
            if self.stage is Stage.HEAD:
                self._read_head()
            if self.stage is Stage.BODY:
                self._read_body()
            if self.stage is Stage.SKIPPING:
                self._skip_body()
        except Refusal as refusal:
            self.refuse(refusal)
        except MessageError as error:
            self.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(error)))
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        """Answer after an error between the first byte of a request and its task.

        Nothing has been passed on, so the answer states that the request has not run.
        """
        logger.exception(
            "a request failed in its edge",
            extra={"reason": repr(error), "stage": self.stage.value},
        )
        refusal = Refusal(ErrorKind.NO_ENDPOINT, repr(error))
        if self.stage in RECEIVING:
            self.refuse(refusal)
        elif self.request is not None:
            self.request.fail(refusal.answer.status)

    def _read_head(self) -> None:
        while self.pending.startswith(b"\r\n"):
            del self.pending[:2]
        end = self.pending.find(HEAD_END)
        size = len(self.pending) if end < 0 else end
        if size > self.edge.limits.head_bytes:
            raise Refusal(ErrorKind.HEADERS_TOO_LARGE)
        # The LF after a CR at the end may not have arrived yet.
        seen = self.pending[:end] if end >= 0 else self.pending.removesuffix(b"\r")
        if FORBIDDEN_BYTES.search(seen):
            detail = "a control character or a bare line end in the head"
            raise Refusal(ErrorKind.MALFORMED_REQUEST, detail)
        if end < 0:
            return
        head = bytes(self.pending[: end + len(HEAD_END)])
        del self.pending[: len(head)]
        length = _plain_length(head) if self.edge.should_reject() else None
        if length is None or length > self.edge.limits.body_bytes:
            self._parse_head(head)
            return
        self.rejected_head = head
        self.bytes_to_skip = length
        self.stage = Stage.SKIPPING
        self.wait(BODY_TIMEOUT, self._body_timed_out)

    def _skip_body(self) -> None:
        """Skip the body of a rejected request, then respond without parsing it.

        This saves an overloaded process the parsing, and a new connection for the
        next request of the caller.
        """
        part = min(self.bytes_to_skip, len(self.pending))
        del self.pending[:part]
        self.bytes_to_skip -= part
        if self.bytes_to_skip:
            return
        found = self.edge.id_pattern.search(self.rejected_head)
        self.edge.on_rejected(found.group(2).decode("ascii") if found else "")
        named = b"%b: %b\r\n" % found.groups() if found else b""
        closing = self.edge.closes_connections() and not self.pending
        closing = closing or CONNECTION_CLOSE.search(self.rejected_head)
        close = b"Connection: close\r\n" if closing else b""
        self.write(
            b"HTTP/1.1 503 Service Unavailable\r\n%bRetry-After: %b\r\n%b"
            b"Content-Length: 0\r\n\r\n" % (named, SHED_RETRY_AFTER, close)
        )
        self.rejected_head = b""
        if closing:
            self.close(CloseReason.REFUSED)
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
            self.head.is_http_1_1,
        )
        self.stage = Stage.BODY
        self.wait(BODY_TIMEOUT, self._body_timed_out)
        self._check_length(self.head.fields)
        if self.head.awaits_continue and not self.pending:
            self.write(CONTINUE_RESPONSE)

    def _check_length(self, headers: list[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            if name == b"content-length" and int(value) > self.edge.limits.body_bytes:
                raise Refusal(ErrorKind.REQUEST_TOO_LARGE)

    def _read_body(self) -> None:
        data = bytes(self.pending)
        self.pending.clear()
        pieces, rest, complete = self.head.body.feed(data)
        self.pending += rest
        self.body += b"".join(pieces)
        if len(self.body) > self.edge.limits.body_bytes:
            raise Refusal(ErrorKind.REQUEST_TOO_LARGE)
        if complete:
            self._complete()

    def _complete(self) -> None:
        self.stop_timer()
        self.head = None
        self.stage = Stage.ANSWERING
        request = self.request
        request.body = bytes(self.body)
        request.received = asyncio.get_running_loop().time()
        self.body = bytearray()
        self.edge.serve(request)

    def finished(self) -> None:
        """Continue after a response, with any data received in the meantime."""
        self._unpause()
        keep_alive = self.request.keep_alive
        self.request = None
        self._update_held()
        if not keep_alive:
            self.close(CloseReason.ANSWERED)
            return
        self._await_next()

    def _await_next(self) -> None:
        """Wait for the next request, a part of which may already be buffered."""
        self.stage = Stage.IDLE
        self.start_idle()
        if self.pending:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._resume)

    def _resume(self) -> None:
        if self.stage is Stage.IDLE and self.pending:
            self.receive(b"")

    def refuse(self, refusal: Refusal) -> None:
        """Reject an invalid request and close the connection."""
        self.stop_timer()
        self.stage = Stage.ANSWERING
        status = refusal.answer.status
        logger.info(
            "request not accepted", extra={"status": status, "reason": refusal.detail}
        )
        phrase = b"HTTP/1.1 %d %b\r\n" % (status, refusal.kind.value.encode())
        self.write(phrase + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        self.close(CloseReason.REFUSED)

    def _head_timed_out(self) -> None:
        self._refuse_slow("the head came too slowly")

    def _body_timed_out(self) -> None:
        self._refuse_slow("the body came too slowly")

    def _refuse_slow(self, detail: str) -> None:
        """Refuse a request unless the rest of what is awaited has arrived."""
        if not self._read_arrived():
            self.refuse(Refusal(ErrorKind.REQUEST_TIMEOUT, detail))

    def start_idle(self) -> None:
        """Start the idle timeout in force."""
        self.idle_since = asyncio.get_running_loop().time()
        self.wait(self.edge.limits.idle_timeout, self.expire_idle)

    def expire_idle(self) -> None:
        """Close the connection unless a longer idle timeout is in force by now.

        A shorter one applies from the next time that the connection is idle, because
        the caller may not know it yet.
        """
        due = self.idle_since + self.edge.limits.idle_timeout
        left = due - asyncio.get_running_loop().time()
        if left > 0:
            self.wait(left, self.expire_idle)
        else:
            self.close_if_idle(CloseReason.IDLE)

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Close the connection if it is idle and nothing has arrived on it.

        Returns
        -------
        bool
            Whether it is closed.
        """
        if self.stage is Stage.IDLE and not self._read_arrived():
            self.close(reason)
        return self.stage is Stage.CLOSED

    def stop(self) -> None:
        """Close the connection unless a whole request has arrived on it.

        A request of which a part has arrived is refused.
        """
        self.close_if_idle(CloseReason.STOPPING)
        if self.stage in RECEIVING:
            self._read_arrived()
        if self.stage in RECEIVING:
            self.refuse(Refusal(ErrorKind.STOPPING, "the router stops accepting"))

    def _read_arrived(self) -> bool:
        """Read what has arrived, up to a request that is not answered at once.

        Returns
        -------
        bool
            Whether the stage for which the timer runs has ended.
        """
        timer = self.timer
        for _ in range(MAX_LAST_READS):
            if self.stage in (Stage.ANSWERING, Stage.CLOSED):
                break
            if self.stage is Stage.IDLE and self.pending:
                self._resume()
            elif not self.edge.server.read(self.sock):
                break
        return self.timer is not timer

    def close(self, reason: CloseReason, reset: bool = False) -> None:
        """Close the connection once all written data has been sent.

        Where the caller may be sending still, it must receive the answer first.
        With `reset`, the connection is reset at once instead.
        """
        if self.stage is Stage.CLOSED:
            return
        self._unpause()
        self.lost(reason)
        if reset:
            self.edge.server.reset(self.sock)
        elif reason in IDLE_REASONS and not self.edge.server.is_sending(self.sock):
            self.edge.server.close(self.sock)
        else:
            self.edge.server.finish(self.sock)
        self.edge.root.wake()

    def lost(self, reason: CloseReason = CloseReason.LOST) -> None:
        """Release all resources after the socket has been closed or lost."""
        if self.stage is Stage.CLOSED:
            return
        self.edge.note_closed(self, reason)
        self.stage = Stage.CLOSED
        self.stop_timer()
        self.edge.memory.update(self, 0)
        self.edge.connections.pop(self.sock, None)
        request = self.request
        self.request = None
        if request is not None and not request.answered and request.on_disconnect:
            request.on_disconnect()


class Edge(BaseComponent):
    """Accepts connections of callers and passes on their requests.

    Parameters
    ----------
    address : Address
        Address to listen on.
    serve : callable
        Called with each complete request; responds to it, possibly later.
    channel : str
        Name that addresses this component in the circuits tree.
    id_header : str
        Name of the header that holds the request id set by the caller.
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
        #: Whether new requests are no longer accepted.
        self.stopping = False
        #: Pattern of the request id header; its groups are name and value.
        self.id_pattern = header_pattern(id_header)
        #: `should_reject` returns whether to reject the next request because this
        #: process is overloaded; `on_rejected` receives the id of each request rejected
        #: for that.
        self.should_reject: Callable[[], bool] = lambda: False
        self.on_rejected: Callable[[str], None] = lambda request: None
        self.connections: dict[socket, CallerConnection] = {}
        #: Closed connections by reason.
        self.closed: Counter[CloseReason] = Counter()
        #: Memory that the requests hold.
        self.memory = HeldMemory()
        bind = (address.host, address.port)
        self.server = CallbackServer(bind, channel, self).register(self)

    @property
    def limit(self) -> int:
        """Return the maximum number of connections."""
        return self.server.limit

    @limit.setter
    def limit(self, connections: int) -> None:
        self.server.limit = connections

    def closes_connections(self) -> bool:
        """Return whether responses close their connection."""
        crowded = len(self.connections) > CROWDED_FRACTION * self.limit
        return self.stopping or crowded

    def opened(self, sock: socket) -> None:
        """Handle a new connection."""
        connection = CallerConnection(self, sock)
        self.connections[sock] = connection
        connection.start_idle()
        if len(self.connections) > FULL_FRACTION * self.limit:
            self._close_oldest()

    def _close_oldest(self) -> None:
        """Close the oldest idle one of the `MAX_IDLE_SEARCH` oldest connections."""
        for connection in list(islice(self.connections.values(), MAX_IDLE_SEARCH)):
            if connection.close_if_idle(CloseReason.CONNECTION_LIMIT):
                return

    def note_closed(self, connection: CallerConnection, reason: CloseReason) -> None:
        """Count a closed connection, and log one that leaves a request unanswered."""
        self.closed[reason] += 1
        received = len(connection.pending)
        unanswered = connection.request is not None or received
        if reason in EXPECTED_REASONS or not unanswered:
            return
        logger.info(
            "connection closed beside a request",
            extra={
                "reason": reason.value,
                "stage": connection.stage.value,
                "buffered_bytes": received,
                "connections": len(self.connections),
                "stopping": self.stopping,
            },
        )

    def received(self, sock: socket, data: bytes) -> None:
        """Handle data received on a connection."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.receive(data)

    def lost(self, sock: socket) -> None:
        """Handle a closed or lost connection."""
        connection = self.connections.get(sock)
        if connection is not None:
            connection.lost()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self.connections.values()):
            connection.close_if_idle(CloseReason.STOPPING)
        self.root.wake()

    def stop_accepting(self) -> None:
        """Stop accepting connections and requests; requests in progress continue.

        Requests that have wholly arrived by now are served; those of which a part has
        arrived are refused, so that their callers may repeat them elsewhere.
        """
        self.stopping = True
        self.server.stop_listening()
        for connection in list(self.connections.values()):
            connection.stop()
        self.root.wake()


def header_pattern(name: str) -> re.Pattern[bytes]:
    """Return a pattern that matches a header with a value of visible characters."""
    text = rb"\r\n(%b):[ \t]*([!-~]{1,128})[ \t]*\r\n" % re.escape(name.encode())
    return re.compile(text, re.IGNORECASE)


def _plain_length(head: bytes) -> int | None:
    """Return the length of a body that can be skipped, None if it needs the parser."""
    if NEEDS_PARSER.search(head):
        return None
    names = FRAMING_HEADER.findall(head)
    if not names:
        return 0
    found = PLAIN_LENGTH.findall(head)
    if len(names) > 1 or len(found) != 1:
        return None
    return int(found[0])
