"""What the end of an attempt tells a scheduler of its endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.scheduling.offers import Outcome

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.endpoint_load import (
        ActiveRequest,
        EndpointLoad,
    )

#: Seconds of suspension of an endpoint that refuses connections, or that a router
#: reports as leaving. Its registration is updated within that time.
UNAVAILABLE_SUSPENSION_DURATION = 4.0
#: Seconds of suspension of an endpoint that another router knows to be warming up and
#: this one doesn't. Its registration is read here within that time.
WARMING_SUSPENSION_DURATION = 0.5
#: Outcomes after which none of the router's idle connections counts as usable, unless
#: the one of the attempt was kept.
BROKEN_OUTCOMES = frozenset({Outcome.FAILED, Outcome.SILENT, Outcome.UNREACHABLE})


def record_end(
    load: EndpointLoad, active: ActiveRequest, outcome: Outcome, kept: int, now: float
) -> None:
    """Record the end of an attempt in the load of its endpoint.

    Parameters
    ----------
    load : EndpointLoad
        The endpoint, without the request.
    active : ActiveRequest
        The request.
    outcome : Outcome
        How the attempt ended.
    kept : int
        Milliseconds for which its router keeps the connection; 0 if it was closed.
    now : float
        Monotonic seconds.
    """
    _record_connection(load, active, outcome, kept, now)
    if outcome is Outcome.COMPLETE:
        load.record_residence(now - active.since)
    if outcome is Outcome.LEAVING:
        load.suspended_until = now + UNAVAILABLE_SUSPENSION_DURATION
    elif outcome is Outcome.WARMING:
        load.suspended_until = max(
            load.suspended_until, now + WARMING_SUSPENSION_DURATION
        )
    elif outcome is Outcome.SILENT:
        load.record_timeout(active.since, now)
    elif outcome is not Outcome.CANCELLED:
        load.record_attempt(outcome is not Outcome.COMPLETE, now)


def _record_connection(
    load: EndpointLoad, active: ActiveRequest, outcome: Outcome, kept: int, now: float
) -> None:
    if load.connections is None:
        return
    if kept > 0:
        load.connections.keep(active.call, kept, now)
    elif outcome in BROKEN_OUTCOMES:
        load.connections.forget(active.call)
