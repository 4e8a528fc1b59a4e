"""What callers get when a router stops."""

from __future__ import annotations

import asyncio
import signal

import logbook
import pytest

from carawayfold import gateway as gateway_module
from tests.gateway_builders import REQUEST, running_gateway, send_request
from tests.transport.edge_builders import run

#: Seconds of grace that a test does not use up.
LONG_GRACE = 1000.0
#: Seconds of grace that end soon after the stop signal.
SHORT_GRACE = 0.7


async def answer_of(reader, writer):
    """Return all that arrives on a connection."""
    answer = await reader.read()
    writer.close()
    return answer


async def settle():
    """Let the loop handle signals and ended tasks."""
    for _ in range(50):
        await asyncio.sleep(0)


async def fail():
    raise ValueError("no such thing")


def test_requests_in_flight_got_nothing_at_the_end_of_the_grace_period():
    async def scenario():
        async with running_gateway(SHORT_GRACE) as gateway:
            caller = await send_request(gateway)
            gateway.begin_stop()
            return await answer_of(*caller)

    with logbook.TestHandler() as logs:
        answer = run(scenario)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in answer
    ended = next(item for item in logs.records if item.message == "request ended")
    assert (ended.extra["end"], ended.extra["ran"]) == ("stopping", "no")


@pytest.mark.parametrize("signals", [2, 3])
def test_a_repeated_stop_signal_cut_the_requests_in_flight(signals):
    async def scenario():
        async with running_gateway(LONG_GRACE) as gateway:
            _, writer = await send_request(gateway)
            for _ in range(signals):
                signal.raise_signal(signal.SIGTERM)
                await settle()
            assert not gateway.stopped.is_set()
            assert gateway.forwarder.calls
            writer.close()

    run(scenario)


@pytest.mark.parametrize("first", ["signal", "failure"])
def test_a_failed_task_beside_a_stop_signal_cut_the_requests_in_flight(first):
    async def scenario():
        async with running_gateway(LONG_GRACE) as gateway:
            _, writer = await send_request(gateway)
            if first == "signal":
                gateway.begin_stop()
            gateway._spawn(fail())
            await settle()
            gateway.begin_stop()
            assert not gateway.stopped.is_set()
            assert gateway.forwarder.calls
            writer.close()

    run(scenario)


def test_a_second_interrupt_ends_requests_with_an_answer():
    async def scenario():
        async with running_gateway(LONG_GRACE) as gateway:
            caller = await send_request(gateway)
            for _ in range(2):
                signal.raise_signal(signal.SIGINT)
                await settle()
            return await answer_of(*caller)

    assert run(scenario).startswith(b"HTTP/1.1 503 ")


def test_a_request_behind_one_that_a_stop_ends_is_refused():
    async def scenario():
        async with running_gateway(SHORT_GRACE) as gateway:
            reader, writer = await send_request(gateway)
            writer.write(REQUEST)
            [connection] = gateway.front.connections.values()
            while not connection.pending:
                await asyncio.sleep(0)
            gateway.begin_stop()
            return await answer_of(reader, writer)

    answer = run(scenario)
    assert answer.count(b"HTTP/1.1 503 ") == 2
    assert answer.count(b"Connection: close") == 1


def test_a_router_whose_stop_fails_is_stopped():
    async def scenario():
        async with running_gateway(LONG_GRACE) as gateway:
            gateway._finish = fail
            gateway.begin_stop()
            await gateway.stopped.wait()

    run(scenario)


def test_a_router_that_cannot_announce_its_stop_is_stopped():
    async def scenario():
        async with running_gateway(SHORT_GRACE) as gateway:
            announce = gateway.fleet.stop

            def fail_to_announce():
                announce()
                raise OSError("no route to host")

            gateway.fleet.stop = fail_to_announce
            signal.raise_signal(signal.SIGTERM)
            await gateway.stopped.wait()

    run(scenario)


def test_a_request_that_came_too_late_in_a_stop_was_passed_on(monkeypatch):
    """An answer that began before the stop doesn't tell its caller not to send more."""
    monkeypatch.setattr(gateway_module, "STOP_NOTICE_DURATION", 0.0)

    async def scenario():
        async with running_gateway(LONG_GRACE) as gateway:
            reader, writer = await send_request(gateway)
            [first] = gateway.forwarder.calls
            first.incoming.begin(200, [("Content-Length", "2")])
            gateway.begin_stop()
            while gateway.front.server._sock is not None:
                await asyncio.sleep(0)
            first.incoming.send(b"ok")
            first.incoming.end()
            await reader.readuntil(b"\r\n\r\nok")
            writer.write(REQUEST)
            answer = await answer_of(reader, writer)
            return answer, len(gateway.forwarder.calls)

    answer, calls = run(scenario)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in answer
    assert calls == 1
