"""Runs a load on emulated engines with a scheduler, and reports its worth."""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

from benchmarks.emulation.engine import EmulatedEngine, EngineModel, Run
from benchmarks.emulation.harm import Harm, HarmPlan
from benchmarks.emulation.load import Request
from carawayfold.coordination.scheduling.offers import Granted, Offer, Outcome
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from carawayfold.settings import Address
from carawayfold.state.endpoints import Endpoint
from carawayfold.state.ids import (
    CallId,
    DataCentreId,
    EndpointId,
    OrganisationId,
    PartId,
    RouteId,
    RouterId,
    ServiceId,
)

if TYPE_CHECKING:
    from benchmarks.emulation.load import Load

#: Simulated seconds of one step.
TICK = 0.002
WINDOW = 4.0


class Policy(Enum):
    """Scheduling policy.

    Attributes
    ----------
    FIRST_COME : Policy
        Each request is sent to a random engine at once.
    ALONE : Policy
        Several routers, each with its own requests and a share of each engine.
    ONE : Policy
        One router schedules all requests.
    """

    FIRST_COME = "first-come"
    ALONE = "alone"
    ONE = "one"


@dataclass(slots=True)
class KindResult:
    """Results of one kind of request."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    owed: float = 0.0
    earned: float = 0.0


@dataclass(slots=True)
class Report:
    """Results of a run.

    Attributes
    ----------
    reread, copied : int
        Shared tokens that were prefilled again, and copied between engines.
    refused_again : float
        Worth of retried requests that were refused again.
    decision_time : float
        Seconds of real time spent in the scheduler.
    harm : Harm or None
        Effects of harmful requests.
    """

    kinds: dict[str, KindResult]
    reread: int
    copied: int
    busy: float
    refused_again: float
    decision_time: float
    harm: Harm | None = None

    @property
    def benefit(self) -> float:
        """Return the fraction of the total worth that was earned."""
        owed = sum(item.owed for item in self.kinds.values())
        return sum(item.earned for item in self.kinds.values()) / owed


@dataclass(slots=True)
class Emulation:
    """A run.

    Attributes
    ----------
    down : dict
        Start and end of the loss of an engine, by number.
    routers : int
        Number of routers, if each schedules its own requests.
    harmful : HarmPlan or None
        Requests that crash the engines that run them.
    """

    load: Load
    engines: int
    model: EngineModel
    throughput: float
    seconds: float
    down: dict[int, tuple[float, float]] = field(default_factory=dict)
    policy: Policy = Policy.ONE
    routers: int = 6
    harmful: HarmPlan | None = None
    draw: random.Random = field(default_factory=lambda: random.Random(7))
    schedulers: list[Scheduler] = field(init=False)
    fleet: dict[str, EmulatedEngine] = field(init=False)
    requests: dict[str, Request] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    results: dict[str, KindResult] = field(default_factory=dict)
    refused_again: float = 0.0
    harm: Harm | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        if self.harmful is not None:
            self.harm = Harm(self.harmful)
        known: set[str] = set()
        self.fleet = {
            f"engine-{number}": EmulatedEngine(f"engine-{number}", self.model, known)
            for number in range(self.engines)
        }
        count = self.routers if self.policy is Policy.ALONE else 1
        self.schedulers = [Scheduler(WINDOW) for _ in range(count)]
        self._set_endpoints(0.0)

    def _set_endpoints(self, now: float) -> None:
        endpoints = [
            Endpoint(
                EndpointId(name),
                ServiceId("model"),
                Address("127.0.0.1", 1),
                DataCentreId("north"),
                self.model.slots,
            )
            for number, name in enumerate(self.fleet)
            if not self._is_down(number, name, now)
        ]
        plan = PoolPlan(
            self.throughput / len(self.schedulers),
            self.model.memory_tokens,
            self.throughput / self.engines,
            1.0 / len(self.schedulers),
        )
        for scheduler in self.schedulers:
            scheduler.set_endpoints(endpoints, plan)

    def _scheduler_of(self, name: str) -> Scheduler:
        return self.schedulers[hash_of(name) % len(self.schedulers)]

    def _is_down(self, number: int, name: str, now: float) -> bool:
        if self.harm is not None and name in self.harm.down_until:
            return True
        since, until = self.down.get(number, (0.0, 0.0))
        return since <= now < until

    def run(self) -> Report:
        """Run the load to its end."""
        for request in self.load.requests(self.seconds):
            self.requests[request.name] = request
            self.arrivals.append((request.asked, request.name))
            result = self.results.setdefault(request.kind.name, KindResult())
            result.asked += 1
            result.owed += self._worth(request)
        self._add_harmful()
        heapq.heapify(self.arrivals)
        spent = self._play()
        engines = self.fleet.values()
        return Report(
            self.results,
            sum(engine.reread_tokens for engine in engines),
            sum(engine.copied_tokens for engine in engines),
            sum(engine.busy for engine in engines) / self.engines / self.seconds,
            self.refused_again,
            spent,
            self.harm,
        )

    def _add_harmful(self) -> None:
        """Add the harmful requests, which have no worth."""
        if self.harm is None:
            return
        plan = self.harm.plan
        kind = min(self.load.kinds, key=lambda item: item.own_tokens)
        for number, (at, content) in enumerate(plan.arrivals(self.seconds)):
            prompt = (Part(PartId(f"{content}-own"), round(kind.own_tokens)),)
            tokens = prompt[0].tokens
            output = round(kind.output_tokens)
            name = f"r.1.{number}"
            self.requests[name] = Request(
                name, kind, content, prompt, tokens, output, at, at, 0, content
            )
            self.arrivals.append((at, name))

    def _worth(self, request: Request) -> float:
        kind = request.kind
        size = request.prompt_tokens + 10 * request.output_tokens
        mean = sum(tokens for _, tokens in kind.prefixes) + kind.own_tokens
        mean += 10 * kind.output_tokens
        return kind.worth * min(4.0, 0.3 + 0.7 * size / mean)

    def _play(self) -> float:
        now = 0.0
        spent = 0.0
        while now < self.seconds + 5.0:
            now += TICK
            if self.down:
                self._set_endpoints(now)
            self._start_again(now)
            for engine in self.fleet.values():
                self._advance(engine, now)
            started = time.perf_counter()
            self._offer_arrivals(now)
            decisions = [
                decision
                for scheduler in self.schedulers
                for decision in scheduler.decide(now)
            ]
            spent += time.perf_counter() - started
            for decision in decisions:
                if isinstance(decision, Granted):
                    self._send(decision, now)
                else:
                    self._refuse(decision.call, decision.retry_after, now)
            self._keep_alive(now)
        return spent

    def _advance(self, engine: EmulatedEngine, now: float) -> None:
        """Advance an engine, and process the requests that began or ended."""
        begun, ended = engine.advance(now)
        for run in begun:
            scheduler = self._scheduler_of(run.name)
            scheduler.begun(CallId(run.name), run.first_at - run.sent)
        for run in ended:
            self._end(run, now)
        harmful = self._harmful_of(begun)
        if harmful is not None:
            self._end_engine(engine, harmful, now)

    def _start_again(self, now: float) -> None:
        """Replace engines that have crashed."""
        if self.harm is not None and self.harm.take_back(now):
            self._set_endpoints(now)

    def _harmful_of(self, begun: list[Run]) -> Run | None:
        """Return a harmful request among those that have begun, if any."""
        if self.harm is None:
            return None
        return next((run for run in begun if self.requests[run.name].harm), None)

    def _end_engine(self, engine: EmulatedEngine, harmful: Run, now: float) -> None:
        """Crash an engine; its other requests are lost."""
        self.harm.note_end(self.requests[harmful.name].harm, engine.name, now)
        for run in engine.end():
            scheduler = self._scheduler_of(run.name)
            scheduler.ended(CallId(run.name), Outcome.FAILED, now)
            if not self.requests[run.name].harm:
                self._lose(run.name, now)
        self._set_endpoints(now)

    def _lose(self, name: str, now: float) -> None:
        """Retry a lost request if the budget allows it."""
        if self.harm.may_repeat(name, now):
            heapq.heappush(self.arrivals, (now, name))
            return
        self.results[self.requests[name].kind.name].lost += 1

    def _keep_alive(self, now: float) -> None:
        for scheduler in self.schedulers:
            for call in scheduler.reported_at:
                scheduler.reported_at[call] = now

    def _offer_arrivals(self, now: float) -> None:
        while self.arrivals and self.arrivals[0][0] <= now:
            _, name = heapq.heappop(self.arrivals)
            request = self.requests[name]
            if not self._is_admitted(request, now):
                continue
            kind = request.kind
            offer = Offer(
                call=CallId(name),
                router=RouterId("r"),
                data_centre=DataCentreId("north"),
                organisation=OrganisationId(request.organisation),
                route=RouteId(kind.name),
                priority=1,
                prompt=request.prompt,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
                arrived=now,
                due=request.first_asked + kind.objective,
                expires=request.first_asked + kind.timeout,
            )
            if self.policy is Policy.FIRST_COME:
                place = self.draw.choice(list(self.fleet))
                self._send(Granted(CallId(name), EndpointId(place)), now)
            else:
                self._scheduler_of(name).offer(offer, now)

    def _is_admitted(self, request: Request, now: float) -> bool:
        """Return whether a request is not refused as harmful."""
        if self.harm is None:
            return True
        if request.harm:
            return not self.harm.is_refused(request.harm)
        if request.name not in self.harm.again:
            self.harm.note_request(now)
        return True

    def _send(self, decision: Granted, now: float) -> None:
        request = self.requests[decision.call]
        run = Run(
            request.name,
            request.prompt,
            request.prompt_tokens,
            request.output_tokens,
            now,
            self._copied(decision, request),
        )
        self.fleet[decision.endpoint].send(run)

    def _copied(self, decision: Granted, request: Request) -> int:
        if decision.copy_source is None:
            return 0
        return self.fleet[decision.copy_source].prefixes.kept(request.prompt)

    def _refuse(self, name: str, retry_after: float, now: float) -> None:
        request = self.requests[name]
        if request.harm:
            return
        if request.retries <= 0:
            self.refused_again += self._worth(request)
            self.results[request.kind.name].refused += 1
            return
        request.retries -= 1
        heapq.heappush(self.arrivals, (now + retry_after, name))

    def _end(self, run: Run, now: float) -> None:
        request = self.requests[run.name]
        kind = request.kind
        scheduler = self._scheduler_of(run.name)
        scheduler.ended(CallId(run.name), Outcome.COMPLETE, now)
        result = self.results[kind.name]
        worth = self._worth(request)
        if run.first_at - request.first_asked <= kind.objective:
            result.in_time += 1
            result.earned += worth
        else:
            result.late += 1
            result.earned += worth * kind.late_worth / kind.worth


def hash_of(name: str) -> int:
    """Return a hash of a name that is equal in all processes."""
    return xxhash.xxh3_64_intdigest(name.encode())
