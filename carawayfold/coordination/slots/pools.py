"""Which pools the configured endpoints form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.slots.pool import PoolSpec
from carawayfold.state.configuration import Endpoint
from carawayfold.state.ids import EndpointId, PoolId

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayfold.settings import Settings
    from carawayfold.state.configuration import Snapshot

#: Most endpoints of one pool, so that the work of granting is spread.
POOL_SIZE = 8
#: Slots of an endpoint where the baseline sets no bound.
UNBOUNDED = 1_000_000


def build_pools(
    snapshot: Snapshot,
    leaving: Collection[str],
    settings: Settings,
    near_only: bool = False,
) -> list[PoolSpec]:
    """Return the pools of a configuration.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration.
    leaving : collection of str
        Endpoints that the platform says are leaving.
    settings : Settings
        The scheduling policy; baselines use one pool a service.
    near_only : bool
        Leave out the pools of other data centres, whose granters are not linked.

    Returns
    -------
    list of PoolSpec
        The same on every router with the same configuration and list.
    """
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for key in sorted(snapshot.entries):
        item = snapshot.entries[key].object
        if not isinstance(item, Endpoint) or item.draining or item.id in leaving:
            continue
        if near_only and item.data_centre != settings.data_centre:
            continue
        granted = settings.scheduling == "granted"
        data_centre = item.data_centre if granted else settings.data_centre
        groups.setdefault((item.service, data_centre), []).append(item)
    return [
        _build_pool(service, data_centre, start, endpoints, settings)
        for (service, data_centre), endpoints in groups.items()
        for start in range(0, len(endpoints), _pool_size(settings))
    ]


def _pool_size(settings: Settings) -> int:
    return POOL_SIZE if settings.scheduling == "granted" else UNBOUNDED


def _build_pool(
    service: str,
    data_centre: str,
    start: int,
    endpoints: list[Endpoint],
    settings: Settings,
) -> PoolSpec:
    size = _pool_size(settings)
    part = endpoints[start : start + size]
    slots = {EndpointId(item.id): _slots(item, settings) for item in part}
    name = PoolId(f"{data_centre}/{service}/{start // size}")
    return PoolSpec(name, service, data_centre, slots)


def _slots(endpoint: Endpoint, settings: Settings) -> int:
    if settings.scheduling == "first-come":
        return UNBOUNDED
    if settings.scheduling == "alone":
        return max(1, endpoint.slots // settings.routers_alone)
    return endpoint.slots
