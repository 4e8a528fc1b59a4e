"""Changes of the configuration and the endpoints, at each stage of a request."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.routes import RouteKind
from tests.coordination.requests.change_builders import (
    ASKED,
    CONFIGURATIONS,
    ENDPOINTS,
    KNOWN,
    NO_ENDPOINT,
    REFUSED,
    STAGES,
    base_endpoints,
    base_table,
    change_of,
    hold_of,
    play_change,
)
from tests.schedule_builders import route
from tests.simulated_requests import Behaviour, end_of, play

#: Seconds within which a request is passed on or refused while an endpoint is free.
LOST = 0.2
PAIRS = list(itertools.product(STAGES, [*CONFIGURATIONS, *ENDPOINTS]))


@pytest.mark.parametrize(("stage", "change"), PAIRS)
def test_a_change_beside_a_request(stage, change):
    allowed = {"whole", REFUSED.get(stage, {}).get(change, "whole")}
    for known in KNOWN:
        world = play_change(stage, change, known)
        world.check()
        assert end_of(world.callers[ASKED]) in allowed, known
        assert hold_of(world, stage) <= LOST, known


@pytest.mark.parametrize("stage", ["waiting", "waiting, stream"])
@pytest.mark.parametrize("change", sorted(NO_ENDPOINT))
def test_a_request_that_can_no_longer_be_granted_is_refused_at_once(stage, change):
    for known in ("everywhere", "at the leader and everywhere"):
        world = play_change(stage, change, known)
        assert end_of(world.callers[ASKED]) == "503"
        assert world.callers[ASKED].ended_at - world.changed_at < LOST / 2


@pytest.mark.parametrize("change", ["endpoint removed", "endpoint restarted"])
def test_a_request_does_not_wait_for_a_connection_to_an_endpoint_that_is_gone(change):
    async def scenario(world):
        never = iter([Behaviour(connect=60.0)])
        world.behaviours["e-0"] = lambda *args: next(never, Behaviour())
        router = world.leader()
        world.send(router, ASKED)
        await asyncio.sleep(0.02)
        change_of(world, change, list(world.routers))()

    table = base_table(RouteKind.NON_IDEMPOTENT)
    world = play(scenario, table, base_endpoints())
    world.check()
    assert len(world.sent(ASKED)) == 1
    assert world.longest_hold(ASKED) < 0.03


def test_a_route_without_services_refuses_its_requests():
    with pytest.raises(Refusal) as caught:
        route(services=()).choose_service(0.5)
    assert caught.value.kind is ErrorKind.NO_ENDPOINT
