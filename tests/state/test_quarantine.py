"""Verdicts on contents: the newest one applies, in whatever order they are received."""

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
        unique_by=lambda item: (item.content, item.precedence),
    ),
    st.randoms(use_true_random=False),
)
def test_order_in_which_verdicts_are_received_does_not_matter(verdicts, draw):
    mixed = list(verdicts)
    draw.shuffle(mixed)
    one, other = known(verdicts), known([*mixed, *verdicts])
    assert one.entries == other.entries
    assert one.checksum == other.checksum
    assert one.organisations == other.organisations


def test_content_is_remembered_after_its_rejection_ends():
    made = known([entry()])
    assert made.rejection_remaining("c-1", 40.0) == 60.0
    assert made.rejection_remaining("c-1", 100.0) == 0.0
    assert made.is_suspected("c-1")
    made.expire(200.0)
    assert not made.entries
    assert not made.has_contents_of("alder")
    assert made.checksum == 0


def test_cleared_and_suspected_contents_are_not_rejected():
    for level in (Level.CLEARED, Level.SUSPECTED):
        assert known([entry(level=level)]).rejection_remaining("c-1", 0.0) == 0.0


def test_suspected_lists_contents_neither_cleared_nor_rejected():
    # Guards against a gauge that counts contents as suspected although they completed a
    # run since, or an operator lifted their quarantine.
    levels = {level.value: entry(level.value, level) for level in Level}
    made = known(levels.values())
    rejected = {"rested", "quarantined"}
    assert {item.content for item in made.held(0.0)} == rejected
    assert {item.content for item in made.suspected(0.0)} == {"suspected"}
    assert {item.content for item in made.suspected(100.0)} == {"suspected", *rejected}


def test_an_older_verdict_does_not_replace_a_newer_one():
    made = known([entry(level=Level.CLEARED, stamp=2)])
    assert not made.put(entry(stamp=1))
    assert made.rejection_remaining("c-1", 0.0) == 0.0


def test_limits_drop_verdicts_of_the_organisation_with_most():
    made = known([entry("first", organisation="birch")])
    for number in range(2 * MAX_ENTRIES_PER_ORGANISATION):
        made.put(entry(f"a-{number}", stamp=number))
    assert made.organisations["alder"] == MAX_ENTRIES_PER_ORGANISATION
    for number in range(2 * MAX_ENTRIES):
        made.put(entry(f"o-{number}", stamp=number, organisation=f"o-{number % 40}"))
    assert len(made.entries) == MAX_ENTRIES
    assert "first" in made.entries
