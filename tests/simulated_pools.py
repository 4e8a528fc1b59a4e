"""Simulates organisations that flood a service with several pools."""

from __future__ import annotations

import argparse
from collections import Counter
from dataclasses import dataclass, field

from carawayfold.coordination.scheduling.offers import Granted, Outcome
from carawayfold.coordination.scheduling.pool_assignment import (
    choose_fallback_pool,
    choose_pool,
)
from carawayfold.coordination.scheduling.pool_balance import PoolBalance, measure_load
from carawayfold.coordination.scheduling.pool_selection import MAX_FALLBACK_POOLS
from tests.schedule_builders import offer, scheduler

#: Simulated seconds, and seconds between two rounds of requests.
LENGTH = 6.0
INTERVAL = 0.02
#: Requests of each organisation in a round, the capacity of four pools.
IN_ROUND = 8
TOKENS = 3000


@dataclass
class PoolsRun:
    """One simulation.

    Attributes
    ----------
    prefixes : dict
        Number of prefixes that the requests of each organisation share.
    pools : int
        Number of pools, each with one engine of two slots.
    further : int
        Number of other pools to which a rejected request is offered.
    in_round : int
        Requests of each organisation in each round.
    balance : PoolBalance or None
        Chooses the pools by their loads, as a router with `balance_pools`; None for the
        choice by hash.
    got : Counter
        Served requests of each organisation.
    offers : int
        Total number of offers to pools.
    """

    prefixes: dict[str, int]
    pools: int = 4
    further: int = MAX_FALLBACK_POOLS
    in_round: int = IN_ROUND
    balance: PoolBalance | None = None
    got: Counter = field(default_factory=Counter)
    offers: int = 0
    reread: int = 0

    def __post_init__(self) -> None:
        names = [f"model/{number}" for number in range(self.pools)]
        self.weights = dict.fromkeys(names, 2)
        self.made = {pool: scheduler(throughput=10_000, slots=2) for pool in names}
        self.asked = {}
        self.seen = set()

    def play(self) -> Counter:
        """Return the served requests of each organisation."""
        for number in range(round(LENGTH / INTERVAL)):
            now = 1.0 + number * INTERVAL
            for name, count in self.prefixes.items():
                for wants in self._offers_of(name, count, now, number * self.in_round):
                    self._offer(wants, self._first(wants, now), now)
            for name, pool in self.made.items():
                for decision in pool.decide(now):
                    self._take(decision, name, now)
                if self.balance is not None:
                    self.balance.record(name, measure_load(pool, now), now)
        return self.got

    def _first(self, wants, now):
        prefix = wants.prompt[0].id
        own = choose_pool(self.weights, prefix)
        if self.balance is None:
            return own
        return self.balance.choose_first(self.weights, own, prefix, wants, now)

    def _further(self, wants, asked, now):
        if self.balance is None:
            return choose_fallback_pool(self.weights, asked, wants.call)
        self.balance.contradict(asked[-1], wants, now)
        return self.balance.choose_further(self.weights, asked, wants, now)

    def _offers_of(self, name, prefixes, now, first):
        return [
            offer(
                f"{name}.0.{number}",
                f"{name}-{number % prefixes}",
                1,
                TOKENS,
                now=now,
                organisation=name,
                due=now + 0.5,
            )
            for number in range(first, first + self.in_round)
        ]

    def _offer(self, wants, pool, now):
        self.offers += 1
        self.asked.setdefault(wants.call, (wants, []))[1].append(pool)
        if self.balance is not None:
            self.balance.record_offer(pool)
        self.made[pool].offer(wants, now)

    def _take(self, decision, name, now):
        wants, asked = self.asked[decision.call]
        if isinstance(decision, Granted):
            self.got[wants.organisation] += 1
            prefix = (name, wants.prompt[0].id)
            self.reread += prefix not in self.seen
            self.seen.add(prefix)
            self.made[name].begun(decision.call, 0.03)
            self.made[name].ended(decision.call, Outcome.COMPLETE, now)
            return
        further = self._further(wants, asked, now)
        if further is not None and len(asked) <= self.further:
            self._offer(wants, further, now)


def main() -> None:
    """Print the served requests of two equal floods with different prefixes."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--further", type=int, nargs="+", default=[0, 1, 2, 11])
    wanted = parser.parse_args().further
    print("pools prefixes further    one    two   part offers prefixes read")
    for pools in (1, 4, 12):
        for prefixes in (1, 2, 40):
            for further in wanted:
                floods = {"one": prefixes, "two": 40}
                run = PoolsRun(floods, pools, further, in_round=2 * pools)
                got = run.play()
                part = got["one"] / max(1, got["two"])
                print(
                    f"{pools:5} {prefixes:8} {further:7} {got['one']:6} "
                    f"{got['two']:6} {part:6.2f} {run.offers:6} {run.reread:8}"
                )


if __name__ == "__main__":
    main()
