"""Counts and logs requests that were refused because this process was too late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from carawayfold.errors import ErrorKind

if TYPE_CHECKING:
    from carawayfold.state.forwarded import ForwardMetrics

logger = logbook.Logger(__name__)

#: Lines a second on such refusals: a process that is late has no time for more. The
#: next line says how many were left out.
LINES_PER_SECOND = 20


class ShedLog:
    """Notes each refusal, and writes a line on some of them.

    Attributes
    ----------
    count : int
        Requests refused since the start.
    """

    def __init__(self, metrics: ForwardMetrics) -> None:
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.count = 0
        self.left_out = 0
        self.second = 0
        self.lines = 0

    def note(self, request: str) -> None:
        """Note the refusal of a request."""
        self.count += 1
        self.metrics.refused(ErrorKind.OVERLOADED)
        second = int(self.loop.time())
        if second != self.second:
            self.second = second
            self.lines = 0
        if self.lines >= LINES_PER_SECOND:
            self.left_out += 1
            return
        self.lines += 1
        logger.info(
            "request refused",
            extra={
                "request": request,
                "kind": ErrorKind.OVERLOADED.value,
                "reason": "this instance is too busy",
                "left_out_before": self.left_out,
            },
        )
        self.left_out = 0
