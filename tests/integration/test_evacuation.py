"""Endpoints of an evacuated data centre get no requests until the evacuation ends.

Guards against routers that do not read evacuation records: in a test scenario with two
evacuations, 345 requests reached endpoints of evacuated data centres after the allowed
delay.
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
#: Requests sent once the evacuation is known; each would otherwise reach either
#: endpoint with equal probability.
SENDS = 12


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name, data_centre in (("d-1", "north"), ("d-2", "south")):
        fleet.launch_endpoint(name, "desk")
        fleet.register(name, zone=data_centre)
    for router in ROUTERS:
        fleet.start_router(router, behind_proxy=True)
    for router in ROUTERS:
        asyncio.run(fleet.wait_ready(router))
    return fleet


def send(fleet, router, request):
    headers = plain_headers(request)
    port = fleet.ports[router][0]
    return asyncio.run(call(port, "POST", "/once/x", b"body", headers))


def evacuate(fleet, data_centre, value=None):
    fleet.put("keyed.op", f"evacuate/{data_centre}", {} if value is None else value)


def end_evacuation(fleet, data_centre):
    fleet.put("keyed.op", f"evacuate/{data_centre}", None)


def wait_evacuated(fleet, data_centre, count=1):
    for router in ROUTERS:
        wanted = {"event": "data centre evacuated", "data_centre": data_centre}
        read_log(fleet, router, count, **wanted)


def send_many(fleet, name):
    sent = [f"{name}-{number}" for number in range(SENDS)]
    answers = [send(fleet, ROUTERS[at % 2], item) for at, item in enumerate(sent)]
    return sent, [answer.status for answer in answers]


def executed_ids(fleet, endpoint, requests):
    return [x["id"] for x in fleet.ran(endpoint) if x["id"] in requests]


def test_an_evacuated_data_centre_gets_no_requests_until_its_evacuation_ends(fleet):
    evacuate(fleet, "north")
    wait_evacuated(fleet, "north")
    sent, statuses = send_many(fleet, "evacuated")
    assert statuses == [200] * SENDS
    assert executed_ids(fleet, "d-1", sent) == []
    end_evacuation(fleet, "north")
    for router in ROUTERS:
        read_log(fleet, router, event="evacuation over", data_centre="north")
    evacuate(fleet, "south")
    wait_evacuated(fleet, "south")
    sent, statuses = send_many(fleet, "over")
    assert statuses == [200] * SENDS
    assert executed_ids(fleet, "d-1", sent) == sent


def test_requests_are_refused_with_retry_after_if_all_endpoints_are_evacuated(fleet):
    for data_centre in ("north", "south", "nowhere"):
        evacuate(fleet, data_centre)
        wait_evacuated(fleet, data_centre)
    answer = send(fleet, "router-0", "nobody")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert (
        executed_ids(fleet, "d-1", ["nobody"])
        == executed_ids(fleet, "d-2", ["nobody"])
        == []
    )


def test_a_router_without_store_answers_learns_of_evacuations_from_its_peer(fleet):
    control = fleet.proxies["store-of-router-1"].control
    faults = {"swallow_up": True, "swallow_down": True}
    ask_standin(control, "POST", "/faults", json.dumps(faults).encode())
    evacuate(fleet, "north")
    wait_evacuated(fleet, "north")
    logged = read_log(fleet, "router-1", event="data centre evacuated")
    assert logged["source"] == "router-0"
    sent, statuses = send_many(fleet, "told")
    assert statuses == [200] * SENDS
    assert executed_ids(fleet, "d-1", sent) == []


def test_a_store_restored_from_a_copy_does_not_end_an_evacuation(fleet):
    fleet.call_store("POST", "/copy")
    evacuate(fleet, "north")
    wait_evacuated(fleet, "north")
    fleet.call_store("POST", "/restore")
    fleet.configure(configuration(2))
    for router in ROUTERS:
        read_log(fleet, router, event="configuration in force", version=2)
    sent, statuses = send_many(fleet, "copied")
    assert statuses == [200] * SENDS
    assert executed_ids(fleet, "d-1", sent) == []


def test_a_router_that_starts_during_an_evacuation_applies_it(fleet):
    evacuate(fleet, "north")
    wait_evacuated(fleet, "north")
    fleet.start_router("router-2")
    asyncio.run(fleet.wait_ready("router-2"))
    sent = [f"late-{number}" for number in range(SENDS)]
    assert [send(fleet, "router-2", item).status for item in sent] == [200] * SENDS
    assert executed_ids(fleet, "d-1", sent) == []
