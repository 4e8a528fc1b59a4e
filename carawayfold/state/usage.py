"""Tokens requested by and granted to each organisation in a sliding window."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.state.ids import OrganisationId

#: Tokens that all organisations together may offer, as a multiple of the tokens
#: granted, before routers hold requests back. Leaves the leader enough to choose from.
HEADROOM = 2.0
#: Least fraction of its requests that an organisation may offer. A router learns a
#: higher fraction from the replies to its offers, so it must never stop offering.
MIN_ADMITTED_FRACTION = 0.02
#: Fraction of the tokens of the best served organisation below which another one is
#: underserved. Users accept one half at least; the margin covers the lag of the window.
BEHIND_FRACTION = 0.7


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share of `capacity`.

    Parameters
    ----------
    demands : iterable of float
        Demand of each participant.
    capacity : float
        Capacity to divide, in the unit of `demands`.

    Returns
    -------
    float
        Most that any participant gets. Participants that demand less get their
        demand; infinite if all demands fit.
    """
    remaining = capacity
    ordered = sorted(demands)
    for place, demand in enumerate(ordered):
        level = remaining / (len(ordered) - place)
        if demand > level:
            return level
        remaining -= demand
    return float("inf")


class WindowSum(msgspec.Struct):
    """Sum of the amounts added within a window."""

    total: float = 0.0
    entries: deque[tuple[float, float]] = msgspec.field(default_factory=deque)

    def add(self, now: float, amount: float) -> None:
        """Add an amount at time `now`, in monotonic seconds."""
        self.entries.append((now, amount))
        self.total += amount

    def expire(self, before: float) -> None:
        """Drop amounts added before a time, in monotonic seconds."""
        while self.entries and self.entries[0][0] < before:
            self.total -= self.entries.popleft()[1]


class OrganisationUsage(msgspec.Struct):
    """Tokens requested by and granted to one organisation within the window."""

    asked: WindowSum = msgspec.field(default_factory=WindowSum)
    granted: WindowSum = msgspec.field(default_factory=WindowSum)


class UsageTable:
    """Usage of every organisation that was active within the window.

    Parameters
    ----------
    window : float
        Length of the sliding window in seconds.
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self.usages: dict[OrganisationId, OrganisationUsage] = {}
        #: Max-min fair share in tokens per window, from the throughput.
        self.share_level = float("inf")
        #: Tokens per window that an organisation may offer before routers hold part
        #: of its requests back.
        self.offer_limit = float("inf")
        #: Tokens granted within the window to the best served organisation.
        self.max_granted = 0.0

    def asked(self, organisation: OrganisationId, now: float, tokens: float) -> None:
        """Record the tokens of a request."""
        self._usage_of(organisation).asked.add(now, tokens)

    def granted(self, organisation: OrganisationId, now: float, tokens: float) -> None:
        """Record the tokens of a request that is sent to an endpoint."""
        self._usage_of(organisation).granted.add(now, tokens)

    def refresh(self, now: float, throughput: float) -> None:
        """Recompute the fair shares of a throughput in tokens a second."""
        for organisation, usage in list(self.usages.items()):
            usage.asked.expire(now - self.window)
            usage.granted.expire(now - self.window)
            if not usage.asked.entries and not usage.granted.entries:
                del self.usages[organisation]
        self.max_granted = max(
            (usage.granted.total for usage in self.usages.values()), default=0.0
        )
        demands = [usage.asked.total for usage in self.usages.values()]
        capacity = throughput * self.window
        self.share_level = (
            max_min_level(demands, capacity) if throughput else float("inf")
        )
        granted = sum(usage.granted.total for usage in self.usages.values())
        self.offer_limit = max_min_level(demands, HEADROOM * granted)

    def is_within_share(self, organisation: OrganisationId, tokens: float) -> bool:
        """Return whether a request of `tokens` is within the organisation's share."""
        return (
            self._known_usage_of(organisation).granted.total + tokens
            <= self.share_level
        )

    def is_underserved(self, organisation: OrganisationId) -> bool:
        """Return whether an organisation got far less than the best served one.

        The comparison is limited to the tokens that it requested. It also applies
        above the shares, so that two overloading organisations get equal amounts.
        """
        usage = self._known_usage_of(organisation)
        due = min(usage.asked.total, self.max_granted)
        return usage.granted.total < BEHIND_FRACTION * due

    def admitted_part(self, organisation: OrganisationId) -> float:
        """Return the fraction of an organisation's requests to offer, 0 to 1.

        The tokens that may be offered are divided by max-min fairness, as grants are.
        An organisation below the common limit offers all its requests. So does an
        underserved one, as possibly few of its requests can meet their deadlines.
        """
        asked = self._known_usage_of(organisation).asked.total
        if asked <= self.offer_limit or self.is_underserved(organisation):
            return 1.0
        return max(MIN_ADMITTED_FRACTION, self.offer_limit / asked)

    def top_requesters(self, count: int) -> list[tuple[OrganisationId, float, float]]:
        """Return the organisations with the highest demand in the window.

        Returns
        -------
        list of tuple
            Organisation, tokens requested and tokens granted, highest demand first.
        """
        rows = [
            (organisation, usage.asked.total, usage.granted.total)
            for organisation, usage in self.usages.items()
        ]
        return heapq.nlargest(count, rows, key=lambda row: row[1])

    def _usage_of(self, organisation: OrganisationId) -> OrganisationUsage:
        return self.usages.setdefault(organisation, OrganisationUsage())

    def _known_usage_of(self, organisation: OrganisationId) -> OrganisationUsage:
        """Return the usage of an organisation to read it, without a new entry."""
        return self.usages.get(organisation) or OrganisationUsage()
