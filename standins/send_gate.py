"""Holding back what a stand-in sends, on all of its connections at once."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SendGate:
    """Passes on what connections send, or holds it back until a time is over.

    Attributes
    ----------
    held : list
        Writes and closes that are held back, in their order.
    timer : asyncio.TimerHandle or None
        Ends the holding back; None while nothing is held back.
    """

    def __init__(self) -> None:
        self.held: list[Callable[[], None]] = []
        self.timer: asyncio.TimerHandle | None = None

    def hold(self, seconds: float) -> None:
        """Hold back all that is sent for some seconds from now; 0 ends it."""
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.release) if seconds else None
        if not seconds:
            self.release()

    def release(self) -> None:
        """Send all that was held back, and hold back nothing more."""
        self.timer = None
        held, self.held = self.held, []
        for act in held:
            act()

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send data, or hold it back."""
        self._act(partial(writer.write, data))

    def close(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection after all that was sent on it."""
        self._act(writer.close)

    def _act(self, act: Callable[[], None]) -> None:
        if self.timer is None:
            act()
        else:
            self.held.append(act)
