"""HTTP client for endpoints and the platform, built on the circuits poller.

The client of circuits.web buffers whole responses, so it is not used. One component
holds all connections, because registering a component clears the handler cache of
circuits, and one component per connection would do so for every connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent

from carawayfold.transport.keep_alive import (
    IDLE_TIMEOUT,
    announced_timeout,
    reuse_timeout,
    unrepeatable_timeout,
)
from carawayfold.transport.messages import MessageError, ResponseReader, request_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.settings import Address
    from carawayfold.transport.loop import Root
    from carawayfold.transport.messages import ResponseHead

#: Maximum number of bytes per read from a socket.
READ_SIZE = 65536
#: Maximum size of a fetched response body, in bytes: the store sends pages of 1 MB of
#: records, in base64.
MAX_FETCH_BYTES = 4 << 20
#: Maximum number of responses to other requests that are skipped before a response.
MAX_SKIPPED_RESPONSES = 4
#: Maximum number of body bytes of such responses.
MAX_SKIPPED_BYTES = 1 << 20
#: Maximum number of idle connections kept per address.
MAX_IDLE_CONNECTIONS = 64
#: Methods for which an empty body is sent without ``Content-Length``.
BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})


class Phase(Enum):
    """Progress of an exchange; determines whether the request may have run."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"
    DONE = "done"


class ExchangeError(Exception):
    """An exchange ended before its response was complete.

    Attributes
    ----------
    phase : Phase
        Progress when it failed.
    reused : bool
        Whether it used a connection that had carried an earlier exchange.
    """

    def __init__(self, phase: Phase, reason: str, reused: bool = False) -> None:
        super().__init__(reason)
        self.phase = phase
        self.reused = reused


class ResponseTimeoutError(ExchangeError):
    """No complete response arrived within the timeout."""


class Head(msgspec.Struct):
    """Status and headers of a response; header names in lower case.

    Attributes
    ----------
    headers : dict of str
        Last value of each header.
    fields : list of tuple of str
        All headers, in order.
    """

    status: int
    headers: dict[str, str]
    fields: list[tuple[str, str]] = msgspec.field(default_factory=list)


class Answer(msgspec.Struct):
    """A complete response."""

    head: Head
    body: bytes


class Exchange(msgspec.Struct, eq=False):
    """One request and its response on one connection.

    Attributes
    ----------
    on_head : callable
        Called with the head of the response.
    on_data : callable
        Called with each part of the response body.
    done : asyncio.Future
        Resolved when the response is complete; fails with `ExchangeError`.
    is_own_response : callable or None
        Called with the head of a response; returns whether it belongs to this
        request. A response that does not, such as a second response to an earlier
        request, is skipped, and the next one on the connection is awaited.
    skipping : bool
        Whether a response to another request is being skipped.
    skipped_responses, skipped_bytes : int
        Number of responses skipped, and of their body bytes.
    method : str
        Method of the request.
    is_attempt : bool
        Whether it is an attempt at an endpoint, see `HttpClient.start`.
    """

    on_head: Callable[[Head], None]
    on_data: Callable[[bytes], None]
    done: asyncio.Future[None]
    phase: Phase = Phase.CONNECTING
    is_own_response: Callable[[Head], bool] | None = None
    skipping: bool = False
    skipped_responses: int = 0
    skipped_bytes: int = 0
    method: str = "GET"
    is_attempt: bool = False


class Connection(msgspec.Struct, eq=False):
    """One TCP connection.

    Attributes
    ----------
    reader : ResponseReader or None
        Parser for the response of the current exchange.
    last_received : float
        Loop time at which data last arrived, in seconds.
    opened : float
        Loop time at which it was opened, in seconds.
    used : int
        Number of exchanges started on it.
    reuse_timeout : float
        Seconds for which it may be reused after it becomes idle.
    announced : int or None
        Idle timeout in seconds that the remote side announced last.
    paused : bool
        Whether nothing is read from it, since the receiver is slower.
    """

    address: Address
    sock: socket.socket
    reader: ResponseReader | None = None
    connected: bool = False
    exchange: Exchange | None = None
    outgoing: bytearray = msgspec.field(default_factory=bytearray)
    last_received: float = 0.0
    opened: float = 0.0
    used: int = 0
    reuse_timeout: float = IDLE_TIMEOUT
    announced: int | None = None
    paused: bool = False


class ConnectionUses(msgspec.Struct):
    """Numbers of exchanges by how they came by their connections.

    Attributes
    ----------
    opened, reused : int
        Exchanges on a new connection, and on one that was idle.
    lost : int
        Exchanges whose reused connection the remote side ended before their response
        began.
    """

    opened: int = 0
    reused: int = 0
    lost: int = 0

    def record(self, reused: bool) -> None:
        """Count an exchange."""
        if reused:
            self.reused += 1
        else:
            self.opened += 1

    @property
    def reused_ratio(self) -> float:
        """Return the fraction of exchanges on reused connections, 0 without any."""
        started = self.opened + self.reused
        return self.reused / started if started else 0.0


class HttpClient(BaseComponent):
    """All outgoing HTTP connections of the process.

    Parameters
    ----------
    root : Root
        Root component with the poller.
    reuse_longer : bool
        Whether connections of attempts at endpoints are reused for all but a margin of
        the announced timeout, see `carawayfold.transport.keep_alive`.
    max_open : int
        Number of open connections from which the one that has been idle for longest is
        closed for a new one; 0 for no limit.

    Attributes
    ----------
    idle : dict of Address to list of Connection
        Idle connections by address, the most recently used last.
    idle_order : dict of Connection to None
        All idle connections, the most recently used last.
    open : dict of socket.socket to Connection
        All connections.
    uses : ConnectionUses
        Numbers of attempts at endpoints by how they came by their connections.
    """

    channel = "endpoints"

    def __init__(
        self, root: Root, reuse_longer: bool = False, max_open: int = 0
    ) -> None:
        super().__init__()
        self.poller = root.poller
        self.reuse_longer = reuse_longer
        self.max_open = max_open
        self.idle: dict[Address, list[Connection]] = {}
        self.idle_order: dict[Connection, None] = {}
        self.open: dict[socket.socket, Connection] = {}
        self.uses = ConnectionUses()

    def start(
        self,
        address: Address,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        on_head: Callable[[Head], None],
        on_data: Callable[[bytes], None],
        fresh: bool = False,
        is_own_response: Callable[[Head], bool] | None = None,
        idle_most: float = IDLE_TIMEOUT,
        is_attempt: bool = False,
    ) -> Connection:
        """Start an exchange and return the connection that carries it.

        Parameters
        ----------
        address : Address
            Destination.
        method, path : str
            Method and path of the request.
        headers : list of tuple of str
            Headers; ``Host`` and ``Content-Length`` are added where needed.
        body : bytes
            Body of the request.
        on_head, on_data : callable
            See `Exchange`.
        fresh : bool
            Whether to open a new connection. The remote side may have closed an
            idle one, which leaves it unknown whether a request sent on it ran.
        is_own_response : callable, optional
            See `Exchange`.
        idle_most : float
            Maximum idle time in seconds of a reused connection.
        is_attempt : bool
            Whether it is an attempt at an endpoint. These count in `uses`, and
            `reuse_longer` holds for their connections only.

        Returns
        -------
        Connection
            Await ``exchange.done``, or pass it to `cancel` to abort the exchange.
        """
        loop = asyncio.get_running_loop()
        exchange = Exchange(
            on_head,
            on_data,
            loop.create_future(),
            is_own_response=is_own_response,
            method=method,
            is_attempt=is_attempt,
        )
        idle = None if fresh else self._take_idle(address, idle_most)
        connection = idle or self._connect(address)
        if is_attempt:
            self.uses.record(reused=idle is not None)
        connection.exchange = exchange
        connection.reader = ResponseReader(method)
        connection.last_received = loop.time()
        connection.used += 1
        connection.outgoing += self._encode(connection, method, path, headers, body)
        if connection.connected:
            exchange.phase = Phase.SENT
            self._flush(connection)
        return connection

    async def fetch(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float = 5.0,
        headers: list[tuple[str, str]] | None = None,
    ) -> Answer:
        """Send a request and return the complete response.

        Raises
        ------
        ExchangeError
            If no complete response arrived within `timeout` seconds, or its body
            exceeds `MAX_FETCH_BYTES`.
        """
        heads: list[Head] = []
        received = bytearray()

        def on_data(data: bytes) -> None:
            received.extend(data)
            if len(received) > MAX_FETCH_BYTES:
                self.fail(connection, "the answer is too large")

        connection = self.start(
            address, method, path, headers or [], body, heads.append, on_data
        )
        exchange = connection.exchange
        try:
            await asyncio.wait_for(exchange.done, timeout)
        except TimeoutError:
            age = asyncio.get_running_loop().time() - connection.opened
            reason = f"no answer in time, connection {age:.1f} s old"
            raise ResponseTimeoutError(exchange.phase, reason) from None
        finally:
            if not exchange.done.done() or exchange.done.cancelled():
                self.cancel(connection)
        return Answer(heads[0], bytes(received))

    def cancel(self, connection: Connection) -> None:
        """Abort the exchange on `connection` and close the connection."""
        connection.exchange = None
        self._close(connection)

    def pause(self, connection: Connection) -> None:
        """Stop reading from a connection until `resume`."""
        if connection.sock in self.open and not connection.paused:
            connection.paused = True
            self.poller.removeReader(connection.sock)

    def resume(self, connection: Connection) -> None:
        """Read from a paused connection again."""
        if connection.sock in self.open and connection.paused:
            connection.paused = False
            self.poller.addReader(self, connection.sock)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self.open.values()):
            self.fail(connection, "the client is closing")

    def _take_idle(self, address: Address, idle_most: float) -> Connection | None:
        idle = self.idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            # The list is ordered by idle time, with the most recently used last.
            connection = idle[-1]
            if now - connection.last_received >= connection.reuse_timeout:
                self._close(connection)
                continue
            if now - connection.last_received >= self._idle_limit(
                connection, idle_most
            ):
                return None
            if _is_readable(connection.sock):
                # It was closed or reset, or bytes came that belong to no response.
                self._close(connection)
                continue
            idle.pop()
            del self.idle_order[connection]
            return connection
        return None

    def _idle_limit(self, connection: Connection, idle_most: float) -> float:
        """Return the maximum idle time in seconds for a use of a connection."""
        if self.reuse_longer and idle_most < IDLE_TIMEOUT:
            idle_most = unrepeatable_timeout(connection.announced, idle_most)
        return min(connection.reuse_timeout, idle_most)

    def kept_for(
        self, connection: Connection, idle_most: float = IDLE_TIMEOUT
    ) -> float:
        """Return the seconds for which an idle connection is reused from now on.

        Always 0 unless `reuse_longer`, since no scheduler uses it otherwise.

        Parameters
        ----------
        connection : Connection
            A connection, which may be in use or closed: 0 in both cases.
        idle_most : float
            See `start`.
        """
        if not self.reuse_longer or connection not in self.idle_order:
            return 0.0
        idle = asyncio.get_running_loop().time() - connection.last_received
        return max(0.0, self._idle_limit(connection, idle_most) - idle)

    def drop_idle(self, address: Address) -> None:
        """Close idle connections to an address whose process has ended."""
        for connection in list(self.idle.get(address, ())):
            self._close(connection)

    def close_idle(self) -> None:
        """Close connections whose idle timeout has expired."""
        now = asyncio.get_running_loop().time()
        for idle in list(self.idle.values()):
            while idle and now - idle[0].last_received >= idle[0].reuse_timeout:
                self._close(idle[0])

    def _connect(self, address: Address) -> Connection:
        if self.max_open and len(self.open) >= self.max_open and self.idle_order:
            self._close(next(iter(self.idle_order)))
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened = asyncio.get_running_loop().time()
        connection = Connection(address, sock, opened=opened)
        self.open[sock] = connection
        code = sock.connect_ex((address.host, address.port))
        if code not in (0, errno.EINPROGRESS):
            reason = errno.errorcode.get(code, str(code))
            loop = asyncio.get_running_loop()
            loop.call_soon(self.fail, connection, reason)
        else:
            self.poller.addWriter(self, sock)
        return connection

    def _encode(
        self,
        connection: Connection,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        fields = list(headers)
        if not any(name.lower() == "host" for name, _ in headers):
            fields.insert(0, ("Host", str(connection.address)))
        if body or method not in BODYLESS_METHODS:
            fields.append(("Content-Length", str(len(body))))
        return request_bytes(method, path, fields, body)

    def on_writable(self, sock: socket.socket) -> None:
        """Finish connecting, or write pending data."""
        connection = self.open.get(sock)
        if connection is None:
            return
        if not connection.connected and not self._connected(connection):
            return
        self._flush(connection)

    def _connected(self, connection: Connection) -> bool:
        code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(connection, errno.errorcode.get(code, str(code)))
            return False
        connection.connected = True
        if connection.exchange is not None:
            connection.exchange.phase = Phase.SENT
        self.poller.addReader(self, connection.sock)
        return True

    def _flush(self, connection: Connection) -> None:
        try:
            sent = connection.sock.send(connection.outgoing)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            # Later, as `start` has to return the exchange.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._lose, connection, str(error))
            return
        del connection.outgoing[:sent]
        writing = self.poller.isWriting(connection.sock)
        if connection.outgoing and not writing:
            self.poller.addWriter(self, connection.sock)
        elif not connection.outgoing and writing:
            self.poller.removeWriter(connection.sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Read available data from a connection."""
        connection = self.open.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self._lose(connection, str(error))
            return
        if connection.exchange is None:
            # Data or end of stream on an idle connection: it cannot be reused.
            self._close(connection)
            return
        connection.last_received = asyncio.get_running_loop().time()
        self._parse(connection, data)

    def _parse(self, connection: Connection, data: bytes) -> None:
        exchange = connection.exchange
        if not data:
            self._end_of_stream(connection, exchange)
            return

        def handle_head(head: ResponseHead) -> None:
            self._handle_head(connection, exchange, head)

        try:
            while data and connection.exchange is exchange:
                data = self._feed(connection, exchange, data, handle_head)
        except MessageError as error:
            self.fail(connection, str(error))

    def _feed(
        self,
        connection: Connection,
        exchange: Exchange,
        data: bytes,
        handle_head: Callable[[ResponseHead], None],
    ) -> bytes:
        """Process one response or a part of it; return the bytes after it."""
        pieces, rest, complete = connection.reader.feed(data, handle_head)
        if connection.exchange is not exchange:
            # The `on_head` callback cancelled the exchange.
            return b""
        if pieces and exchange.skipping:
            self._skip(exchange, pieces)
        elif pieces:
            # One call for all parts: several events of a stream arrive together.
            exchange.on_data(b"".join(pieces))
        if complete and connection.exchange is exchange:
            self._complete(connection, exchange, rest)
        return rest

    def _skip(self, exchange: Exchange, pieces: list[bytes]) -> None:
        exchange.skipped_bytes += sum(map(len, pieces))
        if exchange.skipped_bytes > MAX_SKIPPED_BYTES:
            raise MessageError("too many bytes that answer other requests")

    def _end_of_stream(self, connection: Connection, exchange: Exchange) -> None:
        if connection.reader.close() and not exchange.skipping:
            self._complete(connection, exchange, b"")
        else:
            self._lose(connection, "the connection was closed")

    def _handle_head(
        self, connection: Connection, exchange: Exchange, received: ResponseHead
    ) -> None:
        head = _head(received)
        if exchange.is_own_response is not None and not exchange.is_own_response(head):
            exchange.skipping = True
            exchange.skipped_responses += 1
            if exchange.skipped_responses > MAX_SKIPPED_RESPONSES:
                raise MessageError("too many answers to other requests")
            if not received.keep_alive:
                # No response to this request can follow.
                raise MessageError("an answer to another request closes the connection")
            return
        exchange.skipping = False
        exchange.phase = Phase.ANSWERING
        connection.announced = announced_timeout(head.headers)
        connection.reuse_timeout = reuse_timeout(
            connection.announced, self.reuse_longer and exchange.is_attempt
        )
        exchange.on_head(head)

    def _complete(
        self, connection: Connection, exchange: Exchange, rest: bytes
    ) -> None:
        if exchange.skipping:
            # The response to this request follows.
            exchange.skipping = False
            connection.reader = ResponseReader(exchange.method)
            return
        reusable = connection.reader.head.keep_alive
        exchange.phase = Phase.DONE
        connection.exchange = None
        # Bytes after the response must not be read as the next response.
        if reusable and not rest:
            # Its receiver may have paused it with the last part, and never resume it.
            self.resume(connection)
            self._store_idle(connection)
        else:
            self._close(connection)
        if not exchange.done.done():
            exchange.done.set_result(None)

    def _store_idle(self, connection: Connection) -> None:
        idle = self.idle.setdefault(connection.address, [])
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
            self.idle_order[connection] = None
        else:
            self._close(connection)

    def on_hangup(self, sock: socket.socket) -> None:
        """Fail the current exchange of a connection that was lost."""
        connection = self.open.get(sock)
        if connection is not None:
            self._lose(connection, "the connection was reset")

    def _lose(self, connection: Connection, reason: str) -> None:
        """Fail the exchange on a connection that the remote side has ended."""
        exchange = connection.exchange
        if exchange is not None and exchange.is_attempt and connection.used > 1:
            self.uses.lost += exchange.phase is Phase.SENT
        self.fail(connection, reason)

    def fail(self, connection: Connection, reason: str) -> None:
        """Fail the exchange on `connection` and close the connection."""
        exchange = connection.exchange
        connection.exchange = None
        self._close(connection)
        if exchange is not None and not exchange.done.done():
            error = ExchangeError(exchange.phase, reason, connection.used > 1)
            exchange.done.set_exception(error)

    def _close(self, connection: Connection) -> None:
        if self.open.pop(connection.sock, None) is None:
            return
        idle = self.idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
            del self.idle_order[connection]
        self.poller.discard(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.close()


def _is_readable(sock: socket.socket) -> bool:
    """Return whether data, an error or the end of the stream has arrived."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def _head(head: ResponseHead) -> Head:
    fields = [
        (name.decode("ascii"), value.decode("latin-1")) for name, value in head.fields
    ]
    return Head(head.status, dict(fields), fields)
