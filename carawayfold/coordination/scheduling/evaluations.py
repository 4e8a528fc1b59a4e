"""Evaluations of all endpoints for a request, and the choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.scheduling.placement import Candidate
    from carawayfold.state.ids import DataCentreId

#: Recent ratio of failed answers, 0 to 1, above which an endpoint is no better than a
#: rejection: two failures one after the other.
MAX_FAILURE_RATIO = 0.3


class CrossingCost(msgspec.Struct):
    """Cost of serving a request in another data centre.

    Attributes
    ----------
    cost : float
        Seconds that latency and bytes cost.
    seconds : float
        Penalty in seconds of its endpoints.
    limited : bool
        Whether the request is beyond the budget or against the flow, so that it may
        not wait for an endpoint there unless that has its prefix cached.
    owed : bool
        Whether callers of that data centre wait for what is free there, so that a
        limited request may use idle endpoints only.
    cut : bool
        Whether the data centre counts as cut off.
    """

    cost: float
    seconds: float
    limited: bool
    owed: bool
    cut: bool

    def blocks(self, candidate: Candidate, least_missing: int) -> bool:
        """Return whether an endpoint there is kept from a request.

        Parameters
        ----------
        candidate : Candidate
            Evaluation of the endpoint.
        least_missing : int
            Least tokens of the prompt that an endpoint at home doesn't have cached.
        """
        if self.cut:
            return True
        if not self.limited or missing_tokens(candidate) < least_missing:
            return False
        return candidate.starts_in > 0 or (self.owed and candidate.backlog.running > 0)


class Evaluation(msgspec.Struct):
    """Evaluations of all endpoints for a request.

    Attributes
    ----------
    here, elsewhere : list of Candidate
        Endpoints in the request's data centre, or any while the policy is off, and in
        others.
    blocked : list of Candidate
        Those elsewhere that are kept from the request.
    costs : dict
        Cost of serving it in each other data centre.
    by_policy : bool
        Whether the policy on data centres evaluated them.
    """

    here: list[Candidate] = msgspec.field(default_factory=list)
    elsewhere: list[Candidate] = msgspec.field(default_factory=list)
    blocked: list[Candidate] = msgspec.field(default_factory=list)
    costs: dict[DataCentreId, CrossingCost] = msgspec.field(default_factory=dict)
    by_policy: bool = False

    @property
    def candidates(self) -> list[Candidate]:
        """Return all of them, those in the request's data centre first."""
        return [*self.here, *self.elsewhere]


def missing_tokens(candidate: Candidate) -> int:
    """Return the tokens of a prompt that an engine doesn't have cached."""
    return candidate.prefill_tokens + candidate.copied_tokens


def cheapest(candidates: list[Candidate]) -> Candidate | None:
    """Return the first of the endpoints with the lowest cost, None for no endpoint."""
    return min(candidates, key=lambda item: item.cost, default=None)


def pick(
    evaluation: Evaluation, is_too_late: Callable[[Candidate], bool]
) -> Candidate | None:
    """Return the endpoint of a request, None if there is none.

    Parameters
    ----------
    evaluation : Evaluation
        Evaluations of the endpoints.
    is_too_late : callable
        Returns whether the request is rejected if it would wait for an endpoint.
    """
    best = cheapest(evaluation.candidates)
    if best is None or not evaluation.by_policy or best.starts_in <= 0:
        return best
    return (_find_with_room(evaluation) if is_too_late(best) else None) or best


def _find_with_room(evaluation: Evaluation) -> Candidate | None:
    """Return the cheapest endpoint that could take a request at once, if any.

    An endpoint that fails often isn't better than a rejection, and always has room.
    """
    blocked = evaluation.blocked
    return cheapest(
        [
            item
            for item in evaluation.candidates
            if item.starts_in <= 0
            and item.backlog.failure_ratio <= MAX_FAILURE_RATIO
            and item not in blocked
        ]
    )
