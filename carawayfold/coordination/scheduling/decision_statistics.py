"""Statistics of scheduling decisions by pool, logged once a second."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import PoolLoad
    from carawayfold.state.ids import PoolId
    from carawayfold.state.usage import UsageTable

logger = logbook.Logger(__name__)

#: Seconds between log lines on a pool.
LOG_INTERVAL = 1.0
#: Maximum organisations in a log line, those that requested most.
MAX_NAMED_ORGANISATIONS = 3


class PoolStatistics(msgspec.Struct):
    """Counts of one pool since the last log line.

    Attributes
    ----------
    offers, repeated, withdrawn : int
        Requests offered, repeated offers of queued requests, and withdrawals.
    granted, rejected : int
        Decisions.
    throttled : int
        Requests of this router's callers that were not offered, see
        `AdmissionControl`.
    rounds : int
        Rounds of decisions.
    time_spent : float
        Seconds spent in these rounds.
    max_delay : float
        Maximum seconds by which a round started late.
    moved_first, moved_later : int
        Requests of this router's callers that were offered to this pool instead of the
        pool of their prefix: at first, and after another pool.
    load : PoolLoad or None
        Last load of the pool; None if this router doesn't lead it, or without balance
        between pools.
    """

    offers: int = 0
    repeated: int = 0
    withdrawn: int = 0
    granted: int = 0
    rejected: int = 0
    throttled: int = 0
    rounds: int = 0
    time_spent: float = 0.0
    max_delay: float = 0.0
    moved_first: int = 0
    moved_later: int = 0
    load: PoolLoad | None = None


class SchedulingStatistics:
    """Statistics of all pools.

    Attributes
    ----------
    pools : dict
        Statistics of each pool.
    alone : int
        Requests granted here since the process started for pools that this router
        doesn't lead.
    unknown_pool_offers : int
        Offers for pools that this router doesn't have, since the last log lines.
    pool_moves : Counter
        Requests since the process started that were offered to another pool than that
        of their prefix: at the ``first`` offer, while ``waiting`` in a pool, or when
        ``rejected`` by one. Counted with balance between pools only.
    since : float
        Loop time of the last log lines.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.pools: dict[PoolId, PoolStatistics] = {}
        self.alone = 0
        self.unknown_pool_offers = 0
        self.pool_moves: Counter[str] = Counter()
        self.since = self.loop.time()

    def of(self, pool: PoolId) -> PoolStatistics:
        """Return the statistics of a pool."""
        statistics = self.pools.get(pool)
        if statistics is None:
            statistics = self.pools[pool] = PoolStatistics()
        return statistics

    def is_due(self) -> bool:
        """Return whether log lines are due."""
        return self.loop.time() - self.since >= LOG_INTERVAL

    def write(
        self,
        accounts: dict[PoolId, UsageTable],
        leading: set[PoolId],
        details: dict[PoolId, dict[str, float]] | None = None,
    ) -> None:
        """Log a line on each pool with activity, and reset the counts.

        Parameters
        ----------
        accounts : dict
            Usage of organisations, by pool.
        leading : set of PoolId
            Pools of which this router is the leader.
        details : dict, optional
            Further fields of the lines, by pool.
        """
        details = details or {}
        seconds = self.loop.time() - self.since
        for pool, statistics in self.pools.items():
            if pool in accounts:
                self._write_one(
                    pool,
                    statistics,
                    accounts[pool],
                    pool in leading,
                    seconds,
                    details.get(pool, {}),
                )
        if self.unknown_pool_offers:
            extra = {"offers": self.unknown_pool_offers, "seconds": round(seconds, 2)}
            logger.info("offered unknown pools", extra=extra)
        self.unknown_pool_offers = 0
        self.pools.clear()
        self.since = self.loop.time()

    def _write_one(
        self,
        pool: PoolId,
        statistics: PoolStatistics,
        account: UsageTable,
        leads: bool,
        seconds: float,
        details: dict[str, float],
    ) -> None:
        load = statistics.load
        logger.info(
            "pool decided",
            extra={
                "pool": pool,
                "leads": leads,
                "seconds": round(seconds, 2),
                "offers": statistics.offers,
                "again": statistics.repeated,
                "withdrawn": statistics.withdrawn,
                "granted": statistics.granted,
                "turned_away": statistics.rejected,
                "held_back": statistics.throttled,
                "rounds": statistics.rounds,
                "spent_ms": round(statistics.time_spent * 1000, 1),
                "late_ms": round(statistics.max_delay * 1000, 1),
                "moved_first": statistics.moved_first,
                "moved_later": statistics.moved_later,
                "wait_ms": round(load.wait * 1000) if load else None,
                "used": round(load.used, 3) if load else None,
                "organisations": [
                    [name, round(requested), round(granted)]
                    for name, requested, granted in account.top_requesters(
                        MAX_NAMED_ORGANISATIONS
                    )
                ],
                **details,
            },
        )
