"""The first config has the version 0; the routers must go on running and serve."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed.case import HOST_NAME, TROUBLE, Record, config, main, route
from bed.http import call
from bed.routers import Router, Routers
from bed.store import Store
from bed.workers import Worker

ZONES = ["queretaro-a", "queretaro-b", "celaya-hall"]
KEY = "hpqt4wzkcuyj8pjbvk9m"
VERSION = 0 if TROUBLE else 1
#: Seconds for which the fleet is watched.
WATCHED = 30.0
#: Seconds after which the platform starts a process again that has ended.
RESTART_DELAY = 1.0
#: Ends of one machine, and machines with so many, from which the rule is broken: a
#: tenth of the machines, two at least.
ENDS, MACHINES = 3, 2


async def supervise(
    fleet: Routers, router: Router, record: Record, ends: Counter[str]
) -> None:
    """Start a router again whenever its process has ended, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        code = router.popen.poll()
        if code is not None:
            ends[router.name] += 1
            record.note(f"{router.name} ended by itself with code {code}")
            await asyncio.sleep(RESTART_DELAY)
            fleet.start(router)


async def run(record: Record) -> bool:
    """Run the case; return whether the rule held."""
    store = Store()
    port = await store.start()
    routes = [route("tile-manifest", "non_idempotent", "tile-desk")]
    store.put("keyed.op", "config", config(VERSION, routes, {"hule930": [KEY]}))
    record.note(f"store confirmed config {VERSION}")
    workers = [Worker("tile-desk", zone) for zone in ZONES]
    for worker in workers:
        await worker.start()
        store.put("keyed.servers", worker.name, worker.entry())
    ends: Counter[str] = Counter()
    answers: Counter[int] = Counter()
    loop = asyncio.get_running_loop()
    end = loop.time() + WATCHED
    with Routers(port, ZONES) as fleet:
        for zone in ZONES:
            for number in (1, 2):
                fleet.add(f"edge-{zone}-{number}", zone)
        routers = list(fleet.routers.values())
        tasks = [
            asyncio.create_task(supervise(fleet, router, record, ends))
            for router in routers
        ]
        sent = 0
        while loop.time() < end:
            for router in routers:
                sent += 1
                fields = {
                    "Host": HOST_NAME,
                    "Request-Id": f"order-{sent}",
                    "Request-Deadline": "600",
                    "X-Api-Key": KEY,
                }
                path = "/tile-manifest/2f"
                got = await call(router.front, "POST", path, fields, b"order")
                answers[got.status] += 1
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
    record.note(f"{sent} requests, answers by status (0: none): {dict(answers)}")
    record.note(f"ends by themselves: {dict(ends)}")
    return sum(count >= ENDS for count in ends.values()) < MACHINES


main(Path(__file__).with_name("record.txt"), run)
