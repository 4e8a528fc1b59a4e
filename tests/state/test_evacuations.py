"""Evacuated data centres, whoever told of them and in whatever order."""

from __future__ import annotations

import pytest

from carawayfold.state.evacuations import (
    UNCONFIRMED_DURATION,
    EvacuationSnapshot,
    EvacuationTable,
)
from carawayfold.state.positions import position


def evacuated(*names, after=10):
    """Return what a router knows that has listed these."""
    table = EvacuationTable()
    table.listed(names, after, 0.0)
    return table


def test_a_data_centre_is_evacuated_until_that_is_taken_back():
    table = evacuated()
    assert table.read({"north": True}, 11)
    assert table.active == {"north"}
    assert table.read({"north": False}, 12)
    assert table.active == set()


def test_nothing_is_known_before_somebody_told():
    table = EvacuationTable()
    assert not table.known
    assert not table.told(EvacuationSnapshot(0, []), 0.0)
    assert table.known


def test_what_a_peer_told_from_further_on_is_not_undone_by_older_records():
    table = evacuated()
    table.told(EvacuationSnapshot(15, ["north"]), 0.0)
    assert not table.read({"north": False}, 13)
    assert not table.listed([], 13, 0.0)
    assert table.active == {"north"}


def test_a_peer_that_knows_no_later_change_tells_nothing():
    table = evacuated("north")
    assert not table.told(EvacuationSnapshot(10, []), 0.0)
    assert table.active == {"north"}


def test_records_that_change_nothing_leave_its_position():
    table = evacuated("north")
    assert not table.read({}, 20)
    assert table.changed_at == 10


def test_a_list_of_the_same_store_ends_what_it_lacks():
    table = evacuated("north")
    assert table.listed([], 30, 0.0)
    assert table.active == set()


def test_a_store_from_a_copy_ends_nothing_by_lacking_it():
    table = evacuated("north", "south", after=position(0, 10))
    table.listed(["south"], position(1, 8), 100.0)
    assert table.active == {"north", "south"}
    assert not table.expire(100.0 + UNCONFIRMED_DURATION - 0.1)
    assert table.expire(100.0 + UNCONFIRMED_DURATION)
    assert table.active == {"south"}


def test_the_word_of_a_store_from_a_copy_ends_what_it_lacked():
    table = evacuated("north", after=position(0, 10))
    table.listed([], position(1, 8), 100.0)
    assert table.read({"north": False}, position(1, 9))
    assert table.active == set()
    assert not table.expire(200.0)


def test_a_peer_hears_for_how_long_an_unconfirmed_one_is_kept():
    table = evacuated("north", after=position(0, 10))
    table.listed([], position(1, 8), 100.0)
    table.read({"south": True}, position(1, 9))
    peer = EvacuationTable()
    peer.told(table.snapshot(110.0), 500.0)
    assert peer.active == {"north", "south"}
    assert peer.expire(500.0 + UNCONFIRMED_DURATION - 10.0)
    assert peer.active == {"south"}


@pytest.mark.parametrize("again", [False, True])
def test_a_second_return_from_a_copy_keeps_the_first_end(again):
    table = evacuated("north", after=position(0, 10))
    table.listed([], position(1, 8), 100.0)
    if again:
        table.listed([], position(2, 8), 120.0)
    assert table.expire(100.0 + UNCONFIRMED_DURATION)
