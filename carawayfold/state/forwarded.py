"""Counters and histograms of forwarded requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from carawayfold.state.metrics import MIN_MS, Metrics

if TYPE_CHECKING:
    from carawayfold.errors import ErrorKind
    from carawayfold.state.ids import OrganisationId, ServiceId


class ForwardMetrics:
    """Metrics of the requests that one router forwards.

    Attributes
    ----------
    organisations : Metrics
        Histograms and counters by organisation.
    refusals : Counter
        Refused requests by kind.
    barred_grants : Counter
        Grants returned unused, by the reason for which the endpoint could not be used.
    repeats, repeats_refused : Counter
        Retries by service, and those that the retry budget did not allow.
    resumed_streams : Counter
        Streams that callers resume, by the value of the `OriginSource` relied on.
    """

    def __init__(self) -> None:
        self.organisations = Metrics()
        self.refusals: Counter[ErrorKind] = Counter()
        self.barred_grants: Counter[str] = Counter()
        self.repeats: Counter[ServiceId] = Counter()
        self.repeats_refused: Counter[ServiceId] = Counter()
        self.resumed_streams: Counter[str] = Counter()

    def refused(self, kind: ErrorKind) -> None:
        """Count a refused request."""
        self.refusals[kind] += 1

    def record_retry(self, service: ServiceId, taken: bool) -> None:
        """Count a retry, or one that the budget did not allow if `taken` is False."""
        counter = self.repeats if taken else self.repeats_refused
        counter[service] += 1

    def ended(
        self,
        organisation: OrganisationId,
        end: str,
        waited: float,
        first: float | None,
    ) -> None:
        """Count the end of a request.

        Parameters
        ----------
        organisation : OrganisationId
            Organisation of the request.
        end : str
            How it ended: ``"whole"``, ``"cut"``, ``"caller left"`` or another value for
            a refused request.
        waited : float
            Seconds from arrival to the grant of a slot.
        first : float or None
            Seconds from arrival to the first byte of the answer; None without one.
        """
        metrics = self.organisations.of(organisation)
        metrics.wait.record_value(max(MIN_MS, round(waited * 1000)))
        if first is not None:
            metrics.first.record_value(max(MIN_MS, round(first * 1000)))
        if end == "whole":
            metrics.whole += 1
        elif end in ("cut", "caller left"):
            metrics.broken += 1
        else:
            metrics.refused += 1
