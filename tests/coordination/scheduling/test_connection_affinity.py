"""Requests go to endpoints to which their router has an idle connection."""

from __future__ import annotations

import random
from statistics import mean

import pytest

from carawayfold.coordination.scheduling.backlog import Backlog
from carawayfold.coordination.scheduling.connection_affinity import (
    MAX_ATTRACTING_USE,
    MAX_HOLDERS,
    MAX_IDLE_PER_HOLDER,
    MAX_KEPT_DURATION,
    OPENING_DURATION,
    REMOTE_OPENING_DURATION,
    EndpointConnections,
)
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome, holder_of
from carawayfold.coordination.scheduling.placement import choose_endpoint, evaluate
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from tests.coordination.scheduling.connection_builders import PLAIN_KINDS, Replay
from tests.schedule_builders import WINDOW, endpoint, offer

SEEDS = (1, 2, 3)
CALL = "r.7.1"
OTHER_CALL = "q.7.1"


def scheduler(*endpoints, reuse=True):
    """Return a scheduler of some endpoints."""
    made = Scheduler(WINDOW, features=SchedulingFeatures(reuse_connections=reuse))
    made.set_endpoints(list(endpoints), PoolPlan(0.0, 1_000_000, 100_000.0))
    return made


def plain(call=CALL, **other):
    """Return an offer of a request without a prompt."""
    return offer(call, prompt=(), prompt_tokens=0, output_tokens=0, **other)


def grant(made, call, now=0.0, asked=plain):
    """Return the endpoint that is granted to a request."""
    made.offer(asked(call, now=now), now)
    [granted] = made.decide(now)
    assert isinstance(granted, Granted)
    return granted.endpoint


def replays(reuse, seconds=6.0, **options):
    """Return replays of the load with several seeds."""
    made = [Replay(reuse=reuse, seed=seed, **options) for seed in SEEDS]
    for item in made:
        item.run(seconds, counting_from=2.0)
    return made


def disturbed(disturb):
    """Return replays from four seconds after a disturbance on, if there is one."""
    made = [Replay(reuse=True, seed=seed) for seed in SEEDS]
    for item in made:
        item.run(4.0)
        if disturb is not None:
            disturb(item)
        item.run(12.0, counting_from=8.0)
    return made


def found(made):
    """Return the mean fraction of grants that found a connection."""
    return mean(item.found_ratio for item in made)


# The load


def test_more_requests_of_many_routers_find_a_connection():
    off, on = replays(reuse=False), replays(reuse=True)
    assert found(on) >= found(off) + 0.1


def test_more_requests_find_a_connection_where_they_are_rare():
    off, on = replays(reuse=False, rate=60.0), replays(reuse=True, rate=60.0)
    assert found(on) >= found(off) + 0.15


def test_connections_of_a_large_fleet_are_found_more_often():
    large = {"routers": 360, "rate": 342.0, "seed": 1}
    off, on = Replay(reuse=False, **large), Replay(reuse=True, **large)
    for item in (off, on):
        item.run(5.0, counting_from=3.0)
    assert on.found_ratio >= off.found_ratio + 0.05
    known = [len(load.connections.idle_until) for load in on.made.loads.values()]
    assert max(known) <= 360


@pytest.mark.parametrize(
    "options", [{}, {"rate": 300.0}, {"kinds": PLAIN_KINDS, "rate": 500.0}]
)
def test_endpoints_are_filled_as_evenly_as_without(options):
    off, on = replays(reuse=False, **options), replays(reuse=True, **options)
    spread = mean(item.spread for item in on)
    assert spread <= 1.25 * mean(item.spread for item in off)
    assert sum(item.rejected for item in on) <= sum(item.rejected for item in off)
    assert max(item.busiest for item in on) <= 16


# Stale and wrong knowledge


@pytest.mark.parametrize("delay", [0.2, 1.0, 5.0])
def test_late_reports_cost_no_more_connections_than_without(delay):
    off = replays(reuse=False, delay=delay)
    on = replays(reuse=True, delay=delay)
    assert found(on) >= found(off) - 0.03


@pytest.mark.parametrize("told", [2**63 - 1, 20_000, 1, 0, -(2**63)])
def test_routers_that_lie_harm_no_other(told):
    def report(router, kept):
        return told if router in {"r0", "r1", "r2", "r3", "r4", "r5"} else kept

    honest, lied = replays(reuse=True), replays(reuse=True, report=report)
    assert found(lied) >= found(honest) - 0.1
    spread = mean(item.spread for item in lied)
    assert spread <= 1.25 * mean(item.spread for item in honest)


def test_random_reports_of_all_routers_cost_no_more_than_none():
    def report(router, kept):
        return random.Random(router).choice((0, 20_000))

    assert found(replays(reuse=True, report=report)) >= (
        found(replays(reuse=False)) - 0.03
    )


def test_connections_are_found_though_endpoints_close_them_early():
    def report(router, kept):
        return 20_000

    off = replays(reuse=False, lifetime=0.8)
    on = replays(reuse=True, lifetime=0.8, report=report)
    assert found(on) >= found(off) + 0.05


def test_a_new_leader_learns_the_connections_within_seconds():
    assert found(disturbed(Replay.replace_leader)) >= found(disturbed(None)) - 0.05


def test_a_restart_of_routers_costs_their_connections_only():
    def restart(replay):
        for number in range(29):
            replay.restart(f"r{number}")

    assert found(disturbed(restart)) >= found(disturbed(None)) - 0.05


# Switched off


def test_reports_change_no_decision_if_it_is_off():
    def report(router, kept):
        return 20_000

    told, untold = Replay(reuse=False, report=report), Replay(reuse=False)
    for item in (told, untold):
        item.run(3.0)
        assert all(load.connections is None for load in item.made.loads.values())
    assert told.choices == untold.choices


# The choice of an endpoint


def test_among_equal_endpoints_the_connected_one_is_chosen():
    made = scheduler(endpoint("e-0"), endpoint("e-1"))
    made.loads["e-1"].connections.keep(CALL, 4000, 0.0)
    assert grant(made, CALL) == "e-1"


def test_a_grant_takes_the_connection_and_the_end_returns_it():
    made = scheduler(endpoint("e-0"), endpoint("e-1"))
    connections = made.loads["e-1"].connections
    connections.keep(CALL, 4000, 0.0)
    assert grant(made, CALL) == "e-1"
    assert not connections.has_connection(holder_of(CALL), 0.0)
    made.ended(CALL, Outcome.COMPLETE, 0.1, 2000)
    assert connections.has_connection(holder_of(CALL), 2.0)
    assert not connections.has_connection(holder_of(CALL), 2.2)


@pytest.mark.parametrize(
    "outcome", [Outcome.FAILED, Outcome.SILENT, Outcome.UNREACHABLE]
)
def test_no_connection_counts_after_a_failure(outcome):
    made = scheduler(endpoint("e-0"))
    connections = made.loads["e-0"].connections
    for number in range(3):
        connections.keep(f"r.7.{number}", 4000, 0.0)
    grant(made, CALL)
    made.ended(CALL, outcome, 0.1)
    assert not connections.has_connection(holder_of(CALL), 0.1)


def test_the_connections_of_other_routers_and_processes_do_not_count():
    connections = EndpointConnections()
    connections.keep("r.7.1", 4000, 0.0)
    assert connections.has_connection(holder_of("r.7.2"), 0.0)
    assert not connections.has_connection(holder_of("r.8.1"), 0.0)
    assert not connections.has_connection(holder_of("q.7.1"), 0.0)


def test_a_restarted_endpoint_has_no_connections():
    made = scheduler(endpoint("e-0", incarnation=1))
    made.loads["e-0~1"].connections.keep(CALL, 4000, 0.0)
    made.set_endpoints([endpoint("e-0", incarnation=2)], made.plan)
    assert not made.loads["e-0~2"].connections.has_connection(holder_of(CALL), 0.0)


def test_an_endpoint_that_remains_keeps_its_connections():
    made = scheduler(endpoint("e-0"))
    made.loads["e-0"].connections.keep(CALL, 4000, 0.0)
    made.set_endpoints([endpoint("e-0"), endpoint("e-1")], made.plan)
    assert made.loads["e-0"].connections.has_connection(holder_of(CALL), 0.0)


def test_a_request_goes_to_its_cached_prefix_without_a_connection():
    made = scheduler(endpoint("e-0"), endpoint("e-1"))
    asked = offer(CALL)
    made.loads["e-0"].prefixes.read(asked.prompt)
    made.loads["e-1"].connections.keep(CALL, 4000, 0.0)
    assert grant(made, CALL, asked=offer) == "e-0"


@pytest.mark.parametrize("running", [2, 3, 4])
def test_a_connected_endpoint_that_fills_up_does_not_attract(running):
    made = scheduler(endpoint("e-0"), endpoint("e-1"))
    load = made.loads["e-0"]
    load.connections.keep(CALL, 4000, 0.0)
    backlogs = [Backlog.of(item, 0.0) for item in made.loads.values()]
    for _ in range(running):
        backlogs[0].add(0, 0)
    assert choose_endpoint(plain(), backlogs, None, 1.0, 0.0).backlog.id == "e-1"


def test_a_request_does_not_wait_for_a_connected_endpoint():
    made = scheduler(endpoint("e-0"), endpoint("e-1"))
    made.loads["e-0"].connections.keep(CALL, 4000, 0.0)
    backlogs = [Backlog.of(item, 0.0) for item in made.loads.values()]
    backlogs[0].available_in = 0.001
    chosen = choose_endpoint(plain(), backlogs, None, 1.0, 0.0)
    assert (chosen.backlog.id, chosen.starts_in) == ("e-1", 0.0)


@pytest.mark.parametrize(
    ("data_centre", "saved"),
    [("north", OPENING_DURATION), ("south", REMOTE_OPENING_DURATION)],
)
def test_a_connection_saves_the_time_of_opening_one(data_centre, saved):
    made = scheduler(endpoint("e-0", data_centre=data_centre))
    [load] = made.loads.values()
    without = evaluate(plain(), Backlog.of(load, 0.0), None, 1.0, 0.0)
    load.connections.keep(CALL, 4000, 0.0)
    with_one = evaluate(plain(), Backlog.of(load, 0.0), None, 1.0, 0.0)
    assert without.cost - with_one.cost == pytest.approx(saved)
    assert without.first_token_in == with_one.first_token_in


def test_without_known_connections_the_order_of_endpoints_is_the_same():
    for used in (0.0, 0.3, MAX_ATTRACTING_USE, 1.0, 1.5):
        cost = EndpointConnections().opening_cost(plain(), "north", used, 0.0)
        assert cost == OPENING_DURATION


def test_connections_count_less_as_an_endpoint_fills():
    connections = EndpointConnections()
    connections.keep(CALL, 4000, 0.0)
    costs = [
        connections.opening_cost(plain(), "north", used, 0.0) / OPENING_DURATION
        for used in (0.0, 0.25, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 2.0)
    ]
    assert costs == pytest.approx([0, 0, 0, 0.25, 0.5, 0.75, 1, 1, 1])


# Bounds


def test_the_number_of_known_connections_is_bounded():
    connections = EndpointConnections()
    for number in range(MAX_HOLDERS + 100):
        for call in range(MAX_IDLE_PER_HOLDER + 5):
            connections.keep(f"r{number}.7.{call}", 4000, 0.0)
    assert len(connections.idle_until) == MAX_HOLDERS
    assert {len(times) for times in connections.idle_until.values()} == {
        MAX_IDLE_PER_HOLDER
    }
    assert not connections.has_connection(holder_of("r0.7.0"), 0.0)


def test_known_connections_expire():
    connections = EndpointConnections()
    connections.keep("r.7.1", 2**63 - 1, 0.0)
    connections.keep("q.7.1", 1000, 0.0)
    connections.expire(1.5)
    assert connections.has_connection(holder_of("r.7.1"), 1.5)
    assert not connections.has_connection(holder_of("q.7.1"), 1.5)
    connections.expire(MAX_KEPT_DURATION)
    assert not connections.idle_until


def test_a_connection_is_taken_once():
    connections = EndpointConnections()
    connections.keep(CALL, 4000, 0.0)
    connections.keep(CALL, 1000, 0.0)
    assert [connections.take(CALL, 0.5) for _ in range(3)] == [True, True, False]
    assert not connections.idle_until
    assert not connections.take(OTHER_CALL, 0.5)
