"""Growing pauses between calls of a store that fails."""

from __future__ import annotations

import asyncio

import msgspec

#: Seconds before the store is asked again after it failed, twice as long after each
#: further failure, and the most: what comes meanwhile is told by peers, and a store
#: that refuses every call still counts them.
RETRY_WAIT = 0.25
RETRY_WAIT_MOST = 1.0


class Backoff(msgspec.Struct):
    """Growing pauses between calls of a store that fails."""

    pause: float = RETRY_WAIT

    def reset(self) -> None:
        """Note that a call was answered."""
        self.pause = RETRY_WAIT

    def next_pause(self) -> float:
        """Return the seconds to pause, more the next time."""
        pause = self.pause
        self.pause = min(RETRY_WAIT_MOST, 2 * pause)
        return pause

    async def wait(self) -> None:
        """Pause, for longer the next time."""
        await asyncio.sleep(self.next_pause())
