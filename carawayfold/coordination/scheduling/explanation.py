"""Explanation of what the scheduler of a pool would do with a request now.

Uses the evaluation and the rules of the scheduler itself, and changes nothing that its
decisions depend on: the request is not offered, and nothing is reserved for it.
"""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from carawayfold.coordination.scheduling import rejections
from carawayfold.coordination.scheduling.copy_sources import find_copy_source
from carawayfold.coordination.scheduling.evaluations import pick
from carawayfold.coordination.scheduling.rank import QueueEntry
from carawayfold.coordination.scheduling.scheduler import QUEUE_HEAD_LENGTH
from carawayfold.protocol.explanations import (
    EndpointStatus,
    ExplainedEndpoint,
    PoolAnswer,
    Verdict,
)

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.evaluations import Evaluation
    from carawayfold.coordination.scheduling.locality import LocalityPolicy
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.coordination.scheduling.placement import Candidate
    from carawayfold.coordination.scheduling.scheduler import Scheduler

#: Reasons of the verdicts, as operators read them.
AT_ONCE = "the endpoint has room, and the lowest cost"
IN_TIME = "no endpoint is better than the one it waits for, and it is in time there"
TOO_LATE = "its answer would be late at each endpoint"
UNUSABLE_FOR_NOW = "no endpoint is usable yet, but one will be in time"
NO_ENDPOINT = "no endpoint is usable in time"


def explain(scheduler: Scheduler, offer: Offer, now: float) -> PoolAnswer:
    """Return what a scheduler would do with a request that is offered now.

    Parameters
    ----------
    scheduler : Scheduler
        The scheduler of a pool.
    offer : Offer
        The request, which the scheduler doesn't know.
    now : float
        Monotonic seconds.
    """
    backlogs = scheduler.backlogs(now)
    # A round of decisions updates its means, which would change the next one.
    locality = copy.deepcopy(scheduler.locality)
    locality.record_offer(offer)
    locality.refresh(backlogs, scheduler.plan.share, now)
    offer.value_density = scheduler.value_density(offer)
    queue = _queue_with(scheduler, offer, now)
    position = next(at for at, entry in enumerate(queue) if entry.offer is offer)
    head, tail = (
        [entry.offer for entry in part]
        for part in locality.split(queue, QUEUE_HEAD_LENGTH)
    )
    is_in_head = offer in head
    for other in head[: head.index(offer)] if is_in_head else head:
        # The first prediction of a request is kept with it.
        _plan(scheduler, locality, copy.copy(other), backlogs, now)
    evaluation = _evaluate(scheduler, locality, offer, backlogs, now)
    chosen = _pick(scheduler, offer, evaluation, now)
    answer = _decide(scheduler, offer, chosen, backlogs, now)
    if chosen is not None and not is_in_head:
        until_it = tail[: tail.index(offer) + 1]
        waits = locality.predict_tail(until_it, backlogs, scheduler.speed)
        answer = _decide_behind_head(scheduler, offer, list(waits), now)
    answer.waiting = len(scheduler.waiting)
    answer.position = position
    answer.within_share = scheduler.is_within_share(offer)
    answer.endpoints = _explain_endpoints(scheduler, offer, backlogs, evaluation, now)
    return answer


def _queue_with(scheduler: Scheduler, offer: Offer, now: float) -> list[QueueEntry]:
    """Return the queue in order, with a further request behind its equals."""
    overall = scheduler.overall_granted_ratio(now)
    return sorted(
        QueueEntry(scheduler.rank(other, overall, now), other)
        for other in [*scheduler.waiting.values(), offer]
    )


def _evaluate(
    scheduler: Scheduler,
    locality: LocalityPolicy,
    offer: Offer,
    backlogs: list[Backlog],
    now: float,
) -> Evaluation:
    usable = scheduler.usable_backlogs(offer, backlogs, now)
    source = find_copy_source(offer, backlogs)
    share = scheduler.fillable_share(offer)
    return locality.evaluate_all(offer, usable, source, share, now)


def _pick(
    scheduler: Scheduler, offer: Offer, evaluation: Evaluation, now: float
) -> Candidate | None:
    return pick(evaluation, lambda place: scheduler.is_wait_too_long(offer, place, now))


def _plan(
    scheduler: Scheduler,
    locality: LocalityPolicy,
    offer: Offer,
    backlogs: list[Backlog],
    now: float,
) -> None:
    """Add a request that is served before to the endpoint that it would get."""
    usable = scheduler.usable_backlogs(offer, backlogs, now)
    source = find_copy_source(offer, backlogs)
    share = scheduler.fillable_share(offer)
    too_long = scheduler.is_wait_too_long
    chosen = locality.choose(offer, usable, source, share, now, too_long)
    if chosen is None:
        return
    if chosen.starts_in <= 0 or not _is_too_late(
        scheduler, offer, chosen, backlogs, now
    ):
        chosen.backlog.add(chosen.prefill_tokens, chosen.memory)


def _is_too_late(
    scheduler: Scheduler,
    offer: Offer,
    chosen: Candidate,
    backlogs: list[Backlog],
    now: float,
) -> bool:
    usable = scheduler.usable_backlogs(offer, backlogs, now)
    wait = scheduler.first_token_in(offer, chosen, usable, now)
    return scheduler.is_too_late(offer, wait, now)


def _decide(
    scheduler: Scheduler,
    offer: Offer,
    chosen: Candidate | None,
    backlogs: list[Backlog],
    now: float,
) -> PoolAnswer:
    """Return the verdict on a request at the head of the queue."""
    if chosen is None:
        usable_at = rejections.earliest_usable_at(
            offer, backlogs, scheduler.unreachable
        )
        if now < offer.expires and usable_at < offer.due:
            return PoolAnswer(Verdict.WAIT, UNUSABLE_FOR_NOW, wait=usable_at - now)
        return PoolAnswer(Verdict.REJECT, NO_ENDPOINT)
    place = (chosen.backlog.id, chosen.starts_in, chosen.first_token_in)
    if chosen.starts_in <= 0:
        return PoolAnswer(Verdict.GRANT, AT_ONCE, *place)
    if _is_too_late(scheduler, offer, chosen, backlogs, now):
        return PoolAnswer(Verdict.REJECT, TOO_LATE, *place)
    return PoolAnswer(Verdict.WAIT, IN_TIME, *place)


def _decide_behind_head(
    scheduler: Scheduler, offer: Offer, waits: list[tuple[Offer, float]], now: float
) -> PoolAnswer:
    """Return the verdict on a request for which endpoints aren't evaluated yet.

    `waits` are the predictions for the requests behind the head, its own the last.
    """
    if not waits:
        return PoolAnswer(Verdict.WAIT, IN_TIME)
    wait = scheduler.predictions.predict(offer, waits[-1][1], now)
    if scheduler.is_too_late(offer, wait, now):
        return PoolAnswer(Verdict.REJECT, TOO_LATE, wait=wait)
    return PoolAnswer(Verdict.WAIT, IN_TIME, wait=wait)


def _explain_endpoints(
    scheduler: Scheduler,
    offer: Offer,
    backlogs: list[Backlog],
    evaluation: Evaluation,
    now: float,
) -> list[ExplainedEndpoint]:
    """Return all endpoints of a pool, those of the lowest cost first."""
    evaluated = {item.backlog.id: item for item in evaluation.candidates}
    found = []
    for backlog in backlogs:
        item = ExplainedEndpoint(
            backlog.id,
            backlog.data_centre,
            _status(scheduler, offer, backlog, evaluation, now),
            backlog.running,
            backlog.slots,
        )
        candidate = evaluated.get(backlog.id)
        if candidate is not None:
            item.starts_in = candidate.starts_in
            item.first_byte_in = candidate.first_token_in
            item.cost = candidate.cost
            item.cached_tokens = backlog.load.prefixes.kept(offer.prompt)
            item.copied_tokens = candidate.copied_tokens
            item.prefill_tokens = candidate.prefill_tokens
        found.append(item)
    return sorted(found, key=lambda item: (item.cost is None, item.cost or 0.0))


def _status(
    scheduler: Scheduler,
    offer: Offer,
    backlog: Backlog,
    evaluation: Evaluation,
    now: float,
) -> EndpointStatus:
    """Return whether a request may use an endpoint, or the first reason why not."""
    endpoint = backlog.load.endpoint
    if not offer.may_run_in(backlog.data_centre):
        return EndpointStatus.NOT_ALLOWED
    if not offer.may_run_at(endpoint):
        return EndpointStatus.OTHER_SOFTWARE
    if backlog.suspended:
        return EndpointStatus.SUSPENDED
    if backlog.id in offer.avoid:
        return EndpointStatus.TRIED
    if (offer.router, backlog.id) in scheduler.unreachable:
        return EndpointStatus.UNREACHABLE
    if offer.rests.get(backlog.id, 0.0) > now:
        return EndpointStatus.BACKING_OFF
    if any(item.backlog.id == backlog.id for item in evaluation.blocked):
        return EndpointStatus.OWED
    return EndpointStatus.USABLE
