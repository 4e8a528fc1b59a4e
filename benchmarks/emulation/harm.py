"""Requests that end the engine that runs them, and what becomes of their companions.

Each harmful content is sent again and again. The engine that makes its first token
ends: all its other requests are lost with it, and another engine starts in its place
some seconds later, with nothing in its memory. A lost request is sent once more as long
as the budget of repeats allows.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from carawayfold.state.budget import BudgetBounds, RetryBudget
from carawayfold.state.crashes import MIN_QUARANTINE_WEIGHT
from carawayfold.state.ids import ServiceId

SERVICE = ServiceId("model")


@dataclass(frozen=True, slots=True)
class HarmPlan:
    """What harmful requests there are, and what is done about them.

    Attributes
    ----------
    contents : int
        Different harmful contents.
    interval : float
        Seconds between two requests of one content.
    begins : float
        Seconds from the start to the first one.
    restart : float
        Seconds until another engine starts in place of one that ended.
    contained : bool
        Whether a content is refused once enough engines have ended under it.
    budget : BudgetBounds
        Bounds of the fleet on repeats.
    """

    contents: int = 1
    interval: float = 0.5
    begins: float = 2.0
    restart: float = 4.0
    contained: bool = True
    budget: BudgetBounds = BudgetBounds(ratio=0.2, extra=20.0, window=10.0)

    def arrivals(self, seconds: float) -> list[tuple[float, str]]:
        """Return when each content is sent until `seconds`, in order."""
        found = [
            (self.begins + time * self.interval, f"harmful-{number}")
            for number in range(self.contents)
            for time in range(int((seconds - self.begins) / self.interval) + 1)
        ]
        return sorted(found)


@dataclass(slots=True)
class Harm:
    """What harmful requests have done so far.

    Attributes
    ----------
    ends : Counter
        Engines that ended under each content.
    lost : int
        Other requests that were lost with them.
    repeated, unaffordable : int
        Of these, sent once more, and not for want of budget.
    refused : int
        Harmful requests that were refused for their content.
    down_until : dict
        When another engine takes the place of one that ended, by name.
    """

    plan: HarmPlan
    budget: RetryBudget = field(init=False)
    ends: Counter[str] = field(default_factory=Counter)
    lost: int = 0
    repeated: int = 0
    unaffordable: int = 0
    refused: int = 0
    down_until: dict[str, float] = field(default_factory=dict)
    again: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        window = self.plan.budget.window
        self.budget = RetryBudget(self.plan.budget, started=-window)

    def is_refused(self, content: str) -> bool:
        """Return whether a content is kept from the engines, and count it."""
        known = self.plan.contained and self.ends[content] >= MIN_QUARANTINE_WEIGHT
        self.refused += known
        return known

    def note_request(self, now: float) -> None:
        """Note a request of a caller, which earns a part of a repeat."""
        self.budget.request(SERVICE, now)

    def note_end(self, content: str, engine: str, now: float) -> None:
        """Note that an engine ended under a content."""
        self.ends[content] += 1
        self.down_until[engine] = now + self.plan.restart

    def take_back(self, now: float) -> list[str]:
        """Return the engines whose place is taken again from now on."""
        back = [name for name, until in self.down_until.items() if until <= now]
        for name in back:
            del self.down_until[name]
        return back

    def may_repeat(self, name: str, now: float) -> bool:
        """Return whether a request that was lost is sent once more, and count it."""
        self.lost += 1
        if name in self.again or not self.budget.take(SERVICE, 1, now):
            self.unaffordable += name not in self.again
            return False
        self.again.add(name)
        self.repeated += 1
        return True
