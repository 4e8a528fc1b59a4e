"""The relay between routers passes on datagrams and connections, or blocks them."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from benchmarks.client import post_json
from benchmarks.hosted import call
from benchmarks.processes import Processes
from standins.relay import HOST, bind_both

#: Seconds within which what is passed on has arrived.
ARRIVAL_TIMEOUT = 2.0
#: Seconds after which what is blocked counts as not arriving.
SILENCE = 0.2


class Peer(asyncio.DatagramProtocol):
    """A router that keeps datagrams, and echoes a line of each connection."""

    def __init__(self):
        self.received = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, address):
        self.received.put_nowait((data, address[1]))

    async def echo(self, reader, writer):
        with contextlib.closing(writer):
            writer.write(await reader.readline())
            await writer.drain()

    async def start(self):
        stream, datagrams = bind_both()
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=datagrams)
        self.server = await asyncio.start_server(self.echo, sock=stream)

    def close(self):
        self.transport.close()
        self.server.close()

    def send(self, data, port):
        self.transport.sendto(data, (HOST, port))

    async def receive(self):
        async with asyncio.timeout(ARRIVAL_TIMEOUT):
            return await self.received.get()

    async def receives_nothing(self):
        await asyncio.sleep(SILENCE)
        return self.received.empty()


class Rig:
    """Two routers `a` and `b`, and the relay between them."""

    def __init__(self, control):
        self.control = control
        self.a, self.b = Peer(), Peer()
        self.ports = {}

    async def start(self):
        for name, peer in (("a", self.a), ("b", self.b)):
            await peer.start()
            added = json.dumps({"name": name, "port": peer.port}).encode()
            answer = await call(self.control, "POST", "/add", added)
            self.ports = json.loads(answer.body)

    async def block(self, *pairs, loss=0.0):
        faults = {"blocked": pairs, "loss": loss}
        await post_json(self.control, "/faults", faults)

    async def echo(self, data):
        """Return what `b` answers to a line of `a`."""
        reader, writer = await asyncio.open_connection(HOST, self.ports["a"]["b"])
        with contextlib.closing(writer):
            writer.write(data)
            return await reader.readline()


@contextlib.asynccontextmanager
async def rig():
    with Processes() as processes:
        rig = Rig(processes.start_standin("relay", "relay").port)
        await rig.start()
        with contextlib.closing(rig.a), contextlib.closing(rig.b):
            yield rig


def test_the_receiver_of_a_datagram_replies_to_the_relay():
    async def exchange():
        async with rig() as item:
            item.a.send(b"hello", item.ports["a"]["b"])
            data, source = await item.b.receive()
            item.b.send(b"reply", source)
            return data, source, await item.a.receive(), item.ports

    data, source, reply, ports = asyncio.run(exchange())
    assert (data, source) == (b"hello", ports["b"]["a"])
    assert reply == (b"reply", ports["a"]["b"])


def test_datagrams_are_dropped_in_the_blocked_direction_only():
    async def exchange():
        async with rig() as item:
            await item.block(("a", "b"))
            item.a.send(b"lost", item.ports["a"]["b"])
            item.b.send(b"kept", item.ports["b"]["a"])
            assert (await item.a.receive())[0] == b"kept"
            assert await item.b.receives_nothing()
            await item.block()
            item.a.send(b"later", item.ports["a"]["b"])
            assert (await item.b.receive())[0] == b"later"

    asyncio.run(exchange())


def test_a_fraction_of_the_datagrams_is_lost():
    async def exchange():
        async with rig() as item:
            await item.block(loss=1.0)
            item.a.send(b"lost", item.ports["a"]["b"])
            assert await item.b.receives_nothing()

    asyncio.run(exchange())


@pytest.mark.parametrize("pair", [("a", "b"), ("b", "a")])
def test_data_of_a_connection_waits_while_a_direction_is_blocked(pair):
    async def exchange():
        async with rig() as item:
            assert await item.echo(b"first\n") == b"first\n"
            await item.block(pair)
            echoed = asyncio.create_task(item.echo(b"second\n"))
            await asyncio.sleep(SILENCE)
            assert not echoed.done()
            await item.block()
            async with asyncio.timeout(ARRIVAL_TIMEOUT):
                assert await echoed == b"second\n"

    asyncio.run(exchange())
