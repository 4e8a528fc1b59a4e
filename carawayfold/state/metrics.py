"""Histograms and counters of the most recently active organisations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from carawayfold.state.ids import OrganisationId

#: Range of the histograms in milliseconds, and their precision in significant digits.
MIN_MS = 1
MAX_MS = 600_000
SIGNIFICANT_DIGITS = 2
#: Most organisations with separate metrics. Beyond it the least recently active one is
#: merged into `OTHERS`.
MAX_ORGANISATIONS = 64
#: Name under which organisations without separate metrics are counted.
OTHERS = "(others)"


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)


class OrganisationMetrics(msgspec.Struct):
    """Metrics of one organisation.

    Attributes
    ----------
    wait : HdrHistogram
        Milliseconds from arrival to the grant of a slot.
    first : HdrHistogram
        Milliseconds from arrival to the first byte of the answer.
    whole, refused, broken : int
        Requests by their end: answered completely, refused, or broken off, by the
        endpoint or by the caller.
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
        """Merge `other` into these metrics."""
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
        """Return the metrics of `organisation`, and mark it as the most recent one."""
        metrics = self.organisations.pop(organisation, None)
        if metrics is None:
            self._fold_oldest()
            metrics = OrganisationMetrics()
        self.organisations[organisation] = metrics
        return metrics

    def _fold_oldest(self) -> None:
        if len(self.organisations) < MAX_ORGANISATIONS:
            return
        others = self.organisations.pop(OTHERS, None) or OrganisationMetrics()
        oldest = next(iter(self.organisations))
        others.add(self.organisations.pop(oldest))
        self.organisations[OTHERS] = others
