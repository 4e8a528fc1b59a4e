"""Counters and histograms of forwarded requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from carawayfold.state.metrics import LEAST_MS, Metrics

if TYPE_CHECKING:
    from carawayfold.errors import ErrorKind
    from carawayfold.state.ids import OrganisationId, ServiceId


class ForwardMetrics:
    """What one router measures of the requests that it forwards.

    Attributes
    ----------
    organisations : Metrics
        Histograms by organisation.
    refusals : Counter
        Refusals by their kind.
    barred_grants : Counter
        Grants given back by what their router did not know of the endpoint.
    repeats, repeats_refused : Counter
        By service, attempts at a further endpoint, and those that the budget refused.
    """

    def __init__(self) -> None:
        self.organisations = Metrics()
        self.refusals: Counter[ErrorKind] = Counter()
        self.barred_grants: Counter[str] = Counter()
        self.repeats: Counter[ServiceId] = Counter()
        self.repeats_refused: Counter[ServiceId] = Counter()

    def refused(self, kind: ErrorKind) -> None:
        """Count a refusal."""
        self.refusals[kind] += 1

    def repeated(self, service: ServiceId, taken: bool) -> None:
        """Count a repeat, or one that the budget had no room for."""
        counter = self.repeats if taken else self.repeats_refused
        counter[service] += 1

    def ended(
        self,
        organisation: OrganisationId,
        end: str,
        waited: float,
        first: float | None,
    ) -> None:
        """Count the end of a request; times in seconds."""
        metrics = self.organisations.of(organisation)
        metrics.wait.record_value(max(LEAST_MS, round(waited * 1000)))
        if first is not None:
            metrics.first.record_value(max(LEAST_MS, round(first * 1000)))
        if end == "whole":
            metrics.whole += 1
        elif end in ("cut", "caller left"):
            metrics.broken += 1
        else:
            metrics.refused += 1
