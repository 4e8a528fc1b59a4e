"""Schedule of the times at which rejected requests return to a pool.

Designed for bursts of some seconds, in which a pool rejects as many requests as it
serves, and for callers that retry once only. With retry delays from the predicted wait
alone, all rejected requests return during the same burst, and at the same moment. The
schedule counts what is expected at each time, and tells each caller the earliest one at
which there is room for its request.

It also recognises returns, so that callers that return before their time gain nothing
over those that wait, and so that requests past their objective rank as such.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from carawayfold.coordination.scheduling import rejections
from carawayfold.coordination.scheduling.offers import Standing
from carawayfold.coordination.scheduling.rejections import (
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
)

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.state.ids import OrganisationId, PartId, RouteId

#: Seconds of one bucket of the schedule. Returns are spread evenly within it.
BUCKET_DURATION = 0.1
#: Buckets of the schedule; the longest retry delay ends in the last one.
BUCKETS = math.ceil(MAX_RETRY_AFTER / BUCKET_DURATION) + 2
#: Tokens added to the cost of a request, so that requests without a prompt count.
FIXED_COST_TOKENS = 200
#: Half-life in seconds of the rate of grants, and of the capacity derived from it.
CAPACITY_HALF_LIFE = 1.0
#: Half-life in seconds of the current demand: long enough that single requests don't
#: count as a burst, short enough to see a burst before it ends.
DEMAND_HALF_LIFE = 0.5
#: Half-life in seconds of the mean demand, much longer than a burst.
MEAN_HALF_LIFE = 20.0
#: Seconds after which half of the demand above its mean is expected to have ended.
BURST_HALF_LIFE = 2.0
#: Fraction of the excess that is expected after each number of buckets.
EXCESS_FRACTIONS = tuple(
    0.5 ** (number * BUCKET_DURATION / BURST_HALF_LIFE) for number in range(BUCKETS)
)
#: Least seconds over which a rate is computed, after the first event.
MIN_RATE_DURATION = 0.25
#: Maximum promises that are remembered; the oldest is dropped.
MAX_PROMISES = 4096
#: Seconds after its rejection for which a promise is remembered.
PROMISE_DURATION = MAX_RETRY_AFTER + 1.0
#: Difference in seconds within which two deadlines count as one, for requests with
#: contents of their own: a retry passes through the network twice more. Without
#: contents, other requests of a route may have a similar deadline.
DEADLINE_TOLERANCE = 0.1
PLAIN_DEADLINE_TOLERANCE = 0.02
#: Seconds by which an objective must be shorter than that of new requests of its
#: route for a request without contents of its own to count as a return. Longer than a
#: router takes to read a request, shorter than the least retry delay.
MIN_WAITED = 0.1
#: Seconds by which a caller may return before its time, by the error of clocks and of
#: the time left that it states.
EARLY_TOLERANCE = 0.1
#: Weight of the newest promise in the ratio of callers that return, and its minimum:
#: the schedule must not believe that nobody returns.
RETURN_WEIGHT = 0.02
MIN_RETURN_RATIO = 0.1
#: Fraction of its remaining time that a request that returned when it was told may
#: wait for idle capacity. Its caller may not retry again, so a rejection can lose it.
RETURN_WAIT_FRACTION = 0.1
#: Fraction of the permitted delays, the last ones, that is used if no room is expected.
LAST_FRACTION = 1 / 3


class Access(Enum):
    """Fraction of the expected room that a returning request may use."""

    #: Its organisation is underserved, or it is more urgent than others.
    FIRST = 1.0
    WITHIN_SHARE = 0.8
    #: Its organisation exceeds its share; of the room that all new requests leave.
    BEYOND_SHARE = 0.5


class Rate(msgspec.Struct):
    """Exponentially decaying rate of amounts.

    Attributes
    ----------
    half_life : float
        Half-life in seconds.
    total : float
        Decayed sum as of `updated_at`.
    updated_at : float
        Monotonic seconds of the last decay.
    since : float
        Monotonic seconds of the first amount; infinity before.
    """

    half_life: float
    total: float = 0.0
    updated_at: float = 0.0
    since: float = math.inf

    def add(self, amount: float, now: float) -> None:
        """Add an amount at `now`, in monotonic seconds."""
        self.since = min(self.since, now)
        self._decay(now)
        self.total += amount

    def per_second(self, now: float) -> float:
        """Return the rate per second, of the time since the first amount."""
        if not self.total:
            return 0.0
        self._decay(now)
        age = max(MIN_RATE_DURATION, now - self.since)
        weight = 1 - 0.5 ** (age / self.half_life)
        return self.total * math.log(2) / self.half_life / weight

    def _decay(self, now: float) -> None:
        self.total *= 0.5 ** ((now - self.updated_at) / self.half_life)
        self.updated_at = now


class Demand(msgspec.Struct):
    """Current and mean cost per second of new requests."""

    current: Rate = msgspec.field(default_factory=lambda: Rate(DEMAND_HALF_LIFE))
    mean: Rate = msgspec.field(default_factory=lambda: Rate(MEAN_HALF_LIFE))

    def add(self, cost: float, now: float) -> None:
        """Add a new request at `now`, in monotonic seconds."""
        self.current.add(cost, now)
        self.mean.add(cost, now)


class Forecast(NamedTuple):
    """Expected room of the pool, in cost per second.

    Attributes
    ----------
    free : float
        Capacity that the mean demand leaves; negative if it exceeds the capacity.
    excess : float
        Current demand above the mean.
    usable_fraction : float
        Fraction of the room that may be used, 0 to 1.
    """

    free: float
    excess: float
    usable_fraction: float


class PromiseKey(NamedTuple):
    """What a request and its retry have in common.

    Attributes
    ----------
    organisation : OrganisationId
        Organisation of the caller.
    route : RouteId
        Route of the request.
    contents : PartId or str
        Last part of its prompt, its own or its session's; empty without a prompt.
    deadline : int
        Deadline of its caller, in units of the tolerance.
    """

    organisation: OrganisationId
    route: RouteId
    contents: PartId | str
    deadline: int


class Promise(msgspec.Struct):
    """A rejected request that may return, or several that look alike.

    Attributes
    ----------
    at : float
        Monotonic seconds from which the first of them may return.
    due : float
        Monotonic seconds at which the last of their answers was first due.
    made_at : float
        Monotonic seconds of the last rejection.
    requests : int
        Number of the requests that have not returned.
    """

    at: float
    due: float
    made_at: float
    requests: int = 1

    def add(self, other: Promise) -> None:
        """Add the requests of another promise, so that none of them is early."""
        self.at = min(self.at, other.at)
        self.due = max(self.due, other.due)
        self.made_at = max(self.made_at, other.made_at)
        self.requests += other.requests


class ReturnCounts(msgspec.Struct):
    """Returns since the last log line.

    Attributes
    ----------
    promised : int
        Rejected requests that were told a time.
    returned : int
        Those that returned when they were told.
    early : int
        Those that returned before.
    lost : int
        Promises that ended without a return.
    """

    promised: int = 0
    returned: int = 0
    early: int = 0
    lost: int = 0


@dataclass(slots=True)
class ReturnSchedule:
    """Schedule of one pool; all times are in monotonic seconds.

    Attributes
    ----------
    booked : list of float
        Cost of the requests promised to return, by bucket; a ring.
    current_bucket : int
        Number of the bucket of the last event, counted from time 0.
    capacity : float
        Cost per second that the pool grants while it is full; 0 if not known.
    capacity_at : float
        Time of the last change of `capacity`.
    return_ratio : float
        Fraction of the promises after which the caller returned, 0 to 1.
    grants : Rate
        Cost of granted requests.
    within, beyond : Demand
        New requests within and beyond the shares of their organisations.
    promises : OrderedDict
        Promises, the oldest first.
    objectives : dict
        Longest objective seen of each route, in seconds.
    counts : ReturnCounts
        Returns since the last log line.
    """

    booked: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    current_bucket: int = 0
    capacity: float = 0.0
    capacity_at: float = 0.0
    return_ratio: float = 1.0
    grants: Rate = field(default_factory=lambda: Rate(CAPACITY_HALF_LIFE))
    within: Demand = field(default_factory=Demand)
    beyond: Demand = field(default_factory=Demand)
    promises: OrderedDict[PromiseKey, Promise] = field(default_factory=OrderedDict)
    objectives: dict[RouteId, float] = field(default_factory=dict)
    counts: ReturnCounts = field(default_factory=ReturnCounts)

    # Input

    def offered(self, offer: Offer, within_share: bool, now: float) -> None:
        """Record a request, and recognise it if it is the return of a rejected one.

        Sets its standing. The answer to a return is due when it first was.
        """
        self._end_promises(now)
        objective = offer.due - now
        longest = self.objectives.get(offer.route, 0.0)
        self.objectives[offer.route] = max(longest, objective)
        # A request that failed at an endpoint is offered again by its router.
        key = None if offer.avoid else self._find(offer)
        if key is None or not (offer.prompt or objective < longest - MIN_WAITED):
            demand = self.within if within_share else self.beyond
            demand.add(cost_of(offer), now)
            return
        promise = self.promises[key]
        offer.due = min(offer.due, promise.due)
        if now < promise.at - EARLY_TOLERANCE:
            offer.standing = Standing.EARLY
            self.counts.early += 1
            return
        promise.requests -= 1
        if not promise.requests:
            del self.promises[key]
        offer.standing = Standing.RETURNED
        self.counts.returned += 1
        self._record_return(1.0)

    def granted(self, offer: Offer, now: float) -> None:
        """Record a granted request."""
        self.grants.add(cost_of(offer), now)

    def _find(self, offer: Offer) -> PromiseKey | None:
        """Return the key of the promise made to an offered request, None if none."""
        if not self.promises:
            return None
        key = key_of(offer)
        for shift in (0, -1, 1):
            candidate = key._replace(deadline=key.deadline + shift)
            if candidate in self.promises:
                return candidate
        return None

    def _end_promises(self, now: float) -> None:
        """Drop promises after which no return was recognised in time."""
        while self.promises:
            key, promise = next(iter(self.promises.items()))
            if now - promise.made_at <= PROMISE_DURATION:
                break
            del self.promises[key]
            self.counts.lost += promise.requests
            for _ in range(promise.requests):
                self._record_return(0.0)

    def _record_return(self, returned: float) -> None:
        ratio = self.return_ratio + RETURN_WEIGHT * (returned - self.return_ratio)
        self.return_ratio = max(MIN_RETURN_RATIO, ratio)

    # Decisions

    def is_too_late(
        self, offer: Offer, first_token_in: float, speed: float, now: float
    ) -> bool:
        """Return whether a request that has to wait is rejected.

        Parameters
        ----------
        offer : Offer
            The request.
        first_token_in : float
            Predicted seconds until its first token, corrected.
        speed : float
            Prefill rate of the engines in tokens per second.
        now : float
            Monotonic seconds.
        """
        if offer.standing is Standing.EARLY or now + first_token_in >= offer.expires:
            return True
        if not rejections.is_too_late(offer, first_token_in, speed, now):
            # A late request is kept for a moment whatever its prediction is.
            return False
        if offer.standing is not Standing.RETURNED:
            return True
        max_wait = (offer.expires - offer.arrived) * RETURN_WAIT_FRACTION
        return now - offer.arrived + first_token_in > max_wait

    def promise(self, offer: Offer, wait: float, access: Access, now: float) -> float:
        """Return the retry delay of a rejected request in seconds, and remember it.

        Parameters
        ----------
        offer : Offer
            The request.
        wait : float
            Seconds before which a retry does not help.
        access : Access
            Fraction of the expected room that it may use.
        now : float
            Monotonic seconds.
        """
        self._advance(now)
        longest = rejections.longest_retry_after(offer, now)
        key = key_of(offer)
        known = self._find(offer) if offer.standing is Standing.EARLY else None
        if known is not None:
            promise = self.promises.pop(known)
            promise.made_at = now
        else:
            at = self._choose_time(offer, min(wait, longest), longest, access, now)
            promise = Promise(at, offer.due, now)
            self.counts.promised += 1
        told = promise.at
        alike = self.promises.pop(key, None)
        if alike is not None:
            promise.add(alike)
        self.promises[key] = promise
        if len(self.promises) > MAX_PROMISES:
            self.promises.popitem(last=False)
        return min(max(told - now, MIN_RETRY_AFTER), longest)

    def _choose_time(
        self, offer: Offer, wait: float, longest: float, access: Access, now: float
    ) -> float:
        """Return when a request should return, and book its cost."""
        if not self.capacity:
            return now + rejections.spread_retry_after(offer, wait, now)
        earliest = max(MIN_RETRY_AFTER, wait)
        first = self._bucket_of(now + earliest)
        last = max(first, self._bucket_of(now + longest))
        forecast = self._forecast(access, now)
        number = self._first_with_room(first, last, forecast)
        if number is None:
            begin = last - math.floor((last - first) * LAST_FRACTION)
            number = min(
                range(begin, last + 1), key=lambda item: self.booked[item % BUCKETS]
            )
        self._book(number, cost_of(offer), forecast)
        at = (number + rejections.draw(offer)) * BUCKET_DURATION
        return min(max(at, now + earliest), now + longest)

    def _first_with_room(self, first: int, last: int, forecast: Forecast) -> int | None:
        """Return the first of some buckets with room, None without any."""
        fractions = [
            EXCESS_FRACTIONS[number - self.current_bucket] for number in (first, last)
        ]
        if max(forecast.free - forecast.excess * item for item in fractions) <= 0:
            return None
        for number in range(first, last + 1):
            if self._room(number, forecast) > 0:
                return number
        return None

    def _book(self, number: int, cost: float, forecast: Forecast) -> None:
        """Book a cost in a bucket, and what has no room there in the next ones."""
        end = self.current_bucket + BUCKETS - 1
        while number < end:
            room = self._room(number, forecast) / self.return_ratio
            if room >= cost or room <= 0:
                break
            self.booked[number % BUCKETS] += room
            cost -= room
            number += 1
        self.booked[number % BUCKETS] += cost

    def _room(self, number: int, forecast: Forecast) -> float:
        """Return the cost of the returns that a bucket still has room for."""
        fraction = EXCESS_FRACTIONS[number - self.current_bucket]
        free = forecast.free - forecast.excess * fraction
        usable = max(0.0, free) * forecast.usable_fraction * BUCKET_DURATION
        return usable - self.booked[number % BUCKETS] * self.return_ratio

    def _forecast(self, access: Access, now: float) -> Forecast:
        """Return the forecast of the room for requests with an access."""
        mean = self.within.mean.per_second(now)
        current = self.within.current.per_second(now)
        if access is Access.BEYOND_SHARE:
            mean += self.beyond.mean.per_second(now)
            current += self.beyond.current.per_second(now)
        return Forecast(self.capacity - mean, current - mean, access.value)

    def observe_capacity(self, throughput: float, now: float) -> None:
        """Adjust the capacity to the current rate of grants, as no endpoint has room.

        Parameters
        ----------
        throughput : float
            Configured throughput in tokens per second; 0 if not stated.
        now : float
            Monotonic seconds.
        """
        rate = self.grants.per_second(now)
        if not self.capacity:
            self.capacity = max(throughput, rate)
        else:
            weight = 1 - 0.5 ** ((now - self.capacity_at) / CAPACITY_HALF_LIFE)
            # While an endpoint had room, nothing was observed.
            self.capacity += min(weight, 0.5) * (rate - self.capacity)
        self.capacity_at = now

    def _advance(self, now: float) -> None:
        """Clear the buckets that have passed."""
        bucket = self._bucket_of(now)
        passed = min(bucket - self.current_bucket, BUCKETS)
        for number in range(bucket - passed, bucket):
            self.booked[number % BUCKETS] = 0.0
        self.current_bucket = max(bucket, self.current_bucket)

    @staticmethod
    def _bucket_of(at: float) -> int:
        return math.floor(at / BUCKET_DURATION)

    # Logs

    def take_summary(self, now: float) -> dict[str, float]:
        """Return fields of a log line on the pool, and reset the counts."""
        self._advance(now)
        counts, self.counts = self.counts, ReturnCounts()
        return {
            "promised": counts.promised,
            "returned": counts.returned,
            "returned_early": counts.early,
            "not_returned": counts.lost,
            "returns_expected": round(sum(self.booked) * self.return_ratio),
            "capacity": round(self.capacity),
        }


def cost_of(offer: Offer) -> float:
    """Return the cost of a request, in tokens."""
    return offer.charged_tokens + FIXED_COST_TOKENS


def key_of(offer: Offer) -> PromiseKey:
    """Return the key of the promise made to a request."""
    contents = offer.prompt[-1].id if offer.prompt else ""
    tolerance = DEADLINE_TOLERANCE if contents else PLAIN_DEADLINE_TOLERANCE
    deadline = math.floor(offer.expires / tolerance)
    return PromiseKey(offer.organisation, offer.route, contents, deadline)
