"""Decisions on the pools to which requests are offered."""

from __future__ import annotations

from collections import Counter

import pytest

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.offers import PoolLoad
from carawayfold.coordination.scheduling.pool_assignment import (
    choose_fallback_pool,
    choose_pool,
    order_pools,
)
from carawayfold.coordination.scheduling.pool_balance import (
    CONTRADICTION_DURATION,
    LOAD_DURATION,
    MAX_CONTRADICTIONS,
    MAX_MOVED_FRACTION,
    NO_ENDPOINT_WAIT,
    PROBE_FRACTION,
    PoolBalance,
    measure_load,
)
from tests.schedule_builders import offer, scheduler

WEIGHTS = {"model/0": 30, "model/1": 30, "model/2": 30}
PREFIX = "topic"
OWN, NEXT, LAST = order_pools(WEIGHTS, PREFIX)
NOW = 100.0
IDLE, FULL = PoolLoad(0.0, 0.3), PoolLoad(0.5, 1.0)


def balance(**loads):
    """Return the balance of a router that knows the loads of `own`, `next`, `last`."""
    made = PoolBalance()
    names = {"own": OWN, "next": NEXT, "last": LAST}
    for name, load in loads.items():
        made.record(names[name], load, NOW)
    return made


def request(number, **other):
    return offer(f"r.1.{number}", PREFIX, now=NOW, due=NOW + 0.4, **other)


def first_pools(made, now=NOW, count=1000, weights=WEIGHTS):
    """Count the pools to which requests with the prefix are offered first."""
    return Counter(
        made.choose_first(weights, OWN, PREFIX, request(number), now)
        for number in range(count)
    )


def test_the_order_of_a_prefix_begins_with_its_pool_by_hash():
    for number in range(100):
        order = order_pools(WEIGHTS, f"p-{number}")
        assert order[0] == choose_pool(WEIGHTS, f"p-{number}")
        assert sorted(order) == sorted(WEIGHTS)


@pytest.mark.parametrize(
    "loads",
    [
        {},
        {"next": IDLE, "last": IDLE},
        {"own": IDLE, "next": PoolLoad(0.0, 0.0)},
        {"own": PoolLoad(0.0, 0.8), "next": IDLE, "last": IDLE},
        {"own": PoolLoad(0.05, 0.84), "next": IDLE, "last": IDLE},
        {"own": PoolLoad(0.0, 0.96), "next": IDLE, "last": IDLE},
        {"own": PoolLoad(0.0, 0.95), "next": PoolLoad(0.0, 0.94)},
    ],
)
def test_requests_stay_in_their_pool_below_its_bound_or_if_it_is_unknown(loads):
    assert first_pools(balance(**loads)) == {OWN: 1000}


def test_requests_stay_in_their_pool_if_all_are_full():
    assert first_pools(balance(own=FULL, next=FULL, last=FULL)) == {OWN: 1000}


def test_a_part_of_the_requests_leaves_an_overfull_pool_for_the_next_with_room():
    chosen = first_pools(balance(own=FULL, next=IDLE, last=IDLE))
    assert set(chosen) == {OWN, NEXT}
    assert 0.3 < chosen[NEXT] / 1000 <= MAX_MOVED_FRACTION + 0.05
    assert set(first_pools(balance(own=FULL, next=FULL, last=IDLE))) == {OWN, LAST}


def test_more_requests_leave_for_a_greater_difference():
    few = first_pools(balance(own=PoolLoad(0, 1), next=PoolLoad(0, 0.8), last=IDLE))
    many = first_pools(balance(own=PoolLoad(0, 1), next=PoolLoad(0, 0.1), last=IDLE))
    assert 50 < few[NEXT] < 150
    assert 400 < many[NEXT] < 500


def test_few_requests_leave_for_a_pool_of_unknown_load():
    chosen = first_pools(balance(own=FULL))
    assert set(chosen) == {OWN, NEXT}
    assert chosen[NEXT] / 1000 == pytest.approx(PROBE_FRACTION, abs=0.03)


def test_a_short_objective_lets_requests_leave_for_a_wait_that_others_accept():
    made = balance(own=PoolLoad(0.2, 0.5), next=IDLE, last=IDLE)
    patient = [offer(f"r.1.{number}", now=NOW, due=NOW + 5) for number in range(200)]
    pools = {made.choose_first(WEIGHTS, OWN, PREFIX, item, NOW) for item in patient}
    assert pools == {OWN}
    assert first_pools(made)[NEXT] > 0


def test_only_pools_that_a_request_may_use_are_chosen():
    made = balance(own=FULL, next=IDLE, last=IDLE)
    weights = {pool: slots for pool, slots in WEIGHTS.items() if pool != NEXT}
    assert set(first_pools(made, weights=weights)) == {OWN, LAST}
    assert made.find_room({OWN: 30}, [OWN], request(1), NOW) is None
    assert made.choose_further({OWN: 30}, [OWN], request(1), NOW) is None


@pytest.mark.parametrize(("age", "moves"), [(0.2, True), (1.0, True), (5.0, False)])
def test_loads_are_unknown_after_a_second(age, moves):
    made = balance(own=FULL, next=IDLE, last=IDLE)
    assert (NEXT in first_pools(made, NOW + age)) is moves
    made.expire(NOW + age)
    assert bool(made.loads) is moves


def test_a_router_counts_its_own_offers_since_a_load():
    made = balance(own=FULL, next=IDLE, last=IDLE)
    for _ in range(WEIGHTS[NEXT]):
        made.record_offer(NEXT)
    assert set(first_pools(made)) == {OWN, LAST}
    made.record(NEXT, IDLE, NOW)
    assert set(first_pools(made)) == {OWN, NEXT}


def test_a_pool_that_contradicts_itself_is_not_used_for_the_organisation():
    made = balance(own=FULL, next=IDLE, last=FULL)
    made.contradict(NEXT, request(1), NOW)
    assert made.find_room(WEIGHTS, [OWN], request(1), NOW) is None
    assert made.find_room(WEIGHTS, [OWN], request(1, organisation="birch"), NOW) == NEXT
    made.record(NEXT, IDLE, NOW + 0.9)
    assert made.find_room(WEIGHTS, [OWN], request(1), NOW + 0.9) is None
    later = NOW + CONTRADICTION_DURATION
    made.record(NEXT, IDLE, later)
    assert made.find_room(WEIGHTS, [OWN], request(1), later) == NEXT


def test_a_pool_that_states_a_wait_within_the_room_of_a_request_contradicts_itself():
    made = balance(own=FULL, next=PoolLoad(0.03, 0.3), last=FULL)
    assert made.find_room(WEIGHTS, [OWN], request(1), NOW) == NEXT
    made.contradict(NEXT, request(1), NOW)
    assert made.find_room(WEIGHTS, [OWN], request(2), NOW) is None


def test_no_request_leaves_first_for_a_pool_that_contradicted_itself():
    made = balance(own=FULL, next=IDLE, last=FULL)
    made.contradict(NEXT, request(1), NOW)
    assert first_pools(made) == {OWN: 1000}


def test_requests_leave_a_pool_that_states_no_room_after_it_contradicted_itself():
    made = balance(own=IDLE, next=IDLE, last=IDLE)
    made.contradict(OWN, request(1), NOW)
    assert made.contradictions
    made.record(OWN, FULL, NOW + 0.1)
    assert first_pools(made, NOW + 0.1)[NEXT] > 300


def test_a_full_pool_that_rejects_does_not_contradict_itself():
    made = balance(own=FULL)
    made.contradict(OWN, request(1), NOW)
    made.contradict(NEXT, request(1), NOW)
    assert not made.contradictions


def test_contradictions_are_bounded_and_expire():
    made = balance(next=IDLE)
    for number in range(MAX_CONTRADICTIONS + 10):
        made.contradict(NEXT, request(1, organisation=f"org-{number}"), NOW)
    assert len(made.contradictions) == MAX_CONTRADICTIONS
    made.expire(NOW + CONTRADICTION_DURATION)
    assert not made.contradictions


def test_the_further_pool_is_one_with_room():
    made = balance(own=FULL, next=FULL, last=IDLE)
    chosen = {
        made.choose_further(WEIGHTS, [OWN], request(number), NOW)
        for number in range(100)
    }
    assert chosen == {LAST}


def test_further_pools_are_drawn_in_proportion_to_their_free_slots():
    loads = {"own": FULL, "next": PoolLoad(0.0, 0.8), "last": PoolLoad(0.0, 0.2)}
    made = balance(**loads)
    chosen = Counter(
        made.choose_further(WEIGHTS, [OWN], request(number), NOW)
        for number in range(1000)
    )
    assert chosen[NEXT] / 1000 == pytest.approx(0.2, abs=0.05)
    assert chosen[LAST] == 1000 - chosen[NEXT]


@pytest.mark.parametrize(
    "loads", [{}, {"own": FULL}, {"own": FULL, "next": FULL, "last": FULL}]
)
def test_without_known_room_the_further_pool_is_drawn_by_hash(loads):
    """Each leader sees the whole demand of the organisations, as without balance."""
    made = balance(**loads)
    for number in range(200):
        asked = request(number)
        assert made.choose_further(WEIGHTS, [OWN], asked, NOW) == choose_fallback_pool(
            WEIGHTS, [OWN], asked.call
        )


def fill(made, count, now=NOW):
    """Let each endpoint of a scheduler run `count` requests."""
    for name in made.loads:
        for number in range(count):
            call = f"b.0.{name}-{number}"
            active = ActiveRequest(call, "b", 0, 1, now, now, begun=True)
            made.record_active(name, active)


def test_the_load_of_an_idle_pool_is_zero():
    assert measure_load(scheduler(endpoints=3), NOW) == PoolLoad(0.0, 0.0)


def test_the_load_of_a_full_pool_grows_with_its_queue():
    made = scheduler(endpoints=2, slots=2)
    fill(made, 2)
    alone = measure_load(made, NOW)
    made.offer(request(1), NOW)
    made.offer(request(2), NOW)
    assert alone.used == 1.0
    assert 0 < alone.wait < measure_load(made, NOW).wait


def test_the_wait_of_a_full_pool_is_no_less_than_that_of_the_next_request():
    made = scheduler(endpoints=2, slots=2)
    fill(made, 2)
    made.offer(request(1), NOW)
    assert measure_load(made, NOW + 0.3).wait == pytest.approx(0.3)


def test_a_request_that_waits_beside_room_does_not_count_as_the_wait_of_the_pool():
    made = scheduler(endpoints=2, slots=2)
    made.offer(request(1, allowed=frozenset({"south"})), NOW)
    assert measure_load(made, NOW + 0.3).wait == 0.0


def test_engines_with_much_prefill_left_have_a_wait():
    made = scheduler(endpoints=1, slots=4, speed=10_000.0)
    made.record_active("e-0", ActiveRequest("b.0.1", "b", 5000, 1, NOW, NOW))
    assert measure_load(made, NOW) == PoolLoad(pytest.approx(0.4), 0.25)


def test_suspended_endpoints_do_not_count():
    made = scheduler(endpoints=2, slots=2)
    made.suspend("e-0", NOW)
    assert measure_load(made, NOW) == PoolLoad(0.0, 0.0)
    made.suspend("e-1", NOW)
    assert measure_load(made, NOW) == PoolLoad(NO_ENDPOINT_WAIT, 1.0)
    assert measure_load(made, NOW + 60).wait == 0.0


def test_loads_last_as_long_as_they_are_documented_to():
    made = balance(own=FULL, next=IDLE)
    assert set(made.known(WEIGHTS, request(1), NOW + LOAD_DURATION)) == {OWN, NEXT}
    assert not made.known(WEIGHTS, request(1), NOW + LOAD_DURATION + 0.01)
