"""Order of the requests in the queue of a scheduler."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from carawayfold.coordination.scheduling.offers import OUTPUT_TOKEN_WEIGHT

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Offer

#: Tokens added to the cost of a request, so that very small ones don't count as free.
FIXED_COST_TOKENS = 200


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


def compute_value_density(offer: Offer, kept: int) -> int:
    """Return the value of the answer per engine time, as a power of two.

    Value and cost are estimates, so only the power of two counts: requests within a
    factor of two are ordered by when they are due.

    Parameters
    ----------
    offer : Offer
        The request.
    kept : int
        Most tokens of its prompt that an endpoint has cached.
    """
    # A caller may state fewer tokens than the parts of its prompt have.
    unread = max(0, offer.prompt_tokens - kept)
    cost = unread + OUTPUT_TOKEN_WEIGHT * offer.output_tokens
    return math.floor(math.log2((offer.answer_value + 1) / (cost + FIXED_COST_TOKENS)))
