"""Search for a further endpoint while the endpoint of an attempt is silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType

    from carawayfold.coordination.scheduling.offers import Granted

logger = logbook.Logger(__name__)

#: Seconds from the start of the first search without result to the next one, and of any
#: later search: each offer counts as demand of its organisation.
SEARCH_INTERVAL = 0.5
MAX_SEARCH_INTERVAL = 1.0


class ReplacementSearch:
    """Obtains the grant of a further endpoint before the present one is given up.

    The endpoint may still answer, so that its attempt ends only once another endpoint
    has been granted. Leaving the context cancels a search in progress and returns a
    grant that was not taken.

    Parameters
    ----------
    find : callable
        Returns a coroutine that obtains a grant, or None if there is none.
    give_back : callable
        Returns an unused grant to its scheduler.

    Attributes
    ----------
    task : asyncio.Task or None
        The search in progress, or one whose result was not read.
    next_at : float
        Loop time in seconds from which the next search may start.
    interval : float
        Seconds from the start of the next search to the one after it.
    """

    def __init__(
        self,
        find: Callable[[], Coroutine[None, None, Granted | None]],
        give_back: Callable[[Granted], None],
    ) -> None:
        self.find = find
        self.give_back = give_back
        self.task: asyncio.Task[Granted | None] | None = None
        self.next_at = 0.0
        self.interval = SEARCH_INTERVAL

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.abandon()

    @property
    def tasks(self) -> list[asyncio.Task[Granted | None]]:
        """Return the search in progress, if any, to wait for."""
        return [self.task] if self.task is not None else []

    def poll(self, now: float) -> Granted | None:
        """Return the grant that was found, and start a search if one is due."""
        if self.task is None:
            if now >= self.next_at:
                self.next_at = now + self.interval
                self.interval = min(2 * self.interval, MAX_SEARCH_INTERVAL)
                self.task = asyncio.get_running_loop().create_task(self.find())
            return None
        if not self.task.done():
            return None
        task, self.task = self.task, None
        return _result_of(task)

    def abandon(self) -> None:
        """Cancel the search, and return a grant that it has found."""
        task, self.task = self.task, None
        if task is None:
            return
        if not task.done():
            task.cancel()
            return
        granted = _result_of(task)
        if granted is not None:
            self.give_back(granted)


def _result_of(task: asyncio.Task[Granted | None]) -> Granted | None:
    """Return the grant of a search that has ended; None if it failed."""
    if task.cancelled():
        return None
    error = task.exception()
    if error is None:
        return task.result()
    logger.error("the search for an endpoint failed", extra={"reason": repr(error)})
    return None
