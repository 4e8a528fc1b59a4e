"""Counts and logs requests that were refused because this process is overloaded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from carawayfold.errors import ErrorKind

if TYPE_CHECKING:
    from carawayfold.state.forwarded import ForwardMetrics

logger = logbook.Logger(__name__)

#: Most log lines a second for such refusals, since logging more would add to the
#: overload. The next line states how many were suppressed.
MAX_LINES_PER_SECOND = 20


class ShedLog:
    """Counts refusals and logs at most `MAX_LINES_PER_SECOND` of them a second.

    Parameters
    ----------
    metrics : ForwardMetrics
        Where refusals are counted by kind.

    Attributes
    ----------
    count : int
        Requests refused since the start of the process.
    suppressed : int
        Refusals since the last log line that were not logged.
    current_second : int
        Second of loop time to which `lines_this_second` applies.
    lines_this_second : int
        Lines logged in that second.
    """

    def __init__(self, metrics: ForwardMetrics) -> None:
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.count = 0
        self.suppressed = 0
        self.current_second = 0
        self.lines_this_second = 0

    def note(self, request: str) -> None:
        """Count the refusal of the request with the id `request`."""
        self.count += 1
        self.metrics.refused(ErrorKind.OVERLOADED)
        current_second = int(self.loop.time())
        if current_second != self.current_second:
            self.current_second = current_second
            self.lines_this_second = 0
        if self.lines_this_second >= MAX_LINES_PER_SECOND:
            self.suppressed += 1
            return
        self.lines_this_second += 1
        logger.info(
            "request refused",
            extra={
                "request": request,
                "kind": ErrorKind.OVERLOADED.value,
                "reason": "this instance is too busy",
                "left_out_before": self.suppressed,
            },
        )
        self.suppressed = 0
