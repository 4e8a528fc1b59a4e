"""Which lost connections are crashes, and how crashes count against contents."""

from __future__ import annotations

import msgspec
import pytest

from carawayfold.state.contents import content_id
from carawayfold.state.crashes import (
    MAX_CASES_PER_ORGANISATION,
    MIN_QUARANTINE_WEIGHT,
    MIN_REST_WEIGHT,
    Crash,
    CrashTable,
    Deregistrations,
    level_for,
)
from carawayfold.state.quarantine import Level
from tests.schedule_builders import endpoint

AT = 100.0


def content(number=1):
    return content_id("alder", b"POST", b"/", b"%d" % number)


def crash(name="e-1", at=AT, refused=True, begun=False):
    return Crash(name, "r-1", at, refused, begun)


def deregistered(after, leaving=False):
    """Return deregistrations with one endpoint, `after` seconds after its crash."""
    made = Deregistrations()
    made.note(endpoint("e-1", leaving=leaving), AT + after)
    return made


def test_endpoint_that_refuses_connections_has_crashed_although_registered():
    assert Deregistrations().has_crashed(crash(), endpoint("e-1"))


def test_endpoint_that_accepts_connections_and_stays_registered_has_not_crashed():
    assert not Deregistrations().has_crashed(crash(refused=False), endpoint("e-1"))


@pytest.mark.parametrize(("after", "ended"), [(2.5, True), (-0.2, True), (-2.0, False)])
def test_crashed_endpoint_is_deregistered_soon_after_its_last_data(after, ended):
    assert deregistered(after).has_crashed(crash(refused=False), None) is ended


def test_late_deregistration_is_no_sign_of_a_crash():
    assert not deregistered(60.0).has_crashed(crash(refused=False), None)


def test_endpoint_that_announced_its_stop_has_not_crashed():
    assert not deregistered(2.5, leaving=True).has_crashed(crash(), None)
    assert not Deregistrations().has_crashed(crash(), endpoint("e-1", leaving=True))


def crashes_counted(*found):
    table = CrashTable()
    for item in found:
        table.note(content(), "alder", item)
    return len(table.cases[content()].crashes)


@pytest.mark.parametrize(("started", "count"), [(AT - 0.2, 1), (AT + 0.3, 2)])
def test_crash_right_after_a_restart_counts_separately(started, count):
    """Guards against merging two crashes of an engine that restarts within 0.5 s.

    A request sent after the first crash, and 0.1 s before the second one, was counted
    as part of the first. Six engines crashed before the content was rejected, where
    three are allowed.
    """
    later = msgspec.structs.replace(crash(at=AT + 0.4), started=started)
    assert crashes_counted(crash(), later) == count
    assert crashes_counted(later, crash()) == count


@pytest.mark.parametrize("delay", [0.2, 0.7])
def test_copies_of_a_report_that_are_read_late_count_once(delay):
    """Guards against counting a crash again when the reader was paused.

    A report is sent three times. Its copy was read 0.2 s late, so that a request which
    had lasted 0.06 s seemed to be sent after the crash.
    """
    first = msgspec.structs.replace(crash(), started=AT - 0.06, observed=7.0)
    copy = msgspec.structs.replace(first, at=AT + delay, started=AT + delay - 0.06)
    assert crashes_counted(first, copy) == 1
    assert crashes_counted(copy, first) == 1


def test_crashes_read_at_once_are_told_apart_by_their_observer():
    """Two crashes of an engine that restarts, whose reports a paused router reads."""
    first = msgspec.structs.replace(crash(), started=AT - 0.06, observed=7.0)
    second = msgspec.structs.replace(first, observed=7.4)
    assert crashes_counted(first, second) == 2
    assert crashes_counted(second, first) == 2


def test_clocks_of_two_routers_are_not_compared():
    first = msgspec.structs.replace(crash(), started=AT - 0.06, observed=7.0)
    other = msgspec.structs.replace(first, router="r-2", observed=90.0)
    assert crashes_counted(first, other) == 1


def test_reports_of_several_routers_of_one_crash_count_once():
    table = CrashTable()
    assert table.note(content(), "alder", crash())
    assert not table.note(content(), "alder", crash(at=AT + 0.1))
    assert len(table.cases[content()].crashes) == 1


def test_of_several_reports_on_one_crash_the_greatest_weight_counts():
    table = CrashTable()
    table.note(content(), "alder", crash(begun=True, refused=False))
    assert table.note(content(), "alder", crash(begun=False, refused=True))
    [known] = table.cases[content()].crashes.values()
    assert (known.begun, known.refused, known.weight) == (False, True, 1.0)


def test_each_crash_of_an_endpoint_under_one_name_counts():
    table = CrashTable()
    for at in (AT, AT + 3, AT + 6):
        table.note(content(), "alder", crash(at=at))
    assert len(table.cases[content()].crashes) == 3


def test_completed_run_drops_the_crashes_before_it():
    table = CrashTable()
    for number, at in enumerate((AT, AT + 3, AT + 6)):
        table.note(content(), "alder", crash(f"e-{number}", at))
    table.record_success(content(), "alder", AT + 4)
    assert set(table.cases[content()].crashes) == {"e-2"}


def test_quarantine_takes_three_crashes_or_six_if_answers_had_begun():
    assert level_for([1.0] * 2, ran_well=False) is Level.SUSPECTED
    assert level_for([1.0] * 3, ran_well=False) is Level.QUARANTINED
    assert level_for([0.5] * 5, ran_well=False) is Level.SUSPECTED
    assert level_for([0.5] * 6, ran_well=False) is Level.QUARANTINED


def test_content_with_a_recent_completed_run_is_only_rested_and_later():
    assert (
        level_for([1.0] * int(MIN_QUARANTINE_WEIGHT), ran_well=True) is Level.SUSPECTED
    )
    assert level_for([1.0] * int(MIN_REST_WEIGHT), ran_well=True) is Level.RESTED


def test_limit_of_an_organisation_drops_its_own_weakest_cases():
    table = CrashTable()
    table.note(content(-1), "birch", crash())
    for name in ("e-1", "e-2"):
        table.note(content(0), "alder", crash(name))
    for number in range(1, 3 * MAX_CASES_PER_ORGANISATION):
        table.note(content(number), "alder", crash())
    assert table.organisations == {"birch": 1, "alder": MAX_CASES_PER_ORGANISATION}
    assert len(table.cases[content(0)].crashes) == 2
