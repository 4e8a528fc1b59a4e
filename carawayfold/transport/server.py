"""HTTP server for callers: circuits.web with limits and direct writes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from circuits import handler
from circuits.web.events import response
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.transport.sockets import DirectServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from circuits.web.wrappers import Request, Response

    from carawayfold.settings import Settings
    from carawayfold.transport.loop import Root

logger = logbook.Logger(__name__)

#: Terminator of the request headers.
HEADERS_END = b"\r\n\r\n"


class BoundedHTTP(HTTP):
    """HTTP parser component with limits for header size, body size and duration.

    Parameters
    ----------
    server : EdgeServer
        Server that the component belongs to.
    settings : Settings
        Provides the limits.
    """

    def __init__(self, server: EdgeServer, settings: Settings, **kwargs: str) -> None:
        super().__init__(server, **kwargs)
        self.settings = settings
        self.received: dict[socket, int] = {}
        self.timers: dict[socket, asyncio.TimerHandle] = {}

    @handler("read", override=True)
    def _on_read(self, sock: socket, data: bytes) -> None:
        if sock in self._clients and sock not in self._buffers:
            # Pipelining is not supported, and a response is still being sent.
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
        Provides the listen address and the limits.
    root : Root
        Component tree to process after an event is fired from asyncio code.
    serve : callable
        Called with a request and its response; responds with `answer` or `begin`.
    refuse : callable
        Called with a refusal; returns the bytes of a complete HTTP response.
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
        #: Callbacks by socket, called when the caller disconnects.
        self.disconnect_callbacks: dict[socket, Callable[[], None]] = {}
        self._display_banner = False
        bind = (settings.listen.host, settings.listen.port)
        self.server = DirectServer(bind, channel="web").register(self)
        self.server.limit = settings.connections
        self.http = BoundedHTTP(self, settings, channel="web").register(self)

    @handler("ready", override=True)
    def _on_ready(self, server: DirectServer, bind: tuple[str, int]) -> None:
        """Suppress the start-up banner of circuits."""

    @handler("request", priority=1)
    def _on_request(self, event: object, req: Request, res: Response) -> bool:
        event.stop()
        self.serve(req, res)
        return True

    def watch(self, req: Request, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` if the caller disconnects before the response."""
        self.disconnect_callbacks[req.sock] = on_disconnect

    def gone(self, sock: socket) -> None:
        """Call the callback for `sock`, whose caller has disconnected."""
        callback = self.disconnect_callbacks.pop(sock, None)
        if callback is not None:
            callback()

    def refuse(self, sock: socket, refusal: Refusal) -> None:
        """Reject a request that could not be parsed, and close the connection."""
        self.server.write(sock, self.refusal_bytes(refusal))
        self.server.close(sock)

    def answer(self, res: Response, body: bytes) -> None:
        """Send a complete response."""
        self.disconnect_callbacks.pop(res.request.sock, None)
        res.body = body
        self.fire(response(res))
        self.root_component.wake()

    def begin(self, res: Response) -> None:
        """Send the head of a streamed response."""
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
        """Send one chunk of a streamed response."""
        self.server.write(res.request.sock, b"%x\r\n%b\r\n" % (len(data), data))

    def end(self, res: Response) -> None:
        """Finish a streamed response."""
        self.disconnect_callbacks.pop(res.request.sock, None)
        self.server.write(res.request.sock, b"0\r\n\r\n")
        self._finish(res)

    def abort(self, res: Response) -> None:
        """Close the connection without a last chunk, so truncation is detected."""
        self.disconnect_callbacks.pop(res.request.sock, None)
        res.close = True
        self._finish(res)

    def _finish(self, res: Response) -> None:
        res.done = True
        sock = res.request.sock
        self.http._clients.pop(sock, None)
        if res.close:
            self.server.close(sock)
