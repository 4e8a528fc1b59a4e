"""Stand-in for the platform's append-only log service.

``POST /streams/S/records`` appends the body as a record and answers
``{"offset": n}``; ``GET /streams/S/records?from=N&wait=MS&most=K`` reads records.
``GET /appends`` lists the times of all appends, and ``POST /faults`` sets faults.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest

PREFIX = "/streams/"
SUFFIX = "/records"


class LogFaults(msgspec.Struct):
    """Faults of the log.

    Attributes
    ----------
    down : bool
        Answer with status 503.
    lost : bool
        Append records, then reset the connection instead of answering.
    delay : float
        Seconds before each answer.
    keep : int
        Newest records that are kept of each stream; 0 for all.
    """

    down: bool = False
    lost: bool = False
    delay: float = 0.0
    keep: int = 0


@dataclass(slots=True)
class Stream:
    """A stream of records."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: bytes, keep: int) -> int:
        """Append a record, trim the stream and return the offset of the record."""
        offset = self.next
        self.records.append(data)
        self.trim(keep)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def trim(self, keep: int) -> None:
        """Drop the oldest records beyond `keep`; 0 keeps all."""
        excess = len(self.records) - keep if keep else 0
        if excess > 0:
            del self.records[:excess]
            self.first += excess


class LogService:
    """Log service that keeps its streams in memory."""

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.faults = LogFaults()
        self.appends: list[float] = []

    async def handle(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        """Serve one request."""
        if request.path == "/faults":
            self._set_faults(request)
            return WebAnswer.json({})
        if request.path == "/appends":
            return WebAnswer.json(self.appends)
        await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            return WebAnswer.json({}, 503)
        if not request.path.startswith(PREFIX) or not request.path.endswith(SUFFIX):
            return WebAnswer.json({}, 404)
        name = request.path[len(PREFIX) : -len(SUFFIX)]
        stream = self.streams.setdefault(name, Stream())
        if request.method == "GET":
            return await self._read(stream, request.query)
        offset = stream.append(request.body, self.faults.keep)
        self.appends.append(time.time())
        if self.faults.lost:
            connection.disconnect()
            return None
        return WebAnswer.json({"offset": offset})

    def _set_faults(self, request: WebRequest) -> None:
        self.faults = msgspec.json.decode(request.body, type=LogFaults)
        for stream in self.streams.values():
            stream.trim(self.faults.keep)

    async def _read(self, stream: Stream, query: dict[str, str]) -> WebAnswer:
        start = max(int(query["from"]), stream.first)
        if start >= stream.next:
            wait = int(query.get("wait", 0)) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.changed.wait(), wait)
        if self.faults.down:
            return WebAnswer.json({}, 503)
        start = max(int(query["from"]), stream.first)
        index = start - stream.first
        records = stream.records[index : index + int(query.get("most", 1000))]
        return WebAnswer.json(
            {
                "first": stream.first,
                "next": stream.next,
                "records": [
                    {"offset": start + i, "data": base64.b64encode(data).decode()}
                    for i, data in enumerate(records)
                ],
            }
        )
