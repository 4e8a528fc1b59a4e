"""Grants of the slots of a pool."""

from __future__ import annotations

import random

from carawayfold.state.ids import OrganisationId
from tests.builders import Holder, granter, pool_spec

ALDER = OrganisationId("alder")
BIRCH = OrganisationId("birch")


def run_backlogged(granter, holders, costs, rounds, seed=1):
    """Complete requests one by one; return the service by organisation."""
    chance = random.Random(seed)
    received = dict.fromkeys(costs, 0.0)
    running = []
    for _ in range(rounds):
        for decision in granter.decide():
            holder = holders[decision.holder]
            holder.acknowledged = decision.sequence
            running.append(decision)
            granter.ledger.reserve(decision.organisation, 1)
        chance.shuffle(running)
        ended = running.pop()
        cost = chance.uniform(*costs[ended.organisation])
        received[ended.organisation] += cost
        granter.ledger.reserve(ended.organisation, -1)
        granter.ledger.settle(ended.organisation, cost, 1)
        for name, holder in holders.items():
            uses = {}
            for endpoint in granter.spec.slots:
                uses[endpoint] = sum(
                    (d.holder, d.endpoint) == (name, endpoint) for d in running
                )
            holder.report(uses=uses)
    return received


def backlogged(fair=True, shares=None):
    """Return a granter with a backlog of one organisation at each of two holders."""
    pool = granter(pool_spec(slots=4), shares, fair)
    holders = {name: Holder(name, pool) for name in ("router-1", "router-2")}
    holders["router-1"].report({ALDER: 10**6})
    holders["router-2"].report({BIRCH: 10**6}, now=1.0)
    return pool, holders


def test_gap_between_backlogged_organisations_does_not_grow_with_time():
    costs = {ALDER: (1, 10), BIRCH: (100, 1000)}
    gaps = []
    for rounds in (500, 5000, 20000):
        pool, holders = backlogged()
        received = run_backlogged(pool, holders, costs, rounds)
        gaps.append(abs(received[ALDER] - received[BIRCH]))
    slots = sum(pool.spec.slots.values())
    bound = (2 * slots + 1) * 1000
    assert max(gaps) <= bound


def test_first_come_lets_the_gap_grow():
    costs = {ALDER: (1, 10), BIRCH: (100, 1000)}
    pool, holders = backlogged(fair=False)
    received = run_backlogged(pool, holders, costs, 5000)
    assert abs(received[ALDER] - received[BIRCH]) > 10000


def test_service_follows_shares():
    costs = {ALDER: (50, 150), BIRCH: (50, 150)}
    pool, holders = backlogged(shares={ALDER: 3.0})
    received = run_backlogged(pool, holders, costs, 20000)
    assert 2.9 < received[ALDER] / received[BIRCH] < 3.1


def test_no_slot_stays_free_while_work_waits():
    pool, holders = backlogged()
    assert len(pool.decide()) == sum(pool.spec.slots.values())
    assert pool.decide() == []
    del holders


def test_unacknowledged_grants_are_not_granted_twice():
    pool = granter(pool_spec(slots=8))
    holder = Holder("router-1", pool)
    holder.report({ALDER: 3})
    assert len(pool.decide()) == 3
    assert pool.decide() == []
    holder.report({ALDER: 3})
    assert pool.decide() == []


def test_slots_of_a_removed_holder_become_free():
    pool, holders = backlogged()
    pool.decide()
    pool.drop("router-1")
    pool.drop("router-2")
    assert set(pool.used.values()) == {0}
    assert pool.ledger.account(ALDER).in_flight == 0
    holders["router-2"].report({BIRCH: 5}, full=True)
    assert len(pool.decide()) == 5


def test_urgent_work_of_an_organisation_is_granted_first():
    pool = granter(pool_spec(slots=1, endpoints=1))
    early, late = Holder("router-1", pool), Holder("router-2", pool)
    early.report({ALDER: 1}, now=0.0)
    late.report({ALDER: 1}, now=5.0, urgent={ALDER})
    assert pool.decide()[0].holder == "router-2"


def test_urgent_flood_does_not_take_another_share():
    pool = granter(pool_spec(slots=4))
    flood, calm = Holder("router-1", pool), Holder("router-2", pool)
    flood.report({ALDER: 10**6}, urgent={ALDER})
    calm.report({BIRCH: 10**6})
    costs = {ALDER: (100, 100), BIRCH: (100, 100)}
    received = run_backlogged(pool, {"router-1": flood, "router-2": calm}, costs, 4000)
    assert abs(received[ALDER] - received[BIRCH]) <= 1000


def test_idle_organisation_earns_no_credit():
    pool = granter(pool_spec(slots=1, endpoints=1))
    busy, idle = Holder("router-1", pool), Holder("router-2", pool)
    busy.report({ALDER: 10**6})
    run_backlogged(pool, {"router-1": busy}, {ALDER: (100, 100)}, 500)
    idle.report({BIRCH: 10**6})
    both = {"router-1": busy, "router-2": idle}
    costs = {ALDER: (100, 100), BIRCH: (100, 100)}
    received = run_backlogged(pool, both, costs, 100)
    assert abs(received[ALDER] - received[BIRCH]) <= 300


def test_load_that_no_holder_accounts_for_reduces_the_free_slots():
    pool = granter(pool_spec(slots=4, endpoints=1))
    holder = Holder("router-1", pool)
    pool.begin_load_query("endpoint-0")
    pool.end_load_query("endpoint-0", 3)
    holder.report({ALDER: 10})
    assert len(pool.decide()) == 1


def test_late_load_report_does_not_count_a_holders_own_work():
    pool = granter(pool_spec(slots=4, endpoints=1))
    holder = Holder("router-1", pool)
    holder.report(uses={"endpoint-0": 4})
    pool.begin_load_query("endpoint-0")
    holder.report(uses={"endpoint-0": 0})
    pool.end_load_query("endpoint-0", 4)
    holder.report({ALDER: 10})
    assert len(pool.decide()) == 4


def test_slots_of_a_failed_holder_stay_in_use_until_the_endpoint_was_queried():
    pool = granter(pool_spec(slots=4, endpoints=1))
    failed, other = Holder("router-1", pool), Holder("router-2", pool)
    failed.report(uses={"endpoint-0": 4})
    other.report({ALDER: 10})
    pool.remove_failed("router-1")
    assert pool.decide() == []
    pool.begin_load_query("endpoint-0")
    pool.end_load_query("endpoint-0", 1)
    assert len(pool.decide()) == 3
