"""What became of the requests of the soak test, by route and second."""

from __future__ import annotations

from collections import Counter, defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from benchmarks.soak.promises import FAILURES, NOT_RUN, CallerRecord

if TYPE_CHECKING:
    from collections.abc import Iterable


class Outcome(Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    #: The answer ended before it was complete.
    CUT = "cut"
    FAILED = "failed"
    #: The connection ended without an answer, or no answer came.
    NEITHER = "neither"
    #: The router had closed the connection when the request reached it.
    CROSSED = "crossed"
    #: The caller disconnected early.
    LEFT = "left"
    OTHER = "other"


#: Outcomes whose seconds are reported.
BROKEN = (Outcome.CUT, Outcome.FAILED, Outcome.NEITHER, Outcome.CROSSED)


def outcome_of(record: CallerRecord) -> Outcome:
    """Return how a request ended."""
    if record.left_at:
        return Outcome.LEFT
    if record.crossed:
        return Outcome.CROSSED
    if not record.status:
        return Outcome.NEITHER
    if not record.whole:
        return Outcome.CUT
    if record.status == 200:
        return Outcome.WHOLE
    if record.status in NOT_RUN:
        return Outcome.REFUSED
    return Outcome.FAILED if record.status in FAILURES else Outcome.OTHER


def count_outcomes(records: Iterable[CallerRecord]) -> list[str]:
    """Return a line for each route with the number of each outcome."""
    counts: dict[str, Counter[Outcome]] = defaultdict(Counter)
    for record in records:
        counts[record.route][outcome_of(record)] += 1
    return [
        f"{route}: "
        + ", ".join(f"{item.value} {found[item]}" for item in Outcome if found[item])
        for route, found in sorted(counts.items())
    ]


def list_seconds(
    records: Iterable[CallerRecord], changes: list[tuple[float, str]], start: float
) -> list[str]:
    """Return a line for each broken outcome of a route, and kind of change.

    Parameters
    ----------
    records : iterable of CallerRecord
        What the callers received.
    changes : list of tuple of float and str
        Time and kind of each fault and change.
    start : float
        Time from which seconds are counted.
    """
    seconds: dict[str, list[float]] = defaultdict(list)
    for record in records:
        outcome = outcome_of(record)
        if outcome in BROKEN:
            seconds[f"{record.route} {outcome.value}"].append(record.ended_at - start)
    for at, kind in changes:
        seconds[f"change {kind}"].append(at - start)
    return [
        f"{name} at {' '.join(f'{second:.2f}' for second in sorted(times))}"
        for name, times in sorted(seconds.items())
    ]
