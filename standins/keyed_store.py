"""Stand-in for the users' platform store: keyed topics that are read by offset.

``POST /faults`` sets faults; ``POST /forget`` drops the history of a topic; ``POST
/copy`` takes a copy of all topics, and ``POST /restore`` comes back from it; with
``?again=SECONDS`` what operators and endpoints wrote since is written again after that.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest

#: Seconds between looks for new records while a read waits.
LOOK_INTERVAL = 0.01
#: Header of every answer that counts how often the store came back from a copy.
ERA_HEADER = "Store-Era"
#: Topics that operators and endpoints write to.
WRITTEN_AGAIN = ("keyed.op", "keyed.servers")


class StoreFaults(msgspec.Struct):
    """What is wrong with the store.

    Attributes
    ----------
    refuse : bool
        Answer 503 to everything.
    silent : bool
        Answer nothing.
    silent_topic : str
        A topic about which nothing is answered, while others are served.
    lose : bool
        Do what appends ask for, then cut the connection.
    """

    refuse: bool = False
    silent: bool = False
    silent_topic: str = ""
    lose: bool = False


@dataclass(slots=True)
class Topic:
    """Records of one topic with keys."""

    first: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Add a record; an empty value drops the key."""
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))

    def forget(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


class KeyedStore:
    """The store."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.copied: dict[str, Topic] = {}
        #: How often it came back from a copy.
        self.era = 0
        self.faults = StoreFaults()
        self.calls = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, new on first use."""
        return self.topics.setdefault(name, Topic())

    async def handle(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        """Serve one call."""
        answer = await self._serve(request, connection)
        if answer is not None:
            answer.headers.append((ERA_HEADER, str(self.era)))
        return answer

    async def _serve(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        if request.path == "/copy":
            self.copied = copy.deepcopy(self.topics)
            return WebAnswer.json({})
        if request.path == "/restore":
            self._restore(request.query.get("again"))
            return WebAnswer.json({})
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=StoreFaults)
            return WebAnswer.json({})
        name = request.query.get("topic", "")
        topic = self.topic(name)
        if request.path == "/forget":
            topic.forget()
            return WebAnswer.json({})
        self.calls += 1
        if self.faults.refuse:
            return WebAnswer.json({}, 503)
        if self._is_silent(name):
            await connection.gone.wait()
            return None
        if request.path == "/log-append":
            return self._append(topic, request, connection)
        if request.path == "/log-newest":
            return _newest(topic)
        answer = await self._read(topic, request, connection)
        if self._is_silent(name):
            # A read that waited when the silence began is never answered either.
            await connection.gone.wait()
            return None
        return answer

    def _is_silent(self, topic: str) -> bool:
        return self.faults.silent or topic == self.faults.silent_topic != ""

    def _restore(self, again: str | None) -> None:
        """Come back from the copy."""
        before = self.topics
        self.topics = copy.deepcopy(self.copied)
        self.era += 1
        if again is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(float(again), self._write_again, before)

    def _write_again(self, before: dict[str, Topic]) -> None:
        """Write what others than the system wrote since the copy was taken."""
        for name in WRITTEN_AGAIN:
            topic = self.topic(name)
            old = self.copied.get(name, Topic()).newest
            lost = before.get(name, Topic()).newest
            for key in sorted(old.keys() | lost.keys()):
                value, copied = lost.get(key, (b"", 0))[0], old.get(key, (b"", 0))[0]
                if value != copied == topic.newest.get(key, (b"", 0))[0]:
                    topic.append(key, value)

    def _append(
        self, topic: Topic, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        offset = topic.end
        place = 0
        while place < len(request.body):
            size = struct.unpack_from(">I", request.body, place)[0]
            record = request.body[place + 4 : place + 4 + size]
            topic.append(record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            place += 4 + size
        if self.faults.lose:
            connection.break_off()
            return None
        return WebAnswer.json({"offset": offset, "end": topic.end})

    async def _read(
        self, topic: Topic, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        start = int(request.query["from"])
        if not topic.first <= start <= topic.end:
            return WebAnswer.json({"first": topic.first}, 410)
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        era = self.era
        while start >= topic.end and loop.time() < until:
            if connection.gone.is_set():
                return None
            if self.era != era:
                connection.break_off()
                return None
            await asyncio.sleep(LOOK_INTERVAL)
        body = [struct.pack(">QQ", topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            record = bytes([len(key.encode())]) + key.encode() + value
            body.append(struct.pack(">I", len(record)) + record)
        return WebAnswer(200, b"".join(body))


def _newest(topic: Topic) -> WebAnswer:
    entries = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (value, offset) in topic.newest.items()
    ]
    return WebAnswer.json({"entries": entries, "more_pages": False, "end": topic.end})
