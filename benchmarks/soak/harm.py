"""Callers whose requests crash the endpoints that run them.

Some callers repeat the same content; others send different requests that have one
harmful part of their prompts in common.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import h11

from benchmarks.hosted import call, model_headers
from benchmarks.soak.faults import UNSOUND_RECOVERY
from benchmarks.soak.promises import PART_PREFIX, CrashRecord
from standins.hosted import CRASH_EXIT_CODE, HARMFUL, HARMFUL_PART

if TYPE_CHECKING:
    import random

    from benchmarks.soak.callers import Account
    from benchmarks.soak.faults import Faults

#: Maximum seconds between two requests of one caller.
PAUSE = 1.0
#: Minimum and maximum seconds from a crash until the registration is removed.
LEASE = (0.5, 3.0)
#: Seconds that a caller waits for an answer.
ANSWER_TIMEOUT = 3.0
#: Seconds before its last record within which an endpoint has crashed.
CRASH_MARGIN = 0.1
#: Prefix of the ids of harmful requests.
PREFIX = "harm"
#: Paths to which they are sent.
PATHS = ("/stream/x", "/stream-once/x")


class HarmfulCallers:
    """Callers of harmful requests, and replacement of the crashed endpoints.

    Parameters
    ----------
    faults : Faults
        Starts and deregisters endpoints.
    rng : random.Random
        Source of all random choices.
    account : Account
        Receives the crashes.
    """

    def __init__(self, faults: Faults, rng: random.Random, account: Account) -> None:
        self.faults = faults
        self.fleet = faults.fleet
        self.rng = rng
        self.account = account
        self.requests = 0
        self.stopped = False
        #: Times at which crashed endpoints were deregistered.
        self.deregistered: dict[str, float] = {}

    async def repeat(self, content: int) -> None:
        """Send one content to random routers until the run ends."""
        body = HARMFUL + b" %d" % content
        while not self.stopped:
            self.requests += 1
            headers = model_headers(f"{PREFIX}-{content}-{self.requests}")
            await self._send(headers, body)

    async def repeat_part(self, number: int) -> None:
        """Send different requests with one harmful part until the run ends."""
        while not self.stopped:
            self.requests += 1
            name = f"{PREFIX}-{PART_PREFIX}{number}-{self.requests}"
            prompt = f"aa:100,{HARMFUL_PART}{number}:100,{name}:200"
            headers = {**model_headers(name), "Prompt-Prefix": prompt}
            await self._send(headers, name.encode())

    async def _send(self, headers: dict[str, str], body: bytes) -> None:
        """Send a request to a random router, then pause."""
        port = self.fleet.ports[self.faults.pick_router()][0]
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await call(port, "POST", self.rng.choice(PATHS), body, headers)
        except (OSError, TimeoutError, h11.ProtocolError):
            # Its router or endpoint has ended; the endpoints record what ran.
            pass
        await asyncio.sleep(self.rng.uniform(0, PAUSE))

    async def replace_ended(self) -> None:
        """Replace each endpoint that crashes until the run ends."""
        async with asyncio.TaskGroup() as group:
            while not self.stopped:
                for name, process in list(self.fleet.endpoints.items()):
                    free = name not in self.faults.busy
                    if free and process.popen.poll() == CRASH_EXIT_CODE:
                        self.faults.busy.add(name)
                        group.create_task(self._replace(name))
                await asyncio.sleep(0.05)

    async def _replace(self, name: str) -> None:
        self.faults.cut_link(name)
        await asyncio.sleep(self.rng.uniform(*LEASE))
        await self.faults.deregister_crashed_endpoint(name)
        self.deregistered[name] = time.time()
        await self.faults.start_endpoint(self.fleet.services[name])

    def record_crashes(self) -> None:
        """Record the requests that crashed endpoints, and when these crashed."""
        ended = {
            name
            for name, process in self.faults.all_endpoints.items()
            if process.popen.poll() == CRASH_EXIT_CODE
        }
        for item in self.account.arrivals:
            kind, _, rest = item.request.partition("-")
            if kind == PREFIX and item.endpoint in ended:
                content = rest.partition("-")[0]
                harm = CrashRecord(content, item.request, item.endpoint, item.at)
                self.account.crash_records.append(harm)
        for name in ended:
            self._record_unsound(name)

    def _record_unsound(self, name: str) -> None:
        """Record that an endpoint has crashed, until routers know of it."""
        records = [item for item in self.account.arrivals if item.endpoint == name]
        crashed_at = max(item.ended_at for item in records) - CRASH_MARGIN
        unsound = self.account.unsound
        unsound.begin(name, crashed_at)
        span = unsound.begin(self.fleet.services[name], crashed_at)
        if name in self.deregistered:
            span.end = self.deregistered[name] + UNSOUND_RECOVERY
