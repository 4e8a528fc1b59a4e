"""Requests that have arrived when a connection is closed."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.transport.edge import PIPELINE_LIMIT, CloseReason, Stage
from carawayfold.transport.sockets import READ_SIZE
from tests.transport.edge_builders import (
    GET,
    POST,
    accepted,
    arrived,
    connect,
    connect_unread,
    open_edge,
    run,
)


def expire(edge, connection):
    connection.idle_since -= 1000.0
    connection.expire_idle()


def stop(edge, connection):
    edge.stop_accepting()


def close_idle(edge, connection):
    edge.close_idle()


def crowd(edge, connection):
    edge._close_oldest()


CLOSES = [expire, stop, close_idle, crowd]


def served(incoming):
    incoming.answer(200, [])


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_in_the_buffer_of_the_socket_was_lost_at_a_close(close):
    async def scenario():
        async with open_edge(served) as edge:
            connection, reader, writer = await connect_unread(edge, POST)
            close(edge, connection)
            edge.root.attach()
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head

    assert run(scenario).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("close", CLOSES)
def test_a_pipelined_request_was_lost_at_a_close(close):
    async def scenario():
        waiting = []
        async with open_edge(waiting.append) as edge:
            reader, writer = await connect(edge)
            connection = await accepted(edge)
            writer.write(GET + POST)
            while not connection.pending:
                await asyncio.sleep(0)
            waiting.pop().answer(200, [])
            assert connection.stage is Stage.IDLE
            close(edge, connection)
            waiting.pop().answer(201, [])
            for status in (b"200", b"201"):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 " + status)
            writer.close()

    run(scenario)


@pytest.mark.parametrize("begun", [False, True])
def test_a_pipelined_request_was_lost_as_its_router_stopped(begun):
    async def scenario():
        waiting = []
        async with open_edge(waiting.append) as edge:
            reader, writer = await connect(edge)
            connection = await accepted(edge)
            writer.write(GET + POST)
            while not connection.pending:
                await asyncio.sleep(0)
            first = waiting.pop()
            if begun:
                first.begin(200, [("Content-Length", "0")])
            edge.stop_accepting()
            if begun:
                first.end()
            else:
                first.answer(200, [])
            edge.close_idle()
            waiting.pop().answer(201, [])
            got = await reader.read()
            writer.close()
            return got, edge.closed

    got, closed = run(scenario)
    assert [got.count(b" 200 "), got.count(b" 201 ")] == [1, 1]
    assert got.count(b"Connection: close") == 1
    assert closed == {CloseReason.ANSWERED: 1}


@pytest.mark.parametrize("part", [GET[:20], POST[:-2]])
def test_a_request_of_which_a_part_had_arrived_got_no_refusal_at_a_stop(part):
    async def scenario():
        async with open_edge(served) as edge:
            _, reader, writer = await connect_unread(edge, part)
            edge.stop_accepting()
            edge.root.attach()
            answer = await reader.read()
            writer.close()
            return answer

    assert run(scenario).startswith(b"HTTP/1.1 503 ")


def test_a_connection_that_was_not_accepted_yet_was_reset_at_a_stop():
    async def scenario():
        async with open_edge(served) as edge:
            edge.root.detach()
            reader, writer = await connect(edge)
            writer.write(GET)
            await writer.drain()
            edge.stop_accepting()
            edge.root.attach()
            answer = await reader.read()
            writer.close()
            return answer

    assert run(scenario).startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("split", [20, len(POST) - 2])
def test_a_request_that_arrived_while_the_loop_was_late_was_refused_as_slow(split):
    async def scenario():
        async with open_edge(served) as edge:
            reader, writer = await connect(edge)
            connection = await accepted(edge)
            writer.write(POST[:split])
            while connection.stage is Stage.IDLE:
                await asyncio.sleep(0)
            edge.root.detach()
            writer.write(POST[split:])
            await writer.drain()
            arrived(connection.sock, len(POST) - split)
            (connection.timer._callback)()
            edge.root.attach()
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head

    assert run(scenario).startswith(b"HTTP/1.1 200 ")


def test_an_answer_in_progress_was_cut_for_what_its_caller_sent_behind():
    async def scenario():
        waiting = []
        async with open_edge(waiting.append) as edge:
            reader, writer = await connect(edge)
            connection = await accepted(edge)
            writer.write(GET)
            while not waiting:
                await asyncio.sleep(0)
            behind = PIPELINE_LIMIT // len(POST) * 4
            writer.write(POST * behind)
            while len(connection.pending) <= PIPELINE_LIMIT:
                assert connection.stage is Stage.ANSWERING
                await asyncio.sleep(0)
            # Nothing more is read, however often the poller runs.
            for _ in range(100):
                edge.root.pump()
            assert len(connection.pending) <= PIPELINE_LIMIT + READ_SIZE
            edge.serve = served
            waiting.pop().answer(200, [])
            for _ in range(behind + 1):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
            writer.close()

    run(scenario)


def test_an_answer_after_which_too_much_was_sent_is_delivered_with_its_close():
    async def scenario():
        waiting = []
        async with open_edge(waiting.append) as edge:
            reader, writer = await connect(edge)
            connection = await accepted(edge)
            writer.write(GET.replace(b"Host: x", b"Host: x\r\nConnection: close"))
            writer.write(POST * 10_000)
            while len(connection.pending) <= PIPELINE_LIMIT:
                await asyncio.sleep(0)
            waiting.pop().answer(200, [], b"whole")
            got = await reader.read()
            writer.close()
            return got, edge.closed

    got, closed = run(scenario)
    assert got.endswith(b"whole")
    assert closed == {CloseReason.ANSWERED: 1}


@pytest.mark.parametrize("close", CLOSES)
def test_requests_that_are_answered_at_once_are_all_answered_at_a_close(close):
    async def scenario():
        async with open_edge(served) as edge:
            connection, reader, writer = await connect_unread(edge, POST * 3)
            close(edge, connection)
            edge.root.attach()
            for _ in range(3):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
            writer.close()

    run(scenario)


def test_a_connection_that_served_a_request_at_its_idle_timeout_stays_open():
    async def scenario():
        async with open_edge(served) as edge:
            connection, reader, writer = await connect_unread(edge, POST)
            expire(edge, connection)
            edge.root.attach()
            await reader.readuntil(b"\r\n\r\n")
            assert connection.stage is Stage.IDLE
            writer.close()

    run(scenario)
