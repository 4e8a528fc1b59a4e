"""Endpoints of the soak test that are silent, or send bytes without end."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from benchmarks.client import post_json
from standins import endless

if TYPE_CHECKING:
    from benchmarks.soak.faults import Faults

#: Minimum and maximum seconds for which a sound endpoint is silent.
SILENCE_DURATION = (0.9, 1.6)
#: Seconds between checks whether a silent endpoint has crashed.
CRASH_CHECK_INTERVAL = 0.05
#: Kinds of bytes without end, and seconds between their portions.
ENDLESS = (endless.HEAD, endless.BODY, endless.EVENTS, endless.AFTER)
INTERVALS = (0.01, 0.1)


class Misbehaviour:
    """Silent endpoints, which are sound, and endpoints that send without end.

    Parameters
    ----------
    faults : Faults
        Reaches the fleet and records the faults.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.fleet = faults.fleet
        self.rng = faults.rng

    async def silence_one(self) -> None:
        """Have an endpoint send nothing for a while."""
        await self._silence(self.faults.pick_endpoint())

    async def silence_several(self) -> None:
        """Have about half of the endpoints send nothing for a while."""
        names = sorted(self.fleet.endpoints)
        await self._silence(*self.rng.sample(names, len(names) // 2))

    async def silence_all(self) -> None:
        """Have all endpoints send nothing for a while."""
        await self._silence(*sorted(self.fleet.endpoints))

    async def _silence(self, *names: str) -> None:
        """Have endpoints send nothing, unless they have another fault."""
        seconds = self.rng.uniform(*SILENCE_DURATION)
        await asyncio.gather(*(self._silence_endpoint(name, seconds) for name in names))

    async def _silence_endpoint(self, name: str, seconds: float) -> None:
        async with self.faults.claimed(name) as free:
            if not free or name not in self.fleet.endpoints:
                return
            await post_json(self._port(name), "/faults", {"quiet": seconds})
            await self._wait_or_ended(name, seconds)

    async def _wait_or_ended(self, name: str, seconds: float) -> None:
        """Wait for some seconds, or until an endpoint has crashed."""
        popen = self.fleet.endpoints[name].popen
        end = time.time() + seconds
        while time.time() < end and popen.poll() is None:
            await asyncio.sleep(CRASH_CHECK_INTERVAL)

    async def send_without_end(self) -> None:
        """Have an endpoint send bytes without end for a while."""
        name = self.faults.pick_endpoint()
        kind = self.rng.choice(ENDLESS)
        interval = self.rng.choice(INTERVALS)
        async with self.faults.claimed(name) as free:
            if not free:
                return
            # A request that is sent behind the excess bytes does not arrive.
            names = (
                {name, self.fleet.services[name]} if kind == endless.AFTER else {name}
            )
            with self.faults.unsound(*names):
                fault = {"endless": kind, "interval": interval}
                await post_json(self._port(name), "/faults", fault)
                await asyncio.sleep(self.faults.fault_duration())
                await post_json(self._port(name), "/faults", {})

    def _port(self, name: str) -> int:
        return self.fleet.endpoints[name].port
