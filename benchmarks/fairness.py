"""Measures fairness, utilisation and control traffic of scheduling policies.

Closed-loop callers keep every organisation backlogged, and are distributed unevenly
over the routers. All policies, baselines included, run on the same deployment.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

import typer

from benchmarks.client import chat, get_json, post_json
from benchmarks.deployments import ALTIPLANO, BANTAYOG
from benchmarks.fleet import Fleet, key_of, start_deployment
from benchmarks.load import percentile
from benchmarks.processes import Processes
from benchmarks.report import figure
from carawayfold.coordination.requests.relay import PROMPT_COST

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benchmarks.deployments import Deployment
    from benchmarks.fleet import Router

ENGINE_SLOTS = 8
STEP = 0.01
#: Minimum and maximum tokens of a request.
TOKENS = (10, 60)
#: Approximate service units of the prompt of a request.
PROMPT_UNITS = 35
#: Outstanding requests of each backlogged organisation.
OUTSTANDING = 20
#: Seconds before the measurement starts.
WARM_UP = 2.0
#: Load of a flooding organisation, as a multiple of its usual load.
FLOOD = 50
#: Seconds between requests of the small organisation.
SMALL_PAUSE = 0.2


@dataclass
class CompletedRequest:
    """A request with a complete answer.

    Attributes
    ----------
    at : float
        Monotonic seconds at which it ended.
    service : float
        Service units, as the routers count them.
    first : float
        Milliseconds to the first token.
    """

    at: float
    organisation: str
    service: float
    first: float


@dataclass
class Run:
    """Measurements of one run.

    Attributes
    ----------
    completed : list of CompletedRequest
        Requests with complete answers.
    busy : float
        Mean fraction of engine slots in use.
    """

    completed: list[CompletedRequest] = field(default_factory=list)
    refused: int = 0
    wrong: int = 0
    start: float = 0.0
    end: float = 0.0
    busy: float = 0.0
    control_bytes: float = 0.0
    cpu: float = 0.0
    appends: float = 0.0

    def gap(self, shares: dict[str, float], window: float) -> float:
        """Return the largest gap of normalised service over windows of `window` s."""
        starts = [self.start]
        while starts[-1] + 2 * window <= self.end:
            starts.append(starts[-1] + window)
        return max(self._gap_in(shares, s, s + window) for s in starts)

    def _gap_in(self, shares: dict[str, float], start: float, end: float) -> float:
        received = dict.fromkeys(shares, 0.0)
        for completed in self.completed:
            if start <= completed.at < end and completed.organisation in shares:
                received[completed.organisation] += completed.service
        normal = [received[name] / share for name, share in shares.items()]
        return max(normal) - min(normal)


def home_router(number: int, routers: list[Router]) -> Router:
    """Return the router of an organisation's callers; half use the first one."""
    if number < 8:
        return routers[0]
    return routers[1 + (number - 8) % (len(routers) - 2)]


class Workload:
    """Closed-loop callers of one deployment.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    deployment : Deployment
        Its organisations.
    run : Run
        Receives the results.
    """

    def __init__(self, fleet: Fleet, deployment: Deployment, run: Run) -> None:
        self.fleet = fleet
        self.deployment = deployment
        self.run = run
        self.rng = random.Random(7)
        self.stopped = False

    async def caller(self, name: str, home: Router, pause: float = 0.0) -> None:
        """Send requests one after the other; on a failure, use the next router."""
        routers = itertools.cycle(self.fleet.routers)
        router = home
        while not self.stopped:
            tokens = self.rng.randint(*TOKENS)
            reply = await chat(
                router.port, key_of(name), self.deployment.model, tokens, timeout=20
            )
            if reply.is_whole_stream(tokens):
                service = tokens + PROMPT_COST * reply.sent
                completed = CompletedRequest(
                    time.monotonic(), name, service, reply.first * 1000
                )
                self.run.completed.append(completed)
            elif reply.refused:
                self.run.refused += 1
                await asyncio.sleep(0.2)
            else:
                self.run.wrong += 1
                router = next(routers)
                await asyncio.sleep(0.2)
            if pause:
                await asyncio.sleep(pause)


async def measure(
    fleet: Fleet,
    deployment: Deployment,
    run: Run,
    seconds: float,
    fault: Callable[[Fleet], Awaitable[None]] | None,
) -> None:
    """Measure for `seconds`; `fault` starts after a third of them."""
    engines = [
        process
        for name, process in fleet.endpoints.items()
        if name.startswith(deployment.model)
    ]
    before = [await get_json(engine.port, "/load") for engine in engines]
    statuses = await read_control_bytes(fleet)
    cpu = [router.process.cpu_seconds() for router in fleet.routers]
    appends = len(await get_json(fleet.log.port, "/appends"))
    run.start = time.monotonic()
    await asyncio.sleep(seconds / 3)
    if fault is not None:
        await fault(fleet)
    await asyncio.sleep(max(0.0, run.start + seconds - time.monotonic()))
    run.end = time.monotonic()
    elapsed = run.end - run.start
    after = [await get_json(engine.port, "/load") for engine in engines]
    slots = sum(load["slots"] for load in after) * elapsed
    busy = sum(a["busy"] - b["busy"] for a, b in zip(after, before, strict=True))
    run.busy = busy / slots
    sent = await read_control_bytes(fleet)
    rates = [
        (sent[name] - statuses[name]) / elapsed for name in sent if name in statuses
    ]
    run.control_bytes = max(rates)
    used = [
        router.process.cpu_seconds() - start
        for router, start in zip(fleet.routers, cpu, strict=True)
        if router.process.popen.poll() is None
    ]
    run.cpu = max(used) / elapsed
    run.appends = (len(await get_json(fleet.log.port, "/appends")) - appends) / elapsed


async def read_control_bytes(fleet: Fleet) -> dict[str, float]:
    """Return the control bytes sent by each router that responds."""
    sent = {}
    for router in fleet.routers:
        if router.process.popen.poll() is None:
            with contextlib.suppress(Exception):
                status = await fleet.status(router)
                sent[router.name] = status.control_bytes_sent
    return sent


async def run_backlogged(
    deployment: Deployment,
    scheduling: str,
    seconds: float,
    fault: Callable[[Fleet], Awaitable[None]] | None = None,
) -> Run:
    """Measure while every organisation is backlogged."""
    run = Run()
    with Processes() as processes:
        overrides = {
            "scheduling": scheduling,
            "routers_alone": deployment.routers,
            "log_level": "warning",
        }
        fleet = Fleet(processes, overrides)
        await start_deployment(fleet, deployment, ENGINE_SLOTS, step=STEP)
        work = Workload(fleet, deployment, run)
        async with asyncio.TaskGroup() as group:
            for number, name in enumerate(deployment.organisations):
                home = home_router(number, fleet.routers)
                for _ in range(OUTSTANDING):
                    group.create_task(work.caller(name, home))
            await asyncio.sleep(WARM_UP)
            await measure(fleet, deployment, run, seconds, fault)
            work.stopped = True
    return run


async def run_flood(deployment: Deployment, flood: bool, seconds: float) -> Run:
    """Measure the waits of a small organisation, with or without a flood."""
    run = Run()
    names = list(deployment.organisations)
    with Processes() as processes:
        fleet = Fleet(processes, {"log_level": "warning"})
        await start_deployment(fleet, deployment, ENGINE_SLOTS, step=STEP)
        work = Workload(fleet, deployment, run)
        async with asyncio.TaskGroup() as group:
            # At the usual load half of the slots are in use.
            for number, name in enumerate(names[4:]):
                home = home_router(number, fleet.routers)
                for _ in range(2):
                    group.create_task(work.caller(name, home))
            for _ in range(2 * FLOOD if flood else 2):
                group.create_task(work.caller(names[3], fleet.routers[0]))
            small = group.create_task(
                work.caller(names[-1], fleet.routers[0], SMALL_PAUSE)
            )
            del small
            await asyncio.sleep(WARM_UP)
            await measure(fleet, deployment, run, seconds, None)
            work.stopped = True
    return run


async def kill_router(fleet: Fleet) -> None:
    """Kill one router."""
    fleet.routers[-1].process.kill()


async def freeze_router(fleet: Fleet) -> None:
    """Suspend one router for 5 s."""
    process = fleet.routers[1].process
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(5)
    process.signal(signal.SIGCONT)


async def log_down(fleet: Fleet) -> None:
    """Make the log unavailable for the rest of the run."""
    await post_json(fleet.log.port, "/faults", {"down": True})


FAULTS = {
    "router killed": kill_router,
    "router frozen 5 s": freeze_router,
    "log down": log_down,
}


def bound(deployment: Deployment, exchange: float) -> float:
    """Return the bound on the gap between two organisations of share 1.

    See docs/design/fairness.md: (2 Q + 1) L + 2 C D, with Q slots, L the largest
    request, C the capacity in units per second and D the age of the granters' state.
    """
    slots = deployment.engines * ENGINE_SLOTS
    largest = TOKENS[1] + PROMPT_UNITS
    capacity = slots / STEP * largest / TOKENS[1]
    return (2 * slots + 1) * largest + 2 * capacity * exchange


def show(name: str, run: Run, shares: dict[str, float], limit: float) -> None:
    """Print the figures of one run."""
    length = run.end - run.start
    for part in (4, 2, 1):
        gap = run.gap(shares, length / part)
        label = f"{name}: gap over {length / part:.0f} s windows"
        figure(label, gap, "units", f"{gap / limit:.3f} of the bound")
    figure(f"{name}: utilisation", 100 * run.busy, "% of slots")
    figure(f"{name}: control sent, busiest router", run.control_bytes / 1000, "KB/s")
    figure(f"{name}: processor, busiest router", 100 * run.cpu, "% of a core")
    figure(f"{name}: log appends", run.appends, "1/s")
    counts = f"{len(run.completed)} whole, {run.refused} refused, {run.wrong} cut off"
    print(f"{name}: {counts}")


def main(
    seconds: Annotated[float, typer.Option(help="Seconds of each run.")] = 12.0,
    only: Annotated[str, typer.Option(help="Name of the only deployment to run.")] = "",
    faults: Annotated[
        bool, typer.Option(help="Also run with faults and a flood.")
    ] = True,
) -> None:
    """Run the measurements."""
    for deployment in (ALTIPLANO, BANTAYOG):
        if only and deployment.name != only:
            continue
        shares = deployment.organisations
        limit = bound(deployment, 0.2)
        for policy in ("first-come", "alone", "granted"):
            run = asyncio.run(run_backlogged(deployment, policy, seconds))
            show(f"{deployment.name} {policy}", run, shares, limit)
        if not faults:
            continue
        for label, fault in FAULTS.items():
            run = asyncio.run(run_backlogged(deployment, "granted", seconds, fault))
            show(f"{deployment.name} granted, {label}", run, shares, limit)
        waits = {}
        for flood in (False, True):
            run = asyncio.run(run_flood(deployment, flood, seconds))
            small = list(shares)[-1]
            firsts = [d.first for d in run.completed if d.organisation == small]
            waits[flood] = percentile(firsts, 99)
        label = f"{deployment.name} small organisation: p99 first token in a flood"
        figure(label, waits[True], "ms", f"{waits[False]:.1f} ms without")


if __name__ == "__main__":
    typer.run(main)
