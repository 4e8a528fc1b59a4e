"""One loop on one thread: asyncio runs it, circuits components live in it.

grpc.aio needs an asyncio loop and circuits brings a loop of its own. Here the
asyncio loop watches the epoll descriptor of the circuits poller and runs the
circuits queue until it is empty whenever that descriptor is ready.
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
    """A component that takes readiness by a call instead of by an event.

    An event goes through the library's queue and dispatcher, which costs more than
    a small read itself.
    """

    def on_readable(self, sock: socket) -> None:
        """Read from a socket."""

    def on_writable(self, sock: socket) -> None:
        """Write to a socket."""

    def on_hangup(self, sock: socket) -> None:
        """Let go of a socket whose connection is lost."""


class DirectPoller(EPoll):
    """Poller that calls a `DirectTarget` and fires events for all others."""

    def __init__(self) -> None:
        super().__init__()
        #: Components by their sockets; the library keeps their channels only. Those
        #: that take no calls are left out: to ask at each readiness what a component
        #: can do takes longer than a small read.
        self.sources: dict[socket, DirectTarget] = {}
        #: Whether components of a class are direct targets; to ask takes 60 us.
        self.direct: dict[type, bool] = {}

    def addReader(self, source: object, fd: socket) -> None:  # noqa: N802
        """Watch a socket for what can be read."""
        self._know(source, fd)
        super().addReader(source, fd)

    def addWriter(self, source: object, fd: socket) -> None:  # noqa: N802
        """Watch a socket for room to write."""
        self._know(source, fd)
        super().addWriter(source, fd)

    def _know(self, source: object, fd: socket) -> None:
        kind = type(source)
        if kind not in self.direct:
            self.direct[kind] = isinstance(source, DirectTarget)
        if self.direct[kind]:
            self.sources[fd] = source

    def discard(self, fd: socket) -> None:
        """Watch a socket no longer."""
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
        """Start to drive the tree from the running asyncio loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.poller._poller.fileno(), self.pump)
        self.pump()

    def detach(self) -> None:
        """Stop to drive the tree."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.poller._poller.fileno())

    def pump(self) -> None:
        """Take what the poller has, then run the tree until its queue is empty.

        The poller is read here and not by the library's ``generate_events``,
        which would block and costs an event a round.
        """
        self.pump_scheduled = False
        for descriptor, flags in self.poller._poller.poll(0):
            self.poller._process(descriptor, flags)
        while len(self._queue) or self._tasks:
            for task in self._tasks.copy():
                self.processTask(*task)
            self.flush()

    def wake(self) -> None:
        """Run the tree soon, after an event was fired from asyncio."""
        if self.pump_scheduled:
            return
        self.pump_scheduled = True
        asyncio.get_running_loop().call_soon(self.pump)
