"""TCP proxy that injects faults, also used as a load balancer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec

from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest

READ_SIZE = 65536
#: Seconds between checks of the targets.
CHECK_INTERVAL = 0.2


class ProxyFaults(msgspec.Struct):
    """Faults that the proxy injects.

    Attributes
    ----------
    cut : bool
        Reset open connections and refuse new ones.
    silent : bool
        Drop all data on the connections that are open now; new ones work.
    swallow_up, swallow_down : bool
        Drop all data in one direction on every connection, also on new ones.
    delay : float
        Seconds by which data is delayed.
    """

    cut: bool = False
    silent: bool = False
    swallow_up: bool = False
    swallow_down: bool = False
    delay: float = 0.0


class Proxy:
    """Forwards TCP connections to targets in round-robin order.

    Parameters
    ----------
    targets : list of int
        Ports on 127.0.0.1.
    check : bool
        Whether to use only targets whose ``/readyz`` answers with status 200.
    """

    def __init__(self, targets: list[int], check: bool = False) -> None:
        self.targets = targets
        self.check = check
        self.ready: list[int] = [] if check else list(targets)
        self.faults = ProxyFaults()
        self.next_target = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.blackholed: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int) -> None:
        """Listen on `port`; 0 lets the operating system assign one."""
        if self.check:
            await self.check_targets()
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, backlog=1024
        )
        self.port = server.sockets[0].getsockname()[1]

    async def run(self) -> None:
        """Check the targets periodically, without end."""
        while self.check:
            await asyncio.sleep(CHECK_INTERVAL)
            await self.check_targets()

    async def check_targets(self) -> None:
        """Check once which targets are ready."""
        states = await asyncio.gather(*map(is_ready, self.targets))
        self.ready = [p for p, s in zip(self.targets, states, strict=True) if s]

    async def handle(
        self, request: WebRequest, _connection: WebConnection
    ) -> WebAnswer:
        """Set faults, or list open connections or the targets of new ones.

        ``GET /open`` returns the number of open connections on both sides, ``GET /``
        the ports that get new connections.
        """
        if request.path == "/open":
            return WebAnswer.json(len(self.open))
        if request.method == "GET":
            return WebAnswer.json(self.ready)
        self.set_faults(msgspec.json.decode(request.body, type=ProxyFaults))
        return WebAnswer.json({})

    def set_faults(self, faults: ProxyFaults) -> None:
        """Apply faults."""
        self.faults = faults
        if faults.cut:
            for writer in list(self.open):
                writer.transport.abort()
        self.blackholed = set(self.open) if faults.silent else set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = None
        if not self.faults.cut:
            upstream = await self._connect()
        if upstream is None:
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = upstream
        self.open |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._pass(reader, upstream_writer, up=True),
                self._pass(upstream_reader, writer, up=False),
            )
        finally:
            self.open -= {writer, upstream_writer}
            for end in (writer, upstream_writer):
                end.transport.abort()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        for _ in range(len(self.ready)):
            self.next_target += 1
            port = self.ready[self.next_target % len(self.ready)]
            with contextlib.suppress(OSError):
                return await asyncio.open_connection("127.0.0.1", port)
        return None

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_SIZE):
                if self.faults.delay:
                    await asyncio.sleep(self.faults.delay)
                swallow = self.faults.swallow_up if up else self.faults.swallow_down
                if swallow or writer in self.blackholed:
                    continue
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()


async def is_ready(port: int) -> bool:
    """Return whether the router on `port` is ready."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
