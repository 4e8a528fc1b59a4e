"""Confirms that endpoints do not warm up, where grants depend on it.

Endpoints state in their entries that they warm up. While the store is silent, or has
been until a moment ago, the entries prove nothing; then the health checks of single
endpoints are used. Confirmations are requested by grants only: endpoints that get fewer
requests than they tolerate while they warm up need none.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from carawayfold.protocol.sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from carawayfold.coordination.scheduling.coordinator import SchedulingCoordinator
    from carawayfold.coordination.scheduling.endpoint_load import EndpointLoad
    from carawayfold.coordination.scheduling.pending import PoolState
    from carawayfold.protocol.sources import WarmUpReporter
    from carawayfold.state.ids import EndpointId

logger = logbook.Logger(__name__)

#: Seconds within which the store must confirm its records; requests wait meanwhile.
STORE_TIMEOUT = 0.1
#: Seconds after a failed call of the store for which its records confirm nothing.
#: Endpoints write their entries again within about two seconds of an outage.
DISTRUST_DURATION = 2.5


class WarmUpConfirmation:
    """Requests confirmations for the pools of this router's schedulers.

    Parameters
    ----------
    coordinator : SchedulingCoordinator
        Pools and schedulers that receive the confirmations.
    source : WarmUpReporter
        Client of the health checks.
    confirm_entries : callable
        Returns whether all entries that were written before the call are known.
    store_failed_at : callable
        Returns the loop time in seconds of the last failed call of the store.
    spawn : callable
        Runs a coroutine as a task.
    """

    def __init__(
        self,
        coordinator: SchedulingCoordinator,
        source: WarmUpReporter,
        confirm_entries: Callable[[], Awaitable[bool]],
        store_failed_at: Callable[[], float],
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self.coordinator = coordinator
        self.source = source
        self.confirm_entries = confirm_entries
        self.store_failed_at = store_failed_at
        self.spawn = spawn
        self.loop = asyncio.get_running_loop()
        #: Whether the store is being read.
        self.reading = False
        #: Endpoints whose health check has not been answered yet.
        self.checking: set[EndpointId] = set()
        #: Loop time until which the records of the store confirm nothing.
        self.distrusted_until = float("-inf")

    def request(self, pool: PoolState) -> None:
        """Request the confirmations that are due in a pool."""
        now = self.loop.time()
        if not pool.scheduler.loads_to_confirm(now):
            return
        if now < max(self.distrusted_until, self.store_failed_at() + DISTRUST_DURATION):
            self._check_endpoints(pool, now)
        elif not self.reading:
            self.reading = True
            self.spawn(self._read_store())

    async def _read_store(self) -> None:
        """Confirm all endpoints by a read of the store."""
        started_at = self.loop.time()
        try:
            confirmed = await asyncio.wait_for(self.confirm_entries(), STORE_TIMEOUT)
        except TimeoutError:
            confirmed = False
        finally:
            self.reading = False
        if not confirmed:
            self.distrusted_until = self.loop.time() + DISTRUST_DURATION
        for pool in list(self.coordinator.pools.values()):
            if confirmed:
                pool.scheduler.confirm_entries(started_at)
                self.coordinator.decide_soon(pool)
            else:
                self.request(pool)

    def _check_endpoints(self, pool: PoolState, now: float) -> None:
        for load in pool.scheduler.loads_to_confirm(now):
            if load.endpoint.id not in self.checking and now >= load.warm_up.retry_at:
                self.checking.add(load.endpoint.id)
                self.spawn(self._check(pool, load))

    async def _check(self, pool: PoolState, load: EndpointLoad) -> None:
        """Ask an endpoint how long it still warms up."""
        endpoint = load.endpoint
        started_at = self.loop.time()
        try:
            left = await self.source.warm_up_left(
                endpoint, pool.scheduler.plan.health_path
            )
        except SourceError as error:
            if not load.warm_up.confirmation_failed:
                extra = {"endpoint": endpoint.id, "reason": str(error)}
                logger.info("warm-up not known", extra=extra)
            load.warm_up.fail(self.loop.time())
            return
        finally:
            self.checking.discard(endpoint.id)
        if left:
            pool.scheduler.record_warm_up(load, left, self.loop.time())
            extra = {"endpoint": endpoint.id, "warm_in_ms": round(left * 1000)}
            logger.info("endpoint warms up, by its health check", extra=extra)
        else:
            load.warm_up.confirm(started_at)
        self.coordinator.decide_soon(pool)
