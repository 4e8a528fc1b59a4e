"""Counts of offers and grants of a route at a scheduler."""

from __future__ import annotations

import msgspec

#: Half-life in seconds of the offer and grant counts of a route.
SERVED_HALF_LIFE = 5.0


class RouteStatistics(msgspec.Struct):
    """Exponentially decaying counts of offers and grants of one route.

    Attributes
    ----------
    offered, granted : float
        Decayed numbers of requests.
    updated_at : float
        Monotonic seconds of the last decay.
    """

    offered: float = 0.0
    granted: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to `now`, in monotonic seconds."""
        factor = 0.5 ** ((now - self.updated_at) / SERVED_HALF_LIFE)
        self.offered *= factor
        self.granted *= factor
        self.updated_at = now

    def granted_ratio(self) -> float:
        """Return the fraction of offered requests that were granted; 1 if none were."""
        return self.granted / self.offered if self.offered else 1.0
