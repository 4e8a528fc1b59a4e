"""Explicit-state model checking by breadth-first search over event sequences."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable
    from enum import Enum


class Model(Protocol):
    """A model in one state, which results from a sequence of events."""

    def possible(self) -> list[Any]:
        """Return the events that are enabled in this state."""

    def play(self, event: Any) -> bool:
        """Apply an event and return whether the new state violates a property."""

    def key(self) -> Hashable:
        """Return a key that is equal only for equal states."""


@dataclass
class CheckResult:
    """Result of a check.

    Attributes
    ----------
    states : int
        Number of distinct states reached.
    counterexample : list of Enum or None
        A shortest sequence of events that leads to a violation.
    """

    states: int
    counterexample: list[Enum] | None = None


def check(
    make: Callable[[], Model],
    depth: int,
    violated_when_idle: Callable[[Any], bool] = lambda model: False,
) -> CheckResult:
    """Check every state that is reachable by at most `depth` events.

    Parameters
    ----------
    make : callable
        Returns a model in its initial state; called inside a running event loop.
    violated_when_idle : callable, optional
        Returns whether a property is violated once no further events occur; it may
        change the model.
    """
    with logbook.NullHandler().applicationbound():
        return asyncio.run(_check(make, depth, violated_when_idle))


async def _check(make, depth, violated_when_idle):
    visited = {make().key()}
    frontier = [[]]
    for _ in range(depth):
        next_frontier = []
        for path in frontier:
            for event in replay(make, path).possible():
                model = replay(make, path)
                violated = model.play(event)
                key = model.key()
                if violated or violated_when_idle(model):
                    return CheckResult(len(visited), [*path, event])
                if key not in visited:
                    visited.add(key)
                    next_frontier.append([*path, event])
        frontier = next_frontier
    return CheckResult(len(visited))


def replay(make, path):
    """Return a new model after a sequence of events."""
    model = make()
    for event in path:
        model.play(event)
    return model
