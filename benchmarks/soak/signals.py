"""Signals to routers of the soak test that stop them and reload their settings."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.processes import Process
    from benchmarks.soak.faults import Faults

#: Fewest and most signals of a series, and most seconds between two of them.
SERIES_LENGTH = (2, 5)
SERIES_INTERVAL = 0.5


class Signals:
    """Signals to routers, also several that overlap.

    Parameters
    ----------
    faults : Faults
        Reaches the fleet and records the faults.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.fleet = faults.fleet
        self.rng = faults.rng

    async def reload(self) -> None:
        """Change a router's settings file and have it reloaded."""
        name = self.faults.pick_router()
        async with self.faults.claimed(name) as free:
            if free:
                self._send(self.fleet.routers[name], signal.SIGHUP)

    async def stop(self) -> None:
        """Stop a router gracefully and start it again."""
        await self.faults.end_router(self.faults.pick_router(), signal.SIGTERM)

    async def reload_while_stopping(self) -> None:
        """Have a router reload its settings several times, also while it stops."""
        await self._stop_under(signal.SIGHUP)

    async def stop_repeatedly(self) -> None:
        """Send SIGTERM to a router again while it stops."""
        await self._stop_under(signal.SIGTERM)

    async def _stop_under(self, number: int) -> None:
        """Have a router reload its settings, and stop it under further signals."""
        name = self.faults.pick_router()
        async with self.faults.claimed(name) as free:
            if not free:
                return
            process = self.fleet.routers[name]
            await self._send_series(process, signal.SIGHUP)
            await asyncio.gather(
                self.faults.replace_process(name, signal.SIGTERM),
                self._send_series(process, number),
            )

    async def _send_series(self, process: Process, number: int) -> None:
        """Send a signal to a router several times, until it has ended."""
        for _ in range(self.rng.randint(*SERIES_LENGTH)):
            await asyncio.sleep(self.rng.uniform(0, SERIES_INTERVAL))
            if process.popen.poll() is None:
                self._send(process, number)

    def _send(self, process: Process, number: int) -> None:
        if number == signal.SIGHUP:
            self.fleet.write_settings(process.name, log_level="info")
        process.signal(number)
