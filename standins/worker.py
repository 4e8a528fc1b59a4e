"""Stand-in for an application worker: orders, bookings, plain calls.

A body ``{"work_ms": N}`` takes that long; the answer names the request and echoes
the body. ``GET /ran`` lists what ran; ``POST /faults`` sets faults.
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
    """What is wrong with the worker.

    Attributes
    ----------
    fail : bool
        Answer 500 without running.
    lose : bool
        Run the request, then cut the connection.
    silent : bool
        Run the request, then say nothing.
    decline : bool
        Answer 503 without running.
    """

    fail: bool = False
    lose: bool = False
    silent: bool = False
    decline: bool = False


class Worker:
    """One application worker.

    Parameters
    ----------
    slots : int
        Calls served at once; others wait.
    """

    def __init__(self, slots: int = 4) -> None:
        self.slots = slots
        self.room = asyncio.Semaphore(slots)
        self.faults = WorkerFaults()
        self.ran: list[dict[str, object]] = []
        self.running = 0
        self.busy = 0.0

    async def run(self) -> None:
        """Do nothing: calls carry their own time."""

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
        async with self.room:
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
            await connection.gone.wait()
            return None
        if self.faults.lose:
            connection.break_off()
            return None
        answer = WebAnswer.json(
            {"request_id": request_id, "echo": request.body.decode("latin-1")}
        )
        answer.headers.append(("X-Request-Id", request_id))
        return answer
