"""Which routers read the store for the others."""

from __future__ import annotations

from types import SimpleNamespace

from carawayfold.coordination import readers
from carawayfold.coordination.membership import Member
from carawayfold.protocol.datagrams import Beat


def fleet_of(count, own="router-0", data_centre="north", ages=None):
    """Return a fleet of `count` routers in one data centre, all heard."""
    members = [
        Member(f"router-{number}", data_centre, 1, 0.0) for number in range(count)
    ]
    beats = {
        item.router: Beat(data_centre, False, 1, 1, (ages or {}).get(item.router, 0))
        for item in members
        if item.router != own
    }
    return SimpleNamespace(
        own=next(item for item in members if item.router == own),
        beats=beats,
        size=count,
        near=lambda place: [item for item in members if item.data_centre == place],
    )


def reading(count, ages=None):
    return [
        name
        for name in (f"router-{number}" for number in range(count))
        if readers.is_reader(fleet_of(count, name, ages=ages))
    ]


def test_every_router_of_a_small_fleet_reads():
    assert len(reading(readers.ALL_READ)) == readers.ALL_READ


def stale(*names):
    return dict.fromkeys(names, readers.READER_STALE_MS + 1)


def test_one_router_of_a_data_centre_reads_for_a_large_fleet():
    assert len(reading(30)) == 1


def test_the_next_one_reads_too_when_the_store_no_longer_answers_the_first():
    (first,) = reading(30)
    assert len(reading(30, stale(first))) == readers.READERS
    assert first in reading(30, stale(first))


def test_all_read_when_the_store_no_longer_answers_the_readers():
    (first,) = reading(30)
    both = reading(30, stale(first))
    assert len(reading(30, stale(*both))) == 30


def test_one_reader_that_is_answered_suffices():
    (first,) = reading(30)
    (second,) = set(reading(30, stale(first))) - {first}
    assert reading(30, stale(second)) == [first]
