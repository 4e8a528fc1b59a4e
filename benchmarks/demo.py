"""Demonstration: runs a fleet under mixed load and reports the results."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated

import typer

from benchmarks.client import Reply, call, chat, get_json
from benchmarks.deployments import ALTIPLANO, BANTAYOG, Deployment
from benchmarks.fleet import Fleet, key_of, organisation_objects, spread
from benchmarks.load import percentile
from benchmarks.processes import Processes
from carawayfold.coordination.requests.relay import PROMPT_COST, SECOND_COST
from carawayfold.state.configuration import ConfigObject, Endpoint, Service

ENGINE_SLOTS = 8
WORKER_SLOTS = 4
STEP = 0.01
#: Endpoints of each model and of each application.
ENGINES, WORKERS = 3, 2
ROUTERS = 6
#: Callers of an organisation by its share.
CALLERS = {4.0: 5, 1.0: 2}
#: Kinds of requests and their weights: long summaries, urgent short answers, orders.
KINDS = ("summary", "urgent", "order")
WEIGHTS = (5, 3, 2)
#: Fraction of the orders that are sent twice.
REPEATED = 0.2
#: Exit code if a guarantee was violated.
BROKEN = 1


@dataclass
class Tally:
    """Results of one organisation."""

    whole: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    wrong: int = 0
    service: float = 0.0
    firsts: list[float] = field(default_factory=list)
    urgent: list[float] = field(default_factory=list)
    orders: list[float] = field(default_factory=list)


class Demonstration:
    """Callers of both deployments on one fleet.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    seed : int
        Seed of the mix of requests.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.tallies: dict[str, Tally] = {}
        self.shares: dict[str, float] = {}
        self.orders = 0
        #: Ids of orders that were answered as run, and as not run.
        self.told_ran: set[str] = set()
        self.told_not_run: set[str] = set()
        self.stopped = False

    async def caller(self, deployment: Deployment, name: str) -> None:
        """Send requests one after the other."""
        while not self.stopped:
            kind = self.rng.choices(KINDS, WEIGHTS)[0]
            if kind == "order":
                await self.order(deployment, name)
            else:
                await self.ask(deployment, name, kind == "urgent")

    async def ask(self, deployment: Deployment, name: str, urgent: bool) -> None:
        """Send a chat request."""
        tokens = self.rng.randint(5, 15) if urgent else self.rng.randint(30, 120)
        headers = {"X-Priority": "urgent" if urgent else "normal"}
        port = self.fleet.balancer.port
        reply = await chat(
            port, key_of(name), deployment.model, tokens, headers=headers
        )
        tally = self.tallies[name]
        if reply.is_whole_stream(tokens):
            tally.whole += 1
            tally.service += tokens + PROMPT_COST * reply.sent
            (tally.urgent if urgent else tally.firsts).append(reply.first * 1000)
        else:
            self.count_failure(tally, reply)

    async def order(self, deployment: Deployment, name: str) -> None:
        """Send an order once, or twice with the same key."""
        self.orders += 1
        key = f"order-{self.orders}"
        times = 2 if self.rng.random() < REPEATED else 1
        work_ms = self.rng.randint(10, 60)
        await asyncio.gather(
            *(self.send_order(deployment, name, key, n, work_ms) for n in range(times))
        )

    async def send_order(
        self, deployment: Deployment, name: str, key: str, number: int, work_ms: int
    ) -> None:
        """Send an order and count its result."""
        request_id = f"{key}-{number}"
        headers = {"Idempotency-Key": key, "X-Request-Id": request_id}
        port = self.fleet.balancer.port
        reply = await call(port, key_of(name), deployment.application, work_ms, headers)
        tally = self.tallies[name]
        if reply.status == 200 and reply.complete:
            tally.whole += 1
            tally.service += work_ms * SECOND_COST / 1000
            tally.orders.append(reply.total * 1000)
            self.told_ran.add(reply.json()["request_id"])
            return
        self.count_failure(tally, reply)
        if reply.refused and reply.json()["ran"] == "no":
            self.told_not_run.add(request_id)

    def count_failure(self, tally: Tally, reply: Reply) -> None:
        """Count a refusal, or an answer that was neither complete nor a refusal."""
        if reply.refused:
            tally.refused[reply.json()["kind"]] += 1
        else:
            tally.wrong += 1

    async def broken_promises(self) -> list[str]:
        """Return violated guarantees: compare what ran with the answers."""
        ran: Counter[str] = Counter()
        for name, process in self.fleet.endpoints.items():
            if name.startswith((ALTIPLANO.application, BANTAYOG.application)):
                records = await get_json(process.port, "/ran")
                ran.update(record["request_id"] for record in records)
        orders = Counter(request_id.rpartition("-")[0] for request_id in ran.elements())
        broken = [f"{key} ran {n} times" for key, n in orders.items() if n > 1]
        broken += [f"{i} ran, told no" for i in sorted(self.told_not_run & set(ran))]
        broken += [
            f"{i} did not run, told yes" for i in sorted(self.told_ran - set(ran))
        ]
        wrong = sum(tally.wrong for tally in self.tallies.values())
        if wrong:
            broken.append(f"{wrong} answers were neither whole nor refusals")
        return broken


async def start(fleet: Fleet, demonstration: Demonstration) -> None:
    """Start all processes and configure both deployments."""
    places = ALTIPLANO.data_centres
    fleet.start_platform()
    await fleet.start_routers(spread(ROUTERS, places))
    items: list[ConfigObject] = []
    for deployment in (ALTIPLANO, BANTAYOG):
        items.append(Service(deployment.model))
        items.append(Service(deployment.application, model=False, repeatable=False))
        items += organisation_objects(deployment.organisations)
        for name, share in deployment.organisations.items():
            demonstration.tallies[name] = Tally()
            demonstration.shares[name] = share
        items += start_endpoints(fleet, deployment, places)
    await fleet.wait_ready()
    await fleet.put_all(items)
    await fleet.wait_revision()
    fleet.start_balancer()


def start_endpoints(
    fleet: Fleet, deployment: Deployment, places: tuple[str, ...]
) -> list[ConfigObject]:
    """Start the endpoints of a deployment and return their objects."""
    items: list[ConfigObject] = []
    for number in range(ENGINES):
        name, place = f"{deployment.model}-{number + 1}", places[number % len(places)]
        port = fleet.start_engine(name, ENGINE_SLOTS, STEP).port
        items.append(
            Endpoint(name, deployment.model, place, "127.0.0.1", port, ENGINE_SLOTS)
        )
    for number in range(WORKERS):
        name = f"{deployment.application}-{number + 1}"
        place = places[number % len(places)]
        port = fleet.start_worker(name, WORKER_SLOTS).port
        service = deployment.application
        items.append(Endpoint(name, service, place, "127.0.0.1", port, WORKER_SLOTS))
    return items


@dataclass
class Counters:
    """Counters of the whole fleet at one time."""

    at: float
    busy: float
    slots: int
    appends: int
    control: dict[str, float]


async def read_counters(fleet: Fleet) -> Counters:
    """Read the counters of engines, log and routers."""
    engines = [
        await get_json(process.port, "/load")
        for name, process in fleet.endpoints.items()
        if name.startswith((ALTIPLANO.model, BANTAYOG.model))
    ]
    statuses = [await fleet.status(router) for router in fleet.routers]
    return Counters(
        time.monotonic(),
        sum(load["busy"] for load in engines),
        sum(load["slots"] for load in engines),
        len(await get_json(fleet.log.port, "/appends")),
        {status.router: status.control_bytes_sent for status in statuses},
    )


def times(values: list[float]) -> str:
    """Return the 50th, 95th and 99th percentile as text."""
    return "/".join(f"{percentile(values, p):.0f}" for p in (50, 95, 99))


def report(demonstration: Demonstration, start: Counters, end: Counters) -> None:
    """Print what people want to know."""
    head = (
        f"{'organisation':<14}{'share':>6}{'whole':>7}{'refused':>9}{'service':>10}"
        f"{'per share':>11}  {'first token, ms':<17}{'urgent, ms':<16}{'orders, ms'}"
    )
    print(f"\n{head}\n{'':<57}  {'p50/p95/p99':<17}{'p50/p95/p99':<16}p50/p95/p99")
    for name, tally in demonstration.tallies.items():
        share = demonstration.shares[name]
        print(
            f"{name:<14}{share:>6.0f}{tally.whole:>7}{tally.refused.total():>9}"
            f"{tally.service:>10.0f}{tally.service / share:>11.0f}"
            f"  {times(tally.firsts):<17}{times(tally.urgent):<16}{times(tally.orders)}"
        )
    elapsed = end.at - start.at
    busy = (end.busy - start.busy) / (end.slots * elapsed)
    print(f"\nengine slots in use       {100 * busy:8.1f} %")
    for prefix in ("agency", "centre"):
        normal = [
            tally.service / demonstration.shares[name]
            for name, tally in demonstration.tallies.items()
            if name.startswith(prefix)
        ]
        gap = max(normal) - min(normal)
        print(f"gap per share, {prefix:<10} {gap:8.0f} units in {elapsed:.0f} s")
    for router, sent in sorted(end.control.items()):
        rate = (sent - start.control[router]) / elapsed / 1000
        print(f"control sent, {router:<10}  {rate:8.2f} KB/s")
    print(
        f"log appends               {(end.appends - start.appends) / elapsed:8.2f} /s"
    )
    kinds: Counter[str] = Counter()
    for tally in demonstration.tallies.values():
        kinds.update(tally.refused)
    print(f"refusals                  {dict(kinds)}")


async def demonstrate(seconds: float, seed: int) -> list[str]:
    """Run the demonstration and return violated guarantees."""
    with Processes() as processes:
        fleet = Fleet(processes, {"log_level": "warning"})
        demonstration = Demonstration(fleet, seed)
        print(f"starting {ROUTERS} routers, their endpoints and the platform ...")
        await start(fleet, demonstration)
        print(f"mixed work of two deployments for {seconds:.0f} s ...", flush=True)
        before = await read_counters(fleet)
        async with asyncio.TaskGroup() as group:
            for deployment in (ALTIPLANO, BANTAYOG):
                for name, share in deployment.organisations.items():
                    for _ in range(CALLERS[share]):
                        group.create_task(demonstration.caller(deployment, name))
            await asyncio.sleep(seconds)
            after = await read_counters(fleet)
            demonstration.stopped = True
        report(demonstration, before, after)
        return await demonstration.broken_promises()


def main(
    seconds: Annotated[float, typer.Option(help="Seconds of load.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the mix of requests.")] = 1,
) -> None:
    """Run the demonstration; exit code 1 if a guarantee was violated."""
    try:
        broken = asyncio.run(demonstrate(seconds, seed))
    except KeyboardInterrupt:
        print("stopped; every process has ended")
        raise typer.Exit(130) from None
    for line in broken:
        print(f"BROKEN: {line}")
    if broken:
        sys.exit(BROKEN)
    print("every caller got its whole answer or a truthful refusal")


if __name__ == "__main__":
    typer.run(main)
