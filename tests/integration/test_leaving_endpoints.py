"""Endpoints that announce that they leave, against real processes.

Guards against routers that follow a decision without checking it against their own
records. An application endpoint received two more requests, from two routers in the
same millisecond, 3.08 s after it had announced that it leaves; 3.0 s are allowed. One
router decides for all, and its records were older than those of the two senders.

These tests cut the decider off from the store while the other router has logged
`endpoint registered` with `"leaving":true`. Without the check all of its next 12
requests went to that endpoint. A router now returns such a grant and logs both offsets:
`grant returned: endpoint is leaving`, `"known_for_ms":21.8`, `"offset":3`,
`"decider":"router-1"`, `"decider_offset":2`.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from benchmarks.hosted import (
    HostedFleet,
    ask_standin,
    call,
    configuration,
    plain_headers,
)
from tests.log_readers import read_log

ROUTERS = ["router-0", "router-1"]
ENDPOINTS = ["d-1", "d-2"]
#: Requests sent once it is known that an endpoint leaves; each would otherwise reach
#: either endpoint with equal probability.
SENDS = 12


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name in ENDPOINTS:
        fleet.start_endpoint(name, "desk")
    for router in ROUTERS:
        fleet.start_router(router, behind_proxy=True)
    for router in ROUTERS:
        asyncio.run(fleet.wait_ready(router))
    return fleet


def send(fleet, router, request):
    headers = plain_headers(request)
    port = fleet.ports[router][0]
    return asyncio.run(call(port, "POST", "/once/x", b"body", headers))


def cut_off_store(fleet, router):
    """Drop everything between a router and the store."""
    control = fleet.proxies[f"store-of-{router}"].control
    faults = {"swallow_up": True, "swallow_down": True}
    ask_standin(control, "POST", "/faults", json.dumps(faults).encode())


def executed_ids(fleet, endpoint, requests):
    return [x["id"] for x in fleet.ran(endpoint) if x["id"] in requests]


def test_a_router_with_newer_records_than_the_decider_does_not_send(fleet):
    assert send(fleet, "router-0", "first").status == 200
    decider = read_log(fleet, "router-0", request="first")["decider"]
    sender = next(name for name in ROUTERS if name != decider)
    cut_off_store(fleet, decider)
    fleet.register("d-1", state="draining")
    read_log(fleet, sender, event="endpoint registered", endpoint="d-1", leaving=True)
    late = [f"late-{number}" for number in range(SENDS)]
    assert [send(fleet, sender, request).status for request in late] == [200] * SENDS
    assert executed_ids(fleet, "d-1", late) == []
    returned = read_log(fleet, sender, event="grant returned: endpoint is leaving")
    assert returned["decider"] == decider
    assert returned["decider_offset"] < returned["offset"]


def wait_in_force(fleet, version):
    """Wait until all routers have a configuration in force."""
    for router in ROUTERS:
        read_log(fleet, router, event="configuration in force", version=version)


def write_again(fleet, version):
    """Write what operators and endpoints write again after a restore of the store."""
    fleet.configure(configuration(version))
    fleet.register("d-1", state="draining")
    fleet.register("d-2")


def test_a_store_restored_from_a_copy_does_not_bring_an_endpoint_back(fleet):
    """Offsets are reused after a restore, and some routers have read past them.

    The store is restored twice, each time from a copy in which the endpoint does not
    leave and the configuration is older.
    """
    for turn in range(2):
        fleet.register("d-1")
        fleet.configure(configuration(10 * turn + 2))
        for router in ROUTERS:
            read_log(
                fleet, router, event="configuration in force", version=10 * turn + 2
            )
        fleet.call_store("POST", "/copy")
        for number in range(3):
            fleet.configure(configuration(10 * turn + 3 + number))
        fleet.register("d-1", state="draining")
        for router in ROUTERS:
            read_log(
                fleet, router, event="configuration in force", version=10 * turn + 5
            )
        if turn == 0:
            for router in ROUTERS:
                wanted = {"event": "endpoint registered", "endpoint": "d-1"}
                read_log(fleet, router, leaving=True, **wanted)
        fleet.call_store("POST", "/restore")
        for router in ROUTERS:
            read_log(fleet, router, event="store came back from a copy", era=turn + 1)
        late = [f"copied-{turn}-{number}" for number in range(SENDS)]
        for number, request in enumerate(late):
            assert send(fleet, ROUTERS[number % 2], request).status == 200
        assert executed_ids(fleet, "d-1", late) == []
        write_again(fleet, 10 * turn + 6)
        for router in ROUTERS:
            read_log(
                fleet, router, event="configuration in force", version=10 * turn + 6
            )


def test_routers_write_their_entries_again_after_the_store_is_restored(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    fleet.start_endpoint("d-1", "desk")
    fleet.call_store("POST", "/copy")
    fleet.start_router("router-0")
    asyncio.run(fleet.wait_ready("router-0"))
    fleet.call_store("POST", "/restore")
    read_log(fleet, "router-0", event="store came back from a copy")

    async def wait_written():
        while b"router-0" not in fleet.call_store(
            "GET", "/log-newest?topic=keyed.routers&part=0"
        ):
            await asyncio.sleep(0.02)

    asyncio.run(asyncio.wait_for(wait_written(), 20))
