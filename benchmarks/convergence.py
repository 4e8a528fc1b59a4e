"""Measures how soon all routers of a fleet of real processes apply an update.

``python -m benchmarks.convergence --routers 4 --rounds 5`` prints the median and the
maximum time of each update after each disruption. An update is a record that operators
or an endpoint write to the store after the disruption, or a leaving notice in an answer
of an endpoint while the store does not respond.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from datetime import datetime
from enum import Enum
from typing import TYPE_CHECKING, Any

import typer

from benchmarks.hosted import (
    HostedFleet,
    ask_standin,
    call,
    configuration,
    plain_headers,
)
from benchmarks.processes import Processes
from benchmarks.report import figure

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds within which each router must apply an update.
CONVERGENCE_TIMEOUT = 10.0
#: Seconds between reads of the routers' logs.
POLL_INTERVAL = 0.02
#: Minimum and maximum seconds that a disruption lasts.
DISRUPTION_DURATION = (0.5, 4.0)
#: Requests sent at once, so that a new endpoint also gets one of them.
CONCURRENT_REQUESTS = 20
#: Maximum seconds from the end of a disruption to the update.
MAX_UPDATE_DELAY = 0.5


class Disruption(Enum):
    """Disruptions before an update."""

    NONE = "calm"
    STORE_SILENT = "store silent"
    CONNECTIONS_SILENT = "connections silent"


class Update(Enum):
    """Updates that routers have to apply."""

    VERSION = "configuration"
    LEAVES = "endpoint leaves, by its entry"
    SAYS_LEAVING = "endpoint leaves, by an answer"


class Convergence:
    """A fleet that receives updates.

    Parameters
    ----------
    processes : Processes
        Runs the fleet.
    routers : int
        Number of routers.
    rng : random.Random
        Draws the durations of disruptions.
    """

    def __init__(self, processes: Processes, routers: int, rng: random.Random):
        self.fleet = HostedFleet(processes)
        self.rng = rng
        self.version = 1
        self.started = 0
        self.names = [f"router-{number}" for number in range(routers)]
        self.fleet.configure(configuration())
        self._start_endpoint()
        for name in self.names:
            self.fleet.start_router(name, behind_proxy=True)

    async def wait_ready(self) -> None:
        """Wait until every router is ready."""
        for name in self.names:
            await self.fleet.wait_ready(name)

    def _start_endpoint(self) -> str:
        self.started += 1
        name = f"d-{self.started}"
        self.fleet.start_endpoint(name, "desk")
        return name

    async def play(self, disruption: Disruption, update: Update) -> list[float]:
        """Return the seconds until each router has applied an update."""
        name = self._start_endpoint()
        await self._logged({"event": "endpoint registered", "endpoint": name})
        await self._disrupt(disruption)
        if update is Update.VERSION:
            self.version += 1
            sent_at = time.time()
            self.fleet.configure(configuration(self.version))
            expected = {"event": "configuration in force", "version": self.version}
        elif update is Update.LEAVES:
            sent_at = time.time()
            self.fleet.register(name, state="draining")
            expected = {
                "event": "endpoint registered",
                "endpoint": name,
                "leaving": True,
            }
        else:
            sent_at = await self._receive_notice(name)
            expected = {"event": "endpoint says that it leaves", "endpoint": name}
        return [at - sent_at for at in await self._logged(expected)]

    async def _disrupt(self, disruption: Disruption) -> None:
        if disruption is Disruption.NONE:
            return
        duration = self.rng.uniform(*DISRUPTION_DURATION)
        if disruption is Disruption.STORE_SILENT:
            self._set_store({"silent": True})
            await asyncio.sleep(duration)
            self._set_store({})
        else:
            for name in self.names:
                control = self.fleet.proxies[f"store-of-{name}"].control
                ask_standin(control, "POST", "/faults", b'{"silent": true}')
        await asyncio.sleep(self.rng.uniform(0, MAX_UPDATE_DELAY))

    def _set_store(self, faults: dict[str, Any]) -> None:
        self.fleet.call_store("POST", "/faults", json.dumps(faults).encode())

    async def _receive_notice(self, name: str) -> float:
        """Have one router receive a leaving notice while the store does not respond.

        Returns
        -------
        float
            Unix seconds just before the requests were sent.
        """
        self._set_store({"silent": True})
        self.fleet.set_faults(name, leaving=True)
        port = self.fleet.ports[self.names[0]][0]
        number = 0
        while not self.fleet.arrived(name):
            asked = time.time()
            requests = [f"{name}-{number + one}" for one in range(CONCURRENT_REQUESTS)]
            number += CONCURRENT_REQUESTS
            sent = [
                call(port, "POST", "/once/x", b"", plain_headers(request))
                for request in requests
            ]
            await asyncio.gather(*sent)
        self._set_store({})
        return asked

    async def _logged(self, expected: dict[str, object]) -> list[float]:
        """Return the Unix seconds at which each router first logged an event."""
        return [await self._first(name, expected.items()) for name in self.names]

    async def _first(self, name: str, expected: Any) -> float:
        end = time.time() + CONVERGENCE_TIMEOUT
        while time.time() < end:
            for line in self.fleet.processes.output_of(name).splitlines():
                fields = json.loads(line)
                if expected <= fields.items():
                    return datetime.fromisoformat(fields["time"]).timestamp()
            await asyncio.sleep(POLL_INTERVAL)
        return float("inf")


async def measure(
    routers: int, rounds: int, seed: int, show: Callable[[str, float, str], None]
) -> None:
    """Measure each update after each disruption."""
    with Processes() as processes:
        made = Convergence(processes, routers, random.Random(seed))
        await made.wait_ready()
        for disruption in Disruption:
            for update in Update:
                ages: list[float] = []
                for _ in range(rounds):
                    ages += await made.play(disruption, update)
                ages.sort()
                name = f"{disruption.value}: {update.value}"
                show(f"{name}, median", ages[len(ages) // 2], "s")
                show(f"{name}, longest", ages[-1], "s")


def main(routers: int = 4, rounds: int = 5, seed: int = 1) -> None:
    """Print how soon routers apply updates."""
    asyncio.run(measure(routers, rounds, seed, figure))


if __name__ == "__main__":
    typer.run(main)
