"""Requests that are being sent, or come late, when a router is told to stop."""

from __future__ import annotations

import asyncio
import signal

import pytest

from benchmarks.hosted import HostedFleet, configuration
from carawayfold.transport.messages import ResponseReader
from tests.integration.crowds import head

BODY = b"x" * 1000
#: Seconds of the grace period.
GRACE = 4.0
#: Seconds for which an endpoint works, longer than the grace period.
LONG_WORK = 30.0
#: Seconds within which the router must have ended by itself.
MAX_STOP = 20.0


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name in ("d-1", "d-2"):
        fleet.start_endpoint(name, "desk")
    fleet.start_router("router-0", stop_grace=GRACE)
    asyncio.run(fleet.wait_ready("router-0"))
    return fleet


async def connect(fleet):
    return await asyncio.open_connection("127.0.0.1", fleet.ports["router-0"][0])


def request(name):
    """Return a request that may run once, in two parts."""
    data = head(name, f"Content-Length: {len(BODY)}") + BODY
    return data[:-10], data[-10:]


async def answer_of(reader):
    """Return the status of the next answer; it must be complete."""
    read, complete = ResponseReader("POST"), False
    while not complete:
        data = await asyncio.wait_for(reader.read(65536), MAX_STOP)
        assert data, "the connection ended without a complete answer"
        _, _, complete = read.feed(data, lambda found: None)
    return read.head.status


async def stop(fleet):
    """Tell the router to stop, and wait until it has begun to."""
    process = fleet.routers["router-0"]
    process.popen.send_signal(signal.SIGTERM)
    while not await is_stopping(fleet):
        await asyncio.sleep(0.02)


async def is_stopping(fleet):
    """Return whether the router states that it takes no new connections."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", fleet.ports["router-0"][1]
    )
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    status = await answer_of(reader)
    writer.close()
    return status != 200


async def ends_by_itself(fleet):
    async with asyncio.timeout(MAX_STOP):
        while fleet.routers["router-0"].popen.poll() is None:
            await asyncio.sleep(0.05)
    return fleet.routers["router-0"].popen.returncode


# Guards against requests that are cut because a stop finds them half received.
def test_a_body_that_is_being_sent_at_a_stop_is_answered(fleet):
    async def work():
        reader, writer = await connect(fleet)
        first, rest = request("half")
        writer.write(first)
        await writer.drain()
        await stop(fleet)
        writer.write(rest)
        status = await answer_of(reader)
        return status, await ends_by_itself(fleet)

    assert asyncio.run(work()) == (200, 0)


# Guards against silence for a request of which a part has arrived at the end.
def test_a_body_that_does_not_end_at_a_stop_is_refused_and_not_run(fleet):
    async def work():
        reader, writer = await connect(fleet)
        writer.write(request("never")[0])
        await writer.drain()
        await stop(fleet)
        status = await answer_of(reader)
        return status, await ends_by_itself(fleet)

    assert asyncio.run(work()) == (503, 0)
    assert all("never" not in fleet.arrived(name) for name in ("d-1", "d-2"))


# Guards against requests on open and new connections that come after the signal.
def test_requests_on_open_and_new_connections_after_a_stop_are_answered(fleet):
    async def work():
        open_reader, open_writer = await connect(fleet)
        open_writer.write(b"".join(request("before")))
        statuses = [await answer_of(open_reader)]
        await stop(fleet)
        open_writer.write(b"".join(request("after")))
        statuses.append(await answer_of(open_reader))
        new_reader, new_writer = await connect(fleet)
        new_writer.write(b"".join(request("new")))
        statuses.append(await answer_of(new_reader))
        return statuses, await ends_by_itself(fleet)

    assert asyncio.run(work()) == ([200, 200, 200], 0)


# Guards against requests that may run once and get no answer at the end of the grace.
def test_a_request_that_outlasts_the_grace_gets_an_answer(fleet):
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, pause=LONG_WORK)

    async def work():
        early_reader, early_writer = await connect(fleet)
        early_writer.write(b"".join(request("long-0")))
        await stop(fleet)
        late_reader, late_writer = await connect(fleet)
        late_writer.write(b"".join(request("long-1")))
        statuses = [await answer_of(item) for item in (early_reader, late_reader)]
        return statuses, await ends_by_itself(fleet)

    statuses, code = asyncio.run(work())
    assert (set(statuses) <= {503, 504}, code) == (True, 0)
    ran = {item["id"] for name in ("d-1", "d-2") for item in fleet.ran(name)}
    refused = {f"long-{n}" for n, status in enumerate(statuses) if status == 503}
    assert not ran & refused
