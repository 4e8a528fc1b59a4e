"""Faults of the soak test of forwarding routers, injected from outside of them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from http.client import HTTPException
from typing import TYPE_CHECKING, Any

from benchmarks.client import post_json
from benchmarks.hosted import HostedFleet
from benchmarks.soak.promises import Arrival, Disturbances

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from benchmarks.processes import Process
    from benchmarks.soak.callers import Account, Callers
    from benchmarks.soak.promises import Span

#: Maximum seconds between the starts of two faults, which may overlap.
PAUSE = 0.8
#: Minimum and maximum seconds that a fault lasts.
FAULT_DURATION = (0.4, 3.0)
#: Seconds after a disturbance before strict checks apply again.
RECOVERY = 5.0
#: Seconds after which a router or endpoint that did not work properly does so again.
UNSOUND_RECOVERY = 1.0
#: Seconds from SIGTERM after which a router that stops may break off requests.
STOP_GRACE = 8.0
STOP_BREAK_OFF = STOP_GRACE * 5 / 6
#: Seconds between events of a stream.
EVENT_INTERVAL = 0.01
#: Seconds between retries of a write to the store.
STORE_RETRY_INTERVAL = 0.1
#: Fault of an endpoint that announces its leaving.
LEAVING = {"leaving": True}
#: Seconds within which the process of an endpoint that crashes has ended.
CRASH_DURATION = 1.0
#: Software versions of endpoints; a replacement may have a different one.
VERSIONS = ("v1", "v2")
#: Seconds for which an endpoint serves after its leaving notice.
LEAVING_DURATION = 3.0


class Faults:
    """Faults and configuration changes that overlap at random.

    Parameters
    ----------
    fleet : HostedFleet
        The fleet.
    rng : random.Random
        Source of all random choices.
    account : Account
        Receives the faults, and the requests that reached removed endpoints.
    callers : Callers
        Check whether a change has taken effect.
    software : str
        Software version of new endpoints; empty for random ones.
    """

    def __init__(
        self,
        fleet: HostedFleet,
        rng: random.Random,
        account: Account,
        callers: Callers,
        software: str = "",
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.account = account
        self.callers = callers
        self.software = software
        self.starts = 0
        self.busy: set[str] = set()
        #: All endpoints of the run, including those that have ended.
        self.all_endpoints: dict[str, Process] = {}

    async def inject(
        self, seconds: float, kinds: list[Callable[[], Awaitable[None]]]
    ) -> None:
        """Start faults of some kinds at random times; they may overlap."""
        end = time.time() + seconds
        async with asyncio.TaskGroup() as group:
            while time.time() < end:
                fault = self.rng.choice(kinds)
                self.account.faults[fault.__name__] += 1
                self.account.changes.append((time.time(), fault.__name__))
                group.create_task(fault())
                await asyncio.sleep(self.rng.uniform(0, PAUSE))

    @property
    def unplanned(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults that may harm requests."""
        return [
            self.kill,
            self.kill_many,
            self.freeze,
            self.break_endpoint,
            self.break_link,
            self.crash_endpoint,
        ]

    @contextlib.asynccontextmanager
    async def claimed(self, name: str):
        """Reserve `name` for one fault; yield False if it is reserved already."""
        free = name not in self.busy
        if free:
            self.busy.add(name)
        try:
            yield free
        finally:
            if free:
                self.busy.discard(name)

    @contextlib.contextmanager
    def disturbed(self, *names: str):
        """Suspend strict checks for `names` during the block and `RECOVERY` s after."""
        disturbances = self.account.disturbances
        with _recorded(disturbances, {*names, "any"}, time.time(), RECOVERY):
            yield

    @contextlib.contextmanager
    def unsound(self, *names: str, delay: float = 0.0):
        """Record that `names` do not work properly during the block, from a delay on.

        Names are those of `promises.find_broken_answers`.
        """
        unsound = self.account.unsound
        with _recorded(unsound, {*names}, time.time() + delay, UNSOUND_RECOVERY):
            yield

    def pick_router(self) -> str:
        """Return the name of a random router."""
        return self.rng.choice(sorted(self.fleet.routers))

    def pick_endpoint(self) -> str:
        """Return the name of a random endpoint."""
        return self.rng.choice(sorted(self.fleet.endpoints))

    def fault_duration(self) -> float:
        """Return a random duration of a fault."""
        return self.rng.uniform(*FAULT_DURATION)

    async def kill(self) -> None:
        """Kill a router and restart it."""
        await self.end_router(self.pick_router(), signal.SIGKILL)

    async def kill_many(self) -> None:
        """Kill all routers at once."""
        await asyncio.gather(
            *(self.end_router(name, signal.SIGKILL) for name in self.fleet.routers)
        )

    async def end_router(self, name: str, number: int) -> None:
        """End a router by a signal and start it again, unless it has another fault."""
        async with self.claimed(name) as free:
            if free:
                await self.replace_process(name, number)

    async def replace_process(self, name: str, number: int) -> None:
        """End the process of a claimed router by a signal and start another one."""
        delay = 0.0 if number == signal.SIGKILL else STOP_BREAK_OFF
        with self.disturbed(name), self.unsound(name, delay=delay):
            process = self.fleet.routers[name]
            process.signal(number)
            while process.popen.poll() is None:
                await asyncio.sleep(0.02)
            await asyncio.sleep(self.rng.uniform(0, 1))
            self.fleet.restart_router(name)
            await self.fleet.wait_ready(name)

    async def freeze(self) -> None:
        """Suspend a router for a while."""
        name = self.pick_router()
        async with self.claimed(name) as free:
            if not free:
                return
            with self.disturbed(name), self.unsound(name):
                process = self.fleet.routers[name]
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(self.fault_duration())
                process.signal(signal.SIGCONT)

    async def break_link(self) -> None:
        """Reset or delay the connections to an endpoint, or drop their data."""
        name = self.pick_endpoint()
        service = self.fleet.services[name]
        with self.disturbed(*self.fleet.routers), self.unsound(name, service):
            await self.break_proxy(f"link-to-{name}")

    async def break_proxy(self, name: str) -> None:
        """Inject a fault at a proxy for a while."""
        async with self.claimed(name) as free:
            if not free:
                return
            control = self.fleet.proxies[name].control
            faults = self.rng.choice(
                [
                    {"cut": True},
                    {"silent": True},
                    {"swallow_up": True},
                    {"swallow_down": True},
                    {"delay": 0.05},
                ]
            )
            await post_json(control, "/faults", faults)
            await asyncio.sleep(self.fault_duration())
            await post_json(control, "/faults", {})

    async def break_endpoint(self) -> None:
        """Have an endpoint answer incorrectly, or not at all."""
        name = self.pick_endpoint()
        async with self.claimed(name) as free:
            if not free:
                return
            faults = self.rng.choice(
                [
                    {"break_after": 3},
                    {"break_after": 3, "within": True},
                    {"fail": True},
                    {"decline": True},
                    {"decline": True, "rest": "1"},
                    {"lose": True},
                    {"silent": True},
                    {"foreign": True},
                    {"pause": 0.1},
                ]
            )
            with self.disturbed(*self.fleet.routers), self.unsound(name):
                port = self.fleet.endpoints[name].port
                await post_json(port, "/faults", faults)
                await asyncio.sleep(self.fault_duration())
                await post_json(port, "/faults", {})

    async def crash_endpoint(self) -> None:
        """Suspend and kill an endpoint, then start another one."""
        name = self.pick_endpoint()
        async with self.claimed(name) as free:
            if not free:
                return
            service = self.fleet.services[name]
            with self.disturbed(*self.fleet.routers), self.unsound(name, service):
                self.fleet.endpoints[name].signal(signal.SIGSTOP)
                await asyncio.sleep(self.fault_duration())
                self.fleet.endpoints[name].signal(signal.SIGCONT)
                await self.remove_endpoint(name)
                await self.start_endpoint(self.fleet.services[name])

    async def replace_endpoint(self) -> None:
        """Replace an endpoint that announces its leaving.

        Its answers announce it first, since the store may be unavailable.
        """
        name = self.pick_endpoint()
        async with self.claimed(name) as free:
            if not free:
                return
            await self.start_endpoint(self.fleet.services[name])
            await self.retire_endpoint(name)

    async def retire_endpoint(self, name: str) -> None:
        """Have a claimed endpoint announce its leaving, and remove it later."""
        await post_json(self.fleet.endpoints[name].port, "/faults", LEAVING)
        await self.retry_until_done(self.fleet.register, name, state="draining")
        self.account.left[name] = time.time()
        await asyncio.sleep(LEAVING_DURATION)
        await self.remove_endpoint(name)

    async def start_endpoint(self, service: str, software: str = "") -> str:
        """Start an endpoint, of a version if given, and return its new name."""
        self.starts += 1
        name = f"{service}-{self.starts}"
        launch = self.fleet.launch_endpoint
        # Until it is registered, which waits for the store, no fault may remove it.
        async with self.claimed(name):
            await asyncio.to_thread(
                launch,
                name,
                service,
                behind_proxy=True,
                pace=EVENT_INTERVAL,
                software=software or self.software or self.rng.choice(VERSIONS),
            )
            self.all_endpoints[name] = self.fleet.endpoints[name]
            await self.retry_until_done(self.fleet.register, name)
        return name

    async def remove_endpoint(self, name: str) -> None:
        """Collect the records of an endpoint, kill it and remove its registration."""
        process = self.fleet.endpoints[name]
        await post_json(process.port, "/faults", {"decline": True})
        await self.collect(name)
        with self.unsound(name, self.fleet.services[name]):
            process.kill()
            await self._drop_endpoint(name)

    async def deregister_crashed_endpoint(self, name: str) -> None:
        """Remove the registration of an endpoint that has crashed."""
        await self.collect(name)
        await self._drop_endpoint(name)

    def cut_link(self, name: str) -> None:
        """Have connections to an endpoint refused, as its address has no listener."""
        self.fleet.proxies[f"link-to-{name}"].kill()

    async def _drop_endpoint(self, name: str) -> None:
        self.cut_link(name)
        del self.fleet.endpoints[name]
        await self.retry_until_done(self.fleet.put, "keyed.servers", name, None)

    async def retry_until_done(
        self, act: Callable[..., None], *words: object, **named: object
    ) -> None:
        """Perform an action at the store, and repeat it until it succeeds."""
        while True:
            try:
                await asyncio.to_thread(act, *words, **named)
            except (OSError, HTTPException):
                await asyncio.sleep(STORE_RETRY_INTERVAL)
            else:
                return

    async def collect(self, name: str) -> None:
        """Record the requests that reached an endpoint."""
        try:
            records = await asyncio.to_thread(self.fleet.ran, name)
        except (OSError, HTTPException):
            # It has crashed as it was asked, and its records are in a file.
            popen = self.fleet.endpoints[name].popen
            await asyncio.to_thread(popen.wait, CRASH_DURATION)
            records = await asyncio.to_thread(self.fleet.ran, name)
        self.account.arrivals += [
            _arrival(record, name, self.fleet) for record in records
        ]


@contextlib.contextmanager
def _recorded(
    disturbances: Disturbances, names: set[str], start: float, recovery: float
):
    """Record a disturbance of `names` from a start to a recovery after the block."""
    spans: list[Span] = [disturbances.begin(name, start) for name in names]
    try:
        yield
    finally:
        for span in spans:
            span.over = time.time()
            span.end = span.over + recovery


def _arrival(record: dict[str, Any], name: str, fleet: HostedFleet) -> Arrival:
    return Arrival(
        record["id"],
        fleet.services[name],
        name,
        record["at"],
        True,
        record["ended_at"],
    )
