"""Listening sockets that read and write directly, without circuits events."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from errno import EMFILE, ENFILE, ENOMEM
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from typing import TYPE_CHECKING, Protocol

import logbook
import msgspec
from circuits import handler
from circuits.net.sockets import TCPServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

logger = logbook.Logger(__name__)

#: Maximum number of bytes buffered for a slow reader before its connection closes.
MAX_WRITE_BACKLOG = 1 << 20
#: Bytes waiting for a slow reader above which the source of its answer is paused, and
#: below which it is resumed.
PAUSE_BACKLOG = 262144
RESUME_BACKLOG = 65536
#: Default of the most bytes buffered for all slow readers together.
UNSENT_LIMIT = 12 << 20
#: Maximum number of bytes per read from a connection.
READ_SIZE = 16384
#: Maximum number of connections accepted per loop iteration.
MAX_ACCEPTS_PER_TURN = 32
#: Maximum number of turns in which connections are accepted before listening ends.
MAX_LAST_TURNS = 128
#: Milliseconds without an acknowledgement after which a connection counts as lost;
#: longer than a caller waits for a part of a response.
UNACKNOWLEDGED_TIMEOUT_MS = 10_000
#: Seconds for which a connection is read after its last byte was sent. A connection
#: that is closed with unread bytes is reset, which may destroy that byte on its way.
LINGER_TIMEOUT = 1.0
#: Maximum number of bytes that are read and dropped meanwhile.
LINGER_LIMIT = 4 << 20
#: Value of ``SO_LINGER`` with which the close of a socket resets its connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class OpenSockets(dict):
    """Sockets in the order in which they were accepted, with constant-time lookup.

    Replaces the list used by circuits, which is searched linearly on every read and
    write.
    """

    def append(self, sock: socket) -> None:
        """Add a socket."""
        self[sock] = None

    def remove(self, sock: socket) -> None:
        """Remove a socket."""
        del self[sock]

    def __getitem__(self, part: slice) -> list[socket]:
        """Return sockets as a list."""
        return list(self)[part]


class DirectServer(TCPServer):
    """TCP server that writes directly while the socket accepts data.

    circuits queues each write until the poller reports the socket as writable, which
    takes several events per chunk of a stream.
    """

    #: Maximum number of concurrent connections.
    limit = 4096

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self._clients = OpenSockets()
        #: Called once the backlog of a connection is below `RESUME_BACKLOG`.
        self._on_drained: dict[socket, Callable[[], None]] = {}
        #: Bytes buffered for each slow reader, and for all of them.
        self.unsent: dict[socket, int] = {}
        self.unsent_total = 0
        #: Most bytes that may be buffered for all.
        self.unsent_limit = UNSENT_LIMIT

    def _note_unsent(self, sock: socket, unsent: int) -> None:
        self.unsent_total += unsent - self.unsent.pop(sock, 0)
        if unsent:
            self.unsent[sock] = unsent

    def _limit_unsent(self) -> None:
        """Close the connection for which most bytes are buffered, if all have too many.

        Callers may have read since their bytes were counted.
        """
        for sock in list(self.unsent):
            self._note_unsent(sock, self._unsent_bytes(sock))
        if self.unsent_total <= self.unsent_limit:
            return
        sock = max(self.unsent, key=lambda item: self.unsent[item])
        extra = {"unsent_bytes": self.unsent[sock], "of_all": self.unsent_total}
        logger.info("no memory for what a caller does not read", extra=extra)
        self._close(sock)

    def call_when_drained(self, sock: socket, resume: Callable[[], None]) -> bool:
        """Return whether the backlog of a connection is above `PAUSE_BACKLOG`.

        If so, `resume` is called once it is below `RESUME_BACKLOG`, unless the
        connection is closed before.
        """
        if sock not in self._clients or self._unsent_bytes(sock) <= PAUSE_BACKLOG:
            return False
        self._on_drained[sock] = resume
        return True

    def _unsent_bytes(self, sock: socket) -> int:
        queue = self._buffers.get(sock)
        return sum(map(len, queue)) if queue else 0

    def _report_drained(self, sock: socket) -> None:
        if sock in self._on_drained and self._unsent_bytes(sock) < RESUME_BACKLOG:
            self._on_drained.pop(sock)()

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        """Write `data` to `sock`, buffering what the socket does not accept."""
        if sock not in self._clients:
            return
        queue = self._buffers.get(sock)
        if queue:
            queue.append(data)
        elif not self._write_now(sock, data):
            return
        self._wait_writable(sock)

    def _write_now(self, sock: socket, data: bytes) -> bool:
        """Write `data`; return whether a part of it was buffered."""
        try:
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(sock)
            return False
        if sent == len(data):
            return False
        self._buffers[sock].append(data[sent:])
        return True

    def _wait_writable(self, sock: socket) -> None:
        backlog = self._unsent_bytes(sock)
        self._note_unsent(sock, backlog)
        if backlog > MAX_WRITE_BACKLOG:
            logger.info("caller reads too slowly", extra={"unsent_bytes": backlog})
            self._close(sock)
        elif not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)
        if self.unsent_total > self.unsent_limit:
            self._limit_unsent()

    def _close(self, sock: socket) -> None:
        self._note_unsent(sock, 0)
        super()._close(sock)

    def stop_listening(self) -> None:
        """Stop accepting connections; open connections are kept."""
        if self._sock is not None:
            self._close(self._sock)

    def _on_accept_done(self, sock: socket, fire_connect_event: bool = True) -> None:
        if len(self._clients) >= self.limit:
            sock.close()
            return
        super()._on_accept_done(sock, fire_connect_event)


class Lingering(msgspec.Struct):
    """A connection that is closed as soon as its caller closes it.

    Attributes
    ----------
    left : int
        Bytes that may still be read and dropped.
    timer : asyncio.TimerHandle or None
        Closes the connection; None while data is still to be sent.
    ended : bool
        Whether the caller has closed its side.
    """

    left: int
    timer: asyncio.TimerHandle | None = None
    ended: bool = False


class ConnectionOwner(Protocol):
    """Interface for the connection callbacks of a `CallbackServer`."""

    def opened(self, sock: socket) -> None:
        """Handle a new connection."""

    def received(self, sock: socket, data: bytes) -> None:
        """Handle data received on a connection."""

    def lost(self, sock: socket) -> None:
        """Handle a closed or lost connection."""


class CallbackServer(DirectServer):
    """Direct server that notifies its owner by calls instead of events.

    Parameters
    ----------
    bind : tuple of (str, int)
        Host and port to listen on.
    channel : str
        Channel of the circuits tree.
    owner : ConnectionOwner
        Receives the callbacks.
    """

    def __init__(
        self, bind: tuple[str, int], channel: str, owner: ConnectionOwner
    ) -> None:
        super().__init__(bind, channel)
        self.owner = owner
        #: Connections that their owner has finished with, the oldest first.
        self.lingering: dict[socket, Lingering] = {}

    @property
    def open_connections(self) -> int:
        """Return the number of connections, including those being closed."""
        return len(self._clients)

    def on_readable(self, sock: socket) -> None:
        """Accept connections, or read from one."""
        if sock is self._sock:
            self._accept_pending()
        else:
            self.read(sock)

    def read(self, sock: socket) -> bool:
        """Read from a connection once; return whether bytes had arrived."""
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if self.lingering and sock in self.lingering:
            self._drop(sock, data)
        elif data:
            self.owner.received(sock, data)
        else:
            self._close(sock)
        return bool(data)

    def is_sending(self, sock: socket) -> bool:
        """Return whether data for a connection is still buffered."""
        return bool(self._buffers.get(sock))

    def pause(self, sock: socket) -> None:
        """Stop reading from a connection.

        Until `resume`, it is not seen that its caller closes it.
        """
        if sock in self._clients:
            self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        """Read from a connection again after `pause`."""
        if sock in self._clients:
            self._poller.addReader(self, sock)

    def finish(self, sock: socket) -> None:
        """Close a connection once its data is sent and its caller has closed it too.

        What the caller still sends is dropped, within `LINGER_LIMIT` and for
        `LINGER_TIMEOUT`.
        """
        if sock not in self._clients or sock in self.lingering:
            return
        self.lingering[sock] = Lingering(LINGER_LIMIT)
        if not self.is_sending(sock):
            self._end_output(sock)

    def reset(self, sock: socket) -> None:
        """Reset a connection, so that its caller does not take the end for complete."""
        if sock not in self._clients:
            return
        self._poller.discard(sock)
        with contextlib.suppress(OSError):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_AT_CLOSE)
        sock.close()
        self._close(sock)

    def _end_output(self, sock: socket) -> None:
        """Tell the caller that nothing follows, and wait for its end."""
        lingering = self.lingering[sock]
        if lingering.ended:
            self._close(sock)
            return
        try:
            sock.shutdown(SHUT_WR)
        except OSError:
            self._close(sock)
            return
        loop = asyncio.get_running_loop()
        lingering.timer = loop.call_later(LINGER_TIMEOUT, self._close, sock)

    def _close_lingering(self) -> None:
        """Close the oldest connection of which only the caller's end is awaited."""
        for sock, lingering in self.lingering.items():
            if lingering.timer is not None:
                self._close(sock)
                return

    def _drop(self, sock: socket, data: bytes) -> None:
        """Count bytes that are dropped; close the connection at the end or limit."""
        lingering = self.lingering[sock]
        lingering.left -= len(data)
        if not data and self.is_sending(sock):
            # The caller may still read.
            lingering.ended = True
            self._poller.removeReader(sock)
        elif not data or lingering.left < 0:
            self._close(sock)

    def stop_listening(self) -> None:
        """Accept the connections that callers have opened, then stop accepting."""
        for _ in range(MAX_LAST_TURNS):
            if self._sock is None or not self._accept_pending():
                break
        super().stop_listening()

    def on_writable(self, sock: socket) -> None:
        """Write buffered data to a connection."""
        self._on_write(sock)
        self._note_unsent(sock, self._unsent_bytes(sock))
        lingering = self.lingering.get(sock)
        if lingering and lingering.timer is None and not self.is_sending(sock):
            self._end_output(sock)
        if self._on_drained:
            self._report_drained(sock)

    def on_hangup(self, sock: socket) -> None:
        """Close a connection that was lost."""
        self._close(sock)

    def _accept_pending(self) -> bool:
        """Accept connections; return whether there may be more."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _address = self._sock.accept()
            except OSError as error:
                # Usually no connection is pending, or the caller has disconnected.
                if error.errno in (EMFILE, ENFILE, ENOMEM):
                    logger.warning("no connection taken", extra={"reason": str(error)})
                return False
            try:
                self._add_connection(sock)
            except Exception as error:
                # The poller would close the listening socket.
                logger.exception(
                    "a new connection failed", extra={"reason": repr(error)}
                )
                self._close(sock)
                sock.close()
        return True

    def _add_connection(self, sock: socket) -> None:
        if len(self._clients) >= self.limit:
            self._close_lingering()
        if len(self._clients) >= self.limit:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self._poller.addReader(self, sock)
        self._clients.append(sock)
        self.owner.opened(sock)

    def _close(self, sock: socket) -> None:
        known = sock in self._clients
        lingering = self.lingering.pop(sock, None)
        if lingering is not None and lingering.timer is not None:
            lingering.timer.cancel()
        self._on_drained.pop(sock, None)
        super()._close(sock)
        if known:
            self.owner.lost(sock)
