"""Stand-in for an endpoint of a plain service.

A request with the body ``{"work_ms": N}`` takes N milliseconds; the answer contains
the id of the request and its body. ``GET /ran`` lists the requests that ran, and
``POST /faults`` sets faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import msgspec

from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest

DEFAULT_WORK_MS = 20


class WorkerFaults(msgspec.Struct):
    """Faults of the worker.

    Attributes
    ----------
    fail : bool
        Answer with status 500 without running the request.
    lose : bool
        Run the request, then reset the connection.
    silent : bool
        Run the request without answering it.
    decline : bool
        Answer with status 503 without running the request.
    """

    fail: bool = False
    lose: bool = False
    silent: bool = False
    decline: bool = False


class Worker:
    """An application worker.

    Parameters
    ----------
    slots : int
        Requests that run at once; others wait.
    """

    def __init__(self, slots: int = 4) -> None:
        self.slots = slots
        self.semaphore = asyncio.Semaphore(slots)
        self.faults = WorkerFaults()
        self.ran: list[dict[str, object]] = []
        self.running = 0
        self.busy = 0.0

    async def run(self) -> None:
        """Do nothing; the worker has no periodic work."""

    async def handle(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        """Serve one request."""
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=WorkerFaults)
            return WebAnswer.json({})
        if request.path == "/ran":
            return WebAnswer.json(self.ran)
        if request.path == "/load":
            load = {"running": self.running, "slots": self.slots, "busy": self.busy}
            return WebAnswer.json(load)
        if self.faults.fail:
            return WebAnswer.json({"error": "worker failed"}, 500)
        if self.faults.decline:
            return WebAnswer.json({"error": "leaving"}, 503)
        async with self.semaphore:
            return await self._work(request, connection)

    async def _work(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        work_ms = DEFAULT_WORK_MS
        with contextlib.suppress(msgspec.MsgspecError, AttributeError):
            body = msgspec.json.decode(request.body)
            work_ms = int(body.get("work_ms", DEFAULT_WORK_MS))
        request_id = request.headers.get("x-request-id", "")
        arrived = time.time()
        self.running += 1
        await asyncio.sleep(work_ms / 1000)
        self.running -= 1
        self.busy += work_ms / 1000
        self.ran.append(
            {
                "request_id": request_id,
                "work_ms": work_ms,
                "end": "whole",
                "at": time.time(),
                "arrived": arrived,
            }
        )
        if self.faults.silent:
            await connection.closed.wait()
            return None
        if self.faults.lose:
            connection.disconnect()
            return None
        answer = WebAnswer.json(
            {"request_id": request_id, "echo": request.body.decode("latin-1")}
        )
        answer.headers.append(("X-Request-Id", request_id))
        return answer
