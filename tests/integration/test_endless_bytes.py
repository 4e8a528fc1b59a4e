"""Endpoints that send bytes without end to a router of its own process."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.hosted import (
    HostedFleet,
    call,
    configuration,
    model_headers,
    plain_headers,
)
from tests.integration.endless_endpoints import (
    CHUNKED,
    OK,
    SIGNED,
    endless_endpoint,
)

#: Milliseconds that callers wait, and seconds by which they must have an outcome.
DEADLINE_MS = 2500
MAX_OUTCOME = 3.0
#: Seconds within which bytes that are known to be no answer must have an outcome.
AT_ONCE = 1.5
#: Seconds within which a new endpoint must get a request.
MAX_REACHED = 20.0
#: Requests sent together, one more than the sound endpoint has slots.
CALLS = 9
EVENT = b"id: 1\ndata: v1 x\n\n"

#: Beginning of an answer and what is repeated: known to be no answer by its bytes.
NO_ANSWERS = {
    "text": (b"", b"no answer\r\n"),
    "header": (OK + b"A: ", b"x"),
    "interim responses": (b"", b"HTTP/1.1 100 \r\n\r\n"),
    "other answers": (b"", OK + b"Request-Id: x\r\nContent-Length: 0\r\n\r\n"),
    "unsigned body": (OK + b"\r\n", b"x"),
    "trailers": (SIGNED + CHUNKED + b"0\r\n", b"A: 1\r\n"),
}
#: The same for streams; the first byte that counts would be an event.
NO_STREAMS = {
    "event": (SIGNED + CHUNKED, b"4\r\nxxxx\r\n"),
    "comments": (SIGNED + CHUNKED, b"4\r\n: \n\n\r\n"),
}


def start(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    fleet.start_router("router-0")
    asyncio.run(fleet.wait_ready("router-0"))
    return fleet


def register(fleet, name, service, port):
    entry = {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "north",
        "slots": 8,
        "version": "v1",
        "state": "active",
        "cold_remaining_ms": 0,
        "call_seq": 1,
    }
    fleet.put("keyed.servers", name, entry)


async def timed(sent):
    """Return an answer and the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await asyncio.wait_for(sent, 2 * MAX_OUTCOME)
    return answer, loop.time() - began


async def ask_until_sent(fleet, endpoint, path, make_headers):
    """Send requests until one reaches the endpoint, and return its outcome."""
    port = fleet.ports["router-0"][0]
    number = 0
    while True:
        number += 1
        headers = make_headers(f"r-{number}")
        headers["Request-Deadline"] = str(DEADLINE_MS)
        before = endpoint.requests
        outcome = await timed(call(port, "POST", path, b"body", headers))
        if endpoint.requests > before:
            return outcome


@pytest.mark.parametrize("answer", NO_ANSWERS.values(), ids=NO_ANSWERS)
def test_bytes_that_are_no_answer_are_refused_at_once(processes, answer):
    fleet = start(processes)

    async def work():
        async with endless_endpoint(*answer) as endpoint:
            register(fleet, "d-1", "desk", endpoint.port)
            outcome = await ask_until_sent(fleet, endpoint, "/once/x", plain_headers)
            await asyncio.wait_for(endpoint.closed.wait(), MAX_OUTCOME)
        return outcome

    got, seconds = asyncio.run(work())
    assert got.status in (502, 504)
    assert seconds < AT_ONCE


@pytest.mark.parametrize("answer", NO_STREAMS.values(), ids=NO_STREAMS)
def test_a_stream_that_never_begins_is_refused_at_once(processes, answer):
    fleet = start(processes)

    async def work():
        async with endless_endpoint(*answer) as endpoint:
            register(fleet, "m-1", "model", endpoint.port)
            outcome = await ask_until_sent(
                fleet, endpoint, "/stream-once/x", model_headers
            )
            await asyncio.wait_for(endpoint.closed.wait(), MAX_OUTCOME)
        return outcome

    got, seconds = asyncio.run(work())
    assert got.status in (502, 504)
    assert seconds < AT_ONCE


def test_a_signed_body_without_end_never_looks_complete(processes):
    fleet = start(processes)

    async def work():
        async with endless_endpoint(SIGNED + b"\r\n", b"x" * 1024, 0.01) as endpoint:
            register(fleet, "d-1", "desk", endpoint.port)
            outcome = await ask_until_sent(fleet, endpoint, "/once/x", plain_headers)
            await asyncio.wait_for(endpoint.closed.wait(), MAX_OUTCOME)
        return outcome

    got, seconds = asyncio.run(work())
    assert not got.complete or got.status in (502, 504)
    assert seconds < MAX_OUTCOME


def test_a_stream_that_begins_and_never_ends_never_looks_complete(processes):
    fleet = start(processes)
    chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)

    async def work():
        beginning = SIGNED + CHUNKED + chunk
        async with endless_endpoint(beginning, b"4\r\n: \n\n\r\n", 0.05) as endpoint:
            register(fleet, "m-1", "model", endpoint.port)
            outcome = await ask_until_sent(
                fleet, endpoint, "/stream-once/x", model_headers
            )
            await asyncio.wait_for(endpoint.closed.wait(), MAX_OUTCOME)
        return outcome

    got, seconds = asyncio.run(work())
    assert (got.status, got.complete) == (200, False)
    assert got.body.startswith(EVENT)
    assert seconds < MAX_OUTCOME


async def call_again(fleet, number):
    """Send a request that may be repeated, and return its status."""
    port = fleet.ports["router-0"][0]
    headers = plain_headers(f"again-{number}")
    return (await call(port, "POST", "/again/x", b"body", headers)).status


def test_requests_go_on_at_other_endpoints(processes):
    fleet = start(processes)
    fleet.start_endpoint("d-2", "desk")

    async def work():
        await fleet.wait_retrying("router-0")
        number = 0
        while await call_again(fleet, number) != 200:
            number += 1
        fleet.set_faults("d-2", pause=0.1)
        statuses = []
        async with endless_endpoint(*NO_ANSWERS["unsigned body"]) as endpoint:
            register(fleet, "d-1", "desk", endpoint.port)
            while not endpoint.requests:
                number += CALLS
                calls = range(number, number + CALLS)
                statuses += await asyncio.gather(*(call_again(fleet, n) for n in calls))
        return statuses

    statuses = asyncio.run(asyncio.wait_for(work(), MAX_REACHED))
    assert statuses == [200] * len(statuses)
