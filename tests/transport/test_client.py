"""Exchanges that are cancelled from within their own callbacks."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.settings import Address
from carawayfold.transport.client import IDLE_TIMEOUT, Head, HttpClient, _reuse_timeout
from carawayfold.transport.loop import Root

ANSWER = b"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody"


def test_no_data_is_passed_on_after_the_head_callback_cancels():
    async def work():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        root = Root()
        client = HttpClient(root).register(root)
        root.attach()
        got = []
        given_up = asyncio.Event()

        def on_head(head):
            got.append(head.status)
            client.cancel(connection)
            given_up.set()

        connection = client.start(
            Address("127.0.0.1", port), "GET", "/", [], b"", on_head, got.append
        )
        await given_up.wait()
        await asyncio.sleep(0)
        open_now = len(client.open)
        root.detach()
        server.close()
        return got, open_now

    assert asyncio.run(asyncio.wait_for(work(), 10)) == ([200], 0)


@pytest.mark.parametrize("seconds", ["9" * 5000, "\u00b2", "-1", ""])
def test_keep_alive_that_is_no_number_is_ignored(seconds):
    head = Head(200, {"keep-alive": f"timeout={seconds}"})
    assert _reuse_timeout(head) == IDLE_TIMEOUT
