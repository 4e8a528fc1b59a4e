"""Offers that go to another router while the one before has not answered."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.scheduling.offers import Granted
from tests.coordination.scheduling.offer_builders import (
    CALL,
    POOL,
    RecordingFleet,
    coordinator,
    request,
)
from tests.simulated_fleet import simulate


def withdrawn(change):
    """Return the routers at which a request was withdrawn by a change of its fleet."""

    async def run():
        fleet = RecordingFleet("first")
        made = coordinator(fleet)
        placing = asyncio.create_task(made.place(request(), POOL))
        await asyncio.sleep(0.01)
        await change(made, fleet)
        placing.cancel()
        await asyncio.gather(placing, return_exceptions=True)
        return fleet.withdrawn(CALL)

    return simulate(run)


def test_an_offer_is_withdrawn_from_a_router_that_another_request_found_silent():
    async def suspected(made, fleet):
        fleet.target = "second"
        await asyncio.sleep(0.03)

    assert withdrawn(suspected) == ["first", "second"]


def test_an_offer_is_withdrawn_from_a_leader_that_was_replaced():
    async def replaced(made, fleet):
        fleet.target = "second"
        made.fleet_changed()
        await asyncio.sleep(0)

    assert withdrawn(replaced) == ["first", "second"]


def test_an_offer_is_withdrawn_where_it_is_and_not_where_it_would_go():
    async def replaced(made, fleet):
        fleet.target = "second"

    assert withdrawn(replaced) == ["first"]


def test_an_offer_is_withdrawn_from_another_router_if_this_one_decides():
    async def leads(made, fleet):
        fleet.target = "own"
        made.fleet_changed()

    assert withdrawn(leads) == ["first"]


def test_an_offer_that_stays_is_not_withdrawn():
    async def nothing(made, fleet):
        made.fleet_changed()
        await asyncio.sleep(0.05)

    assert withdrawn(nothing) == ["first"]


async def decided_by_the_next_leader(queued):
    """Return the decision of a leader that follows this router, and the suspects.

    Also whether this router's scheduler still has the request.
    """
    fleet = RecordingFleet("own")
    made = coordinator(fleet, usable=False)
    placing = asyncio.create_task(made.place(request(), POOL))
    await asyncio.sleep(0.01)
    fleet.target = "first"
    made.fleet_changed()
    kept = CALL in made.pools[POOL].scheduler.waiting
    if queued:
        fleet.queue(made, CALL)
    await asyncio.sleep(0.3)
    fleet.grant(made, CALL, "first")
    return await placing, fleet.suspects, kept


def test_a_leader_that_has_queued_a_request_is_not_taken_for_silent():
    decision, suspects, kept = simulate(lambda: decided_by_the_next_leader(True))
    assert isinstance(decision, Granted)
    assert suspects == []
    assert not kept


def test_a_leader_that_has_not_queued_a_request_is_taken_for_silent():
    _, suspects, _ = simulate(lambda: decided_by_the_next_leader(False))
    assert set(suspects) == {"first"}
