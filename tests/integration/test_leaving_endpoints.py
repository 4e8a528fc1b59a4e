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
from tests.log_readers import find_lines, read_log

ROUTERS = ["router-0", "router-1"]
ENDPOINTS = ["d-1", "d-2"]
RETURNED = "grant returned: endpoint is leaving"
#: Requests sent once it is known that an endpoint leaves; each would otherwise reach
#: either endpoint with equal probability.
SENDS = 12
#: Most times that an endpoint leaves until a grant of it is returned. The decider
#: learns of it from its peer half a second after the sender, and a busy machine may
#: send no request within that time.
MAX_TURNS = 10


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
    for turn in range(MAX_TURNS):
        leave_and_send(fleet, sender, turn)
        start_again(fleet, turn + 1)
        returned = find_lines(fleet, sender, event=RETURNED, decider=decider)
        if returned:
            break
    assert returned
    assert all(line["decider_offset"] < line["offset"] for line in returned)


def leave_and_send(fleet, sender, born):
    """Have an endpoint leave and send requests once the sender knows; none may run."""
    fleet.register("d-1", state="draining", born=born)
    wait_registered(fleet, sender, leaving=True, incarnation=born)
    late = [f"late-{born}-{number}" for number in range(SENDS)]
    assert [send(fleet, sender, request).status for request in late] == [200] * SENDS
    assert executed_ids(fleet, "d-1", late) == []


def start_again(fleet, born):
    """Register a new start of the endpoint, once all routers know that it left."""
    for router in ROUTERS:
        wait_registered(fleet, router, leaving=True, incarnation=born - 1)
    fleet.register("d-1", born=born)
    for router in ROUTERS:
        wait_registered(fleet, router, leaving=False, incarnation=born)


def wait_registered(fleet, router, **wanted):
    read_log(fleet, router, event="endpoint registered", endpoint="d-1", **wanted)


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
