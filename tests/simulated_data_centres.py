"""A pool over several data centres whose callers' load changes, without a network.

Endpoints serve each request for a random time around a mean; engines also prefill one
prompt after the other. The scheduler learns of first bytes and ends at once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import WINDOW, endpoint, offer

#: Seconds between rounds of decisions while requests wait.
ROUND_INTERVAL = 0.005
#: Seconds between removals of stale state.
EXPIRY_INTERVAL = 0.25
#: Seconds until a connection to an endpoint that can't be reached fails.
CONNECT_TIMEOUT = 0.05
#: Prefill rate of an engine in tokens per second.
ENGINE_SPEED = 100_000.0


@dataclass
class SimulatedRequest:
    """A request and what became of it; times are in seconds since the begin."""

    data_centre: str
    arrived: float
    granted_at: float | None = None
    served_in: str | None = None
    rejected_at: float | None = None
    #: Free slots in other data centres, if no caller waits there, when it was rejected.
    free_elsewhere: int = 0
    failed: bool = False

    @property
    def crossed(self):
        return self.served_in not in (None, self.data_centre)

    @property
    def wait(self):
        return self.granted_at - self.arrived


@dataclass
class DataCentresRun:
    """One run.

    Parameters are the endpoints and the load of each data centre, the load as a
    function of time that returns a multiple of the data centre's own capacity.
    """

    endpoints: dict
    loads: dict
    duration: float = 6.0
    remote_cost: float = 0.05
    slots: int = 6
    residence: float = 0.045
    objective: float = 0.2
    timeout: float = 1.0
    prompt_tokens: int = 0
    body_bytes: int = 800
    latency: float = 0.002
    seed: int = 1
    allowed: dict = field(default_factory=dict)
    #: Begin and end of a time in which no data centre reaches another.
    cut: tuple = (float("inf"), float("inf"))

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.requests = {}
        self.endpoint_of = {}
        self.free_at = defaultdict(float)
        self.numbers = itertools.count(1)
        self.events = []
        self.transfers = []
        self.scheduler = Scheduler(
            WINDOW, features=SchedulingFeatures(remote_cost=self.remote_cost)
        )
        self.set_endpoints(self.endpoints)

    def set_endpoints(self, endpoints):
        """Replace the endpoints of the pool."""
        memory = 1_000_000 if self.prompt_tokens else 0
        made = [
            endpoint(f"{name}-{number}", slots=self.slots, data_centre=name)
            for name, count in endpoints.items()
            for number in range(count)
        ]
        self.scheduler.set_endpoints(made, PoolPlan(0.0, memory, ENGINE_SPEED))

    def capacity(self, data_centre):
        """Return the requests per second that a data centre can serve."""
        count = self.endpoints[data_centre]
        if self.prompt_tokens:
            return count * ENGINE_SPEED / self.prompt_tokens
        return count * self.slots / self.residence

    def play(self):
        """Run to the end; return all requests in order of arrival."""
        for data_centre in self.loads:
            self._schedule_arrival(data_centre, 0.0)
        self._at(0.0, self._round)
        self._at(0.0, self._expire)
        while self.events:
            at, _, function, arguments = heapq.heappop(self.events)
            if at > self.duration:
                break
            function(at, *arguments)
        return list(self.requests.values())

    def _at(self, at, function, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), function, arguments))

    def _schedule_arrival(self, data_centre, now):
        rate = self.loads[data_centre](now) * self.capacity(data_centre)
        if rate <= 0:
            self._at(now + 0.05, self._skip, data_centre)
            return
        self._at(now + self.random.expovariate(rate), self._arrive, data_centre)

    def _skip(self, now, data_centre):
        self._schedule_arrival(data_centre, now)

    def _arrive(self, now, data_centre):
        call = f"r-{data_centre}.0.{next(self.numbers)}"
        self.requests[call] = SimulatedRequest(data_centre, now)
        prompt = (
            (Part(f"{call}-own", self.prompt_tokens),) if self.prompt_tokens else ()
        )
        made = offer(
            call,
            router=f"r-{data_centre}",
            data_centre=data_centre,
            prompt=prompt,
            prompt_tokens=self.prompt_tokens,
            output_tokens=100 if self.prompt_tokens else 0,
            now=now,
            due=now + self.objective,
            expires=now + self.timeout,
            body_bytes=self.body_bytes,
            allowed=self.allowed.get(data_centre),
        )
        self.scheduler.offer(made, now)
        self._decide(now)
        self._schedule_arrival(data_centre, now)

    def _round(self, now):
        for call in self.scheduler.waiting:
            self.scheduler.reported_at[call] = now
        self._decide(now)
        self._at(now + ROUND_INTERVAL, self._round)

    def _expire(self, now):
        for load in self.scheduler.loads.values():
            for active in load.active.values():
                active.reported_at = now
        self.scheduler.expire(now)
        self.transfers += self.scheduler.locality.take_transfers()
        self._at(now + EXPIRY_INTERVAL, self._expire)

    def _decide(self, now):
        for decision in self.scheduler.decide(now):
            request = self.requests[decision.call]
            if not isinstance(decision, Granted):
                request.rejected_at = now
                request.free_elsewhere = self._free_elsewhere(request.data_centre)
                continue
            self._start(decision, request, now)

    def _free_elsewhere(self, origin):
        waiting = {item.data_centre for item in self.scheduler.waiting.values()}
        return sum(
            max(0, self.slots - len(load.active))
            for load in self.scheduler.loads.values()
            if load.endpoint.data_centre not in {origin, *waiting}
        )

    def _start(self, decision, request, now):
        name = decision.endpoint
        request.granted_at = now
        request.served_in = self.scheduler.loads[name].endpoint.data_centre
        if request.crossed and self.cut[0] <= now < self.cut[1]:
            request.failed = True
            self._at(now + CONNECT_TIMEOUT, self._fail, decision.call)
            return
        distance = self.latency if request.crossed else 0.0
        busy = self.residence * self.random.uniform(0.5, 1.5)
        first = now + busy + distance
        if self.prompt_tokens:
            begun = max(now, self.free_at[name])
            self.free_at[name] = begun + self.prompt_tokens / ENGINE_SPEED
            first = self.free_at[name] + distance
        self._at(first, self._begin, decision.call, first - now)
        end = first + busy if self.prompt_tokens else first
        self._at(end, self._end, decision.call)

    def _begin(self, now, call, waited):
        self.scheduler.begun(call, waited)

    def _fail(self, now, call):
        self.scheduler.ended(call, Outcome.UNREACHABLE, now)

    def _end(self, now, call):
        self.scheduler.ended(call, Outcome.COMPLETE, now)


def crossings(requests, origin, since=0.0, until=float("inf")):
    """Return how many requests of a data centre left it, granted in a time span."""
    return sum(
        item.crossed and since <= item.granted_at < until
        for item in requests
        if item.data_centre == origin
    )


def exchanged(requests, one, interval=0.1):
    """Return how many requests crossed in and out of `one` in the same interval."""
    counts = defaultdict(lambda: [0, 0])
    for item in requests:
        if item.crossed:
            counts[int(item.granted_at / interval)][item.data_centre == one] += 1
    return sum(2 * min(both) for both in counts.values())


def rejections(requests, origin):
    """Return how many requests of a data centre were rejected."""
    return sum(
        item.rejected_at is not None for item in requests if item.data_centre == origin
    )


def mean_wait(requests, origin):
    """Return the mean wait of a data centre's served requests in seconds."""
    waits = [
        item.wait
        for item in requests
        if item.data_centre == origin and item.granted_at is not None
    ]
    return sum(waits) / len(waits)


def constant(load):
    """Return a load that doesn't change."""
    return lambda _: load
