"""Decides which request of a pool goes where and when, and which is turned away.

One router does so for each pool of endpoints, for the whole fleet. It performs no
input or output and takes the time as an argument, so that any load can be replayed.

The loads it answers:

- more work than the engines can do: what is owed to its organisation goes first, then
  what is worth most for the engine's time; what can't be in time is turned away at
  once, with when to come back;
- one organisation that floods: beyond its max-min share it gets only what is idle;
- a kind of request that others would always push aside: it keeps a part of its own.
"""

from __future__ import annotations

import math
from bisect import insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from carawayfold.coordination.scheduling.backlog import Backlog
from carawayfold.coordination.scheduling.donors import LEAST_FETCHED, find_donor
from carawayfold.coordination.scheduling.endpoint_load import (
    RESIDENCE,
    Active,
    EndpointLoad,
)
from carawayfold.coordination.scheduling.offers import (
    GENERATED_WEIGHT,
    Decision,
    Granted,
    Offer,
    Outcome,
    TurnedAway,
)
from carawayfold.coordination.scheduling.placement import (
    Choice,
    choose,
    has_room,
    tell_failing_apart,
)
from carawayfold.state.usage import UsageBook

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId, EndpointId, RouteId, RouterId

#: Seconds for which an active request counts without word of its router.
ACTIVE_LIFETIME = 1.0
#: Seconds for which a waiting request counts without word of its router.
OFFER_LIFETIME = 1.5
#: First and longest time in seconds for which an endpoint that fell silent rests.
FIRST_REST = 0.5
LONGEST_REST = 4.0
#: Seconds for which one rests that refuses connections, or leaves by the word of a
#: router that has read so: its registration tells within that.
LOST_REST = 4.0
#: Seconds for which one rests that a router knows to warm up and this one does not:
#: its registration tells within that.
WARMING_REST = 0.5
#: Part of the rate that an endpoint tolerates while it warms up which it is given.
#: Grants don't arrive as evenly as they are given, and two routers may decide at once
#: while a partition lasts.
WARM_UP_PART = 0.8
#: Part of an engine's read-ahead and slots that work beyond a share may fill, so
#: that owed work finds room at once.
BEYOND_SHARE_PART = 0.5
#: A kind of request goes first while its served part is below this part of all's.
LEAST_SERVED = 0.6
#: Seconds in which the memory of what was served of a kind is halved.
SERVED_HALF_LIFE = 5.0
#: Tokens added to the cost of a request, so that tiny ones don't count as free.
FIXED_COST = 200
#: How far a prediction may miss the objective before a request is turned away for
#: it, as a part of the time wanted: predictions are not that good.
PREDICTION_MARGIN = 0.15
#: Part of a request's own reading time by which it may miss the objective: prompts
#: so long that reading them takes most of it would never be served otherwise.
OWN_READING = 0.6
#: Part of the time left that a request which can't be in time any more may wait for
#: idle capacity.
LATE_PATIENCE = 0.02
#: Least and most seconds told to callers who are turned away.
LEAST_RETRY = 0.3
MOST_RETRY = 5.0
#: After how many times the wait for an answer callers come back that could not have
#: been answered in time, so that the queue has gone down meanwhile.
LATE_RETRY = 2.0
#: Part of the time left that callers wait at most before they come back.
RETRY_PART = 1 / 3
#: Seconds between looks at every waiting request, to order them anew and to find
#: those that can't be in time any more.
REVIEW_INTERVAL = 0.04
#: Requests at the head of the queue for which each endpoint is weighed, so that the
#: time of a decision does not grow with the queue.
HEAD = 24
#: The same between two such looks, whenever an endpoint has room.
LOOKED_AT = 8
#: Tokens a second that an engine is taken to read where the operators state no
#: throughput: the least of the deployments known.
UNSTATED_SPEED = 60_000.0
#: Seconds for which a pool counts as full after it turned a request away that could
#: not be in time.
FULL_FOR = 0.5
#: Tokens of a short request, for which an endpoint must have room to count as free.
SHORT_REQUEST = 300


class Served(msgspec.Struct):
    """How much of a kind of request was offered and granted, fading with time."""

    offered: float = 0.0
    granted: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        """Let what lies back count less."""
        factor = 0.5 ** ((now - self.at) / SERVED_HALF_LIFE)
        self.offered *= factor
        self.granted *= factor
        self.at = now

    def part(self) -> float:
        """Return the part that was granted."""
        return self.granted / self.offered if self.offered else 1.0


class Rank(NamedTuple):
    """What a request's place in the queue is judged by, the least first.

    Attributes
    ----------
    enough : bool
        Whether its organisation has got about as much as others.
    beyond_share : bool
        Whether it is beyond its organisation's share.
    late : bool
        Whether it misses its objective already.
    kind_enough : bool
        Whether its kind of request is served about as often as all are.
    lightness : int
        The less, the more it is worth for the engine's time.
    due : float
        When its caller wants the answer.
    """

    enough: bool
    beyond_share: bool
    late: bool
    priority: int
    kind_enough: bool
    lightness: int
    due: float


@dataclass(slots=True, order=True)
class Ranked:
    """A request in its place in the queue."""

    rank: Rank
    offer: Offer = field(compare=False)


class PoolPlan(msgspec.Struct, frozen=True):
    """What a scheduler has to work with.

    Attributes
    ----------
    throughput : float
        Tokens a second of the pool by the operators' word; 0 if not stated.
    memory_tokens : int
        Memory of each engine.
    speed : float
        Tokens a second that an engine reads, before anything is measured.
    share : float
        Part of each endpoint that this scheduler may fill, 0 to 1.
    warm_up_rate : float
        Requests a second that an endpoint tolerates while it warms up; 0 for any.
    """

    throughput: float = 0.0
    memory_tokens: int = 0
    speed: float = UNSTATED_SPEED
    share: float = 1.0
    warm_up_rate: float = 0.0


@dataclass(slots=True)
class Scheduler:
    """Queue and endpoints of one pool.

    Attributes
    ----------
    waiting : dict
        Requests without an endpoint, in order of arrival.
    order : list of Ranked
        The same in the order in which they are served; those that have left may
        still stand there until the next look at all.
    unreachable : dict
        Until when a router is taken not to reach an endpoint.
    speed : float
        Tokens that an engine reads a second, the mean of what is measured.
    full_until : float
        Monotonic seconds until which the pool counts as one that can't do what is
        asked of it.
    hurried : bool
        Whether its router has too little time for all that is offered.
    least_urgent : int
        The priority of the least urgent requests, the highest number.
    warming_from : float
        Monotonic seconds from which endpoints that warm up may get requests by this
        scheduler, infinity for never.
    """

    window: float
    plan: PoolPlan = field(default_factory=PoolPlan)
    loads: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    waiting: dict[CallId, Offer] = field(default_factory=dict)
    refreshed: dict[CallId, float] = field(default_factory=dict)
    places: dict[CallId, EndpointId] = field(default_factory=dict)
    unreachable: dict[tuple[RouterId, EndpointId], float] = field(default_factory=dict)
    served: dict[RouteId, Served] = field(default_factory=dict)
    order: list[Ranked] = field(default_factory=list)
    reviewed: float = 0.0
    speed: float = UNSTATED_SPEED
    full_until: float = 0.0
    hurried: bool = False
    least_urgent: int = 0
    warming_from: float = 0.0
    usage: UsageBook = field(init=False)

    def __post_init__(self) -> None:
        self.usage = UsageBook(self.window)

    # What the scheduler is told

    def set_endpoints(self, endpoints: list[Endpoint], plan: PoolPlan) -> None:
        """Take the pool's endpoints; what is known of those that stay is kept."""
        self.plan = plan
        known = self.loads
        # One that nothing is known of should not seem slower than all others.
        residences = [load.residence for load in known.values()] or [RESIDENCE]
        expected = sum(residences) / len(residences)
        self.loads = {}
        for endpoint in endpoints:
            load = known.get(endpoint.id)
            if load is None:
                load = EndpointLoad(endpoint, plan.memory_tokens, plan.speed, expected)
            load.endpoint = endpoint
            self.loads[endpoint.id] = load

    def offer(self, offer: Offer, now: float) -> None:
        """Take a request, or word that it still waits."""
        self.refreshed[offer.call] = now
        if offer.call in self.waiting:
            return
        self.waiting[offer.call] = offer
        asked = offer.share_tokens + offer.held_back
        self.usage.asked(offer.organisation, now, asked)
        self.least_urgent = max(self.least_urgent, offer.priority)
        served = self.served.setdefault(offer.route, Served(at=now))
        served.fade(now)
        served.offered += 1
        self._learn_prefix(offer)
        offer.density = self._density(offer)
        rank = self._rank(offer, self._overall_part(now), now)
        insort(self.order, Ranked(rank, offer))

    def _learn_prefix(self, offer: Offer) -> None:
        """Believe a router that knows where a prefix went, if nobody else does."""
        load = self.loads.get(offer.kept_at) if offer.kept_at else None
        if load is None or len(offer.prompt) < 2:
            return
        shared = offer.prompt[:-1]
        if not any(other.prefixes.kept(shared) for other in self.loads.values()):
            load.prefixes.send(shared)

    def learn_kept(self, endpoint: EndpointId, parts: list[Part]) -> None:
        """Take an engine's own word on what it keeps."""
        load = self.loads.get(endpoint)
        if load is not None:
            load.prefixes.read(parts)

    def withdraw(self, call: CallId) -> None:
        """Forget a request that waits."""
        self.waiting.pop(call, None)
        self.refreshed.pop(call, None)

    def begun(self, call: CallId, waited: float) -> None:
        """Note the first token of a request."""
        load = self._load_of(call)
        if load is not None:
            load.begin(call, waited)

    def ended(self, call: CallId, outcome: Outcome, now: float) -> None:
        """Note the end of an attempt."""
        load = self._load_of(call)
        self.places.pop(call, None)
        if load is None:
            return
        active = load.remove(call)
        if active is None:
            return
        if outcome is Outcome.WHOLE:
            load.measure_residence(now - active.since)
        if outcome is Outcome.LEAVING:
            self.lost(load.endpoint.id, now)
            return
        if outcome is Outcome.WARMING:
            load.suspended_until = max(load.suspended_until, now + WARMING_REST)
            return
        if outcome is not Outcome.CANCELLED:
            load.measure_failure(outcome is not Outcome.WHOLE, now)
        if outcome is Outcome.SILENT:
            self._rest(load, now)
        if outcome is Outcome.UNREACHABLE:
            rest = min(LONGEST_REST, FIRST_REST * 2 ** min(load.silences, 3))
            self.unreachable[active.router, load.endpoint.id] = now + rest

    def lost(self, endpoint: EndpointId, now: float) -> None:
        """Send nothing more to an endpoint that takes no connections, or leaves."""
        load = self.loads.get(endpoint)
        if load is not None:
            load.suspended_until = now + LOST_REST

    def _rest(self, load: EndpointLoad, now: float) -> None:
        rest = min(LONGEST_REST, FIRST_REST * 2 ** min(load.silences, 3))
        load.silences += 1
        load.suspended_until = now + rest

    def holds(self, endpoint: EndpointId, active: Active) -> None:
        """Take a router's word that a request is at an endpoint."""
        load = self.loads.get(endpoint)
        if load is None:
            return
        known = load.active.get(active.call)
        if known is None:
            load.add(active)
            self.places[active.call] = endpoint
            return
        known.refreshed = active.refreshed
        if active.begun and not known.begun:
            load.begin(active.call, 0.0)

    def expire(self, now: float) -> None:
        """Forget what no router has spoken of for too long."""
        for call, heard in list(self.refreshed.items()):
            if now - heard > OFFER_LIFETIME:
                self.withdraw(call)
        for load in self.loads.values():
            for active in list(load.active.values()):
                if now - active.refreshed > ACTIVE_LIFETIME:
                    load.remove(active.call)
                    self.places.pop(active.call, None)
        for pair, until in list(self.unreachable.items()):
            if now >= until:
                del self.unreachable[pair]

    def _load_of(self, call: CallId) -> EndpointLoad | None:
        endpoint = self.places.get(call)
        return self.loads.get(endpoint) if endpoint is not None else None

    # Decisions

    def decide(self, now: float) -> list[Decision]:
        """Return every grant and every refusal that is due."""
        if not self.waiting:
            return []
        backlogs = self._backlogs(now)
        if now - self.reviewed >= REVIEW_INTERVAL:
            return self._review(backlogs, now)
        decisions: list[Decision] = []
        for entry in self.order[:LOOKED_AT]:
            if not self._has_room(backlogs):
                break
            self._decide_into(decisions, entry.offer, backlogs, now)
        self._drop_decided(decisions)
        return decisions

    def _review(self, backlogs: list[Backlog], now: float) -> list[Decision]:
        """Order all requests anew and look at each one."""
        self.reviewed = now
        self.usage.refresh(now, self.plan.throughput)
        overall = self._overall_part(now)
        self.order = sorted(
            Ranked(self._rank(offer, overall, now), offer)
            for offer in self.waiting.values()
        )
        decisions: list[Decision] = []
        for entry in self.order[:HEAD]:
            self._decide_into(decisions, entry.offer, backlogs, now)
        self._review_tail(decisions, backlogs, now)
        self._drop_decided(decisions)
        return decisions

    def _review_tail(
        self, decisions: list[Decision], backlogs: list[Backlog], now: float
    ) -> None:
        """Turn away what can't be in time behind the head of the queue.

        For these the pool counts as one endpoint: which one each would get is not
        known yet, and to work it out for a long queue would take too long.
        """
        tail = self.order[HEAD:]
        if not tail or not backlogs:
            return
        able = [item for item in backlogs if not item.spacing] or backlogs
        speed = self.speed * len(able)
        places = sum(item.slots for item in able)
        residence = sum(item.residence for item in able) / len(able)
        unread = sum(item.unread for item in able)
        behind = sum(item.running for item in able) - places
        for entry in tail:
            offer = entry.offer
            behind += 1
            unread += offer.prompt_tokens - offer.shared_tokens
            first_in = max(unread / speed, behind * residence / places)
            if self._is_hopeless(offer, first_in, now):
                decisions.append(self._turn_away_late(offer, first_in, now))

    def _drop_decided(self, decisions: list[Decision]) -> None:
        if not decisions:
            return
        for decision in decisions:
            self.withdraw(decision.call)
        self.order = [item for item in self.order if item.offer.call in self.waiting]

    def _decide_into(
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
        return self._has_room(self._backlogs(now))

    def _has_room(self, backlogs: list[Backlog]) -> bool:
        share = self.plan.share
        return any(has_room(item, SHORT_REQUEST, share) for item in backlogs)

    def _decide_one(
        self, offer: Offer, backlogs: list[Backlog], now: float
    ) -> Decision | None:
        usable = self._usable(offer, backlogs, now)
        donor = find_donor(offer, backlogs)
        share = self._share_of(offer)
        choice = choose(offer, usable, donor, share, now)
        if choice is None:
            return self._without_endpoint(offer, backlogs, now)
        if choice.starts_in <= 0:
            self._grant(offer, choice, now)
            choice.backlog.add(choice.unread, choice.memory)
            named = donor.id if choice.fetched else None
            admitted = self._admitted(offer, now)
            return Granted(offer.call, choice.backlog.id, named, admitted=admitted)
        if self._is_hopeless(offer, choice.first_in, now):
            return self._turn_away_late(offer, choice.first_in, now)
        choice.backlog.add(choice.unread, choice.memory)
        return None

    def _share_of(self, offer: Offer) -> float:
        """Return the part of each endpoint that a request may fill."""
        if self.usage.is_owed(offer.organisation, offer.share_tokens):
            return self.plan.share
        return self.plan.share * BEYOND_SHARE_PART

    def _backlogs(self, now: float) -> list[Backlog]:
        lost = {endpoint for _, endpoint in self.unreachable}
        backlogs = [
            Backlog.of(load, now, endpoint not in lost)
            for endpoint, load in self.loads.items()
        ]
        for backlog in backlogs:
            self._limit_warming(backlog, now)
        if backlogs:
            self.speed = sum(item.speed for item in backlogs) / len(backlogs)
            tell_failing_apart(backlogs)
        return backlogs

    def _limit_warming(self, backlog: Backlog, now: float) -> None:
        """Give an endpoint that warms up one request at a time, evenly spaced."""
        rate = self.plan.warm_up_rate
        load = backlog.load
        if rate and load.endpoint.is_warming(now):
            opens_at = max(load.next_warm_up, self.warming_from)
            opens_at = min(opens_at, load.endpoint.warm_at)
            backlog.warm_up(1 / (WARM_UP_PART * rate), opens_at - now)

    def _usable(
        self, offer: Offer, backlogs: list[Backlog], now: float
    ) -> list[Backlog]:
        usable = [item for item in backlogs if not item.resting]
        if offer.allowed is not None:
            usable = [item for item in usable if offer.may_run_in(item.data_centre)]
        if not offer.avoid and not self.unreachable and not offer.rests:
            return usable
        return [
            item
            for item in usable
            if item.id not in offer.avoid
            and (offer.router, item.id) not in self.unreachable
            and offer.rests.get(item.id, 0.0) <= now
        ]

    def _grant(self, offer: Offer, choice: Choice, now: float) -> None:
        load = choice.backlog.load
        active = Active(
            offer.call,
            offer.router,
            choice.unread,
            choice.memory,
            now,
            now,
            prompt=offer.prompt,
        )
        load.add(active)
        load.prefixes.send(offer.prompt)
        load.next_warm_up = now + choice.backlog.spacing
        self.places[offer.call] = load.endpoint.id
        self.usage.granted(offer.organisation, now, offer.share_tokens)
        served = self.served[offer.route]
        served.granted += 1

    def _is_hopeless(self, offer: Offer, first_in: float, now: float) -> bool:
        if now >= offer.due:
            patience = (offer.expires - offer.arrived) * LATE_PATIENCE
            return now - offer.arrived > patience
        margin = (offer.due - offer.arrived) * PREDICTION_MARGIN
        reading = offer.prompt_tokens / self.speed * OWN_READING
        return now + first_in > offer.due + margin + reading

    def _without_endpoint(
        self, offer: Offer, backlogs: list[Backlog], now: float
    ) -> Decision | None:
        """Wait for an endpoint that rests only if it can still answer in time.

        A caller that is told at once when to come back has the rest of its time left.
        """
        usable_at = self._usable_at(offer, backlogs)
        if now < offer.expires and usable_at < offer.due:
            return None
        rest = max(0.0, usable_at - now) if usable_at < math.inf else 0.0
        return self._turn_away(offer, "no endpoint to be reached", rest, now)

    def _usable_at(self, offer: Offer, backlogs: list[Backlog]) -> float:
        """Return when the first endpoint may be tried again, infinity for never."""
        return min(
            (
                max(
                    item.load.suspended_until,
                    self.unreachable.get((offer.router, item.id), 0.0),
                    offer.rests.get(item.id, 0.0),
                )
                for item in backlogs
                if item.id not in offer.avoid and offer.may_run_in(item.data_centre)
            ),
            default=math.inf,
        )

    def _turn_away_late(self, offer: Offer, first_in: float, now: float) -> TurnedAway:
        """Refuse a request that could not be answered in time."""
        self.full_until = now + FULL_FOR
        return self._turn_away(offer, "no answer in time", LATE_RETRY * first_in, now)

    def _turn_away(
        self, offer: Offer, reason: str, wait: float, now: float
    ) -> TurnedAway:
        """Refuse, with a time to come back that differs between callers.

        Parameters
        ----------
        wait : float
            Seconds before which coming back does not help.
        """
        draw = xxhash.xxh3_64_intdigest(offer.call.encode()) % 1000 / 1000
        wanted = max(LEAST_RETRY, wait) * (0.75 + 0.5 * draw)
        longest = max(LEAST_RETRY, (offer.expires - now) * RETRY_PART)
        retry_after = min(wanted, longest, MOST_RETRY)
        keeper = self._keeper_of(offer, now)
        admitted = self._admitted(offer, now)
        return TurnedAway(offer.call, reason, retry_after, keeper, admitted=admitted)

    def _admitted(self, offer: Offer, now: float) -> float:
        """Return the part of such requests that may be offered to a pool that is full.

        All where others are less urgent, since these wait for them, and all while
        there is time to choose among them.
        """
        if not self.hurried or now >= self.full_until:
            return 1.0
        if offer.priority < self.least_urgent:
            return 1.0
        return self.usage.admitted_part(offer.organisation)

    def _keeper_of(self, offer: Offer, now: float) -> EndpointId | None:
        """Return the engine that others may copy a prompt's beginning from, if any."""
        if offer.shared_tokens < LEAST_FETCHED:
            return None
        lost = {endpoint for _, endpoint in self.unreachable}
        most, keeper = LEAST_FETCHED - 1, None
        for name, load in self.loads.items():
            present = load.prefixes.present(offer.prompt)
            if present > most and Backlog.of(load, now, name not in lost).may_donate:
                most, keeper = present, name
        return keeper

    # Order

    def _overall_part(self, now: float) -> float:
        offered = granted = 0.0
        for served in self.served.values():
            served.fade(now)
            offered += served.offered
            granted += served.granted
        return granted / offered if offered else 1.0

    def _rank(self, offer: Offer, overall: float, now: float) -> Rank:
        owed = self.usage.is_owed(offer.organisation, offer.share_tokens)
        late = now >= offer.due
        enough = self.served[offer.route].part() >= LEAST_SERVED * overall
        return Rank(
            enough=not self.usage.is_behind(offer.organisation),
            beyond_share=not owed,
            late=late,
            priority=offer.priority,
            kind_enough=enough,
            lightness=-offer.density,
            due=offer.due,
        )

    def _density(self, offer: Offer) -> int:
        """Return what an answer is worth for the engine's time that it takes.

        Both are rough, so only the power of two counts: what is within a factor of
        two goes by its objective.
        """
        kept = max(
            (load.prefixes.kept(offer.prompt) for load in self.loads.values()),
            default=0,
        )
        cost = offer.prompt_tokens - kept + GENERATED_WEIGHT * offer.output_tokens
        return math.floor(math.log2((offer.worth + 1) / (cost + FIXED_COST)))
