"""Which endpoints state that they are slower than usual, for logs and metrics."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.scheduling.endpoint_speed import SLOW_FACTOR

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.coordination.scheduling.scheduler import Scheduler
    from carawayfold.state.ids import EndpointId

logger = logbook.Logger(__name__)

#: Least seconds between two log lines. Speeds change several times a second.
MIN_LOG_INTERVAL = 1.0
#: Most endpoints that a log line names in each of its lists.
MAX_NAMED_ENDPOINTS = 8


class SlowEndpoints:
    """Endpoints of this router's pools that state that they are slow.

    Attributes
    ----------
    slow : set of EndpointId
        Endpoints whose factor is at least `SLOW_FACTOR` at present.
    logged : set of EndpointId
        Those at the last log line.
    logged_at : float
        Monotonic seconds of the last log line.
    """

    def __init__(self) -> None:
        self.slow: set[EndpointId] = set()
        self.logged: set[EndpointId] = set()
        self.logged_at = -math.inf

    def update(self, schedulers: Iterable[Scheduler], now: float) -> None:
        """Determine the slow endpoints, and log those that changed.

        Parameters
        ----------
        schedulers : iterable of Scheduler
            Schedulers of this router; those of pools that others lead know no figures.
        now : float
            Monotonic seconds.
        """
        self.slow = {
            load.endpoint.id
            for scheduler in schedulers
            for load in scheduler.loads.values()
            if load.stated_speed.factor(now) >= SLOW_FACTOR
        }
        if self.slow == self.logged or now - self.logged_at < MIN_LOG_INTERVAL:
            return
        extra = {
            "slow": len(self.slow),
            "became_slow": sorted(self.slow - self.logged)[:MAX_NAMED_ENDPOINTS],
            "no_longer_slow": sorted(self.logged - self.slow)[:MAX_NAMED_ENDPOINTS],
        }
        logger.info("endpoints slower than usual", extra=extra)
        self.logged, self.logged_at = self.slow, now
