"""Long-lived gRPC links between routers."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
from typing import TYPE_CHECKING

import grpc
import logbook

from carawayfold.protocol import peer_pb2_grpc
from carawayfold.protocol.names import NameTable
from carawayfold.state.service_rows import RowCursor

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from carawayfold.protocol import peer_pb2
    from carawayfold.settings import Address

logger = logbook.Logger(__name__)

#: Bytes per frame on the wire in addition to its payload: 52 for TCP/IP with
#: timestamps, 9 for the HTTP/2 frame header, 5 for the gRPC prefix.
FRAME_OVERHEAD = 66
#: Metadata key of the shared fleet secret.
SECRET_KEY = "x-fleet-secret"
#: Maximum number of frames queued for a slow peer before the link is closed.
MAX_SEND_BACKLOG = 1000
#: Seconds within which the first frame of a peer must arrive on a new link. If it was
#: lost, neither side sends anything more.
HELLO_TIMEOUT = 5.0
#: gRPC options. The local subchannel pool prevents a new link from sharing the
#: connection of one that no longer responds.
CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", 32 << 20),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
]


class Link:
    """One link to one peer, dialled or accepted.

    Attributes
    ----------
    router : str
        Name of the peer; empty until its hello message arrives.
    cursor : RowCursor
        Position up to which the rows of this router have been sent on the link.
    names : NameTable
        Numbers that replace names on this link.
    hello_received : bool
        Whether the first full frame of the peer has arrived.
    closed : bool
        Whether the link has been closed.
    on_closed : callable or None
        Called when the link is closed.
    """

    def __init__(self, meter: Meter) -> None:
        self.meter = meter
        self.outgoing: asyncio.Queue[peer_pb2.Frame | None] = asyncio.Queue()
        self.router = ""
        self.cursor = RowCursor()
        self.names = NameTable()
        self.hello_received = False
        self.closed = False
        self.on_closed: Callable[[], object] | None = None

    @classmethod
    def loopback(cls) -> Link:
        """Return a link that represents this router itself."""
        return cls(Meter())

    def send(self, frame: peer_pb2.Frame) -> None:
        """Queue a frame; close the link if its queue exceeds `MAX_SEND_BACKLOG`."""
        if self.closed:
            return
        self.meter.count(frame.ByteSize())
        self.outgoing.put_nowait(frame)
        if self.outgoing.qsize() > MAX_SEND_BACKLOG:
            self.close()

    def close(self) -> None:
        """Close the link."""
        if not self.closed:
            self.closed = True
            self.outgoing.put_nowait(None)
            if self.on_closed is not None:
                self.on_closed()

    async def frames(self) -> AsyncIterator[peer_pb2.Frame]:
        """Yield queued frames until the link is closed."""
        while not self.closed:
            frame = await self.outgoing.get()
            if frame is None:
                return
            yield frame


class Meter:
    """Counts control traffic sent to peers.

    Attributes
    ----------
    sent_bytes : int
        Bytes sent: payload and `FRAME_OVERHEAD` of each frame.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_frames = 0

    def count(self, payload: int) -> None:
        """Count one frame with a payload of `payload` bytes."""
        self.sent_bytes += payload + FRAME_OVERHEAD
        self.sent_frames += 1


class Links:
    """Dials peers and accepts their links.

    Parameters
    ----------
    secret : str
        Shared secret of the fleet.
    on_open, on_frame, on_close : callable
        Called when a link opens, receives a frame, or closes.
    """

    def __init__(
        self,
        secret: str,
        on_open: Callable[[Link], None],
        on_frame: Callable[[Link, peer_pb2.Frame], None],
        on_close: Callable[[Link], None],
    ) -> None:
        self.secret = secret
        self.on_open = on_open
        self.on_frame = on_frame
        self.on_close = on_close
        self.meter = Meter()
        self.open: set[Link] = set()
        self.dialling: dict[Address, asyncio.Task[None]] = {}

    @property
    def metadata(self) -> tuple[tuple[str, str], ...]:
        """Return the metadata that authenticates this router."""
        return ((SECRET_KEY, self.secret),)

    def permitted(self, context: grpc.aio.ServicerContext) -> bool:
        """Return whether a call comes from a router of this fleet."""
        metadata = dict(context.invocation_metadata() or ())
        given = str(metadata.get(SECRET_KEY, ""))
        return hmac.compare_digest(given.encode(), self.secret.encode())

    def dial(self, address: Address) -> None:
        """Open a link to `address` unless one is open or being opened."""
        task = self.dialling.get(address)
        if task is None or task.done():
            self.dialling[address] = asyncio.create_task(self._dial(address))

    async def _dial(self, address: Address) -> None:
        link = Link(self.meter)
        async with grpc.aio.insecure_channel(
            str(address), options=CHANNEL_OPTIONS
        ) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            call = stub.Link(link.frames(), metadata=self.metadata)
            # A peer that no longer responds does not end the call.
            link.on_closed = call.cancel
            try:
                await self._receive(link, call)
            finally:
                call.cancel()

    async def accept(
        self, frames: AsyncIterator[peer_pb2.Frame]
    ) -> AsyncIterator[peer_pb2.Frame]:
        """Serve a link opened by a peer; yield the frames to send on it."""
        link = Link(self.meter)
        reader = asyncio.create_task(self._receive(link, frames))
        try:
            async for frame in link.frames():
                yield frame
        finally:
            link.close()
            reader.cancel()

    async def _receive(self, link: Link, frames: AsyncIterator[peer_pb2.Frame]) -> None:
        self.open.add(link)
        self.on_open(link)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HELLO_TIMEOUT, self._close_unanswered, link)
        try:
            async for frame in frames:
                self.on_frame(link, frame)
                if link.closed:
                    return
        except grpc.RpcError as error:
            logger.debug("link lost", extra={"reason": str(error.code())})
        finally:
            timer.cancel()
            link.close()
            self.open.discard(link)
            self.on_close(link)

    def _close_unanswered(self, link: Link) -> None:
        if not link.hello_received:
            logger.debug("link closed, no hello from the peer")
            link.close()

    async def close(self) -> None:
        """Close all links."""
        for link in list(self.open):
            link.close()
        for task in self.dialling.values():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, grpc.RpcError):
                await task
