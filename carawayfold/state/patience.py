"""How long callers have waited already, told by the time that they have left."""

from __future__ import annotations

from collections import Counter

import msgspec

#: Times left that are remembered of a route before all counts are halved.
REMEMBERED = 400
#: Least count, and least part of all, of a time left that callers begin with. One
#: that comes back after a refusal has an odd number of milliseconds left.
LEAST_COUNT = 4
LEAST_PART = 0.04


class Patience(msgspec.Struct):
    """Times that callers of one route had left, in milliseconds.

    Callers begin with a fixed time, so a time that comes up again and again is one
    that callers begin with. The route's own time limit does not tell it: operators
    change that without callers knowing.
    """

    counts: Counter[int] = msgspec.field(default_factory=Counter)
    total: int = 0

    def waited(self, left: float) -> float:
        """Note the time left of a caller and return how long it has waited.

        Parameters
        ----------
        left : float
            Seconds that it has left.

        Returns
        -------
        float
            Seconds since the time that it began with; 0 where that is not known.
        """
        milliseconds = round(left * 1000)
        self._note(milliseconds)
        begun = [
            value
            for value, count in self.counts.items()
            if value >= milliseconds
            and count >= LEAST_COUNT
            and count >= LEAST_PART * self.total
        ]
        return (min(begun) - milliseconds) / 1000 if begun else 0.0

    def _note(self, milliseconds: int) -> None:
        self.counts[milliseconds] += 1
        self.total += 1
        if self.total < REMEMBERED:
            return
        halved = {value: count // 2 for value, count in self.counts.items()}
        self.counts = Counter(
            {value: count for value, count in halved.items() if count}
        )
        self.total = sum(self.counts.values())
