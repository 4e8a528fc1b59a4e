"""Reports from a holder of requests to the leaders of pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import EndpointId, OrganisationId, RouterId, ServiceId

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.slots.dispatch import Dispatcher
    from carawayfold.coordination.slots.health import EndpointHealthTracker
    from carawayfold.coordination.slots.pool import PoolSpec
    from carawayfold.protocol import peer_pb2
    from carawayfold.state.queue import OrganisationQueue
    from carawayfold.transport.links import Link

#: Ratio between the actual and the reported count above which it is reported again.
MAX_COUNT_RATIO = 2
#: Seconds for which demand is not reported after a grant that no waiting request could
#: use, because all of them had failed at that endpoint.
HOLD_BACK_DURATION = 0.05


class ReportedDemand(msgspec.Struct):
    """Demand of an organisation as known to the leader of a pool.

    Attributes
    ----------
    remaining : int
        Number of requests last reported, minus the grants received since.
    """

    remaining: int
    urgent: bool

    def is_accurate_for(self, count: int, urgent: bool) -> bool:
        """Return whether the actual demand is close enough to need no report."""
        if urgent != self.urgent or self.remaining <= 0:
            return False
        return (
            self.remaining <= count * MAX_COUNT_RATIO
            and count <= self.remaining * MAX_COUNT_RATIO
        )


class SentReport(msgspec.Struct):
    """The last report to the leader of one pool.

    Attributes
    ----------
    dirty : set of OrganisationId
        Organisations whose demand may have changed since the last report.
    acknowledged : int
        Sequence number of the last grant received.
    acknowledgement_sent : int
        Sequence number of the last grant acknowledged in a report.
    held_back_until : dict of OrganisationId to float
        Monotonic seconds until which demand is not reported, after a grant that could
        not be used.
    """

    leader: RouterId
    link: Link
    waiting: dict[OrganisationId, ReportedDemand] = msgspec.field(default_factory=dict)
    uses: dict[EndpointId, tuple[int, int]] = msgspec.field(default_factory=dict)
    dirty: set[OrganisationId] = msgspec.field(default_factory=set)
    acknowledged: int = 0
    acknowledgement_sent: int = 0
    held_back_until: dict[OrganisationId, float] = msgspec.field(default_factory=dict)


class Reporter:
    """Builds the reports of this router's demand and slots in use.

    Parameters
    ----------
    dispatcher : Dispatcher
        Requests held by this router.
    health : EndpointHealthTracker
        Health of endpoints.
    data_centre : str
        Data centre of this router.
    spread_delay : float
        Seconds that work waits before it is reported to leaders in other data centres.
    clock : callable
        Returns monotonic seconds.
    report_later : callable
        Called with a pool and the seconds after which to report it again.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        health: EndpointHealthTracker,
        data_centre: str,
        spread_delay: float,
        clock: Callable[[], float],
        report_later: Callable[[PoolSpec, float], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.health = health
        self.data_centre = data_centre
        self.spread_delay = spread_delay
        self.clock = clock
        self.report_later = report_later
        self.sent: dict[str, SentReport] = {}

    def needs_report(self, pool: PoolSpec, organisation: OrganisationId) -> bool:
        """Return whether waiting work must be reported to the leader of `pool`."""
        sent = self.sent.get(pool.id)
        if sent is None:
            return True
        sent.dirty.add(organisation)
        known = sent.waiting.get(organisation)
        queue = self._queues(pool).get(organisation)
        if queue is None:
            return False
        return known is None or not known.is_accurate_for(
            len(queue), bool(queue.urgent)
        )

    def record_grant(
        self, pool: PoolSpec, organisation: OrganisationId, sequence: int
    ) -> None:
        """Record that a grant has arrived."""
        sent = self.sent.get(pool.id)
        if sent is None:
            return
        sent.acknowledged = sequence
        sent.dirty.add(organisation)
        known = sent.waiting.get(organisation)
        if known is not None:
            known.remaining -= 1

    def hold_back(self, pool: PoolSpec, organisation: OrganisationId) -> None:
        """Delay reports of demand after a grant that no waiting request could use."""
        sent = self.sent.get(pool.id)
        if sent is not None and organisation in self._queues(pool):
            sent.held_back_until[organisation] = self.clock() + HOLD_BACK_DURATION
            self.report_later(pool, HOLD_BACK_DURATION)

    def write(
        self, frame: peer_pb2.Frame, pool: PoolSpec, leader: RouterId, link: Link
    ) -> None:
        """Add a report of `pool` to a frame for its leader, if anything has changed."""
        sent = self.sent.get(pool.id)
        full = sent is None or sent.leader != leader or sent.link is not link
        if full:
            sent = self.sent[pool.id] = SentReport(leader, link)
            sent.dirty = set(self._queues(pool))
        number = link.names.number(pool.id, frame)
        report = frame.reports.add(pool=number, full=full)
        report.acknowledged = sent.acknowledged
        self._write_waiting(frame, report, pool, sent)
        self._write_uses(frame, report, pool, sent)
        has_changes = (
            report.waiting
            or report.uses
            or sent.acknowledgement_sent != sent.acknowledged
        )
        if not has_changes and not full:
            del frame.reports[-1]
        sent.acknowledgement_sent = sent.acknowledged

    def _queues(self, pool: PoolSpec) -> dict[OrganisationId, OrganisationQueue]:
        return self.dispatcher.queue(ServiceId(pool.service)).queues

    def _write_waiting(
        self,
        frame: peer_pb2.Frame,
        report: peer_pb2.PoolReport,
        pool: PoolSpec,
        sent: SentReport,
    ) -> None:
        queues = self._queues(pool)
        dirty, sent.dirty = sent.dirty, set()
        for organisation in dirty:
            queue = queues.get(organisation)
            if self.clock() < sent.held_back_until.get(organisation, 0.0):
                sent.dirty.add(organisation)
                queue = None
            else:
                sent.held_back_until.pop(organisation, None)
            if queue is None:
                if sent.waiting.pop(organisation, None) is not None:
                    number = sent.link.names.number(organisation, frame)
                    report.waiting.add(organisation=number)
                continue
            age = self.clock() - queue.oldest()
            if pool.data_centre != self.data_centre and age < self.spread_delay:
                sent.dirty.add(organisation)
                self.report_later(pool, self.spread_delay - age)
                continue
            self._write_demand(frame, report, sent, organisation, queue, age)

    def _write_demand(
        self,
        frame: peer_pb2.Frame,
        report: peer_pb2.PoolReport,
        sent: SentReport,
        organisation: OrganisationId,
        queue: OrganisationQueue,
        age: float,
    ) -> None:
        count, urgent = len(queue), bool(queue.urgent)
        known = sent.waiting.get(organisation)
        if known is not None and known.is_accurate_for(count, urgent):
            return
        sent.waiting[organisation] = ReportedDemand(count, urgent)
        report.waiting.add(
            organisation=sent.link.names.number(organisation, frame),
            count=count,
            urgent=urgent,
            age_ms=int(age * 1000),
        )

    def _write_uses(
        self,
        frame: peer_pb2.Frame,
        report: peer_pb2.PoolReport,
        pool: PoolSpec,
        sent: SentReport,
    ) -> None:
        for endpoint in pool.slots:
            in_flight = self.dispatcher.in_flight.get(endpoint, 0)
            health = int(self.health.factor(endpoint) * 100)
            if sent.uses.get(endpoint, (0, 100)) == (in_flight, health):
                continue
            sent.uses[endpoint] = (in_flight, health)
            report.uses.add(
                endpoint=sent.link.names.number(endpoint, frame),
                in_flight=in_flight,
                health=health,
            )
