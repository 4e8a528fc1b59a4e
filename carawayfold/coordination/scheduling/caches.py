"""Reading of the engines' prefix caches when this router becomes leader of a pool.

Without this, a router that replaces a stopped or failed leader would send requests to
engines that don't have their prefixes cached, and shared parts would be prefilled
again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from carawayfold.protocol.sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from carawayfold.coordination.scheduling.coordinator import (
        PoolState,
        SchedulingCoordinator,
    )
    from carawayfold.protocol.sources import CacheReporter
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import EndpointId, PoolId

logger = logbook.Logger(__name__)

#: Minimum seconds between two queries of one engine. A query takes time from the
#: engine's work, and a router whose peers join and leave becomes leader repeatedly.
MIN_QUERY_INTERVAL = 3.0


class CacheReader:
    """Queries the caches of engines, once each time this router becomes leader.

    Parameters
    ----------
    source : CacheReporter
        Client of the cache listings.
    coordinator : SchedulingCoordinator
        Pools and schedulers that receive the listings.
    spawn : callable
        Runs a coroutine as a task.
    """

    def __init__(
        self,
        source: CacheReporter,
        coordinator: SchedulingCoordinator,
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self.source = source
        self.coordinator = coordinator
        self.spawn = spawn
        self.loop = asyncio.get_running_loop()
        #: Engines of each pool this router leads that were queried since it became
        #: leader.
        self.queried: dict[PoolId, set[EndpointId]] = {}
        self.queried_at: dict[EndpointId, float] = {}

    def query_new_engines(self) -> None:
        """Query the engines of pools that this router has become leader of."""
        pools = self.coordinator.pools
        self.queried = {
            pool: self.queried.get(pool, set())
            for pool in pools
            if self.coordinator.decides_for(pool)
        }
        for pool, queried in self.queried.items():
            self._query_pool(pools[pool], queried)

    def _query_pool(self, pool: PoolState, queried: set[EndpointId]) -> None:
        if not pool.scheduler.plan.memory_tokens:
            return
        now = self.loop.time()
        for endpoint, load in pool.scheduler.loads.items():
            if endpoint in queried or self.coordinator.rests.is_backing_off(
                endpoint, now
            ):
                continue
            queried.add(endpoint)
            if (
                now - self.queried_at.get(endpoint, -MIN_QUERY_INTERVAL)
                >= MIN_QUERY_INTERVAL
            ):
                self.queried_at[endpoint] = now
                self.spawn(self._query(pool, load.endpoint))

    async def _query(self, pool: PoolState, endpoint: Endpoint) -> None:
        try:
            cached = await self.source.cached_parts(endpoint)
        except SourceError as error:
            extra = {"endpoint": endpoint.id, "reason": str(error)}
            logger.info("cache not listed", extra=extra)
            return
        pool.scheduler.record_cached_prefixes(endpoint.id, cached)
        tokens = sum(part.tokens for part in cached)
        logger.info(
            "cache listed",
            extra={"endpoint": endpoint.id, "parts": len(cached), "tokens": tokens},
        )
