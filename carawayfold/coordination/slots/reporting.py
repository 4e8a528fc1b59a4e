"""What a holder of requests tells the granters: no more than they need to know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import EndpointId, OrganisationId, RouterId, ServiceId

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.slots.dispatch import Dispatcher
    from carawayfold.coordination.slots.health import HealthBook
    from carawayfold.coordination.slots.pool import PoolSpec
    from carawayfold.protocol import peer_pb2
    from carawayfold.state.queue import OrganisationQueue
    from carawayfold.transport.links import Link

#: A reported count is sent again once the true one differs by this factor.
COUNT_FACTOR = 2
#: Seconds for which demand is held back after a grant that no waiting request
#: could use, since it had failed at that endpoint.
HOLD_BACK = 0.05


class KnownDemand(msgspec.Struct):
    """Demand as the granter knows it.

    Attributes
    ----------
    left : int
        Requests last reported, less the grants received since.
    """

    left: int
    urgent: bool

    def is_close(self, count: int, urgent: bool) -> bool:
        """Return whether the granter need not be told of the true demand."""
        if urgent != self.urgent or self.left <= 0:
            return False
        return self.left <= count * COUNT_FACTOR and count <= self.left * COUNT_FACTOR


class SentReport(msgspec.Struct):
    """What one pool's granter was last told.

    Attributes
    ----------
    dirty : set of OrganisationId
        Organisations whose demand may have changed since.
    acknowledged : int
        Last grant that was received.
    told : int
        Last grant that was acknowledged.
    held_back : dict of OrganisationId to float
        Times before which demand is not reported, since a grant was of no use.
    """

    granter: RouterId
    link: Link
    waiting: dict[OrganisationId, KnownDemand] = msgspec.field(default_factory=dict)
    uses: dict[EndpointId, tuple[int, int]] = msgspec.field(default_factory=dict)
    dirty: set[OrganisationId] = msgspec.field(default_factory=set)
    acknowledged: int = 0
    told: int = 0
    held_back: dict[OrganisationId, float] = msgspec.field(default_factory=dict)


class Reporter:
    """Builds the reports of this router's demand and use of slots.

    Parameters
    ----------
    dispatcher : Dispatcher
        Requests held here.
    health : HealthBook
        Experience with endpoints.
    data_centre : str
        This router's.
    spread_delay : float
        Seconds that work waits before granters of other data centres hear of it.
    clock : callable
        Returns monotonic seconds.
    look_again : callable
        Called with a pool and seconds after which to report it again.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        health: HealthBook,
        data_centre: str,
        spread_delay: float,
        clock: Callable[[], float],
        look_again: Callable[[PoolSpec, float], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.health = health
        self.data_centre = data_centre
        self.spread_delay = spread_delay
        self.clock = clock
        self.look_again = look_again
        self.sent: dict[str, SentReport] = {}

    def is_news(self, pool: PoolSpec, organisation: OrganisationId) -> bool:
        """Return whether the granter of `pool` does not know of waiting work."""
        sent = self.sent.get(pool.id)
        if sent is None:
            return True
        sent.dirty.add(organisation)
        known = sent.waiting.get(organisation)
        queue = self._queues(pool).get(organisation)
        if queue is None:
            return False
        return known is None or not known.is_close(len(queue), bool(queue.urgent))

    def note_grant(
        self, pool: PoolSpec, organisation: OrganisationId, sequence: int
    ) -> None:
        """Note that a grant has arrived."""
        sent = self.sent.get(pool.id)
        if sent is None:
            return
        sent.acknowledged = sequence
        sent.dirty.add(organisation)
        known = sent.waiting.get(organisation)
        if known is not None:
            known.left -= 1

    def hold_back(self, pool: PoolSpec, organisation: OrganisationId) -> None:
        """Note that a grant could not be used by the work that waits."""
        sent = self.sent.get(pool.id)
        if sent is not None and organisation in self._queues(pool):
            sent.held_back[organisation] = self.clock() + HOLD_BACK
            self.look_again(pool, HOLD_BACK)

    def write(
        self, frame: peer_pb2.Frame, pool: PoolSpec, granter: RouterId, link: Link
    ) -> None:
        """Add the report of `pool` to a frame for its granter, if there is news."""
        sent = self.sent.get(pool.id)
        full = sent is None or sent.granter != granter or sent.link is not link
        if full:
            sent = self.sent[pool.id] = SentReport(granter, link)
            sent.dirty = set(self._queues(pool))
        number = link.names.number(pool.id, frame)
        report = frame.reports.add(pool=number, full=full)
        report.acknowledged = sent.acknowledged
        self._write_waiting(frame, report, pool, sent)
        self._write_uses(frame, report, pool, sent)
        news = report.waiting or report.uses or sent.told != sent.acknowledged
        if not news and not full:
            del frame.reports[-1]
        sent.told = sent.acknowledged

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
            if self.clock() < sent.held_back.get(organisation, 0.0):
                sent.dirty.add(organisation)
                queue = None
            else:
                sent.held_back.pop(organisation, None)
            if queue is None:
                if sent.waiting.pop(organisation, None) is not None:
                    number = sent.link.names.number(organisation, frame)
                    report.waiting.add(organisation=number)
                continue
            age = self.clock() - queue.oldest()
            if pool.data_centre != self.data_centre and age < self.spread_delay:
                sent.dirty.add(organisation)
                self.look_again(pool, self.spread_delay - age)
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
        if known is not None and known.is_close(count, urgent):
            return
        sent.waiting[organisation] = KnownDemand(count, urgent)
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
