"""Queries of the engines' caches by a router that becomes leader of a pool."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.scheduling.caches import CacheReader
from carawayfold.coordination.scheduling.offers import Granted
from carawayfold.protocol.exchanges import Part
from carawayfold.protocol.sources import SourceError
from tests.coordination.scheduling.test_coordinator import (
    SimulatedNetwork,
    coordinators,
    decider,
    play,
    request,
)


class FakeCaches:
    """Lists the prefix of request x as cached at one engine."""

    def __init__(self, keeper):
        self.keeper = keeper
        self.asked = []

    async def cached_parts(self, endpoint):
        self.asked.append(endpoint.id)
        if self.keeper is None:
            raise SourceError("silent")
        return [Part("t-x", 1000)] if endpoint.id == self.keeper else []


async def learn(coordinator, source):
    tasks = []
    reader = CacheReader(
        source, coordinator, lambda work: tasks.append(asyncio.ensure_future(work))
    )
    reader.query_new_engines()
    reader.query_new_engines()
    await asyncio.gather(*tasks)
    return reader


def test_the_first_request_goes_to_the_engine_with_its_prefix():
    async def work():
        places = []
        for keeper in ("e-0", "e-1", "e-2"):
            coordinator = coordinators(SimulatedNetwork(), ["a"], endpoints=3)["a"]
            source = FakeCaches(keeper)
            await learn(coordinator, source)
            decision = await coordinator.place(request(coordinator, "x"), "model/0")
            assert isinstance(decision, Granted)
            places.append(decision.endpoint)
            assert sorted(source.asked) == ["e-0", "e-1", "e-2"]
        return places

    assert play(work) == ["e-0", "e-1", "e-2"]


def test_only_the_leader_queries_caches():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"])
        source = FakeCaches("e-0")
        other = next(name for name in made if name != decider(made))
        await learn(made[other], source)
        return source.asked

    assert play(work) == []


def test_a_new_leader_queries_caches():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"])
        source = FakeCaches("e-0")
        first = decider(made)
        other = next(name for name in made if name != first)
        reader = await learn(made[other], source)
        made[other].fleet.membership.record_contact(first, stopping=True)
        tasks = []
        reader.spawn = lambda work: tasks.append(asyncio.ensure_future(work))
        reader.query_new_engines()
        await asyncio.gather(*tasks)
        return sorted(source.asked)

    assert play(work) == ["e-0", "e-1"]


def test_a_failed_cache_query_does_not_stop_scheduling():
    async def work():
        coordinator = coordinators(SimulatedNetwork(), ["a"])["a"]
        await learn(coordinator, FakeCaches(None))
        return await coordinator.place(request(coordinator, "x"), "model/0")

    assert isinstance(play(work), Granted)
