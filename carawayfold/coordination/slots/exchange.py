"""What routers tell each other: service, demand, grants and heartbeats."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.fleet.membership import PeerState
from carawayfold.coordination.slots.dispatch import GRANT_LIFETIME
from carawayfold.coordination.slots.link_fleet import take_messages
from carawayfold.coordination.slots.pool import PoolGranter
from carawayfold.coordination.slots.reporting import Reporter
from carawayfold.coordination.slots.service_book import ServiceBook
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
    from carawayfold.coordination.slots.health import HealthBook
    from carawayfold.coordination.slots.pool import Decision, PoolSpec
    from carawayfold.protocol.datagrams import Datagram
    from carawayfold.settings import Settings
    from carawayfold.state.service_rows import OwnRows

logger = logbook.Logger(__name__)

#: Least seconds between two rounds of reports.
FLUSH_GAP = 0.002
#: Seconds that a new granter waits for the reports of live holders.
SETTLING = 0.3
#: Seconds after which a silent peer's rows are forgotten.
FORGET_TIMEOUT = 600.0


class Granting(msgspec.Struct):
    """A pool that this router grants.

    Attributes
    ----------
    since : float
        When it became responsible, in monotonic seconds.
    reported : set of RouterId
        Holders that have reported since then.
    settled : bool
        Whether enough is known of the slots in use to grant free ones.
    """

    granter: PoolGranter
    since: float
    reported: set[RouterId] = msgspec.field(default_factory=set)
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
        self.clock = clock
        self.own = membership.own.router
        self.alone = settings.scheduling != "granted"
        self.book = ServiceBook(self.own, rows, share_of)
        self.reporter = Reporter(
            dispatcher,
            health,
            settings.data_centre,
            settings.spread_delay,
            clock,
            self._look_again,
        )
        #: Links by peer; this router's own is a loopback that is never sent on.
        self.links: dict[RouterId, Link] = {self.own: Link.loopback()}
        self.pools: dict[PoolId, PoolSpec] = {}
        self.by_service: dict[ServiceId, list[PoolSpec]] = {}
        self.granting: dict[PoolId, Granting] = {}
        #: Pools with news for their granters.
        self.dirty: set[PoolId] = set()
        self.flush_timer: asyncio.TimerHandle | None = None
        self.last_flush = 0.0
        self.revision = 0
        #: Takes the messages on contents, and knows of links that are new.
        self.on_datagram: Callable[[Datagram], None] = lambda datagram: None
        self.on_greeted: Callable[[Link], None] = lambda link: None

    # Pools and membership

    def set_pools(self, pools: list[PoolSpec]) -> None:
        """Take the pools of a new configuration or instance list."""
        self.pools = {pool.id: pool for pool in pools}
        self.by_service = {}
        for pool in pools:
            self.by_service.setdefault(ServiceId(pool.service), []).append(pool)
        for pool_id in list(self.granting):
            if pool_id in self.pools:
                self.granting[pool_id].granter.respecify(self.pools[pool_id])
            else:
                self._stop_granting(pool_id)
        self.reassign()

    def reassign(self) -> None:
        """Find the granter of each pool anew after a change of membership."""
        for pool in self.pools.values():
            own = self.granter_of(pool) == self.own
            if own and pool.id not in self.granting:
                self._start_granting(pool)
            elif not own and pool.id in self.granting:
                self._stop_granting(pool.id)
        self.dirty.update(self.pools)
        self.schedule()

    def _start_granting(self, pool: PoolSpec) -> None:
        ledger = self.book.ledger(ServiceId(pool.service))
        fair = self.settings.scheduling != "first-come"
        granter = PoolGranter(pool, ledger, fair)
        self.granting[pool.id] = Granting(granter, self.clock())

    def _stop_granting(self, pool_id: PoolId) -> None:
        self.granting.pop(pool_id).granter.close()

    def granter_of(self, pool: PoolSpec) -> RouterId:
        """Return the router that grants `pool`."""
        if self.alone:
            return self.own
        return self.membership.responsible(pool.id, pool.data_centre)

    # Links

    def opened(self, link: Link) -> None:
        """Greet the peer on a new link."""
        own = self.membership.own
        frame = self.new_frame()
        frame.hello.router = own.router
        frame.hello.data_centre = own.data_centre
        frame.hello.incarnation = own.incarnation
        self.book.write(frame, link.names, link.cursor)
        link.send(frame)

    def closed(self, link: Link) -> None:
        """Note that a link has ended."""
        router = RouterId(link.router)
        if self.links.get(router) is link:
            del self.links[router]
            self.reassign()

    def received(self, link: Link, frame: peer_pb2.Frame) -> None:
        """Take a frame from a peer; one that makes no sense ends the link."""
        first = not link.greeted
        if frame.HasField("hello"):
            self._greet(link, frame.hello)
        router = RouterId(link.router)
        if self.links.get(router) is not link:
            link.close()
            return
        self.membership.heard(router, frame.stopping)
        try:
            self._take(router, link, frame, first)
        except (KeyError, ValueError) as error:
            logger.warning("bad frame", extra={"peer": router, "reason": repr(error)})
            link.close()

    def _take(
        self, router: RouterId, link: Link, frame: peer_pb2.Frame, first: bool
    ) -> None:
        link.names.learn(frame)
        self._refresh(router, frame.sent_ms)
        if not self.alone:
            for rows in frame.rows:
                self.book.read(router, rows, link.names, first)
        for report in frame.reports:
            self._take_report(router, link, report, frame.sent_ms)
        for grant in frame.grants:
            self._take_grant(link, grant)
        take_messages(frame.messages, self.on_datagram)
        if first:
            link.greeted = True
            self.reassign()
            self.on_greeted(link)
        if frame.reports:
            self.grant()

    def _greet(self, link: Link, hello: peer_pb2.Hello) -> None:
        router = RouterId(hello.router)
        if router == self.own:
            return
        link.router = router
        before = self.links.get(router)
        if before is not None and before is not link:
            before.close()
        data_centre = DataCentreId(hello.data_centre)
        if self.membership.joined(router, data_centre, hello.incarnation):
            for granting in self.granting.values():
                granting.granter.drop(router)
            self.book.restart(router)
        self.links[router] = link

    def silent(self, routers: list[RouterId]) -> None:
        """Take routers for dead that were silent too long."""
        for router in routers:
            link = self.links.pop(router, None)
            if link is not None:
                link.close()
            for granting in self.granting.values():
                granting.granter.lose(router)
            self.book.drop(router)
        if routers:
            self.reassign()

    # Demand

    def demanded(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Note that work waits; granters that do not know of it hear soon."""
        for pool in self.by_service.get(service, ()):
            self.dirty.add(pool.id)
            if self.reporter.is_news(pool, organisation):
                self.schedule()

    def released(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Note that a slot is free; its granter hears soon."""
        for pool in self.by_service.get(service, ()):
            self.reporter.is_news(pool, organisation)
            self.dirty.add(pool.id)
        self.schedule()

    def _look_again(self, pool: PoolSpec, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds + FLUSH_GAP, self._mark, pool.id)

    def _mark(self, pool_id: PoolId) -> None:
        self.dirty.add(pool_id)
        self.schedule()

    def schedule(self) -> None:
        """Report soon, but not more often than every `FLUSH_GAP`."""
        if self.flush_timer is not None:
            return
        loop = asyncio.get_running_loop()
        wait = self.last_flush + FLUSH_GAP - loop.time()
        self.flush_timer = loop.call_later(max(0.0, wait), self.flush)

    def flush(self, everyone: bool = False) -> None:
        """Report news to the granters.

        Parameters
        ----------
        everyone : bool
            Whether every peer gets a frame, with changed service rows at least.
        """
        if self.flush_timer is not None:
            self.flush_timer.cancel()
            self.flush_timer = None
        self.last_flush = asyncio.get_running_loop().time()
        self.book.enter_own()
        frames = {router: self.new_frame() for router in self.links}
        dirty, self.dirty = self.dirty, set()
        for pool_id in dirty:
            self._write_report(pool_id, frames)
        for router, frame in frames.items():
            if router != self.own and (everyone or frame.reports):
                link = self.links[router]
                self.book.write(frame, link.names, link.cursor)
                link.send(frame)
        self._take_own(frames[self.own])
        self.grant()

    def _write_report(
        self, pool_id: PoolId, frames: dict[RouterId, peer_pb2.Frame]
    ) -> None:
        pool = self.pools.get(pool_id)
        if pool is None:
            return
        granter = self.granter_of(pool)
        link = self.links.get(granter)
        if link is not None:
            # Without one it is reported when a link is there again.
            self.reporter.write(frames[granter], pool, granter, link)

    def _take_own(self, frame: peer_pb2.Frame) -> None:
        loopback = self.links[self.own]
        loopback.names.learn(frame)
        for report in frame.reports:
            self._take_report(self.own, loopback, report, frame.sent_ms)

    def _take_report(
        self, router: RouterId, link: Link, report: peer_pb2.PoolReport, sent_ms: int
    ) -> None:
        granting = self.granting.get(PoolId(link.names.name(report.pool)))
        if granting is None:
            return
        granting.granter.report(router, report, link.names, sent_ms, self.clock())
        granting.reported.add(router)

    def _refresh(self, router: RouterId, sent_ms: int) -> None:
        """Let grants to a holder answer its newest frame."""
        for granting in self.granting.values():
            holder = granting.granter.holders.get(router)
            if holder is not None:
                holder.basis_ms = sent_ms

    # Grants

    def grant(self) -> None:
        """Decide the grants of every pool granted here and send them."""
        frames: dict[RouterId, peer_pb2.Frame] = {}
        self._refresh(self.own, self._now_ms())
        for pool_id, granting in self.granting.items():
            if not self._is_settled(granting):
                continue
            for decision in granting.granter.decide():
                basis_ms = granting.granter.holders[decision.holder].basis_ms
                self._add_grant(pool_id, decision, basis_ms, frames)
        for router, frame in frames.items():
            link = self.links[router]
            if router == self.own:
                link.names.learn(frame)
                for grant in frame.grants:
                    self._take_grant(link, grant)
            else:
                link.send(frame)

    def _is_settled(self, granting: Granting) -> bool:
        if granting.settled:
            return True
        live = {member.router for member in self.membership.live()}
        late = self.clock() - granting.since > SETTLING
        granting.settled = self.alone or late or live <= granting.reported
        return granting.settled

    def _add_grant(
        self,
        pool_id: PoolId,
        decision: Decision,
        basis_ms: int,
        frames: dict[RouterId, peer_pb2.Frame],
    ) -> None:
        link = self.links.get(decision.holder)
        if link is None:
            # Dropped with the holder, or reported anew on its next link.
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

    def _take_grant(self, link: Link, grant: peer_pb2.Grant) -> None:
        pool = self.pools.get(PoolId(link.names.name(grant.pool)))
        if pool is None:
            return
        organisation = OrganisationId(link.names.name(grant.organisation))
        endpoint = EndpointId(link.names.name(grant.endpoint))
        self.reporter.note_grant(pool, organisation, grant.sequence)
        self.dirty.add(pool.id)
        lapsed = self._now_ms() - grant.basis_ms > GRANT_LIFETIME * 1000
        if lapsed:
            logger.info("grant lapsed", extra={"pool": pool.id})
        service = ServiceId(pool.service)
        if lapsed or not self.dispatcher.granted(service, organisation, endpoint):
            # Given back: its granter hears soon. Other news of a grant can wait.
            self.reporter.hold_back(pool, organisation)
            self.schedule()
        else:
            self.demanded(service, organisation)

    # Heartbeats

    def beat(self) -> None:
        """Send a heartbeat with changed service rows to every peer."""
        self.silent(self.membership.expire())
        self.membership.remove_failed(FORGET_TIMEOUT)
        self.book.tidy(self.membership.members)
        self.dirty.update(self.pools)
        self.flush(everyone=True)

    def new_frame(self) -> peer_pb2.Frame:
        """Return a frame with what every frame holds."""
        return peer_pb2.Frame(
            sent_ms=self._now_ms(),
            revision=self.revision,
            stopping=self.membership.own.state is not PeerState.LIVE,
        )

    def _now_ms(self) -> int:
        return int(self.clock() * 1000)
