"""Faults of the store in the soak test of forwarding routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from benchmarks.client import post_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benchmarks.soak.faults import Faults

#: Seconds after a restore until records that the snapshot lacks are written again.
REWRITE_DELAY = 0.5
#: Topics of the store.
TOPICS = ("keyed.op", "keyed.servers", "keyed.routers")


class StoreFaults:
    """Faults of the store and of the connections to it.

    Parameters
    ----------
    faults : Faults
        Reaches the fleet and records the faults.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.fleet = faults.fleet
        self.rng = faults.rng

    @property
    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return all of them."""
        return [
            self.break_store,
            self.trim_store,
            self.restore_store,
            self.break_store_connection,
        ]

    async def break_store(self) -> None:
        """Make the store unavailable, or lose its answers."""
        async with self.faults.claimed("store") as free:
            if not free:
                return
            faults = self.rng.choice(
                [
                    {"refuse": True},
                    {"silent": True},
                    {"lose": True},
                    {"silent_topic": self.rng.choice(TOPICS)},
                ]
            )
            with self.faults.disturbed(*self.fleet.routers):
                await post_json(self.fleet.store.port, "/faults", faults)
                await asyncio.sleep(self.faults.fault_duration())
                await post_json(self.fleet.store.port, "/faults", {})

    async def trim_store(self) -> None:
        """Drop the history of a topic, except for the newest records."""
        topic = self.rng.choice(TOPICS)
        await post_json(self.fleet.store.port, f"/forget?topic={topic}", {})

    async def restore_store(self) -> None:
        """Restore a snapshot of the store; others write their records again."""
        async with self.faults.claimed("store") as free:
            if not free:
                return
            port = self.fleet.store.port
            await post_json(port, "/copy", {})
            await asyncio.sleep(self.faults.fault_duration())
            with self.faults.disturbed(*self.fleet.routers):
                await post_json(port, f"/restore?again={REWRITE_DELAY}", {})
                await asyncio.sleep(REWRITE_DELAY)

    async def break_store_connection(self) -> None:
        """Reset or delay one router's connections to the store, or drop their data."""
        name = self.faults.pick_router()
        with self.faults.disturbed(name):
            await self.faults.break_proxy(f"store-of-{name}")
