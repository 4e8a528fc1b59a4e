"""Endpoints that say in their answers that they leave, or ask for rest.

Nothing read either word: an engine that left while the store was silent got 51 more
requests of eight routers, and one that asked for 3 s of rest got nine of one router.
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
    model_headers,
    plain_headers,
)
from tests.log_readers import read_log

ROUTERS = ["router-0", "router-1"]
#: Requests that are sent after the word has come: each has one chance in two.
SENDS = 12
#: Requests within which both endpoints surely have had one.
FIRST_MOST = 40


def make_fleet(processes, routers):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name in ("d-1", "d-2"):
        fleet.start_endpoint(name, "desk")
    for name in ("m-1", "m-2"):
        fleet.start_endpoint(name, "model")
    for router in routers:
        fleet.start_router(router, behind_proxy=True, retry_window=0.1)
    for router in routers:
        asyncio.run(fleet.wait_repeating(router))
    return fleet


@pytest.fixture
def fleet(processes):
    return make_fleet(processes, ROUTERS[:1])


@pytest.fixture
def two_routers(processes):
    return make_fleet(processes, ROUTERS)


def ask(fleet, request, path="/once/x", router="router-0"):
    headers = plain_headers(request)
    if path.startswith("/stream"):
        headers = model_headers(request)
    port = fleet.ports[router][0]
    return asyncio.run(call(port, "POST", path, b"body", headers))


def ask_many(fleet, name, router="router-0", path="/once/x"):
    sent = [f"{name}-{number}" for number in range(SENDS)]
    return sent, [ask(fleet, item, path, router).status for item in sent]


def ask_at_once(fleet, requests):
    port = fleet.ports["router-0"][0]

    async def run():
        calls = [
            call(port, "POST", "/once/x", b"body", plain_headers(request))
            for request in requests
        ]
        return await asyncio.gather(*calls)

    return asyncio.run(run())


def ask_until_at(fleet, endpoint, path="/once/x"):
    """Send requests until one has come to an endpoint; return its answer."""
    for number in range(FIRST_MOST):
        answer = ask(fleet, f"first-{number}", path)
        if f"first-{number}" in fleet.arrived(endpoint):
            return answer
    raise AssertionError("no request came to the endpoint")


def came(fleet, endpoint, requests):
    return [name for name in fleet.arrived(endpoint) if name in requests]


def swallow_store(fleet, router):
    """Let nothing of the store come through to a router any more."""
    control = fleet.proxies[f"store-of-{router}"].control
    faults = {"swallow_up": True, "swallow_down": True}
    ask_standin(control, "POST", "/faults", json.dumps(faults).encode())


@pytest.mark.parametrize("silent", [False, True])
def test_requests_no_longer_go_on_to_an_endpoint_that_said_it_leaves(fleet, silent):
    fleet.set_faults("d-1", leaving=True)
    if silent:
        swallow_store(fleet, "router-0")
    assert ask_until_at(fleet, "d-1").status == 200
    sent, statuses = ask_many(fleet, "late")
    assert statuses == [200] * SENDS
    assert came(fleet, "d-1", sent) == []


def test_the_head_of_a_stream_tells_as_well(fleet):
    fleet.set_faults("m-1", leaving=True)
    assert ask_until_at(fleet, "m-1", "/stream/x").complete
    sent, statuses = ask_many(fleet, "late", path="/stream/x")
    assert statuses == [200] * SENDS
    assert came(fleet, "m-1", sent) == []


def test_registrations_dont_take_an_endpoints_own_word_back(fleet):
    fleet.set_faults("d-1", leaving=True)
    ask_until_at(fleet, "d-1")
    read_log(fleet, "router-0", event="endpoint says that it leaves", endpoint="d-1")
    fleet.register("d-1", slots=9)
    fleet.put("keyed.servers", "d-1", None)
    fleet.register("d-1")
    fleet.configure(configuration(2))
    read_log(fleet, "router-0", event="configuration in force", version=2)
    sent, statuses = ask_many(fleet, "late")
    assert statuses == [200] * SENDS
    assert came(fleet, "d-1", sent) == []


def test_peers_obey_a_word_that_only_one_router_has_heard(two_routers):
    fleet = two_routers
    for router in ROUTERS:
        swallow_store(fleet, router)
    fleet.set_faults("d-1", leaving=True)
    ask_until_at(fleet, "d-1")
    told = read_log(
        fleet, "router-1", event="endpoint says that it leaves", endpoint="d-1"
    )
    assert told["source"] == "router-0"
    sent, statuses = ask_many(fleet, "late", "router-1")
    assert statuses == [200] * SENDS
    assert came(fleet, "d-1", sent) == []


def test_a_router_that_starts_is_told_by_its_peers(two_routers):
    fleet = two_routers
    fleet.set_faults("d-1", leaving=True)
    ask_until_at(fleet, "d-1")
    read_log(fleet, "router-1", event="endpoint says that it leaves", endpoint="d-1")
    fleet.start_router("router-2")
    asyncio.run(fleet.wait_ready("router-2"))
    read_log(fleet, "router-2", event="endpoint says that it leaves", endpoint="d-1")
    sent, statuses = ask_many(fleet, "late", "router-2")
    assert statuses == [200] * SENDS
    assert came(fleet, "d-1", sent) == []


def test_requests_no_longer_pile_up_at_an_endpoint_that_asked_for_rest(fleet):
    fleet.set_faults("d-1", decline=True, rest="30")
    assert ask_until_at(fleet, "d-1").status == 200
    # The other one has no place for all of them at once.
    fleet.set_faults("d-2", pause=0.3)
    sent = [f"late-{number}" for number in range(2 * SENDS)]
    statuses = {answer.status for answer in ask_at_once(fleet, sent)}
    assert 200 in statuses
    assert statuses <= {200, 503}
    assert came(fleet, "d-1", sent) == []


def test_one_that_decides_for_another_router_heeds_the_rest_asked_of_that_one(
    two_routers,
):
    fleet = two_routers
    fleet.set_faults("d-1", decline=True, rest="30")
    for router in ROUTERS:
        for number in range(FIRST_MOST):
            ask(fleet, f"{router}-{number}", router=router)
            if any(name.startswith(router) for name in fleet.arrived("d-1")):
                break
        sent, statuses = ask_many(fleet, f"late-{router}", router)
        assert statuses == [200] * SENDS
        assert came(fleet, "d-1", sent) == []


def test_what_only_resting_endpoints_could_serve_is_refused_at_once(fleet):
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, decline=True, rest="30")
    assert ask(fleet, "first").status == 503
    sent = [f"late-{number}" for number in range(SENDS)]
    answers = [ask(fleet, item) for item in sent]
    assert [answer.status for answer in answers] == [503] * SENDS
    assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
    assert came(fleet, "d-1", sent) == came(fleet, "d-2", sent) == []


def test_an_endpoint_is_used_again_after_its_rest(fleet):
    fleet.set_faults("d-1", decline=True, rest="0.3")
    ask_until_at(fleet, "d-1")
    read_log(fleet, "router-0", event="endpoint asks for rest", endpoint="d-1")
    fleet.set_faults("d-1")
    fleet.set_faults("d-2", decline=True, rest="30")

    async def served():
        number = 0
        loop = asyncio.get_running_loop()
        while "d-1" not in json.dumps(await loop.run_in_executor(None, ran, number)):
            number += 1

    def ran(number):
        ask(fleet, f"again-{number}")
        names = {record["id"] for record in fleet.ran("d-1")}
        return ["d-1"] if f"again-{number}" in names else []

    asyncio.run(asyncio.wait_for(served(), 20))
