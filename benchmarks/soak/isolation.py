"""Routers of the soak test that lose contact with their peers and the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benchmarks.soak.faults import Faults

#: Fractions of datagrams between routers that are lost.
LOSS_FRACTIONS = (0.1, 0.3, 0.6)


class Isolation:
    """Faults between the routers.

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
        return [self.isolate, self.block_one_direction, self.lose_datagrams]

    async def isolate(self) -> None:
        """Disconnect a router from its peers and the store."""
        name = self.faults.pick_router()
        connection = f"store-of-{name}"
        async with (
            self.faults.claimed("relay") as relay_free,
            self.faults.claimed(name) as router_free,
            self.faults.claimed(connection) as connection_free,
        ):
            if not (relay_free and router_free and connection_free):
                return
            with self.faults.disturbed(name):
                self.fleet.isolate(name)
                await asyncio.sleep(self.faults.fault_duration())
                self.fleet.reconnect(name)

    async def block_one_direction(self) -> None:
        """Drop what a router sends to its peers, or what they send to it."""
        name = self.faults.pick_router()
        sent = self.rng.random() < 0.5
        pairs = {
            (sender, receiver)
            for sender, receiver in self.fleet.pairs_of(name)
            if (sender == name) is sent
        }
        await self._block(pairs, 0.0)

    async def lose_datagrams(self) -> None:
        """Lose a fraction of all datagrams between the routers."""
        await self._block(set(), self.rng.choice(LOSS_FRACTIONS))

    async def _block(self, pairs: set[tuple[str, str]], loss: float) -> None:
        async with self.faults.claimed("relay") as free:
            if not free:
                return
            with self.faults.disturbed(*self.fleet.routers):
                self.fleet.block(pairs, loss)
                await asyncio.sleep(self.faults.fault_duration())
                self.fleet.block([])
