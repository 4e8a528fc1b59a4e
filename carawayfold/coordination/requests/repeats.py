"""Whether a request whose attempt failed may go to another endpoint."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from carawayfold.errors import ErrorKind, Ran, Refusal

if TYPE_CHECKING:
    from carawayfold.state.routes import Route

#: Sends that an endpoint states it did not run, after which a request is refused.
NOT_RUN_MOST = 2


class AttemptEnd(Enum):
    """How an attempt ended."""

    WHOLE = "whole"
    REJECTED = "rejected"
    ERROR_ANSWER = "error-answer"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    #: Nothing was sent, since its endpoint leaves.
    WITHDRAWN = "withdrawn"


class Attempts(msgspec.Struct):
    """What became of a request so far.

    Attributes
    ----------
    may_have_run : int
        Endpoints that may have begun to run it.
    not_run : int
        Sends that did not run for certain.
    answered : bool
        Whether a part of the answer has gone to the caller.
    """

    may_have_run: int = 0
    not_run: int = 0
    answered: bool = False

    def note(self, end: AttemptEnd) -> None:
        """Count an attempt by its end."""
        if end in (AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE):
            self.not_run += 1
        else:
            self.may_have_run += 1


def may_repeat(route: Route, attempts: Attempts) -> bool:
    """Return whether the route's rules allow a further attempt."""
    if attempts.not_run > NOT_RUN_MOST:
        return False
    if not attempts.may_have_run:
        return True
    return route.repeatable and attempts.may_have_run < route.attempts


def final_refusal(attempts: Attempts, end: AttemptEnd) -> Refusal:
    """Return the truthful answer when nothing more is tried."""
    if not attempts.may_have_run:
        detail = f"the endpoint did not take the request ({end.value})"
        return Refusal(ErrorKind.OVERLOADED, detail, Ran.NO)
    if end is AttemptEnd.SILENT:
        return Refusal(ErrorKind.NO_ANSWER, "no answer came", Ran.UNKNOWN)
    detail = f"the attempt ended without an answer ({end.value})"
    return Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)
