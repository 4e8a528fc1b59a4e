"""One loop on one thread: asyncio runs it, circuits components live in it.

grpc.aio needs an asyncio loop and circuits brings a loop of its own. Here the
asyncio loop watches the epoll descriptor of the circuits poller and runs the
circuits queue until it is empty whenever that descriptor is ready.
"""

from __future__ import annotations

import asyncio

import logbook
from circuits import Component, handler
from circuits.core.pollers import EPoll

logger = logbook.Logger(__name__)


class Root(Component):
    """Root of the circuits tree, driven by the running asyncio loop.

    Attributes
    ----------
    poller : EPoll
        Poller for every circuits socket of the process.
    """

    channel = "root"

    def init(self) -> None:
        """Register the poller before any server."""
        self.poller = EPoll().register(self)
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
