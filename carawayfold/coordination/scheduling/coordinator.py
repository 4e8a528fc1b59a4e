"""Coordination of scheduling: obtains a decision on each request.

The leader of a pool decides for the whole fleet. A request is offered to it in a
datagram, which is repeated until the leader answers. If the leader doesn't answer in
time because it is partitioned, frozen or has failed, the next router in line decides.
A leader whose heartbeats still arrive is only late and gets more time. If the next
router doesn't answer either, the scheduler of this router decides, which then fills
only its share of each endpoint.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.scheduling.admission import AdmissionControl
from carawayfold.coordination.scheduling.decision_statistics import SchedulingStatistics
from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.endpoint_speed import StatedLoad, load_report
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.messages import (
    active_request,
    decision_message,
    grant_from_message,
    offer_from_message,
    offer_message,
    rejection_from_message,
)
from carawayfold.coordination.scheduling.offers import (
    UNKNOWN_POOL,
    Basis,
    BlockReason,
    Granted,
    Offer,
    Outcome,
    Rejected,
)
from carawayfold.coordination.scheduling.pending import (
    PendingRequest,
    PlacedRequest,
    PoolState,
)
from carawayfold.coordination.scheduling.pool_assignment import PoolAssignment
from carawayfold.coordination.scheduling.pool_selection import PoolSelection
from carawayfold.coordination.scheduling.rejections import (
    no_endpoints_rejection,
    unknown_pool_rejection,
)
from carawayfold.coordination.scheduling.scheduler import (
    DEFAULT_PREFILL_RATE,
    PoolPlan,
    Scheduler,
)
from carawayfold.coordination.scheduling.slow_endpoints import SlowEndpoints
from carawayfold.protocol.datagrams import (
    ActiveRequestReport,
    ActiveRequestsMessage,
    AttemptEndedMessage,
    FirstByteMessage,
    GrantMessage,
    OfferMessage,
    QueuedMessage,
    RejectMessage,
    WithdrawMessage,
)
from carawayfold.protocol.exchanges import Part
from carawayfold.state.endpoint_backoffs import EndpointBackoffs
from carawayfold.state.ids import (
    CallId,
    EndpointId,
    EndpointName,
    PoolId,
    RouterId,
    ServiceId,
    SoftwareVersion,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.scheduling.offers import Decision, PoolLoad
    from carawayfold.protocol.datagrams import Datagram, LoadReport, Message
    from carawayfold.protocol.exchanges import Load
    from carawayfold.state.endpoints import Endpoint, EndpointTable
    from carawayfold.state.ids import DataCentreId
    from carawayfold.state.routes import RouteTable

logger = logbook.Logger(__name__)

#: Seconds between offers of a request to a scheduler that has not answered. A round
#: trip between data centres takes under 3 ms, and a busy router some 10 ms more. The
#: intervals increase, so that a router that is late isn't loaded further by retries.
OFFER_RETRY_INTERVALS = (0.025, 0.025, 0.05, 0.1, 0.2)
#: Unanswered offers after which the next router in line decides, if no heartbeat has
#: been received from the router since the first offer.
MAX_UNANSWERED_OFFERS = 3
#: The same if heartbeats were received, so that the router is late and has not failed.
MAX_UNANSWERED_OFFERS_LATE = len(OFFER_RETRY_INTERVALS)
#: Seconds between offers of a request that the scheduler has confirmed as queued. With
#: shorter intervals, the refreshes of 300 queued requests take up the scheduler's
#: time; a failed scheduler is detected sooner by its heartbeats.
OFFER_REFRESH_INTERVAL = 0.4
#: Unanswered offers of a queued request after which the next router in line decides:
#: without heartbeats of the scheduler, and with them.
MAX_UNANSWERED_REFRESHES = 1
MAX_UNANSWERED_REFRESHES_LATE = 3
#: Seconds between reports of this router's requests in flight.
ACTIVE_REPORT_INTERVAL = 0.25
#: Maximum requests in one report, so that it fits a datagram.
MAX_REQUESTS_PER_REPORT = 20
#: Decisions remembered to answer repeated offers.
MAX_REMEMBERED_DECISIONS = 2000
#: Seconds for which events are collected before a round of decisions.
DECIDE_DELAY = 0.001
#: Seconds between two rounds of decisions while requests wait and no event occurs.
DECIDE_INTERVAL = 0.03
#: Pause after a round of decisions, as a multiple of the time that the round took, so
#: that a router with many decisions still processes received messages in time.
ROUND_PAUSE_FACTOR = 3.0
#: Delay in seconds of a late or deferred round of decisions from which a router counts
#: as overloaded and instructs others to throttle, and seconds for which it does so.
LATE_ROUND_DELAY = 0.03
OVERLOAD_DURATION = 0.5
#: Minimum seconds between log lines on one router that doesn't answer.
UNANSWERED_LOG_INTERVAL = 1.0
#: Seconds between two events of an answer after which the scheduler is told that its
#: endpoint goes on. Shorter than the silence after which a router gives up an attempt,
#: as that may have begun before the last event here.
RESUMED_EVENT_INTERVAL = 0.5
#: Prefixes for which this router remembers the last endpoint.
MAX_REMEMBERED_PREFIXES = 4000


class SchedulingCoordinator:
    """Offers this router's requests, and decides on requests of the pools it leads.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    window : float
        Seconds over which an organisation's share is counted.
    basis : callable, optional
        Returns the current state of the registrations at this router.
    features : SchedulingFeatures, optional
        Optional decisions; all are off by default.
    """

    def __init__(
        self,
        fleet: Fleet,
        window: float,
        basis: Callable[[], Basis] | None = None,
        features: SchedulingFeatures | None = None,
    ) -> None:
        self.fleet = fleet
        self.window = window
        self.features = features or SchedulingFeatures()
        self.basis = basis or (lambda: Basis(fleet.own.router))
        self.loop = asyncio.get_running_loop()
        self.pools: dict[PoolId, PoolState] = {}
        self.assignments: dict[ServiceId, PoolAssignment] = {}
        #: Slots of each pool, by service.
        self.weights: dict[ServiceId, dict[PoolId, int]] = {}
        self.pending: dict[CallId, PendingRequest] = {}
        self.placed: dict[CallId, PlacedRequest] = {}
        self.decided: OrderedDict[CallId, Decision] = OrderedDict()
        self.endpoints: dict[EndpointId, Endpoint] = {}
        #: Newest incarnation of each endpoint by its name.
        self.newest: dict[EndpointName, Endpoint] = {}
        #: Evacuated data centres, whose endpoints get no requests.
        self.evacuated: frozenset[DataCentreId] = frozenset()
        #: Loop time at which this router was notified that each endpoint leaves.
        self.leaving_since: dict[EndpointName, float] = {}
        #: Backoffs that endpoints requested from this router.
        self.rests = EndpointBackoffs()
        self.sent_prefixes: OrderedDict[str, EndpointId] = OrderedDict()
        self.last_call_number = 0
        #: Loop time of the last log line on each router that doesn't answer.
        self.unanswered_logged_at: dict[RouterId, float] = {}
        self.decision_statistics = SchedulingStatistics()
        self.slow_endpoints = SlowEndpoints()
        self.admission = AdmissionControl()
        self.selection = PoolSelection(self)
        #: Requests that endpoints of a pool are confirmed not to warm up; None if this
        #: router has no means to.
        self.request_confirmations: Callable[[PoolState], None] | None = None
        #: Loop time from which the next round of decisions may begin, for any pool.
        self.next_round = 0.0
        #: Loop time until which this router counts as overloaded by decisions.
        self.overloaded_until = 0.0

    # Pools

    def refresh(
        self,
        table: EndpointTable,
        routes: RouteTable,
        evacuated: Collection[DataCentreId] = (),
    ) -> list[Endpoint]:
        """Assign the endpoints of each service to pools.

        Endpoints of evacuated data centres get no requests. They still count in the
        assignment, so that the other endpoints stay in their pools.

        Returns
        -------
        list of Endpoint
            Endpoints that were removed or have restarted since the last call.
        """
        before = self.endpoints
        weights_before = self.weights
        self.newest = dict(table.entries)
        self.leaving_since = dict(table.leaving_since)
        self.endpoints = {endpoint.id: endpoint for endpoint in self.newest.values()}
        self.evacuated = frozenset(evacuated)
        pools: dict[PoolId, PoolState] = {}
        pool_of: dict[EndpointId, PoolId] = {}
        self.weights = {}
        engines = self._count_engines(routes)
        for service in routes.services:
            weights = self.weights[service] = {}
            usable = table.usable(service)
            assignment = self.assignments.setdefault(service, PoolAssignment())
            for number, assigned in enumerate(assignment.assign(usable)):
                members = [item for item in assigned if not self.is_evacuated(item)]
                pool = PoolId(f"{service}/{number}")
                pool_state = self.pools.get(pool) or PoolState(
                    pool, Scheduler(self.window, features=self.features)
                )
                plan = self._plan(service, routes, len(members), engines)
                pool_state.scheduler.set_endpoints(members, plan)
                pools[pool] = pool_state
                pool_of.update((item.id, pool) for item in assigned)
                if members:
                    weights[pool] = sum(item.slots for item in members)
        self.pools = pools
        self._log_pool_changes(weights_before)
        self._release_removed_pools()
        for placed in self.placed.values():
            placed.pool = pool_of.get(placed.endpoint, placed.pool)
        for pool_state in pools.values():
            self._schedule_decision(pool_state)
        self.rests.expire(self.endpoints, self.loop.time())
        return [before[name] for name in before.keys() - self.endpoints.keys()]

    def _log_pool_changes(self, before: dict[ServiceId, dict[PoolId, int]]) -> None:
        """Log the services whose number of pools has changed."""
        for service, weights in self.weights.items():
            pools_before = len(before.get(service, {}))
            if pools_before == len(weights):
                continue
            loads = [self.pools[pool].scheduler.loads for pool in weights]
            extra = {
                "service": service,
                "before": pools_before,
                "pools": len(weights),
                "endpoints": sum(len(item) for item in loads),
                "leaders": {pool: self.fleet.leader(pool) for pool in weights},
            }
            logger.info("pools changed", extra=extra)

    def _release_removed_pools(self) -> None:
        """Reject pending requests of removed pools.

        They go to another pool; if the service has none, they are refused.
        """
        for pending in list(self.pending.values()):
            if pending.pool in self.pools:
                continue
            call = pending.offer.call
            service = ServiceId(pending.pool.rsplit("/", 1)[0])
            rejection = (
                unknown_pool_rejection(call)
                if self.weights.get(service)
                else no_endpoints_rejection(call)
            )
            # The leader may still have the pool and would reserve a slot for it.
            self.withdraw_pending(call, rejection)

    def is_superseded(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has restarted since this incarnation."""
        newest = self.newest.get(endpoint.name)
        return newest is not None and newest.incarnation > endpoint.incarnation

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in an evacuated data centre."""
        return endpoint.data_centre in self.evacuated

    def is_excluded(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint leaves or its data centre is evacuated."""
        return endpoint.leaving or self.is_evacuated(endpoint)

    def find_block_reason(
        self, endpoint: Endpoint, granted: Granted
    ) -> BlockReason | None:
        """Return why a request must not be sent to a granted endpoint, None if it may.

        The router that decided may be partitioned from the store, so each router also
        checks its own state before it sends.
        """
        if endpoint.leaving:
            return BlockReason.LEAVING
        if self.is_evacuated(endpoint):
            return BlockReason.EVACUATED
        if self.rests.available_at(endpoint.id, self.loop.time()):
            return BlockReason.RESTING
        decider_knows = granted.basis.offset >= self.basis().offset
        if endpoint.is_warming(self.loop.time()) and not decider_knows:
            return BlockReason.WARMING
        return None

    def backoffs_in(self, pool: PoolId) -> dict[EndpointId, float]:
        """Return the loop time at which the backoff of each endpoint of a pool ends."""
        pool_state = self.pools.get(pool)
        if pool_state is None or not self.rests.entries:
            return {}
        now = self.loop.time()
        available = {
            endpoint: self.rests.available_at(endpoint, now)
            for endpoint in pool_state.scheduler.loads
        }
        return {endpoint: at for endpoint, at in available.items() if at}

    def _count_engines(self, routes: RouteTable) -> int:
        """Return the number of endpoints of all model services."""
        models = {item.id for item in routes.services.values() if item.is_model}
        return sum(item.service in models for item in self.endpoints.values())

    def _plan(
        self, service: ServiceId, routes: RouteTable, members: int, engines: int
    ) -> PoolPlan:
        configured = routes.services[service]
        if not configured.is_model:
            return PoolPlan(
                warm_up_rate=configured.warm_up_rate,
                health_path=configured.health_path,
            )
        throughput = routes.throughput * members / max(1, engines)
        speed = routes.throughput / max(1, engines) or DEFAULT_PREFILL_RATE
        return PoolPlan(
            throughput,
            configured.memory_tokens,
            speed,
            warm_up_rate=configured.warm_up_rate,
            health_path=configured.health_path,
        )

    def decides_for(self, pool: PoolId) -> bool:
        """Return whether this router is the leader of a pool."""
        return self.fleet.leader(pool) == self.fleet.own.router

    def weights_for(
        self,
        service: ServiceId,
        allowed: Collection[DataCentreId] | None,
        software: SoftwareVersion | None = None,
    ) -> dict[PoolId, int]:
        """Return the slots of each pool; see `PoolSelection.weights_for`."""
        return self.selection.weights_for(service, allowed, software)

    def pool_for(
        self,
        service: ServiceId,
        prompt: tuple[Part, ...],
        allowed: Collection[DataCentreId] | None = None,
        software: SoftwareVersion | None = None,
    ) -> PoolId:
        """Return the pool of `service` for requests with the prefix of `prompt`."""
        return self.selection.pool_for(service, prompt, allowed, software)

    # Requests of this router

    async def place_with_fallback(self, offer: Offer, service: ServiceId) -> Decision:
        """Return the decision of the pool of a request's prefix, or of another pool.

        Cancelling the coroutine withdraws the request.
        """
        return await self.selection.place(offer, service)

    async def place(
        self, offer: Offer, pool: PoolId, decide_locally: bool = False
    ) -> Decision:
        """Return the decision on a request.

        Cancelling the coroutine withdraws the request.

        Parameters
        ----------
        offer : Offer
            The request.
        pool : PoolId
            The pool.
        decide_locally : bool
            Whether this router decides even if it doesn't lead the pool.
        """
        rests = self.backoffs_in(pool)
        if rests:
            offer = replace(offer, rests=rests)
        tokens = self.admission.take_throttled_tokens(offer, pool)
        if tokens:
            offer = replace(offer, throttled_tokens=tokens)
        answered = self.loop.create_future()
        pending = PendingRequest(offer, pool, answered, self.loop.time())
        self.pending[offer.call] = pending
        if decide_locally:
            self._decide_locally(pending)
        else:
            self._offer(pending)
        try:
            decision = await pending.answered
        except asyncio.CancelledError:
            self._release(pending)
            raise
        finally:
            self.pending.pop(offer.call, None)
            if pending.timer is not None:
                pending.timer.cancel()
        if isinstance(decision, Granted):
            self._record_placement(pending, decision)
        return decision

    def next_call(self) -> CallId:
        """Return a new identifier of a request for the schedulers."""
        self.last_call_number += 1
        own = self.fleet.own
        return CallId(
            f"{own.router}.{own.incarnation & 0xFFFF:x}.{self.last_call_number}"
        )

    def _offer(self, pending: PendingRequest) -> None:
        if pending.answered.done():
            return
        target = self.fleet.responsible(pending.pool)
        if target != self.fleet.own.router and self._has_timed_out(pending, target):
            target = self._fail_over(pending, target)
        if target == self.fleet.own.router:
            self._decide_locally(pending)
            return
        self._set_target(pending, target)
        wait = (
            OFFER_REFRESH_INTERVAL
            if pending.queued
            else OFFER_RETRY_INTERVALS[pending.unanswered]
        )
        pending.unanswered += 1
        message = offer_message(pending.offer, pending.pool, self.loop.time())
        self.fleet.send(target, message)
        pending.timer = self.loop.call_later(wait, self._offer, pending)

    def _has_timed_out(self, pending: PendingRequest, target: RouterId) -> bool:
        """Return whether a router has left too many offers unanswered.

        A router whose heartbeats arrive gets more time: even late, it decides with the
        usage of all organisations, which its replacement doesn't have.
        """
        if self.fleet.is_seen_since(target, pending.first_offer_at):
            limit = (
                MAX_UNANSWERED_REFRESHES_LATE
                if pending.queued
                else MAX_UNANSWERED_OFFERS_LATE
            )
        else:
            limit = (
                MAX_UNANSWERED_REFRESHES if pending.queued else MAX_UNANSWERED_OFFERS
            )
        return pending.unanswered >= limit

    def _fail_over(self, pending: PendingRequest, target: RouterId) -> RouterId:
        """Suspect a router that doesn't answer; return the next one to ask."""
        self._log_unanswered(target)
        self.fleet.add_suspect(target)
        pending.first_offer_at = self.loop.time()
        pending.unanswered = 0
        pending.queued = False
        return self.fleet.responsible(pending.pool)

    def _set_target(self, pending: PendingRequest, target: RouterId) -> None:
        """Withdraw a request from the router that it was offered to before.

        That router may only be late, and would reserve a slot for the request.
        """
        if pending.target not in (None, target):
            self._withdraw(pending)
        pending.target = target

    def _decide_locally(self, pending: PendingRequest) -> None:
        self._set_target(pending, self.fleet.own.router)
        pool_state = self.pools.get(pending.pool)
        if pool_state is None:
            pending.answered.set_result(no_endpoints_rejection(pending.offer.call))
            return
        pool_state.scheduler.offer(pending.offer, self.loop.time())
        self._decide(pool_state)
        if not pending.answered.done():
            pending.timer = self.loop.call_later(
                OFFER_REFRESH_INTERVAL, self._offer, pending
            )

    def _log_unanswered(self, target: RouterId) -> None:
        now = self.loop.time()
        if now - self.unanswered_logged_at.get(target, 0.0) > UNANSWERED_LOG_INTERVAL:
            logger.info("scheduler does not answer", extra={"scheduler": target})
            self.unanswered_logged_at[target] = now

    def _release(self, pending: PendingRequest) -> None:
        """Withdraw a cancelled request, or return a grant that has just arrived."""
        answered = pending.answered
        if not answered.done() or answered.cancelled():
            self._withdraw(pending)
            return
        decision = answered.result()
        if isinstance(decision, Granted):
            self._record_placement(pending, decision)
            self.ended(decision.call, Outcome.CANCELLED)

    def withdraw_pending(self, call: CallId, rejection: Rejected) -> bool:
        """Resolve a request that waits with a rejection; return whether it waited."""
        pending = self.pending.get(call)
        if pending is None or pending.answered.done():
            return False
        self._withdraw(pending)
        pending.answered.set_result(rejection)
        return True

    def _withdraw(self, pending: PendingRequest) -> None:
        """Withdraw a request from the router that it was offered to."""
        call = pending.offer.call
        if pending.target == self.fleet.own.router:
            pool_state = self.pools.get(pending.pool)
            if pool_state is not None:
                pool_state.scheduler.withdraw(call)
        elif pending.target is not None:
            self.fleet.send(pending.target, WithdrawMessage(pending.pool, call))

    def _record_placement(self, pending: PendingRequest, decision: Granted) -> None:
        offer = pending.offer
        now = self.loop.time()
        memory = offer.prompt_tokens + offer.output_tokens
        active = ActiveRequest(
            offer.call, offer.router, offer.prompt_tokens, memory, now, now
        )
        pool_state = self.pools.get(pending.pool)
        load = pool_state.scheduler.loads.get(decision.endpoint) if pool_state else None
        known = load.active.get(offer.call) if load else None
        self.placed[offer.call] = PlacedRequest(
            pending.pool, known or active, decision.endpoint, offer.prompt
        )

    def cached_at(
        self,
        prompt: tuple[Part, ...],
        allowed: Collection[DataCentreId] | None = None,
    ) -> EndpointId | None:
        """Return the endpoint to which this router last sent the same prefix.

        None if that endpoint is excluded or its data centre is not allowed.
        """
        found = self.sent_prefixes.get(prompt[-2].id) if len(prompt) > 1 else None
        endpoint = self.endpoints.get(found) if found is not None else None
        if endpoint is None or self.is_excluded(endpoint):
            return None
        return found if allowed is None or endpoint.data_centre in allowed else None

    def _record_prefix(self, placed: PlacedRequest) -> None:
        if len(placed.prompt) < 2:
            return
        prefix = placed.prompt[-2].id
        self.sent_prefixes[prefix] = placed.endpoint
        self.sent_prefixes.move_to_end(prefix)
        if len(self.sent_prefixes) > MAX_REMEMBERED_PREFIXES:
            self.sent_prefixes.popitem(last=False)

    def record_load(self, call: CallId, load: Load | None) -> None:
        """Record the load in the head of an answer, for the next report on it."""
        placed = self.placed.get(call)
        if placed is not None and self.features.endpoint_load:
            placed.stated = StatedLoad.of(load, self.loop.time())

    def begun(self, call: CallId, waited: float) -> None:
        """Report the first byte of a request, `waited` seconds after it was sent.

        Called with each event of an answer. One that follows a silence is reported
        too, as it ends the suspension of the endpoint.
        """
        placed = self.placed.get(call)
        if placed is None:
            return
        last, placed.last_event_at = placed.last_event_at, self.loop.time()
        if placed.active.begun:
            if placed.last_event_at - last < RESUMED_EVENT_INTERVAL:
                return
            waited = 0.0
        target = self.fleet.responsible(placed.pool)
        pool_state = self.pools.get(placed.pool)
        stated = placed.take_stated(placed.last_event_at)
        if pool_state is not None:
            pool_state.scheduler.begun(call, waited, stated)
            self._schedule_decision(pool_state)
        placed.active.begun = True
        self._record_prefix(placed)
        if target != self.fleet.own.router:
            report = load_report(stated, self.loop.time())
            message = FirstByteMessage(placed.pool, call, round(waited * 1000), report)
            self.fleet.send(target, message)

    def ended(self, call: CallId, outcome: Outcome, kept: int = 0) -> None:
        """Report the end of an attempt, whose connection is kept for `kept` ms."""
        placed = self.placed.pop(call, None)
        if placed is None:
            return
        pool_state = self.pools.get(placed.pool)
        now = self.loop.time()
        stated = placed.take_stated(now)
        if pool_state is not None:
            pool_state.scheduler.ended(call, outcome, now, kept, stated)
            self._schedule_decision(pool_state)
        target = self.fleet.responsible(placed.pool)
        if target != self.fleet.own.router:
            report = load_report(stated, now)
            message = AttemptEndedMessage(
                placed.pool, call, outcome.value, kept, report
            )
            self.fleet.send(target, message)

    async def report_periodically(self) -> None:
        """Report this router's requests in flight periodically, until cancelled."""
        while True:
            await asyncio.sleep(ACTIVE_REPORT_INTERVAL)
            self.run_periodic_tasks()

    def run_periodic_tasks(self) -> None:
        """Report requests in flight, expire stale state and log statistics."""
        self.report_active()
        now = self.loop.time()
        for pool_state in self.pools.values():
            pool_state.expire(now)
            self._decide(pool_state)
        schedulers = [pool_state.scheduler for pool_state in self.pools.values()]
        self.slow_endpoints.update(schedulers, now)
        self.selection.measure_all(now)
        self.admission.expire(now)
        if self.decision_statistics.is_due():
            accounts = {item.id: item.scheduler.usage for item in self.pools.values()}
            leading = {pool for pool in accounts if self.decides_for(pool)}
            details = {
                pool: self.pools[pool].scheduler.describe(now) for pool in leading
            }
            self.decision_statistics.write(accounts, leading, details)

    def report_active(self) -> None:
        """Report this router's requests in flight to the scheduler of each pool."""
        now = self.loop.time()
        by_pool: dict[PoolId, list[ActiveRequestReport]] = {}
        for placed in self.placed.values():
            placed.active.reported_at = now
            by_pool.setdefault(placed.pool, []).append(placed.report())
        for pool, held in by_pool.items():
            target = self.fleet.responsible(pool)
            if target == self.fleet.own.router:
                self._record_active(self.fleet.own.router, pool, held)
                continue
            for start in range(0, len(held), MAX_REQUESTS_PER_REPORT):
                batch = held[start : start + MAX_REQUESTS_PER_REPORT]
                self.fleet.send(target, ActiveRequestsMessage(pool, batch))

    def fleet_changed(self) -> None:
        """Offer pending requests again, since another router may be responsible now."""
        self.report_active()
        for pending in list(self.pending.values()):
            if pending.timer is not None:
                pending.timer.cancel()
            pending.first_offer_at = self.loop.time()
            pending.unanswered = 0
            pending.queued = False
            self._offer(pending)

    # Decisions for the fleet's requests

    def decide_soon(self, pool_state: PoolState) -> None:
        """Decide on the waiting requests of a pool, as their state has changed."""
        self._schedule_decision(pool_state)

    def _schedule_decision(
        self, pool_state: PoolState, delay: float = DECIDE_DELAY
    ) -> None:
        if not pool_state.scheduler.waiting:
            return
        if pool_state.decision_timer is not None:
            if pool_state.decision_timer.when() - self.loop.time() <= delay:
                return
            pool_state.decision_timer.cancel()
        pool_state.decision_timer = self.loop.call_later(
            delay, self._decide, pool_state
        )

    def _decide(self, pool_state: PoolState) -> None:
        now = self.loop.time()
        if pool_state.decision_timer is not None:
            statistics = self.decision_statistics.of(pool_state.id)
            late = now - pool_state.decision_timer.when()
            statistics.max_delay = max(statistics.max_delay, late)
            if late >= LATE_ROUND_DELAY:
                self.overloaded_until = now + OVERLOAD_DURATION
            pool_state.decision_timer.cancel()
            pool_state.decision_timer = None
        if not pool_state.scheduler.waiting:
            return
        if now < self.next_round:
            pause = self.next_round - now
            pool_state.decision_timer = self.loop.call_later(
                pause, self._decide, pool_state
            )
            return
        scheduler = pool_state.scheduler
        leads = self.decides_for(pool_state.id)
        pool_state.set_leading(leads, now)
        share = 1.0 if leads else self.fleet.fallback_share()
        scheduler.plan = msgspec.structs.replace(scheduler.plan, share=share)
        scheduler.overloaded = now < self.overloaded_until
        scheduler.confirms_warm_up = self.request_confirmations is not None
        decisions = scheduler.decide(now)
        load = self.selection.measure(pool_state, now) if decisions else None
        for decision in decisions:
            self._deliver(decision, load)
        if self.request_confirmations is not None:
            self.request_confirmations(pool_state)
        self._record_round(pool_state.id, decisions, leads, now)
        ended = self.loop.time()
        pause = ROUND_PAUSE_FACTOR * (ended - now)
        self.next_round = ended + pause
        if pause >= LATE_ROUND_DELAY:
            self.overloaded_until = ended + OVERLOAD_DURATION
        if scheduler.waiting:
            pool_state.decision_timer = self.loop.call_later(
                DECIDE_INTERVAL, self._decide, pool_state
            )

    def _record_round(
        self, pool: PoolId, decisions: list[Decision], leads: bool, begun: float
    ) -> None:
        statistics = self.decision_statistics.of(pool)
        statistics.rounds += 1
        statistics.time_spent += self.loop.time() - begun
        granted = sum(isinstance(item, Granted) for item in decisions)
        statistics.granted += granted
        statistics.rejected += len(decisions) - granted
        if not leads:
            self.decision_statistics.alone += granted

    def _deliver(self, decision: Decision, load: PoolLoad | None) -> None:
        # Without the load, which would be older in the answer to a repeated offer.
        self.decided[decision.call] = decision
        decision = msgspec.structs.replace(decision, load=load)
        if len(self.decided) > MAX_REMEMBERED_DECISIONS:
            self.decided.popitem(last=False)
        pending = self.pending.get(decision.call)
        if pending is not None:
            if not pending.answered.done():
                self._complete(
                    pending, self._with_basis(decision), self.fleet.own.router
                )
            return
        router = RouterId(decision.call.rsplit(".", 2)[0])
        self.fleet.send(router, decision_message(decision, self.basis()))

    def _with_basis(self, decision: Decision) -> Decision:
        """Return a decision of this router with the state it was made on."""
        if isinstance(decision, Rejected):
            decider = self.fleet.own.router
            return msgspec.structs.replace(decision, decider=decider)
        return msgspec.structs.replace(decision, basis=self.basis())

    def suspend_endpoint(self, endpoint: EndpointId) -> None:
        """Suspend an endpoint that has failed, whichever router detected it."""
        now = self.loop.time()
        for pool_state in self.pools.values():
            pool_state.scheduler.suspend(endpoint, now)

    # Messages

    def take(self, datagram: Datagram) -> None:
        """Process the messages of a peer."""
        for message in datagram.messages:
            self._process(message, datagram.sender)

    @singledispatchmethod
    def _process(self, message: Message, sender: RouterId) -> None:
        """Process one message; those of other components are ignored."""

    @_process.register
    def _(self, message: OfferMessage, sender: RouterId) -> None:
        decision = self.decided.get(message.call)
        if decision is not None:
            self.fleet.send(sender, decision_message(decision, self.basis()))
            return
        pool_state = self.pools.get(message.pool)
        if pool_state is None:
            self._reject_unknown_pool(message, sender)
            return
        now = self.loop.time()
        if not self.decides_for(message.pool):
            self.fleet.confirm_failure(self.fleet.leader(message.pool))
        known = message.call in pool_state.scheduler.waiting
        statistics = self.decision_statistics.of(message.pool)
        if known:
            statistics.repeated += 1
        else:
            statistics.offers += 1
        pool_state.scheduler.offer(offer_from_message(message, sender, now), now)
        may_decide = not known and now >= self.next_round
        if may_decide and pool_state.scheduler.has_room(now):
            self._decide(pool_state)
        self._schedule_decision(pool_state, DECIDE_INTERVAL)
        if message.call in pool_state.scheduler.waiting:
            self.fleet.send(sender, QueuedMessage(message.call))

    def _reject_unknown_pool(self, message: OfferMessage, sender: RouterId) -> None:
        """Reject an offer for a pool that this router doesn't have.

        Routers that know different endpoints assign them to different pools. A router
        that didn't answer would be considered failed.
        """
        self.decision_statistics.unknown_pool_offers += 1
        rejection = unknown_pool_rejection(message.call)
        self.fleet.send(sender, decision_message(rejection, self.basis()))

    @_process.register
    def _(self, message: WithdrawMessage, sender: RouterId) -> None:
        pool_state = self.pools.get(message.pool)
        if pool_state is not None:
            self.decision_statistics.of(message.pool).withdrawn += 1
            pool_state.scheduler.withdraw(message.call)
            pool_state.scheduler.ended(
                message.call, Outcome.CANCELLED, self.loop.time()
            )

    @_process.register
    def _(self, message: QueuedMessage, sender: RouterId) -> None:
        pending = self.pending.get(message.call)
        if pending is None or pending.target != sender:
            return
        pending.unanswered = 0
        if not pending.queued:
            pending.queued = True
            pending.timer.cancel()
            pending.timer = self.loop.call_later(
                OFFER_REFRESH_INTERVAL, self._offer, pending
            )

    @_process.register
    def _(self, message: GrantMessage, sender: RouterId) -> None:
        self._resolve(grant_from_message(message, sender), sender)

    @_process.register
    def _(self, message: RejectMessage, sender: RouterId) -> None:
        self._resolve(rejection_from_message(message, sender), sender)

    def _resolve(self, decision: Decision, sender: RouterId) -> None:
        pending = self.pending.get(decision.call)
        if pending is None or pending.answered.done():
            return
        if pending.target != sender:
            # A late answer of a router that was replaced. Its replacement may have
            # reserved a slot meanwhile.
            self._withdraw(pending)
        self._complete(pending, decision, sender)

    def _complete(
        self, pending: PendingRequest, decision: Decision, decider: RouterId
    ) -> None:
        """Resolve a pending request, and update the admission of its organisation."""
        pending.answered.set_result(decision)
        if isinstance(decision, Rejected) and decision.reason == UNKNOWN_POOL:
            return
        if decider == self.fleet.leader(pending.pool):
            self.selection.record_decision(pending.offer, pending.pool, decision)
            now = self.loop.time()
            self.admission.record_decision(
                pending.offer, pending.pool, decision, decider, now
            )

    @_process.register
    def _(self, message: FirstByteMessage, sender: RouterId) -> None:
        pool_state = self.pools.get(message.pool)
        if pool_state is not None:
            stated = self._stated_load(message.load)
            pool_state.scheduler.begun(message.call, message.waited / 1000, stated)
            self._schedule_decision(pool_state)

    @_process.register
    def _(self, message: AttemptEndedMessage, sender: RouterId) -> None:
        pool_state = self.pools.get(message.pool)
        if pool_state is not None:
            outcome, now = Outcome(message.outcome), self.loop.time()
            stated = self._stated_load(message.load)
            scheduler = pool_state.scheduler
            scheduler.ended(message.call, outcome, now, message.kept, stated)
            self._schedule_decision(pool_state)

    def _stated_load(self, report: LoadReport | None) -> StatedLoad | None:
        """Return the load that a router reports, None if this router doesn't use it."""
        used = report if self.features.endpoint_load else None
        return StatedLoad.from_report(used, self.loop.time())

    @_process.register
    def _(self, message: ActiveRequestsMessage, sender: RouterId) -> None:
        self._record_active(sender, message.pool, message.held)

    def _record_active(
        self, router: RouterId, pool: PoolId, held: list[ActiveRequestReport]
    ) -> None:
        pool_state = self.pools.get(pool)
        if pool_state is None:
            return
        now = self.loop.time()
        for item in held:
            active = active_request(item, router, now)
            pool_state.scheduler.record_active(item.endpoint, active)
