"""Distribution of leaving notices from endpoint responses to every router.

Without it, an endpoint that left while the store did not answer got 51 more requests
from eight routers.
"""

from __future__ import annotations

import asyncio

import logbook
import msgspec
import pytest

from carawayfold.state.endpoints import EndpointTable
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate, started
from tests.simulated_notices import (
    SETTLED,
    TROUBLES,
    SimulatedNotices,
    ages_of,
    name_of,
)

NAME = "e-1"


def table(*entries):
    made = EndpointTable()
    for entry in entries:
        made.put(entry)
    return made


@pytest.mark.parametrize("incarnation", [0, 0x18F])
def test_a_leaving_notice_overrides_every_later_entry(incarnation):
    entry = endpoint(NAME, incarnation=incarnation)
    known = table(entry)
    assert known.announce(entry.id, 1.0)
    assert not known.announce(entry.id, 2.0)
    assert known.usable("model") == []
    known.put(msgspec.structs.replace(entry, slots=9))
    known.replace_all([entry], 3.0)
    assert known.usable("model") == []
    known.remove(NAME, 4.0)
    known.put(entry)
    assert known.usable("model") == []
    assert known.announced_leaving() == [entry.id]


def test_the_next_incarnation_stays():
    known = table(endpoint(NAME, incarnation=1))
    known.announce(endpoint(NAME, incarnation=1).id, 1.0)
    following = endpoint(NAME, incarnation=2)
    known.put(following)
    assert known.usable("model") == [following]
    assert known.announced_leaving() == []


def test_a_notice_of_an_endpoint_that_is_not_registered_yet_is_kept():
    known = table()
    known.announce(endpoint(NAME, incarnation=1).id, 1.0)
    known.put(endpoint(NAME, incarnation=1))
    assert known.usable("model") == []


def test_an_entry_of_one_that_leaves_does_not_lapse_in_an_outage():
    known = table(endpoint(NAME))
    known.announce(NAME, 1.0)
    known.record_outage(2.0)
    assert known.remove(NAME, 2.0)
    assert known.entries == {}


def test_the_number_of_notices_kept_is_limited(monkeypatch):
    monkeypatch.setattr("carawayfold.state.endpoints.MAX_ANNOUNCED", 3)
    known = table(endpoint(NAME))
    known.announce(NAME, 0.0)
    for number in range(9):
        known.announce(f"gone-{number}", 1.0)
    assert list(known.announced) == [NAME, "gone-6", "gone-7", "gone-8"]


def test_a_notice_that_is_already_registered_is_not_distributed():
    known = table(endpoint(NAME, leaving=True))
    assert not known.announce(NAME, 1.0)
    assert known.announced_leaving() == []
    assert known.announce(NAME, 1.0, by_peer=True)
    assert known.announced_leaving() == [NAME]


#: Seconds within which every router applies a notice that one has received.
NOTICE_LIMIT = 0.5
#: The same if peers fail, do not answer or are partitioned meanwhile.
NOTICE_LIMIT_UNDER_FAULT = 2.0


@pytest.mark.parametrize("trouble", [x for x in TROUBLES if x != "deciders lost"])
@pytest.mark.parametrize("size", [(6, 3), (24, 3), (67, 3)])
def test_all_routers_apply_a_notice_in_time_while_the_store_is_silent(size, trouble):
    allowed = NOTICE_LIMIT if trouble == "calm" else NOTICE_LIMIT_UNDER_FAULT
    assert ages_of(*size, TROUBLES[trouble], range(2))[-1] <= allowed


#: Bytes a second of control traffic that one router may send.
MAX_CONTROL_RATE = 14_000
#: Seconds in which half of the endpoints are replaced.
RELEASE_DURATION = 30.0


def test_control_traffic_of_a_release_without_the_store_is_limited():
    async def run():
        fleet = started(67, 3)
        world = SimulatedNotices(fleet, endpoints=610)
        await asyncio.sleep(SETTLED)
        fleet.sent_bytes.clear()
        for number in range(305):
            world.say(name_of(number))
            await asyncio.sleep(RELEASE_DURATION / 305)
        sent = max(fleet.sent_bytes.values()) / RELEASE_DURATION
        await fleet.close()
        return sent

    with logbook.NullHandler().applicationbound():
        assert simulate(run) <= MAX_CONTROL_RATE
