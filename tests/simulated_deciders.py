"""Simulated fleet under floods, whose routers need processor time for their work.

Coordinators, schedulers and heartbeats are the product's own, on a simulated clock.
Each job of a router takes its measured time on the router's share of a core; datagrams
and timers wait until the router is free. The fleet is scaled down from 67 routers and
64 engines: a tenth of the requests, and each job takes ten times as long.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from benchmarks.fair_parts import least_part
from carawayfold.coordination.scheduling import coordinator as desk_module
from carawayfold.coordination.scheduling.coordinator import (
    ACTIVE_REPORT_INTERVAL,
    SchedulingCoordinator,
)
from carawayfold.coordination.scheduling.offers import Granted, Offer, Outcome
from carawayfold.coordination.scheduling.scheduler import Scheduler
from carawayfold.gateway import PRESSURE_INTERVAL
from carawayfold.protocol.exchanges import Part
from carawayfold.state.overload import OverloadDetector
from carawayfold.state.routes import CallerLimits, RouteTable, ServiceConfig
from tests.decider_faults import FAULTS
from tests.simulated_engines import BROKEN_IN, REFUSED_IN, Registrations
from tests.simulated_fleet import STRONG, WEAK, SimulatedFleet, simulate

#: Factor by which requests are reduced and job times are increased.
THINNED = 10
#: Microseconds of a core per job: receiving a datagram, sending one, queueing an offer,
#: listing the loads of sixteen engines, choosing one for a request, ranking a request,
#: and handling a request of a caller.
TAKE, SEND, NOTE, LOOK, WEIGH, RANK, CARRY = 10.0, 6.0, 20.0, 25.0, 45.0, 4.0, 1000.0
#: Fraction of a core that a process gets, by the capacity of its instance.
CORE_PARTS = {STRONG: 0.717, WEAK: 0.516}
#: Configured throughput of all engines in tokens per second.
THROUGHPUT = 2_600_000.0 / THINNED
ENGINES = 64
#: Seconds from the first token to the last one.
RESIDENCE = 0.8
#: Number of organisations with equal floods.
MANY = 14
#: Maximum attempts of a request whose engine crashes.
ATTEMPTS = 2
#: Objective of a request in seconds, and seconds until its caller disconnects.
OBJECTIVE, PATIENCE = 0.3, 2.5
SERVICE = "model"
#: Seconds until all routers of the fleet are connected.
SETTLED = 4.0


@dataclass
class Flood:
    """Requests of one organisation.

    Attributes
    ----------
    routers : int or None
        Number of routers that its callers use; None for all.
    weak : bool
        Whether these are on the weakest instances, which never lead pools.
    part : float
        Tokens that it requests, as a fraction of the throughput of all engines.
    tokens : int
        Tokens of a prompt, of which three quarters are shared.
    prefixes : int
        Number of different shared parts of its requests.
    """

    name: str
    part: float
    routers: int | None = None
    weak: bool = False
    tokens: int = 3000
    output: int = 50
    prefixes: int = 60


class Clock:
    """Event loop of a router that runs one job at a time, each of which takes time."""

    def __init__(self, speed: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.speed = speed
        self.jobs = deque()
        self.free_at = 0.0
        self.charged = 0.0
        self.total = 0.0
        self.latest = 0.0
        self.running = False
        self.due = None
        self.over = False

    def time(self):
        return self.loop.time() + self.charged

    def create_future(self):
        return self.loop.create_future()

    def call_later(self, delay, work, *args):
        at = self.time() + delay
        return self.loop.call_at(at, self.submit, work, *args)

    def charge(self, microseconds):
        if self.running:
            self.charged += microseconds * THINNED / 1e6 / self.speed

    def submit(self, work, *args):
        if self.over:
            return
        self.jobs.append((self.loop.time(), work, args))
        if self.due is None and not self.running:
            self.due = self.loop.call_at(max(self.free_at, self.loop.time()), self.work)

    def work(self):
        self.due = None
        if self.over:
            return
        since, work, args = self.jobs.popleft()
        self.latest = max(self.latest, self.loop.time() - since)
        self.running = True
        try:
            work(*args)
        finally:
            self.running = False
            self.free_at = self.loop.time() + self.charged
            self.total += self.charged
            self.charged = 0.0
        if self.jobs:
            self.due = self.loop.call_at(self.free_at, self.work)


class ChargedScheduler(Scheduler):
    """A scheduler whose steps take processor time of its router."""

    __slots__ = ()
    #: Clocks of all routers; only the clock of the running router is charged.
    clocks: list[Clock] = []

    def charge(self, microseconds):
        for clock in self.clocks:
            clock.charge(microseconds)

    def offer(self, offer, now):
        self.charge(NOTE)
        Scheduler.offer(self, offer, now)

    def backlogs(self, now):
        self.charge(LOOK)
        return Scheduler.backlogs(self, now)

    def _decide_one(self, offer, backlogs, now):
        self.charge(WEIGH)
        return Scheduler._decide_one(self, offer, backlogs, now)

    def rank(self, offer, overall, now):
        self.charge(RANK)
        return Scheduler.rank(self, offer, overall, now)


class ChargedRouter:
    """A coordinator whose datagrams and timers wait until its router is free.

    It rejects requests while its loop is late, as the product does.
    """

    def __init__(self, fleet, table, processor, features=None):
        self.clock = Clock(CORE_PARTS[processor])
        ChargedScheduler.clocks.append(self.clock)
        self.coordinator = SchedulingCoordinator(fleet, 4.0, features=features)
        self.fleet = fleet
        self.pressure = OverloadDetector()
        self.coordinator.loop = self.clock
        self.coordinator.decision_statistics.loop = self.clock
        self.routes = RouteTable(
            1,
            (),
            {SERVICE: ServiceConfig(SERVICE, "/", 100, 771_922)},
            {},
            {},
            CallerLimits(),
            THROUGHPUT,
        )
        self.relist(table)

    def relist(self, table):
        """Replace the list of engines."""
        self.coordinator.refresh(table, self.routes)

    def take(self, datagram):
        self.clock.submit(self.take_now, datagram)

    def take_now(self, datagram):
        self.clock.charge(TAKE)
        self.coordinator.take(datagram)

    def fleet_changed(self):
        self.clock.submit(self.coordinator.fleet_changed)

    async def run_periodically(self):
        for number in itertools.count():
            await asyncio.sleep(PRESSURE_INTERVAL)
            self.clock.submit(self.measure, self.clock.loop.time())
            if number % round(ACTIVE_REPORT_INTERVAL / PRESSURE_INTERVAL) == 0:
                self.clock.submit(self.coordinator.run_periodic_tasks)

    def measure(self, due):
        now = self.clock.loop.time()
        self.pressure.note(now - due, now)
        self.fleet.set_lagging(self.pressure.is_overloaded())


class ChargedFleet(SimulatedFleet):
    """A fleet whose datagrams are sent once their router has processed them."""

    def carry(self, socket, address, data):
        router = self.attached.get(socket.router)
        if router is None or not router.clock.running:
            super().carry(socket, address, data)
            return
        router.clock.charge(SEND)
        self.loop.call_later(router.clock.charged, super().carry, socket, address, data)


@dataclass
class Played:
    """Results of a run, by seconds since the load started."""

    asked: dict = field(default_factory=lambda: defaultdict(Counter))
    got: dict = field(default_factory=lambda: defaultdict(Counter))
    largest: dict = field(default_factory=lambda: defaultdict(list))
    central: Counter = field(default_factory=Counter)
    alone: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    shed: Counter = field(default_factory=Counter)
    late: dict = field(default_factory=dict)
    spent: dict = field(default_factory=dict)

    def part_alone(self, begin=0, end=100):
        """Return the fraction of grants by routers that decided alone."""
        alone = sum(self.alone[second] for second in range(begin, end))
        central = sum(self.central[second] for second in range(begin, end))
        return alone / max(1, alone + central)

    def least_part(self, floods, seconds):
        """Return the lowest fraction of its entitlement that anyone received."""
        return self.least(floods, seconds).part

    def least(self, floods, seconds):
        """Return the organisation with the lowest fraction of its entitlement."""
        asked = {name: self.asked[name] for name in floods}
        return least_part(asked, self.got, self.largest, seconds)


class Deciders:
    """One simulation.

    Parameters
    ----------
    floods : list of Flood
        Requests of the organisations.
    count : int
        Number of routers, in four data centres.
    seconds : int
        Seconds of load.
    faults : callable, optional
        Called with this simulation once per second.
    features : SchedulingFeatures, optional
        Optional decisions of the coordinators.
    """

    def __init__(self, floods, count=36, seconds=8, seed=1, faults=None, features=None):
        self.floods = floods
        self.count = count
        self.seconds = seconds
        self.faults = faults
        self.features = features
        self.draw = random.Random(seed)
        self.seed = seed
        self.played = Played()
        #: Router of each pending request.
        self.calls = {}

    def play(self):
        """Run the simulation and return its results."""
        ChargedScheduler.clocks = []
        with patch.object(desk_module, "Scheduler", ChargedScheduler):
            simulate(self._play)
        return self.played

    async def _play(self):
        self.loop = asyncio.get_running_loop()
        self.registrations = Registrations(ENGINES, self._relist, self.seed)
        self.fleet = ChargedFleet(seed=self.seed, fill_beat=lambda name, beat: beat)
        processors = self.processors = {}
        self.fleet.attach = lambda name, fleet: ChargedRouter(
            fleet, self.registrations.table_of(name), processors[name], self.features
        )
        for number in range(self.count):
            strong = number < 8
            name = f"edge-{'qlmd'[number % 4]}-{number // 4}"
            processors[name] = STRONG if strong else WEAK
            after = self.fleet.draw.uniform(0, 0.3)
            self.fleet.start(name, f"dc-{number % 4}", processors[name], after)
        await asyncio.sleep(SETTLED)
        self.begun = self.loop.time()
        self.led = self.leaders()
        senders = [self.loop.create_task(self._send(flood)) for flood in self.floods]
        for second in range(self.seconds):
            if self.faults is not None:
                self.faults(self, second)
            await asyncio.sleep(1.0)
        for task in [*senders, *self.calls]:
            task.cancel()
        await asyncio.gather(*senders, *self.calls, return_exceptions=True)
        self._note_routers()
        await self.fleet.close()

    def _relist(self, name, table):
        router = self.fleet.attached.get(name)
        if router is not None:
            router.clock.submit(router.relist, table)

    def restart(self, name, after):
        """Kill a router and its requests, and restart it after some seconds."""
        self.fleet.attached[name].clock.over = True
        self.fleet.kill(name)
        for task, router in list(self.calls.items()):
            if router == name:
                task.cancel()
        self.loop.call_later(after, self._start_again, name)

    def _start_again(self, name):
        self.fleet.dead.discard(name)
        self.fleet.start(name, self.fleet.places[name], self.processors[name])

    def _note_routers(self):
        for name, router in self.fleet.attached.items():
            self.played.late[name] = router.clock.latest
            self.played.spent[name] = router.clock.total

    def leaders(self):
        """Return the leader of each pool."""
        fleet = next(iter(self.fleet.routers.values()))
        return [fleet.leader(f"{SERVICE}/{number}") for number in range(4)]

    async def _send(self, flood):
        names = sorted(self.fleet.routers)
        if flood.weak:
            names = [name for name in names if self.processors[name] == WEAK]
        names = names[: flood.routers]
        each = flood.tokens + 2 * flood.output
        rate = flood.part * THROUGHPUT / each
        for number in itertools.count():
            await asyncio.sleep(self.draw.expovariate(rate))
            name = self.draw.choice(names)
            task = self.loop.create_task(self._call(flood, name, number))
            self.calls[task] = name
            task.add_done_callback(self.calls.pop)

    def _second(self):
        return int(self.loop.time() - self.begun)

    async def _call(self, flood, name, number):
        router = self.fleet.attached.get(name)
        if router is None:
            return
        played = self.played
        arrived = self.loop.time()
        tokens = flood.tokens + 2 * flood.output
        played.asked[flood.name][self._second()] += tokens
        played.largest[flood.name].append(tokens)
        if router.pressure.should_reject():
            played.refused[self._second()] += 1
            played.shed[flood.name] += tokens
            return
        ready = self.loop.create_future()
        router.clock.submit(self._carried, router, ready)
        await ready
        offer = self._offer(flood, router, name, number, arrived)
        try:
            async with asyncio.timeout_at(arrived + PATIENCE):
                for _ in range(ATTEMPTS):
                    decision = await router.coordinator.place_with_fallback(
                        offer, SERVICE
                    )
                    if not isinstance(decision, Granted):
                        break
                    if await self._run(flood, router, decision, offer):
                        return
                    offer = replace(
                        offer,
                        call=router.coordinator.next_call(),
                        avoid=offer.avoid | {decision.endpoint},
                        cached_at=None,
                    )
                played.refused[self._second()] += 1
        except TimeoutError:
            played.refused[self._second()] += 1

    def _carried(self, router, ready):
        router.clock.charge(CARRY)
        if not ready.done():
            ready.set_result(None)

    def _offer(self, flood, router, name, number, arrived):
        prefix = f"{flood.name}-{number % flood.prefixes}"
        shared = flood.tokens * 3 // 4
        own = f"{flood.name}.{number}"
        prompt = (Part(prefix, shared), Part(own, flood.tokens - shared))
        return Offer(
            call=router.coordinator.next_call(),
            router=name,
            data_centre=self.fleet.places[name],
            organisation=flood.name,
            route="summary",
            priority=1,
            prompt=prompt,
            prompt_tokens=flood.tokens,
            output_tokens=flood.output,
            arrived=router.clock.time(),
            due=arrived + OBJECTIVE,
            expires=arrived + PATIENCE,
            cached_at=router.coordinator.cached_at(prompt),
        )

    async def _run(self, flood, router, decision, offer):
        """Return whether a request began to run at the granted engine."""
        own = router.coordinator.fleet.own.router
        led = router.coordinator.fleet.leader(
            router.coordinator.placed[decision.call].pool
        )
        alone = decision.basis.decider == own != led
        counter = self.played.alone if alone else self.played.central
        counter[self._second()] += 1
        engine = self.registrations.engines[decision.endpoint]
        outcome = Outcome.CANCELLED
        sent = self.loop.time()
        try:
            if engine.ended.done():
                await asyncio.sleep(REFUSED_IN)
                outcome = Outcome.UNREACHABLE
                return False
            async with engine.slots:
                if not await engine.stays(engine.begin_reading(offer.prompt)):
                    await asyncio.sleep(BROKEN_IN)
                    outcome = Outcome.SILENT
                    return False
                tokens = flood.tokens + 2 * flood.output
                self.played.got[flood.name][self._second()] += tokens
                self.played.in_time[flood.name] += self.loop.time() <= offer.due
                waited = self.loop.time() - sent
                router.clock.submit(router.coordinator.begun, decision.call, waited)
                stayed = await engine.stays(RESIDENCE * self.draw.uniform(0.5, 1.5))
            outcome = Outcome.COMPLETE if stayed else Outcome.FAILED
            return True
        finally:
            router.clock.submit(router.coordinator.ended, decision.call, outcome)


def floods(load=4.8, weak=False):
    """Return floods over all routers and over three of them.

    Parameters
    ----------
    load : float
        Total requested tokens, as a fraction of the throughput of all engines.
    weak : bool
        Whether the three are routers that never lead pools.
    """
    unit = load / 4.8
    return [
        Flood("wide", 2.0 * unit),
        Flood("narrow", 1.5 * unit, routers=3, weak=weak),
        Flood("other", 1.0 * unit, prefixes=20),
        *[Flood(f"small-{number}", 0.03 * unit) for number in range(10)],
    ]


def many_floods(load=4.2, few=(1, 2, 4), routers=None):
    """Return fourteen floods of equal size, some with few prefixes.

    Parameters
    ----------
    load : float
        Total requested tokens, as a fraction of the throughput of all engines.
    few : tuple of int
        Numbers of prefixes of floods that reach few pools; others have 60.
    routers : int, optional
        Number of routers that the callers of every second flood use.
    """
    prefixes = [*few, *[60] * (MANY - len(few))]
    return [
        Flood(
            f"org-{number}",
            load / MANY,
            routers=routers if number % 2 else None,
            prefixes=count,
        )
        for number, count in enumerate(prefixes)
    ]


def mixed_floods(load=4.2):
    """Return fourteen floods with different prompts, prefixes and routers.

    Parameters
    ----------
    load : float
        Total requested tokens, as a fraction of the throughput of all engines.
    """
    return [
        Flood(
            f"org-{number}",
            load / MANY,
            routers=(None, 9, None)[number % 3],
            tokens=(3000, 500, 1500, 3000)[number % 4],
            prefixes=(60, 1, 60, 4, 60)[number % 5],
        )
        for number in range(MANY)
    ]


#: Loads by name.
LOADS = {
    "hunted": floods,
    "alike": lambda load, weak: many_floods(load, few=()),
    "few": lambda load, weak: many_floods(load),
    "mixed": lambda load, weak: mixed_floods(load),
    "few-behind-three": lambda load, weak: many_floods(load, routers=3),
    "few-behind-nine": lambda load, weak: many_floods(load, routers=9),
}


def sum_of(counters):
    """Return the total over all organisations and seconds."""
    return sum(sum(counter.values()) for counter in counters.values())


def main() -> None:
    """Print the shares of organisations for several loads and seeds."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--routers", type=int, default=36)
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 1, 2, 4.8])
    parser.add_argument("--weak", action="store_true", help=floods.__doc__)
    parser.add_argument("--floods", choices=LOADS, default="hunted")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--fault", choices=FAULTS, default="none")
    wanted = parser.parse_args()
    for load, seed in itertools.product(wanted.loads, wanted.seeds):
        made = LOADS[wanted.floods](load, wanted.weak)
        fault = FAULTS[wanted.fault]
        run = Deciders(made, wanted.routers, wanted.seconds, seed, fault)
        played = run.play()
        names = [flood.name for flood in made]
        busiest = max(played.spent, key=played.spent.get)
        alone = [
            round(played.part_alone(begin, begin + 2), 2)
            for begin in range(0, wanted.seconds, 2)
        ]
        got = {name: round(sum(played.got[name].values())) for name in names[:4]}
        least = played.least(names, wanted.seconds)
        print(
            f"load {load} seed {seed}: least part {least.part:.2f} "
            f"({least.organisation} from {least.begin} s), alone {alone}, got {got}"
        )
        print(
            f"    in time {sum(played.in_time.values())}, "
            f"refused {sum(played.refused.values())}, "
            f"shed {sum(played.shed.values()) / sum_of(played.asked):.2f}, "
            f"leaders {sorted(run.led)}, "
            f"busiest {busiest}: late {max(played.late.values()):.2f} s, took "
            f"{played.spent[busiest]:.2f} s and {run.fleet.taken[busiest]} datagrams"
        )


if __name__ == "__main__":
    main()
