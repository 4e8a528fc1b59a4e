"""Requests that wait longer for an endpoint than was predicted.

Performs no input or output and takes the time as an argument. Designed for requests
that wait for the endpoint with their prefix, while its requests last longer than those
before them. The predicted wait stays short, so the requests would wait beside idle
endpoints until their objective is over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.scheduling.placement import choose_endpoint, has_room

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.copy_sources import CopySource
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.coordination.scheduling.placement import Candidate


def overdue_time(candidate: Candidate, offer: Offer, now: float) -> float:
    """Return the seconds by which a request waited longer than is predicted now."""
    if candidate.starts_in <= 0:
        return 0.0
    return max(0.0, now - offer.arrived - candidate.starts_in)


def replace_overdue(
    candidate: Candidate,
    offer: Offer,
    backlogs: Iterable[Backlog],
    copy_source: CopySource | None,
    share: float,
    now: float,
) -> Candidate:
    """Return an endpoint with room if the wait for another one is overdue.

    A request that has waited longer than is predicted now is expected to wait as long
    again. Its prefix is then prefilled at an endpoint with room, if that costs less.

    Parameters
    ----------
    candidate : Candidate
        Endpoint with the lowest predicted cost.
    offer : Offer
        The request.
    backlogs : iterable of Backlog
        Loads of the endpoints it may run on.
    copy_source : CopySource or None
        Engine from which a cached prefix of the prompt can be copied.
    share : float
        Fraction of each endpoint that this scheduler may fill, 0 to 1.
    now : float
        Monotonic seconds.
    """
    overdue = overdue_time(candidate, offer, now)
    if overdue <= 0:
        return candidate
    free = [item for item in backlogs if has_room(item, offer.prompt_tokens, share)]
    found = choose_endpoint(offer, free, copy_source, share, now)
    if found is None or found.starts_in > 0:
        return candidate
    return found if found.cost < candidate.cost + overdue else candidate
