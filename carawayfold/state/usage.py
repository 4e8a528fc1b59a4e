"""What each organisation asked for and was granted in a sliding window."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.state.ids import OrganisationId

#: Times what is granted that organisations may ask for together before part of it is
#: held back: enough to choose from.
HEADROOM = 2.0
#: Least part of its requests that an organisation may offer: who is told nothing more
#: could not be told that there is room again.
LEAST_ADMITTED = 0.02
#: Part of what the best served organisation got, below which one is behind; half
#: would be the least that users accept, and the window lags.
BEHIND = 0.7


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the largest share that everybody may take of `capacity`.

    Parameters
    ----------
    demands : iterable of float
        What each one asks for.
    capacity : float
        What there is, in the same unit.

    Returns
    -------
    float
        Those who ask for less get what they ask; infinite if all do.
    """
    left = capacity
    ordered = sorted(demands)
    for place, demand in enumerate(ordered):
        level = left / (len(ordered) - place)
        if demand > level:
            return level
        left -= demand
    return float("inf")


class WindowSum(msgspec.Struct):
    """Sum of the amounts noted within a window."""

    total: float = 0.0
    entries: deque[tuple[float, float]] = msgspec.field(default_factory=deque)

    def add(self, now: float, amount: float) -> None:
        """Note an amount."""
        self.entries.append((now, amount))
        self.total += amount

    def expire(self, before: float) -> None:
        """Forget what was noted before a time."""
        while self.entries and self.entries[0][0] < before:
            self.total -= self.entries.popleft()[1]


class OrganisationUsage(msgspec.Struct):
    """Tokens that one organisation asked for and was granted."""

    asked: WindowSum = msgspec.field(default_factory=WindowSum)
    granted: WindowSum = msgspec.field(default_factory=WindowSum)


class UsageBook:
    """Usage of every organisation that was active within the window.

    Parameters
    ----------
    window : float
        Seconds.
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self.book: dict[OrganisationId, OrganisationUsage] = {}
        self.level = float("inf")
        #: Tokens in the window that an organisation may ask for before a part of it
        #: is held back.
        self.admitted = float("inf")
        self.most_granted = 0.0

    def asked(self, organisation: OrganisationId, now: float, tokens: float) -> None:
        """Note a request."""
        self._of(organisation).asked.add(now, tokens)

    def granted(self, organisation: OrganisationId, now: float, tokens: float) -> None:
        """Note that a request goes to an endpoint."""
        self._of(organisation).granted.add(now, tokens)

    def refresh(self, now: float, throughput: float) -> None:
        """Work out each one's share of `throughput` tokens a second anew."""
        for organisation, usage in list(self.book.items()):
            usage.asked.expire(now - self.window)
            usage.granted.expire(now - self.window)
            if not usage.asked.entries and not usage.granted.entries:
                del self.book[organisation]
        self.most_granted = max(
            (usage.granted.total for usage in self.book.values()), default=0.0
        )
        demands = [usage.asked.total for usage in self.book.values()]
        capacity = throughput * self.window
        self.level = max_min_level(demands, capacity) if throughput else float("inf")
        granted = sum(usage.granted.total for usage in self.book.values())
        self.admitted = max_min_level(demands, HEADROOM * granted)

    def is_owed(self, organisation: OrganisationId, tokens: float) -> bool:
        """Return whether a request of `tokens` is within the organisation's share."""
        return self._of(organisation).granted.total + tokens <= self.level

    def is_behind(self, organisation: OrganisationId) -> bool:
        """Return whether an organisation has got far less than the best served one.

        What it did not ask for does not count. That holds beyond the shares too:
        two floods get alike.
        """
        usage = self._of(organisation)
        due = min(usage.asked.total, self.most_granted)
        return usage.granted.total < BEHIND * due

    def admitted_part(self, organisation: OrganisationId) -> float:
        """Return the part of an organisation's requests to be offered, 0 to 1.

        All that may be offered is shared out as what is granted is: those who ask for
        less than the common level offer all of it, and so do those who got far less
        than others, whose requests may be such that few of them can be in time.
        """
        asked = self._of(organisation).asked.total
        if asked <= self.admitted or self.is_behind(organisation):
            return 1.0
        return max(LEAST_ADMITTED, self.admitted / asked)

    def most_asked(self, count: int) -> list[tuple[OrganisationId, float, float]]:
        """Return who asked for most in the window, with tokens asked and granted."""
        rows = [
            (organisation, usage.asked.total, usage.granted.total)
            for organisation, usage in self.book.items()
        ]
        return heapq.nlargest(count, rows, key=lambda row: row[1])

    def _of(self, organisation: OrganisationId) -> OrganisationUsage:
        return self.book.setdefault(organisation, OrganisationUsage())
