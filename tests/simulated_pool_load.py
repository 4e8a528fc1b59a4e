"""Simulated routers and engines of a service with several pools and one hot prefix.

Coordinators and schedulers are the product's own, on a simulated clock; datagrams are
encoded and take a moment. Engines have slots and answer with streams of one length.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from carawayfold.coordination.fleet.membership import Member, Membership
from carawayfold.coordination.scheduling.coordinator import (
    SchedulingCoordinator,
)
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import (
    Granted,
    Offer,
    Outcome,
    PoolLoad,
)
from carawayfold.coordination.scheduling.pool_balance import PoolBalance
from carawayfold.protocol.datagrams import Datagram, decode, encode
from carawayfold.protocol.exchanges import Part
from carawayfold.state.endpoints import EndpointTable
from carawayfold.state.routes import CallerLimits, RouteTable, ServiceConfig
from tests.schedule_builders import endpoint
from tests.simulated_fleet import DELAY, simulate

SERVICE = "model"
#: Engines, their slots, and seconds from the first token of an answer to its end.
ENGINES, SLOTS, RESIDENCE = 40, 2, 1.0
#: Seconds from sending a request to its first token.
FIRST_TOKEN = 0.03
#: Objective of a request and its time limit, in seconds.
OBJECTIVE, TIMEOUT = 0.4, 6.9
#: The prefix of most requests.
HOT = "hot"
#: Fraction of idle slots beside which no request should be refused.
IDLE = 1 / 3


@dataclass
class LoadPhase:
    """Load for some seconds.

    Attributes
    ----------
    seconds : float
        Its length.
    busy : float
        Fraction of all slots that the requests take.
    hot : float
        Fraction of the requests that share one prefix.
    """

    seconds: float
    busy: float = 0.7
    hot: float = 0.6


@dataclass
class LoadPlayed:
    """Results of a run.

    Attributes
    ----------
    asked, granted, refused : int
        Number of requests.
    refused_beside_idle : int
        Requests refused while at least `IDLE` of all slots were idle.
    waits : list of float
        Seconds until each grant.
    pools : list of Counter
        Granted hot requests by pool, of each phase.
    moves : Counter
        Offers to other pools than that of the prefix, by moment.
    organisations : Counter
        Granted requests of each organisation.
    most_running : int
        Most requests at one engine.
    """

    asked: int = 0
    granted: int = 0
    refused: int = 0
    refused_beside_idle: int = 0
    waits: list = field(default_factory=list)
    pools: list = field(default_factory=list)
    moves: Counter = field(default_factory=Counter)
    organisations: Counter = field(default_factory=Counter)
    most_running: int = 0


class DistortedBalance(PoolBalance):
    """Loads of pools that are late, false or not stated.

    Parameters
    ----------
    age : float
        Seconds by which loads are late; they are taken for new ones.
    liar : str or None
        Pool of which neither wait nor use is ever stated.
    silent : bool
        Whether no loads are stated, as by routers of an older version.
    """

    def __init__(self, age=0.0, liar=None, silent=False):
        super().__init__()
        self.age = age
        self.liar = liar
        self.silent = silent
        self.loop = asyncio.get_running_loop()

    def record(self, pool, load, now):
        if self.silent:
            return
        if pool == self.liar:
            load = PoolLoad(0.0, 0.0)
        if not self.age:
            super().record(pool, load, now)
            return
        self.loop.call_later(self.age, super().record, pool, load, now + self.age)


class LinkedFleet:
    """Fleet of one router, whose peers are always reachable."""

    def __init__(self, run, name, names):
        self.run = run
        self.own = Member(name, "north", 1, 0.0)
        self.membership = Membership(self.own, asyncio.get_running_loop().time, 1e9)
        for other in names:
            if other != name:
                self.membership.register_member(other, "north", 1)

    def send(self, router, message):
        self.run.carry(self.own.router, router, message)

    def leader(self, subject):
        return self.membership.responsible(subject)

    responsible = leader

    def add_suspect(self, router):
        raise AssertionError(f"{router} is alive")

    def is_seen_since(self, router, since):
        return True

    def confirm_failure(self, router):
        pass

    def fallback_share(self):
        return 1.0 / len(self.membership.live())


class PoolLoadRun:
    """One simulation.

    Parameters
    ----------
    phases : list of LoadPhase
        The load.
    balances : bool
        Whether `balance_pools` is on.
    routers : int
        Number of routers.
    tokens : int
        Tokens of a prompt, of which four fifths are shared.
    distort : callable, optional
        Returns the `DistortedBalance` of a router.
    """

    def __init__(
        self, phases, balances=True, routers=3, tokens=200, seed=1, distort=PoolBalance
    ):
        self.phases = phases
        self.features = SchedulingFeatures(balance_pools=balances)
        self.names = [f"r-{number}" for number in range(routers)]
        self.tokens = tokens
        self.distort = distort
        self.draw = random.Random(seed)
        self.played = LoadPlayed()
        self.running = Counter()
        self.tasks = set()

    def play(self):
        """Run the simulation and return its results."""
        simulate(self._play)
        return self.played

    async def _play(self):
        self.loop = asyncio.get_running_loop()
        table = EndpointTable()
        for number in range(ENGINES):
            table.put(endpoint(f"e-{number}", slots=SLOTS))
        services = {SERVICE: ServiceConfig(SERVICE, "/", 100, 600_000)}
        routes = RouteTable(1, (), services, {}, {}, CallerLimits(), 100_000.0 * 40)
        self.coordinators = {}
        for name in self.names:
            fleet = LinkedFleet(self, name, self.names)
            coordinator = SchedulingCoordinator(fleet, 4.0, features=self.features)
            coordinator.refresh(table, routes)
            coordinator.selection.balance = self.distort()
            self.coordinators[name] = coordinator
        reports = [
            self.loop.create_task(item.report_periodically())
            for item in self.coordinators.values()
        ]
        for phase in self.phases:
            self.played.pools.append(Counter())
            await self._load(phase)
        while self.tasks:
            await asyncio.wait(self.tasks)
        for report in reports:
            report.cancel()
        await asyncio.gather(*reports, return_exceptions=True)
        for item in self.coordinators.values():
            self.played.moves += item.decision_statistics.pool_moves

    async def _load(self, phase):
        until = self.loop.time() + phase.seconds
        rate = phase.busy * ENGINES * SLOTS / (RESIDENCE + FIRST_TOKEN)
        while True:
            await asyncio.sleep(self.draw.expovariate(rate))
            if self.loop.time() >= until:
                return
            name = self.draw.choice(self.names)
            hot = self.draw.random() < phase.hot
            prefix = HOT if hot else f"cold-{self.draw.randrange(30)}"
            task = self.loop.create_task(self._call(name, prefix))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def carry(self, sender, receiver, message):
        """Deliver a message to a router."""
        data = encode(Datagram(sender, 1, [message]))
        self.loop.call_later(DELAY, self._deliver, receiver, data)

    def _deliver(self, receiver, data):
        self.coordinators[receiver].take(decode(data))

    async def _call(self, name, prefix):
        played = self.played
        phase = len(played.pools) - 1
        played.asked += 1
        coordinator = self.coordinators[name]
        now = self.loop.time()
        call = coordinator.next_call()
        shared = self.tokens * 4 // 5
        prompt = (Part(prefix, shared), Part(f"{call}-own", self.tokens - shared))
        offer = Offer(
            call=call,
            router=name,
            data_centre="north",
            organisation="hot" if prefix == HOT else "cold",
            route="summary",
            priority=1,
            prompt=prompt,
            prompt_tokens=self.tokens,
            output_tokens=50,
            arrived=now,
            due=now + OBJECTIVE,
            expires=now + TIMEOUT,
            cached_at=coordinator.cached_at(prompt),
        )
        decision = await coordinator.place_with_fallback(offer, SERVICE)
        if not isinstance(decision, Granted):
            played.refused += 1
            idle = 1 - sum(self.running.values()) / (ENGINES * SLOTS)
            played.refused_beside_idle += idle >= IDLE
            return
        played.granted += 1
        played.waits.append(self.loop.time() - now)
        played.organisations[offer.organisation] += 1
        if prefix == HOT:
            played.pools[phase][coordinator.placed[decision.call].pool] += 1
        await self._run(coordinator, decision)

    async def _run(self, coordinator, decision):
        self.running[decision.endpoint] += 1
        running = self.running[decision.endpoint]
        self.played.most_running = max(self.played.most_running, running)
        await asyncio.sleep(FIRST_TOKEN)
        coordinator.begun(decision.call, FIRST_TOKEN)
        await asyncio.sleep(RESIDENCE)
        coordinator.ended(decision.call, Outcome.COMPLETE)
        self.running[decision.endpoint] -= 1
