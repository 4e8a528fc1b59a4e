"""Proofs of origins by followers of a store, with no stand-ins for what they read."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from carawayfold.coordination.fleet.hubs import Role
from carawayfold.coordination.knowledge import followers
from carawayfold.coordination.knowledge.confirmation import StoreConfirmation
from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.coordination.requests.stream_origins import StreamOrigins
from carawayfold.protocol.sources import EndpointChange, Page, SourceError
from carawayfold.state.route_history import RouteHistory
from carawayfold.state.stream_origins import Origin, OriginSource, ProofFailure
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate
from tests.simulated_streams import ROUTE, route_table

#: Seconds until the store answers, and between two looks of a read that waits.
DELAY = 0.004
POLL_INTERVAL = 0.05
V1 = Origin("model", "v1")


class SimulatedTopic:
    """Topic of a store whose waiting reads may be told late of new records."""

    def __init__(self, *records):
        self.records = list(records)
        self.silent = False
        self.tells_waiting_reads = True

    async def newest(self):
        return await self._answer(0)

    async def read(self, start, wait):
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while loop.time() < end:
            if self.tells_waiting_reads and len(self.records) > start:
                break
            await asyncio.sleep(POLL_INTERVAL)
        if wait and not self.tells_waiting_reads:
            return Page([], start)
        return await self._answer(start)

    async def _answer(self, start):
        await asyncio.sleep(DELAY)
        if self.silent:
            raise SourceError("silent")
        return Page(self.records[start:], len(self.records))


class OneRouter:
    """A router that follows the store and has no peers."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.operators = SimulatedTopic(route_table())
        first = endpoint("e-1", software="v1")
        self.endpoints = SimulatedTopic(EndpointChange("e-1", first))
        self.knowledge = Knowledge(lambda table: None, lambda: None)
        self.knowledge.evacuations.known = True
        self.followers = [
            followers.follow_operators(
                self.operators, self.knowledge, self.at_once, lambda: False
            ),
            followers.follow_endpoints(
                self.endpoints, self.knowledge, self.at_once, lambda: False
            ),
        ]
        self.tasks = [self.loop.create_task(item.follow()) for item in self.followers]
        own = SimpleNamespace(router="r-0", data_centre="north")
        fleet = SimpleNamespace(
            own=own,
            role=Role.MESH,
            hubs=lambda: [own],
            send=lambda *args: None,
            send_at_once=lambda *args: None,
        )
        self.origins = StreamOrigins(
            fleet,
            self.knowledge,
            lambda: 0.0,
            StoreConfirmation(self.followers).confirm,
            self.loop.create_task,
        )

    async def at_once(self):
        """Let a follower read at once."""

    async def find(self, name):
        """Return what the router finds of a stream that it has no record of."""
        return await self.origins.find(name, ROUTE)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def run_router(work, after):
    """Return the result of `work` on a router that has run for some seconds."""

    async def run():
        router = OneRouter()
        await asyncio.sleep(after)
        try:
            return await work(router)
        finally:
            await router.close()

    return simulate(run)


ESTABLISHED = RouteHistory().window + 1


def test_the_store_proves_the_only_version():
    async def work(router):
        return await router.find("s")

    finding = run_router(work, ESTABLISHED)
    assert (finding.origin, finding.source) == (V1, OriginSource.SOLE)


def test_a_router_that_has_just_started_proves_nothing():
    async def work(router):
        return await router.find("s")

    finding = run_router(work, ESTABLISHED - 5.0)
    assert (finding.origin, finding.failure) == (None, ProofFailure.HISTORY)


def test_a_version_that_only_the_store_knows_yet_is_no_other_ones_stream():
    """The waiting read has not told of it; the read on demand does."""

    async def work(router):
        router.endpoints.tells_waiting_reads = False
        added = endpoint("e-2", software="v2")
        router.endpoints.records.append(EndpointChange("e-2", added))
        return await router.find("s")

    finding = run_router(work, ESTABLISHED)
    assert (finding.origin, finding.failure) == (None, ProofFailure.NOT_SOLE)


def test_a_service_that_only_the_store_knows_yet_is_no_other_ones_stream():
    async def work(router):
        router.operators.tells_waiting_reads = False
        router.operators.records.append(route_table(services=("other",)))
        return await router.find("s")

    finding = run_router(work, ESTABLISHED)
    assert (finding.origin, finding.failure) == (None, ProofFailure.NOT_SOLE)


@pytest.mark.parametrize("topic", ["operators", "endpoints"])
def test_a_topic_that_is_silent_proves_nothing(topic):
    async def work(router):
        getattr(router, topic).silent = True
        return await router.find("s")

    finding = run_router(work, ESTABLISHED)
    assert (finding.origin, finding.failure) == (None, ProofFailure.STORE)
