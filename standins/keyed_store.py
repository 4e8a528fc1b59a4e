"""Stand-in for the store of the platform: keyed topics that are read by offset.

``POST /faults`` sets faults, and ``POST /forget`` drops the history of a topic. ``POST
/copy`` takes a snapshot of all topics, and ``POST /restore`` restores it. With
``?again=SECONDS``, records that operators and endpoints wrote after the snapshot are
written again that many seconds after the restore. ``POST /peer-ports`` sets the ports
at which single readers reach routers.
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

#: Seconds between checks for new records while a read waits.
POLL_INTERVAL = 0.01
#: Header of each answer with the number of times that the store was restored.
ERA_HEADER = "Store-Era"
#: Topics to which operators and endpoints write.
REWRITTEN_TOPICS = ("keyed.op", "keyed.servers")
#: Topic of the routers' entries.
ROUTERS_TOPIC = "keyed.routers"


class StoreFaults(msgspec.Struct):
    """Faults of the store.

    Attributes
    ----------
    refuse : bool
        Answer each call with status 503.
    silent : bool
        Do not answer.
    silent_topic : str
        Topic for which calls are not answered; empty for none.
    lose : bool
        Append records, then reset the connection instead of answering.
    """

    refuse: bool = False
    silent: bool = False
    silent_topic: str = ""
    lose: bool = False


@dataclass(slots=True)
class Topic:
    """Records of one topic, with keys, which may be any bytes."""

    first: int = 0
    records: list[tuple[bytes, bytes]] = field(default_factory=list)
    newest: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: bytes, value: bytes) -> None:
        """Append a record; an empty value removes the key."""
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))

    def forget(self) -> None:
        """Drop the history, except for the newest record of each key."""
        self.first = self.end
        self.records.clear()


class KeyedStore:
    """Store that keeps its topics in memory."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.snapshot: dict[str, Topic] = {}
        #: Number of times that it was restored.
        self.era = 0
        self.faults = StoreFaults()
        self.calls = 0
        #: Ports of routers by key, in place of those in their entries, for callers that
        #: reach the store at a port; see the relay.
        self.peer_ports: dict[int, dict[str, int]] = {}

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use."""
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
            self.snapshot = copy.deepcopy(self.topics)
            return WebAnswer.json({})
        if request.path == "/restore":
            self._restore(request.query.get("again"))
            return WebAnswer.json({})
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=StoreFaults)
            return WebAnswer.json({})
        if request.path == "/peer-ports":
            self.peer_ports = msgspec.json.decode(
                request.body, type=dict[int, dict[str, int]]
            )
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
            await connection.closed.wait()
            return None
        if request.path == "/log-append":
            return self._append(topic, request, connection)
        if request.path == "/log-newest":
            ports = self._peer_ports_of(request) if name == ROUTERS_TOPIC else {}
            return _newest(topic, ports)
        answer = await self._read(topic, request, connection)
        if self._is_silent(name):
            # A read that was waiting when the fault was set isn't answered either.
            await connection.closed.wait()
            return None
        return answer

    def _peer_ports_of(self, request: WebRequest) -> dict[str, int]:
        """Return the ports for a caller, which is known by the address that it uses."""
        port = request.headers.get("host", "").rpartition(":")[2]
        return self.peer_ports.get(int(port), {}) if port.isdecimal() else {}

    def _is_silent(self, topic: str) -> bool:
        return self.faults.silent or topic == self.faults.silent_topic != ""

    def _restore(self, again: str | None) -> None:
        """Restore the snapshot."""
        before = self.topics
        self.topics = copy.deepcopy(self.snapshot)
        self.era += 1
        if again is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(float(again), self._rewrite_lost_records, before)

    def _rewrite_lost_records(self, before: dict[str, Topic]) -> None:
        """Write again what operators and endpoints wrote after the snapshot."""
        for name in REWRITTEN_TOPICS:
            topic = self.topic(name)
            old = self.snapshot.get(name, Topic()).newest
            lost = before.get(name, Topic()).newest
            for key in sorted(old.keys() | lost.keys()):
                value, snapshot = lost.get(key, (b"", 0))[0], old.get(key, (b"", 0))[0]
                if value != snapshot == topic.newest.get(key, (b"", 0))[0]:
                    topic.append(key, value)

    def _append(
        self, topic: Topic, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        offset = topic.end
        records = _keyed_records(request.body)
        if records is None:
            return WebAnswer.json({}, 400)
        for key, value in records:
            topic.append(key, value)
        if self.faults.lose:
            connection.disconnect()
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
            if connection.closed.is_set():
                return None
            if self.era != era:
                connection.disconnect()
                return None
            await asyncio.sleep(POLL_INTERVAL)
        body = [struct.pack(">QQ", topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            record = bytes([len(key)]) + key + value
            body.append(struct.pack(">I", len(record)) + record)
        return WebAnswer(200, b"".join(body))


def _keyed_records(body: bytes) -> list[tuple[bytes, bytes]] | None:
    """Return the keys and values in the body of an append, None if it is invalid."""
    records = []
    place = 0
    while place < len(body):
        if place + 4 > len(body):
            return None
        end = place + 4 + struct.unpack_from(">I", body, place)[0]
        record = body[place + 4 : end]
        if end > len(body) or not record or len(record) < 1 + record[0]:
            return None
        records.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
        place = end
    return records


def _newest(topic: Topic, ports: dict[str, int]) -> WebAnswer:
    entries = []
    for key, (value, offset) in topic.newest.items():
        # Text, as JSON has no other keys.
        name = key.decode(errors="replace")
        told = _with_port(value, ports[name]) if name in ports else value
        text = base64.b64encode(told).decode()
        entries.append({"key": name, "value": text, "offset": offset})
    return WebAnswer.json({"entries": entries, "more_pages": False, "end": topic.end})


def _with_port(value: bytes, port: int) -> bytes:
    """Return the entry of a router with another port."""
    return msgspec.json.encode({**msgspec.json.decode(value), "port": port})
