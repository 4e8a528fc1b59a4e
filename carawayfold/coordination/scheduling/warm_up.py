"""Requests that an endpoint gets since it was last confirmed not to warm up."""

from __future__ import annotations

import math
from collections import deque

import msgspec

#: Seconds within which the unconfirmed grants to an endpoint are limited. Longer than
#: the second for which endpoints limit requests, as grants arrive unevenly delayed.
UNCONFIRMED_WINDOW = 1.1
#: Seconds after which a confirmation is expected, unless the last one failed.
EXPECTED_CONFIRMATION_DELAY = 0.02
#: Fraction of the allowance above which a confirmation is due, so that it arrives
#: before the allowance is used up.
DUE_FRACTION = 0.75
#: Seconds between a failed health check of an endpoint and the next one.
RETRY_DELAY = 0.25


class WarmUpState(msgspec.Struct):
    """What a scheduler knows about the warm-up of an endpoint beside its entry.

    An endpoint may begin to warm up at any moment. As long as its entry can't be
    written, or a reader can't read it, only a confirmation shows that it has not: a
    read of the store, or an answer of its health check, that began after a grant. All
    times are in monotonic seconds.

    Attributes
    ----------
    until : float
        Time until which it warms up, as its health check stated.
    unconfirmed : deque of float
        Times of the grants since the last confirmation, the oldest first.
    confirmation_failed : bool
        Whether the last attempt to get a confirmation failed.
    retry_at : float
        Time from which another attempt may be made.
    """

    until: float = -math.inf
    unconfirmed: deque[float] = msgspec.field(default_factory=deque)
    confirmation_failed: bool = False
    retry_at: float = -math.inf

    def record_grant(self, now: float) -> None:
        """Record a request that is granted to the endpoint."""
        self.unconfirmed.append(now)

    def confirm(self, since: float) -> None:
        """Record that the endpoint did not warm up at `since`."""
        self.confirmation_failed = False
        while self.unconfirmed and self.unconfirmed[0] <= since:
            self.unconfirmed.popleft()

    def begin(self, until: float) -> None:
        """Record that the endpoint warms up."""
        self.confirmation_failed = False
        self.until = until

    def fail(self, now: float) -> None:
        """Record that the endpoint did not state whether it warms up."""
        self.confirmation_failed = True
        self.retry_at = now + RETRY_DELAY

    def count(self, now: float) -> int:
        """Return the number of unconfirmed grants within the window."""
        while self.unconfirmed and self.unconfirmed[0] <= now - UNCONFIRMED_WINDOW:
            self.unconfirmed.popleft()
        return len(self.unconfirmed)

    def next_grant_in(self, now: float) -> float:
        """Return the seconds until a further grant, once the allowance is used up."""
        if not self.confirmation_failed or not self.unconfirmed:
            return EXPECTED_CONFIRMATION_DELAY
        return self.unconfirmed[0] + UNCONFIRMED_WINDOW - now


def allowance(rate: float, leads: bool) -> int:
    """Return the unconfirmed grants that a router may make to one endpoint.

    Parameters
    ----------
    rate : float
        Requests per second that the endpoint tolerates while it warms up.
    leads : bool
        Whether the router leads the pool. Those that decide without leading are many,
        and none knows the grants of the others.
    """
    return max(1, math.floor(rate)) if leads else 1


def is_confirmation_due(granted: int, allowed: int) -> bool:
    """Return whether an endpoint with so many unconfirmed grants needs confirmation."""
    return granted >= max(1, math.floor(DUE_FRACTION * allowed))
