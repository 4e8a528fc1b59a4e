"""Choice of the endpoint of a request, and prediction of its first token.

Designed for long prompts that share prefixes. Prefilling a prefix again costs the
engine as much as a whole short request, and a prompt that waits in an engine delays
all requests behind it, since engines admit in order of arrival. Requests therefore
wait at the scheduler, where they can still be reordered, until an engine has little
prefill left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.copy_sources import CopySource
    from carawayfold.coordination.scheduling.offers import Offer

#: Seconds of prefill that may be queued in an engine. Less leaves the engine idle
#: between two requests, more lets long prompts queue in front of short ones.
READ_AHEAD_DURATION = 0.1
#: Weight of prefilling a shared part again, relative to its prefill time. Prefill
#: slows down all requests that run on the engine.
REPEATED_PREFILL_WEIGHT = 16.0
#: Weight of copying a token from another engine, relative to its prefill time. Higher
#: than the cost of the copy, so that requests stay where their prefixes are cached.
COPY_WEIGHT = 4.0
#: Penalty in seconds of an endpoint where the request misses its objective, so that no
#: request waits too long for its prefix while other engines are idle.
LATE_PENALTY = 1.0
#: Penalty in seconds of an endpoint in another data centre, for network latency and
#: traffic between data centres.
REMOTE_PENALTY = 0.004
#: Penalty in seconds of an engine whose slots are all in use, in proportion for fewer.
#: Each further request delays the tokens of the others, and more requests fail if the
#: engine does.
FULL_ENGINE_PENALTY = 0.01
#: Penalty in seconds of an engine that fails all requests, in proportion for fewer.
FAILURE_PENALTY = 2.0
#: Penalty of an endpoint that fails all requests without a prompt while the others fail
#: none, as a multiple of the request's objective. A failed answer loses the request or
#: costs a second attempt; a wait of one objective makes it late. A penalty in seconds
#: would make requests with an objective of tenths of a second wait although endpoints
#: with a single failed answer are idle.
FAILURE_PENALTY_OBJECTIVES = 1.5
#: Minimum objective in seconds used for that penalty. A retried request may have no
#: time left, and still must avoid endpoints that fail.
MIN_OBJECTIVE = 0.1
#: Fraction of an engine's memory that is filled, so that no request is preempted when
#: the output is longer than estimated.
MAX_MEMORY_FRACTION = 0.92


class Candidate(msgspec.Struct, eq=False):
    """An endpoint evaluated for a request.

    Attributes
    ----------
    backlog : Backlog
        Load of the endpoint.
    prefill_tokens : int
        Tokens that the endpoint would have to prefill.
    copied_tokens : int
        Tokens that it would copy from another engine.
    memory : int
        Tokens of memory that the request would take.
    starts_in : float
        Seconds until the request may be sent there.
    first_token_in : float
        Seconds until its first token.
    cost : float
        Seconds until its first token plus all penalties; the lowest is chosen.
    """

    backlog: Backlog
    prefill_tokens: int
    copied_tokens: int
    memory: int
    starts_in: float
    first_token_in: float
    cost: float


def compute_excess_failures(backlogs: list[Backlog]) -> None:
    """Set how much the failure ratio of each endpoint exceeds the mean of all."""
    mean = sum(item.failure_ratio for item in backlogs) / len(backlogs)
    for item in backlogs:
        item.excess_failure_ratio = max(0.0, item.failure_ratio - mean)


def choose_endpoint(
    offer: Offer,
    backlogs: Iterable[Backlog],
    copy_source: CopySource | None,
    share: float,
    now: float,
) -> Candidate | None:
    """Return the endpoint with the lowest cost for a request, None if there is none.

    Parameters
    ----------
    offer : Offer
        The request.
    backlogs : iterable of Backlog
        Loads of the endpoints it may run on, including the requests queued before it.
    copy_source : CopySource or None
        Engine from which a cached prefix of the prompt can be copied.
    share : float
        Fraction of each endpoint that this scheduler may fill, 0 to 1.
    now : float
        Monotonic seconds.
    """
    best: Candidate | None = None
    for backlog in backlogs:
        candidate = evaluate(offer, backlog, copy_source, share, now)
        if best is None or candidate.cost < best.cost:
            best = candidate
    return best


def evaluate(
    offer: Offer,
    backlog: Backlog,
    copy_source: CopySource | None,
    share: float,
    now: float,
    remote_penalty: float = REMOTE_PENALTY,
) -> Candidate:
    """Return the evaluation of one endpoint for a request; see `choose_endpoint`."""
    load = backlog.load
    speed = backlog.speed
    kept = load.prefixes.kept(offer.prompt)
    copied_tokens = (
        copy_source.copied_tokens(backlog.id, kept) if copy_source is not None else 0
    )
    prefill_tokens = offer.prompt_tokens - kept - copied_tokens
    memory = prefill_tokens + copied_tokens + offer.output_tokens
    starts_in = _time_until_room(backlog, prefill_tokens, memory, share)
    first_token_in = starts_in + _time_to_first_token(offer, backlog, prefill_tokens)
    used = backlog.running / backlog.slots
    # Not a part of the prediction by which requests are rejected: while every endpoint
    # is full, they wait for their organisation's turn.
    excess_wait = backlog.excess_age * max(0.0, used - 1 + 1 / backlog.slots)
    cost = first_token_in + excess_wait + COPY_WEIGHT * copied_tokens / speed
    if offer.prompt_tokens:
        cost += FAILURE_PENALTY * backlog.failure_ratio + FULL_ENGINE_PENALTY * used
    else:
        cost += backlog.residence * used
        if backlog.excess_failure_ratio:
            objective = max(MIN_OBJECTIVE, offer.due - offer.arrived)
            cost += (
                FAILURE_PENALTY_OBJECTIVES * objective * backlog.excess_failure_ratio
            )
    if load.connections is not None:
        occupied = used if starts_in <= 0 else 1.0
        cost += load.connections.opening_cost(offer, backlog.data_centre, occupied, now)
    if now + first_token_in + excess_wait > offer.due:
        cost += LATE_PENALTY
    repeated_prefill = offer.shared_prefix_tokens - kept - copied_tokens
    if repeated_prefill > 0:
        cost += REPEATED_PREFILL_WEIGHT * repeated_prefill / speed
    if backlog.data_centre != offer.data_centre:
        cost += remote_penalty
    return Candidate(
        backlog, prefill_tokens, copied_tokens, memory, starts_in, first_token_in, cost
    )


def has_room(backlog: Backlog, prefill_tokens: int, share: float) -> bool:
    """Return whether an endpoint could take a request of `prefill_tokens` at once."""
    return _time_until_room(backlog, prefill_tokens, 0, share) <= 0


def _time_to_first_token(offer: Offer, backlog: Backlog, prefill_tokens: int) -> float:
    """Return the seconds from sending a request to its first token."""
    if not offer.prompt_tokens:
        return backlog.residence
    queued = backlog.prefill_tokens
    max_queued = backlog.speed * READ_AHEAD_DURATION
    if queued > max_queued:
        queued = max_queued
    return (queued + prefill_tokens) / backlog.speed + backlog.first_token_delay


def _time_until_room(
    backlog: Backlog, prefill_tokens: int, memory: int, share: float
) -> float:
    """Return the seconds until an endpoint has prefill capacity, a slot and memory."""
    longest = max(0.0, backlog.available_in)
    if backlog.prefill_tokens > 0:
        over = (
            backlog.prefill_tokens
            + prefill_tokens
            - backlog.speed * READ_AHEAD_DURATION * share
        )
        longest = max(longest, over / backlog.speed)
    slots = backlog.slots * share
    if slots < 1.0:
        slots = 1.0
    if backlog.running >= slots:
        wait = (backlog.running - slots + 1) * backlog.residence / slots
        longest = max(longest, wait)
    if backlog.memory > 0 and memory and backlog.load.memory_tokens:
        room = backlog.load.memory_tokens * MAX_MEMORY_FRACTION * share
        over = backlog.memory + memory - room
        if over > 0:
            longest = max(longest, over / room * backlog.residence)
    return longest
