"""Overload detection for this process, from the delay of its event loop.

It guards against a load balancer that sends all connections of one caller to one
instance, and a caller that sends more than an instance can process. Requests beyond the
capacity are rejected at once, so that callers retry at another instance before their
deadline, and so that other requests do not queue behind them. A delay caused by a short
burst does not count as overload.
"""

from __future__ import annotations

from collections import deque

import msgspec

#: Number of newest samples of which the least delay counts. A process that was paused
#: as a whole, such as a suspended instance, has only one late sample.
MIN_FILTER_SAMPLES = 2
#: Seconds of loop delay up to which a process is not overloaded: a tenth of the
#: shortest latency objective of the supported deployments.
TARGET_DELAY = 0.02
#: Increase of the rejected fraction per sample at the target delay. A longer delay adds
#: proportionally more, up to `MAX_INCREASE_FACTOR` times as much. A loop that is late
#: by 0.1 s rejects half of the requests within two samples.
FRACTION_INCREASE = 0.05
MAX_INCREASE_FACTOR = 5.0
#: Decrease of the rejected fraction per sample below the target delay. Slower than the
#: increase, so that the rejected load does not return at once.
FRACTION_DECREASE = 0.01
#: Largest rejected fraction, so that a process always serves some requests.
MAX_REJECTED_FRACTION = 0.95
#: Rejected fraction from which a process hands over tasks that other processes can do.
OVERLOAD_FRACTION = 0.3
#: Seconds without a rejection after which an instance accepts new connections again.
#: Keeps a load balancer that probes once a second from reacting to every change.
CALM_DURATION = 2.0


class OverloadDetector(msgspec.Struct):
    """The fraction of requests to reject, from the newest delays of the event loop.

    Attributes
    ----------
    part : float
        Fraction of requests to reject, from 0 to `MAX_REJECTED_FRACTION`.
    delays : deque of float
        Newest delays in seconds.
    accumulated : float
        Sum of the fractions since the last rejection, so that rejections are evenly
        spaced.
    last_busy_at : float
        Monotonic seconds at which the fraction was last above 0.
    """

    part: float = 0.0
    delays: deque[float] = msgspec.field(
        default_factory=lambda: deque(maxlen=MIN_FILTER_SAMPLES)
    )
    accumulated: float = 0.0
    last_busy_at: float = float("-inf")

    def note(self, delay: float, now: float) -> None:
        """Update the fraction with a delay of the loop; both arguments in seconds."""
        self.delays.append(delay)
        least = min(self.delays) if len(self.delays) == MIN_FILTER_SAMPLES else 0.0
        if least > TARGET_DELAY:
            self.part = min(
                MAX_REJECTED_FRACTION,
                self.part
                + FRACTION_INCREASE * min(MAX_INCREASE_FACTOR, least / TARGET_DELAY),
            )
        else:
            self.part = max(0.0, self.part - FRACTION_DECREASE)
        if self.part > 0:
            self.last_busy_at = now

    def is_busy(self, now: float) -> bool:
        """Return whether new connections should go to other instances."""
        return now - self.last_busy_at < CALM_DURATION

    def is_overloaded(self) -> bool:
        """Return whether tasks that other processes can do should be handed over."""
        return self.part >= OVERLOAD_FRACTION

    def should_reject(self) -> bool:
        """Return whether to reject the next request, a fraction `part` of all."""
        self.accumulated += self.part
        if self.accumulated < 1:
            return False
        self.accumulated -= 1
        return True
