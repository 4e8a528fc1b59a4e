"""Exponential backoff between calls to a store that fails."""

from __future__ import annotations

import asyncio

import msgspec

#: Seconds before the first retry of a failed store call, and the upper limit; the delay
#: doubles after each further failure. Peers pass on new records meanwhile, and a store
#: that rejects every call still counts the calls.
MIN_RETRY_DELAY = 0.25
MAX_RETRY_DELAY = 1.0


class Backoff(msgspec.Struct):
    """Exponential backoff between calls to a store that fails.

    Attributes
    ----------
    pause : float
        Seconds of the next delay.
    """

    pause: float = MIN_RETRY_DELAY

    def reset(self) -> None:
        """Return to the shortest delay, after a successful call."""
        self.pause = MIN_RETRY_DELAY

    def next_delay(self) -> float:
        """Return the next delay in seconds, and double it up to the limit."""
        pause = self.pause
        self.pause = min(MAX_RETRY_DELAY, 2 * pause)
        return pause

    async def wait(self) -> None:
        """Sleep for the next delay."""
        await asyncio.sleep(self.next_delay())
