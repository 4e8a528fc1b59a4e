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

    async def wait(self, lasted: float = 0.0) -> None:
        """Pause, for longer the next time.

        Parameters
        ----------
        lasted : float
            Seconds that the failed call took. They count as part of the pause: after a
            call that was never answered, waiting protects nobody.
        """
        pause = self.pause
        self.pause = min(RETRY_WAIT_MOST, 2 * pause)
        await asyncio.sleep(max(0.0, pause - lasted))
