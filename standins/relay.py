"""Relay between routers that drops datagrams and stalls connections.

Each ordered pair of routers has a port of its own, at which the first router reaches
the second. A datagram goes on from the port of the opposite pair, so that the receiver
replies to the relay too.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import TYPE_CHECKING

import msgspec

from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest

READ_SIZE = 65536
HOST = "127.0.0.1"
#: Attempts to find a port that is free for both datagrams and connections.
PORT_ATTEMPTS = 20


class RelayFaults(msgspec.Struct):
    """Faults that the relay injects.

    Attributes
    ----------
    blocked : set of tuple of str
        Pairs of sender and receiver: datagrams are dropped, and data of connections
        waits until the pair is no longer blocked, as if it were retransmitted.
    loss : float
        Fraction of all other datagrams that is dropped.
    """

    blocked: set[tuple[str, str]] = msgspec.field(default_factory=set)
    loss: float = 0.0


class RelayedRouter(msgspec.Struct):
    """A router and the port on which it listens for its peers."""

    name: str
    port: int


class PairSocket(asyncio.DatagramProtocol):
    """Socket at which one router reaches another."""

    def __init__(self, relay: Relay, sender: str, receiver: str) -> None:
        self.relay = relay
        self.sender = sender
        self.receiver = receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Pass a datagram on, unless it is lost."""
        if not self.relay.is_lost(self.sender, self.receiver):
            opposite = self.relay.sockets[self.receiver, self.sender]
            opposite.transport.sendto(data, (HOST, self.relay.routers[self.receiver]))


class Relay:
    """Passes on datagrams and connections between routers.

    Attributes
    ----------
    routers : dict of str to int
        Port on which each router listens.
    sockets : dict
        Sockets by pair of sender and receiver.
    ports : dict
        Their ports, at which connections are accepted too.
    """

    def __init__(self) -> None:
        self.routers: dict[str, int] = {}
        self.sockets: dict[tuple[str, str], PairSocket] = {}
        self.ports: dict[tuple[str, str], int] = {}
        self.servers: list[asyncio.Server] = []
        self.faults = RelayFaults()
        self.changed = asyncio.Event()

    async def handle(
        self, request: WebRequest, _connection: WebConnection
    ) -> WebAnswer:
        """Add a router with ``POST /add``, or set faults with ``POST /faults``.

        The former returns, for each router, the port at which it reaches each other.
        """
        if request.path == "/add":
            router = msgspec.json.decode(request.body, type=RelayedRouter)
            await self.add(router.name, router.port)
            return WebAnswer.json(self._ports_by_sender())
        self.faults = msgspec.json.decode(request.body, type=RelayFaults)
        self.changed.set()
        self.changed = asyncio.Event()
        return WebAnswer.json({})

    def _ports_by_sender(self) -> dict[str, dict[str, int]]:
        return {
            name: {
                receiver: port
                for (sender, receiver), port in self.ports.items()
                if sender == name
            }
            for name in self.routers
        }

    async def add(self, name: str, port: int) -> None:
        """Add a router that listens on `port`."""
        others = [item for item in self.routers if item != name]
        self.routers[name] = port
        for other in others:
            for pair in ((name, other), (other, name)):
                if pair not in self.sockets:
                    await self._open(*pair)

    async def _open(self, sender: str, receiver: str) -> None:
        """Open the port at which `sender` reaches `receiver`."""
        loop = asyncio.get_running_loop()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(sender, receiver, reader, writer)

        stream, datagrams = bind_both()
        self.servers.append(await asyncio.start_server(serve, sock=stream))
        _, pair_socket = await loop.create_datagram_endpoint(
            lambda: PairSocket(self, sender, receiver), sock=datagrams
        )
        self.sockets[sender, receiver] = pair_socket
        self.ports[sender, receiver] = datagrams.getsockname()[1]

    def is_lost(self, sender: str, receiver: str) -> bool:
        """Return whether a datagram of a pair is dropped."""
        if (sender, receiver) in self.faults.blocked:
            return True
        return random.random() < self.faults.loss

    async def _serve(
        self,
        sender: str,
        receiver: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass on the data of one connection that `sender` opened."""
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                HOST, self.routers[receiver]
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._pass(sender, receiver, reader, peer_writer),
                self._pass(receiver, sender, peer_reader, writer),
            )
        finally:
            for end in (writer, peer_writer):
                end.transport.abort()

    async def _pass(
        self,
        sender: str,
        receiver: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass on data in one direction, also its end, once that is not blocked."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_SIZE):
                await self._wait_passable(sender, receiver)
                writer.write(data)
                await writer.drain()
        await self._wait_passable(sender, receiver)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    async def _wait_passable(self, sender: str, receiver: str) -> None:
        while (sender, receiver) in self.faults.blocked:
            await self.changed.wait()


def bind_both() -> tuple[socket.socket, socket.socket]:
    """Return sockets for connections and datagrams that are bound to one port."""
    for _ in range(PORT_ATTEMPTS):
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.bind((HOST, 0))
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            stream.bind(datagrams.getsockname())
        except OSError:
            stream.close()
            datagrams.close()
        else:
            return stream, datagrams
    raise OSError("no port is free for both datagrams and connections")
