"""Whether this process keeps up with its work, told by how late its loop runs.

The load it answers: a balancer that sends one caller's connections to one instance,
and a caller that alone sends more than an instance can carry. What the instance can't
carry is refused at once, so that it comes back elsewhere while there is time; what it
can carry must not wait behind that. What is late by a moment's burst is not overload.
"""

from __future__ import annotations

from collections import deque

import msgspec

#: Samples of which the least delay counts: a process that stood still as a whole,
#: such as a suspended instance, has one late sample.
SAMPLES = 2
#: Seconds of delay up to which a loop keeps up: a tenth of the shortest objective
#: of the deployments served.
TARGET = 0.02
#: What a sample at the target adds to the part of requests that is refused; a later
#: one adds more in proportion, up to `STEEPEST` times as much. A loop that is late by
#: 0.1 s refuses half of the requests within two samples.
RISE = 0.05
STEEPEST = 5.0
#: What a sample in time takes off it again: slower, so that the load that was sent
#: away does not come back at once.
FALL = 0.01
#: Most that is refused, so that a process always serves something.
MOST = 0.95
#: Part refused from which a process should do nothing for others that these can do.
OVERLOADED = 0.3
#: Seconds without a refusal after which an instance welcomes connections again, so
#: that a balancer that asks once a second does not see each change.
CALM_AFTER = 2.0


class PressureGauge(msgspec.Struct):
    """The part of requests to refuse, from the newest delays of the loop.

    Attributes
    ----------
    part : float
        From 0, for a process that keeps up, to `MOST`.
    """

    part: float = 0.0
    delays: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=SAMPLES))
    drawn: float = 0.0
    busy_at: float = float("-inf")

    def note(self, delay: float, now: float) -> None:
        """Take a sample of the loop's delay, in seconds."""
        self.delays.append(delay)
        least = min(self.delays) if len(self.delays) == SAMPLES else 0.0
        if least > TARGET:
            self.part = min(MOST, self.part + RISE * min(STEEPEST, least / TARGET))
        else:
            self.part = max(0.0, self.part - FALL)
        if self.part > 0:
            self.busy_at = now

    def is_busy(self, now: float) -> bool:
        """Return whether new connections should go elsewhere."""
        return now - self.busy_at < CALM_AFTER

    def is_overloaded(self) -> bool:
        """Return whether this process should leave what it does for others to these."""
        return self.part >= OVERLOADED

    def refuses(self) -> bool:
        """Return whether the next request should be refused: `part` of them evenly."""
        self.drawn += self.part
        if self.drawn < 1:
            return False
        self.drawn -= 1
        return True
