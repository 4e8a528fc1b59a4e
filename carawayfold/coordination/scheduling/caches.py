"""Learns what engines keep in their caches when this router begins to decide for them.

The load it answers: a router that decides is stopped or killed, and the one after it
would send requests to engines that do not keep their prefixes, so that shared parts
would be read once more.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from carawayfold.protocol.sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from carawayfold.coordination.scheduling.desk import Desk, PoolDesk
    from carawayfold.protocol.sources import CacheSource
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import EndpointId, PoolId

logger = logbook.Logger(__name__)

#: Least seconds between two questions to one engine, since answering takes time from
#: its work; a router whose peers come and go begins to decide again and again.
ASK_AGAIN = 3.0


class CacheReader:
    """Asks engines what they keep, once each time this router begins to decide.

    Parameters
    ----------
    source : CacheSource
        Where to ask.
    desk : Desk
        The pools, and the schedulers that learn the answers.
    spawn : callable
        Runs a coroutine as a task.
    """

    def __init__(
        self,
        source: CacheSource,
        desk: Desk,
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self.source = source
        self.desk = desk
        self.spawn = spawn
        self.loop = asyncio.get_running_loop()
        #: Engines of each pool this router decides for, asked since it began to.
        self.asked: dict[PoolId, set[EndpointId]] = {}
        self.asked_at: dict[EndpointId, float] = {}

    def look(self) -> None:
        """Ask the engines that this router has begun to decide for."""
        pools = self.desk.pools
        self.asked = {
            pool: self.asked.get(pool, set())
            for pool in pools
            if self.desk.decides_for(pool)
        }
        for pool, asked in self.asked.items():
            self._look_at(pools[pool], asked)

    def _look_at(self, pool: PoolDesk, asked: set[EndpointId]) -> None:
        if not pool.scheduler.plan.memory_tokens:
            return
        now = self.loop.time()
        for endpoint, load in pool.scheduler.loads.items():
            if endpoint in asked or self.desk.rests.lasts(endpoint, now):
                continue
            asked.add(endpoint)
            if now - self.asked_at.get(endpoint, -ASK_AGAIN) >= ASK_AGAIN:
                self.asked_at[endpoint] = now
                self.spawn(self._ask(pool, load.endpoint))

    async def _ask(self, pool: PoolDesk, endpoint: Endpoint) -> None:
        try:
            kept = await self.source.kept(endpoint)
        except SourceError as error:
            extra = {"endpoint": endpoint.id, "reason": str(error)}
            logger.info("cache not listed", extra=extra)
            return
        pool.scheduler.learn_kept(endpoint.id, kept)
        tokens = sum(part.tokens for part in kept)
        logger.info(
            "cache listed",
            extra={"endpoint": endpoint.id, "parts": len(kept), "tokens": tokens},
        )
