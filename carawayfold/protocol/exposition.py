"""Metrics of a router in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from carawayfold.application import Application
    from carawayfold.state.metrics import OrganisationMetrics

#: Exported percentiles.
QUANTILES = (50.0, 95.0, 99.0)


class Collector:
    """Collects the metrics of a router.

    Parameters
    ----------
    application : Application
        Router to collect from.
    """

    def __init__(self, application: Application) -> None:
        self.application = application

    def collect(self) -> Iterator[Metric]:
        """Yield one metric family per quantity."""
        organisations = self.application.metrics.organisations
        yield from organisation_requests(organisations)
        yield from organisation_times(organisations)
        meter = self.application.links.meter
        yield CounterMetricFamily(
            "carawayfold_control_bytes", "Sent to peers", value=meter.sent_bytes
        )
        yield CounterMetricFamily(
            "carawayfold_control_frames", "Sent to peers", value=meter.sent_frames
        )
        yield CounterMetricFamily(
            "carawayfold_log_appends",
            "Appends to the platform's log",
            value=self.application.log_appends(),
        )
        waiting = sum(q.total for q in self.application.dispatcher.queues.values())
        yield GaugeMetricFamily("carawayfold_waiting", "Requests", value=waiting)
        running = sum(self.application.dispatcher.in_flight.values())
        yield GaugeMetricFamily("carawayfold_in_flight", "Requests", value=running)


def organisation_requests(
    organisations: dict[str, OrganisationMetrics],
) -> Iterator[Metric]:
    """Yield completed requests and service received, by organisation."""
    requests = CounterMetricFamily(
        "carawayfold_requests", "Ended requests", labels=("organisation", "end")
    )
    service = CounterMetricFamily(
        "carawayfold_service", "Service units received", labels=("organisation",)
    )
    for name, metrics in organisations.items():
        for end in ("whole", "refused", "broken"):
            requests.add_metric((name, end), getattr(metrics, end))
        service.add_metric((name,), metrics.service)
    yield requests
    yield service


def organisation_times(
    organisations: dict[str, OrganisationMetrics],
) -> Iterator[Metric]:
    """Yield quantiles of wait and time to first byte, by organisation."""
    for measure in ("wait", "first"):
        family = GaugeMetricFamily(
            f"carawayfold_{measure}_milliseconds",
            f"Quantiles of {measure}",
            labels=("organisation", "quantile"),
        )
        count = SummaryMetricFamily(
            f"carawayfold_{measure}_count_milliseconds",
            f"Requests counted in {measure}",
            labels=("organisation",),
        )
        for name, metrics in organisations.items():
            histogram = getattr(metrics, measure)
            total = histogram.get_total_count()
            mean = histogram.get_mean_value() if total else 0
            count.add_metric((name,), total, mean * total)
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                family.add_metric((name, str(quantile / 100)), value)
        yield family
        yield count


def render(application: Application) -> bytes:
    """Return the metrics of a router as text."""
    registry = CollectorRegistry()
    registry.register(Collector(application))
    return generate_latest(registry)
