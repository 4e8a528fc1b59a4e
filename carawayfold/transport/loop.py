"""Integration of circuits components into the asyncio event loop, on one thread.

grpc.aio needs an asyncio loop, and circuits has a loop of its own. The asyncio loop
watches the epoll descriptor of the circuits poller; whenever it is ready, the
circuits event queue is processed until it is empty.
"""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Protocol, runtime_checkable

import logbook
from circuits import Component, handler
from circuits.core.pollers import EPoll

if TYPE_CHECKING:
    from socket import socket

logger = logbook.Logger(__name__)


@runtime_checkable
class DirectTarget(Protocol):
    """A component that is notified of readiness by a call instead of an event.

    An event passes through the queue and the dispatcher of circuits, which takes
    longer than a small read.
    """

    def on_readable(self, sock: socket) -> None:
        """Handle a readable socket."""

    def on_writable(self, sock: socket) -> None:
        """Handle a writable socket."""

    def on_hangup(self, sock: socket) -> None:
        """Release a socket whose connection was lost."""


class DirectPoller(EPoll):
    """Poller that calls `DirectTarget` components and fires events for others."""

    def __init__(self) -> None:
        super().__init__()
        #: Direct targets by socket; circuits itself stores only the event address of a
        #: component. Other components are left out, because a type check for each
        #: readiness notification takes longer than a small read.
        self.sources: dict[socket, DirectTarget] = {}
        #: Whether a class implements `DirectTarget`, cached as a check takes 60 us.
        self.direct: dict[type, bool] = {}

    def addReader(self, source: object, fd: socket) -> None:  # noqa: N802
        """Start watching a socket for readability."""
        self._register_target(source, fd)
        super().addReader(source, fd)

    def addWriter(self, source: object, fd: socket) -> None:  # noqa: N802
        """Start watching a socket for writability."""
        self._register_target(source, fd)
        super().addWriter(source, fd)

    def _register_target(self, source: object, fd: socket) -> None:
        kind = type(source)
        if kind not in self.direct:
            self.direct[kind] = isinstance(source, DirectTarget)
        if self.direct[kind]:
            self.sources[fd] = source

    def discard(self, fd: socket) -> None:
        """Stop watching a socket."""
        self.sources.pop(fd, None)
        super().discard(fd)

    def _process(self, fileno: int, event: int) -> None:
        sock = self._map.get(fileno)
        target = self.sources.get(sock)
        if target is None:
            super()._process(fileno, event)
            return
        try:
            self._call(target, sock, event)
        except Exception as error:
            logger.exception("a socket failed", extra={"reason": repr(error)})
            target.on_hangup(sock)

    def _call(self, target: DirectTarget, sock: socket, event: int) -> None:
        if event & self._disconnected_flag and not event & select.EPOLLIN:
            target.on_hangup(sock)
            return
        if event & select.EPOLLIN:
            target.on_readable(sock)
        if event & select.EPOLLOUT and self._map.get(sock.fileno()) is sock:
            target.on_writable(sock)


class Root(Component):
    """Root of the circuits tree, driven by the running asyncio loop.

    Attributes
    ----------
    poller : DirectPoller
        Poller for every circuits socket of the process.
    """

    channel = "root"

    def init(self) -> None:
        """Register the poller before any server."""
        self.poller = DirectPoller().register(self)
        self.pump_scheduled = False

    @handler("exception", channel="*")
    def _on_exception(
        self, kind: type, value: Exception, trace: object, **_: object
    ) -> None:
        logger.error("a handler failed", extra={"reason": repr(value), "at": trace})

    def attach(self) -> None:
        """Start processing the tree in the running asyncio loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.poller._poller.fileno(), self.pump)
        self.pump()

    def detach(self) -> None:
        """Stop processing the tree."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.poller._poller.fileno())

    def pump(self) -> None:
        """Poll the sockets, then process events until the queue is empty.

        The poller is not read by ``generate_events`` of circuits, which would block
        and needs one more event per iteration.
        """
        self.pump_scheduled = False
        for descriptor, flags in self.poller._poller.poll(0):
            self.poller._process(descriptor, flags)
        while len(self._queue) or self._tasks:
            for task in self._tasks.copy():
                self.processTask(*task)
            self.flush()

    def wake(self) -> None:
        """Schedule `pump`; needed after an event is fired from asyncio code."""
        if self.pump_scheduled:
            return
        self.pump_scheduled = True
        asyncio.get_running_loop().call_soon(self.pump)
