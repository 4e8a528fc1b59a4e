"""A router that is told to stop again while it stops finishes its requests."""

from __future__ import annotations

import asyncio
import signal

import pytest

from benchmarks.hosted import (
    HostedFleet,
    call,
    configuration,
    model_headers,
    stream_events,
)
from benchmarks.processes import Processes

#: Seconds between events, and number of events, of a stream.
EVENT_INTERVAL = 0.05
EVENTS = 20
#: Seconds between signals.
SIGNAL_INTERVAL = 0.2


async def stream_under(fleet, signals):
    """Return the answer to a stream during which a router gets signals."""
    stream = asyncio.create_task(
        call(
            fleet.ports["router-0"][0],
            "POST",
            "/stream/x",
            headers=model_headers("q-1", EVENTS),
        )
    )
    for number in signals:
        await asyncio.sleep(SIGNAL_INTERVAL)
        fleet.routers["router-0"].signal(number)
    return await stream


@pytest.mark.parametrize(
    "signals",
    [
        [signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP],
        [signal.SIGTERM, signal.SIGTERM],
        [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
    ],
)
def test_a_stream_ends_whole_at_a_router_that_stops(signals):
    with Processes() as processes:
        fleet = HostedFleet(processes)
        fleet.configure(configuration())
        fleet.start_endpoint("model-1", "model", pace=EVENT_INTERVAL)
        fleet.start_router("router-0")
        asyncio.run(fleet.wait_ready("router-0"))
        answer = asyncio.run(stream_under(fleet, signals))
    assert (answer.status, answer.complete) == (200, True)
    numbers = [event.number for event in stream_events(answer.body)]
    assert numbers == list(range(1, EVENTS + 1))
