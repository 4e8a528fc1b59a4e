"""Odd entries of other writers among those of the routers, with real processes.

Guards against one entry that ends every router that starts, and soon all that run: its
port was out of range, or its host contained a null character.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

import pytest

from benchmarks.hosted import HostedFleet, call, configuration, plain_headers
from carawayfold.coordination.fleet.directory import DIRECTORY_INTERVAL
from carawayfold.protocol.datagrams import decode
from tests.platform.record_builders import CONTENT, VERDICT, json_object, odd_peers

ROUTERS = ["router-0", "router-1"]
TOPIC = "keyed.routers"
#: Seconds within which a running router reads the entries again.
REREAD_TIMEOUT = DIRECTORY_INTERVAL + 10.0


@contextlib.contextmanager
def registered_peer(fleet, name):
    """Write a sound entry of a router and return the socket of its address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        port = sock.getsockname()[1]
        entry = {"router": name, "data_centre": "north", "host": "127.0.0.1"}
        fleet.put(TOPIC, name, {**entry, "port": port})
        yield sock


def write_odd_entries(fleet, label):
    """Write entries that can't be used, before and after each other in the list."""
    for number in range(len(odd_peers(label))):
        key = f"{label}-{number}"
        fleet.put_bytes(TOPIC, key.encode(), odd_peers(key)[number])
    fleet.put_bytes(TOPIC, label.encode() + b"\xff\0", odd_peers(label)[0])
    for field, value in (("since", "1e308"), ("stamp", "1" + "0" * 30)):
        record = json_object(VERDICT, field, value)
        fleet.put_bytes(TOPIC, f"content/{CONTENT}".encode(), record)
    record = json_object(VERDICT, "content", f'"{label}"')
    fleet.put_bytes(TOPIC, f"content/{label}".encode(), record)


async def senders(sock, expected):
    """Wait until each of some routers has sent a datagram to a socket."""
    loop = asyncio.get_running_loop()
    found = set()
    while found != expected:
        found.add(decode(await loop.sock_recv(sock, 65536)).sender)


async def check_served(fleet, label):
    for router in ROUTERS:
        headers = plain_headers(f"{label}-{router}")
        answer = await call(fleet.ports[router][0], "POST", "/once/x", b"", headers)
        assert answer.status == 200


def unreadable_keys(fleet, router):
    """Return the keys of the records that a router has logged as unreadable."""
    lines = fleet.processes.output_of(router).splitlines()
    events = [json.loads(line) for line in lines]
    return [item["key"] for item in events if item["event"] == "unreadable record"]


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    fleet.start_endpoint("d-1", "desk")
    return fleet


def test_odd_entries_among_those_of_the_routers_end_none(fleet):
    write_odd_entries(fleet, "before")
    with registered_peer(fleet, "router-8") as first:
        write_odd_entries(fleet, "behind")
        for router in ROUTERS:
            fleet.start_router(router)

        async def serve_from_the_start():
            for router in ROUTERS:
                await fleet.wait_ready(router)
            await senders(first, set(ROUTERS))
            await check_served(fleet, "start")

        asyncio.run(asyncio.wait_for(serve_from_the_start(), 20))
        write_odd_entries(fleet, "while")
        with registered_peer(fleet, "router-9") as second:

            async def serve_after_the_next_read():
                await senders(second, set(ROUTERS))
                await check_served(fleet, "later")

            asyncio.run(asyncio.wait_for(serve_after_the_next_read(), REREAD_TIMEOUT))
    for router in ROUTERS:
        assert fleet.routers[router].popen.poll() is None
        keys = unreadable_keys(fleet, router)
        assert {"before-0", "behind-0", "while-0"} <= set(keys)
        assert len(keys) == len(set(keys))
