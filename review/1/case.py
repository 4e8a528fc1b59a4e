"""The operator takes away the last keys of the tenants.

Usage: case.py FOLDER, where ``record.txt`` is written. ``TROUBLE=0`` leaves the keys in
place. Exits with 1 if a request ran whose key no configuration ever held, or whose key
was taken away, 0 if none did, and 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.http import Client, request_bytes
from harness.routers import CannotRunError, Routers, free_port
from harness.store import Store
from harness.worker import Worker

#: Bounds of the page: the time in which a configuration has to be in force.
CONFIG_APPLY = 2.0
#: Seconds from the confirmation of the last configuration to the requests: far beyond
#: that time.
MARGIN = 3.0
#: Seconds between two keys that are taken away.
GAP = 1.5
MACHINES = 3
HOST = "orders.example"
#: The tenants' keys.
KEYS = {"alder": "key-of-alder", "birch": "key-of-birch"}
#: A key that no configuration ever held.
FORGED = "key-of-nobody"


def configuration(version: int, keys: dict[str, list[str]]) -> dict[str, object]:
    """Return the operator's configuration."""
    route = {
        "name": "orders",
        "host": HOST,
        "path_prefix": "/orders/",
        "route_kind": "non_idempotent",
        "timeout_ms": 600,
        "target_latency_ms": 125,
        "priority": 1,
        "service": "tile-desk",
        "max_attempts": 1,
        "anonymous": False,
    }
    tenants = [
        {"name": name, "api_keys": held, "priority": 1} for name, held in keys.items()
    ]
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "tile-desk", "max_connections": 96}],
        "limits": {"idle_timeout_ms": 15000},
        "tenants": tenants,
    }


class Sender:
    """Sends requests to all routers and records what was answered."""

    def __init__(self, routers: Routers, record: list[str]) -> None:
        self.clients = {name: Client(port) for name, port in routers.fronts.items()}
        self.record = record
        self.sent: dict[str, tuple[str, str]] = {}

    async def send_to_all(self, when: str, keys: list[str]) -> None:
        """Send a request with each of `keys` to each router; "" sends none."""
        for name, client in self.clients.items():
            for key in keys:
                request = f"{len(self.sent) + 1:016x}"
                self.sent[request] = (when, key)
                headers = {"Host": HOST, "Request-Id": request}
                headers["Request-Deadline"] = "600"
                if key:
                    headers["X-Api-Key"] = key
                data = request_bytes("POST", "/orders/1", headers, b"one order")
                answer = await client.send(data, 2.0)
                status = answer.status if answer is not None else 0
                row = f"{when}: {request} with {key or 'no key'} to {name}: {status}"
                self.record.append(row)


async def play(record: list[str], trouble: bool) -> int:
    """Play the case and return the exit code."""
    store, port = Store(), free_port()
    await store.start(port)
    held = {name: [key] for name, key in KEYS.items()}
    store.put("keyed.op", "config", configuration(1, held))
    worker = Worker("i-1", "tile-desk", free_port())
    await worker.start()
    store.put("keyed.servers", worker.name, worker.entry("north"))
    with Routers(port) as routers:
        names = [f"edge-{number}" for number in range(MACHINES)]
        for name in names:
            routers.start(name, "north")
        await routers.wait_ready(names)
        sender = Sender(routers, record)
        keys = [*KEYS.values(), FORGED, ""]
        await sender.send_to_all("before", keys)
        version = 1
        for name in held if trouble else ():
            version += 3
            held = {**held, name: []}
            store.put("keyed.op", "config", configuration(version, held))
            record.append(f"configuration {version}: the key of {name} is taken away")
            await asyncio.sleep(GAP)
        await asyncio.sleep(CONFIG_APPLY + MARGIN)
        await sender.send_to_all("after", keys)
    return judge(record, sender, worker, trouble)


def judge(record: list[str], sender: Sender, worker: Worker, trouble: bool) -> int:
    """Return the exit code, by the requests that ran."""
    ran = {run.request: run.headers for run in worker.runs}
    record += [
        f"{worker.name} ran {request}, Tenant-Id: {headers.get('tenant-id', 'none')}"
        for request, headers in ran.items()
    ]
    expected = [name for name, (when, _) in sender.sent.items() if when == "before"]
    valid = [name for name in expected if sender.sent[name][1] in KEYS.values()]
    if not all(name in ran for name in valid):
        raise CannotRunError("requests with valid keys did not run")
    forged = revoked = 0
    for request in ran:
        when, key = sender.sent[request]
        forged += key not in KEYS.values()
        revoked += trouble and when == "after" and key in KEYS.values()
    summary = {
        "ran with a key that no configuration ever held, or none": forged,
        "ran with a key that was taken away": revoked,
    }
    record.insert(0, json.dumps(summary))
    print(json.dumps(summary))
    return int(forged + revoked > 0)


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
