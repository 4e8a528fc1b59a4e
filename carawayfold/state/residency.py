"""Data residency: where a request may run, by the regions of route and organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayfold.state.ids import DataCentreId, OrganisationId, RegionId
    from carawayfold.state.routes import Route, RouteTable


def allowed_data_centres(
    route: Route,
    organisation: OrganisationId,
    table: RouteTable,
    regions: Mapping[DataCentreId, RegionId],
) -> frozenset[DataCentreId] | None:
    """Return the data centres in which a request may run, None for any.

    Where both the route and the organisation are restricted to regions, both
    restrictions apply. A data centre whose region is not known is excluded by
    any restriction. `carawayfold.state.routes.NO_REGIONS` excludes all.

    Parameters
    ----------
    route : Route
        Route of the request.
    organisation : OrganisationId
        Organisation of the request.
    table : RouteTable
        Configuration with the regions of organisations.
    regions : mapping
        Region of each data centre.
    """
    limits = [route.regions, table.regions.get(organisation, ())]
    binding = [set(limit) for limit in limits if limit]
    if not binding:
        return None
    allowed = set.intersection(*binding)
    return frozenset(
        name for name, region in regions.items() if region and region in allowed
    )
