"""Lowest fraction of its entitlement that an organisation received.

Over a window of six seconds, an organisation is entitled to the tokens that it
requested or that the best served organisation received, whichever is less in each
second, without three of its largest requests. Tokens count as received in the second
in which a request begins to run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

#: Length of a window in seconds.
WINDOW_SECONDS = 6
#: Number of largest requests that are not counted.
EXCLUDED_REQUESTS = 3
#: Lowest allowed fraction.
MIN_PART = 0.5


class LeastPart(NamedTuple):
    """Organisation with the lowest fraction.

    Attributes
    ----------
    part : float
        Tokens received divided by the entitlement; 1 if all received theirs.
    organisation : str or None
        The organisation, None if all received their entitlement.
    begin : int
        First second of the window.
    """

    part: float = 1.0
    organisation: str | None = None
    begin: int = 0


def least_part(
    asked: Mapping[str, Mapping[int, float]],
    got: Mapping[str, Mapping[int, float]],
    requests: Mapping[str, Collection[float]],
    seconds: int,
) -> LeastPart:
    """Return the lowest fraction that an organisation received in any window.

    Parameters
    ----------
    asked, got : mapping
        Tokens by organisation and second, starting at 0; seconds without tokens may
        be missing.
    requests : mapping
        Tokens of each request, by organisation.
    seconds : int
        Number of seconds to examine.
    """
    excluded = {
        name: sum(sorted(requests[name])[-EXCLUDED_REQUESTS:]) for name in asked
    }
    least = LeastPart()
    for begin in range(seconds - WINDOW_SECONDS + 1):
        window = range(begin, begin + WINDOW_SECONDS)
        sums = {name: _sum(got.get(name, {}), window) for name in asked}
        best = got.get(max(sums, key=sums.get), {}) if sums else {}
        for name in asked:
            due = sum(
                min(asked[name].get(second, 0), best.get(second, 0))
                for second in window
            )
            due -= excluded[name]
            if due > 0 and sums[name] / due < least.part:
                least = LeastPart(sums[name] / due, name, begin)
    return least


def _sum(amounts: Mapping[int, float], window: range) -> float:
    return sum(amounts.get(second, 0) for second in window)
