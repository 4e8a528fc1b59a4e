"""Health of endpoints, judged by their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.state.ids import EndpointId

#: Factor by which a failure cuts the share of slots that is used.
CUT = 0.5
#: Least share that a success starts from.
LEAST = 0.05
#: Share regained by each success.
REGAIN = 0.05
#: Failures in a row after which an endpoint rests.
FAILURES_TO_REST = 3
#: Seconds of the first rest; each further one is twice as long.
FIRST_REST = 0.5
LONGEST_REST = 8.0


class EndpointHealth(msgspec.Struct):
    """Experience with one endpoint.

    Attributes
    ----------
    factor : float
        Share of the endpoint's slots to use, 0 to 1.
    failures : int
        Failures in a row.
    rests_until : float
        Monotonic seconds before which it gets nothing.
    """

    factor: float = 1.0
    failures: int = 0
    rests_until: float = 0.0


class HealthBook:
    """Health of every endpoint that this router has used.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        #: Endpoints that are not fully healthy.
        self.entries: dict[EndpointId, EndpointHealth] = {}

    def failed(self, endpoint: EndpointId) -> None:
        """Note a failure of the endpoint, not of a request's content."""
        entry = self.entries.setdefault(endpoint, EndpointHealth())
        entry.failures += 1
        entry.factor = max(LEAST, entry.factor * CUT)
        over = entry.failures - FAILURES_TO_REST
        if over >= 0:
            rest = min(LONGEST_REST, FIRST_REST * 2**over)
            entry.rests_until = self.clock() + rest

    def succeeded(self, endpoint: EndpointId) -> None:
        """Note a whole answer."""
        entry = self.entries.get(endpoint)
        if entry is None:
            return
        entry.failures = 0
        entry.rests_until = 0.0
        entry.factor += REGAIN
        if entry.factor >= 1.0:
            del self.entries[endpoint]

    def factor(self, endpoint: EndpointId) -> float:
        """Return the share of the endpoint's slots to use, 0 while it rests."""
        entry = self.entries.get(endpoint)
        if entry is None:
            return 1.0
        if self.clock() < entry.rests_until:
            return 0.0
        return entry.factor
