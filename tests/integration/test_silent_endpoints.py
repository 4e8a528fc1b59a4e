"""Sound endpoints that send nothing for a second or more and go on.

Guards against answers that the router itself ends although their endpoint would have
finished them.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

import pytest

from benchmarks.hosted import (
    HostedFleet,
    call,
    configuration,
    model_headers,
    plain_headers,
    stream_events,
)

#: Seconds for which endpoints are suspended.
PAUSE = 1.5
#: Seconds between events, and number of events, of a stream.
EVENT_INTERVAL = 0.05
EVENTS = 30
STREAMS = 8
CALLS = 8
#: Seconds after which endpoints are suspended.
SUSPENDED_AFTER = 0.4
ENGINES = ("m-1", "m-2", "m-3")


def start_fleet(processes, desks=("d-1",), **settings):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name in ENGINES:
        fleet.start_endpoint(name, "model", pace=EVENT_INTERVAL)
    for name in desks:
        fleet.start_endpoint(name, "desk")
    fleet.start_router("router-0", **settings)
    asyncio.run(fleet.wait_ready("router-0"))
    return fleet


@contextlib.contextmanager
def suspended(fleet, names):
    """Suspend endpoints during the block."""
    for name in names:
        fleet.endpoints[name].signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for name in names:
            fleet.endpoints[name].signal(signal.SIGCONT)


def send(fleet, path, headers):
    return call(fleet.ports["router-0"][0], "POST", path, b"body", headers)


def send_streams(fleet):
    """Return the calls of streams whose prompts share no part."""
    calls = []
    for number in range(STREAMS):
        headers = model_headers(f"stream-{number}", EVENTS)
        headers["Prompt-Prefix"] = f"part-{number}:400"
        calls.append(send(fleet, "/stream/x", headers))
    return calls


async def answers_across_a_pause(fleet, names, calls, during=None):
    """Return the answers to calls while whose requests endpoints are suspended."""
    sent = asyncio.gather(*calls)
    await asyncio.sleep(SUSPENDED_AFTER)
    with suspended(fleet, names):
        if during is not None:
            await asyncio.to_thread(during)
        await asyncio.sleep(PAUSE)
    return await sent


def check_whole_streams(answers):
    for answer in answers:
        assert (answer.status, answer.complete) == (200, True)
        numbers = [event.number for event in stream_events(answer.body)]
        assert numbers == list(range(1, EVENTS + 1))


@pytest.mark.parametrize("silent", [ENGINES[:1], ENGINES], ids=["one", "all"])
def test_streams_are_not_cut_while_endpoints_are_silent(processes, silent):
    fleet = start_fleet(processes)
    streams = send_streams(fleet)
    check_whole_streams(asyncio.run(answers_across_a_pause(fleet, silent, streams)))


def test_streams_are_not_cut_while_endpoints_are_silent_beside_a_change(processes):
    fleet = start_fleet(processes)

    def change():
        fleet.configure(configuration(2))

    streams = send_streams(fleet)
    answers = asyncio.run(answers_across_a_pause(fleet, ENGINES, streams, change))
    check_whole_streams(answers)


def test_idempotent_requests_wait_for_a_silent_endpoint(processes):
    fleet = start_fleet(processes)
    fleet.set_faults("d-1", pause=2 * SUSPENDED_AFTER)
    calls = [
        send(fleet, "/again/x", plain_headers(f"call-{number}"))
        for number in range(CALLS)
    ]
    answers = asyncio.run(answers_across_a_pause(fleet, ["d-1"], calls))
    assert [answer.status for answer in answers] == [200] * CALLS


def test_an_idempotent_request_may_take_longer_than_a_second(processes):
    fleet = start_fleet(processes, desks=("d-1", "d-2"))
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, pause=PAUSE)
    answer = asyncio.run(send(fleet, "/again/x", plain_headers("long")))
    assert answer.status == 200
