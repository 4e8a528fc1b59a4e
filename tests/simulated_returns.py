"""Simulated callers that return to one pool after rejections, without a network.

``python -m tests.simulated_returns`` prints what callers got with the schedule of
returns off and on.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from tests.schedule_builders import WINDOW, endpoint, offer

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds between two rounds of decisions, and of simulated time.
STEP = 0.005
#: Worth of an answer after its objective, of 1.
LATE_WORTH = 0.3
ENGINES, SLOTS = 8, 8
#: Prefill rate of an engine in tokens per second.
SPEED = 60_000.0
#: Seconds from an answer's first token to its end.
STREAM = 0.3
#: Requests per second that the engines can serve: their slots are the limit.
CAPACITY = ENGINES * SLOTS / (STREAM + 0.04)
#: Seconds of a router and the network between a rejection and a return at once.
TURNAROUND = 0.02
#: Times that an abuser asks.
ABUSES = 20
TOPICS = 8


@dataclass
class Caller:
    """One caller with one request.

    Attributes
    ----------
    number : int
        Its number.
    organisation : str
        Its organisation.
    began : float
        Time of its first attempt.
    objective, timeout : float
        Seconds from then.
    abuses : bool
        Whether it returns at once, whatever it is told.
    leaves : bool
        Whether it leaves after its first rejection.
    priority : int
        Priority of its request.
    attempts : int
        Attempts so far.
    end : str
        ``"in time"``, ``"late"``, ``"refused"`` or ``"left"``; empty before.
    ended_at : float
        Time of its last answer or rejection.
    """

    number: int
    organisation: str
    began: float
    objective: float
    timeout: float
    abuses: bool = False
    leaves: bool = False
    priority: int = 1
    attempts: int = 0
    end: str = ""
    ended_at: float = 0.0


@dataclass
class Replay:
    """Replay of a load at one scheduler.

    Attributes
    ----------
    scheduled : bool
        Whether returns are scheduled.
    rate : callable
        Returns the requests per second that arrive at a time.
    seconds : float
        Length of the load; it is played on until all callers have ended.
    seed : int
        Seed of the load.
    objective, timeout : float
        Seconds that callers have.
    timeout_spread : float
        Fraction by which timeouts vary between callers. Routers can't estimate how
        long a returning caller has waited if it isn't 0.
    abusers, leavers : float
        Fractions of the callers.
    urgent : float
        Fraction of the callers whose requests are more urgent than those of others.
    organisations : tuple of str
        Organisations of callers, drawn evenly.
    restart_at : float
        Time at which another router becomes the leader; infinity for never.
    """

    scheduled: bool
    rate: Callable[[float], float]
    seconds: float = 12.0
    seed: int = 1
    objective: float = 0.4
    timeout: float = 12.0
    timeout_spread: float = 0.0
    abusers: float = 0.0
    leavers: float = 0.0
    urgent: float = 0.0
    organisations: tuple[str, ...] = ("alder", "birch", "cedar")
    restart_at: float = float("inf")
    callers: list[Caller] = field(default_factory=list)
    #: Rejections by tenths of a second, first ones and later ones.
    first_rejections: Counter = field(default_factory=Counter)
    later_rejections: Counter = field(default_factory=Counter)
    #: Seconds for which rejected attempts were held.
    held: list[float] = field(default_factory=list)
    #: The same, of the first attempts of requests that aren't urgent.
    held_first: list[float] = field(default_factory=list)
    decisions: list = field(default_factory=list)

    def __post_init__(self):
        self.draw = random.Random(self.seed)
        self.scheduler = self._new_scheduler()
        self.events: list[tuple] = []
        self.order = count()
        self.offers: dict[str, tuple[Caller, object]] = {}
        self.calls = count()
        self.prefill_ends = Counter()

    def _new_scheduler(self):
        features = SchedulingFeatures(schedule_returns=self.scheduled)
        made = Scheduler(WINDOW, features=features)
        names = [endpoint(f"e-{number}", slots=SLOTS) for number in range(ENGINES)]
        plan = PoolPlan(0.0, 1_000_000, SPEED)
        made.set_endpoints(names, plan)
        return made

    def play(self):
        """Play the load; return the replay."""
        self._draw_callers()
        now, restarted = 0.0, False
        end = self.seconds + self.timeout + 2.0
        while now < end:
            now += STEP
            if now >= self.restart_at and not restarted:
                restarted = True
                self._change_leader(now)
            while self.events and self.events[0][0] <= now:
                _, _, action, *arguments = heapq.heappop(self.events)
                action(*arguments, now)
            for decision in self.scheduler.decide(now):
                self._decided(decision, now)
            self._expire(now)
        return self

    def _at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, *arguments))

    def _draw_callers(self):
        at, highest = 0.0, max(self.rate(t / 10) for t in range(int(self.seconds * 10)))
        while True:
            at += self.draw.expovariate(highest)
            if at >= self.seconds:
                return
            kept = self.draw.random() * highest < self.rate(at)
            spread = 1 - self.timeout_spread * self.draw.random()
            caller = Caller(
                len(self.callers),
                self.draw.choice(self.organisations),
                at,
                self.objective,
                self.timeout * spread,
                self.draw.random() < self.abusers,
                self.draw.random() < self.leavers,
            )
            if self.urgent and self.draw.random() < self.urgent:
                caller.priority = 0
            if kept:
                self.callers.append(caller)
                self._at(at, self._ask, caller)

    def _ask(self, caller, now):
        caller.attempts += 1
        waited = 0.0 if self.timeout_spread else now - caller.began
        topic = f"topic-{caller.number % TOPICS}"
        call = f"r.0.{next(self.calls)}"
        made = offer(
            call,
            now=now,
            organisation=caller.organisation,
            priority=caller.priority,
            prompt=(Part(topic, 500), Part(f"own-{caller.number}", 800)),
            prompt_tokens=1300,
            output_tokens=30,
            due=now + caller.objective - waited,
            expires=caller.began + caller.timeout + self.draw.uniform(0, 0.004),
        )
        self.offers[call] = (caller, made)
        self.scheduler.offer(made, now)

    def _decided(self, decision, now):
        caller, made = self.offers.pop(decision.call)
        if isinstance(decision, Granted):
            self.decisions.append((decision.call, decision.endpoint))
            self._send(caller, made, decision.endpoint, now)
            return
        retry_after = decision.retry_after
        self.decisions.append((decision.call, round(retry_after, 6)))
        self.held.append(now - made.arrived)
        if caller.priority and caller.attempts == 1:
            self.held_first.append(now - made.arrived)
        counts = self.first_rejections
        if caller.attempts > 1:
            counts = self.later_rejections
        counts[int(now * 10)] += 1
        caller.end, caller.ended_at = "refused", now
        left = caller.began + caller.timeout - now
        if caller.abuses:
            if caller.attempts < ABUSES and left > TURNAROUND:
                self._at(now + TURNAROUND, self._ask, caller)
        elif caller.leaves:
            caller.end = "left"
        elif caller.attempts < 2:
            self._at(now + min(retry_after, left / 3), self._ask, caller)

    def _send(self, caller, made, place, now):
        load = self.scheduler.loads[place]
        tokens = load.active[made.call].prefill_tokens
        begins = max(now, self.prefill_ends[place]) + tokens / SPEED
        self.prefill_ends[place] = begins
        self._at(begins, self._begin, caller, made, now)
        self._at(begins + STREAM, self._end, made)

    def _begin(self, caller, made, sent, now):
        self.scheduler.begun(made.call, now - sent)
        in_time = now <= caller.began + caller.objective
        caller.end, caller.ended_at = ("in time" if in_time else "late"), now

    def _end(self, made, now):
        self.scheduler.ended(made.call, Outcome.COMPLETE, now)

    def _expire(self, now):
        """Have routers repeat their offers, and end those whose time has passed."""
        for call, (caller, made) in list(self.offers.items()):
            self.scheduler.reported_at[call] = now
            if now >= made.expires:
                self.scheduler.withdraw(call)
                del self.offers[call]
                self.held.append(now - made.arrived)
                caller.end, caller.ended_at = "refused", now
        for load in self.scheduler.loads.values():
            for active in load.active.values():
                active.reported_at = now

    def _change_leader(self, now):
        """Replace the scheduler by one that knows only what routers report."""
        before, self.scheduler = self.scheduler, self._new_scheduler()
        for name, load in before.loads.items():
            for active in load.active.values():
                self.scheduler.record_active(name, active)
        for _, made in self.offers.values():
            self.scheduler.offer(made, now)

    # Results

    def ends(self, **wanted):
        """Return how callers ended, of those with the wanted attributes."""
        return Counter(
            caller.end
            for caller in self.callers
            if all(getattr(caller, name) == value for name, value in wanted.items())
        )

    def worth(self, **wanted):
        """Return the mean worth of callers, 0 to 1."""
        ends = self.ends(**wanted)
        return (ends["in time"] + LATE_WORTH * ends["late"]) / max(1, ends.total())


def burst(factor=2.1, begin=3.0, length=3.0, base=0.7):
    """Return the rate of a burst of `factor` times the capacity, in requests/s."""

    def rate(now):
        bursting = begin <= now < begin + length
        return CAPACITY * (factor if bursting else base)

    return rate


def main():
    """Print what callers got."""
    loads = {
        "burst": {},
        "burst, timeouts vary": {"timeout_spread": 0.3},
        "burst, 3 s left": {"timeout": 3.0},
        "burst, 2.6 s, 1.5 s objective": {"timeout": 2.6, "objective": 1.5},
        "burst, 0.8 s objective": {"objective": 0.8},
        "burst, abusers": {"abusers": 0.2},
        "burst, leavers": {"leavers": 0.3},
        "burst, new leader": {"restart_at": 5.0},
        "burst, half urgent": {"urgent": 0.5},
        "burst, half urgent, 0.8 s": {"urgent": 0.5, "objective": 0.8},
        "burst of 1.3": {"rate": burst(1.3)},
        "lasting overload of 1.3": {"rate": burst(1.3, 1.0, 20.0), "seconds": 15.0},
    }
    seeds = range(1, 1 + int(sys.argv[1]) if len(sys.argv) > 1 else 2)
    for name, fields in loads.items():
        for scheduled in (False, True):
            for seed in seeds:
                made = Replay(scheduled, **{"rate": burst(), **fields}, seed=seed)
                made.play()
                ends = made.ends()
                held = sorted(made.held) or [0.0]
                print(
                    f"{name:30} {'on ' if scheduled else 'off'} {seed}"
                    f" worth {made.worth():.3f} {dict(ends)}"
                    f" held {held[len(held) // 2]:.2f} {held[-1]:.2f}"
                    f" peak {max(made.first_rejections.values(), default=0)}"
                    f" {max(made.later_rejections.values(), default=0)}"
                )


if __name__ == "__main__":
    main()
