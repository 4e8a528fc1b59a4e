"""Stand-in for a worker of a service without a model: answers each request."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

#: Path of status checks.
HEALTH_PATH = "/healthz"


@dataclass
class Run:
    """A request that a worker runs; `at` is in monotonic seconds."""

    request: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


@dataclass
class Worker:
    """A sound worker, which keeps its channels.

    Attributes
    ----------
    work : float
        Seconds of work of each request.
    slots : int
        Slots that it registers.
    runs : list of Run
        Requests that it runs or has run.
    started : float
        Monotonic seconds of its start.
    cold_until : float
        Monotonic seconds until which it is cold, as its health responses say.
    health_checks : int
        Number of requests of its health path.
    """

    name: str
    service: str
    port: int
    work: float = 0.0225
    slots: int = 6
    runs: list[Run] = field(default_factory=list)
    started: float = field(default_factory=time.monotonic)
    running: int = 0
    cold_until: float = 0.0
    health_checks: int = 0

    async def start(self) -> None:
        """Listen on the loopback port."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def entry(self, zone: str, **other: object) -> dict[str, object]:
        """Return its registration."""
        fields = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "active",
            "cold_remaining_ms": 0,
            "call_seq": 1,
        }
        return {**fields, **other}

    def runs_since(self, begin: float) -> int:
        """Return how many requests have begun since a monotonic second."""
        return sum(run.at >= begin for run in self.runs)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *rest = head.split("\r\n")
                lines = [item.partition(":") for item in rest if item]
                headers = {name.lower(): value.strip() for name, _, value in lines}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                target = first.split(" ")[1]
                if target == HEALTH_PATH:
                    writer.write(self._health())
                    continue
                writer.write(await self._answer(target, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _health(self) -> bytes:
        """Return the response to a status check."""
        self.health_checks += 1
        cold = max(0, round((self.cold_until - time.monotonic()) * 1000))
        return (
            f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nCold-Ms: {cold}\r\n"
            f"Content-Length: 0\r\n\r\n"
        ).encode()

    async def _answer(self, target: str, headers: dict[str, str], body: bytes) -> bytes:
        if headers.get("target-instance") != self.name:
            return b"HTTP/1.1 421 \r\nContent-Length: 0\r\n\r\n"
        request = headers["request-id"]
        self.runs.append(Run(request, target, headers, body, time.monotonic()))
        self.running += 1
        await asyncio.sleep(self.work)
        self.running -= 1
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Server-Signature: {self.name}\r\n"
            f"Server-Load: {self.running},0,{self.slots}\r\nContent-Length: 2\r\n\r\n"
        )
        return f"{head}ok".encode()
