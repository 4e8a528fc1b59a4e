"""A worker becomes cold while the store is down.

Usage: case.py FOLDER, where ``record.txt`` is written. ``TROUBLE=0`` leaves the store
up. Exits with 1 if the cold worker got more than FAILBACK allows, 0 if not, and 2 if
the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import cold
from harness.routers import Routers, free_port
from harness.store import Store
from harness.traffic import Traffic
from harness.worker import Worker

#: Figures of the sheet of shifted/altiplano-lidar-now-grown: requests a second of the
#: application service, its work in seconds, its slots and the clients' time limit.
REQUESTS_PER_S = 141 + 32.6
WORK = 0.0225
SLOTS = 6
TIME_LIMIT_MS = 600
ZONES = ("queretaro-a", "queretaro-b", "celaya-hall")
MACHINES = 6
WORKERS = 4
#: Seconds: traffic before the outage, the outage, from its start until the worker
#: becomes cold, and traffic after the outage.
CALM = 3.0
OUTAGE = 8.0
COLD_AFTER = 1.0
AFTER = 1.0
HOST = "orders.example"


def configuration() -> dict[str, object]:
    """Return the operator's configuration."""
    route = {
        "name": "order-status",
        "host": HOST,
        "path_prefix": "/orders/",
        "route_kind": "idempotent",
        "timeout_ms": TIME_LIMIT_MS,
        "target_latency_ms": 145,
        "priority": 2,
        "service": "tile-desk",
        "max_attempts": 2,
        "anonymous": True,
    }
    service = {
        "name": "tile-desk",
        "health_path": "/healthz",
        "max_connections": 590,
        "cold_s": cold.COLD_S,
        "cold_per_s": cold.COLD_PER_S,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [service],
        "limits": {"idle_timeout_ms": 15000},
    }


async def play(record: list[str], trouble: bool) -> int:
    """Play the case and return the exit code."""
    store, port = Store(), free_port()
    await store.start(port)
    store.put("keyed.op", "config", configuration())
    workers: list[Worker] = []
    zones: dict[str, str] = {}
    for number in range(WORKERS):
        worker = Worker(f"i-{number}", "tile-desk", free_port(), WORK, SLOTS)
        await worker.start()
        zone = zones[worker.name] = ZONES[number % len(ZONES)]
        store.put("keyed.servers", worker.name, worker.entry(zone))
        workers.append(worker)
    with Routers(port) as routers:
        names = [f"edge-{number}" for number in range(MACHINES)]
        for number, name in enumerate(names):
            routers.start(name, ZONES[number % len(ZONES)])
        await routers.wait_ready(names)
        traffic = Traffic(routers, REQUESTS_PER_S, HOST, TIME_LIMIT_MS)
        watching = asyncio.create_task(traffic.watch())
        await asyncio.sleep(1.0)
        sending = asyncio.create_task(traffic.run(CALM + OUTAGE + AFTER))
        await asyncio.sleep(CALM)
        store.is_down = trouble
        began = time.monotonic()
        await asyncio.sleep(COLD_AFTER)
        cold_from = time.monotonic()
        chosen = max(workers, key=lambda worker: worker.runs_since(cold_from - 1.0))
        chosen.cold_until = cold_from + cold.COLD_S
        writing = asyncio.create_task(write_entry(store, chosen, zones[chosen.name]))
        await asyncio.sleep(began + OUTAGE - time.monotonic())
        store.is_down = False
        await sending
        watching.cancel()
        await writing
        asked = sum(worker.health_checks for worker in workers)
        record.append(f"health checks that the workers got: {asked}")
        for at, request, router, status in traffic.answers:
            row = f"{at - began:8.3f} s  {request} {router} answered {status}"
            record.append(row)
        for worker in workers:
            record += [
                f"{run.at - began:8.3f} s  {run.request} runs at {worker.name}"
                for run in worker.runs
            ]
    record.sort()
    return cold.judge(record, [(chosen, cold_from)], began)


async def write_entry(store: Store, worker: Worker, zone: str) -> None:
    """Write that a worker is cold, as soon as the store takes it."""
    while store.is_down:
        await asyncio.sleep(0.1)
    left = max(0.0, worker.cold_until - time.monotonic())
    entry = worker.entry(zone, cold_remaining_ms=round(left * 1000), call_seq=2)
    store.put("keyed.servers", worker.name, entry)


async def main() -> None:
    """Play the case, write the record and end the process with the exit code."""
    record: list[str] = []
    try:
        code = await play(record, os.environ.get("TROUBLE") != "0")
    except Exception as error:
        record.append(f"could not run: {error}")
        print(record[-1])
        code = 2
    Path(sys.argv[1], "record.txt").write_text("\n".join(record) + "\n")
    sys.stdout.flush()
    # Channels that are still open need no clean-up.
    os._exit(code)


if __name__ == "__main__":
    asyncio.run(main())
