"""Follows every order of a model's events, breadth first, once for each state."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable
    from enum import Enum


class Model(Protocol):
    """What is checked: one state, reached by a series of events."""

    def possible(self) -> list[Any]:
        """Return the events that may happen now."""

    def play(self, event: Any) -> bool:
        """Let an event happen; return whether something is wrong after it."""

    def key(self) -> Hashable:
        """Return what tells this state from others."""


@dataclass
class Checked:
    """What a check has found.

    Attributes
    ----------
    states : int
        Different states that were reached.
    counterexample : list of Enum or None
        A shortest series of events after which something is wrong.
    """

    states: int
    counterexample: list[Enum] | None = None


def check(
    make: Callable[[], Model],
    depth: int,
    wrong_at_rest: Callable[[Any], bool] = lambda model: False,
) -> Checked:
    """Follow every series of up to `depth` events.

    Parameters
    ----------
    make : callable
        Returns the first state; called in a loop.
    wrong_at_rest : callable, optional
        Returns whether something is wrong once nothing more happens; it may change the
        model.
    """
    with logbook.NullHandler().applicationbound():
        return asyncio.run(_check(make, depth, wrong_at_rest))


async def _check(make, depth, wrong_at_rest):
    seen = {make().key()}
    front = [[]]
    for _ in range(depth):
        reached = []
        for path in front:
            for event in replay(make, path).possible():
                model = replay(make, path)
                wrong = model.play(event)
                key = model.key()
                if wrong or wrong_at_rest(model):
                    return Checked(len(seen), [*path, event])
                if key not in seen:
                    seen.add(key)
                    reached.append([*path, event])
        front = reached
    return Checked(len(seen))


def replay(make, path):
    """Return the model after a series of events."""
    model = make()
    for event in path:
        model.play(event)
    return model
