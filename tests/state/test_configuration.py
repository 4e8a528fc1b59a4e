"""Changes to the configuration, applied in the order of the log."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawayfold.coordination.knowledge.configuration import pack, unpack
from carawayfold.state.configuration import (
    ApiKey,
    Change,
    ChangeState,
    Organisation,
    Snapshot,
)
from tests.builders import organisation_change


def new_snapshot():
    return Snapshot(entries={}, outcomes={})


def test_of_two_racing_changes_one_wins_and_one_conflicts():
    snapshot = new_snapshot()
    created = snapshot.apply(0, organisation_change("alder"))
    first = snapshot.apply(1, organisation_change("alder", created.revision, 2.0))
    second = snapshot.apply(2, organisation_change("alder", created.revision, 3.0))
    assert first.state is ChangeState.ACCEPTED
    assert second.state is ChangeState.CONFLICT
    assert snapshot.find("organisation/alder").share == 2.0


def test_object_of_the_first_record_cannot_be_created_again():
    snapshot = new_snapshot()
    snapshot.apply(0, organisation_change("alder"))
    again = snapshot.apply(1, organisation_change("alder"))
    assert again.state is ChangeState.CONFLICT


def test_repeated_change_id_gets_the_first_outcome():
    snapshot = new_snapshot()
    change = organisation_change("alder", change_id="once")
    first = snapshot.apply(5, change)
    again = snapshot.apply(6, change)
    assert again == first


def test_object_in_use_is_not_removed():
    snapshot = new_snapshot()
    snapshot.apply(1, organisation_change("alder"))
    snapshot.apply(2, Change("key", 0, ApiKey("00", "alder")))
    outcome = snapshot.apply(3, organisation_change("alder", 2, remove=True))
    assert outcome.state is ChangeState.CONFLICT


def test_reference_to_a_removed_object_is_invalid():
    snapshot = new_snapshot()
    snapshot.apply(1, organisation_change("alder"))
    snapshot.apply(2, organisation_change("alder", 2, remove=True))
    outcome = snapshot.apply(3, Change("key", 0, ApiKey("00", "alder")))
    assert outcome.state is ChangeState.INVALID


changes = st.builds(
    lambda name, based_on, share, identity, remove: Change(
        identity, based_on, Organisation(name, share), remove
    ),
    st.sampled_from(["a", "b", "c", ""]),
    st.integers(0, 6),
    st.sampled_from([0.0, 1.0, 2.0]),
    st.sampled_from([f"id-{n}" for n in range(8)]),
    st.booleans(),
)


@given(st.lists(changes, max_size=30), st.integers(0, 30))
def test_same_prefix_gives_the_same_state_after_a_copy(items, cut):
    original, copied = new_snapshot(), new_snapshot()
    for offset, change in enumerate(items):
        original.apply(offset + 1, change)
        if offset == cut:
            copied = unpack(pack(copied))
        copied.apply(offset + 1, change)
    assert copied == original
