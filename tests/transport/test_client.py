"""Exchanges that are cancelled by their callbacks, or cannot be sent."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.settings import Address
from carawayfold.transport import client
from carawayfold.transport.client import (
    ExchangeError,
    HttpClient,
)
from carawayfold.transport.keep_alive import (
    IDLE_TIMEOUT,
    announced_timeout,
    reuse_timeout,
)
from carawayfold.transport.loop import Root
from tests.transport.client_builders import idle_connection

ANSWER = b"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody"


def test_no_data_is_passed_on_after_the_head_callback_cancels():
    async def work():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        root = Root()
        http = HttpClient(root).register(root)
        root.attach()
        got = []
        given_up = asyncio.Event()

        def on_head(head):
            got.append(head.status)
            http.cancel(connection)
            given_up.set()

        connection = http.start(
            Address("127.0.0.1", port), "GET", "/", [], b"", on_head, got.append
        )
        await given_up.wait()
        await asyncio.sleep(0)
        open_now = len(http.open)
        root.detach()
        server.close()
        return got, open_now

    assert asyncio.run(asyncio.wait_for(work(), 10)) == ([200], 0)


@pytest.mark.parametrize("reset", [False, True])
def test_a_request_is_not_sent_on_a_connection_that_was_closed_while_idle(reset):
    async def work():
        async with idle_connection() as opened:
            opened.close(reset)
            answering = asyncio.ensure_future(opened.answer())
            answer = await opened.client.fetch(opened.address, "GET", "/")
            await answering
            return answer.head.status

    assert asyncio.run(asyncio.wait_for(work(), 10)) == 200


def test_a_request_that_cannot_be_sent_fails_with_its_exchange(monkeypatch):
    async def work():
        async with idle_connection() as opened:
            # The connection is lost after it has been checked.
            monkeypatch.setattr(client, "_is_readable", lambda sock: False)
            opened.close(reset=True)
            started = opened.client.start(
                opened.address, "GET", "/", [], b"", None, None
            )
            with pytest.raises(ExchangeError):
                await started.exchange.done
            with pytest.raises(ExchangeError):
                await opened.client.fetch(Address("127.0.0.1", 1), "GET", "/")

    asyncio.run(asyncio.wait_for(work(), 10))


@pytest.mark.parametrize("seconds", ["9" * 5000, "\u00b2", "-1", ""])
def test_keep_alive_that_is_no_number_is_ignored(seconds):
    announced = announced_timeout({"keep-alive": f"timeout={seconds}"})
    assert reuse_timeout(announced) == IDLE_TIMEOUT


def test_a_connection_paused_by_its_last_receiver_is_read_for_the_next():
    async def work():
        async with idle_connection() as opened:
            client, connection = opened.client, opened.connection
            loop = asyncio.get_running_loop()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            started = client.start(
                opened.address,
                "GET",
                "/",
                [],
                b"",
                lambda head: None,
                lambda data: client.pause(connection),
            )
            assert started is connection
            await loop.sock_recv(opened.peer, 4096)
            await loop.sock_sendall(opened.peer, answer)
            await connection.exchange.done
            following = asyncio.ensure_future(
                client.fetch(opened.address, "GET", "/", timeout=2.0)
            )
            await loop.sock_recv(opened.peer, 4096)
            await loop.sock_sendall(opened.peer, answer)
            return (await following).body, connection.used

    assert asyncio.run(asyncio.wait_for(work(), 10)) == (b"ok", 3)
