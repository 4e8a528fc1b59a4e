"""Confirms that a router knows all that the store knew at a moment.

Records that were read some time ago don't tell what has been written since. Where that
matters, the store is read once more: its answers are linearizable, so that a read
returns all records that were written before it began.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from carawayfold.protocol.sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawayfold.coordination.knowledge.followers import Follower

logger = logbook.Logger(__name__)

#: Seconds within which the store must answer. Those who wait are requests.
CONFIRMATION_TIMEOUT = 0.4
#: Seconds between the starts of two confirmations. With two topics, all routers of a
#: mesh and all hubs of a large fleet make some thousand calls a second at the most.
CONFIRMATION_INTERVAL = 0.06


class StoreConfirmation:
    """Reads all followed topics of the store on demand, once for all who ask meanwhile.

    Parameters
    ----------
    followers : sequence of Follower
        Followers of the topics; none before the router has begun to follow them.
    """

    def __init__(self, followers: Sequence[Follower]) -> None:
        self.followers = followers
        self.loop = asyncio.get_running_loop()
        #: Confirmation that has not begun to read yet.
        self.pending: asyncio.Task[bool] | None = None
        #: Confirmation that reads.
        self.running: asyncio.Task[bool] | None = None
        #: Loop time at which the last one began to read.
        self.started_at = float("-inf")

    async def confirm(self) -> bool:
        """Return whether all records that were written before this call are known."""
        if not self.followers or not all(x.has_position for x in self.followers):
            return False
        if self.pending is None:
            self.pending = self.loop.create_task(self._confirm_after_pause())
        # Others may wait for it too.
        return await asyncio.shield(self.pending)

    async def _confirm_after_pause(self) -> bool:
        try:
            if self.running is not None:
                await asyncio.wait({self.running})
            earliest = self.started_at + CONFIRMATION_INTERVAL
            await asyncio.sleep(max(0.0, earliest - self.loop.time()))
        finally:
            self.running, self.pending = self.pending, None
        self.started_at = self.loop.time()
        return await self._read_all()

    async def _read_all(self) -> bool:
        reads = [follower.read_at_once() for follower in self.followers]
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT):
                return all(await asyncio.gather(*reads))
        except (SourceError, TimeoutError) as error:
            logger.info("records not confirmed", extra={"reason": repr(error)})
            return False
