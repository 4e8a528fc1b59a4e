"""Stand-in for the workers of an application service."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

from bed.http import Answer, HttpServer, Request

numbers = itertools.count(1)


@dataclass
class Run:
    """A request that a worker has begun to run."""

    worker: str
    request: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    end: str = "running"
    ended_at: float = 0.0


@dataclass
class Worker:
    """A sound worker that answers each request after `work` seconds.

    Attributes
    ----------
    service, zone : str
        What it registers.
    born : int
        Unix millisecond of its start; 0 for a site whose entries have none.
    runs : list of Run
        The requests that it has begun to run, in order.
    """

    service: str
    zone: str
    slots: int = 6
    work: float = 0.02
    software: str = "v1"
    born: int = 0
    name: str = field(default_factory=lambda: f"i-{next(numbers):08x}")
    runs: list[Run] = field(default_factory=list)
    server: HttpServer | None = None

    async def start(self, port: int = 0) -> None:
        """Start to listen."""
        self.server = HttpServer(self.handle)
        await self.server.start(port)

    def entry(self, state: str = "active") -> dict[str, object]:
        """Return the entry under which it registers."""
        started = {"born": self.born} if self.born else {}
        return {
            **started,
            "service": self.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "call_seq": 0,
        }

    async def handle(self, request: Request) -> Answer | None:
        """Serve one request."""
        fields = request.headers
        if fields.get("target-instance", self.name) != self.name:
            return Answer(421, b"", {"Instance-Id": self.name})
        loop = asyncio.get_running_loop()
        run = Run(
            self.name,
            fields.get("request-id", ""),
            request.method,
            request.path,
            fields,
            request.body,
            loop.time(),
        )
        self.runs.append(run)
        try:
            answer = await self.run(request, run)
            run.end = "answered"
        finally:
            run.ended_at = loop.time()
        return answer

    async def run(self, request: Request, run: Run) -> Answer | None:
        """Do the work of a request."""
        await asyncio.sleep(self.work)
        body = f"{self.name} answers {run.request}".encode()
        signature = {"Request-Id": run.request, "Server-Signature": self.name}
        return Answer(200, body, signature)
