"""Callers beyond the limits of the pages that hold a router's memory.

Each test holds a crowd of connections open. The router must live, stay within the
memory and descriptors of its instance, and answer an ordinary request beside the crowd.
"""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.hosted import HostedFleet, call, configuration, plain_headers
from tests.integration.crowds import (
    Crowd,
    chunks,
    head,
    most_memory,
    open_descriptors,
    raise_descriptor_limit,
    wait_idle,
)

#: Bytes of memory and number of descriptors of the smallest instance.
MEMORY = 128 << 20
DESCRIPTORS = 1024
#: Requests of an ordinary caller, of which one must be answered.
TRIES = 3
#: Bytes of the body of such a request.
ORDINARY_BODY = 100_000
#: Seconds for which an endpoint works on a request of a crowd that is in progress, and
#: how many it runs at once.
WORK = 60.0
SLOTS = 1000


@pytest.fixture
def fleet(processes):
    raise_descriptor_limit(2 * DESCRIPTORS)
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    fleet.start_endpoint("d-1", "desk")
    fleet.start_router("router-0", descriptors=DESCRIPTORS)
    asyncio.run(fleet.wait_ready("router-0"))
    return fleet


async def ordinary_statuses(fleet):
    """Return the statuses of an ordinary caller's requests up to the first answer."""
    statuses = []
    for number in range(TRIES):
        port = fleet.ports["router-0"][0]
        headers = plain_headers(f"ordinary-{number}")
        answer = await call(port, "POST", "/once/x", b"x" * ORDINARY_BODY, headers)
        statuses.append(answer.status)
        if answer.status == 200:
            break
    return statuses


def check_beside(fleet, connections, data):
    """Check the router and an ordinary request beside a crowd."""
    process = fleet.routers["router-0"]

    async def work():
        crowd = Crowd(fleet.ports["router-0"][0])
        try:
            await crowd.send(connections, data)
            await wait_idle(process.pid)
            return await ordinary_statuses(fleet), open_descriptors(process.pid)
        finally:
            crowd.close()

    statuses, descriptors = asyncio.run(work())
    assert process.popen.poll() is None
    memory = most_memory(process.pid)
    print(f"statuses {statuses}, descriptors {descriptors}, memory {memory >> 20} MB")
    assert memory <= MEMORY
    assert descriptors <= DESCRIPTORS
    assert statuses[-1] == 200


CHUNKED = "Transfer-Encoding: chunked"


# Guards against content that takes many times its size in memory.
def test_bodies_in_tiny_chunks_stay_within_the_memory(fleet):
    check_beside(fleet, 40, head("crowd", CHUNKED) + chunks(256 << 10, 2))


# Guards against bodies that are held open and keep all others out.
def test_callers_get_in_beside_large_bodies_that_do_not_end(fleet):
    check_beside(fleet, 40, head("crowd", CHUNKED) + chunks(1 << 20, 65536))


# The same for bodies whose length is stated.
def test_callers_get_in_beside_bodies_by_length_that_do_not_end(fleet):
    size = 1 << 20
    data = head("crowd", f"Content-Length: {size}") + b"x" * (size - 1)
    check_beside(fleet, 40, data)


# Guards against heads that take many times their size once they are parsed.
def test_heads_with_many_fields_stay_within_the_memory(fleet):
    fields = ["a:b"] * 3000
    check_beside(fleet, 400, head("crowd", CHUNKED, *fields))


# Guards against requests behind one in progress that fill the memory.
def test_bytes_behind_requests_in_progress_stay_within_the_memory(fleet):
    fleet.launch_endpoint("m-1", "model")
    fleet.register("m-1", slots=SLOTS)
    fleet.set_faults("m-1", pause=WORK)
    request = head("crowd", "Content-Length: 0", path="/stream/x")
    behind = head("behind", "Content-Length: 262144")
    check_beside(fleet, 500, request + behind + b"x" * 262143)


# A single request as large as the limits allow is served.
def test_a_body_of_the_largest_size_is_served(fleet):
    size = 4 << 20
    port = fleet.ports["router-0"][0]
    headers = plain_headers("largest")
    answer = asyncio.run(call(port, "POST", "/once/x", b"x" * size, headers))
    assert answer.status == 200
