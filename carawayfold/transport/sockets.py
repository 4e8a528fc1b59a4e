"""Listening sockets that read and write directly, without circuits events."""

from __future__ import annotations

from errno import EMFILE, ENFILE, ENOMEM
from socket import IPPROTO_TCP, TCP_NODELAY, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING, Protocol

import logbook
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
#: Maximum number of bytes per read from a connection.
READ_SIZE = 65536
#: Maximum number of connections accepted per loop iteration.
MAX_ACCEPTS_PER_TURN = 32
#: Milliseconds without an acknowledgement after which a connection counts as lost;
#: longer than a caller waits for a part of a response.
UNACKNOWLEDGED_TIMEOUT_MS = 10_000


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
        if backlog > MAX_WRITE_BACKLOG:
            logger.info("caller reads too slowly", extra={"unsent_bytes": backlog})
            self._close(sock)
        elif not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def stop_listening(self) -> None:
        """Stop accepting connections; open connections are kept."""
        if self._sock is not None:
            self._close(self._sock)

    def _on_accept_done(self, sock: socket, fire_connect_event: bool = True) -> None:
        if len(self._clients) >= self.limit:
            sock.close()
            return
        super()._on_accept_done(sock, fire_connect_event)


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

    def on_readable(self, sock: socket) -> None:
        """Accept connections, or read from one."""
        if sock is self._sock:
            self._accept_pending()
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.owner.received(sock, data)
        else:
            self._close(sock)

    def on_writable(self, sock: socket) -> None:
        """Write buffered data to a connection."""
        self._on_write(sock)
        if self._on_drained:
            self._report_drained(sock)

    def on_hangup(self, sock: socket) -> None:
        """Close a connection that was lost."""
        self._close(sock)

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _address = self._sock.accept()
            except OSError as error:
                # Usually no connection is pending, or the caller has disconnected.
                if error.errno in (EMFILE, ENFILE, ENOMEM):
                    logger.warning("no connection taken", extra={"reason": str(error)})
                return
            self._add_connection(sock)

    def _add_connection(self, sock: socket) -> None:
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
        self._on_drained.pop(sock, None)
        super()._close(sock)
        if known:
            self.owner.lost(sock)
