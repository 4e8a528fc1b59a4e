"""A request of the real forwarder and client at two endpoints, the first one silent."""

from __future__ import annotations

import asyncio
import contextlib
from types import SimpleNamespace
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.scheduling.offers import Granted, Rejected
from carawayfold.platform.headers import PlatformDialect
from carawayfold.settings import Address
from carawayfold.transport.client import HttpClient
from carawayfold.transport.loop import Root
from tests.coordination.requests.replacement_builders import (
    Coordinator,
    make_call,
    make_forwarder,
)
from tests.schedule_builders import endpoint

if TYPE_CHECKING:
    from carawayfold.state.routes import Route

#: Answers of an endpoint: a whole one, and that it has no room.
WHOLE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nServer-Signature: s\r\n"
    b"Content-Length: 6\r\n\r\n%-6b"
)
FULL = (
    b"HTTP/1.1 503 Busy\r\nRequest-Id: x\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class Endpoint:
    """An endpoint that answers when a test says so.

    Attributes
    ----------
    arrived, left : asyncio.Event
        Set once a request has arrived, and once its connection was closed.
    """

    def __init__(self) -> None:
        self.arrived = asyncio.Event()
        self.left = asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def handle(self, reader, writer):
        self.writer = writer
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.arrived.set()
            await reader.read()
        self.left.set()
        writer.close()

    def answer(self, data: bytes) -> None:
        self.writer.write(data)


class TwoEndpoints(Coordinator):
    """Scheduler that grants `m-1`, then `m-2`."""

    def __init__(self, addresses):
        super().__init__()
        self.endpoints = {
            name: msgspec.structs.replace(endpoint(name), address=address)
            for name, address in addresses.items()
        }
        self.outcomes = {}
        self.kept = {}
        self.rests = SimpleNamespace(sent=lambda *args: None)

    async def place_with_fallback(self, offer, service):
        self.offers.append(offer)
        for name in self.endpoints:
            if name not in offer.avoid:
                return Granted(offer.call, name, basis=self.basis())
        return Rejected(offer.call, "no endpoint is left", 1.0)

    def is_superseded(self, item):
        return False

    def record_load(self, call, load):
        pass

    def begun(self, call, waited):
        return None

    def ended(self, call, outcome, kept=0):
        self.outcomes[call] = outcome
        self.kept[call] = kept


class Answers:
    """Receives what the caller gets."""

    def __init__(self):
        self.received = asyncio.get_running_loop().time()
        self.method, self.target, self.body = b"GET", b"/x", b""
        self.answers = []

    def answer(self, status, headers, body=b"", close=False):
        self.answers.append((status, body.decode().strip()))


class Handover:
    """One request, its endpoints and its answers."""

    async def start(self, asked_route: Route) -> None:
        self.root = Root()
        client = HttpClient(self.root).register(self.root)
        self.root.attach()
        self.first, self.second = Endpoint(), Endpoint()
        for item in (self.first, self.second):
            await item.start()
        addresses = {"m-1": self.first.address, "m-2": self.second.address}
        self.coordinator = TwoEndpoints(addresses)
        forwarder = self.forwarder = make_forwarder(self.coordinator, 10.0)
        forwarder.http = client
        forwarder.dialect = PlatformDialect()
        forwarder.endpoint_activity = EndpointActivity()
        forwarder.notices = SimpleNamespace(handle_response=lambda *args: None)
        forwarder.containment.record_success = lambda *args: None
        forwarder.containment.reports = SimpleNamespace(note=lambda loss: None)
        forwarder.metrics.ended = lambda *args: None
        forwarder.metrics.refused = lambda kind: None
        self.send(asked_route)

    def send(self, asked_route: Route) -> None:
        """Send a request, the first one or one after it."""
        self.call = make_call(asked_route)
        self.call.tried.clear()
        self.call.incoming = Answers()
        self.task = asyncio.create_task(self.forwarder._run(self.call))

    async def close(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for item in (self.first, self.second):
            item.server.close()
        self.root.detach()


@contextlib.asynccontextmanager
async def handover(asked_route: Route):
    """Send a request that is then replaced, as the first endpoint is silent."""
    made = Handover()
    await made.start(asked_route)
    try:
        yield made
    finally:
        await made.close()
