"""For how long idle connections are reused, and how many stay open."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.transport.client import ExchangeError
from carawayfold.transport.keep_alive import (
    CLOSE_MARGIN,
    IDLE_TIMEOUT,
    announced_timeout,
    reuse_timeout,
    unrepeatable_timeout,
)
from tests.transport.client_builders import EMPTY_RESPONSE, idle_connection

#: A response that announces a timeout.
KEEP_ALIVE = EMPTY_RESPONSE.replace(b"Content", b"Keep-Alive: timeout=4\r\nContent")


@pytest.mark.parametrize("announced", [0, 1, 2, 5, 15, 20, 60, 10**8])
def test_half_of_the_announced_timeout_is_used_by_default(announced):
    assert reuse_timeout(announced) == min(IDLE_TIMEOUT, announced / 2)


@pytest.mark.parametrize(
    ("announced", "seconds"),
    [(None, 20.0), (0, 0.0), (1, 0.75), (2, 1.75), (5, 4.75), (20, 19.75), (60, 20.0)],
)
def test_all_but_a_margin_of_the_announced_timeout_is_used_if_asked(announced, seconds):
    assert reuse_timeout(announced, reuse_longer=True) == seconds


@pytest.mark.parametrize("announced", [*range(1, 21), 10**8])
def test_no_request_is_sent_shortly_before_the_announced_close(announced):
    assert reuse_timeout(announced, reuse_longer=True) <= announced - CLOSE_MARGIN


@pytest.mark.parametrize(
    ("announced", "seconds"),
    [(None, 1.0), (0, 0.0), (1, 0.5), (2, 1.0), (5, 1.0), (30, 1.0)],
)
def test_requests_that_run_once_keep_a_greater_distance(announced, seconds):
    assert unrepeatable_timeout(announced, 1.0) == seconds


@pytest.mark.parametrize(
    ("value", "announced"),
    [("timeout=5", 5), ("max=9, Timeout= 7", 7), ("timeout=-1", None), ("", None)],
)
def test_the_announced_timeout_is_read_from_the_header(value, announced):
    assert announced_timeout({"keep-alive": value}) == announced


def test_an_idle_connection_is_kept_until_it_is_taken_or_closed():
    async def work():
        async with idle_connection() as opened:
            client, connection = opened.client, opened.connection
            off = client.kept_for(connection)
            client.reuse_longer = True
            # The connection was idle since the test's own start at the earliest.
            idle = client.kept_for(connection)
            for_one = client.kept_for(connection, 1.0)
            client.start(opened.address, "GET", "/", [], b"", None, None)
            taken = client.kept_for(connection)
            client.cancel(connection)
            return off, idle, for_one, taken, client.kept_for(connection)

    off, idle, for_one, taken, closed = asyncio.run(asyncio.wait_for(work(), 10))
    assert (off, taken, closed) == (0.0, 0.0, 0.0)
    assert 1.0 < idle <= IDLE_TIMEOUT
    assert for_one <= 1.0


@pytest.mark.parametrize(("is_attempt", "seconds"), [(True, 3.75), (False, 2.0)])
def test_only_connections_of_attempts_are_reused_for_longer(is_attempt, seconds):
    async def work():
        async with idle_connection() as opened:
            opened.client.reuse_longer = True
            answering = asyncio.ensure_future(opened.answer_and_keep(KEEP_ALIVE))
            connection = opened.client.start(
                opened.address,
                "GET",
                "/",
                [],
                b"",
                lambda head: None,
                None,
                fresh=True,
                is_attempt=is_attempt,
            )
            await connection.exchange.done
            await answering
            return connection.reuse_timeout

    assert asyncio.run(asyncio.wait_for(work(), 10)) == seconds


@pytest.mark.parametrize("reuse_longer", [False, True])
def test_requests_that_run_once_never_come_nearer_to_a_close(reuse_longer):
    async def work():
        async with idle_connection() as opened:
            client, connection = opened.client, opened.connection
            client.reuse_longer = reuse_longer
            connection.announced = 1
            connection.reuse_timeout = reuse_timeout(1, reuse_longer)
            return client._idle_limit(connection, 1.0)

    assert asyncio.run(asyncio.wait_for(work(), 10)) == 0.5


@pytest.mark.parametrize(("by_router", "lost"), [(True, 0), (False, 1)])
def test_only_connections_that_the_endpoint_ends_count_as_lost(by_router, lost):
    async def work():
        async with idle_connection() as opened:
            client = opened.client
            connection = client.start(
                opened.address, "GET", "/", [], b"", None, None, is_attempt=True
            )
            exchange = connection.exchange
            if by_router:
                client.fail(connection, "its content is refused")
            else:
                opened.peer.close()
            with pytest.raises(ExchangeError):
                await exchange.done
            return connection.used, client.uses.lost

    assert asyncio.run(asyncio.wait_for(work(), 10)) == (2, lost)


def test_a_connection_that_its_endpoint_has_closed_is_not_kept():
    async def work():
        async with idle_connection() as opened:
            opened.client.reuse_longer = True
            opened.close(reset=False)
            while opened.connection.sock in opened.client.open:
                await asyncio.sleep(0)
            return opened.client.kept_for(opened.connection)

    assert asyncio.run(asyncio.wait_for(work(), 10)) == 0.0


async def open_idle(opened, count):
    """Open further idle connections of a client; return all, oldest first."""
    found = [opened.connection]
    for _ in range(count):
        answering = asyncio.ensure_future(opened.answer_and_keep())
        connection = opened.client.start(
            opened.address, "GET", "/", [], b"", lambda head: None, None, fresh=True
        )
        await connection.exchange.done
        await answering
        found.append(connection)
    return found


def test_the_connection_idle_for_longest_is_closed_for_a_new_one():
    async def work():
        async with idle_connection() as opened:
            client = opened.client
            client.max_open = 3
            connections = await open_idle(opened, 4)
            return [item.sock in client.open for item in connections], len(client.open)

    still_open, count = asyncio.run(asyncio.wait_for(work(), 10))
    assert still_open == [False, False, True, True, True]
    assert count == 3


def test_connections_in_use_are_not_closed_for_a_new_one():
    async def work():
        async with idle_connection() as opened:
            client = opened.client
            client.max_open = 2
            busy = [
                client.start(
                    opened.address, "GET", "/", [], b"", None, None, fresh=True
                )
                for _ in range(4)
            ]
            return [item.sock in client.open for item in busy], client.idle_order

    still_open, idle = asyncio.run(asyncio.wait_for(work(), 10))
    assert still_open == [True] * 4
    assert not idle


def test_without_a_limit_idle_connections_stay():
    async def work():
        async with idle_connection() as opened:
            await open_idle(opened, 4)
            return len(opened.client.open), len(opened.client.idle_order)

    assert asyncio.run(asyncio.wait_for(work(), 10)) == (5, 5)
