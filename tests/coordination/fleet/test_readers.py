"""Which routers read the store for the others."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from carawayfold.coordination.fleet import readers
from carawayfold.coordination.fleet.membership import Member
from carawayfold.protocol.datagrams import Beat


def fleet_of(
    count,
    own="router-0",
    refused=(),
    places=2,
    store_age=0,
    heard=0.0,
    now=0.0,
    operators_age=0,
):
    """Return a fleet as the router `own` of its first data centre hears it.

    Parameters
    ----------
    store_age, operators_age : int
        Milliseconds that every peer says.
    heard : float
        When all of them were heard last.
    """
    members = [
        Member(f"router-{number}", f"dc-{number % places}", 1, 0.0)
        for number in range(count)
    ]
    beats = {
        item.router: Beat(
            item.data_centre,
            False,
            1,
            1,
            store_age,
            refused=item.router in refused,
            operators_age=operators_age,
        )
        for item in members
        if item.router != own
    }
    own_member = next(item for item in members if item.router == own)
    return SimpleNamespace(
        loop=SimpleNamespace(time=lambda: now),
        beaten_at=dict.fromkeys(beats, heard),
        near_hubs=lambda: [
            item
            for item in members
            if item.hub and item is not own_member and item.data_centre == "dc-0"
        ],
        own=own_member,
        beats=beats,
        size=count,
        hubs=lambda: [item for item in members if item.hub],
        near=lambda place: [item for item in members if item.data_centre == place],
    )


def reading(count, age=0.0, refused=(), places=2):
    """Return who reads in the first data centre where all know things of an age."""
    return [
        f"router-{number}"
        for number in range(0, count, places)
        if readers.is_reader(fleet_of(count, f"router-{number}", refused, places), age)
    ]


def test_every_router_of_a_small_fleet_reads():
    count = readers.ALL_READ
    assert len(reading(count, places=1)) == count


def test_one_router_of_a_data_centre_reads_for_a_large_fleet():
    assert len(reading(30)) == 1


def test_two_read_where_there_is_one_data_centre():
    assert len(reading(30, places=1)) == readers.READERS_ALONE


def test_the_next_one_reads_as_well_once_the_store_refuses_the_first():
    (first,) = reading(30)
    both = reading(30, refused=(first,))
    assert first in both
    assert len(both) == 2


def test_one_that_is_refused_is_passed_over_when_the_next_one_is_too():
    (first,) = reading(30)
    (second,) = set(reading(30, refused=(first,))) - {first}
    third = set(reading(30, refused=(first, second))) - {first, second}
    assert len(third) == 1


@pytest.mark.parametrize(("over", "count"), [(-0.01, 1), (0.01, 15)])
def test_all_hubs_read_when_what_they_know_is_too_old(over, count):
    assert len(reading(30, age=readers.HUB_STALE + over)) == count


def reading_leaves(age, **peers):
    """Return how many of 100 leaves read that know things of an age."""

    def reads(number):
        fleet = fleet_of(100, f"router-{number}", **peers)
        fleet.own.hub = False
        return readers.is_reader(fleet, age)

    return sum(reads(number) for number in range(100))


def test_leaves_read_later_than_hubs_and_not_all_at_once():
    assert reading_leaves(readers.LEAF_STALE) == 0
    halfway = readers.LEAF_STALE + readers.LEAF_SPREAD / 2
    assert 0 < reading_leaves(halfway) < 100
    assert reading_leaves(readers.LEAF_STALE + readers.LEAF_SPREAD) == 100


@pytest.mark.parametrize(
    "peers",
    [
        {"refused": [f"router-{number}" for number in range(100)]},
        {"store_age": round(1000 * readers.HUB_STALE) + 1},
        {"operators_age": round(1000 * readers.HUB_STALE) + 1},
        {"heard": 0.0, "now": readers.HUB_QUIET + 0.01},
    ],
)
def test_leaves_do_not_wait_for_hubs_that_cannot_tell_them(peers):
    assert reading_leaves(readers.HUB_STALE, **peers) == 0
    assert reading_leaves(readers.HUB_STALE + readers.LEAF_SPREAD, **peers) == 100


def test_a_leaf_is_told_as_long_as_one_of_its_hubs_can():
    refused = [f"router-{number}" for number in range(4, 100)]
    assert reading_leaves(readers.LEAF_STALE, refused=refused) == 0
