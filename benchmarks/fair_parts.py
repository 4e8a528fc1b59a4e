"""The least part that an organisation got of what the users' rule grants it.

The rule: over six seconds an organisation gets at least half of what it asked or the
best served one got, whichever is less, second by second, less three of its largest
requests. What it got counts in the second in which a run begins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

#: Seconds over which the rule looks.
RULE_WINDOW = 6
#: Requests of most tokens that the rule leaves out.
LEFT_OUT = 3
#: What the users allow a part to fall to.
LEAST_ACCEPTED = 0.5


class LeastPart(NamedTuple):
    """Who got least of what was due.

    Attributes
    ----------
    part : float
        Tokens got by tokens due, 1 where nobody got less than was due.
    organisation : str or None
        Whose part it is, None where nobody got less than was due.
    begin : int
        The first second of the window.
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
    """Return the least part that an organisation got in any window of the rule.

    Parameters
    ----------
    asked, got : mapping
        Tokens by organisation and whole second from 0 on; a second without any may
        be missing.
    requests : mapping
        Tokens of each request, by organisation.
    seconds : int
        How many seconds are looked at.
    """
    left_out = {name: sum(sorted(requests[name])[-LEFT_OUT:]) for name in asked}
    least = LeastPart()
    for begin in range(seconds - RULE_WINDOW + 1):
        window = range(begin, begin + RULE_WINDOW)
        sums = {name: _sum(got.get(name, {}), window) for name in asked}
        best = got.get(max(sums, key=sums.get), {}) if sums else {}
        for name in asked:
            due = sum(
                min(asked[name].get(second, 0), best.get(second, 0))
                for second in window
            )
            due -= left_out[name]
            if due > 0 and sums[name] / due < least.part:
                least = LeastPart(sums[name] / due, name, begin)
    return least


def _sum(amounts: Mapping[int, float], window: range) -> float:
    return sum(amounts.get(second, 0) for second in window)
