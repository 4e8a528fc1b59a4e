"""Whether this process keeps up with its work, told by how late its loop runs.

The load it answers: a balancer that sends one caller's connections to one instance,
and a caller that alone sends more than an instance can carry. What is late by a
moment's burst is not overload; a delay that never falls low for a while is.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

#: Samples of which the least delay counts: more than a burst of a few requests
#: makes late, and more than the one of a process that stood still as a whole.
SAMPLES = 5
#: Seconds of delay that never fall lower in that many samples, above which new
#: connections should go elsewhere: a twentieth of what callers wait for at most.
BUSY_DELAY = 0.03
#: The same, above which new requests are better off elsewhere: a fifth of the
#: shortest objective of the deployments served.
FULL_DELAY = 0.08
#: Seconds without such a delay after which an instance welcomes connections again,
#: so that a balancer that asks once a second does not see each change.
CALM_AFTER = 2.0


class Pressure(Enum):
    """How much new work a process should take."""

    CALM = "calm"
    BUSY = "busy"
    FULL = "full"


@dataclass(slots=True)
class PressureGauge:
    """Level of pressure from the newest delays of the loop.

    Attributes
    ----------
    level : Pressure
        As of the last sample.
    """

    level: Pressure = Pressure.CALM
    delays: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    busy_at: float = float("-inf")

    def note(self, delay: float, now: float) -> Pressure:
        """Take a sample of the loop's delay in seconds and return the level."""
        self.delays.append(delay)
        least = min(self.delays) if len(self.delays) == SAMPLES else 0.0
        if least >= BUSY_DELAY:
            self.busy_at = now
        if least >= FULL_DELAY:
            self.level = Pressure.FULL
        elif now - self.busy_at < CALM_AFTER:
            self.level = Pressure.BUSY
        else:
            self.level = Pressure.CALM
        return self.level
