"""Order of the requests in the queue of a scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Offer


class Rank(NamedTuple):
    """Sort key of a queued request; the lowest is served first.

    Attributes
    ----------
    organisation_not_behind : bool
        Whether its organisation has been granted about as much as others.
    beyond_share : bool
        Whether it exceeds the share of its organisation.
    late : bool
        Whether it has missed its objective already.
    priority : int
        Priority of the request; lower numbers are more urgent.
    route_not_behind : bool
        Whether its route is served about as often as all routes.
    negated_density : int
        Value of the answer per engine time, negated; see `Offer.value_density`.
    due : float
        Monotonic seconds at which the answer is due.
    """

    organisation_not_behind: bool
    beyond_share: bool
    late: bool
    priority: int
    route_not_behind: bool
    negated_density: int
    due: float


@dataclass(slots=True, order=True)
class QueueEntry:
    """A queued request with its sort key."""

    rank: Rank
    offer: Offer = field(compare=False)
