"""Rules by which a scheduler rejects requests, without the state of its queue."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from carawayfold.coordination.scheduling.backlog import Backlog
from carawayfold.coordination.scheduling.copy_sources import MIN_COPIED_TOKENS
from carawayfold.coordination.scheduling.offers import UNKNOWN_POOL, Rejected

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from carawayfold.coordination.scheduling.endpoint_load import EndpointLoad
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.state.ids import CallId, EndpointId, RouterId

#: Fraction of its objective by which the predicted first token of a request may be
#: late before the request is rejected; allows for the error of predictions.
PREDICTION_MARGIN = 0.15
#: Fraction of its own prefill time by which a request may miss its objective.
#: Otherwise, prompts whose prefill takes most of the objective would never be served.
OWN_PREFILL_FRACTION = 0.6
#: Fraction of its total time that a request past its objective may wait for idle
#: capacity.
LATE_WAIT_FRACTION = 0.02
#: Bounds in seconds of the retry delay of rejected requests.
MIN_RETRY_AFTER = 0.3
MAX_RETRY_AFTER = 5.0
#: Retry delay of requests that can't be answered in time, as a multiple of their
#: predicted wait, so that the queue is shorter by then.
LATE_RETRY_FACTOR = 2.0
#: Maximum retry delay as a fraction of the time until the request expires.
MAX_RETRY_FRACTION = 1 / 3
#: Seconds for which a pool counts as full after it rejected a request that could not
#: be in time.
FULL_DURATION = 0.5
#: Retry delay in seconds of requests for a pool that its leader doesn't have. Both
#: routers have read the same registrations by then.
UNKNOWN_POOL_RETRY_AFTER = 1.0
#: The same for a service that has no pools.
NO_ENDPOINTS_RETRY_AFTER = 1.0


def is_too_late(offer: Offer, first_token_in: float, speed: float, now: float) -> bool:
    """Return whether a request can't be answered in time any more.

    Parameters
    ----------
    offer : Offer
        The request.
    first_token_in : float
        Predicted seconds until its first token.
    speed : float
        Prefill rate of the engines in tokens per second.
    now : float
        Monotonic seconds.
    """
    if offer.abandoned_at is not None:
        return now + first_token_in > offer.abandoned_at
    if now >= offer.due:
        max_wait = (offer.expires - offer.arrived) * LATE_WAIT_FRACTION
        return now - offer.arrived > max_wait
    margin = (offer.due - offer.arrived) * PREDICTION_MARGIN
    own_prefill = offer.prompt_tokens / speed * OWN_PREFILL_FRACTION
    return now + first_token_in > offer.due + margin + own_prefill


def longest_retry_after(offer: Offer, now: float) -> float:
    """Return the maximum retry delay of a request in seconds."""
    longest = max(MIN_RETRY_AFTER, (offer.expires - now) * MAX_RETRY_FRACTION)
    return min(longest, MAX_RETRY_AFTER)


def spread_retry_after(offer: Offer, wait: float, now: float) -> float:
    """Return a retry delay in seconds that is spread between callers.

    Parameters
    ----------
    offer : Offer
        The rejected request.
    wait : float
        Seconds before which a retry does not help.
    now : float
        Monotonic seconds.
    """
    wanted = max(MIN_RETRY_AFTER, wait) * (0.75 + 0.5 * draw(offer))
    return min(wanted, longest_retry_after(offer, now))


def draw(offer: Offer) -> float:
    """Return a number from 0 to 1 that is constant for an offer."""
    return xxhash.xxh3_64_intdigest(offer.call.encode()) % 1000 / 1000


def predict_tail(
    offers: Iterable[Offer], backlogs: list[Backlog], speed: float
) -> Iterator[tuple[Offer, float]]:
    """Yield each request behind the head of the queue with its predicted wait.

    The pool is treated as a single endpoint here: evaluating each endpoint for each
    request of a long queue would take too long.

    Parameters
    ----------
    offers : iterable of Offer
        The requests, in the order of the queue.
    backlogs : list of Backlog
        Loads of the endpoints, including the requests before these; none yields
        nothing.
    speed : float
        Prefill rate in tokens per second, the mean over the endpoints.

    Yields
    ------
    tuple of Offer and float
        A request, and the predicted seconds until its first token.
    """
    if not backlogs:
        return
    available = [item for item in backlogs if not item.grant_interval] or backlogs
    speed *= len(available)
    slots = sum(item.slots for item in available)
    residence = sum(item.residence for item in available) / len(available)
    prefill_tokens = sum(item.prefill_tokens for item in available)
    queue_position = sum(item.running for item in available) - slots
    for offer in offers:
        queue_position += 1
        prefill_tokens += offer.prompt_tokens - offer.shared_prefix_tokens
        yield (
            offer,
            max(prefill_tokens / speed, queue_position * residence / slots),
        )


def earliest_usable_at(
    offer: Offer,
    backlogs: list[Backlog],
    unreachable: dict[tuple[RouterId, EndpointId], float],
) -> float:
    """Return when the first endpoint becomes usable, infinity for never.

    Parameters
    ----------
    offer : Offer
        The request.
    backlogs : list of Backlog
        Loads of the endpoints.
    unreachable : dict
        Time until which an endpoint is considered unreachable from a router.

    Returns
    -------
    float
        Monotonic seconds.
    """
    return min(
        (
            max(
                item.load.unavailable_until,
                unreachable.get((offer.router, item.id), 0.0),
                offer.rests.get(item.id, 0.0),
            )
            for item in backlogs
            if item.id not in offer.avoid and offer.may_run_at(item.load.endpoint)
        ),
        default=math.inf,
    )


def may_wait_until(offer: Offer, usable_at: float, now: float) -> bool:
    """Return whether a request waits for an endpoint that is usable at `usable_at`."""
    return now < offer.expires and usable_at < offer.due


def find_prefix_holder(
    offer: Offer,
    loads: dict[EndpointId, EndpointLoad],
    unreachable: dict[tuple[RouterId, EndpointId], float],
    now: float,
) -> EndpointId | None:
    """Return the engine with the longest prefix that can be copied, if any.

    Parameters
    ----------
    offer : Offer
        The request.
    loads : dict
        State of each endpoint.
    unreachable : dict
        Time until which an endpoint is considered unreachable from a router.
    now : float
        Monotonic seconds.
    """
    if offer.shared_prefix_tokens < MIN_COPIED_TOKENS:
        return None
    unreachable_ids = {endpoint for _, endpoint in unreachable}
    longest, holder = MIN_COPIED_TOKENS - 1, None
    for name, load in loads.items():
        present = load.prefixes.present(offer.prompt)
        if (
            present > longest
            and Backlog.of(load, now, name not in unreachable_ids).can_be_copied_from
        ):
            longest, holder = present, name
    return holder


def unknown_pool_rejection(call: CallId) -> Rejected:
    """Return the rejection of a request for a pool that doesn't exist."""
    return Rejected(call, UNKNOWN_POOL, UNKNOWN_POOL_RETRY_AFTER)


def no_endpoints_rejection(call: CallId) -> Rejected:
    """Return the rejection of a request for a service that has no pools."""
    return Rejected(call, "the service has no endpoints", NO_ENDPOINTS_RETRY_AFTER)
