"""Division of the configured endpoints into pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.slots.pool import PoolSpec
from carawayfold.state.configuration import Endpoint
from carawayfold.state.ids import EndpointId, PoolId

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayfold.settings import Settings
    from carawayfold.state.configuration import Snapshot

#: Maximum number of endpoints per pool; small pools distribute the work of granting.
MAX_POOL_SIZE = 8
#: Slots of an endpoint or endpoints of a pool where a baseline has no limit.
UNLIMITED = 1_000_000


def build_pools(
    snapshot: Snapshot,
    leaving: Collection[str],
    settings: Settings,
    local_only: bool = False,
) -> list[PoolSpec]:
    """Return the pools of a configuration.

    Parameters
    ----------
    snapshot : Snapshot
        The configuration.
    leaving : collection of str
        Endpoints that the platform reports as leaving.
    settings : Settings
        The scheduling policy; baselines have a single pool for each service.
    local_only : bool
        Whether to omit pools of other data centres, whose leaders are not linked.

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
        if local_only and item.data_centre != settings.data_centre:
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
    return MAX_POOL_SIZE if settings.scheduling == "granted" else UNLIMITED


def _build_pool(
    service: str,
    data_centre: str,
    start: int,
    endpoints: list[Endpoint],
    settings: Settings,
) -> PoolSpec:
    size = _pool_size(settings)
    chosen = endpoints[start : start + size]
    slots = {EndpointId(item.id): _slots(item, settings) for item in chosen}
    name = PoolId(f"{data_centre}/{service}/{start // size}")
    return PoolSpec(name, service, data_centre, slots)


def _slots(endpoint: Endpoint, settings: Settings) -> int:
    if settings.scheduling == "first-come":
        return UNLIMITED
    if settings.scheduling == "alone":
        return max(1, endpoint.slots // settings.routers_alone)
    return endpoint.slots
