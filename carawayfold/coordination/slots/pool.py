"""Grants of the slots of one pool: the order of organisations and choice of endpoints.

A pool is a group of endpoints of one service in one data centre. One router, the leader
of the pool, grants its slots to the holders, the routers at which requests wait. All
state here is computed from reports of absolute values, so that a lost, repeated or late
report has no lasting effect.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import EndpointId, OrganisationId, PoolId, RouterId
from carawayfold.state.rank_heap import RankHeap

if TYPE_CHECKING:
    from carawayfold.protocol import peer_pb2
    from carawayfold.protocol.names import NameTable
    from carawayfold.state.ledger import ServiceLedger

#: Seconds by which each unacknowledged grant reduces the age of a holder's demand when
#: holders are compared.
AGE_PER_PENDING_GRANT = 0.01


class PoolSpec(msgspec.Struct, frozen=True):
    """The endpoints of a pool.

    Attributes
    ----------
    slots : dict of EndpointId to int
        Requests that may be in flight at each endpoint.
    """

    id: PoolId
    service: str
    data_centre: str
    slots: dict[EndpointId, int]


class GrantRecord(msgspec.Struct):
    """A grant that its holder has not acknowledged yet."""

    sequence: int
    endpoint: EndpointId
    organisation: OrganisationId


class Demand(msgspec.Struct):
    """Waiting work of one organisation at one holder.

    Attributes
    ----------
    count : int
        Number of requests that waited when the holder reported.
    pending_grants : int
        Number of grants not acknowledged yet.
    since : float
        Arrival of the oldest request, in seconds of the leader's clock.
    """

    count: int = 0
    urgent: bool = False
    since: float = 0.0
    pending_grants: int = 0

    @property
    def unmet(self) -> int:
        """Return the number of requests that wait without a grant."""
        return self.count - self.pending_grants


class Holder(msgspec.Struct):
    """State of one router that holds requests, as reported to the leader."""

    demands: dict[OrganisationId, Demand] = msgspec.field(default_factory=dict)
    in_flight: dict[EndpointId, int] = msgspec.field(default_factory=dict)
    health: dict[EndpointId, float] = msgspec.field(default_factory=dict)
    pending: deque[GrantRecord] = msgspec.field(default_factory=deque)
    basis_ms: int = 0

    def can_reach(self, endpoint: EndpointId) -> bool:
        """Return whether the holder may send requests to `endpoint`, by its health."""
        return self.health.get(endpoint, 1.0) > 0


class Decision(msgspec.Struct, frozen=True):
    """Grant of a slot to the work of one organisation at one holder."""

    holder: RouterId
    sequence: int
    endpoint: EndpointId
    organisation: OrganisationId


class PoolGranter:
    """Decides on the grants of one pool.

    Parameters
    ----------
    spec : PoolSpec
        Endpoints and slots.
    ledger : ServiceLedger
        Service received by each organisation.
    fair : bool
        Whether to grant by fair shares; False is the baseline in order of arrival.
    """

    def __init__(
        self, spec: PoolSpec, ledger: ServiceLedger, fair: bool = True
    ) -> None:
        self.spec = spec
        self.ledger = ledger
        self.fair = fair
        self.holders: dict[RouterId, Holder] = {}
        #: Holders with waiting work, by organisation.
        self.backlog: dict[OrganisationId, set[RouterId]] = {}
        self.used: dict[EndpointId, int] = dict.fromkeys(spec.slots, 0)
        #: Maximum of the slots in use since the last load query of each endpoint.
        self.peak: dict[EndpointId, int] = {}
        #: Requests in each endpoint that no holder accounts for.
        self.foreign: dict[EndpointId, int] = {}
        self.sequence = 0
        self.order = RankHeap()
        #: Organisations whose rank may have become lower since it was last entered.
        self.possibly_lowered = ledger.watch()

    def update_spec(self, spec: PoolSpec) -> None:
        """Apply a changed set of endpoints or slots."""
        self.spec = spec
        for endpoint in spec.slots:
            if endpoint not in self.used:
                self.used[endpoint] = self._count_used(endpoint)

    def report(
        self,
        router: RouterId,
        report: peer_pb2.PoolReport,
        names: NameTable,
        basis_ms: int,
        now: float,
    ) -> None:
        """Process a report of a holder.

        Parameters
        ----------
        router : RouterId
            The holder.
        report : PoolReport
            Changes since its last report, or its full state.
        names : NameTable
            Names known on the link that the report arrived on.
        basis_ms : int
            Milliseconds of the holder's clock at the report; echoed in grants.
        now : float
            Seconds of the leader's clock.
        """
        if report.full:
            self.drop(router)
        holder = self.holders.setdefault(router, Holder())
        holder.basis_ms = basis_ms
        self._acknowledge(holder, report.acknowledged)
        for use in report.uses:
            endpoint = EndpointId(names.name(use.endpoint))
            self._set_use(holder, endpoint, use)
        for waiting in report.waiting:
            organisation = OrganisationId(names.name(waiting.organisation))
            self._set_waiting(router, holder, organisation, waiting, now)

    def begin_load_query(self, endpoint: EndpointId) -> None:
        """Begin a load query of an endpoint."""
        self.peak[endpoint] = self.used.get(endpoint, 0)

    def end_load_query(self, endpoint: EndpointId, load: int) -> None:
        """Process the load that an endpoint reported, which may be outdated.

        Work that a holder had at the endpoint at any time since the query began is not
        foreign, so that an outdated report does not reduce the free slots.
        """
        self.foreign[endpoint] = max(0, load - self.peak.get(endpoint, 0))

    def close(self) -> None:
        """Remove all state, when another router becomes the leader of the pool."""
        for router in list(self.holders):
            self.drop(router)
        self.ledger.unwatch(self.possibly_lowered)

    def remove_failed(self, router: RouterId) -> None:
        """Remove a failed holder, whose requests may still be running.

        Its slots remain in use until the endpoints have been queried for their load.
        """
        holder = self.holders.get(router)
        if holder is None:
            return
        for endpoint, count in holder.in_flight.items():
            self.foreign[endpoint] = self.foreign.get(endpoint, 0) + count
        self.drop(router)

    def drop(self, router: RouterId) -> None:
        """Remove a holder with its waiting work, slots and grants."""
        holder = self.holders.pop(router, None)
        if holder is None:
            return
        for endpoint, count in holder.in_flight.items():
            self._add_used(endpoint, -count)
        for grant in holder.pending:
            self._add_used(grant.endpoint, -1)
            self._reserve(grant.organisation, -1)
        for organisation in holder.demands:
            self._leave_backlog(organisation, router)
        self.possibly_lowered.update(holder.demands)

    def decide(self) -> list[Decision]:
        """Grant free slots to waiting work until either is exhausted."""
        free = self._free_endpoints()
        if not free:
            return []
        self._update_lowered_ranks()
        decisions: list[Decision] = []
        unreachable: list[OrganisationId] = []
        organisation = self.order.first()
        while free and organisation is not None:
            rank = self._rank(organisation)
            if rank > self.order.ranks[organisation]:
                # Its rank rose since it was entered, so others may precede it.
                self.order.update_rank(organisation, rank)
            elif router := self._choose_holder(organisation, free):
                if self.fair:
                    self.ledger.served(organisation)
                decisions.append(self._grant(router, organisation, free))
                self.order.update_rank(organisation, self._rank(organisation))
            else:
                self.order.remove_rank(organisation)
                unreachable.append(organisation)
            organisation = self.order.first()
        for organisation in unreachable:
            self._enter(organisation)
        return decisions

    def _update_lowered_ranks(self) -> None:
        while self.possibly_lowered:
            organisation = self.possibly_lowered.pop()
            if organisation in self.order.ranks:
                self.order.update_rank(organisation, self._rank(organisation))

    def _enter(self, organisation: OrganisationId) -> None:
        """Rank an organisation with work that has no grant, remove it otherwise."""
        if self._has_unmet(organisation):
            self.order.update_rank(organisation, self._rank(organisation))
        else:
            self.order.remove_rank(organisation)

    def _has_unmet(self, organisation: OrganisationId) -> bool:
        return any(
            self.holders[router].demands[organisation].unmet > 0
            for router in self.backlog.get(organisation, ())
        )

    def _rank(self, organisation: OrganisationId) -> float:
        if self.fair:
            return self.ledger.key(organisation)
        routers = self.backlog[organisation]
        return min(self.holders[name].demands[organisation].since for name in routers)

    def _choose_holder(
        self, organisation: OrganisationId, free: dict[EndpointId, int]
    ) -> RouterId | None:
        best: RouterId | None = None
        best_rank: tuple[bool, float] | None = None
        for router in self.backlog[organisation]:
            holder = self.holders[router]
            demand = holder.demands[organisation]
            if demand.unmet <= 0 or not any(map(holder.can_reach, free)):
                continue
            rank = (
                not demand.urgent,
                demand.since + demand.pending_grants * AGE_PER_PENDING_GRANT,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = router, rank
        return best

    def _grant(
        self,
        router: RouterId,
        organisation: OrganisationId,
        free: dict[EndpointId, int],
    ) -> Decision:
        holder = self.holders[router]
        endpoint = max(filter(holder.can_reach, free), key=free.__getitem__)
        free[endpoint] -= 1
        if free[endpoint] <= 0:
            del free[endpoint]
        self.sequence += 1
        holder.pending.append(GrantRecord(self.sequence, endpoint, organisation))
        holder.demands[organisation].pending_grants += 1
        self._add_used(endpoint, 1)
        self._reserve(organisation, 1)
        return Decision(router, self.sequence, endpoint, organisation)

    def _free_endpoints(self) -> dict[EndpointId, int]:
        free: dict[EndpointId, int] = {}
        for endpoint, slots in self.spec.slots.items():
            taken = self.used.get(endpoint, 0) + self.foreign.get(endpoint, 0)
            count = self._usable_slots(endpoint, slots) - taken
            if count > 0:
                free[endpoint] = count
        return free

    def _usable_slots(self, endpoint: EndpointId, slots: int) -> int:
        factors = [holder.health.get(endpoint, 1.0) for holder in self.holders.values()]
        if not any(factors):
            return 0
        # The mean of all holders, so that one holder's faulty connection does not leave
        # an endpoint idle that the others can reach.
        return max(1, int(slots * sum(factors) / len(factors)))

    def _acknowledge(self, holder: Holder, sequence: int) -> None:
        while holder.pending and holder.pending[0].sequence <= sequence:
            grant = holder.pending.popleft()
            self._add_used(grant.endpoint, -1)
            self._reserve(grant.organisation, -1)
            demand = holder.demands.get(grant.organisation)
            if demand is None:
                continue
            demand.pending_grants -= 1
            if not demand.pending_grants and not demand.count:
                del holder.demands[grant.organisation]
            else:
                self._enter(grant.organisation)

    def _set_use(self, holder: Holder, endpoint: EndpointId, use: peer_pb2.Use) -> None:
        before = holder.in_flight.get(endpoint, 0)
        self._add_used(endpoint, use.in_flight - before)
        if use.in_flight:
            holder.in_flight[endpoint] = use.in_flight
        else:
            holder.in_flight.pop(endpoint, None)
        if use.health < 100:
            holder.health[endpoint] = use.health / 100
        else:
            holder.health.pop(endpoint, None)

    def _set_waiting(
        self,
        router: RouterId,
        holder: Holder,
        organisation: OrganisationId,
        waiting: peer_pb2.Waiting,
        now: float,
    ) -> None:
        demand = holder.demands.setdefault(organisation, Demand())
        demand.count = waiting.count
        demand.urgent = waiting.urgent
        demand.since = now - waiting.age_ms / 1000
        if waiting.count:
            self.backlog.setdefault(organisation, set()).add(router)
            self.ledger.activate(organisation)
            self._enter(organisation)
            return
        self._leave_backlog(organisation, router)
        # The entry is needed until all pending grants have been acknowledged.
        if not demand.pending_grants:
            del holder.demands[organisation]

    def _leave_backlog(self, organisation: OrganisationId, router: RouterId) -> None:
        routers = self.backlog.get(organisation)
        if routers is None:
            return
        routers.discard(router)
        if not routers:
            del self.backlog[organisation]
            self.ledger.deactivate(organisation)
        self._enter(organisation)

    def _reserve(self, organisation: OrganisationId, count: int) -> None:
        self.ledger.reserve(organisation, count)

    def _add_used(self, endpoint: EndpointId, count: int) -> None:
        used = self.used[endpoint] = self.used.get(endpoint, 0) + count
        if used > self.peak.get(endpoint, 0):
            self.peak[endpoint] = used

    def _count_used(self, endpoint: EndpointId) -> int:
        running = sum(
            holder.in_flight.get(endpoint, 0) for holder in self.holders.values()
        )
        pending_grants = sum(
            grant.endpoint == endpoint
            for holder in self.holders.values()
            for grant in holder.pending
        )
        return running + pending_grants
