"""Relay between routers, each pair of which can be cut from one another.

Each ordered pair has a port of its own, at which the first router reaches the second
one, by datagrams and by connections. A datagram goes on from the port of the opposite
pair, so that what is sent back goes through the relay too.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from bed.http import HOST
from bed.routers import free_ports

READ_SIZE = 65536


class Side(asyncio.DatagramProtocol):
    """Socket at which one router reaches another by datagrams."""

    def __init__(self, relay: Relay, pair: tuple[str, str]) -> None:
        self.relay = relay
        self.pair = pair
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Pass a datagram on unless the pair is cut."""
        sender, receiver = self.pair
        if self.relay.is_cut(sender, receiver):
            return
        opposite = self.relay.sides[receiver, sender]
        opposite.transport.sendto(data, (HOST, self.relay.routers[receiver]))


class Relay:
    """Passes on what routers send to each other.

    Attributes
    ----------
    routers : dict
        Port of each router for its peers.
    ports : dict
        Port of each pair of sender and receiver.
    alone : set of str
        Routers that are cut from all others.
    """

    def __init__(self) -> None:
        self.routers: dict[str, int] = {}
        self.ports: dict[tuple[str, str], int] = {}
        self.sides: dict[tuple[str, str], Side] = {}
        self.servers: list[asyncio.Server] = []
        self.alone: set[str] = set()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes from one router to another."""
        return bool(self.alone & {sender, receiver})

    async def add(self, name: str, port: int) -> None:
        """Add a router, and the ports between it and the others."""
        others = list(self.routers)
        self.routers[name] = port
        for other in others:
            for pair in ((name, other), (other, name)):
                await self._open(pair)

    async def _open(self, pair: tuple[str, str]) -> None:
        [port] = free_ports(1)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(pair, reader, writer)

        self.servers.append(await asyncio.start_server(serve, HOST, port))
        loop = asyncio.get_running_loop()
        _, side = await loop.create_datagram_endpoint(
            lambda: Side(self, pair), local_addr=(HOST, port), family=socket.AF_INET
        )
        self.sides[pair] = side
        self.ports[pair] = port

    async def _serve(
        self,
        pair: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass on one connection; what is sent while the pair is cut is dropped."""
        ends = [writer]
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far = await asyncio.open_connection(HOST, self.routers[pair[1]])
            ends.append(far[1])
            await asyncio.gather(
                self._pass(pair, reader, far[1]), self._pass(pair, far[0], writer)
            )
        for end in ends:
            end.transport.abort()

    async def _pass(
        self,
        pair: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(READ_SIZE):
            if not self.is_cut(*pair):
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
