"""Releases of another software version in the midst of other faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from benchmarks.client import post_json
from benchmarks.soak.faults import VERSIONS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benchmarks.soak.faults import Faults
    from benchmarks.soak.isolation import Isolation

#: How much more frequent releases amid other faults are where nothing else changes the
#: version.
WEIGHT = 5
#: Most seconds between the start of a fault and a release, in either order.
MAX_LEAD = 0.5
#: Event after which endpoints of a new version break streams off, and for how many
#: seconds they do so.
BROKEN_AFTER = 3
BREAKING_DURATION = 1.0


class Releases:
    """Endpoints of another version that join while those of the old one leave.

    Parameters
    ----------
    faults : Faults
        Reaches the fleet and records the faults.
    isolation : Isolation
        Faults between the routers.
    """

    def __init__(self, faults: Faults, isolation: Isolation) -> None:
        self.faults = faults
        self.fleet = faults.fleet
        self.rng = faults.rng
        self.isolation = isolation

    @property
    def kinds(self) -> list[Callable[[], Awaitable[None]]]:
        """Return all of them; where nothing else changes the version, more often."""
        weight = WEIGHT if self.faults.software else 1
        return [self.release, *[self.release_amid_fault] * weight]

    async def release(self) -> None:
        """Replace all model endpoints by those of another version."""
        async with self.faults.claimed("release") as free:
            names = self._model_endpoints()
            if not free or not names:
                return
            old = self.fleet.software[names[0]]
            new = next(item for item in VERSIONS if item != old)
            if self.faults.software:
                self.faults.software = new
            await asyncio.gather(*(self._replace(name, new) for name in names))

    def _model_endpoints(self) -> list[str]:
        return [x for x in self.fleet.endpoints if self.fleet.services[x] == "model"]

    async def _replace(self, name: str, software: str) -> None:
        """Replace an endpoint by one that breaks streams off for a while."""
        async with self.faults.claimed(name) as free:
            if not free:
                return
            successor = await self.faults.start_endpoint("model", software)
            await asyncio.gather(
                self.faults.retire_endpoint(name), self._break_streams(successor)
            )

    async def release_amid_fault(self) -> None:
        """Have a release and another fault begin at about the same time.

        The fault is one that leaves routers without knowledge of the release, or of
        the streams that began before it.
        """
        fault = self.rng.choice(
            [self.isolation.isolate, self.faults.freeze, self.faults.kill_many]
        )
        async with self.faults.claimed("release amid fault") as free:
            if free:
                await asyncio.gather(self._delayed(fault), self._delayed(self.release))

    async def _delayed(self, act: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(self.rng.uniform(0, MAX_LEAD))
        await act()

    async def _break_streams(self, name: str) -> None:
        """Have an endpoint break streams off for a while, unless it has a fault."""
        async with self.faults.claimed(name) as free:
            if not free:
                return
            with self.faults.unsound(name):
                port = self.fleet.endpoints[name].port
                await post_json(port, "/faults", {"break_after": BROKEN_AFTER})
                await asyncio.sleep(BREAKING_DURATION)
                await post_json(port, "/faults", {})
