"""Verdicts on contents: the newest one holds, wherever it comes from."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawayfold.state.quarantine import (
    MAX_ENTRIES,
    MAX_ENTRIES_PER_ORGANISATION,
    Entry,
    Level,
    Quarantine,
)

CONTENTS = ["c-1", "c-2", "c-3"]


def entry(content="c-1", level=Level.QUARANTINED, stamp=1, organisation="alder"):
    return Entry(content, organisation, level, stamp, 0.0, 100.0, 200.0, ("e-1",))


def known(verdicts):
    made = Quarantine()
    for verdict in verdicts:
        made.put(verdict)
    return made


@given(
    st.lists(
        st.builds(
            entry,
            content=st.sampled_from(CONTENTS),
            level=st.sampled_from(list(Level)),
            stamp=st.integers(1, 5),
        ),
        unique_by=lambda item: (item.content, item.stamp),
    ),
    st.randoms(use_true_random=False),
)
def test_the_order_in_which_verdicts_come_does_not_matter(verdicts, draw):
    mixed = list(verdicts)
    draw.shuffle(mixed)
    one, other = known(verdicts), known([*mixed, *verdicts])
    assert one.entries == other.entries
    assert one.checksum == other.checksum
    assert one.organisations == other.organisations


def test_what_is_refused_is_so_for_its_time_and_known_longer():
    made = known([entry()])
    assert made.held_for("c-1", 40.0) == 60.0
    assert made.held_for("c-1", 100.0) == 0.0
    assert made.is_suspected("c-1")
    made.expire(200.0)
    assert not made.entries
    assert not made.concerns("alder")
    assert made.checksum == 0


def test_what_is_cleared_or_suspected_is_not_refused():
    for level in (Level.CLEARED, Level.SUSPECTED):
        assert known([entry(level=level)]).held_for("c-1", 0.0) == 0.0


def test_suspected_are_those_that_count_against_a_content_and_do_not_refuse_it():
    # The gauge took contents for suspected that had run well since, or that an operator
    # had lifted.
    levels = {level.value: entry(level.value, level) for level in Level}
    made = known(levels.values())
    refused = {"rested", "quarantined"}
    assert {item.content for item in made.held(0.0)} == refused
    assert {item.content for item in made.suspected(0.0)} == {"suspected"}
    assert {item.content for item in made.suspected(100.0)} == {"suspected", *refused}


def test_an_older_verdict_does_not_replace_a_newer_one():
    made = known([entry(level=Level.CLEARED, stamp=2)])
    assert not made.put(entry(stamp=1))
    assert made.held_for("c-1", 0.0) == 0.0


def test_the_bounds_hold_at_the_cost_of_whoever_has_most():
    made = known([entry("first", organisation="birch")])
    for number in range(2 * MAX_ENTRIES_PER_ORGANISATION):
        made.put(entry(f"a-{number}", stamp=number))
    assert made.organisations["alder"] == MAX_ENTRIES_PER_ORGANISATION
    for number in range(2 * MAX_ENTRIES):
        made.put(entry(f"o-{number}", stamp=number, organisation=f"o-{number % 40}"))
    assert len(made.entries) == MAX_ENTRIES
    assert "first" in made.entries
