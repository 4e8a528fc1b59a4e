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

#: Bytes that one frame costs on the wire besides its payload: TCP/IP with
#: timestamps 52, HTTP/2 frame 9, gRPC prefix 5.
FRAME_OVERHEAD = 66
#: Metadata key that carries the fleet's secret.
SECRET_KEY = "x-fleet-secret"
#: Frames that may wait for a slow peer before the link is dropped.
SEND_BACKLOG = 1000
#: A new channel must not share the connection of one that has gone silent.
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
        The peer, once it has said hello.
    cursor : RowCursor
        How far this router's rows have been sent on the link.
    names : NameTable
        Numbers in place of names.
    greeted : bool
        Whether the peer's first full frame has arrived.
    closed : bool
        Whether the link is of no more use.
    """

    def __init__(self, meter: Meter) -> None:
        self.meter = meter
        self.outgoing: asyncio.Queue[peer_pb2.Frame | None] = asyncio.Queue()
        self.router = ""
        self.cursor = RowCursor()
        self.names = NameTable()
        self.greeted = False
        self.closed = False

    @classmethod
    def loopback(cls) -> Link:
        """Return a link that stands for this router itself."""
        return cls(Meter())

    def send(self, frame: peer_pb2.Frame) -> None:
        """Queue a frame."""
        if self.closed:
            return
        self.meter.count(frame.ByteSize())
        self.outgoing.put_nowait(frame)
        if self.outgoing.qsize() > SEND_BACKLOG:
            self.close()

    def close(self) -> None:
        """End the link."""
        if not self.closed:
            self.closed = True
            self.outgoing.put_nowait(None)

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
        Payload and `FRAME_OVERHEAD` of each frame.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_frames = 0

    def count(self, payload: int) -> None:
        """Count one frame."""
        self.sent_bytes += payload + FRAME_OVERHEAD
        self.sent_frames += 1


class Links:
    """Dials peers and accepts their links.

    Parameters
    ----------
    secret : str
        The fleet's shared secret.
    on_open, on_frame, on_close : callable
        Told about links and their frames.
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
        """Open a link to `address` unless one is being kept there."""
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
            try:
                await self._receive(link, call)
            finally:
                call.cancel()

    async def accept(
        self, frames: AsyncIterator[peer_pb2.Frame]
    ) -> AsyncIterator[peer_pb2.Frame]:
        """Serve a link that a peer dialled; yield the frames for it."""
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
        try:
            async for frame in frames:
                self.on_frame(link, frame)
                if link.closed:
                    return
        except grpc.RpcError as error:
            logger.debug("link lost", extra={"reason": str(error.code())})
        finally:
            link.close()
            self.open.discard(link)
            self.on_close(link)

    async def close(self) -> None:
        """End every link."""
        for link in list(self.open):
            link.close()
        for task in self.dialling.values():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, grpc.RpcError):
                await task
