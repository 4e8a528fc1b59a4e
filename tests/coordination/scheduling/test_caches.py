"""A router that begins to decide asks the engines what they keep."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.scheduling.caches import CacheReader
from carawayfold.coordination.scheduling.offers import Granted
from carawayfold.protocol.exchanges import Part
from carawayfold.protocol.sources import SourceError
from tests.coordination.scheduling.test_desk import Wire, decider, desks, play, request


class FakeCaches:
    """Tells that one engine keeps the prefix of request x."""

    def __init__(self, keeper):
        self.keeper = keeper
        self.asked = []

    async def kept(self, endpoint):
        self.asked.append(endpoint.id)
        if self.keeper is None:
            raise SourceError("silent")
        return [Part("t-x", 1000)] if endpoint.id == self.keeper else []


async def learn(desk, source):
    tasks = []
    reader = CacheReader(
        source, desk, lambda work: tasks.append(asyncio.ensure_future(work))
    )
    reader.look()
    reader.look()
    await asyncio.gather(*tasks)
    return reader


def test_the_first_request_goes_where_its_prefix_is_kept():
    async def work():
        places = []
        for keeper in ("e-0", "e-1", "e-2"):
            desk = desks(Wire(), ["a"], endpoints=3)["a"]
            source = FakeCaches(keeper)
            await learn(desk, source)
            decision = await desk.place(request(desk, "x"), "model/0")
            assert isinstance(decision, Granted)
            places.append(decision.endpoint)
            assert sorted(source.asked) == ["e-0", "e-1", "e-2"]
        return places

    assert play(work) == ["e-0", "e-1", "e-2"]


def test_only_the_router_that_decides_asks():
    async def work():
        wire = Wire()
        made = desks(wire, ["a", "b"])
        source = FakeCaches("e-0")
        other = next(name for name in made if name != decider(made))
        await learn(made[other], source)
        return source.asked

    assert play(work) == []


def test_a_router_that_takes_over_asks_then():
    async def work():
        wire = Wire()
        made = desks(wire, ["a", "b"])
        source = FakeCaches("e-0")
        first = decider(made)
        other = next(name for name in made if name != first)
        reader = await learn(made[other], source)
        made[other].fleet.membership.heard(first, stopping=True)
        tasks = []
        reader.spawn = lambda work: tasks.append(asyncio.ensure_future(work))
        reader.look()
        await asyncio.gather(*tasks)
        return sorted(source.asked)

    assert play(work) == ["e-0", "e-1"]


def test_an_engine_that_does_not_say_stops_nothing():
    async def work():
        desk = desks(Wire(), ["a"])["a"]
        await learn(desk, FakeCaches(None))
        return await desk.place(request(desk, "x"), "model/0")

    assert isinstance(play(work), Granted)
