"""Scheduler of one pool: queues requests, grants them endpoints and rejects others.

For each pool of endpoints, one router runs the scheduler for the whole fleet. The
scheduler performs no input or output and takes the time as an argument, so that any
load can be replayed.

Situations it is designed for:

- Overload of the engines. Requests within the share of their organisation are served
  first, then those whose answers are worth most per engine time. A request that can't
  meet its deadline is rejected at once, with a retry delay.
- An organisation that sends far more than others. Beyond its max-min fair share, it
  gets idle capacity only.
- A route whose requests always rank behind others. It keeps a minimum service rate.
"""

from __future__ import annotations

import math
from bisect import insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.scheduling import rejections, warm_up
from carawayfold.coordination.scheduling.backlog import Backlog
from carawayfold.coordination.scheduling.connection_affinity import EndpointConnections
from carawayfold.coordination.scheduling.copy_sources import find_copy_source
from carawayfold.coordination.scheduling.endpoint_load import (
    DEFAULT_RESIDENCE,
    UNAVAILABLE_SUSPENSION_DURATION,
    ActiveRequest,
    EndpointLoad,
)
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.locality import LocalityPolicy
from carawayfold.coordination.scheduling.offers import (
    Decision,
    Granted,
    Offer,
    Outcome,
    Rejected,
    Standing,
)
from carawayfold.coordination.scheduling.placement import (
    Candidate,
    compute_excess_failures,
    has_room,
)
from carawayfold.coordination.scheduling.rank import (
    QueueEntry,
    Rank,
    compute_value_density,
)
from carawayfold.coordination.scheduling.rejections import FULL_DURATION
from carawayfold.coordination.scheduling.return_schedule import Access, ReturnSchedule
from carawayfold.coordination.scheduling.route_statistics import RouteStatistics
from carawayfold.coordination.scheduling.wait_predictions import WaitPredictions
from carawayfold.state.usage import UsageTable

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.endpoint_speed import StatedLoad
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId, EndpointId, RouteId, RouterId

#: Seconds after which an active request that its router no longer reports is dropped.
ACTIVE_REPORT_TIMEOUT = 1.0
#: Seconds after which a waiting request that its router no longer offers is dropped.
OFFER_TIMEOUT = 1.5
#: Fraction of the tolerated warm-up rate of an endpoint that is used. Grants don't
#: arrive as evenly spaced as they are made, and during a network partition two routers
#: may decide for the same endpoint.
WARM_UP_RATE_FRACTION = 0.8
#: Fraction of an engine's read-ahead and slots that requests beyond their
#: organisation's share may fill, so that requests within a share find room at once.
BEYOND_SHARE_FRACTION = 0.5
#: A route is preferred while its granted ratio is below this fraction of the overall
#: granted ratio.
MIN_SERVED_RATIO = 0.6
#: Seconds between reviews of the whole queue, which sort it again and reject requests
#: that can't be in time any more.
REVIEW_INTERVAL = 0.04
#: Number of requests at the head of the queue for which a review evaluates each
#: endpoint. Bounded so that the time of a decision doesn't grow with the queue.
QUEUE_HEAD_LENGTH = 24
#: The same for a round between two reviews, while an endpoint has room.
MAX_DECIDED_BETWEEN_REVIEWS = 8
#: Assumed prefill rate of an engine in tokens per second where the configuration
#: states no throughput: the lowest one of the known deployments.
DEFAULT_PREFILL_RATE = 60_000.0
#: Statistics of a route of which no request has been offered.
UNKNOWN_ROUTE = RouteStatistics()
#: Tokens of a short request; an endpoint with room for one counts as free.
SHORT_REQUEST_TOKENS = 300


class PoolPlan(msgspec.Struct, frozen=True):
    """Capacity and limits of a pool.

    Attributes
    ----------
    throughput : float
        Configured throughput of the pool in tokens per second; 0 if not stated.
    memory_tokens : int
        Cache memory of each engine in tokens.
    speed : float
        Initial prefill rate of an engine in tokens per second, used until requests
        have been observed.
    share : float
        Fraction of each endpoint that this scheduler may fill, 0 to 1.
    warm_up_rate : float
        Requests per second that an endpoint tolerates while it warms up; 0 for no
        limit.
    health_path : str
        Path of the health checks of its endpoints.
    """

    throughput: float = 0.0
    memory_tokens: int = 0
    speed: float = DEFAULT_PREFILL_RATE
    share: float = 1.0
    warm_up_rate: float = 0.0
    health_path: str = "/"


@dataclass(slots=True)
class Scheduler:
    """Queue and endpoints of one pool.

    All times are in monotonic seconds.

    Attributes
    ----------
    window : float
        Seconds over which the usage of organisations is counted.
    plan : PoolPlan
        Capacity and limits of the pool.
    features : SchedulingFeatures
        Optional decisions.
    loads : dict
        State of each endpoint.
    waiting : dict
        Queued requests by identifier, in order of arrival.
    reported_at : dict
        Time of the last offer of each waiting request.
    placements : dict
        Endpoint of each active request.
    unreachable : dict
        Time until which an endpoint is considered unreachable from a router.
    routes : dict
        Offer and grant counts of each route.
    queue : list of QueueEntry
        The waiting requests in the order in which they are served. Requests that are
        no longer waiting may remain in it until the next review.
    last_review_at : float
        Time of the last review of the whole queue.
    speed : float
        Prefill rate in tokens per second, the mean over the engines.
    full_until : float
        Time until which the pool counts as full.
    overloaded : bool
        Whether this router has too little processing time for all offers.
    least_urgent : int
        Priority of the least urgent requests seen, the highest number.
    warm_up_allowed_from : float
        Time from which this scheduler may grant endpoints that warm up; infinity for
        never.
    confirms_warm_up : bool
        Whether grants to endpoints are limited until these are confirmed not to warm
        up; see `WarmUpState`.
    usage : UsageTable
        Tokens requested by and granted to each organisation.
    predictions : WaitPredictions
        Errors of predicted waits.
    returns : ReturnSchedule or None
        When rejected requests return; None if that is switched off.
    locality : LocalityPolicy
        Decides when requests leave their data centre.
    """

    window: float
    plan: PoolPlan = field(default_factory=PoolPlan)
    features: SchedulingFeatures = field(default_factory=SchedulingFeatures)
    loads: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    waiting: dict[CallId, Offer] = field(default_factory=dict)
    reported_at: dict[CallId, float] = field(default_factory=dict)
    placements: dict[CallId, EndpointId] = field(default_factory=dict)
    unreachable: dict[tuple[RouterId, EndpointId], float] = field(default_factory=dict)
    routes: dict[RouteId, RouteStatistics] = field(default_factory=dict)
    queue: list[QueueEntry] = field(default_factory=list)
    last_review_at: float = 0.0
    speed: float = DEFAULT_PREFILL_RATE
    full_until: float = 0.0
    overloaded: bool = False
    least_urgent: int = 0
    warm_up_allowed_from: float = 0.0
    confirms_warm_up: bool = False
    usage: UsageTable = field(init=False)
    predictions: WaitPredictions = field(init=False)
    returns: ReturnSchedule | None = None
    locality: LocalityPolicy = field(init=False)

    def __post_init__(self) -> None:
        self.usage = UsageTable(self.window)
        self.predictions = WaitPredictions(self.features.schedule_returns)
        if self.features.schedule_returns:
            self.returns = ReturnSchedule()
        self.locality = LocalityPolicy(self.features.remote_cost)

    # Input

    def set_endpoints(self, endpoints: list[Endpoint], plan: PoolPlan) -> None:
        """Replace the endpoints of the pool, keeping the state of those that remain."""
        self.plan = plan
        previous = self.loads
        # A new endpoint must not appear slower than all others.
        residences = [load.residence for load in previous.values()] or [
            DEFAULT_RESIDENCE
        ]
        expected = sum(residences) / len(residences)
        self.loads = {}
        for endpoint in endpoints:
            load = previous.get(endpoint.id)
            if load is None:
                load = EndpointLoad(endpoint, plan.memory_tokens, plan.speed, expected)
                if self.features.reuse_connections:
                    load.connections = EndpointConnections()
            load.endpoint = endpoint
            self.loads[endpoint.id] = load

    def offer(self, offer: Offer, now: float) -> None:
        """Add a request to the queue, or refresh it if it is queued already."""
        self.reported_at[offer.call] = now
        if offer.call in self.waiting:
            return
        self.waiting[offer.call] = offer
        self.locality.record_offer(offer)
        offer.standing, offer.prediction = Standing.NEW, None
        if self.returns is not None:
            self.returns.offered(offer, self.is_within_share(offer), now)
        # A return before its time is not demanded a second time.
        counted = offer.standing is not Standing.EARLY
        requested = offer.charged_tokens * counted + offer.throttled_tokens
        self.usage.asked(offer.organisation, now, requested)
        self.least_urgent = max(self.least_urgent, offer.priority)
        statistics = self.routes.setdefault(
            offer.route, RouteStatistics(updated_at=now)
        )
        statistics.decay(now)
        statistics.offered += counted
        self._record_prefix_hint(offer)
        offer.value_density = self.value_density(offer)
        rank = self.rank(offer, self.overall_granted_ratio(now), now)
        insort(self.queue, QueueEntry(rank, offer))

    def _record_prefix_hint(self, offer: Offer) -> None:
        """Record where a router last sent a prefix, if no engine has it."""
        load = self.loads.get(offer.cached_at) if offer.cached_at else None
        if load is None or len(offer.prompt) < 2:
            return
        shared = offer.prompt[:-1]
        if not any(other.prefixes.kept(shared) for other in self.loads.values()):
            load.prefixes.send(shared)

    def record_cached_prefixes(self, endpoint: EndpointId, parts: list[Part]) -> None:
        """Record the prompt parts that an engine reports as cached."""
        load = self.loads.get(endpoint)
        if load is not None:
            load.prefixes.read(parts)

    def withdraw(self, call: CallId) -> None:
        """Remove a waiting request."""
        self.locality.record_withdrawal(self.waiting.pop(call, None))
        self.reported_at.pop(call, None)

    def begun(
        self, call: CallId, waited: float, stated: StatedLoad | None = None
    ) -> None:
        """Record the first token of a request, `waited` seconds after it was sent.

        Called again for a stream that goes on after a silence. `stated` is the load in
        the head of its answer.
        """
        load = self._load_of(call)
        if load is not None:
            self.locality.record_first_byte(load, call, waited)
            load.begin(call, waited, stated)

    def ended(
        self,
        call: CallId,
        outcome: Outcome,
        now: float,
        kept: int = 0,
        stated: StatedLoad | None = None,
    ) -> None:
        """Record the end of an attempt, whose connection is kept for `kept` ms."""
        load = self._load_of(call)
        self.placements.pop(call, None)
        active = None if load is None else load.end(call, outcome, now, kept, stated)
        if active is None:
            return
        self.locality.record_end(load, active.router, outcome, now)
        if outcome is Outcome.UNREACHABLE:
            until = now + load.suspension_duration
            self.unreachable[active.router, load.endpoint.id] = until

    def suspend(self, endpoint: EndpointId, now: float) -> None:
        """Suspend an endpoint that refuses connections, or leaves."""
        load = self.loads.get(endpoint)
        if load is not None:
            load.suspended_until = now + UNAVAILABLE_SUSPENSION_DURATION

    def record_active(self, endpoint: EndpointId, active: ActiveRequest) -> None:
        """Record a router's report that a request is active at an endpoint."""
        load = self.loads.get(endpoint)
        if load is None:
            return
        known = load.active.get(active.call)
        if known is None:
            load.add(active)
            self.placements[active.call] = endpoint
            return
        known.reported_at = active.reported_at
        if active.begun and not known.begun:
            load.begin(active.call, 0.0)

    def expire(self, now: float) -> None:
        """Remove unreported requests and expired entries of unreachable endpoints."""
        self.locality.expire(now)
        for call, offered_at in list(self.reported_at.items()):
            if now - offered_at > OFFER_TIMEOUT:
                self.withdraw(call)
        for load in self.loads.values():
            if load.connections is not None:
                load.connections.expire(now)
            for active in list(load.active.values()):
                if now - active.reported_at > ACTIVE_REPORT_TIMEOUT:
                    load.remove(active.call)
                    self.placements.pop(active.call, None)
        for pair, until in list(self.unreachable.items()):
            if now >= until:
                del self.unreachable[pair]

    def _load_of(self, call: CallId) -> EndpointLoad | None:
        endpoint = self.placements.get(call)
        return self.loads.get(endpoint) if endpoint is not None else None

    # Decisions

    def decide(self, now: float) -> list[Decision]:
        """Return the grants and rejections that are possible at `now`."""
        if not self.waiting:
            return []
        backlogs = self.backlogs(now)
        self.locality.refresh(backlogs, self.plan.share, now)
        if now - self.last_review_at >= REVIEW_INTERVAL:
            return self._review(backlogs, now)
        decisions: list[Decision] = []
        head, _ = self.locality.split(self.queue, MAX_DECIDED_BETWEEN_REVIEWS)
        for entry in head:
            if not self._has_room(backlogs):
                break
            self._append_decision(decisions, entry.offer, backlogs, now)
        self._remove_decided(decisions)
        return decisions

    def _review(self, backlogs: list[Backlog], now: float) -> list[Decision]:
        """Sort the whole queue again and examine each request."""
        self.last_review_at = now
        self.usage.refresh(now, self.plan.throughput)
        overall = self.overall_granted_ratio(now)
        self.queue = sorted(
            QueueEntry(self.rank(offer, overall, now), offer)
            for offer in self.waiting.values()
        )
        decisions: list[Decision] = []
        head, tail = self.locality.split(self.queue, QUEUE_HEAD_LENGTH)
        for entry in head:
            self._append_decision(decisions, entry.offer, backlogs, now)
        self._reject_late_tail(tail, decisions, backlogs, now)
        if self.returns is not None and not self._has_room(backlogs):
            self.returns.observe_capacity(self.plan.throughput, now)
        self._remove_decided(decisions)
        return decisions

    def _reject_late_tail(
        self,
        tail: list[QueueEntry],
        decisions: list[Decision],
        backlogs: list[Backlog],
        now: float,
    ) -> None:
        """Reject requests behind the head of the queue that can't be in time."""
        if not tail:
            return
        offers = [entry.offer for entry in tail]
        waits = self.locality.predict_tail(offers, backlogs, self.speed)
        idle = self._has_room(backlogs)
        for offer, first_token_in in waits:
            corrected = self.predictions.predict(offer, first_token_in, now)
            if idle:
                corrected = first_token_in
            if self.is_too_late(offer, corrected, now, idle):
                self.predictions.ended(offer, first_token_in, now)
                decisions.append(self._reject_late(offer, corrected, now))

    def _remove_decided(self, decisions: list[Decision]) -> None:
        if not decisions:
            return
        for decision in decisions:
            self.withdraw(decision.call)
        self.queue = [item for item in self.queue if item.offer.call in self.waiting]

    def _append_decision(
        self,
        decisions: list[Decision],
        offer: Offer,
        backlogs: list[Backlog],
        now: float,
    ) -> None:
        if offer.call not in self.waiting:
            return
        decision = self._decide_one(offer, backlogs, now)
        if decision is not None:
            decisions.append(decision)

    def has_room(self, now: float) -> bool:
        """Return whether any endpoint could take a short request at once."""
        return self._has_room(self.backlogs(now))

    def _has_room(self, backlogs: list[Backlog]) -> bool:
        share = self.plan.share
        return any(has_room(item, SHORT_REQUEST_TOKENS, share) for item in backlogs)

    def _decide_one(
        self, offer: Offer, backlogs: list[Backlog], now: float
    ) -> Decision | None:
        usable = self.usable_backlogs(offer, backlogs, now)
        copy_source = find_copy_source(offer, backlogs)
        share = self.fillable_share(offer)
        candidate = self.locality.choose(
            offer, usable, copy_source, share, now, self.is_wait_too_long
        )
        if candidate is None:
            return self._decide_without_endpoint(offer, backlogs, now)
        if candidate.starts_in <= 0:
            self._grant(offer, candidate, now)
            candidate.backlog.add(candidate.prefill_tokens, candidate.memory)
            endpoint = candidate.backlog.id
            source_id = copy_source.id if candidate.copied_tokens else None
            fraction = self._admitted_fraction(offer, now)
            return Granted(offer.call, endpoint, source_id, None, fraction)
        first_token_in = self.first_token_in(offer, candidate, usable, now)
        if self.is_too_late(offer, first_token_in, now):
            self.predictions.ended(offer, candidate.starts_in, now)
            return self._reject_late(offer, first_token_in, now)
        candidate.backlog.add(candidate.prefill_tokens, candidate.memory)
        return None

    def first_token_in(
        self, offer: Offer, candidate: Candidate, usable: list[Backlog], now: float
    ) -> float:
        """Return the corrected seconds until the first token at an endpoint."""
        corrected = self.predictions.first_token_in(offer, candidate, now)
        share = self.fillable_share(offer)
        if corrected > candidate.first_token_in and any(
            has_room(item, offer.prompt_tokens, share) for item in usable
        ):
            # It waits for the endpoint of its prefix, and may go to this one instead.
            return candidate.first_token_in
        return corrected

    def fillable_share(self, offer: Offer) -> float:
        """Return the fraction of each endpoint that a request may fill."""
        if self.is_within_share(offer):
            return self.plan.share
        return self.plan.share * BEYOND_SHARE_FRACTION

    def is_within_share(self, offer: Offer) -> bool:
        """Return whether a request is within its organisation's share."""
        return offer.standing is not Standing.EARLY and self.usage.is_within_share(
            offer.organisation, offer.charged_tokens
        )

    def backlogs(self, now: float) -> list[Backlog]:
        """Return the load of each endpoint at the begin of a round."""
        unreachable_ids = {endpoint for _, endpoint in self.unreachable}
        backlogs = [
            Backlog.of(load, now, endpoint not in unreachable_ids)
            for endpoint, load in self.loads.items()
        ]
        for backlog in backlogs:
            self._limit_warm_up(backlog, now)
        if backlogs:
            self.speed = sum(item.speed for item in backlogs) / len(backlogs)
            compute_excess_failures(backlogs)
        return backlogs

    def _limit_warm_up(self, backlog: Backlog, now: float) -> None:
        """Space out the grants of an endpoint that warms up."""
        rate = self.plan.warm_up_rate
        load = backlog.load
        if not rate:
            return
        if load.is_warming(now):
            next_grant_at = max(load.next_warm_up_grant_at, self.warm_up_allowed_from)
            next_grant_at = min(next_grant_at, load.warm_at)
            backlog.warm_up(self._warm_up_interval(), next_grant_at - now)
        elif self.confirms_warm_up:
            left = self._unconfirmed_allowance() - load.warm_up.count(now)
            backlog.limit_unconfirmed(left, load.warm_up.next_grant_in(now))

    def _warm_up_interval(self) -> float:
        return 1 / (WARM_UP_RATE_FRACTION * self.plan.warm_up_rate)

    def _unconfirmed_allowance(self) -> int:
        leads = self.warm_up_allowed_from < math.inf
        return warm_up.allowance(self.plan.warm_up_rate, leads)

    def loads_to_confirm(self, now: float) -> list[EndpointLoad]:
        """Return the endpoints that must soon be confirmed not to warm up."""
        if not self.confirms_warm_up or not self.plan.warm_up_rate:
            return []
        allowed = self._unconfirmed_allowance()
        return [
            load
            for load in self.loads.values()
            if not load.is_warming(now)
            and warm_up.is_confirmation_due(load.warm_up.count(now), allowed)
        ]

    def confirm_entries(self, since: float) -> None:
        """Record that the entries of all endpoints were current at `since`."""
        for load in self.loads.values():
            load.warm_up.confirm(since)

    def record_warm_up(self, load: EndpointLoad, left: float, now: float) -> None:
        """Record that an endpoint warms up for `left` s, by its health check.

        The grants that it got meanwhile count towards what it tolerates.
        """
        recent = load.warm_up.count(now) * self._warm_up_interval()
        load.next_warm_up_grant_at = now + min(1.0, recent)
        load.warm_up.begin(now + left)

    def usable_backlogs(
        self, offer: Offer, backlogs: list[Backlog], now: float
    ) -> list[Backlog]:
        """Return the endpoints that a request may use."""
        usable = [item for item in backlogs if not item.suspended]
        if offer.allowed is not None or offer.software is not None:
            usable = [item for item in usable if offer.may_run_at(item.load.endpoint)]
        if not offer.avoid and not self.unreachable and not offer.rests:
            return usable
        return [
            item
            for item in usable
            if item.id not in offer.avoid
            and (offer.router, item.id) not in self.unreachable
            and offer.rests.get(item.id, 0.0) <= now
        ]

    def _grant(self, offer: Offer, candidate: Candidate, now: float) -> None:
        load = candidate.backlog.load
        active = ActiveRequest(
            offer.call,
            offer.router,
            candidate.prefill_tokens,
            candidate.memory,
            now,
            now,
            prompt=offer.prompt,
        )
        load.add(active)
        if load.connections is not None:
            load.connections.take(offer.call, now)
        load.prefixes.send(offer.prompt)
        load.next_warm_up_grant_at = now + candidate.backlog.grant_interval
        if self.confirms_warm_up and self.plan.warm_up_rate:
            load.warm_up.record_grant(now)
        self.placements[offer.call] = load.endpoint.id
        self.usage.granted(offer.organisation, now, offer.charged_tokens)
        self.predictions.granted(offer, now)
        if self.returns is not None:
            self.returns.granted(offer, now)
        statistics = self.routes[offer.route]
        statistics.granted += 1

    def is_too_late(
        self, offer: Offer, first_token_in: float, now: float, idle: bool = False
    ) -> bool:
        """Return whether a request with that prediction is rejected."""
        # While an endpoint has room, the next rounds may grant it to an early return.
        kept = idle and offer.standing is Standing.EARLY
        rules = rejections if self.returns is None or kept else self.returns
        return rules.is_too_late(offer, first_token_in, self.speed, now)

    def is_wait_too_long(self, offer: Offer, place: Candidate, now: float) -> bool:
        """Return whether a request is rejected if it waits for an endpoint."""
        first_token_in = self.predictions.first_token_in(offer, place, now)
        return self.is_too_late(offer, first_token_in, now)

    def _decide_without_endpoint(
        self, offer: Offer, backlogs: list[Backlog], now: float
    ) -> Decision | None:
        """Keep a request waiting only if an endpoint becomes usable in time.

        Otherwise it is rejected at once, so that its caller keeps the remaining time
        for a retry.
        """
        usable_at = rejections.earliest_usable_at(offer, backlogs, self.unreachable)
        if rejections.may_wait_until(offer, usable_at, now):
            return None
        wait = max(0.0, usable_at - now) if usable_at < math.inf else 0.0
        return self._reject(offer, "no endpoint to be reached", wait, now)

    def _reject_late(self, offer: Offer, first_token_in: float, now: float) -> Rejected:
        """Reject a request that could not be answered in time."""
        self.full_until = now + FULL_DURATION
        factor = rejections.LATE_RETRY_FACTOR if self.returns is None else 1.0
        return self._reject(offer, "no answer in time", factor * first_token_in, now)

    def _reject(self, offer: Offer, reason: str, wait: float, now: float) -> Rejected:
        """Reject a request, for a `reason` that is reported to its caller.

        A retry does not help before `wait` seconds.
        """
        if self.returns is None:
            retry_after = rejections.spread_retry_after(offer, wait, now)
        else:
            retry_after = self.returns.promise(offer, wait, self._access(offer), now)
        holder = rejections.find_prefix_holder(offer, self.loads, self.unreachable, now)
        fraction = self._admitted_fraction(offer, now)
        return Rejected(offer.call, reason, retry_after, holder, None, fraction)

    def _access(self, offer: Offer) -> Access:
        """Return which part of the expected room a rejected request may use."""
        if not self.is_within_share(offer):
            return Access.BEYOND_SHARE
        urgent = offer.priority < self.least_urgent
        if urgent or self.usage.is_underserved(offer.organisation):
            return Access.FIRST
        return Access.WITHIN_SHARE

    def _admitted_fraction(self, offer: Offer, now: float) -> float:
        """Return the fraction of similar requests that may be offered to a full pool.

        It is 1 where less urgent requests exist, since these wait instead, and 1
        while this router has time to examine all offers.
        """
        if not self.overloaded or now >= self.full_until:
            return 1.0
        if offer.priority < self.least_urgent:
            return 1.0
        return self.usage.admitted_part(offer.organisation)

    def describe(self, now: float) -> dict[str, float]:
        """Return fields of a log line on the pool since the last one."""
        waits = self.predictions.take_summary()
        return waits if self.returns is None else waits | self.returns.take_summary(now)

    # Queue order

    def overall_granted_ratio(self, now: float) -> float:
        """Return the fraction of recent requests that were granted."""
        offered = granted = 0.0
        for statistics in self.routes.values():
            statistics.decay(now)
            offered += statistics.offered
            granted += statistics.granted
        return granted / offered if offered else 1.0

    def rank(self, offer: Offer, overall: float, now: float) -> Rank:
        """Return the place of a request in the order of the queue."""
        early = offer.standing is Standing.EARLY
        underserved = self.usage.is_underserved(offer.organisation) and not early
        route_not_behind = (
            self.routes.get(offer.route, UNKNOWN_ROUTE).granted_ratio()
            >= MIN_SERVED_RATIO * overall
        )
        return Rank(
            organisation_not_behind=not underserved,
            beyond_share=not self.is_within_share(offer),
            late=now >= offer.latest or early,
            priority=offer.priority,
            route_not_behind=route_not_behind,
            negated_density=-offer.value_density,
            due=offer.due,
        )

    def value_density(self, offer: Offer) -> int:
        """Return the value of the answer per engine time; see `Offer.value_density`."""
        loads = self.loads.values()
        kept = max((load.prefixes.kept(offer.prompt) for load in loads), default=0)
        return compute_value_density(offer, kept)
