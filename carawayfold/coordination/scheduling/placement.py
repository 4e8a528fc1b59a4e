"""Which endpoint a request should go to, and when it would get there.

The load it answers: long prompts that share prefixes. Reading a prefix again costs
the engine as much as a whole short request, and prompts that wait in an engine delay
everything behind them, since engines admit in order of arrival. So requests wait at
the scheduler, where they can still be ordered, until an engine has little to read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.donors import Donor
    from carawayfold.coordination.scheduling.offers import Offer

#: Seconds of reading that may wait in an engine. Less leaves it idle between two
#: requests, more lets long prompts pile up in front of short ones.
READ_AHEAD = 0.1
#: How much dearer it is to read a shared part again than its time alone: it takes
#: time from all that runs beside it.
REREAD_WEIGHT = 16.0
#: How much a token that is copied from another engine weighs, in the same unit. More
#: than a copy costs, so that requests stay where their prefixes are.
FETCH_WEIGHT = 4.0
#: Seconds that a choice which misses the objective is taken to be slower, so that no
#: request waits too long for its prefix beside idle engines.
LATE_PENALTY = 1.0
#: Seconds that an endpoint in another data centre is taken to be slower: the way,
#: and the traffic between data centres.
FAR_PENALTY = 0.004
#: Seconds that an engine whose slots are all taken is taken to be slower: what runs
#: there gets its tokens later with each request more, and is lost with it.
FULL_ENGINE_PENALTY = 0.01
#: Seconds that an engine which fails everything is taken to be slower.
FAILURE_PENALTY = 2.0
#: The same for plain requests: how much slower an endpoint is taken to be that fails
#: everything while others fail nothing, in objectives of the request: a failed answer
#: may lose the request or takes a second one, a wait of an objective makes it late.
#: A penalty of seconds would let requests that want their answer in tenths of one wait
#: beside idle endpoints that have failed a single answer.
FAILURE_OBJECTIVES = 1.5
#: Seconds that a request is taken to want its answer in at least: what comes back
#: late has no time left, and still should not go where it fails.
LEAST_OBJECTIVE = 0.1
#: Part of an engine's memory that is filled, so that no request is preempted when
#: estimates of the output are too low.
MEMORY_USED = 0.92


class Choice(msgspec.Struct, eq=False):
    """An endpoint for a request.

    Attributes
    ----------
    unread : int
        Tokens that it would have to read.
    fetched : int
        Tokens that it would copy from another engine.
    memory : int
        Tokens of memory that the request would take.
    starts_in : float
        Seconds until it may be sent there.
    first_in : float
        Seconds until its first token.
    cost : float
        What the choice is judged by: `first_in` and all penalties, in seconds.
    """

    backlog: Backlog
    unread: int
    fetched: int
    memory: int
    starts_in: float
    first_in: float
    cost: float


def tell_failing_apart(backlogs: list[Backlog]) -> None:
    """Work out by how much each endpoint fails more than the mean of all."""
    mean = sum(item.failure for item in backlogs) / len(backlogs)
    for item in backlogs:
        item.excess = max(0.0, item.failure - mean)


def choose(
    offer: Offer,
    backlogs: Iterable[Backlog],
    donor: Donor | None,
    share: float,
    now: float,
) -> Choice | None:
    """Return the endpoint that costs `offer` least, None where there is none.

    Parameters
    ----------
    offer : Offer
        The request.
    backlogs : iterable of Backlog
        Loads of the endpoints it may go to, requests ahead of it included.
    donor : Donor or None
        The engine from which a kept beginning of the prompt can be copied.
    share : float
        Part of each endpoint that this scheduler may fill, 0 to 1.
    now : float
        Monotonic seconds.
    """
    best: Choice | None = None
    for backlog in backlogs:
        choice = weigh(offer, backlog, donor, share, now)
        if best is None or choice.cost < best.cost:
            best = choice
    return best


def weigh(
    offer: Offer, backlog: Backlog, donor: Donor | None, share: float, now: float
) -> Choice:
    """Return what sending `offer` to one endpoint would mean; see `choose`."""
    load = backlog.load
    speed = backlog.speed
    kept = load.prefixes.kept(offer.prompt)
    fetched = donor.fetched(backlog.id, kept) if donor is not None else 0
    unread = offer.prompt_tokens - kept - fetched
    memory = unread + fetched + offer.output_tokens
    starts_in = _wait(backlog, unread, memory, share)
    first_in = starts_in + _until_first(offer, backlog, unread)
    cost = first_in + FETCH_WEIGHT * fetched / speed
    used = backlog.running / backlog.slots
    if offer.prompt_tokens:
        cost += FAILURE_PENALTY * backlog.failure + FULL_ENGINE_PENALTY * used
    else:
        cost += backlog.residence * used
        if backlog.excess:
            objective = max(LEAST_OBJECTIVE, offer.due - offer.arrived)
            cost += FAILURE_OBJECTIVES * objective * backlog.excess
    if now + first_in > offer.due:
        cost += LATE_PENALTY
    reread = offer.shared_tokens - kept - fetched
    if reread > 0:
        cost += REREAD_WEIGHT * reread / speed
    if backlog.data_centre != offer.data_centre:
        cost += FAR_PENALTY
    return Choice(backlog, unread, fetched, memory, starts_in, first_in, cost)


def has_room(backlog: Backlog, unread: int, share: float) -> bool:
    """Return whether an endpoint could take a request of `unread` tokens at once."""
    return _wait(backlog, unread, 0, share) <= 0


def _until_first(offer: Offer, backlog: Backlog, unread: int) -> float:
    """Return the seconds from sending a request to its first token."""
    if not offer.prompt_tokens:
        return backlog.residence
    ahead = backlog.unread
    most = backlog.speed * READ_AHEAD
    if ahead > most:
        ahead = most
    return (ahead + unread) / backlog.speed + backlog.first_token


def _wait(backlog: Backlog, unread: int, memory: int, share: float) -> float:
    """Return the seconds until an endpoint has room to read, a slot and memory."""
    longest = max(0.0, backlog.opens_in)
    if backlog.unread > 0:
        over = backlog.unread + unread - backlog.speed * READ_AHEAD * share
        longest = max(longest, over / backlog.speed)
    slots = backlog.slots * share
    if slots < 1.0:
        slots = 1.0
    if backlog.running >= slots:
        wait = (backlog.running - slots + 1) * backlog.residence / slots
        longest = max(longest, wait)
    if backlog.memory > 0 and memory and backlog.load.memory_tokens:
        room = backlog.load.memory_tokens * MEMORY_USED * share
        over = backlog.memory + memory - room
        if over > 0:
            longest = max(longest, over / room * backlog.residence)
    return longest
