"""Answers that never end: bounded memory, an error in time, closed connections."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.transport.client import (
    MAX_FETCH_BYTES,
    ExchangeError,
    ResponseTimeoutError,
)
from tests.transport.endless_bytes import (
    Peak,
    endless_server,
    exchange_with,
    fetch_ends,
    http_client,
)

#: Bytes that the client may allocate for one answer, beside what the test server holds.
MAX_PEAK = 3 * MAX_FETCH_BYTES
#: Seconds that a fetch may wait; none of these needs them.
TIMEOUT = 30.0
OK = b"HTTP/1.1 200 \r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = OK + b"Other: 1\r\n"

#: The beginning of an answer, and what is repeated after it.
ANSWERS = {
    "no answer": (b"", b"\x00"),
    "text": (b"", b"no answer\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header": (OK + b"A: ", b"x"),
    "headers": (OK, b"A: 1\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 \r\n\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"x"),
    "chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"A: 1\r\n"),
    "trailer": (CHUNKED + b"0\r\nA: ", b"x"),
    "body without a length": (OK + b"\r\n", b"x"),
    "declared body": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "chunk": (CHUNKED + b"ffffffffff\r\n", b"x"),
    "chunks": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_fetch_of_bytes_without_end_fails_before_its_timeout(answer):
    async def work():
        async with endless_server(*answer) as (server, address):
            with http_client() as client:
                with Peak() as peak, pytest.raises(ExchangeError) as caught:
                    await client.fetch(address, "GET", "/", timeout=TIMEOUT)
                await server.closed.wait()
                assert not client.open
        assert not isinstance(caught.value, ResponseTimeoutError)
        assert peak.bytes < MAX_PEAK

    asyncio.run(asyncio.wait_for(work(), 2 * TIMEOUT))


def test_bytes_after_a_complete_answer_close_the_connection():
    async def work():
        answer = OK + b"Content-Length: 4\r\n\r\nbody"
        async with endless_server(answer, b"x") as (server, address):
            with http_client() as client, Peak() as peak:
                got = await client.fetch(address, "GET", "/", timeout=TIMEOUT)
                await server.closed.wait()
                assert not client.open
        assert got.body == b"body"
        assert peak.bytes < MAX_PEAK

    asyncio.run(asyncio.wait_for(work(), 2 * TIMEOUT))


#: Answers to another request.
SKIPPED = {
    "answers": (b"", OTHER + b"Content-Length: 0\r\n\r\n"),
    "body without a length": (OTHER + b"\r\n", b"x"),
    "answer that closes": (
        OTHER + b"Connection: close\r\nContent-Length: 999999\r\n\r\n",
        b"x",
    ),
    "declared body": (OTHER + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "chunks": (
        OTHER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"x" * 1024 + b"\r\n",
    ),
}


@pytest.mark.parametrize("answer", SKIPPED.values(), ids=SKIPPED)
def test_answers_to_another_request_without_end_fail_the_exchange(answer):
    async def work():
        async with endless_server(*answer) as (server, address):
            with http_client() as client:
                exchange = exchange_with(client, address)
                with Peak() as peak, pytest.raises(ExchangeError):
                    await exchange
                await server.closed.wait()
                assert not client.open
        assert peak.bytes < MAX_PEAK

    asyncio.run(asyncio.wait_for(work(), TIMEOUT))


def test_other_requests_are_answered_beside_bytes_without_end():
    async def work():
        complete = OK + b"Content-Length: 4\r\n\r\nbody"
        async with (
            endless_server(OK + b"\r\n", b"x") as (_, endless),
            endless_server(complete, b"x") as (_, sound),
        ):
            with http_client() as client:
                fetch = client.fetch(endless, "GET", "/", timeout=TIMEOUT)
                failing = asyncio.create_task(fetch_ends(fetch))
                answers = [
                    (await client.fetch(sound, "GET", "/", timeout=TIMEOUT)).body
                    for _ in range(20)
                ]
                assert await failing
        assert answers == [b"body"] * 20

    asyncio.run(asyncio.wait_for(work(), 2 * TIMEOUT))
