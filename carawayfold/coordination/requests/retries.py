"""Rules for retrying a request whose attempt failed, and the final refusal."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from carawayfold.errors import ErrorKind, Ran, Refusal

if TYPE_CHECKING:
    from carawayfold.state.routes import Route

#: Attempts that certainly did not run the request after which it may be retried; it is
#: refused after one more.
MAX_NOT_RUN_ATTEMPTS = 2


class AttemptEnd(Enum):
    """How an attempt ended.

    The values appear in logs and in the details of refusals.
    """

    #: The complete answer was sent to the caller.
    COMPLETE = "whole"
    #: The endpoint stated that it did not run the request.
    REJECTED = "rejected"
    #: The endpoint answered with an error status, and a retry is allowed.
    ERROR_ANSWER = "error-answer"
    #: The answer was truncated or unsigned.
    BROKEN = "broken"
    #: The endpoint fell silent after the request was sent.
    SILENT = "silent"
    #: No connection to the endpoint was established.
    UNREACHABLE = "unreachable"
    #: Nothing was sent, since the endpoint must not be used any more.
    WITHDRAWN = "withdrawn"
    #: The silent endpoint that it was to replace has gone on.
    YIELDED = "yielded"


class AttemptHistory(msgspec.Struct):
    """Results of the attempts of one request.

    Attributes
    ----------
    may_have_run : int
        Attempts in which the endpoint may have started to run the request.
    not_run : int
        Attempts in which the request certainly did not run.
    answer_started : bool
        Whether a part of the answer was sent to the caller.
    """

    may_have_run: int = 0
    not_run: int = 0
    answer_started: bool = False

    def add(self, end: AttemptEnd) -> None:
        """Count an attempt by its end."""
        if end in (AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE):
            self.not_run += 1
        else:
            self.may_have_run += 1


def may_retry(route: Route, attempts: AttemptHistory) -> bool:
    """Return whether the route allows a further attempt.

    A request that may have run is retried only if its route is repeatable.
    """
    if attempts.not_run > MAX_NOT_RUN_ATTEMPTS:
        return False
    if not attempts.may_have_run:
        return True
    return route.repeatable and attempts.may_have_run < route.attempts


def final_refusal(attempts: AttemptHistory, end: AttemptEnd) -> Refusal:
    """Return the refusal of a request that is not retried any more.

    Its `ran` is `Ran.NO` only if no attempt may have run the request.
    """
    if not attempts.may_have_run:
        detail = f"the endpoint did not take the request ({end.value})"
        return Refusal(ErrorKind.OVERLOADED, detail, Ran.NO)
    if end is AttemptEnd.SILENT:
        return Refusal(ErrorKind.NO_ANSWER, "no answer came", Ran.UNKNOWN)
    detail = f"the attempt ended without an answer ({end.value})"
    return Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)
