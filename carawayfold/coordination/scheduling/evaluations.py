"""Evaluations of all endpoints for a request, and the choice among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.scheduling.placement import Candidate
    from carawayfold.state.ids import DataCentreId

#: Excess of an endpoint's failure ratio over the mean of its pool, 0 to 1, above which
#: it is no better than a rejection: about two failures one after the other.
MAX_EXCESS_FAILURES = 0.3


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
    if not evaluation.by_policy:
        return cheapest(evaluation.candidates)
    sound = [
        item
        for item in evaluation.candidates
        if not _fails_often(item) and not _is_cut_off(evaluation, item)
    ]
    best = cheapest(sound or evaluation.candidates)
    if best is None or best.starts_in <= 0 or not is_too_late(best):
        return best
    blocked = evaluation.blocked
    with_room = [item for item in sound if item.starts_in <= 0 and item not in blocked]
    return cheapest(with_room) or best


def _fails_often(candidate: Candidate) -> bool:
    """Return whether an endpoint is no better than a rejection.

    It has room since it fails at once, and draws requests whose data centre is short
    of others. Endpoints that all fail alike are compared by their cost.
    """
    return candidate.backlog.excess_failure_ratio > MAX_EXCESS_FAILURES


def _is_cut_off(evaluation: Evaluation, candidate: Candidate) -> bool:
    """Return whether the data centre of an endpoint counts as cut off."""
    crossing = evaluation.costs.get(candidate.backlog.data_centre)
    return crossing is not None and crossing.cut
