"""Exchange of service rows, demand reports, grants and heartbeats between routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.fleet.membership import PeerState
from carawayfold.coordination.slots.dispatch import MAX_GRANT_AGE
from carawayfold.coordination.slots.link_fleet import take_messages
from carawayfold.coordination.slots.pool import PoolGranter
from carawayfold.coordination.slots.reporting import Reporter
from carawayfold.coordination.slots.service_accounts import ServiceAccounts
from carawayfold.protocol import peer_pb2
from carawayfold.state.ids import (
    DataCentreId,
    EndpointId,
    OrganisationId,
    PoolId,
    RouterId,
    ServiceId,
)
from carawayfold.transport.links import Link

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.fleet.membership import Membership
    from carawayfold.coordination.slots.dispatch import Dispatcher
    from carawayfold.coordination.slots.health import EndpointHealthTracker
    from carawayfold.coordination.slots.pool import Decision, PoolSpec
    from carawayfold.protocol.datagrams import Datagram
    from carawayfold.settings import Settings
    from carawayfold.state.service_rows import LocalRows

logger = logbook.Logger(__name__)

#: Minimum seconds between two rounds of reports.
MIN_FLUSH_INTERVAL = 0.002
#: Seconds for which the new leader of a pool waits for the reports of live holders.
REPORTS_TIMEOUT = 0.3
#: Seconds after which a failed peer and its rows are removed.
FORGET_TIMEOUT = 600.0


class LedPool(msgspec.Struct):
    """A pool that this router leads.

    Attributes
    ----------
    since : float
        Monotonic seconds at which this router became the leader.
    reported : set of RouterId
        Holders that have reported since then.
    ready : bool
        Whether the slots in use are known well enough to grant free ones.
    """

    granter: PoolGranter
    since: float
    reported: set[RouterId] = msgspec.field(default_factory=set)
    ready: bool = False


class Exchange:
    """Exchanges frames with peers, as a holder of requests and as leader of pools.

    Parameters
    ----------
    settings : Settings
        Intervals and scheduling policy.
    membership : Membership
        Live routers and the leaders of pools.
    dispatcher : Dispatcher
        Requests held by this router.
    rows : LocalRows
        Service received through this router.
    health : EndpointHealthTracker
        Health of endpoints.
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
        rows: LocalRows,
        health: EndpointHealthTracker,
        share_of: Callable[[OrganisationId], float],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.dispatcher = dispatcher
        self.clock = clock
        self.own = membership.own.router
        self.leads_all = settings.scheduling != "granted"
        self.accounts = ServiceAccounts(self.own, rows, share_of)
        self.reporter = Reporter(
            dispatcher,
            health,
            settings.data_centre,
            settings.spread_delay,
            clock,
            self._report_later,
        )
        #: Links by router; the one for this router is a loopback that sends no frames.
        self.links: dict[RouterId, Link] = {self.own: Link.loopback()}
        self.pools: dict[PoolId, PoolSpec] = {}
        self.by_service: dict[ServiceId, list[PoolSpec]] = {}
        self.led_pools: dict[PoolId, LedPool] = {}
        #: Pools with changes to report to their leaders.
        self.dirty: set[PoolId] = set()
        self.flush_timer: asyncio.TimerHandle | None = None
        self.last_flush = 0.0
        self.revision = 0
        #: Handlers of the messages on contents and of newly established links.
        self.on_datagram: Callable[[Datagram], None] = lambda datagram: None
        self.on_greeted: Callable[[Link], None] = lambda link: None

    # Pools and membership

    def set_pools(self, pools: list[PoolSpec]) -> None:
        """Apply the pools of a new configuration or instance list."""
        self.pools = {pool.id: pool for pool in pools}
        self.by_service = {}
        for pool in pools:
            self.by_service.setdefault(ServiceId(pool.service), []).append(pool)
        for pool_id in list(self.led_pools):
            if pool_id in self.pools:
                self.led_pools[pool_id].granter.update_spec(self.pools[pool_id])
            else:
                self._stop_leading(pool_id)
        self.reassign()

    def reassign(self) -> None:
        """Determine the leader of each pool after a change of membership."""
        for pool in self.pools.values():
            own = self.leader_of(pool) == self.own
            if own and pool.id not in self.led_pools:
                self._start_leading(pool)
            elif not own and pool.id in self.led_pools:
                self._stop_leading(pool.id)
        self.dirty.update(self.pools)
        self.schedule()

    def _start_leading(self, pool: PoolSpec) -> None:
        ledger = self.accounts.ledger(ServiceId(pool.service))
        fair = self.settings.scheduling != "first-come"
        granter = PoolGranter(pool, ledger, fair)
        self.led_pools[pool.id] = LedPool(granter, self.clock())

    def _stop_leading(self, pool_id: PoolId) -> None:
        self.led_pools.pop(pool_id).granter.close()

    def leader_of(self, pool: PoolSpec) -> RouterId:
        """Return the leader of `pool`."""
        if self.leads_all:
            return self.own
        return self.membership.responsible(pool.id, pool.data_centre)

    # Links

    def opened(self, link: Link) -> None:
        """Send the hello frame on a new link."""
        own = self.membership.own
        frame = self.new_frame()
        frame.hello.router = own.router
        frame.hello.data_centre = own.data_centre
        frame.hello.incarnation = own.incarnation
        self.accounts.write(frame, link.names, link.cursor)
        link.send(frame)

    def closed(self, link: Link) -> None:
        """Remove a link that was closed."""
        router = RouterId(link.router)
        if self.links.get(router) is link:
            del self.links[router]
            self.reassign()

    def received(self, link: Link, frame: peer_pb2.Frame) -> None:
        """Process a frame from a peer; an invalid one closes the link."""
        first = not link.hello_received
        if frame.HasField("hello"):
            self._process_hello(link, frame.hello)
        router = RouterId(link.router)
        if self.links.get(router) is not link:
            link.close()
            return
        self.membership.record_contact(router, frame.stopping)
        try:
            self._process_frame(router, link, frame, first)
        except (KeyError, ValueError) as error:
            logger.warning(
                "invalid frame", extra={"peer": router, "reason": repr(error)}
            )
            link.close()

    def _process_frame(
        self, router: RouterId, link: Link, frame: peer_pb2.Frame, first: bool
    ) -> None:
        link.names.learn(frame)
        self._update_basis(router, frame.sent_ms)
        if not self.leads_all:
            for rows in frame.rows:
                self.accounts.read(router, rows, link.names, first)
        for report in frame.reports:
            self._process_report(router, link, report, frame.sent_ms)
        for grant in frame.grants:
            self._process_grant(link, grant)
        take_messages(frame.messages, self.on_datagram)
        if first:
            link.hello_received = True
            self.reassign()
            self.on_greeted(link)
        if frame.reports:
            self.grant()

    def _process_hello(self, link: Link, hello: peer_pb2.Hello) -> None:
        router = RouterId(hello.router)
        if router == self.own:
            return
        link.router = router
        before = self.links.get(router)
        if before is not None and before is not link:
            before.close()
        data_centre = DataCentreId(hello.data_centre)
        if self.membership.register_member(router, data_centre, hello.incarnation):
            for led_pool in self.led_pools.values():
                led_pool.granter.drop(router)
            self.accounts.restart(router)
        self.links[router] = link

    def _remove_peers(self, routers: list[RouterId]) -> None:
        """Remove links and state of routers; their requests may still be running."""
        for router in routers:
            link = self.links.pop(router, None)
            if link is not None:
                link.close()
            for led_pool in self.led_pools.values():
                led_pool.granter.remove_failed(router)
            self.accounts.drop(router)
        if routers:
            self.reassign()

    def remove_distant(self) -> None:
        """Remove the routers of other data centres and the links to them."""
        place = self.membership.own.data_centre
        distant = [
            member.router
            for member in self.membership.members.values()
            if member.data_centre != place
        ]
        for router in distant:
            self.membership.remove(router)
        self._remove_peers(distant)

    # Demand

    def demand_changed(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Schedule reports of waiting work to leaders that do not know of it."""
        for pool in self.by_service.get(service, ()):
            self.dirty.add(pool.id)
            if self.reporter.needs_report(pool, organisation):
                self.schedule()

    def slot_released(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Schedule reports of a slot that has become free."""
        for pool in self.by_service.get(service, ()):
            self.reporter.needs_report(pool, organisation)
            self.dirty.add(pool.id)
        self.schedule()

    def _report_later(self, pool: PoolSpec, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds + MIN_FLUSH_INTERVAL, self._mark_dirty, pool.id)

    def _mark_dirty(self, pool_id: PoolId) -> None:
        self.dirty.add(pool_id)
        self.schedule()

    def schedule(self) -> None:
        """Schedule a round of reports, at most one each `MIN_FLUSH_INTERVAL`."""
        if self.flush_timer is not None:
            return
        loop = asyncio.get_running_loop()
        wait = self.last_flush + MIN_FLUSH_INTERVAL - loop.time()
        self.flush_timer = loop.call_later(max(0.0, wait), self.flush)

    def flush(self, everyone: bool = False) -> None:
        """Report changes to the leaders of pools.

        Parameters
        ----------
        everyone : bool
            Whether every peer gets a frame, at least with the changed service rows.
        """
        if self.flush_timer is not None:
            self.flush_timer.cancel()
            self.flush_timer = None
        self.last_flush = asyncio.get_running_loop().time()
        self.accounts.enter_own()
        frames = {router: self.new_frame() for router in self.links}
        dirty, self.dirty = self.dirty, set()
        for pool_id in dirty:
            self._write_report(pool_id, frames)
        for router, frame in frames.items():
            if router != self.own and (everyone or frame.reports):
                link = self.links[router]
                self.accounts.write(frame, link.names, link.cursor)
                link.send(frame)
        self._process_own_reports(frames[self.own])
        self.grant()

    def _write_report(
        self, pool_id: PoolId, frames: dict[RouterId, peer_pb2.Frame]
    ) -> None:
        pool = self.pools.get(pool_id)
        if pool is None:
            return
        leader = self.leader_of(pool)
        link = self.links.get(leader)
        if link is not None:
            # Without a link the pool is reported once there is a new one.
            self.reporter.write(frames[leader], pool, leader, link)

    def _process_own_reports(self, frame: peer_pb2.Frame) -> None:
        loopback = self.links[self.own]
        loopback.names.learn(frame)
        for report in frame.reports:
            self._process_report(self.own, loopback, report, frame.sent_ms)

    def _process_report(
        self, router: RouterId, link: Link, report: peer_pb2.PoolReport, sent_ms: int
    ) -> None:
        led_pool = self.led_pools.get(PoolId(link.names.name(report.pool)))
        if led_pool is None:
            return
        led_pool.granter.report(router, report, link.names, sent_ms, self.clock())
        led_pool.reported.add(router)

    def _update_basis(self, router: RouterId, sent_ms: int) -> None:
        """Make the newest frame of a holder the basis of further grants to it."""
        for led_pool in self.led_pools.values():
            holder = led_pool.granter.holders.get(router)
            if holder is not None:
                holder.basis_ms = sent_ms

    # Grants

    def grant(self) -> None:
        """Decide on the grants of every pool that this router leads, and send them."""
        frames: dict[RouterId, peer_pb2.Frame] = {}
        self._update_basis(self.own, self._now_ms())
        for pool_id, led_pool in self.led_pools.items():
            if not self._is_ready(led_pool):
                continue
            for decision in led_pool.granter.decide():
                basis_ms = led_pool.granter.holders[decision.holder].basis_ms
                self._add_grant(pool_id, decision, basis_ms, frames)
        for router, frame in frames.items():
            link = self.links[router]
            if router == self.own:
                link.names.learn(frame)
                for grant in frame.grants:
                    self._process_grant(link, grant)
            else:
                link.send(frame)

    def _is_ready(self, led_pool: LedPool) -> bool:
        if led_pool.ready:
            return True
        live = {member.router for member in self.membership.live()}
        timed_out = self.clock() - led_pool.since > REPORTS_TIMEOUT
        led_pool.ready = self.leads_all or timed_out or live <= led_pool.reported
        return led_pool.ready

    def _add_grant(
        self,
        pool_id: PoolId,
        decision: Decision,
        basis_ms: int,
        frames: dict[RouterId, peer_pb2.Frame],
    ) -> None:
        link = self.links.get(decision.holder)
        if link is None:
            # The grant is removed with the holder, or by its full report on a new link.
            return
        frame = frames.get(decision.holder)
        if frame is None:
            frame = frames[decision.holder] = self.new_frame()
        frame.grants.add(
            pool=link.names.number(pool_id, frame),
            sequence=decision.sequence,
            endpoint=link.names.number(decision.endpoint, frame),
            organisation=link.names.number(decision.organisation, frame),
            basis_ms=basis_ms,
        )

    def _process_grant(self, link: Link, grant: peer_pb2.Grant) -> None:
        pool = self.pools.get(PoolId(link.names.name(grant.pool)))
        if pool is None:
            return
        organisation = OrganisationId(link.names.name(grant.organisation))
        endpoint = EndpointId(link.names.name(grant.endpoint))
        self.reporter.record_grant(pool, organisation, grant.sequence)
        self.dirty.add(pool.id)
        expired = self._now_ms() - grant.basis_ms > MAX_GRANT_AGE * 1000
        if expired:
            logger.info("grant expired", extra={"pool": pool.id})
        service = ServiceId(pool.service)
        if expired or not self.dispatcher.granted(service, organisation, endpoint):
            # The slot is returned, which is reported at once. An accepted grant is
            # acknowledged with the next report.
            self.reporter.hold_back(pool, organisation)
            self.schedule()
        else:
            self.demand_changed(service, organisation)

    # Heartbeats

    def send_heartbeats(self) -> None:
        """Send a heartbeat with the changed service rows to every peer."""
        self._remove_peers(self.membership.expire())
        self.membership.remove_failed(FORGET_TIMEOUT)
        self.accounts.tidy(self.membership.members)
        self.dirty.update(self.pools)
        self.flush(everyone=True)

    def new_frame(self) -> peer_pb2.Frame:
        """Return a frame with the fields that every frame contains."""
        return peer_pb2.Frame(
            sent_ms=self._now_ms(),
            revision=self.revision,
            stopping=self.membership.own.state is not PeerState.LIVE,
        )

    def _now_ms(self) -> int:
        return int(self.clock() * 1000)
