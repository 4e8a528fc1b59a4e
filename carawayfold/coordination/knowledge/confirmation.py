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
    from collections.abc import Callable, Sequence

    from carawayfold.coordination.knowledge.followers import Follower

logger = logbook.Logger(__name__)

#: Seconds within which the store must answer. Those who wait are requests.
CONFIRMATION_TIMEOUT = 0.4
#: Seconds between the starts of two confirmations, per router of the fleet. With two
#: topics all routers together make at most a thousand calls a second.
INTERVAL_PER_ROUTER = 0.002


class StoreConfirmation:
    """Reads all followed topics of the store on demand, once for all who ask meanwhile.

    Parameters
    ----------
    followers : sequence of Follower
        Followers of the topics; none before the router has begun to follow them.
    fleet_size : callable
        Returns the number of routers.
    """

    def __init__(
        self, followers: Sequence[Follower], fleet_size: Callable[[], int]
    ) -> None:
        self.followers = followers
        self.fleet_size = fleet_size
        self.loop = asyncio.get_running_loop()
        #: Confirmation that has not begun to read yet.
        self.pending: asyncio.Task[bool] | None = None
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
        interval = INTERVAL_PER_ROUTER * self.fleet_size()
        try:
            await asyncio.sleep(max(0.0, self.started_at + interval - self.loop.time()))
        finally:
            self.pending = None
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
