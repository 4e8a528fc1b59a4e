"""Clients with an idle connection to an endpoint that a test controls."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from typing import TYPE_CHECKING

from carawayfold.settings import Address
from carawayfold.transport.client import HttpClient
from carawayfold.transport.loop import Root

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: A complete response without a body.
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#: Value of ``SO_LINGER`` with which a close resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
#: Seconds within which the other side of a closed connection is readable.
ARRIVAL_TIMEOUT_MS = 5000


class IdleConnection:
    """A client with one idle connection, and the endpoint's side of it."""

    def __init__(self, listener: socket.socket) -> None:
        self.root = Root()
        self.client = HttpClient(self.root).register(self.root)
        self.root.attach()
        self.listener = listener
        self.peers: list[socket.socket] = []
        self.address = Address("127.0.0.1", listener.getsockname()[1])

    async def open(self) -> None:
        """Have the client fetch something, so that a connection is left idle."""
        loop = asyncio.get_running_loop()
        fetched = asyncio.ensure_future(self.client.fetch(self.address, "GET", "/"))
        self.peer, _ = await loop.sock_accept(self.listener)
        await loop.sock_recv(self.peer, 4096)
        await loop.sock_sendall(self.peer, EMPTY_RESPONSE)
        await fetched
        [self.connection] = self.client.idle[self.address]

    def close(self, reset: bool) -> None:
        """Close the endpoint's side; the client's loop does not run meanwhile."""
        if reset:
            self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.peer.close()
        arrived = select.poll()
        arrived.register(self.connection.sock, select.POLLIN)
        assert arrived.poll(ARRIVAL_TIMEOUT_MS)

    async def answer(self) -> None:
        """Accept the next connection and answer one request on it."""
        loop = asyncio.get_running_loop()
        peer, _ = await loop.sock_accept(self.listener)
        with peer:
            await loop.sock_recv(peer, 4096)
            await loop.sock_sendall(peer, EMPTY_RESPONSE)

    async def answer_and_keep(self, response: bytes = EMPTY_RESPONSE) -> None:
        """Accept the next connection, answer one request and keep it open."""
        loop = asyncio.get_running_loop()
        peer, _ = await loop.sock_accept(self.listener)
        self.peers.append(peer)
        await loop.sock_recv(peer, 4096)
        await loop.sock_sendall(peer, response)


@contextlib.asynccontextmanager
async def idle_connection() -> AsyncIterator[IdleConnection]:
    """Open a client with an idle connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        opened = IdleConnection(listener)
        await opened.open()
        try:
            yield opened
        finally:
            opened.client.close_all()
            opened.root.detach()
            for peer in opened.peers:
                peer.close()
