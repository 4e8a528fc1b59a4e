"""Stand-in for the platform's store: keyed topics with one partition each."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from bed.http import Answer, HttpServer, Request

if TYPE_CHECKING:
    from bed.relay import Relay

#: Seconds that a call takes.
CALL_DURATION = 0.004
#: Most rows of a page of newest records.
PAGE_ROWS = 500
#: Topic of the routers' entries.
ROUTERS_TOPIC = "keyed.routers"


@dataclass
class Topic:
    """Records of one topic, and the newest value of each key with its offset."""

    first: int = 0
    records: list[tuple[bytes, bytes]] = field(default_factory=list)
    newest: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: bytes, value: bytes) -> None:
        """Append a record; one without a value drops the key."""
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """The store; `put` and `remove` are the calls of operators and workers."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.server = HttpServer(self.handle)
        #: Whether calls are swallowed without an answer.
        self.silent = False

    async def start(self) -> int:
        """Start to listen; return the port."""
        return await self.server.start()

    async def start_for(self, router: str, relay: Relay) -> int:
        """Listen for one router, which reaches the others through a relay."""
        return await HttpServer(partial(self.handle_for, router, relay)).start()

    async def handle_for(
        self, router: str, relay: Relay, request: Request
    ) -> Answer | None:
        """Serve one call of a router, with the ports of the relay in the entries."""
        answer = await self.handle(request)
        listed = request.query.get("topic") == ROUTERS_TOPIC
        if answer is None or request.path != "/log-newest" or not listed:
            return answer
        page = json.loads(answer.body)
        for row in page["entries"]:
            port = relay.ports.get((router, row["key"]))
            if port is not None:
                entry = json.loads(base64.b64decode(row["value"]))
                value = json.dumps({**entry, "port": port}).encode()
                row["value"] = base64.b64encode(value).decode()
        return Answer.json(page)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record."""
        self.topic(topic).append(key.encode(), json.dumps(value).encode())

    def remove(self, topic: str, key: str) -> None:
        """Drop a key."""
        self.topic(topic).append(key.encode(), b"")

    async def handle(self, request: Request) -> Answer | None:
        """Serve one call."""
        await asyncio.sleep(CALL_DURATION)
        if self.silent:
            await asyncio.sleep(3600)
        topic = self.topic(request.query.get("topic", ""))
        if request.path == "/log-append":
            return _append(topic, request.body)
        if request.path == "/log-newest":
            return _newest(topic, request.query.get("after", ""))
        if request.path == "/log-read":
            return await _read(topic, request.query)
        return Answer(404)


def _append(topic: Topic, body: bytes) -> Answer:
    offset = topic.end
    place = 0
    while place < len(body):
        (size,) = struct.unpack_from(">I", body, place)
        record = body[place + 4 : place + 4 + size]
        topic.append(record[1 : 1 + record[0]], record[1 + record[0] :])
        place += 4 + size
    return Answer.json({"offset": offset, "end": topic.end})


def _newest(topic: Topic, after: str) -> Answer:
    rows = sorted((key.decode(), *held) for key, held in topic.newest.items())
    rows = [row for row in rows if row[0] > after]
    entries = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key, value, offset in rows[:PAGE_ROWS]
    ]
    more = len(rows) > PAGE_ROWS
    return Answer.json({"entries": entries, "more_pages": more, "end": topic.end})


async def _read(topic: Topic, query: dict[str, str]) -> Answer:
    start = int(query["from"])
    if not topic.first <= start <= topic.end:
        return Answer.json({"first": topic.first}, 410)
    loop = asyncio.get_running_loop()
    until = loop.time() + int(query.get("wait_ms", "0")) / 1000
    while start >= topic.end and loop.time() < until:
        try:
            async with asyncio.timeout_at(until):
                await topic.grown.wait()
        except TimeoutError:
            break
    parts = [struct.pack(">QQ", topic.end, topic.first)]
    for key, value in topic.records[start - topic.first :]:
        record = bytes([len(key)]) + key + value
        parts.append(struct.pack(">I", len(record)) + record)
    return Answer(200, b"".join(parts))
