"""Streams of a caller through a real edge, forwarder and client to scripted endpoints.

The endpoints are sockets of the test, which end their answers as a script says.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import Counter, deque
from enum import Enum
from types import SimpleNamespace
from typing import TYPE_CHECKING

import msgspec

from benchmarks.hosted import HOST, call, stream_events
from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.fleet.hubs import Role
from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.coordination.requests.stream_origins import StreamOrigins
from carawayfold.coordination.scheduling.offers import Granted, Rejected
from carawayfold.platform.headers import PlatformDialect
from carawayfold.settings import Address
from carawayfold.state.routes import CallerLimits, KeyPolicy, RouteIndex, RouteTable
from carawayfold.transport.client import HttpClient
from carawayfold.transport.loop import Root
from tests.coordination.requests.replacement_builders import Coordinator, make_forwarder
from tests.schedule_builders import endpoint, route
from tests.transport.client_builders import RESET_AT_CLOSE
from tests.transport.edge_builders import open_edge

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from benchmarks.hosted import CallAnswer

#: Number of the last event of each stream.
LAST = 5
RESUMABLE = route(anonymous=True, resumable=True, attempts=4)
#: A route on which the router doesn't resume a stream, but its caller may.
ONCE = route(id="once", prefix=b"/once/", anonymous=True, resumable=True, attempts=1)
#: A route whose streams nobody may resume.
NOT_RESUMABLE = route(
    id="plain", prefix=b"/plain/", anonymous=True, resumable=False, attempts=4
)
ROUTES = (RESUMABLE, ONCE, NOT_RESUMABLE)


async def unconfirmed():
    """Return that the store does not confirm the records."""
    return False


class Framing(Enum):
    """How an answer states where its body ends."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


class Ending(Enum):
    """How the connection of an answer ends."""

    END = "end"
    CLOSE = "close"
    RESET = "reset"


class EndpointAnswer:
    """One answer of a scripted endpoint.

    Attributes
    ----------
    headers : dict of str to str
        Headers of the request, names in lower case.
    """

    def __init__(self, name, software, headers, writer):
        self.software = software
        self.run = f"{name}/{id(self):x}"
        self.headers = headers
        self.writer = writer
        self.framing = Framing.CHUNKED

    @property
    def resumed_after(self) -> int:
        """Return the event after which the request resumes a stream; 0 for none."""
        return int(self.headers.get("last-event-id", "0"))

    def begin(
        self,
        framing=Framing.CHUNKED,
        status=200,
        length=4096,
        signed=True,
        not_run=False,
    ):
        """Send the head."""
        self.framing = framing
        fields = {"Request-Id": self.headers.get("request-id", "")}
        if signed:
            fields["Server-Signature"] = "s"
        if not_run:
            fields["Not-Executed"] = "1"
        if framing is Framing.CHUNKED:
            fields["Transfer-Encoding"] = "chunked"
        elif framing is Framing.LENGTH:
            fields["Content-Length"] = str(length)
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"HTTP/1.1 {status} Some\r\n{lines}\r\n".encode())

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.framing is Framing.CHUNKED:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.writer.write(data)

    def event(self, number: int) -> bytes:
        return f"id: {number}\ndata: {self.software} {self.run}\n\n".encode()

    def events(self, *numbers: int) -> None:
        """Send events."""
        for number in numbers:
            self.send(self.event(number))

    async def end(self, ending=Ending.END) -> None:
        """End the answer once all was read; `Ending.END` is what its framing states."""
        await self.writer.drain()
        await asyncio.sleep(0.02)
        if ending is Ending.END and self.framing is Framing.CHUNKED:
            self.writer.write(b"0\r\n\r\n")
            return
        if ending is Ending.RESET:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.writer.transport.abort()
            return
        self.writer.close()


async def whole(answer: EndpointAnswer) -> None:
    """Answer with the rest of the stream."""
    answer.begin()
    answer.events(*range(answer.resumed_after + 1, LAST + 1))
    await answer.end()


class ScriptedEndpoint:
    """An endpoint whose answers are given by scripts, `whole` if there is none.

    Attributes
    ----------
    scripts : deque
        Scripts of its next answers.
    requests : list of dict
        Headers of the requests that have arrived, names in lower case.
    """

    def __init__(self, name: str, software: str) -> None:
        self.name = name
        self.software = software
        self.scripts: deque[Callable[[EndpointAnswer], Awaitable[None]]] = deque()
        self.requests: list[dict[str, str]] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def handle(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer_next(reader, writer)

    async def _answer_next(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")[1:-2]
        pairs = (line.split(": ", 1) for line in lines)
        headers = {name.lower(): value for name, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        self.requests.append(headers)
        script = self.scripts.popleft() if self.scripts else whole
        await script(EndpointAnswer(self.name, self.software, headers, writer))


class StreamCoordinator(Coordinator):
    """Grants the first endpoint that was not tried and has the version.

    Attributes
    ----------
    copy_source : EndpointId or None
        Endpoint from which each granted one is to copy the prompt.
    superseded : set of EndpointId
        Endpoints that have started again.
    """

    def __init__(self, endpoints: list[ScriptedEndpoint]) -> None:
        super().__init__()
        self.endpoints = {
            item.name: msgspec.structs.replace(
                endpoint(item.name, software=item.software), address=item.address
            )
            for item in endpoints
        }
        self.copy_source = None
        self.superseded = set()
        self.rests = SimpleNamespace(sent=lambda *args: None)

    async def place_with_fallback(self, offer, service):
        self.offers.append(offer)
        for name, item in self.endpoints.items():
            if name not in offer.avoid and offer.software in (None, item.software):
                return Granted(
                    offer.call,
                    name,
                    basis=self.basis(),
                    copy_source=self.copy_source,
                )
        return Rejected(offer.call, "no endpoint is left", 1.0)

    def weights_for(self, service, allowed, software):
        found = [x for x in self.endpoints.values() if software in (None, x.software)]
        return {f"{service}/0": len(found)} if found else {}

    def is_superseded(self, item):
        return item.id in self.superseded

    def is_excluded(self, item):
        return False

    def record_load(self, call, load):
        pass

    def begun(self, call, waited):
        pass


def route_table() -> RouteTable:
    """Return a configuration with all routes."""
    return RouteTable(
        1, ROUTES, {}, {}, {}, CallerLimits(), 0.0, key_policy=KeyPolicy.NOT_REQUIRED
    )


def close_poller(poller):
    """Close the descriptors of a poller, which no garbage collection does."""
    poller._poller.close()
    for name in ("_ctrl_recv", "_ctrl_send"):
        end = getattr(poller, name, None)
        if isinstance(end, int):
            os.close(end)
        elif end is not None:
            end.close()


class StreamRouter:
    """A router without peers, its scripted endpoints and its callers.

    Endpoints of two versions serve, so that only records tell where a stream began.

    Attributes
    ----------
    endpoints : list of ScriptedEndpoint
        Endpoints in the order in which they are granted.
    """

    def __init__(self, software: tuple[str, ...]) -> None:
        self.endpoints = [
            ScriptedEndpoint(f"m-{number}", version)
            for number, version in enumerate(software, 1)
        ]

    async def start(self) -> None:
        """Start the endpoints and the router's parts."""
        for item in self.endpoints:
            await item.start()
        self.root = Root()
        self.root.attach()
        self.coordinator = StreamCoordinator(self.endpoints)
        self.forwarder = self.make_forwarder()

    def make_forwarder(self):
        """Return a forwarder with the real client, dialect and origins."""

        def ignore(*args, **named):
            return None

        forwarder = make_forwarder(self.coordinator, 100.0)
        forwarder.http = HttpClient(self.root).register(self.root)
        forwarder.dialect = PlatformDialect()
        forwarder.endpoint_activity = EndpointActivity()
        forwarder.notices = SimpleNamespace(handle_response=ignore)
        containment = forwarder.containment
        containment.record_success = containment.record_begun = ignore
        containment.reports = SimpleNamespace(note=ignore)
        forwarder.metrics.ended = forwarder.metrics.refused = ignore
        forwarder.metrics.resumed_streams = Counter()
        forwarder.origins = self.make_origins()
        forwarder.route_index = RouteIndex(route_table())
        return forwarder

    def make_origins(self) -> StreamOrigins:
        """Return origins that know the endpoints, but no peer."""
        knowledge = Knowledge(lambda table: None, lambda: None)
        knowledge.routes = route_table()
        now = asyncio.get_running_loop().time()
        for item in self.coordinator.endpoints.values():
            knowledge.endpoints.put(item, now)
        own = self.coordinator.fleet.own
        fleet = SimpleNamespace(
            own=own,
            role=Role.MESH,
            hubs=lambda: [own],
            send=lambda *args: None,
            send_at_once=lambda *args: None,
        )
        return StreamOrigins(
            fleet, knowledge, lambda: 0.0, unconfirmed, asyncio.create_task
        )

    async def request(self, path="/summary/x", **headers: str) -> CallAnswer:
        """Return the answer to a caller's request."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return await call(self.port, "POST", path, b"body", fields)

    async def send_raw(
        self, fields: str, path: str = "/summary/x", version: str = "1.1"
    ) -> bytes:
        """Return what a caller receives for a request with these header lines."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        line = f"POST {path} HTTP/{version}"
        head = f"{line}\r\nHost: {HOST}\r\nConnection: close\r\n{fields}\r\n\r\n"
        try:
            writer.write(head.encode("latin-1"))
            return await reader.read()
        finally:
            writer.close()

    async def close(self) -> None:
        """Close the endpoints and the router's parts."""
        self.forwarder.http.close_all()
        for item in self.endpoints:
            item.server.close()
            for writer in item.writers:
                writer.close()
        await asyncio.sleep(0)
        self.root.detach()
        close_poller(self.root.poller)


@contextlib.asynccontextmanager
async def stream_router(*software: str) -> AsyncIterator[StreamRouter]:
    """Serve callers by a router whose endpoints have these versions."""
    made = StreamRouter(software)
    await made.start()
    try:
        async with open_edge(made.forwarder.serve) as edge:
            made.port = edge.server.port
            yield made
    finally:
        await made.close()


def numbers(*answers: CallAnswer) -> list[int]:
    """Return the numbers of the events of some answers, in order."""
    return [event.number for x in answers for event in stream_events(x.body)]


def versions(*answers: CallAnswer) -> list[str]:
    """Return the versions in the events of some answers, each once."""
    return sorted({e.software for x in answers for e in stream_events(x.body)})
