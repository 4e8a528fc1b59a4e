"""Explanations of decisions agree with the decisions, and change none.

Guards against a command that tells operators something else than what the scheduler
does, and against one whose use moves requests.
"""

from __future__ import annotations

import random

import pytest

from carawayfold.coordination.scheduling.explanation import explain
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome, Rejected
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from carawayfold.protocol.explanations import EndpointStatus, Verdict
from tests.schedule_builders import WINDOW, endpoint, offer, scheduler

FEATURES = [
    SchedulingFeatures(),
    SchedulingFeatures(remote_cost=0.05),
    SchedulingFeatures(schedule_returns=True),
    SchedulingFeatures(
        reuse_connections=True,
        endpoint_load=True,
        schedule_returns=True,
        remote_cost=0.05,
    ),
]
NAMES = [
    "none",
    "remote_cost",
    "returns",
    "all",
]


class RandomLoad:
    """Random requests at a pool of two data centres, from a seed."""

    def __init__(self, features, seed):
        self.draw = random.Random(seed)
        self.scheduler = Scheduler(WINDOW, features=features)
        members = [
            endpoint(f"{name}-{number}", slots=3, data_centre=name)
            for name in ("north", "south")
            for number in range(2)
        ]
        self.scheduler.set_endpoints(members, PoolPlan(0.0, 100_000, 100_000.0))
        self.now = 0.0
        self.number = 0
        self.placed = []

    def next_offer(self):
        """Return the next request."""
        self.number += 1
        draw = self.draw
        call = f"r-{draw.randrange(3)}.0.{self.number}"
        topic = draw.choice(["topic-1", "topic-2", "topic-3"])
        return offer(
            call,
            shared=topic,
            tokens=draw.choice([500, 4000]),
            own=draw.choice([100, 3000]),
            now=self.now,
            router=call.partition(".")[0],
            data_centre=draw.choice(["north", "south"]),
            organisation=draw.choice(["alder", "birch"]),
            route=draw.choice(["summary", "note"]),
            priority=draw.choice([1, 2]),
            due=self.now + draw.choice([0.1, 0.5, 2.0]),
        )

    def advance(self):
        """Let time pass, and requests begin and end."""
        self.now += self.draw.expovariate(30.0)
        for call in [item for item in self.placed if self.draw.random() < 0.1]:
            self.placed.remove(call)
            self.scheduler.begun(call, self.draw.uniform(0.01, 0.2))
            failed = self.draw.random() < 0.05
            outcome = Outcome.FAILED if failed else Outcome.COMPLETE
            self.scheduler.ended(call, outcome, self.now)

    def decide(self):
        """Examine the whole queue."""
        self.scheduler.last_review_at = -1.0
        decisions = {item.call: item for item in self.scheduler.decide(self.now)}
        self.placed += [
            call for call, item in decisions.items() if isinstance(item, Granted)
        ]
        return decisions

    def copy_of(self, wanted):
        """Return an equal request that the scheduler doesn't know."""
        return offer(
            wanted.call,
            router=wanted.router,
            data_centre=wanted.data_centre,
            organisation=wanted.organisation,
            route=wanted.route,
            priority=wanted.priority,
            prompt=wanted.prompt,
            prompt_tokens=wanted.prompt_tokens,
            now=wanted.arrived,
            due=wanted.due,
        )


def outcome_of(decision):
    if decision is None:
        return Verdict.WAIT, None
    if isinstance(decision, Rejected):
        return Verdict.REJECT, None
    return Verdict.GRANT, decision.endpoint


@pytest.mark.parametrize("features", FEATURES, ids=NAMES)
@pytest.mark.parametrize("seed", range(5))
def test_a_request_gets_what_was_explained(features, seed):
    load = RandomLoad(features, seed)
    seen = set()
    for _ in range(400):
        load.advance()
        load.decide()
        wanted = load.next_offer()
        answer = explain(load.scheduler, load.copy_of(wanted), load.now)
        load.scheduler.offer(wanted, load.now)
        verdict, place = outcome_of(load.decide().get(wanted.call))
        if answer.position:
            continue
        assert answer.verdict is verdict
        assert verdict is not Verdict.GRANT or answer.endpoint == place
        seen.add(verdict)
    assert seen == set(Verdict)


@pytest.mark.parametrize("features", FEATURES, ids=NAMES)
def test_explanations_change_no_decision(features):
    asked, other = RandomLoad(features, 7), RandomLoad(features, 7)
    for _ in range(400):
        decisions = []
        for load in (asked, other):
            load.advance()
            wanted = load.next_offer()
            if load is asked:
                explain(load.scheduler, load.copy_of(wanted), load.now)
            load.now += 0.005
            load.scheduler.offer(wanted, load.now)
            decisions.append(load.decide())
        assert decisions[0] == decisions[1]
    assert asked.scheduler.describe(asked.now) == other.scheduler.describe(other.now)


def test_requests_before_it_take_the_room():
    pool = scheduler(endpoints=1, slots=1)
    pool.offer(offer("r.0.1"), 0.0)
    answer = explain(pool, offer("r.0.2"), 0.0)
    assert (answer.waiting, answer.position) == (1, 1)
    assert answer.verdict is not Verdict.GRANT


def test_each_endpoint_that_may_not_be_used_has_its_reason():
    pool = scheduler(endpoints=4)
    pool.suspend("e-0", 0.0)
    pool.unreachable["r", "e-1"] = 1.0
    wanted = offer(avoid=frozenset({"e-2"}), rests={"e-3": 1.0})
    answer = explain(pool, wanted, 0.0)
    assert {item.endpoint: item.status for item in answer.endpoints} == {
        "e-0": EndpointStatus.SUSPENDED,
        "e-1": EndpointStatus.UNREACHABLE,
        "e-2": EndpointStatus.TRIED,
        "e-3": EndpointStatus.BACKING_OFF,
    }


def test_regions_and_software_versions_are_reasons():
    pool = scheduler(endpoints=0)
    members = [
        endpoint("e-0", data_centre="south", software="2"),
        endpoint("e-1", data_centre="north", software="1"),
    ]
    pool.set_endpoints(members, PoolPlan())
    wanted = offer(allowed=frozenset({"north"}), software="2")
    answer = explain(pool, wanted, 0.0)
    assert [item.status for item in answer.endpoints] == [
        EndpointStatus.NOT_ALLOWED,
        EndpointStatus.OTHER_SOFTWARE,
    ]
    assert answer.verdict is Verdict.REJECT


def test_the_endpoint_with_the_prefix_comes_first():
    pool = scheduler(endpoints=3)
    pool.record_cached_prefixes("e-2", [Part("topic", 1000)])
    answer = explain(pool, offer(), 0.0)
    assert answer.endpoint == "e-2"
    assert answer.endpoints[0].endpoint == "e-2"
    assert answer.endpoints[0].cached_tokens == 1000
    costs = [item.cost for item in answer.endpoints]
    assert costs == sorted(costs)


@pytest.mark.parametrize("count", [30, 300])
def test_a_request_far_behind_is_rejected_by_the_length_of_the_queue(count):
    pool = scheduler(endpoints=1, slots=1)
    pool.loads["e-0"].residence = 1.0
    for number in range(count):
        pool.offer(offer(f"r.0.{number}", due=1000.0, expires=1000.0), 0.0)
    answer = explain(pool, offer("r.0.x", due=1001.0, expires=1010.0), 0.0)
    assert answer.position == count
    assert answer.verdict is Verdict.WAIT
    late = explain(pool, offer("r.0.y", priority=2, due=1.0), 0.0)
    assert late.verdict is Verdict.REJECT


def test_each_data_centre_has_its_part_of_the_examined_requests():
    pool = Scheduler(WINDOW, features=SchedulingFeatures(remote_cost=0.05))
    members = [
        endpoint(f"{name}-0", slots=1, data_centre=name) for name in ("north", "south")
    ]
    pool.set_endpoints(members, PoolPlan(0.0, 100_000, 100_000.0))
    pool.suspend("north-0", 0.0)
    for number in range(30):
        item = offer(
            f"r-n.0.{number}", data_centre="north", router="r-n", allowed={"north"}
        )
        pool.offer(item, 0.0)
    place = {"data_centre": "south", "router": "r-s", "allowed": {"south"}}
    answer = explain(pool, offer("r-s.0.1", **place), 0.0)
    wanted = offer("r-s.0.1", **place)
    pool.offer(wanted, 0.0)
    granted = [item for item in pool.decide(0.0) if isinstance(item, Granted)]
    assert [(item.call, item.endpoint) for item in granted] == [("r-s.0.1", "south-0")]
    assert (answer.verdict, answer.endpoint) == (Verdict.GRANT, "south-0")


def test_an_unknown_organisation_is_not_remembered():
    pool = scheduler(endpoints=1)
    explain(pool, offer(organisation="unheard-of"), 0.0)
    assert "unheard-of" not in pool.usage.usages
