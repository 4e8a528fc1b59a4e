"""What routers tell each other: service, demand, grants and heartbeats."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.dispatch import GRANT_LIFETIME
from carawayfold.coordination.membership import PeerState
from carawayfold.coordination.pool import PoolGranter
from carawayfold.protocol import peer_pb2
from carawayfold.state.ids import (
    DataCentreId,
    EndpointId,
    OrganisationId,
    PoolId,
    RouterId,
    ServiceId,
)
from carawayfold.state.ledger import ServiceLedger
from carawayfold.state.service_rows import RowCursor, SeenRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.dispatch import Dispatcher
    from carawayfold.coordination.health import HealthBook
    from carawayfold.coordination.membership import Membership
    from carawayfold.coordination.pool import Decision, PoolSpec
    from carawayfold.settings import Settings
    from carawayfold.state.service_rows import OwnRow, OwnRows
    from carawayfold.transport.links import Link

logger = logbook.Logger(__name__)

#: Least seconds between two frames with demand to the same fleet.
FLUSH_GAP = 0.002
#: Seconds that a new granter waits for the reports of live holders.
SETTLING = 0.3
#: Seconds after which a silent peer's rows are forgotten.
FORGET_AFTER = 600.0

RowKey = tuple[ServiceId, OrganisationId]


@dataclass(slots=True)
class SentReport:
    """What a pool's granter was last told, to send only what changed."""

    granter: RouterId
    link: Link | None
    waiting: dict[OrganisationId, tuple[int, bool]] = field(default_factory=dict)
    uses: dict[EndpointId, tuple[int, int]] = field(default_factory=dict)
    dirty: set[OrganisationId] = field(default_factory=set)
    acknowledged: int = 0


@dataclass(slots=True)
class Granting:
    """A pool that this router grants.

    Attributes
    ----------
    since : float
        When it became responsible, in monotonic seconds.
    reported : set of RouterId
        Holders that have reported since then.
    """

    granter: PoolGranter
    since: float
    reported: set[RouterId] = field(default_factory=set)
    settled: bool = False


class Exchange:
    """Keeps holders and granters informed.

    Parameters
    ----------
    settings : Settings
        Intervals and policy.
    membership : Membership
        Who is live, and who grants which pool.
    dispatcher : Dispatcher
        Requests held here.
    rows : OwnRows
        Service measured here.
    health : HealthBook
        Experience with endpoints.
    share_of : callable
        Returns the share of an organisation.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        dispatcher: Dispatcher,
        rows: OwnRows,
        health: HealthBook,
        share_of: Callable[[OrganisationId], float],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.dispatcher = dispatcher
        self.rows = rows
        self.health = health
        self.share_of = share_of
        self.clock = clock
        self.alone = settings.scheduling != "granted"
        self.links: dict[RouterId, Link] = {}
        self.pools: dict[PoolId, PoolSpec] = {}
        self.by_service: dict[ServiceId, list[PoolSpec]] = {}
        self.sent: dict[PoolId, SentReport] = {}
        self.granting: dict[PoolId, Granting] = {}
        self.ledgers: dict[ServiceId, ServiceLedger] = {}
        self.seen: dict[RouterId, dict[RowKey, SeenRow]] = {}
        #: Last grant received, by pool and granter's link.
        self.acknowledged: dict[PoolId, int] = {}
        self.dirty: set[PoolId] = set()
        self.flush_at: asyncio.TimerHandle | None = None
        self.last_flush = 0.0
        self.revision = 0
        self.own_cursor = RowCursor()

    # Pools and membership

    def set_pools(self, pools: list[PoolSpec]) -> None:
        """Take the pools of a new configuration or instance list."""
        self.pools = {pool.id: pool for pool in pools}
        self.by_service = {}
        for pool in pools:
            self.by_service.setdefault(ServiceId(pool.service), []).append(pool)
        for pool_id in list(self.granting):
            if pool_id not in self.pools:
                del self.granting[pool_id]
                self.sent.pop(pool_id, None)
        for pool_id, granting in self.granting.items():
            granting.granter.respecify(self.pools[pool_id])
        self.reassign()

    def reassign(self) -> None:
        """Find the granter of each pool anew after a change of membership."""
        now = self.clock()
        for pool in self.pools.values():
            own = self.granter_of(pool) == self.membership.own.router
            if own and pool.id not in self.granting:
                ledger = self.ledger(ServiceId(pool.service))
                fair = self.settings.scheduling != "first-come"
                granter = PoolGranter(pool, ledger, fair)
                self.granting[pool.id] = Granting(granter, now)
            elif not own and pool.id in self.granting:
                self._stop_granting(pool.id)
            self.dirty.add(pool.id)
        self.schedule()

    def _stop_granting(self, pool_id: PoolId) -> None:
        granter = self.granting.pop(pool_id).granter
        for router in list(granter.holders):
            granter.drop(router)

    def granter_of(self, pool: PoolSpec) -> RouterId:
        """Return the router that grants `pool`."""
        if self.alone:
            return self.membership.own.router
        return self.membership.responsible(pool.id, pool.data_centre)

    def ledger(self, service: ServiceId) -> ServiceLedger:
        """Return the ledger of `service`."""
        ledger = self.ledgers.get(service)
        if ledger is None:
            ledger = self.ledgers[service] = ServiceLedger(self.share_of)
        return ledger

    # Links

    def opened(self, link: Link) -> None:
        """Greet the peer on a new link."""
        own = self.membership.own
        frame = self._frame()
        frame.hello.router = own.router
        frame.hello.data_centre = own.data_centre
        frame.hello.incarnation = own.incarnation
        self._add_rows(frame, link.cursor)
        link.send(frame)

    def closed(self, link: Link) -> None:
        """Note that a link has ended."""
        router = RouterId(link.router)
        if self.links.get(router) is link:
            del self.links[router]
            self.reassign()

    def received(self, link: Link, frame: peer_pb2.Frame) -> None:
        """Take a frame from a peer."""
        first = not link.greeted
        if frame.HasField("hello"):
            self._greet(link, frame.hello)
        if not link.router:
            link.close()
            return
        router = RouterId(link.router)
        if self.links.get(router) is not link:
            return
        self.membership.heard(router, frame.stopping)
        self._refresh(router, frame.sent_ms)
        for rows in frame.rows:
            self._take_rows(router, rows, first)
        self._take_reports(router, frame)
        for grant in frame.grants:
            self._take_grant(grant)
        if first:
            link.greeted = True
            self.reassign()

    def _greet(self, link: Link, hello: peer_pb2.Hello) -> None:
        router = RouterId(hello.router)
        link.router = router
        data_centre = DataCentreId(hello.data_centre)
        before = self.links.get(router)
        if before is not None and before is not link:
            before.close()
        if self.membership.joined(router, data_centre, hello.incarnation):
            self._drop(router)
            self.seen[router] = {}
        self.links[router] = link

    def silent(self, routers: list[RouterId]) -> None:
        """Take routers for dead that were silent too long."""
        for router in routers:
            link = self.links.pop(router, None)
            if link is not None:
                link.close()
            self._drop(router)
        if routers:
            self.reassign()

    def _drop(self, router: RouterId) -> None:
        for granting in self.granting.values():
            granting.granter.drop(router)
        for (service, organisation), row in self.seen.get(router, {}).items():
            account = self.ledger(service).account(organisation)
            account.in_flight -= row.in_flight
            row.in_flight = 0

    # Service rows

    def _add_rows(self, frame: peer_pb2.Frame, cursor: RowCursor) -> None:
        by_service: dict[ServiceId, peer_pb2.ServiceRows] = {}
        for service, organisation, row in self.rows.since(cursor.version):
            rows = by_service.get(service)
            if rows is None:
                rows = by_service[service] = frame.rows.add(service=service)
            rows.rows.add(
                organisation=organisation,
                service=row.service,
                requests=row.requests,
                in_flight=row.in_flight,
            )
        cursor.version = self.rows.version

    def _take_rows(
        self, router: RouterId, rows: peer_pb2.ServiceRows, first: bool
    ) -> None:
        if self.alone:
            return
        service = ServiceId(rows.service)
        seen = self.seen.setdefault(router, {})
        for row in rows.rows:
            organisation = OrganisationId(row.organisation)
            before = seen.get((service, organisation))
            if before is None:
                before = seen[service, organisation] = SeenRow()
                if first:
                    # Service from before we met: no more than a starting point.
                    before.service = row.service
                    before.requests = row.requests
            self._enter(service, organisation, before, row, first)

    def _enter(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        before: SeenRow,
        row: peer_pb2.Row | OwnRow,
        catching_up: bool = False,
    ) -> None:
        """Enter what a row says beyond what was seen of it `before`."""
        ledger = self.ledger(service)
        received = row.service - before.service
        requests = row.requests - before.requests
        if received > 0 or requests > 0:
            ledger.settle(organisation, received, requests, catching_up)
        account = ledger.account(organisation)
        account.in_flight += row.in_flight - before.in_flight
        before.service = row.service
        before.requests = row.requests
        before.in_flight = row.in_flight

    def _enter_own(self) -> None:
        seen = self.seen.setdefault(self.membership.own.router, {})
        for service, organisation, row in self.rows.since(self.own_cursor.version):
            before = seen.setdefault((service, organisation), SeenRow())
            self._enter(service, organisation, before, row)
        self.own_cursor.version = self.rows.version

    # Demand and grants

    def touched(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Note that waiting or running work of an organisation changed."""
        for pool in self.by_service.get(service, ()):
            self.dirty.add(pool.id)
            sent = self.sent.get(pool.id)
            if sent is not None:
                sent.dirty.add(organisation)
        self.schedule()

    def schedule(self) -> None:
        """Flush soon, but not more often than every `FLUSH_GAP`."""
        if self.flush_at is not None:
            return
        loop = asyncio.get_running_loop()
        wait = self.last_flush + FLUSH_GAP - loop.time()
        self.flush_at = loop.call_later(max(0.0, wait), self.flush)

    def flush(self) -> None:
        """Report changed demand to the granters."""
        self.flush_at = None
        self.last_flush = asyncio.get_running_loop().time()
        frames: dict[RouterId, peer_pb2.Frame] = {}
        dirty, self.dirty = self.dirty, set()
        self._enter_own()
        for pool_id in dirty:
            pool = self.pools.get(pool_id)
            if pool is not None:
                self._report(pool, frames)
        for router, frame in frames.items():
            link = self.links[router]
            self._add_rows(frame, link.cursor)
            link.send(frame)
        self.grant()

    def _report(self, pool: PoolSpec, frames: dict[RouterId, peer_pb2.Frame]) -> None:
        granter = self.granter_of(pool)
        own = granter == self.membership.own.router
        link = self.links.get(granter)
        if link is None and not own:
            # Cut off from the granter: reported when a link is there again.
            return
        sent = self.sent.get(pool.id)
        full = sent is None or sent.granter != granter or sent.link is not link
        if full:
            sent = self.sent[pool.id] = SentReport(granter, link)
            self.acknowledged[pool.id] = 0
        report = self._build_report(pool, sent, full)
        if report is None:
            return
        if own:
            self._take_report(granter, report, self._now_ms())
            return
        frame = frames.get(granter)
        if frame is None:
            frame = frames[granter] = self._frame()
        frame.reports.append(report)

    def _build_report(
        self, pool: PoolSpec, sent: SentReport, full: bool
    ) -> peer_pb2.PoolReport | None:
        report = peer_pb2.PoolReport(pool=pool.id, full=full)
        report.acknowledged = self.acknowledged[pool.id]
        self._add_waiting(report, pool, sent, full)
        self._add_uses(report, pool, sent)
        news = report.waiting or report.uses
        if not news and not full and sent.acknowledged == report.acknowledged:
            return None
        sent.acknowledged = report.acknowledged
        return report

    def _add_waiting(
        self,
        report: peer_pb2.PoolReport,
        pool: PoolSpec,
        sent: SentReport,
        full: bool,
    ) -> None:
        queues = self.dispatcher.queue(ServiceId(pool.service)).queues
        organisations = set(queues) if full else sent.dirty
        sent.dirty = set()
        now = self.clock()
        near = pool.data_centre == self.membership.own.data_centre
        for organisation in organisations:
            queue = queues.get(organisation)
            count, urgent, age = 0, False, 0.0
            if queue is not None:
                count, urgent = len(queue), bool(queue.urgent)
                age = now - queue.oldest()
            if count and not near and age < self.settings.spread_delay:
                self._look_again(pool, sent, organisation, age)
                continue
            if sent.waiting.get(organisation, (0, False)) == (count, urgent):
                continue
            sent.waiting[organisation] = (count, urgent)
            if not count:
                del sent.waiting[organisation]
            report.waiting.add(
                organisation=organisation,
                count=count,
                urgent=urgent,
                age_ms=int(age * 1000),
            )

    def _look_again(
        self,
        pool: PoolSpec,
        sent: SentReport,
        organisation: OrganisationId,
        age: float,
    ) -> None:
        sent.dirty.add(organisation)
        wait = self.settings.spread_delay - age
        loop = asyncio.get_running_loop()
        loop.call_later(wait + FLUSH_GAP, self._mark, pool.id)

    def _mark(self, pool_id: PoolId) -> None:
        self.dirty.add(pool_id)
        self.schedule()

    def _add_uses(
        self, report: peer_pb2.PoolReport, pool: PoolSpec, sent: SentReport
    ) -> None:
        for endpoint in pool.slots:
            in_flight = self.dispatcher.in_flight.get(endpoint, 0)
            health = int(self.health.factor(endpoint) * 100)
            if sent.uses.get(endpoint, (0, 100)) == (in_flight, health):
                continue
            sent.uses[endpoint] = (in_flight, health)
            report.uses.add(endpoint=endpoint, in_flight=in_flight, health=health)

    def _take_reports(self, router: RouterId, frame: peer_pb2.Frame) -> None:
        for report in frame.reports:
            self._take_report(router, report, frame.sent_ms)
        if frame.reports:
            self.grant()

    def _refresh(self, router: RouterId, sent_ms: int) -> None:
        for granting in self.granting.values():
            holder = granting.granter.holders.get(router)
            if holder is not None:
                holder.basis_ms = sent_ms

    def _take_report(
        self, router: RouterId, report: peer_pb2.PoolReport, sent_ms: int
    ) -> None:
        granting = self.granting.get(PoolId(report.pool))
        if granting is None:
            return
        granting.granter.report(router, report, sent_ms, self.clock())
        granting.reported.add(router)

    def grant(self) -> None:
        """Decide the grants of every pool granted here and send them."""
        frames: dict[RouterId, peer_pb2.Frame] = {}
        self._refresh(self.membership.own.router, self._now_ms())
        for pool_id, granting in self.granting.items():
            if not self._is_settled(granting):
                continue
            for decision in granting.granter.decide():
                basis_ms = granting.granter.holders[decision.holder].basis_ms
                self._send_grant(pool_id, decision, basis_ms, frames)
        for router, frame in frames.items():
            link = self.links.get(router)
            if link is not None:
                link.send(frame)

    def _is_settled(self, granting: Granting) -> bool:
        if granting.settled:
            return True
        live = {member.router for member in self.membership.live()}
        late = self.clock() - granting.since > SETTLING
        granting.settled = self.alone or late or live <= granting.reported
        return granting.settled

    def _send_grant(
        self,
        pool_id: PoolId,
        decision: Decision,
        basis_ms: int,
        frames: dict[RouterId, peer_pb2.Frame],
    ) -> None:
        grant = peer_pb2.Grant(
            pool=pool_id,
            sequence=decision.sequence,
            endpoint=decision.endpoint,
            organisation=decision.organisation,
            basis_ms=basis_ms,
        )
        if decision.holder == self.membership.own.router:
            self._take_grant(grant)
            return
        frame = frames.get(decision.holder)
        if frame is None:
            frame = frames[decision.holder] = self._frame()
        frame.grants.append(grant)

    def _take_grant(self, grant: peer_pb2.Grant) -> None:
        pool = self.pools.get(PoolId(grant.pool))
        if pool is None:
            return
        self.acknowledged[pool.id] = grant.sequence
        self._mark(pool.id)
        organisation = OrganisationId(grant.organisation)
        sent = self.sent.get(pool.id)
        if sent is not None:
            sent.dirty.add(organisation)
        if self._now_ms() - grant.basis_ms > GRANT_LIFETIME * 1000:
            logger.info("grant lapsed", extra={"pool": pool.id})
            return
        self.dispatcher.granted(
            ServiceId(pool.service), organisation, EndpointId(grant.endpoint)
        )

    # Heartbeats

    def beat(self) -> None:
        """Send a heartbeat with changed service rows to every peer."""
        for link in list(self.links.values()):
            frame = self._frame()
            self._add_rows(frame, link.cursor)
            link.send(frame)
        self.silent(self.membership.expire())
        self.membership.forget_before(FORGET_AFTER)
        for router in list(self.seen):
            if router not in self.membership.members:
                del self.seen[router]
        for ledger in self.ledgers.values():
            ledger.forget_idle()
        self.dirty.update(self.pools)
        self.schedule()

    def _frame(self) -> peer_pb2.Frame:
        return peer_pb2.Frame(
            sent_ms=self._now_ms(),
            revision=self.revision,
            stopping=self.membership.own.state is not PeerState.LIVE,
        )

    def _now_ms(self) -> int:
        return int(self.clock() * 1000)
