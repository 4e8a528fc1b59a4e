"""The callers' HTTP server: circuits.web with bounds and direct writes."""

from __future__ import annotations

import asyncio
from errno import EMFILE, ENFILE, ENOMEM
from socket import IPPROTO_TCP, TCP_NODELAY, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING, Protocol

import logbook
from circuits import handler
from circuits.net.sockets import TCPServer
from circuits.web.events import response
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer

from carawayfold.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from circuits.web.wrappers import Request, Response

    from carawayfold.settings import Settings
    from carawayfold.transport.loop import Root

logger = logbook.Logger(__name__)

#: Most bytes kept for a caller that reads too slowly before it is cut off.
WRITE_BACKLOG = 1 << 20
#: Bytes read from a connection at once.
READ_SIZE = 65536
#: Connections accepted before others get their turn.
ACCEPTED_AT_ONCE = 32
#: Milliseconds after which a connection is lost whose far end acknowledges nothing:
#: longer than a caller waits for a piece of an answer.
UNACKNOWLEDGED_MS = 10_000
#: End of the headers of a request.
HEADERS_END = b"\r\n\r\n"


class OpenSockets(dict):
    """Sockets of a server in order of arrival, found without a search.

    Stands in for the list that the library keeps, whose search grows with the
    number of connections on every read and write.
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
    """TCP server that writes at once where the socket takes it.

    The library queues each write and asks the poller first; for streams of small
    chunks that costs several events a chunk.
    """

    #: Most callers' connections at once.
    limit = 4096

    def __init__(self, bind: tuple[str, int], channel: str) -> None:
        super().__init__(bind, channel=channel)
        self._clients = OpenSockets()

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        """Write `data` to `sock` now, or keep what the socket does not take."""
        if sock not in self._clients:
            return
        queue = self._buffers.get(sock)
        if queue:
            queue.append(data)
        elif not self._write_now(sock, data):
            return
        self._wait_writable(sock)

    def _write_now(self, sock: socket, data: bytes) -> bool:
        """Write `data`; return whether some of it is left."""
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
        if sum(map(len, self._buffers[sock])) > WRITE_BACKLOG:
            self._close(sock)
        elif not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def stop_listening(self) -> None:
        """Take no further connection; those that are open stay."""
        if self._sock is not None:
            self._close(self._sock)

    def _on_accept_done(self, sock: socket, fire_connect_event: bool = True) -> None:
        if len(self._clients) >= self.limit:
            sock.close()
            return
        super()._on_accept_done(sock, fire_connect_event)


class ConnectionOwner(Protocol):
    """Takes what happens on the connections of a `CallbackServer`."""

    def opened(self, sock: socket) -> None:
        """Take a new connection."""

    def received(self, sock: socket, data: bytes) -> None:
        """Take bytes of a connection."""

    def lost(self, sock: socket) -> None:
        """Let go of a connection."""


class CallbackServer(DirectServer):
    """Direct server that tells its owner by calls instead of by events.

    Parameters
    ----------
    bind : tuple of (str, int)
        Where to listen.
    channel : str
        Channel of the circuits tree.
    owner : ConnectionOwner
        Told about connections.
    """

    def __init__(
        self, bind: tuple[str, int], channel: str, owner: ConnectionOwner
    ) -> None:
        super().__init__(bind, channel)
        self.owner = owner

    def on_readable(self, sock: socket) -> None:
        """Accept connections, or read from one."""
        if sock is self._sock:
            self._accept_some()
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
        """Write what is left for a connection."""
        self._on_write(sock)

    def on_hangup(self, sock: socket) -> None:
        """Let go of a connection that is lost."""
        self._close(sock)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                sock, _address = self._sock.accept()
            except OSError as error:
                # Mostly nothing more is waiting, or the caller has left already.
                if error.errno in (EMFILE, ENFILE, ENOMEM):
                    logger.warning("no connection taken", extra={"reason": str(error)})
                return
            self._take(sock)

    def _take(self, sock: socket) -> None:
        if len(self._clients) >= self.limit:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        self._poller.addReader(self, sock)
        self._clients.append(sock)
        self.owner.opened(sock)

    def _close(self, sock: socket) -> None:
        known = sock in self._clients
        super()._close(sock)
        if known:
            self.owner.lost(sock)


class BoundedHTTP(HTTP):
    """HTTP parser component that bounds headers, bodies and slowness.

    Parameters
    ----------
    server : EdgeServer
        Owner.
    settings : Settings
        Bounds.
    """

    def __init__(self, server: EdgeServer, settings: Settings, **kwargs: str) -> None:
        super().__init__(server, **kwargs)
        self.settings = settings
        self.received: dict[socket, int] = {}
        self.timers: dict[socket, asyncio.TimerHandle] = {}

    @handler("read", override=True)
    def _on_read(self, sock: socket, data: bytes) -> None:
        if sock in self._clients and sock not in self._buffers:
            # Pipelining is not supported: an answer is being sent.
            self._server.gone(sock)
            self._server.server._close(sock)
            return
        if sock not in self.received:
            self._begin(sock)
        self.received[sock] += len(data)
        if self._too_large(sock):
            self._refuse(sock, Refusal(ErrorKind.REQUEST_TOO_LARGE))
            return
        try:
            super()._on_read(sock, data)
        except Exception as error:
            self._refuse(sock, Refusal(ErrorKind.MALFORMED_REQUEST, str(error)))
            return
        if sock not in self._buffers:
            self._end(sock)
        elif self._too_large(sock):
            self._refuse(sock, Refusal(ErrorKind.REQUEST_TOO_LARGE))

    def _begin(self, sock: socket) -> None:
        self.received[sock] = 0
        loop = asyncio.get_running_loop()
        timeout = self.settings.header_timeout
        self.timers[sock] = loop.call_later(timeout, self._expire, sock)

    def _end(self, sock: socket) -> None:
        self.received.pop(sock, None)
        timer = self.timers.pop(sock, None)
        if timer is not None:
            timer.cancel()

    def _too_large(self, sock: socket) -> bool:
        received = self.received[sock]
        parser = self._buffers.get(sock)
        if parser is None or not parser.is_headers_complete():
            return received > self.settings.header_limit + self.settings.body_limit
        length = parser.get_headers().get("Content-Length", "0")
        if not length.isdigit():
            return False
        limit = self.settings.body_limit
        return int(length) > limit or received > limit + self.settings.header_limit

    def _expire(self, sock: socket) -> None:
        detail = "the request did not arrive in time"
        self._refuse(sock, Refusal(ErrorKind.MALFORMED_REQUEST, detail))

    def _refuse(self, sock: socket, refusal: Refusal) -> None:
        self._end(sock)
        self._buffers.pop(sock, None)
        self._clients.pop(sock, None)
        self._server.refuse(sock, refusal)

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock: socket) -> None:
        self._end(sock)
        self._buffers.pop(sock, None)
        self._clients.pop(sock, None)
        self._server.gone(sock)


class EdgeServer(BaseServer):
    """HTTP server for callers.

    Parameters
    ----------
    settings : Settings
        Address and bounds.
    root : Root
        Tree to run after an event is fired from asyncio.
    serve : callable
        Takes a request and its response; answers through `answer` or `begin`.
    refuse : callable
        Takes a refusal and returns the bytes of a whole HTTP answer.
    """

    def __init__(
        self,
        settings: Settings,
        root: Root,
        serve: Callable[[Request, Response], None],
        refuse: Callable[[Refusal], bytes],
    ) -> None:
        super(BaseServer, self).__init__(channel="web")
        self.root_component = root
        self.serve = serve
        self.refusal_bytes = refuse
        #: Called back when the caller of a connection has gone.
        self.watchers: dict[socket, Callable[[], None]] = {}
        self._display_banner = False
        bind = (settings.listen.host, settings.listen.port)
        self.server = DirectServer(bind, channel="web").register(self)
        self.server.limit = settings.connections
        self.http = BoundedHTTP(self, settings, channel="web").register(self)

    @handler("ready", override=True)
    def _on_ready(self, server: DirectServer, bind: tuple[str, int]) -> None:
        """Print no banner."""

    @handler("request", priority=1)
    def _on_request(self, event: object, req: Request, res: Response) -> bool:
        event.stop()
        self.serve(req, res)
        return True

    def watch(self, req: Request, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` if the caller of `req` goes away before its answer."""
        self.watchers[req.sock] = on_gone

    def gone(self, sock: socket) -> None:
        """Tell whoever watches `sock` that its caller has gone."""
        watcher = self.watchers.pop(sock, None)
        if watcher is not None:
            watcher()

    def refuse(self, sock: socket, refusal: Refusal) -> None:
        """Answer a request that could not be parsed, and close."""
        self.server.write(sock, self.refusal_bytes(refusal))
        self.server.close(sock)

    def answer(self, res: Response, body: bytes) -> None:
        """Send a whole answer."""
        self.watchers.pop(res.request.sock, None)
        res.body = body
        self.fire(response(res))
        self.root_component.wake()

    def begin(self, res: Response) -> None:
        """Send the head of a streamed answer."""
        res.stream = True
        res.body = None
        res.chunked = True
        res.headers["Transfer-Encoding"] = "chunked"
        head = bytes(res), bytes(self._prepared(res))
        self.server.write(res.request.sock, b"".join(head))

    def _prepared(self, res: Response) -> object:
        res.headers["Connection"] = "close" if res.close else "keep-alive"
        return res.headers

    def send(self, res: Response, data: bytes) -> None:
        """Send one chunk of a streamed answer."""
        self.server.write(res.request.sock, b"%x\r\n%b\r\n" % (len(data), data))

    def end(self, res: Response) -> None:
        """Finish a streamed answer."""
        self.watchers.pop(res.request.sock, None)
        self.server.write(res.request.sock, b"0\r\n\r\n")
        self._finish(res)

    def abort(self, res: Response) -> None:
        """Cut a streamed answer off, so that it can't pass as whole."""
        self.watchers.pop(res.request.sock, None)
        res.close = True
        self._finish(res)

    def _finish(self, res: Response) -> None:
        res.done = True
        sock = res.request.sock
        self.http._clients.pop(sock, None)
        if res.close:
            self.server.close(sock)
