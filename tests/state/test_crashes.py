"""Which crashes count against which content."""

from __future__ import annotations

import msgspec
import pytest

from carawayfold.state.contents import content_id
from carawayfold.state.crashes import (
    MAX_CASES_PER_ORGANISATION,
    MIN_REST_WEIGHT,
    QUARANTINED_AT,
    Crash,
    CrashBook,
    Departures,
    level_for,
)
from carawayfold.state.quarantine import Level
from tests.schedule_builders import endpoint

AT = 100.0


def content(number=1):
    return content_id("alder", b"POST", b"/", b"%d" % number)


def crash(name="e-1", at=AT, refused=True, begun=False):
    return Crash(name, "r-1", at, refused, begun)


def departed(after, leaving=False):
    """Return departures with one endpoint that went so long after its crash."""
    made = Departures()
    made.note(endpoint("e-1", leaving=leaving), AT + after)
    return made


def test_an_endpoint_that_refuses_connections_has_ended_although_it_is_registered():
    assert Departures().has_ended(crash(), endpoint("e-1"))


def test_one_that_takes_connections_and_stays_registered_lives():
    assert not Departures().has_ended(crash(refused=False), endpoint("e-1"))


@pytest.mark.parametrize(("after", "ended"), [(2.5, True), (-0.2, True), (-2.0, False)])
def test_the_registration_of_one_that_ended_goes_after_its_connections(after, ended):
    assert departed(after).has_ended(crash(refused=False), None) is ended


def test_a_registration_that_goes_much_later_tells_nothing():
    assert not departed(60.0).has_ended(crash(refused=False), None)


def test_one_that_announced_its_leaving_was_taken_away():
    assert not departed(2.5, leaving=True).has_ended(crash(), None)
    assert not Departures().has_ended(crash(), endpoint("e-1", leaving=True))


def crashes_counted(*found):
    book = CrashBook()
    for item in found:
        book.note(content(), "alder", item)
    return len(book.cases[content()].crashes)


@pytest.mark.parametrize(("started", "count"), [(AT - 0.2, 1), (AT + 0.3, 2)])
def test_an_end_right_after_a_restart_is_another_one(started, count):
    """Engines that start again within half a second under their names.

    Six ended under one content before it was refused, where three are allowed: what
    was sent 0.1 s before the second end, and after the first, counted as one crash.
    """
    later = msgspec.structs.replace(crash(at=AT + 0.4), started=started)
    assert crashes_counted(crash(), later) == count
    assert crashes_counted(later, crash()) == count


def test_reports_of_several_routers_on_one_crash_count_once():
    book = CrashBook()
    assert book.note(content(), "alder", crash())
    assert not book.note(content(), "alder", crash(at=AT + 0.1))
    assert len(book.cases[content()].crashes) == 1


def test_of_several_copies_at_one_endpoint_the_newest_run_counts():
    book = CrashBook()
    book.note(content(), "alder", crash(begun=True, refused=False))
    assert book.note(content(), "alder", crash(begun=False, refused=True))
    [known] = book.cases[content()].crashes.values()
    assert (known.begun, known.refused, known.weight) == (False, True, 1.0)


def test_an_endpoint_that_ends_again_under_its_name_counts_again():
    book = CrashBook()
    for at in (AT, AT + 3, AT + 6):
        book.note(content(), "alder", crash(at=at))
    assert len(book.cases[content()].crashes) == 3


def test_a_run_that_ended_well_drops_the_crashes_before_it():
    book = CrashBook()
    for number, at in enumerate((AT, AT + 3, AT + 6)):
        book.note(content(), "alder", crash(f"e-{number}", at))
    book.note_well(content(), "alder", AT + 4)
    assert set(book.cases[content()].crashes) == {"e-2"}


def test_three_runs_that_had_just_begun_settle_it_and_runs_under_way_take_twice():
    assert level_for([1.0] * 2, ran_well=False) is Level.SUSPECTED
    assert level_for([1.0] * 3, ran_well=False) is Level.QUARANTINED
    assert level_for([0.5] * 5, ran_well=False) is Level.SUSPECTED
    assert level_for([0.5] * 6, ran_well=False) is Level.QUARANTINED


def test_what_ran_well_not_long_before_is_only_rested_and_later():
    assert level_for([1.0] * int(QUARANTINED_AT), ran_well=True) is Level.SUSPECTED
    assert level_for([1.0] * int(MIN_REST_WEIGHT), ran_well=True) is Level.RESTED


def test_an_organisation_keeps_its_worst_cases_and_nobody_elses_go():
    book = CrashBook()
    book.note(content(-1), "birch", crash())
    for name in ("e-1", "e-2"):
        book.note(content(0), "alder", crash(name))
    for number in range(1, 3 * MAX_CASES_PER_ORGANISATION):
        book.note(content(number), "alder", crash())
    assert book.organisations == {"birch": 1, "alder": MAX_CASES_PER_ORGANISATION}
    assert len(book.cases[content(0)].crashes) == 2
