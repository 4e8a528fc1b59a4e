"""Tells once a second what a router decided for each pool, and how late it was."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from carawayfold.state.ids import PoolId
    from carawayfold.state.usage import UsageBook

logger = logbook.Logger(__name__)

#: Seconds that a line covers.
INTERVAL = 1.0
#: Organisations in a line, those that asked for most.
NAMED = 3


class Tally(msgspec.Struct):
    """What a router did for one pool since the last line.

    Attributes
    ----------
    offers, again, withdrawn : int
        Requests offered, offers of those that were known already, and withdrawals.
    granted, turned_away : int
        Decisions.
    held_back : int
        Requests of callers here that were not offered, see `HeldBack`.
    rounds : int
        Rounds of decisions.
    spent : float
        Seconds that they took.
    latest : float
        Most seconds by which a round was late.
    """

    offers: int = 0
    again: int = 0
    withdrawn: int = 0
    granted: int = 0
    turned_away: int = 0
    held_back: int = 0
    rounds: int = 0
    spent: float = 0.0
    latest: float = 0.0


class Tallies:
    """Tallies of all pools.

    Attributes
    ----------
    alone : int
        Requests granted here since the start for pools that this router does not
        lead.
    unknown : int
        Offers for pools that this router doesn't have, since the last lines.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.pools: dict[PoolId, Tally] = {}
        self.alone = 0
        self.unknown = 0
        self.since = self.loop.time()

    def of(self, pool: PoolId) -> Tally:
        """Return the tally of a pool."""
        tally = self.pools.get(pool)
        if tally is None:
            tally = self.pools[pool] = Tally()
        return tally

    def is_due(self) -> bool:
        """Return whether it is time for lines."""
        return self.loop.time() - self.since >= INTERVAL

    def write(self, accounts: dict[PoolId, UsageBook], led: set[PoolId]) -> None:
        """Write a line on each pool for which anything was asked.

        Parameters
        ----------
        accounts : dict
            What organisations asked for and got, by pool.
        led : set of PoolId
            Pools for which this router decides for the fleet.
        """
        covered = self.loop.time() - self.since
        for pool, tally in self.pools.items():
            if pool in accounts:
                self._write_one(pool, tally, accounts[pool], pool in led, covered)
        if self.unknown:
            extra = {"offers": self.unknown, "seconds": round(covered, 2)}
            logger.info("offered unknown pools", extra=extra)
        self.unknown = 0
        self.pools.clear()
        self.since = self.loop.time()

    def _write_one(
        self,
        pool: PoolId,
        tally: Tally,
        account: UsageBook,
        leads: bool,
        covered: float,
    ) -> None:
        logger.info(
            "pool decided",
            extra={
                "pool": pool,
                "leads": leads,
                "seconds": round(covered, 2),
                "offers": tally.offers,
                "again": tally.again,
                "withdrawn": tally.withdrawn,
                "granted": tally.granted,
                "turned_away": tally.turned_away,
                "held_back": tally.held_back,
                "rounds": tally.rounds,
                "spent_ms": round(tally.spent * 1000, 1),
                "late_ms": round(tally.latest * 1000, 1),
                "organisations": [
                    [name, round(asked), round(granted)]
                    for name, asked, granted in account.most_asked(NAMED)
                ],
            },
        )
