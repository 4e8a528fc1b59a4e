"""The checks of the soak test find violations, and nothing else."""

from __future__ import annotations

import pytest

from benchmarks.hosted import StreamEvent
from benchmarks.soak import promises
from benchmarks.soak.promises import Arrival, CallerRecord, CrashRecord, Disturbances


def told(request="q-1", status=200, whole=True, **other):
    fields = {
        "service": "desk",
        "router": "router-0",
        "once": True,
        "sent_at": 10.0,
        "ended_at": 10.1,
    }
    return CallerRecord(request, status=status, whole=whole, **{**fields, **other})


def arrival(request="q-1", at=10.0, ran=True, ended_at=10.1, endpoint="desk-1"):
    return Arrival(request, "desk", endpoint, at, ran, ended_at)


def test_two_runs_of_what_may_run_once_are_found():
    runs = [arrival(), arrival(endpoint="desk-2")]
    assert promises.find_double_runs([told()], runs) == ["q-1 ran 2 times"]
    assert promises.find_double_runs([told(once=False)], runs) == []
    assert promises.find_double_runs([told()], [arrival(), arrival(ran=False)]) == []


def test_a_refusal_of_what_ran_is_found():
    assert promises.find_false_refusals([told(status=503)], [arrival()])
    assert not promises.find_false_refusals([told(status=503)], [])
    assert not promises.find_false_refusals([told(status=502)], [arrival()])
    assert not promises.find_false_refusals([told(status=503)], [arrival(ran=False)])


def test_answers_that_nobody_gave_are_found():
    assert promises.find_wrong_answers([told()], [])
    assert promises.find_wrong_answers([told(fault="half")], [arrival()])
    assert not promises.find_wrong_answers([told()], [arrival()])


def made(*numbers, software="v1"):
    return [StreamEvent(number, software, "run") for number in numbers]


@pytest.mark.parametrize(
    ("events", "whole"),
    [
        ([*made(1, 2), *made(3, 4, software="v2")], True),
        ([*made(1, 2), *made(3, software="v2")], False),
        (made(1, 2, 2, 3, 4), True),
        (made(1, 3), False),
        (made(2, 3), False),
        (made(1, 2, 1), False),
        (made(1, 2, 3), True),
        (made(1, 2, 3, 4, 5), True),
        (made(), True),
    ],
)
def test_streams_that_are_joined_or_out_of_order_are_found(events, whole):
    assert promises.find_stream_error(events, 4, whole)


@pytest.mark.parametrize(
    ("events", "whole"),
    [(made(1, 2, 3, 4), True), (made(1, 2, 3), False), (made(), False)],
)
def test_streams_in_order_are_not_found(events, whole):
    assert not promises.find_stream_error(events, 4, whole)


def test_late_arrivals_at_a_leaving_endpoint_are_found_in_calm_times():
    calm = Disturbances()
    left = {"desk-1": 5.0}
    assert promises.find_late_arrivals([arrival(at=8.0)], left, calm)
    assert not promises.find_late_arrivals([arrival(at=6.9)], left, calm)
    calm.begin("any", 6.0).end = 6.5
    assert not promises.find_late_arrivals([arrival(at=8.0)], left, calm)


def test_work_that_outlives_its_caller_is_found():
    calm = Disturbances()
    caller = told(status=0, whole=False, left_at=10.2)
    assert promises.find_work_without_caller([caller], [arrival(ended_at=12.0)], calm)
    assert promises.find_work_without_caller([caller], [arrival(ended_at=0.0)], calm)
    assert not promises.find_work_without_caller(
        [caller], [arrival(ended_at=10.6)], calm
    )


def test_repeats_beyond_the_budget_are_found():
    asked = [told(f"q-{number}", sent_at=float(number)) for number in range(10)]
    runs = [arrival(f"q-{number}", at=float(number)) for number in range(10)]
    again = [arrival(f"q-{number}", at=9.5) for number in range(5)]
    assert promises.find_overspent(asked, runs + again, 0.2, 1.0, 10.0)
    assert not promises.find_overspent(asked, runs + again, 0.2, 3.0, 10.0)


def test_a_content_that_goes_on_ending_endpoints_is_found():
    def harms(*times):
        return [CrashRecord("0", f"harm-{at}", f"m-{at}", float(at)) for at in times]

    calm = Disturbances()
    assert promises.find_repeated_crashes(harms(1, 2, 3, 7, 8, 9, 10), calm)
    assert not promises.find_repeated_crashes(harms(1, 2, 3, 4, 5, 5.5, 5.9), calm)
    assert not promises.find_repeated_crashes(harms(1, 2, 3, 7, 8, 9), calm)
    calm.begin("any", 5.0).end = 9.5
    assert not promises.find_repeated_crashes(harms(1, 2, 3, 7, 8, 9, 10), calm)


def test_a_router_is_in_touch_three_seconds_after_what_disturbed_it():
    calm = Disturbances()
    assert calm.in_touch("router-0", 10.0)
    span = calm.begin("router-0", 6.0)
    assert not calm.in_touch("router-0", 60.0)
    span.over = 7.0
    assert not calm.in_touch("router-0", 10.0)
    assert calm.in_touch("router-0", 10.1)
    assert calm.in_touch("router-1", 10.0)


#: What callers may get beside a silent endpoint, and what they may not.
BROKEN = {
    "cut": {"whole": False},
    "with 502": {"status": 502},
    "with 504": {"status": 504},
    "without an answer": {"status": 0, "whole": False},
}


@pytest.mark.parametrize("how", BROKEN)
def test_a_request_that_is_broken_off_without_a_reason_is_found(how):
    caller = told(route="again", time_limit=2.5, **BROKEN[how])
    found = promises.find_broken_answers([caller], [arrival()], Disturbances())
    assert found == [
        f"q-1 of again at router-0 and desk-1 ended {how} after 0.10 s",
    ]


@pytest.mark.parametrize("other", [{}, {"status": 503}, {"status": 500}])
def test_answers_and_refusals_are_no_broken_answers(other):
    caller = told(**other)
    assert not promises.find_broken_answers([caller], [arrival()], Disturbances())


@pytest.mark.parametrize("how", BROKEN)
def test_a_request_may_be_broken_off_when_its_time_is_over_but_not_unanswered(how):
    def find(ended_at):
        caller = told(time_limit=2.5, ended_at=ended_at, **BROKEN[how])
        return promises.find_broken_answers([caller], [arrival()], Disturbances())

    assert find(12.3)
    assert bool(find(12.41)) is (how == "without an answer")


@pytest.mark.parametrize("other", [{"left_at": 10.05}, {"crossed": True}])
def test_who_left_or_crossed_the_close_is_owed_no_answer(other):
    caller = told(status=0, whole=False, **other)
    assert not promises.find_broken_answers([caller], [], Disturbances())


def test_a_request_that_reached_an_endpoint_did_not_cross_the_close():
    caller = told(status=0, whole=False, crossed=True)
    assert promises.find_broken_answers([caller], [arrival()], Disturbances())


@pytest.mark.parametrize("how", BROKEN)
@pytest.mark.parametrize(
    ("name", "excused"),
    [
        ("router-0", True),
        ("desk-1", True),
        ("desk", True),
        ("router-1", False),
        ("desk-2", False),
        ("model", False),
    ],
)
def test_only_what_a_request_met_excuses_its_end(how, name, excused):
    unsound = Disturbances()
    unsound.begin(name, 10.05).end = 11.0
    caller = told(**BROKEN[how])
    found = promises.find_broken_answers([caller], [arrival()], unsound)
    assert bool(found) is not excused


def test_what_was_over_before_or_began_after_excuses_nothing():
    unsound = Disturbances()
    unsound.begin("desk-1", 8.0).end = 9.9
    unsound.begin("router-0", 10.2)
    caller = told(status=504)
    assert promises.find_broken_answers([caller], [arrival()], unsound)
