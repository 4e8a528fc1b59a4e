"""Returns of one caller at several routers, or several at one."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.requests.stream_origins import QUERY_TIMEOUT
from carawayfold.state.stream_origins import Origin, stream_id
from tests.simulated_fleet import simulate, started
from tests.simulated_streams import SETTLED, SimulatedStreams

#: Seconds in which a report has surely arrived.
REPORTED = 0.1
#: Seconds before the end of a query at which another one of the stream begins.
LATE = 0.0001


def run_fleet(work, settled=SETTLED):
    """Return the result of `work` on six routers that know two versions.

    It begins `settled` seconds after they were started.
    """

    async def run():
        fleet = started(6, 3)
        streams = SimulatedStreams(fleet)
        await asyncio.sleep(settled)
        try:
            return await work(fleet, streams)
        finally:
            await fleet.close()

    return simulate(run)


def test_returns_at_all_routers_at_once_find_the_same_origin():
    async def work(fleet, world):
        world.begin("s", "r-0", "v1")
        await asyncio.sleep(REPORTED)
        return await asyncio.gather(*[world.resume("s", x) for x in fleet.routers])

    assert run_fleet(work) == [Origin("model", "v1")] * 6


def test_a_stream_goes_on_once_more_at_each_router_of_its_chain():
    async def work(fleet, world):
        world.begin("s", "r-0", "v1")
        found = []
        for name in fleet.routers:
            await asyncio.sleep(REPORTED)
            found.append(await world.resume("s", name))
            world.begin("s", name, "v1")
        return found

    assert run_fleet(work) == [Origin("model", "v1")] * 6


def test_a_request_id_used_at_two_routers_was_resumed_at_either_version():
    async def work(fleet, world):
        world.begin("s", "r-0", "v1")
        await asyncio.sleep(REPORTED)
        world.begin("s", "r-1", "v2")
        await asyncio.sleep(REPORTED)
        return {name: await world.resume("s", name) for name in fleet.routers}

    assert set(run_fleet(work).values()) == {None}


def test_a_return_during_the_query_of_another_one_was_refused():
    """Its replies were dropped once the first query had ended."""

    async def work(fleet, world):
        world.begin("s", "r-0", "v1")
        await asyncio.sleep(REPORTED)
        holders = world.routers["r-0"].origins._holders(stream_id("alder", "s"))
        asker = next(x for x in fleet.routers if x not in {"r-0", *holders})
        fleet.loss = 1.0
        first = asyncio.create_task(world.resume("s", asker))
        await asyncio.sleep(QUERY_TIMEOUT - LATE)
        second = asyncio.create_task(world.resume("s", asker))
        found = await first
        fleet.loss = 0.0
        return found, await second

    assert run_fleet(work) == (None, Origin("model", "v1"))


def test_a_stream_begun_before_its_router_knew_its_peers_was_never_reported():
    async def work(fleet, world):
        while "r-0" not in world.routers:
            await asyncio.sleep(0.001)
        world.begin("s", "r-0", "v1")
        await asyncio.sleep(SETTLED)
        fleet.kill("r-0")
        return [await world.resume("s", name) for name in fleet.routers]

    assert run_fleet(work, settled=0.0) == [Origin("model", "v1")] * 5
