"""Choice of the routers that read the store on behalf of the others."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from carawayfold.coordination.fleet import readers
from carawayfold.coordination.fleet.membership import Member
from carawayfold.protocol.datagrams import Heartbeat


def fleet_of(
    count,
    own="router-0",
    refused=(),
    data_centres=2,
    store_age=0,
    heartbeat_at=0.0,
    now=0.0,
    operators_age=0,
):
    """Return the fleet as known to the router `own` of its first data centre.

    Parameters
    ----------
    store_age, operators_age : int
        Milliseconds that every peer reports.
    heartbeat_at : float
        Loop time of the last heartbeat of all of them.
    """
    members = [
        Member(f"router-{number}", f"dc-{number % data_centres}", 1, 0.0)
        for number in range(count)
    ]
    heartbeats = {
        item.router: Heartbeat(
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
        heartbeat_times=dict.fromkeys(heartbeats, heartbeat_at),
        local_hubs=lambda: [
            item
            for item in members
            if item.hub and item is not own_member and item.data_centre == "dc-0"
        ],
        own=own_member,
        heartbeats=heartbeats,
        size=count,
        hubs=lambda: [item for item in members if item.hub],
        members_in=lambda name: [item for item in members if item.data_centre == name],
    )


def reading(count, age=0.0, refused=(), data_centres=2):
    """Return the readers of the first data centre if all knowledge has an age."""
    return [
        f"router-{number}"
        for number in range(0, count, data_centres)
        if readers.is_reader(
            fleet_of(count, f"router-{number}", refused, data_centres), age
        )
    ]


def test_every_router_of_a_small_fleet_reads():
    count = readers.MAX_ROUTERS_ALL_READ
    assert len(reading(count, data_centres=1)) == count


def test_one_router_of_a_data_centre_reads_for_a_large_fleet():
    assert len(reading(30)) == 1


def test_two_routers_read_in_a_single_data_centre():
    assert len(reading(30, data_centres=1)) == readers.READERS_IN_ONLY_DATA_CENTRE


def test_the_next_hub_reads_too_if_the_store_rejects_the_first():
    (first,) = reading(30)
    both = reading(30, refused=(first,))
    assert first in both
    assert len(both) == 2


def test_a_third_hub_reads_if_the_store_rejects_the_first_two():
    (first,) = reading(30)
    (second,) = set(reading(30, refused=(first,))) - {first}
    third = set(reading(30, refused=(first, second))) - {first, second}
    assert len(third) == 1


@pytest.mark.parametrize(("over", "count"), [(-0.01, 1), (0.01, 15)])
def test_all_hubs_read_when_their_knowledge_is_stale(over, count):
    assert len(reading(30, age=readers.HUB_STALENESS_LIMIT + over)) == count


def reading_leaves(age, **peers):
    """Return how many of 100 leaves read if their knowledge has an age."""

    def reads(number):
        fleet = fleet_of(100, f"router-{number}", **peers)
        fleet.own.hub = False
        return readers.is_reader(fleet, age)

    return sum(reads(number) for number in range(100))


def test_leaves_read_later_than_hubs_and_not_all_at_once():
    assert reading_leaves(readers.LEAF_STALENESS_LIMIT) == 0
    halfway = readers.LEAF_STALENESS_LIMIT + readers.LEAF_JITTER / 2
    assert 0 < reading_leaves(halfway) < 100
    assert reading_leaves(readers.LEAF_STALENESS_LIMIT + readers.LEAF_JITTER) == 100


@pytest.mark.parametrize(
    "peers",
    [
        {"refused": [f"router-{number}" for number in range(100)]},
        {"store_age": round(1000 * readers.HUB_STALENESS_LIMIT) + 1},
        {"operators_age": round(1000 * readers.HUB_STALENESS_LIMIT) + 1},
        {"heartbeat_at": 0.0, "now": readers.HUB_SILENCE_TIMEOUT + 0.01},
    ],
)
def test_leaves_do_not_wait_for_hubs_that_cannot_relay_updates(peers):
    assert reading_leaves(readers.HUB_STALENESS_LIMIT, **peers) == 0
    assert (
        reading_leaves(readers.HUB_STALENESS_LIMIT + readers.LEAF_JITTER, **peers)
        == 100
    )


def test_a_leaf_waits_as_long_as_one_of_its_hubs_can_relay_updates():
    refused = [f"router-{number}" for number in range(4, 100)]
    assert reading_leaves(readers.LEAF_STALENESS_LIMIT, refused=refused) == 0
