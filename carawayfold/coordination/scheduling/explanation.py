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
    offer.value_density = scheduler.value_density(offer)
    return ExplainedRound(scheduler, offer, now).explain()


class ExplainedRound:
    """A round of decisions in which one request is explained.

    Parameters
    ----------
    scheduler : Scheduler
        The scheduler of a pool.
    offer : Offer
        The request.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    backlogs : list of Backlog
        Loads of the endpoints, with the requests that are planned so far.
    locality : LocalityPolicy
        Copy of the scheduler's: a round updates its means, which would change the next.
    """

    def __init__(self, scheduler: Scheduler, offer: Offer, now: float) -> None:
        self.scheduler = scheduler
        self.offer = offer
        self.now = now
        self.backlogs = scheduler.backlogs(now)
        self.locality = copy.deepcopy(scheduler.locality)
        self.locality.record_offer(offer)
        self.locality.refresh(self.backlogs, scheduler.plan.share, now)

    def explain(self) -> PoolAnswer:
        """Return the decision on the request, after those that are served before it."""
        offer, queue = self.offer, self._queue()
        head, tail = (
            [entry.offer for entry in part]
            for part in self.locality.split(queue, QUEUE_HEAD_LENGTH)
        )
        is_in_head = offer in head
        for other in head[: head.index(offer)] if is_in_head else head:
            # The first prediction of a request is kept with it.
            self._plan(copy.copy(other))
        evaluation = self._evaluate(offer)
        answer = self._decide(evaluation, None if is_in_head else tail)
        answer.waiting = len(self.scheduler.waiting)
        answer.position = [entry.offer for entry in queue].index(offer)
        answer.within_share = self.scheduler.is_within_share(offer)
        answer.endpoints = self._explain_endpoints(evaluation)
        return answer

    def _queue(self) -> list[QueueEntry]:
        """Return the queue in order, with the request behind its equals."""
        overall = self.scheduler.overall_granted_ratio(self.now)
        return sorted(
            QueueEntry(self.scheduler.rank(other, overall, self.now), other)
            for other in [*self.scheduler.waiting.values(), self.offer]
        )

    def _evaluate(self, offer: Offer) -> Evaluation:
        scheduler, backlogs, now = self.scheduler, self.backlogs, self.now
        usable = scheduler.usable_backlogs(offer, backlogs, now)
        source = find_copy_source(offer, backlogs)
        share = scheduler.fillable_share(offer)
        return self.locality.evaluate_all(offer, usable, source, share, now)

    def _plan(self, offer: Offer) -> None:
        """Add a request that is served before to the endpoint that it would get."""
        evaluation = self._evaluate(offer)
        too_long = self.scheduler.is_wait_too_long
        chosen = self.locality.choose_from(offer, evaluation, self.now, too_long)
        if chosen is not None and not self._is_rejected(offer, chosen, evaluation):
            chosen.backlog.add(chosen.prefill_tokens, chosen.memory)

    def _is_rejected(
        self, offer: Offer, chosen: Candidate, evaluation: Evaluation
    ) -> bool:
        """Return whether a request is rejected as too late for its endpoint."""
        if chosen.starts_in <= 0:
            return False
        usable = [item.backlog for item in evaluation.candidates]
        wait = self.scheduler.first_token_in(offer, chosen, usable, self.now)
        return self.scheduler.is_too_late(offer, wait, self.now)

    def _decide(self, evaluation: Evaluation, tail: list[Offer] | None) -> PoolAnswer:
        """Return the decision on the request.

        `tail` are the requests behind the head of the queue, if it is one of them.
        """
        offer, now = self.offer, self.now
        chosen = pick(
            evaluation, lambda place: self.scheduler.is_wait_too_long(offer, place, now)
        )
        if chosen is None:
            return self._decide_without_endpoint()
        if tail is not None:
            return self._decide_behind_head(tail)
        place = (chosen.backlog.id, chosen.starts_in, chosen.first_token_in)
        if chosen.starts_in <= 0:
            return PoolAnswer(Verdict.GRANT, AT_ONCE, *place)
        if self._is_rejected(offer, chosen, evaluation):
            return PoolAnswer(Verdict.REJECT, TOO_LATE, *place)
        return PoolAnswer(Verdict.WAIT, IN_TIME, *place)

    def _decide_without_endpoint(self) -> PoolAnswer:
        offer, now = self.offer, self.now
        unreachable = self.scheduler.unreachable
        usable_at = rejections.earliest_usable_at(offer, self.backlogs, unreachable)
        if rejections.may_wait_until(offer, usable_at, now):
            return PoolAnswer(Verdict.WAIT, UNUSABLE_FOR_NOW, wait=usable_at - now)
        return PoolAnswer(Verdict.REJECT, NO_ENDPOINT)

    def _decide_behind_head(self, tail: list[Offer]) -> PoolAnswer:
        """Return the decision where the endpoints aren't evaluated yet."""
        scheduler, offer, now = self.scheduler, self.offer, self.now
        until_it = tail[: tail.index(offer) + 1]
        waits = [
            wait
            for _, wait in self.locality.predict_tail(
                until_it, self.backlogs, scheduler.speed
            )
        ]
        if not waits:
            return PoolAnswer(Verdict.WAIT, IN_TIME)
        wait = scheduler.predictions.predict(offer, waits[-1], now)
        if scheduler.is_too_late(offer, wait, now):
            return PoolAnswer(Verdict.REJECT, TOO_LATE, wait=wait)
        return PoolAnswer(Verdict.WAIT, IN_TIME, wait=wait)

    def _explain_endpoints(self, evaluation: Evaluation) -> list[ExplainedEndpoint]:
        """Return all endpoints of the pool, those of the lowest cost first."""
        evaluated = {item.backlog.id: item for item in evaluation.candidates}
        found = []
        for backlog in self.backlogs:
            item = ExplainedEndpoint(
                backlog.id,
                backlog.data_centre,
                self._status(backlog, evaluation),
                backlog.running,
                backlog.slots,
            )
            candidate = evaluated.get(backlog.id)
            if candidate is not None:
                item.starts_in = candidate.starts_in
                item.first_byte_in = candidate.first_token_in
                item.cost = candidate.cost
                item.cached_tokens = backlog.load.prefixes.kept(self.offer.prompt)
                item.copied_tokens = candidate.copied_tokens
                item.prefill_tokens = candidate.prefill_tokens
            found.append(item)
        return sorted(found, key=lambda item: (item.cost is None, item.cost or 0.0))

    def _status(self, backlog: Backlog, evaluation: Evaluation) -> EndpointStatus:
        """Return whether the request may use an endpoint, or why not."""
        offer = self.offer
        if not offer.may_run_in(backlog.data_centre):
            return EndpointStatus.NOT_ALLOWED
        if not offer.may_run_at(backlog.load.endpoint):
            return EndpointStatus.OTHER_SOFTWARE
        if backlog.suspended:
            return EndpointStatus.SUSPENDED
        if backlog.id in offer.avoid:
            return EndpointStatus.TRIED
        if (offer.router, backlog.id) in self.scheduler.unreachable:
            return EndpointStatus.UNREACHABLE
        if offer.rests.get(backlog.id, 0.0) > self.now:
            return EndpointStatus.BACKING_OFF
        if any(item.backlog.id == backlog.id for item in evaluation.blocked):
            return EndpointStatus.OWED
        return EndpointStatus.USABLE
