"""Stand-in for an endpoint of the platform, for streams and plain requests.

A path that begins with ``/stream`` is answered with numbered events, as many as the
header ``Token-Usage`` states; any other path is answered with a short body. ``GET
/ran`` lists the requests that ran, ``GET /arrived`` the ids of all requests, ``GET
/checked`` the number of health checks, and ``POST /faults`` sets faults; these four are
answered whatever the faults are. A body
that contains `HARMFUL` crashes the process soon after the request has begun to run.
Each event contains the software version of the
endpoint and the run that sent it; the endpoint does not check which version sent the
previous events of a resumed stream.
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

import msgspec

from standins import endless
from standins.web import WebAnswer

if TYPE_CHECKING:
    from pathlib import Path

    from standins.web import WebConnection, WebRequest

#: Paths that set faults and read records, for those who operate the stand-in.
OPERATOR_PATHS = frozenset({"/faults", "/ran", "/arrived", "/checked"})
#: Path of health checks.
HEALTH_PATH = "/healthz"
SIGNATURE = ("Server-Signature", "stand-in")
LEAVING = ("Server-Leaving", "1")
EVENT_STREAM = ("Content-Type", "text/event-stream")
#: Text of a body that crashes the process that runs it.
HARMFUL = b"ends what runs it"
#: Name of a part of a prompt that crashes the process before its first event.
HARMFUL_PART = "dead"
#: Seconds from the start of a harmful request to the crash.
CRASH_DELAY = 0.05
#: Exit code of a process that crashed.
CRASH_EXIT_CODE = 70


class HostedFaults(msgspec.Struct):
    """Faults of the endpoint.

    Attributes
    ----------
    break_after : int
        Events after which streams are reset; 0 for never.
    within : bool
        Reset streams within an event.
    fail : bool
        Answer with status 500 and the signature.
    decline : bool
        Answer that the request was not run.
    lose : bool
        Run the request, then reset the connection.
    silent : bool
        Run the request without answering it.
    foreign : bool
        Send the answer of another request first.
    pause : float
        Seconds between events, and before a plain answer.
    leaving : bool
        State in each answer that the endpoint leaves.
    unframed : bool
        Answer without length and chunks; the end of the connection ends the answer.
    rest : str
        Backoff that is requested with an answer that the request was not run.
    quiet : float
        Seconds from now for which nothing is sent on any connection. Requests run
        meanwhile, and what they would have sent is sent afterwards.
    endless : str
        Where bytes without end are sent: in the ``head`` or ``body`` of an answer, as
        comments between ``events`` of a stream, or ``after`` a complete answer. Plain
        answers have an endless body in place of comments.
    interval : float
        Seconds between portions of bytes without end.
    cold_ms : int
        Milliseconds of warm-up that the health check states; 0 if it states none.
    """

    break_after: int = 0
    within: bool = False
    fail: bool = False
    decline: bool = False
    lose: bool = False
    silent: bool = False
    foreign: bool = False
    pause: float = 0.0
    leaving: bool = False
    unframed: bool = False
    rest: str = ""
    quiet: float = 0.0
    endless: str = ""
    interval: float = 0.0
    cold_ms: int = 0


class Hosted:
    """An endpoint.

    Parameters
    ----------
    name : str
        Its id; requests for another endpoint are rejected.
    pace : float
        Seconds between events, unless a fault sets a pause, and between the halves of
        a plain answer.
    records : Path or None
        File to which the requests that ran are written before a crash.
    software : str
        Its software version.
    """

    def __init__(
        self,
        name: str,
        pace: float = 0.0,
        records: Path | None = None,
        software: str = "v1",
    ) -> None:
        self.name = name
        self.software = software
        self.pace = pace
        self.records = records
        self.faults = HostedFaults()
        self.ran: list[dict[str, object]] = []
        #: Ids of all requests, including rejected ones.
        self.arrived: list[str] = []
        self.health_checks = 0

    async def handle(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        """Serve one request."""
        if request.path in OPERATOR_PATHS:
            connection.gated = False
            return self._serve_operator(request, connection)
        if request.path == "/kv-list":
            return WebAnswer.json({"epoch": 1, "next": 0, "held": self.cached_parts()})
        if request.path == HEALTH_PATH:
            return self._health()
        self.arrived.append(request.headers.get("request-id", ""))
        if request.headers.get("target-instance", self.name) != self.name:
            return WebAnswer(421, b"", [("Instance-Id", self.name)])
        if self.faults.decline:
            rest = [("Retry-After", self.faults.rest)] if self.faults.rest else []
            headers = [("Not-Executed", "1"), *rest, *self._notice()]
            return WebAnswer(503, b"", headers)
        return await self._work(request, connection)

    def _serve_operator(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer:
        if request.path == "/ran":
            return WebAnswer.json(self.ran)
        if request.path == "/arrived":
            return WebAnswer.json(self.arrived)
        if request.path == "/checked":
            return WebAnswer.json(self.health_checks)
        self.faults = msgspec.json.decode(request.body, type=HostedFaults)
        connection.gate.hold(self.faults.quiet)
        return WebAnswer.json({})

    def _health(self) -> WebAnswer:
        """Return the answer to a health check."""
        self.health_checks += 1
        cold = self.faults.cold_ms
        stated = [("Cold-Ms", str(cold))] if cold else []
        return WebAnswer(200, b"", [("Instance-Id", self.name), *stated])

    def _notice(self) -> list[tuple[str, str]]:
        """Return the headers of each answer that state whether the endpoint leaves."""
        return [LEAVING] if self.faults.leaving else []

    def _crash(self) -> None:
        """End the process at once, with all requests that run on it."""
        for record in self.ran:
            if record["end"] == "running":
                record |= {"end": "ended", "ended_at": time.time()}
        if self.records is not None:
            self.records.write_bytes(msgspec.json.encode(self.ran))
        os._exit(CRASH_EXIT_CODE)

    def cached_parts(self) -> list[tuple[str, str, int, str]]:
        """Return a row for each part of the prompts that have run."""
        prompts = [record["headers"].get("prompt-prefix", "") for record in self.ran]
        parts = {
            tuple(part.split(":"))
            for text in prompts
            for part in text.split(",")
            if part
        }
        return [("", name, int(tokens), "m") for name, tokens in sorted(parts)]

    async def _work(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        record = {
            "id": request.headers.get("request-id", ""),
            "headers": request.headers,
            "path": request.path,
            "body": request.body.decode("latin-1"),
            "end": "running",
            "at": time.time(),
            "ended_at": 0.0,
        }
        self.ran.append(record)
        if HARMFUL in request.body or _has_harmful_part(request):
            await asyncio.sleep(CRASH_DELAY)
            self._crash()
        try:
            answer = await self._answer(request, connection)
        finally:
            record["end"] = "left" if connection.closed.is_set() else "whole"
            record["ended_at"] = time.time()
        return answer

    async def _answer(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        own_id = ("Request-Id", request.headers.get("request-id", ""))
        headers = [own_id, SIGNATURE, *self._notice()]
        if self.faults.silent:
            await connection.closed.wait()
            return None
        if self.faults.lose:
            connection.disconnect()
            return None
        if self.faults.fail:
            return WebAnswer(500, b"failed", headers)
        if self.faults.foreign:
            connection.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Signature: x\r\n"
                b"Content-Length: 5\r\n\r\nother"
            )
        if self.faults.endless == endless.HEAD:
            await endless.send_endless_head(connection, self.faults.interval)
            return None
        if request.path.startswith("/stream"):
            await self._stream(request, connection, headers)
            return None
        return await self._answer_plainly(request, connection, headers)

    async def _answer_plainly(
        self,
        request: WebRequest,
        connection: WebConnection,
        headers: list[tuple[str, str]],
    ) -> WebAnswer | None:
        """Answer with a short body, in two halves if the endpoint has a pace."""
        body = f"answer to {request.headers.get('request-id', '')}".encode()
        faults = self.faults
        await asyncio.sleep(faults.pause)
        if faults.endless == endless.AFTER:
            connection.answer(WebAnswer(200, body, headers))
            await endless.send_endless_rest(connection, faults.interval)
            return None
        if faults.endless:
            await endless.send_endless_body(connection, headers, faults.interval)
            return None
        if faults.unframed:
            connection.begin(200, headers, chunked=False)
            connection.send(body)
            connection.end()
            return None
        if not self.pace:
            return WebAnswer(200, body, headers)
        half = len(body) // 2
        connection.begin(200, headers)
        connection.send(body[:half])
        await asyncio.sleep(self.pace)
        connection.send(body[half:])
        connection.end()
        return None

    async def _stream(
        self,
        request: WebRequest,
        connection: WebConnection,
        headers: list[tuple[str, str]],
    ) -> None:
        count = int(request.headers.get("token-usage", "0,4").partition(",")[2])
        first = int(request.headers.get("last-event-id", "0")) + 1
        chunked = not self.faults.unframed
        if self.faults.endless == endless.BODY:
            await endless.send_endless_body(
                connection, [*headers, EVENT_STREAM], self.faults.interval
            )
            return
        connection.begin(200, [*headers, EVENT_STREAM], chunked)
        run = f"{self.name}/{len(self.ran)}"
        for number in range(first, count + 1):
            if connection.closed.is_set():
                return
            data = f"{self.software} {run}"
            connection.send(f"id: {number}\ndata: {data}\n\n".encode())
            if self.faults.endless == endless.EVENTS:
                await endless.send_endless_comments(connection, self.faults.interval)
                return
            if number - first + 1 == self.faults.break_after:
                if self.faults.within:
                    connection.send(b"id: 99\nda")
                await asyncio.sleep(0.05)
                if self.faults.within and self.faults.unframed:
                    connection.end()
                else:
                    connection.disconnect()
                return
            await asyncio.sleep(self.faults.pause or self.pace)
        connection.end()
        if self.faults.endless == endless.AFTER:
            await endless.send_endless_rest(connection, self.faults.interval)


def _has_harmful_part(request: WebRequest) -> bool:
    parts = request.headers.get("prompt-prefix", "").split(",")
    # The last part is the request's own.
    return any(part.strip().startswith(HARMFUL_PART) for part in parts[:-1])
