"""Measures the latency that a router adds, and its processor time."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from benchmarks.fleet import Fleet, key_of, organisation_objects
from benchmarks.load import LoadResult, percentile
from benchmarks.processes import Process, Processes
from benchmarks.report import figure
from carawayfold.state.configuration import Endpoint, Service

if TYPE_CHECKING:
    from carawayfold.state.configuration import ConfigObject

#: Requests per second of one node.
RATE = 36.0
TOKENS = 200
ENGINES = 4
SLOTS = 400
STEP = 0.038
SECONDS = 8.0
LOADS = 4
IDLE_SECONDS = 5.0


def offer(
    processes: Processes, name: str, ports: list[int], rate: float, loads: int
) -> LoadResult:
    """Run load generators concurrently and return their combined results."""
    words = ["--key", key_of("alder"), "--model", "survey", "--tokens", TOKENS]
    started = [
        processes.start(
            f"{name}-{number}",
            "benchmarks.load",
            *ports,
            *words,
            "--rate",
            rate / loads,
            "--seconds",
            SECONDS,
            "--seed",
            number,
        )
        for number in range(loads)
    ]
    total = LoadResult()
    for process in started:
        part = LoadResult(**json.loads(process.popen.communicate()[0]))
        for field, value in vars(part).items():
            setattr(total, field, getattr(total, field) + value)
    return total


def measure_load(
    processes: Processes, router: Process, ports: list[int], times: int
) -> None:
    """Compare the router with direct requests at `times` the load of a node."""
    rate = RATE * times
    direct = offer(processes, f"direct-{times}", ports, rate, LOADS)
    cpu, start = router.cpu_seconds(), time.monotonic()
    routed = offer(processes, f"routed-{times}", [router.port], rate, LOADS)
    busy = (router.cpu_seconds() - cpu) / (time.monotonic() - start)
    name = f"router at {times}x letter load"
    for percent in (50, 95):
        for measure in ("firsts", "gaps"):
            with_router = percentile(getattr(routed, measure), percent)
            without = percentile(getattr(direct, measure), percent)
            label = "first token" if measure == "firsts" else "between tokens"
            added = with_router - without
            direct_text = f"{without:.2f} ms direct, {with_router:.2f} ms routed"
            figure(f"{name}: {label} added p{percent}", added, "ms", direct_text)
    figure(f"{name}: whole answers", 100 * routed.whole / routed.sent, "%")
    figure(f"{name}: processor, mean over the run", 100 * busy, "% of a core")
    tokens = routed.tokens / (SECONDS + TOKENS * STEP)
    figure(f"{name}: tokens a second, mean over the run", tokens, "tokens/s")


async def prepare(fleet: Fleet) -> None:
    """Start a router with engines."""
    fleet.start_platform()
    await fleet.start_router("router-1", "north")
    items: list[ConfigObject] = [Service("survey"), *organisation_objects({"alder": 1})]
    for number in range(ENGINES):
        name = f"engine-{number}"
        port = fleet.start_engine(name, SLOTS, STEP).port
        items.append(Endpoint(name, "survey", "north", "127.0.0.1", port, SLOTS))
    await fleet.wait_ready()
    await fleet.put_all(items)


def main() -> None:
    """Run the measurement."""
    with Processes() as processes:
        fleet = Fleet(processes)
        asyncio.run(prepare(fleet))
        router = fleet.routers[0].process
        cpu = router.cpu_seconds()
        time.sleep(IDLE_SECONDS)
        idle = (router.cpu_seconds() - cpu) / IDLE_SECONDS
        figure("router idle: processor", 100 * idle, "% of a core")
        figure("router idle: memory", router.resident_bytes() / 2**20, "MB resident")
        ports = [engine.port for engine in fleet.endpoints.values()]
        for times in (1, 3):
            measure_load(processes, router, ports, times)
        figure("router loaded: memory", router.resident_bytes() / 2**20, "MB resident")


if __name__ == "__main__":
    main()
