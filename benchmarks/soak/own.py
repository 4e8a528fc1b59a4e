"""Soak test of the product's own interface: mixed requests under random faults.

The requests that ran, as recorded by the stand-ins, are compared with the answers that
callers and operators received.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import grpc

from benchmarks.client import Reply, call, chat, get_json, post_json
from benchmarks.deployments import Deployment
from benchmarks.fleet import Fleet, ask, key_of, start_deployment
from benchmarks.processes import Processes
from carawayfold.protocol import admin_pb2
from carawayfold.state.configuration import Organisation

if TYPE_CHECKING:
    from benchmarks.fleet import Router
    from benchmarks.processes import Process

DEPLOYMENT = Deployment(
    "soak",
    ("north", "south"),
    "survey",
    "desk",
    4,
    3,
    2,
    {"alder": 2.0, "birch": 1.0, "cedar": 1.0},
)
CALLERS = 6
#: Seconds that a fault lasts, and seconds between faults.
FAULT_DURATION = 2.0
PAUSE = 0.5
#: Seconds after the last fault before the final checks.
RECOVERY = 5.0
#: Seconds that a caller waits for an answer.
ANSWER_TIMEOUT = 25.0
#: Settings of the routers, with short timeouts.
SETTINGS = {"silence": 2.0, "deadline": 10.0, "stop_grace": 8.0, "checkpoint": 2.0}


@dataclass
class Account:
    """Answers that callers and operators received.

    Attributes
    ----------
    told_ran, told_not_run : set of str
        Ids of orders that were answered as run, and as not run.
    accepted : dict of str to int
        Revision of the newest accepted change of each organisation.
    """

    requests: int = 0
    whole: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    cut: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    told_ran: set[str] = field(default_factory=set)
    told_not_run: set[str] = field(default_factory=set)
    accepted: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


class Soak:
    """Callers, operators and faults on one fleet.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    proxies : dict of str to Process
        Fault-injecting proxies in front of the peer ports of routers.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, fleet: Fleet, proxies: dict[str, Process], seed: int) -> None:
        self.fleet = fleet
        self.proxies = proxies
        self.rng = random.Random(seed)
        self.account = Account()
        self.orders = 0
        self.stopped = False

    # Callers

    async def caller(self) -> None:
        """Send requests one after the other to random routers."""
        while not self.stopped:
            self.account.requests += 1
            if self.rng.random() < 0.5:
                await self.ask()
            else:
                await self.order()

    def pick_router(self) -> Router:
        """Return a random router."""
        return self.rng.choice(self.fleet.routers)

    async def ask(self) -> None:
        """Send a chat request, streamed or not."""
        tokens = self.rng.randint(2, 60)
        organisation = self.rng.choice(list(DEPLOYMENT.organisations))
        stream = self.rng.random() < 0.7
        reply = await chat(
            self.pick_router().port,
            key_of(organisation),
            DEPLOYMENT.model,
            tokens,
            stream,
            timeout=ANSWER_TIMEOUT,
        )
        if reply.complete and reply.status == 200:
            self.check_answer(reply, tokens, stream)
        else:
            self.count_failure(reply)

    def check_answer(self, reply: Reply, tokens: int, stream: bool) -> None:
        """Check that a complete answer has the expected text."""
        self.account.whole += 1
        if stream:
            whole = reply.is_whole_stream(tokens)
        else:
            text = reply.json()["choices"][0]["message"]["content"]
            whole = text == "".join(f"w{n + 1} " for n in range(tokens))
        if not whole:
            self.account.violations.append(f"wrong answer: {reply.body[-200:]!r}")

    async def order(self) -> None:
        """Send an order with a key, often also to another router, at once or later."""
        self.orders += 1
        key = f"order-{self.orders}"
        work_ms = self.rng.randint(5, 80)
        if self.rng.random() < 0.3:
            await asyncio.gather(
                *(self.send_order(key, number, work_ms) for number in range(2))
            )
        else:
            await self.send_order(key, 0, work_ms)
            if self.rng.random() < 0.3:
                await self.send_order(key, 1, work_ms)

    async def send_order(self, key: str, number: int, work_ms: int) -> None:
        """Send an order and record its answer."""
        request_id = f"{key}-{number}"
        headers = {"Idempotency-Key": key, "X-Request-Id": request_id}
        reply = await call(
            self.pick_router().port,
            key_of("alder"),
            DEPLOYMENT.application,
            work_ms,
            headers,
            ANSWER_TIMEOUT,
        )
        if reply.complete and reply.status == 200:
            self.account.whole += 1
            self.account.told_ran.add(reply.json()["request_id"])
            if not reply.json()["request_id"].startswith(f"{key}-"):
                self.account.violations.append(f"{key} got another order's answer")
        else:
            self.count_failure(reply)
            if reply.refused and reply.json()["ran"] == "no":
                self.account.told_not_run.add(request_id)

    def count_failure(self, reply: Reply) -> None:
        """Count a refusal or a broken answer."""
        if reply.refused:
            self.account.refused[reply.json()["kind"]] += 1
        else:
            self.account.cut += 1

    # Operators

    async def operator(self, name: str) -> None:
        """Change a share repeatedly, concurrently with the other operator."""
        number = 0
        while not self.stopped:
            number += 1
            with contextlib.suppress(grpc.RpcError, TimeoutError):
                await self.change_share(f"{name}-{number}")
            await asyncio.sleep(0.3)

    async def change_share(self, change_id: str) -> None:
        """Change the share of an organisation, based on the revision at one router."""
        router = self.pick_router()
        request = admin_pb2.ListRequest(kind="organisation")
        async with asyncio.timeout(8):
            listed = await ask(router.peer_port, "List", request)
            entry = {e.object.organisation.id: e for e in listed.entries}["cedar"]
            item = Organisation("cedar", 1.0 + self.rng.random())
            reply = await self.fleet.put(
                item, entry.revision, change_id, self.pick_router()
            )
        if reply.state == admin_pb2.ChangeReply.ACCEPTED:
            newest = self.account.accepted.get("cedar", 0)
            self.account.accepted["cedar"] = max(newest, reply.revision)

    # Faults

    async def inject(self, seconds: float) -> None:
        """Inject faults one after the other, sometimes two at once."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        kinds = [
            self.kill,
            self.freeze,
            self.stop,
            self.break_log,
            self.break_list,
            self.break_endpoint,
            self.break_link,
        ]
        while loop.time() < end:
            count = 2 if self.rng.random() < 0.3 else 1
            chosen = self.rng.sample(kinds, count)
            self.account.faults.update(fault.__name__ for fault in chosen)
            await asyncio.gather(*(fault() for fault in chosen))
            await asyncio.sleep(PAUSE)

    async def kill(self) -> None:
        """Kill a router and restart it."""
        router = self.pick_router()
        if router.process.popen.poll() is None:
            router.process.kill()
            await asyncio.sleep(0.5)
            await self.restart(router)

    async def stop(self) -> None:
        """Stop a router gracefully and start it again."""
        router = self.pick_router()
        router.process.signal(signal.SIGTERM)
        while router.process.popen.poll() is None:
            await asyncio.sleep(0.05)
        await self.restart(router)

    async def restart(self, router: Router) -> None:
        """Restart a router that has ended, unless another fault has restarted it."""
        if router.process.popen.poll() is not None:
            await self.fleet.restart_router(router)
            await self.fleet.list_router(router, proxy=self.proxies[router.name])

    async def freeze(self) -> None:
        """Suspend a router for longer than the silence timeout of its peers."""
        process = self.pick_router().process
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(FAULT_DURATION + 1)
        process.signal(signal.SIGCONT)

    async def break_log(self) -> None:
        """Make the log unavailable or slow, or lose its answers."""
        faults = self.rng.choice([{"down": True}, {"lost": True}, {"delay": 0.5}])
        await self.fault_for(self.fleet.log.port, faults)

    async def break_list(self) -> None:
        """Make the instance list unavailable."""
        await self.fault_for(self.fleet.instances.port, {"down": True}, {"down": False})

    async def break_endpoint(self) -> None:
        """Inject a fault at an engine or a worker."""
        name = self.rng.choice(sorted(self.fleet.endpoints))
        engine = name.startswith(DEPLOYMENT.model)
        faults = self.rng.choice(
            [{"break_after": 3}, {"fail": True}, {"silent": True}, {"crossed": True}]
            if engine
            else [{"lose": True}, {"fail": True}, {"decline": True}, {"silent": True}]
        )
        await self.fault_for(self.fleet.endpoints[name].port, faults)

    async def break_link(self) -> None:
        """Reset the links to a router, or drop their data in one or both directions."""
        proxy = self.proxies[self.pick_router().name]
        faults = self.rng.choice(
            [
                {"cut": True},
                {"silent": True},
                {"swallow_up": True},
                {"swallow_down": True},
            ]
        )
        await self.fault_for(proxy.control, faults)

    async def fault_for(
        self,
        port: int,
        faults: dict[str, object],
        after: dict[str, object] | None = None,
    ) -> None:
        """Set faults for a while."""
        await post_json(port, "/faults", faults)
        await asyncio.sleep(FAULT_DURATION)
        await post_json(port, "/faults", after or {})

    # Checks

    async def check(self) -> None:
        """Check which requests ran, and the configuration of each router."""
        ran: Counter[str] = Counter()
        for name, process in self.fleet.endpoints.items():
            if name.startswith(DEPLOYMENT.application):
                records = await get_json(process.port, "/ran")
                ran.update(record["request_id"] for record in records)
        orders = Counter(request_id.rpartition("-")[0] for request_id in ran.elements())
        found = self.account.violations
        found += [f"{key} ran {n} times" for key, n in orders.items() if n > 1]
        found += [f"{i} ran, told no" for i in self.account.told_not_run & set(ran)]
        found += [f"{i} not run, told yes" for i in self.account.told_ran - set(ran)]
        for router in self.fleet.routers:
            listed = await ask(
                router.peer_port, "List", admin_pb2.ListRequest(kind="organisation")
            )
            revision = {
                e.object.organisation.id: e.revision for e in listed.entries
            }.get("cedar", 0)
            if revision < self.account.accepted.get("cedar", 0):
                found.append(f"{router.name} has lost an accepted change")


async def soak(seconds: float, seed: int) -> Account:
    """Run the soak test and return its records, with the violations found."""
    with Processes() as processes:
        fleet = Fleet(processes, {"log_level": "warning", **SETTINGS})
        await start_deployment(fleet, DEPLOYMENT)
        proxies = {}
        for router in fleet.routers:
            name = f"proxy-{router.name}"
            proxies[router.name] = processes.start_standin(
                name, "proxy", router.peer_port
            )
            await fleet.list_router(router, proxy=proxies[router.name])
        run = Soak(fleet, proxies, seed)
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(run.caller())
            for number in range(2):
                group.create_task(run.operator(f"operator-{number}"))
            await run.inject(seconds)
            await asyncio.sleep(RECOVERY)
            run.stopped = True
        await fleet.wait_ready()
        await fleet.wait_revision()
        await run.check()
        return run.account
