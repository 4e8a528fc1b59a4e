"""Endpoints that send nothing for a while, with the product's scheduler.

Routers, callers and engines are simulated on a simulated clock. A router gives up an
attempt at a silent endpoint once another one has been granted; callers honour the retry
delay of a refusal. ``python -m tests.simulated_silences`` prints a table of several
kinds of silence and seeds.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.requests.replacement import SEARCH_INTERVAL
from carawayfold.coordination.scheduling.coordinator import (
    ACTIVE_REPORT_INTERVAL,
    DECIDE_INTERVAL,
    OFFER_REFRESH_INTERVAL,
    RESUMED_EVENT_INTERVAL,
)
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from tests.schedule_builders import offer, scheduler
from tests.simulated_fleet import simulate

#: Prefill rate of an engine in tokens per second, and its slots.
SPEED = 20_000.0
SLOTS = 12
#: Tokens of a prompt, and seconds from the first event to the last one.
PROMPT_TOKENS = 1000
RESIDENCE = 0.6
#: Seconds between two events, and step of the simulated work of an engine.
EVENT_INTERVAL = 0.05
STEP = 0.01
#: Seconds between checks of a router whether an endpoint is silent.
CHECK_INTERVAL = 0.25
#: Attempts of a router at one request, and calls of a caller.
ATTEMPTS = 2
CALLS = 4
#: Largest part of the time left for which a caller waits before it calls again.
MAX_WAIT_PART = 1 / 3
ROUTERS = 3


@dataclass
class Engine:
    """An engine that prefills one prompt after the other and can stand still.

    Attributes
    ----------
    silent_until : float
        Loop time until which it neither works nor sends.
    read_until : float
        Seconds of its own working time at which its prompts are prefilled.
    worked : float
        Seconds for which it has worked.
    """

    silent_until: float = 0.0
    read_until: float = 0.0
    worked: float = 0.0

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STEP)
            if loop.time() >= self.silent_until:
                self.worked += STEP

    async def work_until(self, worked):
        """Wait until it has worked for some seconds in all."""
        while self.worked < worked:
            await asyncio.sleep(STEP)


@dataclass
class Tally:
    """Results of the callers, by what became of their requests.

    Attributes
    ----------
    ends : Counter
        Requests that were answered in time, late, or not at all.
    refusals : Counter
        Refusals by reason.
    refused_early : int
        Refusals of calls that had a second or more until their objective.
    repeats : int
        Attempts at a second endpoint.
    sent_silent : int
        Attempts that began at an endpoint that was silent then.
    suspended : float
        Endpoint seconds of suspension while the endpoint was not silent.
    """

    ends: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)
    refused_early: int = 0
    repeats: int = 0
    sent_silent: int = 0
    suspended: float = 0.0


@dataclass
class Call:
    """One call of a request: its times, and the endpoints that were tried."""

    router: str
    due: float
    expires: float
    tried: set = field(default_factory=set)
    first_at: float | None = None


class SimulatedSilences:
    """Engines, one scheduler, routers and callers."""

    def __init__(self, seed, engines, objective, limit):
        self.loop = asyncio.get_running_loop()
        self.draw = random.Random(seed)
        self.objective = objective
        self.limit = limit
        self.scheduler = scheduler(
            engines, SLOTS, throughput=engines * SPEED, speed=SPEED
        )
        self.engines = {name: Engine() for name in self.scheduler.loads}
        self.activities = {f"r-{n}": EndpointActivity() for n in range(ROUTERS)}
        self.pending = {}
        self.active = {}
        self.tally = Tally()
        self.tasks = set()
        self.numbers = 0
        for engine in self.engines.values():
            self.spawn(engine.run())
        self.spawn(self.decide_periodically())
        self.spawn(self.report_periodically())

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def pause(self, names, seconds):
        for name in names:
            self.engines[name].silent_until = self.loop.time() + seconds

    # Scheduler

    async def decide_periodically(self):
        while True:
            await asyncio.sleep(DECIDE_INTERVAL)
            self.decide()
            for name, load in self.scheduler.loads.items():
                now = self.loop.time()
                if load.unavailable_until > now >= self.engines[name].silent_until:
                    self.tally.suspended += DECIDE_INTERVAL

    def decide(self):
        for decision in self.scheduler.decide(self.loop.time()):
            self.pending.pop(decision.call).set_result(decision)

    async def report_periodically(self):
        while True:
            await asyncio.sleep(ACTIVE_REPORT_INTERVAL)
            now = self.loop.time()
            for load in self.scheduler.loads.values():
                for active in load.active.values():
                    active.reported_at = now
            self.scheduler.expire(now)

    async def place(self, call):
        """Return the decision on an offer of a call; cancelling withdraws it."""
        self.numbers += 1
        now = self.loop.time()
        made = offer(
            f"{call.router}.0.{self.numbers}",
            f"topic-{self.numbers % 40}",
            PROMPT_TOKENS * 3 // 4,
            PROMPT_TOKENS // 4,
            now=now,
            router=call.router,
            due=call.due,
            expires=call.expires,
            avoid=frozenset(call.tried),
        )
        answered = self.pending[made.call] = self.loop.create_future()
        self.scheduler.offer(made, now)
        self.loop.call_soon(self.decide)
        try:
            while not answered.done():
                await asyncio.wait([answered], timeout=OFFER_REFRESH_INTERVAL)
                if not answered.done():
                    self.scheduler.offer(made, self.loop.time())
        except asyncio.CancelledError:
            self.scheduler.withdraw(made.call)
            self.pending.pop(made.call, None)
            if answered.done() and isinstance(answered.result(), Granted):
                self.end(answered.result(), Outcome.CANCELLED)
            raise
        return answered.result()

    def end(self, granted, outcome):
        self.scheduler.ended(granted.call, outcome, self.loop.time())

    # Callers

    async def request(self):
        """Call until there is an answer or the time is over, and count the result."""
        begun = self.loop.time()
        end = begun + self.limit
        for _ in range(CALLS):
            router = self.draw.choice(sorted(self.activities))
            call = Call(router, begun + self.objective, end)
            try:
                async with asyncio.timeout_at(end):
                    refusal = await self.serve(call)
            except TimeoutError:
                break
            if refusal is None:
                in_time = call.first_at <= begun + self.objective
                self.tally.ends["in time" if in_time else "late"] += 1
                return
            now = self.loop.time()
            self.tally.refusals[refusal.reason] += 1
            self.tally.refused_early += call.due - now >= 1.0
            wait = min(refusal.retry_after, (end - now) * MAX_WAIT_PART)
            await asyncio.sleep(wait)
        self.tally.ends["none"] += 1

    # Routers

    async def serve(self, call):
        """Serve one call; return its refusal, or None once it is answered."""
        granted = await self.place(call)
        while isinstance(granted, Granted):
            call.tried.add(granted.endpoint)
            granted = await self.attempt(call, granted)
        return granted

    async def attempt(self, call, granted):
        """Return None for an answer, else the grant of the next endpoint."""
        engine = self.engines[granted.endpoint]
        began = self.loop.time()
        self.tally.sent_silent += began < engine.silent_until
        work = self.loop.create_task(self.answer(call, granted, engine, began))
        search, next_at = None, 0.0
        outcome = Outcome.CANCELLED
        try:
            while True:
                waited = [work] if search is None else [work, search]
                await asyncio.wait(
                    waited,
                    timeout=CHECK_INTERVAL,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if work.done():
                    outcome = Outcome.COMPLETE
                    return None
                now = self.loop.time()
                activity = self.activities[call.router]
                silent = activity.is_silent(granted.endpoint, began, now)
                if not silent or len(call.tried) >= ATTEMPTS:
                    if search is not None:
                        search = self.drop(search)
                elif search is None and now >= next_at:
                    next_at = now + SEARCH_INTERVAL
                    search = self.loop.create_task(self.place(call))
                elif search is not None and search.done():
                    decision, search = search.result(), None
                    if isinstance(decision, Granted):
                        outcome = Outcome.SILENT
                        self.tally.repeats += 1
                        return decision
        finally:
            work.cancel()
            if search is not None:
                self.drop(search)
            self.end(granted, outcome)

    def drop(self, search):
        """Cancel a search for an endpoint, and return a grant it has found."""
        if not search.done():
            search.cancel()
        elif isinstance(search.result(), Granted):
            self.end(search.result(), Outcome.CANCELLED)

    async def answer(self, call, granted, engine, began):
        """Prefill and generate at an engine, and tell router and scheduler of it."""
        activity = self.activities[call.router]
        unread = PROMPT_TOKENS // 4
        engine.read_until = max(engine.read_until, engine.worked) + unread / SPEED
        await engine.work_until(engine.read_until)
        last_event_at, events = 0.0, round(RESIDENCE / EVENT_INTERVAL)
        for _ in range(events):
            await engine.work_until(engine.worked + EVENT_INTERVAL)
            now = self.loop.time()
            activity.record_bytes(granted.endpoint, now)
            if call.first_at is None:
                call.first_at = now
            if not last_event_at:
                self.scheduler.begun(granted.call, now - began)
            elif now - last_event_at >= RESUMED_EVENT_INTERVAL:
                self.scheduler.begun(granted.call, 0.0)
            last_event_at = now

    async def offer_load(self, rate, seconds):
        """Have callers send `rate` requests a second for a while."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.draw.expovariate(rate))
            self.spawn(self.request())


#: Silences of each kind: seconds after the start, engines, seconds.
KINDS = {
    "none": [],
    "one engine, 1.5 s": [(5.0, 1, 1.5)],
    "one engine each 4 s, 1.5 s": [(at, 1, 1.5) for at in (4.0, 8.0, 12.0, 16.0, 20.0)],
    "one engine for ever": [(5.0, 1, 1000.0)],
    "all engines, 1.5 s": [(5.0, 99, 1.5)],
    "all engines, 1.5 s, three times": [(at, 99, 1.5) for at in (5.0, 12.0, 19.0)],
}


def play(seed, kind, load=0.6, engines=6, objective=1.0, limit=8.0, seconds=30.0):
    """Simulate one kind of silence; `load` is a fraction of the engines' slots."""

    async def work():
        world = SimulatedSilences(seed, engines, objective, limit)
        for at, count, lasts in KINDS[kind]:
            names = world.draw.sample(sorted(world.engines), min(count, engines))
            world.loop.call_later(at, world.pause, names, lasts)
        rate = load * engines * SLOTS / (RESIDENCE + 0.1)
        await world.offer_load(rate, seconds)
        await asyncio.sleep(limit + 0.1)
        for task in list(world.tasks):
            task.cancel()
        await asyncio.gather(*world.tasks, return_exceptions=True)
        return world.tally

    return simulate(work)


def main():
    """Print what callers got under each kind of silence."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=0.6)
    parser.add_argument("--objective", type=float, default=1.0)
    parser.add_argument("--limit", type=float, default=8.0)
    wanted = parser.parse_args()
    print(
        "kind | in time, late, none | refusals (early) | repeats, sent to silent ones"
    )
    for kind in KINDS:
        tallies = [
            play(
                seed, kind, wanted.load, objective=wanted.objective, limit=wanted.limit
            )
            for seed in range(wanted.seeds)
        ]
        ends = sum((item.ends for item in tallies), Counter())
        refusals = sum((item.refusals for item in tallies), Counter())
        print(
            f"{kind} | {ends['in time']} {ends['late']} {ends['none']} |"
            f" {dict(refusals)} ({sum(item.refused_early for item in tallies)}) |"
            f" {sum(item.repeats for item in tallies)}"
            f" {sum(item.sent_silent for item in tallies)} | suspended while sound"
            f" {sum(item.suspended for item in tallies):.1f} s"
        )


if __name__ == "__main__":
    main()
