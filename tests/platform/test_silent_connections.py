"""Reused store connections that stop responding while new connections work.

Without dropping all idle connections after a time-out, the next call would pick
another one that does not respond either.
"""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.platform.store import StoreClient
from carawayfold.protocol.sources import SourceError
from carawayfold.settings import Address
from carawayfold.transport.client import HttpClient
from carawayfold.transport.loop import Root

BODY = b'{"entries":[],"end":7}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


class SilentStore:
    """Store that responds to lists, except on the first `silent_up_to` connections."""

    def __init__(self):
        self.opened = 0
        self.silent_up_to = 0

    async def serve(self, reader, writer):
        self.opened += 1
        number = self.opened
        while True:
            await reader.readuntil(b"\r\n\r\n")
            if number > self.silent_up_to:
                writer.write(ANSWER)


def test_call_after_a_time_out_opens_a_new_connection(monkeypatch):
    monkeypatch.setattr("carawayfold.platform.store.TIMEOUT", 0.05)

    async def work():
        store = SilentStore()
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        root = Root()
        http = HttpClient(root).register(root)
        root.attach()
        client = StoreClient(http, Address("127.0.0.1", port))
        await asyncio.gather(*(client.newest("t") for _ in range(3)))
        store.silent_up_to = store.opened
        with pytest.raises(SourceError):
            await client.newest("t")
        page = await client.newest("t")
        root.detach()
        server.close()
        return page.next

    assert asyncio.run(asyncio.wait_for(work(), 10)) == 7
