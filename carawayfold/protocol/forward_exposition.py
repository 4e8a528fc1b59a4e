"""Metrics of a forwarding router in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from carawayfold.protocol.exposition import organisation_requests, organisation_times
from carawayfold.state.positions import offset_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from carawayfold.gateway import Gateway


#: Content type of the output of `render`.
CONTENT_TYPE = CONTENT_TYPE_LATEST


class ForwardCollector:
    """Collects the metrics of a forwarding router.

    Parameters
    ----------
    gateway : Gateway
        Router to collect from.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def collect(self) -> Iterator[Metric]:
        """Yield one metric family per quantity."""
        gateway = self.gateway
        organisations = gateway.metrics.organisations.organisations
        yield from organisation_requests(organisations)
        yield from organisation_times(organisations)
        refusals = CounterMetricFamily(
            "carawayfold_refusals", "Refused requests", labels=("kind",)
        )
        for kind, count in gateway.metrics.refusals.items():
            refusals.add_metric((kind.value,), count)
        yield refusals
        closed = CounterMetricFamily(
            "carawayfold_closed_connections",
            "Closed connections of callers",
            labels=("reason",),
        )
        for reason, count in gateway.front.closed.items():
            closed.add_metric((reason.value,), count)
        yield closed
        memory = gateway.front.memory
        yield GaugeMetricFamily(
            "carawayfold_held_bytes",
            "Memory that callers' requests hold, in bytes",
            value=memory.total,
        )
        yield CounterMetricFamily(
            "carawayfold_given_up_requests",
            "Requests refused for want of memory before they were passed on",
            value=memory.given_up,
        )
        yield GaugeMetricFamily(
            "carawayfold_unsent_bytes",
            "Bytes of answers that callers have not read yet",
            value=gateway.front.server.unsent_total,
        )
        yield CounterMetricFamily(
            "carawayfold_control_bytes", "Sent to peers", gateway.socket.sent_bytes
        )
        yield CounterMetricFamily(
            "carawayfold_store_calls", "Calls of the store", gateway.store.calls
        )
        barred = CounterMetricFamily(
            "carawayfold_barred_grants", "Grants given back", labels=("reason",)
        )
        for reason, count in gateway.metrics.barred_grants.items():
            barred.add_metric((reason,), count)
        yield barred
        statistics = gateway.coordinator.decision_statistics
        yield CounterMetricFamily(
            "carawayfold_decided_alone",
            "Grants of this router for pools that another one leads",
            statistics.alone,
        )
        yield self._connections()
        yield from self._remote_requests()
        moves = CounterMetricFamily(
            "carawayfold_pool_moves",
            "Offers to another pool than that of the prefix",
            labels=("moment",),
        )
        for moment, count in statistics.pool_moves.items():
            moves.add_metric((moment,), count)
        yield moves
        yield from self._repeats()
        yield self._resumed_streams()
        yield self._prediction_errors()
        yield from self._predicted_waits()
        yield from self._gauges()

    def _connections(self) -> Metric:
        """Return how attempts at endpoints came by their connections."""
        uses = self.gateway.http.uses
        family = CounterMetricFamily(
            "carawayfold_endpoint_connections",
            "Connections of attempts: opened, reused, or reused and then lost",
            labels=("kind",),
        )
        family.add_metric(("opened",), uses.opened)
        family.add_metric(("reused",), uses.reused)
        family.add_metric(("lost",), uses.lost)
        return family

    def _remote_requests(self) -> Iterator[Metric]:
        """Yield what this router sent to other data centres, and room for more."""
        labels = ("pool", "origin", "target", "reason")
        requests = CounterMetricFamily(
            "carawayfold_remote_requests",
            "Requests granted an endpoint in another data centre",
            labels=labels,
        )
        sent_bytes = CounterMetricFamily(
            "carawayfold_remote_bytes", "Their estimated bytes", labels=labels
        )
        budget = GaugeMetricFamily(
            "carawayfold_remote_budget_slots",
            "Slots that other data centres may use",
            labels=("pool", "data_centre"),
        )
        coordinator = self.gateway.coordinator
        for pool, state in coordinator.pools.items():
            locality = state.scheduler.locality
            for key, sent in locality.sent().items():
                requests.add_metric((pool, *key), sent.requests)
                sent_bytes.add_metric((pool, *key), sent.sent_bytes)
            if coordinator.decides_for(pool):
                for name, slots in locality.budgets().items():
                    budget.add_metric((pool, name), slots)
        yield from (requests, sent_bytes, budget)

    def _repeats(self) -> Iterator[Metric]:
        """Yield retries and retries rejected by the budget, by service."""
        metrics = self.gateway.metrics
        counters = {
            "repeats": ("Attempts at a further endpoint", metrics.repeats),
            "repeats_refused": ("Repeats over the budget", metrics.repeats_refused),
        }
        for name, (text, counts) in counters.items():
            family = CounterMetricFamily(
                f"carawayfold_{name}", text, labels=("service",)
            )
            for service, count in counts.items():
                family.add_metric((service,), count)
            yield family

    def _resumed_streams(self) -> Metric:
        """Return the streams that callers resumed, by what their origin rests on."""
        family = CounterMetricFamily(
            "carawayfold_resumed_streams",
            "Streams that callers resumed, by the evidence of where they began",
            labels=("evidence",),
        )
        for source, count in self.gateway.metrics.resumed_streams.items():
            family.add_metric((source,), count)
        return family

    def _prediction_errors(self) -> Metric:
        """Return errors of predicted first-token waits for pools decided here."""
        errors = GaugeMetricFamily(
            "carawayfold_first_token_error_seconds",
            "Mean error of predicted waits for first tokens",
            labels=("endpoint",),
        )
        for pool, coordinator in self.gateway.coordinator.pools.items():
            if not self.gateway.coordinator.decides_for(pool):
                continue
            for endpoint, load in coordinator.scheduler.loads.items():
                errors.add_metric((endpoint,), load.first_tokens.error)
        return errors

    def _predicted_waits(self) -> Iterator[Metric]:
        """Yield ended waits and wrong predictions of pools decided here, by route."""
        pools = self.gateway.coordinator.pools.values()
        ended: Counter[str] = Counter()
        wrong: Counter[str] = Counter()
        for pool in pools:
            for route, counts in pool.scheduler.predictions.counts.items():
                ended[route] += counts.ended
                wrong[route] += counts.wrong
        families = {
            "predicted_waits": ("Waits that were predicted and have ended", ended),
            "wrong_predictions": ("Those wrong by more than half", wrong),
        }
        for name, (text, by_route) in families.items():
            family = CounterMetricFamily(f"carawayfold_{name}", text, labels=("route",))
            for route, count in by_route.items():
                family.add_metric((route,), count)
            yield family

    def _gauges(self) -> Iterator[Metric]:
        gateway = self.gateway
        quarantine = gateway.containment.quarantine
        now = gateway.fleet.loop.time()
        known = gateway.coordinator.basis()
        endpoints = gateway.knowledge.endpoints.entries.values()
        evacuated = gateway.knowledge.evacuations.active
        budget = gateway.forwarder.budget
        gauges = {
            "in_flight": len(gateway.forwarder.calls),
            "callers": len(gateway.front.connections),
            "live_routers": len(gateway.fleet.live()),
            "configured": gateway.knowledge.routes is not None,
            "version": gateway.knowledge.version or 0,
            "configuration_age_seconds": gateway.anti_entropy.operators_age(),
            "endpoints": len(gateway.knowledge.endpoints.entries),
            "endpoints_warming": sum(item.is_warming(now) for item in endpoints),
            "endpoints_evacuated": sum(
                item.data_centre in evacuated for item in endpoints
            ),
            "endpoints_slow": len(gateway.coordinator.slow_endpoints.slow),
            "endpoints_offset": offset_of(known.offset),
            "endpoints_age_seconds": known.age,
            "repeats_extra": budget.extra_share(gateway.fleet.known_size, now),
            "quarantined": len(quarantine.held(now)),
            "suspected": len(quarantine.suspected(now)),
            "left_out_log_lines": gateway.dropped_log_lines(),
            "outgoing_connections": len(gateway.http.open),
            "reused_connections_ratio": gateway.http.uses.reused_ratio,
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"carawayfold_{name}", name, value)


def render(gateway: Gateway) -> bytes:
    """Return the metrics of a router as text."""
    registry = CollectorRegistry()
    registry.register(ForwardCollector(gateway))
    return generate_latest(registry)
