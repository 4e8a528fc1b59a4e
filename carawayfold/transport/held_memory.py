"""Memory that requests of callers hold before they are answered, and its limit."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Default of the most bytes that the requests of all callers may hold.
HELD_LIMIT = 24 << 20
#: Fraction of the limit to which requests are given up once it is exceeded, so that the
#: holders are rarely sorted.
FREED_FRACTION = 0.9
#: Bytes that are counted for a parsed header field; the text of long ones is not.
FIELD_SIZE = 256


class Holder(Protocol):
    """A connection whose request holds memory.

    Attributes
    ----------
    held : int
        Bytes that it holds.
    since : float
        Monotonic seconds at which its request began.
    """

    held: int
    since: float

    @property
    def can_yield(self) -> bool:
        """Return whether it holds bytes that were not passed on."""

    def give_up(self) -> None:
        """Release bytes that were not passed on."""


class HeldMemory:
    """Counts the memory that requests hold, and makes room once it is used up.

    Requests that have not been passed on give way first if they hold much for long:
    their size is multiplied by the time since they began. A request that arrives as
    fast as others do so finds room beside those that are held open.

    Parameters
    ----------
    limit : int
        Most bytes that all requests may hold.
    """

    def __init__(self, limit: int = HELD_LIMIT) -> None:
        self.limit = limit
        #: Bytes that all requests hold.
        self.total = 0
        #: Number of requests given up.
        self.given_up = 0

    def update(self, holder: Holder, held: int) -> None:
        """Record that a request holds `held` bytes now."""
        self.total += held - holder.held
        holder.held = held

    @property
    def is_exceeded(self) -> bool:
        """Return whether requests must be given up."""
        return self.total > self.limit

    def make_room(self, holders: Iterable[Holder], now: float) -> None:
        """Give up requests until enough memory is free.

        Parameters
        ----------
        holders : iterable of Holder
            All connections.
        now : float
            Monotonic seconds.
        """
        yielding = [holder for holder in holders if holder.can_yield]
        yielding.sort(key=lambda item: item.held * (now - item.since), reverse=True)
        for holder in yielding:
            if self.total <= FREED_FRACTION * self.limit:
                return
            self.given_up += 1
            holder.give_up()
