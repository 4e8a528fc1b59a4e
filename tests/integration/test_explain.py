"""The explanation of a request against real processes.

Guards against a command that asks a router which doesn't decide, that sends the
request, or whose answer differs from where the request then goes.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import msgspec
import pytest

from benchmarks.hosted import HOST, call, model_headers
from carawayfold.commands.explain import REFUSED, Explanation
from carawayfold.commands.operate import UNREACHABLE
from carawayfold.protocol import explanations
from carawayfold.protocol.explanations import Verdict
from tests.integration.crashing_endpoints import ROUTERS, start_fleet

ENGINES = [f"m-{number}" for number in range(1, 4)]
TARGET = "/stream-once/x"


@pytest.fixture
def fleet(processes):
    return start_fleet(processes, ENGINES)


def run_explain(fleet, router, *arguments):
    """Run the command against a router; return the completed process."""
    address = f"127.0.0.1:{fleet.ports[router][2]}"
    command = [sys.executable, "-m", "carawayfold", "explain", *arguments]
    return subprocess.run(
        [*command, "--router", address], capture_output=True, text=True, check=False
    )


def header_options(headers):
    """Return the options that state the headers of a request."""
    stated = {"Host": HOST, **headers}
    return [
        part
        for name, value in stated.items()
        for part in ("--header", f"{name}: {value}")
    ]


def requests_of(fleet, router):
    """Return the lines of a router's metrics that count requests."""
    answer = asyncio.run(call(fleet.ports[router][2], "GET", "/metrics"))
    return [
        line
        for line in answer.body.splitlines()
        if line.startswith(b"carawayfold_") and b"request" in line
    ]


def test_each_router_names_the_same_pool_and_sends_nothing(fleet):
    options = header_options(model_headers("call-1"))
    before = [requests_of(fleet, router) for router in ROUTERS]
    for router in ROUTERS:
        completed = run_explain(fleet, router, TARGET, "--json", *options)
        assert completed.returncode == 0, completed.stderr
        found = explanations.decode(completed.stdout.encode(), Explanation)
        [request], [pool] = found.requests, found.pools
        assert request.router == router
        assert pool.router == request.decider
        assert pool.leads
        assert pool.verdict is Verdict.GRANT
        names = {item.endpoint.partition("#")[0] for item in pool.endpoints}
        assert names == set(ENGINES)
    assert [requests_of(fleet, router) for router in ROUTERS] == before


def test_an_operator_reads_why(fleet):
    options = header_options(model_headers("call-1"))
    completed = run_explain(fleet, ROUTERS[0], TARGET, *options)
    assert "at once: the endpoint has room, and the lowest cost" in completed.stdout
    assert f"{ROUTERS[0]}, configuration" in completed.stdout


def test_a_request_without_its_key_is_refused_as_the_router_would(fleet):
    headers = model_headers("call-1")
    del headers["X-Api-Key"]
    port = fleet.ports[ROUTERS[0]][0]
    sent = asyncio.run(call(port, "POST", TARGET, b"", headers))
    completed = run_explain(fleet, ROUTERS[0], TARGET, *header_options(headers))
    assert sent.status == 401
    assert completed.returncode == REFUSED
    assert "refused at once, unknown-key" in completed.stdout


def test_a_router_that_does_not_answer_is_named():
    command = [sys.executable, "-m", "carawayfold", "explain", "/x"]
    completed = subprocess.run(
        [*command, "--router", "127.0.0.1:1"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == UNREACHABLE
    assert "127.0.0.1:1 did not answer" in completed.stderr


@pytest.mark.parametrize(
    "options",
    [
        ["--router", "nowhere"],
        ["--router", "127.0.0.1:1", "--header", "no colon"],
        ["--router", "127.0.0.1:1", "--body", "no/such/file"],
    ],
)
def test_bad_input_is_a_clear_error(options):
    completed = subprocess.run(
        [sys.executable, "-m", "carawayfold", "explain", "/x", *options],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert options[-2] in completed.stderr


def test_arguments_that_are_no_text_are_a_clear_error():
    options = ["--router", "127.0.0.1:1", "--method", "\udcff"]
    completed = subprocess.run(
        [sys.executable, "-m", "carawayfold", "explain", "/x", *options],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert "can't be sent" in completed.stderr


@pytest.mark.parametrize("changes", [{"output_tokens": -100}, {"due": 10**400}])
def test_numbers_that_no_router_states_are_a_bad_request(fleet, changes):
    options = header_options(model_headers("call-1"))
    completed = run_explain(fleet, ROUTERS[0], TARGET, "--json", *options)
    [request] = explanations.decode(completed.stdout.encode(), Explanation).requests
    offer = msgspec.structs.replace(request.offer, **changes)
    body = json.dumps(
        {
            "router": request.router,
            "offer": [2, *msgspec.structs.astuple(offer)],
        }
    ).encode()
    port = fleet.ports[ROUTERS[0]][2]
    answer = asyncio.run(call(port, "POST", explanations.POOL_PATH, body))
    assert answer.status == 400
