"""Optional decisions of the schedulers, switched on by the settings of a router."""

from __future__ import annotations

import msgspec


class SchedulingFeatures(msgspec.Struct, frozen=True):
    """Optional decisions that a fleet uses; all are off by default.

    Attributes
    ----------
    balance_pools : bool
        Whether requests are first offered to a pool with a short wait.
    reuse_connections : bool
        Whether endpoints to which a router has an open connection are preferred.
    endpoint_load : bool
        Whether the speed and load that endpoints state in answers are used.
    schedule_returns : bool
        Whether rejected requests return in the order of a schedule.
    remote_cost : float
        Seconds of waiting that a megabyte of traffic between data centres is worth; 0
        if other data centres have a constant penalty.
    """

    balance_pools: bool = False
    reuse_connections: bool = False
    endpoint_load: bool = False
    schedule_returns: bool = False
    remote_cost: float = 0.0
