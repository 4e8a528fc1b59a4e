"""The soak of routers that forward, among stand-ins of the users' platform.

Routers, endpoints and the store are processes of their own. Connections to the store
and to the endpoints go through proxies that delay, reset, silence or cut them one
way; routers are stopped, paused, killed and restarted by signals.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from http.client import HTTPException
from pathlib import Path
from typing import TYPE_CHECKING, Any

import h11

from benchmarks.client import post_json
from benchmarks.hosted import (
    HOST,
    HostedFleet,
    configuration,
    model_headers,
    plain_headers,
    read_answer,
    route,
)
from benchmarks.processes import Processes
from benchmarks.soak import promises
from benchmarks.soak.promises import Arrival, Disturbances, Told

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benchmarks.hosted import CallAnswer
    from benchmarks.soak.promises import Span

#: Routers, model endpoints and application endpoints of the usual run.
ROUTERS = 4
MODELS = 3
DESKS = 3
CALLERS = 12
#: Longest time in seconds between two faults; they overlap.
PAUSE = 0.8
#: Least and most seconds that a fault lasts.
LASTS = (0.4, 3.0)
#: Seconds after the last fault before the final checks; also what follows a
#: disturbance before strict checks hold again.
RECOVERY = 5.0
#: Seconds that a caller waits for an answer; above the longest route's time.
PATIENCE = 12.0
#: Seconds for a connection.
CONNECT = 1.0
#: Part of the callers of streams that leave early, and after how long at most.
LEAVES = 0.1
LEAVES_AFTER = 0.2
#: Seconds between events of the endpoints.
PACE = 0.01
#: Seconds before a write to the store is tried again.
STORE_AGAIN = 0.1
#: Seconds that an endpoint goes on serving after it has announced its leaving.
LINGERS = 3.0
#: Repeats a request and besides, and the window in seconds, as in the settings.
BUDGET = (0.2, 10.0, 10.0)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: its route, service, and whether it may run only once."""

    path: str
    service: str
    once: bool


KINDS = (
    Kind("stream", "model", False),
    Kind("stream-once", "model", True),
    Kind("once", "desk", True),
    Kind("again", "desk", False),
)


@dataclass
class Account:
    """What callers were told, what was done, and what is wrong."""

    told: list[Told] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    left: dict[str, float] = field(default_factory=dict)
    calm: Disturbances = field(default_factory=Disturbances)
    violations: list[str] = field(default_factory=list)

    @property
    def whole(self) -> int:
        """Return the number of whole answers."""
        return sum(item.whole and item.status == 200 for item in self.told)


class CallerConnection:
    """A connection that a caller uses until it ends."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)

    async def ask(self, path: str, headers: dict[str, str]) -> CallAnswer:
        """Send a request and read its answer."""
        fields = {"Host": HOST, "Content-Length": "4", **headers}
        head = h11.Request(method="POST", target=path, headers=list(fields.items()))
        data = self.parser.send(head) + self.parser.send(h11.Data(data=b"body"))
        self.writer.write(data + self.parser.send(h11.EndOfMessage()))
        return await read_answer(self.reader, self.parser)

    def usable(self) -> bool:
        """Return whether a further request may go on it; prepare for that."""
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE or self.reader.at_eof():
            return False
        self.parser.start_next_cycle()
        return True

    def close(self) -> None:
        """Close at once."""
        self.writer.transport.abort()


class Soak:
    """Callers, operators and faults on one fleet.

    Parameters
    ----------
    fleet : HostedFleet
        The fleet.
    seed : int
        Of everything random here.
    """

    def __init__(self, fleet: HostedFleet, seed: int) -> None:
        self.fleet = fleet
        self.chance = random.Random(seed)
        self.account = Account()
        self.requests = 0
        self.version = 1
        self.starts = 0
        self.stopped = False
        self.busy: set[str] = set()
        self.arrivals: list[Arrival] = []

    # Callers

    async def caller(self) -> None:
        """Send one request after the other, on one connection while it lasts."""
        connection = None
        router = ""
        while not self.stopped:
            if connection is None:
                router = self.chance.choice(sorted(self.fleet.routers))
                connection = await self.connect(router)
                if connection is None:
                    continue
            await self.request(connection, router)
            if not connection.usable():
                connection.close()
                connection = None

    async def connect(self, router: str) -> CallerConnection | None:
        """Return a connection to a router; None if it takes none."""
        port = self.fleet.ports[router][0]
        try:
            async with asyncio.timeout(CONNECT):
                return CallerConnection(
                    *await asyncio.open_connection("127.0.0.1", port)
                )
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            return None

    async def request(self, connection: CallerConnection, router: str) -> None:
        """Send one request and note what its caller is told."""
        kind = self.chance.choice(KINDS)
        self.requests += 1
        request = f"q-{self.requests}"
        events = self.chance.randint(1, 20)
        streamed = kind.service == "model"
        headers = model_headers(request, events) if streamed else plain_headers(request)
        leaves = streamed and self.chance.random() < LEAVES
        limit = self.chance.uniform(0, LEAVES_AFTER) if leaves else PATIENCE
        sent_at = time.time()
        answer = None
        try:
            async with asyncio.timeout(limit):
                answer = await connection.ask(f"/{kind.path}/x", headers)
        except TimeoutError:
            connection.close()
        except (ConnectionError, h11.ProtocolError):
            answer = None
        now = time.time()
        gone = now if answer is None and leaves else 0.0
        self.account.told.append(
            Told(
                request,
                kind.service,
                router,
                kind.once,
                sent_at,
                now,
                answer.status if answer else 0,
                bool(answer and answer.complete),
                _fault(answer, request, events if streamed else 0),
                gone,
            )
        )

    # Faults

    async def inject(self, seconds: float) -> None:
        """Begin one fault after the other; they overlap."""
        end = time.time() + seconds
        kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill,
            self.kill_many,
            self.freeze,
            self.stop,
            self.reload,
            self.break_store,
            self.forget,
            self.cut_store,
            self.break_endpoint,
            self.break_link,
            self.crash_endpoint,
            self.replace_endpoint,
            self.configure,
        ]
        async with asyncio.TaskGroup() as group:
            while time.time() < end:
                fault = self.chance.choice(kinds)
                self.account.faults[fault.__name__] += 1
                group.create_task(fault())
                await asyncio.sleep(self.chance.uniform(0, PAUSE))

    @contextlib.asynccontextmanager
    async def claimed(self, name: str):
        """Keep other faults off `name`; yield whether this one may go on."""
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
        """Note that strict checks don't hold for `names`, nor soon after."""
        now = time.time()
        spans: list[Span] = [
            self.account.calm.begin(name, now) for name in {*names, "any"}
        ]
        try:
            yield
        finally:
            for span in spans:
                span.end = time.time() + RECOVERY

    def pick_router(self) -> str:
        """Return the name of any router."""
        return self.chance.choice(sorted(self.fleet.routers))

    def lasts(self) -> float:
        """Return how long a fault lasts."""
        return self.chance.uniform(*LASTS)

    async def kill(self) -> None:
        """Kill a router and start it with empty state."""
        await self.end_router(self.pick_router(), signal.SIGKILL)

    async def kill_many(self) -> None:
        """Kill all routers at once."""
        await asyncio.gather(
            *(self.end_router(name, signal.SIGKILL) for name in self.fleet.routers)
        )

    async def stop(self) -> None:
        """Stop a router gracefully and start it again."""
        await self.end_router(self.pick_router(), signal.SIGTERM)

    async def end_router(self, name: str, number: int) -> None:
        """End a router by a signal, wait for it, and start it again."""
        async with self.claimed(name) as free:
            if not free:
                return
            with self.disturbed(name):
                process = self.fleet.routers[name]
                process.signal(number)
                while process.popen.poll() is None:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(self.chance.uniform(0, 1))
                self.fleet.restart_router(name)
                await self.fleet.wait_ready(name)

    async def freeze(self) -> None:
        """Let a router stand still for a while."""
        name = self.pick_router()
        async with self.claimed(name) as free:
            if not free:
                return
            with self.disturbed(name):
                process = self.fleet.routers[name]
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(self.lasts())
                process.signal(signal.SIGCONT)

    async def reload(self) -> None:
        """Change a router's settings file and tell it so."""
        name = self.pick_router()
        async with self.claimed(name) as free:
            if free:
                self.fleet.write_settings(name, log_level="info")
                self.fleet.routers[name].signal(signal.SIGHUP)

    async def break_store(self) -> None:
        """Take the store down, or lose its answers."""
        async with self.claimed("store") as free:
            if not free:
                return
            faults = self.chance.choice(
                [{"refuse": True}, {"silent": True}, {"lose": True}]
            )
            with self.disturbed(*self.fleet.routers):
                await post_json(self.fleet.store.port, "/faults", faults)
                await asyncio.sleep(self.lasts())
                await post_json(self.fleet.store.port, "/faults", {})

    async def forget(self) -> None:
        """Let the store forget its history; the newest records stay."""
        topic = self.chance.choice(["keyed.op", "keyed.servers", "keyed.routers"])
        await post_json(self.fleet.store.port, f"/forget?topic={topic}", {})

    async def cut_store(self) -> None:
        """Cut, silence or delay one router's connections to the store."""
        name = self.pick_router()
        with self.disturbed(name):
            await self.break_proxy(f"store-of-{name}")

    async def break_link(self) -> None:
        """Cut, silence or delay the connections to an endpoint."""
        name = self.chance.choice(sorted(self.fleet.endpoints))
        with self.disturbed(*self.fleet.routers):
            await self.break_proxy(f"link-to-{name}")

    async def break_proxy(self, name: str) -> None:
        """Put a fault in force at a proxy for a while."""
        async with self.claimed(name) as free:
            if not free:
                return
            control = self.fleet.proxies[name].control
            faults = self.chance.choice(
                [
                    {"cut": True},
                    {"silent": True},
                    {"swallow_up": True},
                    {"swallow_down": True},
                    {"delay": 0.05},
                ]
            )
            await post_json(control, "/faults", faults)
            await asyncio.sleep(self.lasts())
            await post_json(control, "/faults", {})

    async def break_endpoint(self) -> None:
        """Let an endpoint answer wrongly, or not at all."""
        name = self.chance.choice(sorted(self.fleet.endpoints))
        async with self.claimed(name) as free:
            if not free:
                return
            faults = self.chance.choice(
                [
                    {"break_after": 3},
                    {"break_after": 3, "within": True},
                    {"fail": True},
                    {"decline": True},
                    {"lose": True},
                    {"silent": True},
                    {"foreign": True},
                    {"pause": 0.1},
                ]
            )
            with self.disturbed(*self.fleet.routers):
                port = self.fleet.endpoints[name].port
                await post_json(port, "/faults", faults)
                await asyncio.sleep(self.lasts())
                await post_json(port, "/faults", {})

    async def crash_endpoint(self) -> None:
        """Kill an endpoint; its entry goes later, and another one starts."""
        name = self.chance.choice(sorted(self.fleet.endpoints))
        async with self.claimed(name) as free:
            if not free:
                return
            with self.disturbed(*self.fleet.routers):
                self.fleet.endpoints[name].signal(signal.SIGSTOP)
                await asyncio.sleep(self.lasts())
                self.fleet.endpoints[name].signal(signal.SIGCONT)
                await self.remove_endpoint(name)
                await self.start_endpoint(self.fleet.services[name])

    async def replace_endpoint(self) -> None:
        """Let an endpoint announce that it leaves, and start another one."""
        name = self.chance.choice(sorted(self.fleet.endpoints))
        async with self.claimed(name) as free:
            if not free:
                return
            service = self.fleet.services[name]
            await self.start_endpoint(service)
            await self.operate(self.fleet.register, name, state="draining")
            self.account.left[name] = time.time()
            await asyncio.sleep(LINGERS)
            await self.remove_endpoint(name)

    async def start_endpoint(self, service: str) -> None:
        """Start an endpoint with a new name."""
        self.starts += 1
        name = f"{service}-{self.starts}"
        launch = self.fleet.launch_endpoint
        await asyncio.to_thread(launch, name, service, behind_proxy=True, pace=PACE)
        await self.operate(self.fleet.register, name)

    async def remove_endpoint(self, name: str) -> None:
        """Kill an endpoint and drop its entry, with nothing run unrecorded."""
        process = self.fleet.endpoints[name]
        await post_json(process.port, "/faults", {"decline": True})
        await self.collect(name)
        del self.fleet.endpoints[name]
        process.kill()
        await self.operate(self.fleet.put, "keyed.servers", name, None)

    async def operate(
        self, act: Callable[..., None], *words: object, **named: object
    ) -> None:
        """Do what the operator or an endpoint does at the store, until it is done."""
        while True:
            try:
                await asyncio.to_thread(act, *words, **named)
            except (OSError, HTTPException):
                await asyncio.sleep(STORE_AGAIN)
            else:
                return

    async def configure(self) -> None:
        """Add a route and see that it is in force at calm routers in time."""
        async with self.claimed("configuration") as free:
            if not free:
                return
            self.version += self.chance.randint(1, 5)
            base = configuration(self.version)
            name = f"new-{self.version}"
            base["routes"].append(route(name, "idempotent", "desk"))
            await self.operate(self.fleet.configure, base)
            written = time.time()
            await asyncio.sleep(promises.CONFIGURATION_BOUND + promises.SLACK)
            for router in sorted(self.fleet.routers):
                await self.check_route(router, name, written)

    async def check_route(self, router: str, name: str, written: float) -> None:
        """Ask a router for a route that must be in force unless it was disturbed."""
        connection = await self.connect(router)
        if connection is None:
            return
        self.requests += 1
        headers = plain_headers(f"probe-{self.requests}")
        answer = None
        with contextlib.suppress(ConnectionError, h11.ProtocolError, TimeoutError):
            async with asyncio.timeout(PATIENCE):
                answer = await connection.ask(f"/{name}/x", headers)
        connection.close()
        calm = self.account.calm.calm(router, written - RECOVERY, time.time())
        if answer is not None and answer.status == 404 and calm:
            self.account.violations.append(f"{router} does not know {name} in time")

    # Checks

    async def collect(self, name: str) -> None:
        """Note what reached an endpoint."""
        records = await asyncio.to_thread(self.fleet.ran, name)
        self.arrivals += [_arrival(record, name, self.fleet) for record in records]

    async def check(self) -> None:
        """Compare what reached the endpoints with what callers were told."""
        for name in list(self.fleet.endpoints):
            await self.collect(name)
        account = self.account
        told, arrivals = account.told, self.arrivals
        found = account.violations
        found += promises.find_double_runs(told, arrivals)
        found += promises.find_false_refusals(told, arrivals)
        found += promises.find_wrong_answers(told, arrivals)
        found += promises.find_denials(told)
        found += promises.find_late_arrivals(arrivals, account.left, account.calm)
        found += promises.find_work_without_caller(told, arrivals, account.calm)
        found += promises.find_overspent(told, arrivals, *BUDGET)


def _fault(answer: CallAnswer | None, request: str, events: int) -> str:
    """Return what is wrong with a complete answer, empty if nothing is."""
    if answer is None or not answer.complete or answer.status != 200:
        return ""
    if answer.headers.get("server-signature") != "stand-in":
        return "a success without the endpoint's signature"
    if not events:
        whole = answer.body == f"answer to {request}".encode()
        return "" if whole else f"another answer: {answer.body[:80]!r}"
    numbers = [
        int(line[4:]) for line in answer.body.split(b"\n") if line.startswith(b"id: ")
    ]
    if numbers != list(range(1, events + 1)):
        return f"events {numbers} of {events}"
    return ""


def _arrival(record: dict[str, Any], name: str, fleet: HostedFleet) -> Arrival:
    return Arrival(
        record["id"],
        fleet.services[name],
        name,
        record["at"],
        True,
        record["ended_at"],
    )


async def soak(seconds: float, seed: int, routers: int = ROUTERS) -> Account:
    """Run and return the account, with the violations found."""
    with Processes() as processes:
        fleet = HostedFleet(processes)
        fleet.configure(configuration())
        run = Soak(fleet, seed)
        for service, count in (("model", MODELS), ("desk", DESKS)):
            for _ in range(count):
                await run.start_endpoint(service)
        for number in range(routers):
            fleet.start_router(f"router-{number}", behind_proxy=True)
        for name in fleet.routers:
            await fleet.wait_ready(name)
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(run.caller())
            await run.inject(seconds)
            await asyncio.sleep(RECOVERY)
            run.stopped = True
        await run.check()
        if run.account.violations:
            keep_logs(fleet, seed)
        return run.account


def keep_logs(fleet: HostedFleet, seed: int) -> None:
    """Keep the logs of a run that found something, to trace it."""
    folder = Path("build") / f"soak-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for path in fleet.processes.folder.glob("router-*.out"):
        (folder / path.name).write_bytes(path.read_bytes())
    print(json.dumps({"logs": str(folder)}))
