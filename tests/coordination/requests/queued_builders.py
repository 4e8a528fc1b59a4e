"""A request that waits at the leader of its pool while that leader has trouble."""

from __future__ import annotations

import asyncio

from carawayfold.state.routes import RouteKind
from tests.coordination.requests.change_builders import (
    ASKED,
    base_endpoints,
    base_table,
    models_of,
    occupy,
)
from tests.simulated_holds import TroubledFleet, kill
from tests.simulated_requests import play

#: Seconds after which the request comes, and after it the trouble.
ASKED_AFTER, TROUBLE_AFTER = 0.1, 0.1

#: Troubles of a leader: functions of the world and the leader.
TROUBLES = {
    "none": lambda world, leader: None,
    "restarted at once": lambda world, leader: kill(world, leader, 0.02),
    "restarted": lambda world, leader: kill(world, leader, 0.5),
    "killed": lambda world, leader: kill(world, leader, None),
    "stands still 0.3 s": lambda world, leader: world.fleet.stand_still(leader, 0.3),
    "stands still 1.5 s": lambda world, leader: world.fleet.stand_still(leader, 1.5),
    "cut off": lambda world, leader: world.fleet.cut_off.add(leader),
    "gives up": lambda world, leader: world.fleet.routers[leader].set_lagging(True),
}


def play_queued(trouble, busy):
    """Return the world, and for how long the request stayed beside a free endpoint.

    Parameters
    ----------
    trouble : str
        One of `TROUBLES`.
    busy : float
        Seconds for which all endpoints are taken.
    """

    async def scenario(world):
        router, leader = world.other(), world.leader()
        occupy(world, router, models_of(world), busy)
        await asyncio.sleep(ASKED_AFTER)
        world.send(router, ASKED)
        await asyncio.sleep(TROUBLE_AFTER)
        TROUBLES[trouble](world, leader)

    table = base_table(RouteKind.NON_IDEMPOTENT)
    world = play(scenario, table, base_endpoints(), 1, TroubledFleet)
    free_at = world.callers[ASKED].received + busy - ASKED_AFTER
    return world, world.longest_hold(ASKED, free_at)
