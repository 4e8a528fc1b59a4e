"""How long until every router of a fleet of real processes goes by a word.

``python -m benchmarks.convergence --routers 4 --rounds 5`` prints the median and the
longest time of each word after each trouble. A word is what operators or an endpoint
write to the store after the trouble has ended, or what an endpoint says in an answer
while the store says nothing.
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

#: Seconds after which a router that does not go by a word is not waited for.
PATIENCE = 10.0
#: Seconds between looks at the routers' logs.
LOOK_INTERVAL = 0.02
#: Least and most seconds that a trouble lasts.
LASTS = (0.5, 4.0)
#: Requests at once, so that a fresh endpoint gets one beside those known to be fast.
AT_ONCE = 20
#: Most seconds from the end of a trouble to the word.
AFTER = 0.5


class Trouble(Enum):
    """What is wrong before a word."""

    NONE = "calm"
    STORE_SILENT = "store silent"
    CONNECTIONS_SILENT = "connections silent"


class Word(Enum):
    """What routers have to go by."""

    VERSION = "configuration"
    LEAVES = "endpoint leaves, by its entry"
    SAYS_LEAVING = "endpoint leaves, by an answer"


class Convergence:
    """A fleet, and the words that it is told.

    Parameters
    ----------
    processes : Processes
        Runs the fleet.
    routers : int
        How many there are.
    chance : random.Random
        Draws how long troubles last.
    """

    def __init__(self, processes: Processes, routers: int, chance: random.Random):
        self.fleet = HostedFleet(processes)
        self.chance = chance
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

    async def play(self, trouble: Trouble, word: Word) -> list[float]:
        """Return after how many seconds each router went by a word."""
        name = self._start_endpoint()
        await self._logged({"event": "endpoint registered", "endpoint": name})
        await self._trouble(trouble)
        if word is Word.VERSION:
            self.version += 1
            told = time.time()
            self.fleet.configure(configuration(self.version))
            wanted = {"event": "configuration in force", "version": self.version}
        elif word is Word.LEAVES:
            told = time.time()
            self.fleet.register(name, state="draining")
            wanted = {"event": "endpoint registered", "endpoint": name, "leaving": True}
        else:
            told = await self._hear(name)
            wanted = {"event": "endpoint says that it leaves", "endpoint": name}
        return [at - told for at in await self._logged(wanted)]

    async def _trouble(self, trouble: Trouble) -> None:
        if trouble is Trouble.NONE:
            return
        lasts = self.chance.uniform(*LASTS)
        if trouble is Trouble.STORE_SILENT:
            self._set_store({"silent": True})
            await asyncio.sleep(lasts)
            self._set_store({})
        else:
            for name in self.names:
                control = self.fleet.proxies[f"store-of-{name}"].control
                ask_standin(control, "POST", "/faults", b'{"silent": true}')
        await asyncio.sleep(self.chance.uniform(0, AFTER))

    def _set_store(self, faults: dict[str, Any]) -> None:
        self.fleet.call_store("POST", "/faults", json.dumps(faults).encode())

    async def _hear(self, name: str) -> float:
        """Let one router hear from an endpoint, while the store is silent.

        Returns
        -------
        float
            Unix seconds just before the requests of which one had the answer.
        """
        self._set_store({"silent": True})
        self.fleet.set_faults(name, leaving=True)
        port = self.fleet.ports[self.names[0]][0]
        number = 0
        while not self.fleet.arrived(name):
            asked = time.time()
            requests = [f"{name}-{number + one}" for one in range(AT_ONCE)]
            number += AT_ONCE
            sent = [
                call(port, "POST", "/once/x", b"", plain_headers(request))
                for request in requests
            ]
            await asyncio.gather(*sent)
        self._set_store({})
        return asked

    async def _logged(self, wanted: dict[str, object]) -> list[float]:
        """Return when each router logged a line first, in Unix seconds."""
        return [await self._first(name, wanted.items()) for name in self.names]

    async def _first(self, name: str, wanted: Any) -> float:
        end = time.time() + PATIENCE
        while time.time() < end:
            for line in self.fleet.processes.output_of(name).splitlines():
                fields = json.loads(line)
                if wanted <= fields.items():
                    return datetime.fromisoformat(fields["time"]).timestamp()
            await asyncio.sleep(LOOK_INTERVAL)
        return float("inf")


async def measure(
    routers: int, rounds: int, seed: int, show: Callable[[str, float, str], None]
) -> None:
    """Play each word after each trouble and show how long the routers took."""
    with Processes() as processes:
        made = Convergence(processes, routers, random.Random(seed))
        await made.wait_ready()
        for trouble in Trouble:
            for word in Word:
                ages: list[float] = []
                for _ in range(rounds):
                    ages += await made.play(trouble, word)
                ages.sort()
                name = f"{trouble.value}: {word.value}"
                show(f"{name}, median", ages[len(ages) // 2], "s")
                show(f"{name}, longest", ages[-1], "s")


def main(routers: int = 4, rounds: int = 5, seed: int = 1) -> None:
    """Print how long routers take to go by a word."""
    asyncio.run(measure(routers, rounds, seed, figure))


if __name__ == "__main__":
    typer.run(main)
