"""Requests that crash the engine that runs them, and their effects on others.

Each harmful content is sent repeatedly. The engine that generates its first token
crashes: all its other requests are lost, and another engine with an empty cache
replaces it some seconds later. A lost request is retried if the retry budget allows it.
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
    """Harmful requests, and how they are handled.

    Attributes
    ----------
    contents : int
        Number of harmful contents.
    interval : float
        Seconds between two requests of one content.
    begins : float
        Seconds from the start to the first request.
    restart : float
        Seconds until a crashed engine is replaced.
    contained : bool
        Whether a content is refused after it has crashed enough engines.
    budget : BudgetBounds
        Bounds on the retries of the fleet.
    """

    contents: int = 1
    interval: float = 0.5
    begins: float = 2.0
    restart: float = 4.0
    contained: bool = True
    budget: BudgetBounds = BudgetBounds(ratio=0.2, extra=20.0, window=10.0)

    def arrivals(self, seconds: float) -> list[tuple[float, str]]:
        """Return the sorted times at which each content is sent until `seconds`."""
        found = [
            (self.begins + time * self.interval, f"harmful-{number}")
            for number in range(self.contents)
            for time in range(int((seconds - self.begins) / self.interval) + 1)
        ]
        return sorted(found)


@dataclass(slots=True)
class Harm:
    """Effects of harmful requests.

    Attributes
    ----------
    ends : Counter
        Engines that each content crashed.
    lost : int
        Other requests that were lost in these crashes.
    repeated, unaffordable : int
        Lost requests that were retried, and that the retry budget did not allow.
    refused : int
        Harmful requests that were refused.
    down_until : dict
        Time at which each crashed engine is replaced, by name.
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
        """Return whether a content is refused, and count it."""
        known = self.plan.contained and self.ends[content] >= MIN_QUARANTINE_WEIGHT
        self.refused += known
        return known

    def note_request(self, now: float) -> None:
        """Count a request of a caller in the retry budget."""
        self.budget.request(SERVICE, now)

    def note_end(self, content: str, engine: str, now: float) -> None:
        """Record that a content crashed an engine."""
        self.ends[content] += 1
        self.down_until[engine] = now + self.plan.restart

    def take_back(self, now: float) -> list[str]:
        """Return the engines that are replaced by now."""
        back = [name for name, until in self.down_until.items() if until <= now]
        for name in back:
            del self.down_until[name]
        return back

    def may_repeat(self, name: str, now: float) -> bool:
        """Return whether a lost request is retried, and count it."""
        self.lost += 1
        if name in self.again or not self.budget.take(SERVICE, 1, now):
            self.unaffordable += name not in self.again
            return False
        self.again.add(name)
        self.repeated += 1
        return True
