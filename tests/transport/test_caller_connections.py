"""Why callers' connections are closed, and what their requests get."""

from __future__ import annotations

import asyncio

import logbook
import msgspec
import pytest

from carawayfold.transport.edge import CloseReason, EdgeLimits, Stage
from tests.transport.edge_builders import GET, POST, accepted, connect, open_edge, run


def test_a_connection_that_is_closed_beside_a_request_is_logged_with_its_reason():
    async def scenario():
        async with open_edge(lambda incoming: None) as edge:
            reader, writer = await connect(edge)
            writer.write(GET)
            while (
                not edge.connections
                or not next(iter(edge.connections.values())).request
            ):
                await asyncio.sleep(0)
            next(iter(edge.connections.values())).close(CloseReason.STOPPING)
            assert await reader.read() == b""
            writer.close()
            return edge.closed

    with logbook.TestHandler() as logs:
        closed = run(scenario)
    assert closed == {CloseReason.STOPPING: 1}
    record = next(item for item in logs.records if "beside a request" in item.message)
    assert record.extra["reason"] == "stopping"
    assert record.extra["stage"] == "answering"


def test_a_connection_that_is_closed_while_idle_is_counted_only():
    async def scenario():
        async with open_edge(lambda incoming: incoming.answer(200, [])) as edge:
            edge.limits = msgspec.structs.replace(edge.limits, idle_timeout=0.05)
            reader, writer = await connect(edge)
            writer.write(POST)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            return edge.closed

    with logbook.TestHandler() as logs:
        closed = run(scenario)
    assert closed == {CloseReason.IDLE: 1}
    assert not logs.records


def fail(incoming):
    raise ValueError("no such thing")


def fail_after_the_head(incoming):
    incoming.begin(200, [])
    fail(incoming)


@pytest.mark.parametrize("pipelined", [1, 2])
def test_an_error_before_the_task_of_a_request_closed_its_connection(pipelined):
    async def scenario():
        async with open_edge(fail) as edge:
            reader, writer = await connect(edge)
            writer.write(POST * pipelined)
            for _ in range(pipelined):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 503 ")
            writer.close()

    with logbook.TestHandler() as logs:
        run(scenario)
    errors = [item for item in logs.records if "failed in its edge" in item.message]
    assert [item.extra["reason"] for item in errors] == [
        "ValueError('no such thing')"
    ] * pipelined


def test_an_error_after_the_head_of_an_answer_cuts_it():
    async def scenario():
        async with open_edge(fail_after_the_head) as edge:
            reader, writer = await connect(edge)
            writer.write(GET)
            answer = await reader.read()
            writer.close()
            return answer, edge.closed

    answer, closed = run(scenario)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert not answer.endswith(b"0\r\n\r\n")
    assert closed == {CloseReason.CUT: 1}


def test_an_error_while_overload_is_checked_closed_the_connection():
    async def scenario():
        async with open_edge(lambda incoming: incoming.answer(200, [])) as edge:
            edge.should_reject = lambda: 1 / 0
            reader, writer = await connect(edge)
            writer.write(GET)
            answer = await reader.read()
            writer.close()
            return answer

    assert run(scenario).startswith(b"HTTP/1.1 503 ")


def test_an_error_at_one_new_connection_closed_the_listening_socket():
    async def scenario():
        async with open_edge(lambda incoming: incoming.answer(200, [])) as edge:
            opened = edge.opened
            edge.opened = lambda sock: fail(sock)
            reader, writer = await connect(edge)
            assert await reader.read() == b""
            writer.close()
            edge.opened = opened
            reader, writer = await connect(edge)
            writer.write(GET)
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head

    with logbook.TestHandler() as logs:
        assert run(scenario).startswith(b"HTTP/1.1 200 ")
    assert logs.has_error("a new connection failed")


@pytest.mark.parametrize("requests", [0, 1])
def test_a_raised_idle_timeout_did_not_apply_to_idle_connections(requests):
    async def scenario():
        async with open_edge(lambda incoming: incoming.answer(200, [])) as edge:
            edge.limits = EdgeLimits(idle_timeout=2.0)
            reader, writer = await connect(edge)
            connection = await accepted(edge)
            for _ in range(requests):
                writer.write(GET)
                await reader.readuntil(b"\r\n\r\n")
            edge.limits = EdgeLimits(idle_timeout=20.0)
            started = asyncio.get_running_loop().time()
            connection.expire_idle()
            assert connection.stage is Stage.IDLE
            assert connection.timer.when() == pytest.approx(started + 20.0, abs=1.0)
            connection.idle_since -= 20.0
            connection.expire_idle()
            assert await reader.read() == b""
            writer.close()
            return edge.closed

    assert run(scenario) == {CloseReason.IDLE: 1}


def test_a_shorter_idle_timeout_leaves_idle_connections_their_time():
    async def scenario():
        async with open_edge(lambda incoming: None) as edge:
            _, writer = await connect(edge)
            connection = await accepted(edge)
            due = connection.timer.when()
            edge.limits = EdgeLimits(idle_timeout=0.0)
            assert connection.timer.when() == due
            writer.close()

    run(scenario)


def test_an_error_after_an_answer_adds_no_second_one():
    def answer_and_fail(incoming):
        incoming.answer(200, [], b"whole")
        fail(incoming)

    def count_and_fail(request):
        fail(request)

    async def scenario():
        async with open_edge(answer_and_fail) as edge:
            edge.on_rejected = count_and_fail
            reader, writer = await connect(edge)
            writer.write(POST + GET.replace(b"Host", b"Connection: close\r\nHost"))
            answered = await reader.read()
            writer.close()
            edge.should_reject = lambda: True
            reader, writer = await connect(edge)
            writer.write(POST)
            rejected = await reader.read()
            writer.close()
            return answered, rejected

    answered, rejected = run(scenario)
    assert answered.count(b"HTTP/1.1 ") == answered.count(b"HTTP/1.1 200 ") == 2
    assert rejected.count(b"HTTP/1.1 ") == rejected.count(b"HTTP/1.1 503 ") == 1


def test_an_answer_that_ends_before_its_length_is_closed_as_incomplete():
    def end_early(incoming):
        incoming.begin(200, [("Content-Length", "10")])
        incoming.send(b"a part")
        incoming.end()

    async def scenario():
        async with open_edge(end_early) as edge:
            reader, writer = await connect(edge)
            writer.write(GET)
            answer = await reader.read()
            writer.close()
            return answer, edge.closed

    answer, closed = run(scenario)
    assert answer.endswith(b"a part")
    assert closed == {CloseReason.INCOMPLETE: 1}


@pytest.mark.parametrize("part", [b"", GET[:20], POST[:-2]])
def test_a_caller_that_leaves_before_its_request_is_whole_gets_nothing(part):
    async def scenario():
        served = []
        async with open_edge(served.append) as edge:
            _, writer = await connect(edge)
            await accepted(edge)
            writer.write(part)
            writer.close()
            while edge.connections:
                await asyncio.sleep(0)
            return served, edge.closed

    assert run(scenario) == ([], {CloseReason.LOST: 1})


@pytest.mark.parametrize("half", [False, True])
def test_a_caller_that_ends_its_input_cancels_its_request(half):
    async def scenario():
        served, cancelled = [], []
        async with open_edge(served.append) as edge:
            _, writer = await connect(edge)
            writer.write(GET)
            while not served:
                await asyncio.sleep(0)
            served[0].on_disconnect = lambda: cancelled.append(True)
            if half:
                writer.write_eof()
            else:
                writer.close()
            while edge.connections:
                await asyncio.sleep(0)
            writer.close()
            return cancelled, edge.closed

    assert run(scenario) == ([True], {CloseReason.LOST: 1})
