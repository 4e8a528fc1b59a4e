"""Evacuated data centres, by records of the store and states of peers in any order."""

from __future__ import annotations

import pytest

from carawayfold.state.evacuations import (
    UNCONFIRMED_DURATION,
    EvacuationSnapshot,
    EvacuationTable,
)
from carawayfold.state.positions import position


def evacuated(*names, after=10):
    """Return the table of a router that has applied a complete list of `names`."""
    table = EvacuationTable()
    table.listed(names, after, 0.0)
    return table


def test_data_centre_is_evacuated_until_an_operator_ends_it():
    table = evacuated()
    assert table.read({"north": True}, 11)
    assert table.active == {"north"}
    assert table.read({"north": False}, 12)
    assert table.active == set()


def test_evacuations_are_not_known_before_a_complete_list():
    table = EvacuationTable()
    assert not table.known
    assert not table.apply_snapshot(EvacuationSnapshot(0, []), 0.0)
    assert table.known


def test_older_records_do_not_change_the_newer_state_of_a_peer():
    table = evacuated()
    table.apply_snapshot(EvacuationSnapshot(15, ["north"]), 0.0)
    assert not table.read({"north": False}, 13)
    assert not table.listed([], 13, 0.0)
    assert table.active == {"north"}


def test_state_of_a_peer_without_later_changes_is_ignored():
    table = evacuated("north")
    assert not table.apply_snapshot(EvacuationSnapshot(10, []), 0.0)
    assert table.active == {"north"}


def test_records_without_effect_do_not_move_the_position():
    table = evacuated("north")
    assert not table.read({}, 20)
    assert table.changed_at == 10


def test_list_of_the_same_era_ends_evacuations_that_it_lacks():
    table = evacuated("north")
    assert table.listed([], 30, 0.0)
    assert table.active == set()


def test_list_of_a_restored_store_keeps_evacuations_for_a_time():
    table = evacuated("north", "south", after=position(0, 10))
    table.listed(["south"], position(1, 8), 100.0)
    assert table.active == {"north", "south"}
    assert not table.expire(100.0 + UNCONFIRMED_DURATION - 0.1)
    assert table.expire(100.0 + UNCONFIRMED_DURATION)
    assert table.active == {"south"}


def test_record_of_a_restored_store_ends_an_unconfirmed_evacuation():
    table = evacuated("north", after=position(0, 10))
    table.listed([], position(1, 8), 100.0)
    assert table.read({"north": False}, position(1, 9))
    assert table.active == set()
    assert not table.expire(200.0)


def test_peer_receives_the_remaining_time_of_unconfirmed_evacuations():
    table = evacuated("north", after=position(0, 10))
    table.listed([], position(1, 8), 100.0)
    table.read({"south": True}, position(1, 9))
    peer = EvacuationTable()
    peer.apply_snapshot(table.snapshot(110.0), 500.0)
    assert peer.active == {"north", "south"}
    assert peer.expire(500.0 + UNCONFIRMED_DURATION - 10.0)
    assert peer.active == {"south"}


@pytest.mark.parametrize("restored_twice", [False, True])
def test_second_restoration_does_not_extend_an_unconfirmed_evacuation(restored_twice):
    table = evacuated("north", after=position(0, 10))
    table.listed([], position(1, 8), 100.0)
    if restored_twice:
        table.listed([], position(2, 8), 120.0)
    assert table.expire(100.0 + UNCONFIRMED_DURATION)
