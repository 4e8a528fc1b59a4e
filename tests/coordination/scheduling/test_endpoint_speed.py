"""Use of the load that endpoints state, under replayed loads and alone."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import logbook
import pytest
from msgspec import structs

from carawayfold.coordination.scheduling.backlog import Backlog
from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.endpoint_speed import (
    MAX_FACTOR,
    MAX_OTHERS_FACTOR,
    EndpointSpeed,
    StatedLoad,
    load_report,
)
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Outcome
from carawayfold.coordination.scheduling.pending import PlacedRequest
from carawayfold.coordination.scheduling.pool_balance import measure_load
from carawayfold.coordination.scheduling.slow_endpoints import (
    MAX_NAMED_ENDPOINTS,
    SlowEndpoints,
)
from carawayfold.protocol.datagrams import (
    AttemptEndedMessage,
    Datagram,
    FirstByteMessage,
    LoadReport,
    decode,
    encode,
)
from carawayfold.protocol.exchanges import Load, Part
from carawayfold.state.endpoints import EndpointTable
from tests.coordination.scheduling.offer_builders import (
    CALL,
    POOL,
    RecordingFleet,
    coordinator,
    request,
    routes,
)
from tests.load_builders import WORK, Replay, plain_scheduler, stated
from tests.schedule_builders import PoolPlan, endpoint, offer, scheduler

#: Factor by which neighbours slow down an endpoint.
SLOW = 2.5
#: The whole of the requests, divided by the endpoints of a replay.
EVEN = 1 / 3


def usual(name, at):
    return 1.0


def states_nothing(name, at):
    return None


def slow_second(name, at):
    """One endpoint is slow from second 1 to 2."""
    return SLOW if name == "e-0" and 1 <= at < 2 else 1.0


def all_slow(name, at):
    return SLOW if 1 <= at < 2 else 1.0


# Replayed loads


@pytest.mark.parametrize("rate", [150.0, 250.0])
def test_requests_leave_an_endpoint_only_while_it_is_slow(rate):
    played = Replay(slow_second, slow_second, rate).run(4)
    assert played.share("e-0", 1.1, 2.0) < EVEN / 2
    assert played.share("e-0", 2.4, 4.0) > EVEN / 2
    assert (played.late, played.rejected) == (0, 0)


def test_without_figures_an_endpoint_that_was_slow_stays_left_out():
    """Shows what the figures change: the part above fails without them."""
    played = Replay(slow_second, states_nothing).run(4)
    assert played.share("e-0", 2.4, 4.0) == 0.0


def test_all_requests_are_served_while_all_endpoints_are_slow():
    played = Replay(all_slow, all_slow, rate=150.0).run(4)
    for name in ("e-0", "e-1", "e-2"):
        assert played.share(name, 1.1, 2.0) > EVEN / 2
    assert (played.late, played.rejected) == (0, 0)


@pytest.mark.parametrize("rate", [200.0, 300.0])
def test_as_many_are_in_time_as_without_figures_if_all_are_slow_and_full(rate):
    """Slow endpoints serve 160 requests a second."""
    played = Replay(all_slow, all_slow, rate).run(4)
    without = Replay(all_slow, states_nothing, rate).run(4)
    assert played.late + played.rejected <= without.late + without.rejected


@pytest.mark.parametrize("said", [1.0, 0.2])
def test_an_endpoint_that_denies_that_it_is_slow_is_left_by_its_answers(said):
    def claims(name, at):
        return said if name == "e-0" else 1.0

    def takes(name, at):
        return 3.0 if name == "e-0" else 1.0

    played = Replay(takes, claims).run(3)
    silent = Replay(takes, states_nothing).run(3)
    assert played.share("e-0", 0.5, 3.0) <= silent.share("e-0", 0.5, 3.0) + 0.05


@pytest.mark.parametrize("said", [SLOW, 50.0])
def test_an_endpoint_that_claims_to_be_slow_is_used_after_its_usual_answers(said):
    def claims(name, at):
        return said if name == "e-0" else 1.0

    played = Replay(usual, claims).run(4)
    assert played.share("e-0", 2.0, 4.0) > EVEN / 2
    assert played.scheduler.loads["e-0"].stated_speed.trust < 0.05
    assert played.scheduler.loads["e-0"].residence == pytest.approx(WORK, rel=0.05)


def test_a_true_figure_is_trusted():
    played = Replay(slow_second, slow_second).run(4)
    assert played.scheduler.loads["e-0"].stated_speed.trust > 0.5


def test_without_the_setting_choices_are_as_before():
    """Routers report figures only if the setting is on; none must change nothing."""
    plain = Replay(slow_second, states_nothing, scheduler=plain_scheduler(on=False))
    on = Replay(slow_second, states_nothing, scheduler=plain_scheduler(on=True))
    assert plain.run(3).placed == on.run(3).placed


def test_what_an_engine_shows_while_it_is_slow_does_not_change_its_model():
    models = []
    for factor, told in ((1.0, True), (SLOW, True), (SLOW, False)):
        pool = scheduler(speed=80_000.0)
        load = pool.loads["e-0"]
        load.stated_speed.trust = 1.0
        for number in range(20):
            call = f"r.0.{number}"
            load.add(ActiveRequest(call, "r", 4000, 4000, 0.0, 0.0))
            waited = load.first_tokens.predict(4000)
            if factor != 1.0:
                waited = factor * 0.13
            load.begin(call, waited, stated(factor, 1.0) if told else None)
            load.remove(call)
        models.append(load.first_tokens.predict(4000))
    assert models[1] == pytest.approx(models[0], rel=0.1)
    assert models[2] > 1.5 * models[0]


def test_a_prompt_goes_to_the_engine_that_is_not_slow():
    pool = scheduler(endpoints=2)
    for name, factor in (("e-0", SLOW), ("e-1", 1.0)):
        pool.loads[name].stated_speed.record(stated(factor, 10.0), 0, 4)
    pool.offer(offer(now=10.0), 10.0)
    (granted,) = pool.decide(10.0)
    assert granted.endpoint == "e-1"


def test_a_prompt_is_sent_to_a_slow_engine_that_has_cached_its_prefix():
    """To read a long prefix again takes longer than the slowness."""
    pool = scheduler(endpoints=2)
    pool.loads["e-0"].prefixes.read([Part("topic", 5000)])
    pool.loads["e-0"].stated_speed.record(stated(SLOW, 10.0), 0, 4)
    pool.offer(offer(tokens=5000, own=500, now=10.0), 10.0)
    (granted,) = pool.decide(10.0)
    assert granted.endpoint == "e-0"


# Age of figures


@pytest.mark.parametrize(
    ("age", "least", "most"), [(0.0, 2.5, 2.5), (0.2, 1.7, 1.9), (1.0, 1.0, 1.15)]
)
def test_a_factor_decays(age, least, most):
    speed = EndpointSpeed(trust=1.0)
    speed.record(stated(SLOW, 10.0), 0, 6)
    assert least - 1e-9 <= speed.factor(10.0 + age) <= most


@pytest.mark.parametrize("age", [2.0, 5.0])
def test_an_old_factor_is_the_usual_one(age):
    speed = EndpointSpeed(trust=1.0)
    speed.record(stated(SLOW, 10.0, running=6, waiting=9), 0, 6)
    assert speed.factor(10.0 + age) == 1.0
    assert speed.other_requests(10.0 + age) == 0


@pytest.mark.parametrize("age", [200, 1000, 5000])
def test_reported_figures_keep_their_age(age):
    report = load_report(stated(SLOW, 10.0), 10.0 + age / 1000)
    received = StatedLoad.from_report(report, 50.0)
    assert received == stated(SLOW, 50.0 - age / 1000)


def test_the_newest_figures_win():
    speed = EndpointSpeed(trust=1.0)
    speed.record(stated(1.0, 10.0), 0, 6)
    speed.record(stated(SLOW, 9.9), 0, 6)
    assert speed.factor(10.0) == 1.0


@pytest.mark.parametrize("factor", [0.01, 0.2, 1.0])
def test_no_endpoint_attracts_requests_by_its_figures(factor):
    speed = EndpointSpeed(trust=1.0)
    speed.record(stated(factor, 10.0), 0, 6)
    assert speed.factor(10.0) == 1.0
    assert speed.usual_duration(0.1, 0.05, stated(factor, 10.0)) == 0.1


def test_figures_are_bounded():
    speed = EndpointSpeed(trust=1.0, count_trust=1.0)
    speed.record(stated(1000.0, 10.0, running=10**12, waiting=10**12), 0, 6)
    assert speed.factor(10.0) == MAX_FACTOR
    assert speed.other_requests(10.0) == MAX_OTHERS_FACTOR * 6


def test_a_peer_cannot_report_impossible_figures():
    received = StatedLoad.from_report(LoadReport(-1, -2, -3, -4, -5), 10.0)
    assert received == StatedLoad(0, 0, 0, 0.01, 10.0)


# Requests of others


@pytest.mark.parametrize(
    ("running", "waiting", "known", "others"),
    [(6, 2, 2, 6), (6, 2, 8, 0), (6, 0, 2, 0), (6, 1, 9, 0)],
)
def test_waiting_requests_of_others_count_as_running(running, waiting, known, others):
    speed = EndpointSpeed(count_trust=1.0)
    speed.record(stated(1.0, 10.0, running, waiting), known, 6)
    assert speed.other_requests(10.0) == others


def test_an_endpoint_full_of_the_requests_of_others_gets_none_for_a_moment():
    pool = plain_scheduler(2)
    load = pool.loads["e-0"]
    load.add(ActiveRequest("r.0.1", "r", 0, 0, 10.0, 10.0))
    pool.placements["r.0.1"] = "e-0"
    pool.ended("r.0.1", Outcome.NOT_RUN, 10.0, stated=stated(1.0, 10.0, 6, 6))
    assert Backlog.of(load, 10.0).running > load.endpoint.slots
    assert Backlog.of(load, 12.0).running == 0


@pytest.mark.parametrize(
    ("registered", "said", "used"),
    [(10**6, 6, 6), (48, 6, 6), (6, 6, 6), (6, 10**6, 6), (6, 0, 6), (1, 0, 1)],
)
def test_an_endpoint_gets_no_more_than_it_states_to_process_at_once(
    registered, said, used
):
    """An entry of another writer may register more."""
    pool = plain_scheduler(endpoints=1, slots=registered)
    (load,) = pool.loads.values()
    load.stated_speed.record(stated(1.0, 10.0, slots=said), 0, registered)
    backlog = Backlog.of(load, 60.0)
    assert (load.slots, backlog.slots) == (used, used)


def test_stated_slots_are_used_in_the_load_of_a_pool():
    pool = plain_scheduler(endpoints=1, slots=100)
    (load,) = pool.loads.values()
    for number in range(6):
        load.add(ActiveRequest(f"r.0.{number}", "r", 0, 0, 10.0, 10.0))
    assert measure_load(pool, 10.0).used < 1
    load.stated_speed.record(stated(1.0, 10.0, slots=6), 0, 100)
    assert measure_load(pool, 10.0).used == 1
    assert load.excess_age(11.0, 0.5) == pytest.approx(0.5)


@pytest.mark.parametrize("rate", [100.0, 250.0, 350.0, 600.0])
def test_equal_endpoints_that_state_the_usual_get_the_same_as_without_figures(rate):
    """Nothing is to be gained by the figures, and nothing must be lost by them."""
    silent = Replay(usual, states_nothing, rate).run(3)
    played = Replay(usual, usual, rate).run(3)
    assert played.placed == silent.placed
    assert played.rejections == silent.rejections
    assert played.late == silent.late


@pytest.mark.parametrize(("age", "waiting"), [(0.0, 9), (0.04, 9), (0.3, 0)])
def test_waiting_requests_in_a_head_are_ignored_once_others_may_have_ended(
    age, waiting
):
    """The head of a stream may be much older than its first event."""
    placed = PlacedRequest(POOL, None, "e-0", (), stated=stated(SLOW, 10.0, 6, 9))
    taken = placed.take_stated(10.0 + age)
    assert (taken.waiting, taken.factor) == (waiting, SLOW)
    assert placed.take_stated(10.0 + age) is None


@pytest.mark.parametrize("rate", [50.0, 150.0])
def test_waiting_requests_that_delay_no_answer_are_not_believed(rate):
    """Otherwise a pool rejects most requests if all its endpoints state them."""

    def claims(name, at):
        return 1.0

    played = Replay(usual, claims, rate, waiting=10**6).run(6)
    assert played.rejected < 0.1 * rate * 6
    assert played.rejected_after(3.0) == 0


def test_waiting_requests_that_delay_answers_are_believed():
    speed = EndpointSpeed()
    for _ in range(5):
        speed.record(stated(1.0, 10.0, running=6, waiting=6), 0, 6)
        speed.compare_counts(3 * WORK, WORK, stated(1.0, 10.0, 6, 6), 6)
    assert speed.count_trust > 0.9


# Full endpoints


def test_slowness_that_is_stated_is_not_counted_again_by_the_age_of_requests():
    pool = scheduler()
    load = pool.loads["e-0"]
    for number in range(4):
        since = 10.0 - SLOW * load.residence
        load.add(ActiveRequest(f"r.0.{number}", "r", 0, 0, since, 10.0))
    load.stated_speed.trust = 1.0
    load.stated_speed.record(stated(SLOW, 10.0), 4, 4)
    assert Backlog.of(load, 10.0).excess_age == pytest.approx(0.0)


@pytest.mark.parametrize("active", [3, 4])
def test_the_age_of_requests_counts_only_while_no_slot_is_free(active):
    pool = scheduler()
    load = pool.loads["e-0"]
    for number in range(active):
        load.add(ActiveRequest(f"r.0.{number}", "r", 0, 0, 7.0 + number, 10.0))
    median_age = 10.0 - 8.0
    expected = median_age - load.residence if active == 4 else 0.0
    assert load.excess_age(10.0, load.residence) == pytest.approx(expected)


def test_the_age_of_requests_rejects_none_while_all_engines_are_full():
    """They wait for the turn of their organisation, as before."""
    pool = scheduler()
    for number in range(4):
        active = ActiveRequest(f"r.0.{number}", "r", 0, 0, 0.0, 10.0, begun=True)
        pool.loads["e-0"].add(active)
    pool.offer(offer("r.0.9", now=10.0), 10.0)
    assert pool.decide(10.0) == []
    assert "r.0.9" in pool.waiting


# Messages


def leader():
    """Return a coordinator that leads the pool and has one request in flight."""
    made = coordinator(RecordingFleet("own"))
    load = made.pools[POOL].scheduler.loads["e-0"]
    load.add(ActiveRequest("r.0.1", "r", 0, 0, made.loop.time(), made.loop.time()))
    made.pools[POOL].scheduler.placements["r.0.1"] = "e-0"
    return made, load


REPORT = LoadReport(1, 0, 4, 250, 0)


@pytest.mark.parametrize("on", [True, False])
@pytest.mark.parametrize(
    "message",
    [
        FirstByteMessage(POOL, "r.0.1", 50, REPORT),
        AttemptEndedMessage(POOL, "r.0.1", "not run", load=REPORT),
    ],
)
def test_a_leader_uses_reported_figures_if_the_setting_is_on(on, message):
    async def scenario():
        made, load = leader()
        made.features = SchedulingFeatures(endpoint_load=on)
        made.take(decode(encode(Datagram("r", 1, [message]))))
        return load.stated_speed.factor(made.loop.time())

    assert (asyncio.run(scenario()) > 1.5) is on


@pytest.mark.parametrize("on", [True, False])
@pytest.mark.parametrize("begins", [True, False])
def test_a_router_reports_the_figures_of_a_head_once(on, begins):
    async def scenario():
        fleet = RecordingFleet("b")
        made = coordinator(fleet)
        made.features = SchedulingFeatures(endpoint_load=on)
        placing = asyncio.create_task(made.place(request(), POOL))
        await asyncio.sleep(0)
        fleet.grant(made, CALL, "b")
        await placing
        made.record_load(CALL, Load(3, 1, 4, 250))
        if begins:
            made.begun(CALL, 0.05)
        made.ended(CALL, Outcome.COMPLETE)
        return [
            message.load
            for _, message in fleet.sent
            if isinstance(message, FirstByteMessage | AttemptEndedMessage)
        ]

    reports = [item for item in asyncio.run(scenario()) if item is not None]
    assert [structs.replace(item, age=0) for item in reports] == (
        [LoadReport(3, 1, 4, 250)] if on else []
    )


def test_a_restarted_endpoint_starts_without_figures():
    async def scenario():
        made, load = leader()
        load.stated_speed.record(stated(SLOW, made.loop.time()), 0, 4)
        pool = made.pools[POOL].scheduler
        pool.set_endpoints([endpoint("e-0", incarnation=7)], PoolPlan())
        (restarted,) = pool.loads.values()
        return restarted.stated_speed, pool._load_of("r.0.1")

    speed, old = asyncio.run(scenario())
    assert (speed.stated_factor, speed.trust) == (1.0, EndpointSpeed().trust)
    assert old is None


def test_requests_at_an_endpoint_whose_entry_turns_bad_go_on():
    """Its entry names no endpoint to use, and new requests aren't granted it."""

    async def scenario():
        fleet = RecordingFleet("own")
        made = coordinator(fleet)
        granted = await made.place(request(), POOL)
        made.refresh(EndpointTable(), routes())
        superseded = made.is_superseded(endpoint("e-0"))
        made.begun(granted.call, 0.05)
        made.ended(granted.call, Outcome.COMPLETE)
        rejected = await made.place(replace(request(), call="own.1.2"), POOL)
        return granted.endpoint, superseded, rejected.call

    assert asyncio.run(scenario()) == ("e-0", False, "own.1.2")


# Logs


def test_changes_of_slow_endpoints_are_logged_at_most_once_a_second():
    pool = plain_scheduler(20)
    seen = SlowEndpoints()
    with logbook.TestHandler() as lines:
        for tick in range(40):
            now = 10.0 + tick * 0.25
            for load in pool.loads.values():
                factor = SLOW if tick % 2 else 1.0
                load.stated_speed.record(stated(factor, now), 0, 6)
            seen.update([pool], now)
    assert 0 < len(lines.records) <= 10
    named = [item.extra["became_slow"] for item in lines.records]
    assert all(len(item) <= MAX_NAMED_ENDPOINTS for item in named)


def test_an_endpoint_counts_as_slow_until_its_figures_are_old():
    pool = plain_scheduler(2)
    seen = SlowEndpoints()
    pool.loads["e-1"].stated_speed.record(stated(SLOW, 10.0), 0, 6)
    seen.update([pool], 10.0)
    assert seen.slow == {"e-1"}
    seen.update([pool], 12.0)
    assert seen.slow == set()
