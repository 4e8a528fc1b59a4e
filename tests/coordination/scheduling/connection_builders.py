"""A simulated load of many routers on one pool, and the connections it opens."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import WINDOW, endpoint, offer

#: Seconds between rounds of decisions.
ROUND = 0.005
#: Prefill rate of an engine in tokens per second.
SPEED = 40_000.0


@dataclass
class Kind:
    """A kind of request.

    Attributes
    ----------
    weight : float
        Relative frequency.
    tokens : int
        Prompt tokens; 0 for a request without a prompt.
    shared : int
        Number of prefixes that the requests share; 0 for none.
    service : float
        Mean seconds at an endpoint.
    """

    weight: float
    tokens: int
    shared: int
    service: float


#: Models: short prompts of their own, and longer ones that share prefixes.
MODEL_KINDS = (
    Kind(0.5, 60, 0, 0.08),
    Kind(0.3, 400, 24, 0.9),
    Kind(0.2, 900, 12, 1.0),
)
#: A service without prompts.
PLAIN_KINDS = (Kind(1.0, 0, 0, 0.04),)


@dataclass
class Replay:
    """Requests of many routers at the scheduler of one pool.

    Attributes
    ----------
    reuse : bool
        Whether the scheduler takes connections into account.
    lifetime : float
        Seconds for which a router keeps an idle connection.
    report : callable
        Returns the milliseconds that a router reports for a lifetime, by its name.
    delay : float
        Seconds after which the scheduler learns of the end of an attempt.
    opened, granted, rejected : int
        Grants for which a connection was opened, all grants, and rejections.
    by_endpoint : Counter
        Grants of each endpoint.
    busiest : int
        Maximum number of requests at once at an endpoint.
    choices : list of tuple
        Call, endpoint and time of each grant.
    """

    reuse: bool = True
    routers: int = 58
    endpoints: int = 16
    slots: int = 16
    rate: float = 130.0
    kinds: tuple[Kind, ...] = MODEL_KINDS
    lifetime: float = 4.0
    delay: float = 0.002
    seed: int = 1
    report: object = None
    opened: int = 0
    granted: int = 0
    rejected: int = 0
    busiest: int = 0
    by_endpoint: Counter = field(default_factory=Counter)
    choices: list = field(default_factory=list)

    def __post_init__(self):
        self.draw = random.Random(self.seed)
        self.made = Scheduler(
            WINDOW, features=SchedulingFeatures(reuse_connections=self.reuse)
        )
        self.names = [f"e-{number}" for number in range(self.endpoints)]
        self.set_endpoints()
        self.events = []
        self.idle = {}
        self.flying = {}
        self.running = Counter()
        self.number = 0
        self.now = 0.0
        self.counting_from = 0.0
        self.incarnations = Counter()

    def set_endpoints(self):
        """Register the endpoints."""
        plan = PoolPlan(0.0, 1_000_000, SPEED)
        items = [endpoint(name, slots=self.slots) for name in self.names]
        self.made.set_endpoints(items, plan)

    def replace_leader(self):
        """Replace the scheduler by one that knows only the requests in flight."""
        previous = self.made
        self.made = Scheduler(WINDOW, features=previous.features)
        self.set_endpoints()
        for load in previous.loads.values():
            for active in load.active.values():
                self.made.record_active(load.endpoint.id, active)

    def restart(self, router):
        """Restart a router: it has no idle connections, and another incarnation."""
        self.incarnations[router] += 1
        for pair in list(self.idle):
            if pair[0] == router:
                del self.idle[pair]

    def run(self, until, counting_from=None):
        """Play requests until a time; count those from `counting_from` on."""
        if counting_from is not None:
            self.counting_from = counting_from
            self.opened = self.granted = 0
            self.by_endpoint.clear()
        next_request = self.now + self.draw.expovariate(self.rate)
        while self.now < until:
            self.now += ROUND
            while next_request <= self.now:
                self._ask(next_request)
                next_request += self.draw.expovariate(self.rate)
            while self.events and self.events[0][0] <= self.now:
                at, _, action, *arguments = heapq.heappop(self.events)
                action(at, *arguments)
            if round(self.now / ROUND) % 50 == 0:
                self._report_active()
                self.made.expire(self.now)
            self._take(self.made.decide(self.now))

    def _later(self, at, action, *arguments):
        self.number += 1
        heapq.heappush(self.events, (at, self.number, action, *arguments))

    def _ask(self, at):
        self.number += 1
        router = f"r{self.draw.randrange(self.routers)}"
        kind = self.draw.choices(self.kinds, [item.weight for item in self.kinds])[0]
        call = f"{router}.{self.incarnations[router]:x}.{self.number}"
        prompt = ()
        if kind.tokens:
            own = Part(f"own-{call}", kind.tokens // (4 if kind.shared else 1))
            prompt = (own,)
            if kind.shared:
                name = f"{kind.tokens}-{self.draw.randrange(kind.shared)}"
                prompt = (Part(name, kind.tokens * 3 // 4), own)
        service = self.draw.expovariate(1 / kind.service)
        self.flying[call] = (router, service)
        made = offer(
            call,
            router=router,
            prompt=prompt,
            prompt_tokens=sum(part.tokens for part in prompt),
            output_tokens=100 if kind.tokens else 0,
            now=at,
            due=at + 1.0,
            expires=at + 8.0,
        )
        self.made.offer(made, at)

    def _take(self, decisions):
        for decision in decisions:
            router, service = self.flying[decision.call]
            if not isinstance(decision, Granted):
                self.rejected += 1
                del self.flying[decision.call]
                continue
            self.choices.append((decision.call, decision.endpoint, self.now))
            counted = self.now >= self.counting_from
            pair = (router, decision.endpoint)
            kept = [at for at in self.idle.get(pair, ()) if at > self.now]
            if kept:
                kept.pop()
            elif counted:
                self.opened += 1
            self.idle[pair] = kept
            self.granted += counted
            self.by_endpoint[decision.endpoint] += counted
            self.running[decision.endpoint] += 1
            self.busiest = max(self.busiest, self.running[decision.endpoint])
            incarnation = self.incarnations[router]
            self._later(self.now + 0.01, self._begin, decision.call)
            self._later(
                self.now + 0.01 + service, self._end, decision, router, incarnation
            )

    def _begin(self, at, call):
        self.made.begun(call, 0.01)

    def _end(self, at, decision, router, incarnation):
        self.flying.pop(decision.call)
        self.running[decision.endpoint] -= 1
        kept = 0
        if incarnation == self.incarnations[router]:
            pair = (router, decision.endpoint)
            self.idle.setdefault(pair, []).append(at + self.lifetime)
            kept = round(self.lifetime * 1000)
        if self.report is not None:
            kept = self.report(router, kept)
        self._later(at + self.delay, self._tell, decision.call, kept)

    def _tell(self, at, call, kept):
        self.made.ended(call, Outcome.COMPLETE, at, kept)

    def _report_active(self):
        for load in self.made.loads.values():
            for call, active in load.active.items():
                if call in self.flying:
                    active.reported_at = self.now

    @property
    def found_ratio(self):
        """Return the fraction of grants that found an idle connection."""
        return 1 - self.opened / self.granted

    @property
    def spread(self):
        """Return the grants of the busiest endpoint relative to the mean."""
        return max(self.by_endpoint.values()) * self.endpoints / self.granted
