"""Health of endpoints, estimated from their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.state.ids import EndpointId

#: Factor applied to the used fraction of an endpoint's slots for each failure.
FAILURE_FACTOR = 0.5
#: Lower limit of the used fraction after failures.
MIN_FACTOR = 0.05
#: Increase of the used fraction for each success.
SUCCESS_INCREMENT = 0.05
#: Consecutive failures after which an endpoint gets no requests for some time.
FAILURES_BEFORE_BACKOFF = 3
#: Seconds of the first backoff, doubled by each further failure, and the upper limit.
MIN_BACKOFF_DURATION = 0.5
MAX_BACKOFF_DURATION = 8.0


class EndpointHealth(msgspec.Struct):
    """Health of one endpoint.

    Attributes
    ----------
    factor : float
        Fraction of the endpoint's slots to use, 0 to 1.
    failures : int
        Consecutive failures.
    backoff_until : float
        Monotonic seconds until which it gets no requests.
    """

    factor: float = 1.0
    failures: int = 0
    backoff_until: float = 0.0


class EndpointHealthTracker:
    """Health of every endpoint that this router has used.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        #: Endpoints with a factor below 1.
        self.entries: dict[EndpointId, EndpointHealth] = {}

    def failed(self, endpoint: EndpointId) -> None:
        """Record a failure that the endpoint caused, not the content of a request."""
        entry = self.entries.setdefault(endpoint, EndpointHealth())
        entry.failures += 1
        entry.factor = max(MIN_FACTOR, entry.factor * FAILURE_FACTOR)
        excess = entry.failures - FAILURES_BEFORE_BACKOFF
        if excess >= 0:
            backoff = min(MAX_BACKOFF_DURATION, MIN_BACKOFF_DURATION * 2**excess)
            entry.backoff_until = self.clock() + backoff

    def succeeded(self, endpoint: EndpointId) -> None:
        """Record a complete response."""
        entry = self.entries.get(endpoint)
        if entry is None:
            return
        entry.failures = 0
        entry.backoff_until = 0.0
        entry.factor += SUCCESS_INCREMENT
        if entry.factor >= 1.0:
            del self.entries[endpoint]

    def factor(self, endpoint: EndpointId) -> float:
        """Return the fraction of the endpoint's slots to use, 0 during a backoff."""
        entry = self.entries.get(endpoint)
        if entry is None:
            return 1.0
        if self.clock() < entry.backoff_until:
            return 0.0
        return entry.factor
