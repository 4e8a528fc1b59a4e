"""How endpoints are confirmed not to warm up: by the store, or by health checks."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from carawayfold.coordination.scheduling.pending import PoolState
from carawayfold.coordination.scheduling.warm_up_confirmation import (
    DISTRUST_DURATION,
    WarmUpConfirmation,
)
from carawayfold.protocol.sources import SourceError
from tests.coordination.scheduling.test_unconfirmed_warm_up import confirming_pool
from tests.simulated_fleet import simulate

#: Grants that make a confirmation due.
GRANTS = 6


class Rig:
    """A router that leads a pool of one endpoint, with a store and health checks.

    Attributes
    ----------
    store : str
        ``answers``, ``refuses`` or ``hangs``.
    left : float or None
        Seconds of warm-up that the health check states; None if it is not answered.
    """

    def __init__(self, store="answers", left=0.0):
        self.store = store
        self.left = left
        self.loop = asyncio.get_running_loop()
        self.reads = self.checks = self.decided = 0
        self.failed_at = float("-inf")
        self.tasks = set()
        self.pool = PoolState("model/0", confirming_pool())
        self.load = self.pool.scheduler.loads["w-0"]
        coordinator = SimpleNamespace(
            pools={"model/0": self.pool}, decide_soon=self.decide_soon
        )
        self.confirmation = WarmUpConfirmation(
            coordinator, self, self.confirm, lambda: self.failed_at, self.spawn
        )

    def decide_soon(self, pool):
        self.decided += 1

    def spawn(self, work):
        self.tasks.add(asyncio.ensure_future(work))

    async def confirm(self):
        self.reads += 1
        if self.store == "hangs":
            await asyncio.sleep(3600)
        return self.store == "answers"

    async def warm_up_left(self, endpoint, path):
        self.checks += 1
        await asyncio.sleep(0.01)
        if self.left is None:
            raise SourceError("no answer")
        return self.left

    async def grant(self, seconds=0.5):
        """Grant requests, request confirmations and wait for these."""
        for _ in range(GRANTS):
            self.load.warm_up.record_grant(self.loop.time())
        self.confirmation.request(self.pool)
        self.confirmation.request(self.pool)
        await asyncio.sleep(seconds)

    def count(self):
        return self.load.warm_up.count(self.loop.time())


def test_one_read_of_the_store_confirms_all_endpoints():
    async def scenario():
        rig = Rig()
        await rig.grant()
        assert (rig.reads, rig.checks, rig.count()) == (1, 0, 0)
        assert rig.decided == 1

    simulate(scenario)


# Guards against a store that is silent, which is taken for one that has nothing new.
@pytest.mark.parametrize("store", ["refuses", "hangs"])
def test_health_checks_replace_a_store_that_does_not_answer(store):
    async def scenario():
        rig = Rig(store)
        await rig.grant()
        assert (rig.reads, rig.checks, rig.count()) == (1, 1, 0)
        await rig.grant()
        assert (rig.reads, rig.checks, rig.count()) == (1, 2, 0)

    simulate(scenario)


# Guards against entries that endpoints have not written again after an outage.
def test_the_store_confirms_nothing_shortly_after_an_outage():
    async def scenario():
        rig = Rig()
        rig.failed_at = rig.loop.time()
        await rig.grant()
        assert (rig.reads, rig.checks, rig.count()) == (0, 1, 0)
        await asyncio.sleep(DISTRUST_DURATION)
        await rig.grant()
        assert (rig.reads, rig.checks) == (1, 1)

    simulate(scenario)


def test_an_endpoint_that_states_its_warm_up_is_limited():
    async def scenario():
        rig = Rig("refuses", left=3.0)
        await rig.grant()
        now = rig.loop.time()
        assert rig.load.is_warming(now)
        assert not rig.load.is_warming(now + 3.0)
        assert rig.decided

    simulate(scenario)


# Guards against checks in each round of decisions while they fail.
def test_failed_health_checks_are_not_repeated_at_once():
    async def scenario():
        rig = Rig("refuses", left=None)
        for _ in range(20):
            await rig.grant(0.02)
        assert 1 <= rig.checks <= 3
        assert rig.count() == 20 * GRANTS
        assert not rig.confirmation.checking

    simulate(scenario)
