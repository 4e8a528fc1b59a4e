"""Estimates how long callers have waited already, from the time to their deadlines."""

from __future__ import annotations

from collections import Counter

import msgspec

#: Number of samples of a route at which all counts are halved.
MAX_SAMPLES = 400
#: Least count, and least fraction of all samples, at which a value is taken for an
#: initial time-out of callers. Callers that retry after a rejection have arbitrary
#: values left, none of which is frequent.
MIN_COUNT = 4
MIN_FRACTION = 0.04


class WaitEstimator(msgspec.Struct):
    """Distribution of the time that callers of one route have to their deadlines.

    Callers begin with a fixed time-out, so a frequent value is the initial time-out of
    some callers. The time-out configured for the route cannot be used instead, as
    operators change it independently of the callers.

    Attributes
    ----------
    counts : Counter of int
        Number of samples by milliseconds to the deadline.
    total : int
        Sum of the counts.
    """

    counts: Counter[int] = msgspec.field(default_factory=Counter)
    total: int = 0

    def waited(self, left: float) -> float:
        """Record the time left of a caller and return how long it has waited.

        Parameters
        ----------
        left : float
            Seconds to the deadline of the caller.

        Returns
        -------
        float
            Estimated seconds since its first attempt: the difference to the least
            initial time-out that is not shorter; 0 if there is none.
        """
        milliseconds = round(left * 1000)
        self._record(milliseconds)
        initial = [
            value
            for value, count in self.counts.items()
            if value >= milliseconds
            and count >= MIN_COUNT
            and count >= MIN_FRACTION * self.total
        ]
        return (min(initial) - milliseconds) / 1000 if initial else 0.0

    def _record(self, milliseconds: int) -> None:
        self.counts[milliseconds] += 1
        self.total += 1
        if self.total < MAX_SAMPLES:
            return
        halved = {value: count // 2 for value, count in self.counts.items()}
        self.counts = Counter(
            {value: count for value, count in halved.items() if count}
        )
        self.total = sum(self.counts.values())
