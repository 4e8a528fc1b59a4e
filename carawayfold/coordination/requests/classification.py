"""Route, organisation and limits of a request, from its headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.residency import allowed_data_centres
from carawayfold.state.routes import ANONYMOUS, KeyPolicy

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayfold.protocol.exchanges import RequestFields
    from carawayfold.state.ids import DataCentreId, OrganisationId, RegionId
    from carawayfold.state.routes import Route, RouteIndex, RouteTable

#: Seconds before the caller's timeout, or the route's, at which a request gets its
#: final answer. Covers the network delay back to the caller and late timers.
ANSWER_MARGIN = 0.03
#: Seconds allowed for a request whose caller states no timeout.
DEFAULT_REQUEST_TIMEOUT = 60.0


class Classification(msgspec.Struct, frozen=True):
    """What the configuration says about a request.

    Attributes
    ----------
    route : Route
        Route that matched the host and path.
    organisation : OrganisationId
        Organisation of the API key, or `ANONYMOUS`.
    priority : int
        Priority of the organisation, or of the route by default.
    allowed : frozenset of DataCentreId or None
        Data centres in which the request may run; None for any.
    """

    route: Route
    organisation: OrganisationId
    priority: int
    allowed: frozenset[DataCentreId] | None


def classify(
    parsed: RequestFields,
    target: bytes,
    index: RouteIndex | None,
    regions: Mapping[DataCentreId, RegionId],
) -> Classification:
    """Return what the configuration says about a request.

    Parameters
    ----------
    parsed : RequestFields
        Parsed headers of the request.
    target : bytes
        Its path with the query.
    index : RouteIndex or None
        Routes of the configuration in force; None until one is known.
    regions : mapping
        Region of each data centre.

    Raises
    ------
    Refusal
        ``not-ready``, ``unknown-route`` or ``unknown-key``.
    """
    if index is None:
        raise Refusal(ErrorKind.NOT_READY)
    route = index.find(parsed.host, target.partition(b"?")[0])
    if route is None:
        raise Refusal(ErrorKind.UNKNOWN_ROUTE)
    table = index.table
    organisation = _organisation(table, route, parsed)
    return Classification(
        route,
        organisation,
        table.priorities.get(organisation, route.priority),
        allowed_data_centres(route, organisation, table, regions),
    )


def _organisation(
    table: RouteTable, route: Route, parsed: RequestFields
) -> OrganisationId:
    if route.anonymous or table.key_policy is KeyPolicy.NOT_REQUIRED:
        return ANONYMOUS
    organisation = table.organisations.get(parsed.key) if parsed.key else None
    if organisation is None:
        raise Refusal(ErrorKind.UNKNOWN_KEY)
    return organisation


def time_left(parsed: RequestFields) -> float:
    """Return the seconds until the caller of a request stops waiting."""
    return DEFAULT_REQUEST_TIMEOUT if parsed.time_left is None else parsed.time_left


def time_to_answer(parsed: RequestFields, route: Route) -> float:
    """Return the seconds within which a request gets its final answer."""
    return min(time_left(parsed), route.timeout) - ANSWER_MARGIN
