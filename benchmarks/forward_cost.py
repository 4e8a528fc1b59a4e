"""Measures the processor time of a forwarded request and of each event of a stream.

``python -m benchmarks.forward_cost`` runs one router with stand-ins and reads the
processor time of the router before and after each load.
"""

from __future__ import annotations

import asyncio
import os
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from benchmarks.hosted import HostedFleet, call, configuration, model_headers
from benchmarks.processes import Processes

app = typer.Typer(help="Measures the cost of forwarding at a router.")

#: Concurrent requests; with more, a router on a busy machine refuses some.
CONCURRENCY = 6
#: Events of short and of long streams; the difference gives the cost of an event.
SHORT = 1
LONG = 41
#: Positions of user and system time in ``/proc/PID/stat``, after the process name.
TIME_FIELDS = slice(11, 13)


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of a request and of an event in microseconds."""

    request: float
    event: float


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = sum(int(field) for field in fields[TIME_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


def prepare(fleet: HostedFleet, profiled: str) -> None:
    """Start a router and four engines without delays."""
    fleet.configure(configuration())
    for number in range(4):
        fleet.start_endpoint(f"m-{number}", "model")
    fleet.start_router("router-0", profiled=profiled)
    asyncio.run(fleet.wait_ready("router-0"))


async def load(port: int, requests: int, events: int, label: str) -> None:
    """Send requests, `CONCURRENCY` at a time."""
    numbers = iter(range(requests))

    async def send_sequentially() -> None:
        for number in numbers:
            await send_until_served(port, f"{label}-{number}", events)

    await asyncio.gather(*(send_sequentially() for _ in range(CONCURRENCY)))


async def send_until_served(port: int, name: str, events: int) -> None:
    """Send a request until it is served; refusals are rare and cheap."""
    status = 0
    while status != 200:
        headers = model_headers(name, events)
        answer = await call(port, "POST", "/stream/x", b"prompt", headers)
        status = answer.status


def measure(fleet: HostedFleet, requests: int) -> Cost:
    """Return the cost of a request and of an event."""
    port = fleet.ports["router-0"][0]
    pid = fleet.routers["router-0"].popen.pid
    asyncio.run(load(port, requests // 4, SHORT, "warm"))
    spent = []
    for events in (SHORT, LONG):
        before = processor_seconds(pid)
        asyncio.run(load(port, requests, events, f"load-{events}"))
        spent.append((processor_seconds(pid) - before) / requests * 1e6)
    event = (spent[1] - spent[0]) / (LONG - SHORT)
    return Cost(spent[0] - SHORT * event, event)


@app.command()
def main(
    requests: int = 600,
    profile: Annotated[str, typer.Option(help="File for a profile.")] = "",
) -> None:
    """Measure a router and print the result."""
    with Processes() as processes:
        fleet = HostedFleet(processes)
        prepare(fleet, profile)
        cost = measure(fleet, requests)
        typer.echo(f"request {cost.request:.0f} us, event {cost.event:.0f} us")
        fleet.routers["router-0"].signal(signal.SIGTERM)
        fleet.routers["router-0"].popen.wait(20)


if __name__ == "__main__":
    app()
