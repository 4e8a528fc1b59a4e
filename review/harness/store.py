"""Stand-in for the platform's store, with keyed topics of one partition each."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from dataclasses import dataclass, field

#: Seconds between checks for new records while a read waits.
POLL_INTERVAL = 0.005


@dataclass
class Topic:
    """Records of one keyed topic."""

    records: list[tuple[bytes, bytes]] = field(default_factory=list)
    newest: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)

    def append(self, key: bytes, value: bytes) -> None:
        """Append a record; an empty value removes the key."""
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))


class Store:
    """The store, which can be down as a whole or for single topics.

    Attributes
    ----------
    is_down : bool
        Whether it answers all calls with 503.
    down : set of str
        Topics whose partition is down: their calls are answered with 503, which says
        that nothing was done.
    refused : int
        Number of such answers.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.is_down = False
        self.down: set[str] = set()
        self.refused = 0

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or a worker; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, Topic()).append(key.encode(), data)

    async def start(self, port: int) -> None:
        """Listen on a loopback port."""
        await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
                body = await reader.readexactly(_content_length(head))
                status, answer = await self._answer(method, target, body)
                writer.write(
                    b"HTTP/1.1 %d \r\nContent-Length: %d\r\n\r\n%b"
                    % (status, len(answer), answer)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        path, _, text = target.partition("?")
        query = dict(item.split("=", 1) for item in text.split("&") if item)
        name = query.get("topic", "")
        if self.is_down or name in self.down:
            self.refused += 1
            return 503, b"{}"
        topic = self.topics.setdefault(name, Topic())
        if (method, path) == ("POST", "/log-append"):
            return 200, _append(topic, body)
        if (method, path) == ("GET", "/log-newest"):
            return 200, _newest(topic)
        if (method, path) == ("GET", "/log-read"):
            wait = int(query.get("wait_ms", "0")) / 1000
            return 200, await _read(topic, int(query["from"]), wait)
        return 404, b"{}"


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def _append(topic: Topic, body: bytes) -> bytes:
    first = len(topic.records)
    place = 0
    while place < len(body):
        (size,) = struct.unpack_from(">I", body, place)
        record = body[place + 4 : place + 4 + size]
        topic.append(record[1 : 1 + record[0]], record[1 + record[0] :])
        place += 4 + size
    return json.dumps({"offset": first, "end": len(topic.records)}).encode()


def _newest(topic: Topic) -> bytes:
    entries = [
        {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": at}
        for key, (value, at) in topic.newest.items()
    ]
    found = {"entries": entries, "more_pages": False, "end": len(topic.records)}
    return json.dumps(found).encode()


async def _read(topic: Topic, start: int, wait: float) -> bytes:
    until = time.monotonic() + wait
    while start >= len(topic.records) and time.monotonic() < until:
        await asyncio.sleep(POLL_INTERVAL)
    parts = [struct.pack(">QQ", len(topic.records), 0)]
    for key, value in topic.records[start:]:
        record = bytes([len(key)]) + key + value
        parts.append(struct.pack(">I", len(record)) + record)
    return b"".join(parts)
