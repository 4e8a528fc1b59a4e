"""Histograms and counters, kept for active organisations only."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from carawayfold.state.ids import OrganisationId

#: Range of the histograms in milliseconds, and their significant digits.
LEAST_MS = 1
MOST_MS = 600_000
DIGITS = 2
#: Organisations with histograms of their own; the least recent one that is above
#: this is folded into `OTHERS`.
ORGANISATIONS_KEPT = 64
#: Name under which organisations without histograms of their own are counted.
OTHERS = "(others)"


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(LEAST_MS, MOST_MS, DIGITS)


class OrganisationMetrics(msgspec.Struct):
    """What is measured of one organisation.

    Attributes
    ----------
    wait : HdrHistogram
        Milliseconds from arrival to the grant of a slot.
    first : HdrHistogram
        Milliseconds from arrival to the first byte of the answer.
    whole, refused, broken : int
        Requests by their end.
    service : float
        Service units received.
    """

    wait: HdrHistogram = msgspec.field(default_factory=new_histogram)
    first: HdrHistogram = msgspec.field(default_factory=new_histogram)
    whole: int = 0
    refused: int = 0
    broken: int = 0
    service: float = 0.0

    def add(self, other: OrganisationMetrics) -> None:
        """Fold `other` into this one."""
        self.wait.add(other.wait)
        self.first.add(other.first)
        self.whole += other.whole
        self.refused += other.refused
        self.broken += other.broken
        self.service += other.service


class Metrics:
    """Metrics of one router."""

    def __init__(self) -> None:
        #: By organisation, the most recently active one last.
        self.organisations: dict[OrganisationId | str, OrganisationMetrics] = {}

    def of(self, organisation: OrganisationId) -> OrganisationMetrics:
        """Return the metrics of `organisation`, now the most recent one."""
        metrics = self.organisations.pop(organisation, None)
        if metrics is None:
            self._make_room()
            metrics = OrganisationMetrics()
        self.organisations[organisation] = metrics
        return metrics

    def _make_room(self) -> None:
        if len(self.organisations) < ORGANISATIONS_KEPT:
            return
        others = self.organisations.pop(OTHERS, None) or OrganisationMetrics()
        oldest = next(iter(self.organisations))
        others.add(self.organisations.pop(oldest))
        self.organisations[OTHERS] = others
