"""Stand-in for model workers that stream events, and a client that resumes streams."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field

from bed.http import HOST, LAST_CHUNK, Answer, Request, chunk, head, read_chunk
from bed.http import read_head as read_answer_head
from bed.workers import Run, Worker

#: A complete event: its number, and the service and worker that made it.
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")


@dataclass
class Engine(Worker):
    """A sound worker that sends `events` numbered events, one each `pace` seconds.

    It goes on after the event that ``Last-Event-Id`` names.
    """

    slots: int = 64
    events: int = 40
    pace: float = 0.05

    async def handle(self, request: Request) -> Answer | None:
        """Serve one request; the list of what is kept in memory is empty."""
        if request.path == "/kv-list":
            return Answer.json({"epoch": 1, "next": 0, "held": []})
        return await super().handle(request)

    async def run(self, request: Request, run: Run) -> Answer | None:
        """Send the events of a request, in chunks."""
        fields = {
            "Request-Id": run.request,
            "Server-Signature": self.name,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        request.writer.write(head("HTTP/1.1 200 OK", fields))
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            data = f"id: {number}\ndata: {self.service}/{self.software} {self.name}\n\n"
            request.writer.write(chunk(data.encode()))
            await request.writer.drain()
            await asyncio.sleep(self.pace)
        request.writer.write(LAST_CHUNK)
        await request.writer.drain()
        return None


@dataclass
class Stream:
    """What a client received of a stream, over all its attempts.

    Attributes
    ----------
    events : list of tuple
        Number, service with version, and worker of each complete event.
    statuses : list of int
        Status of each attempt, 0 for none.
    complete : bool
        Whether the last attempt ended as complete.
    """

    events: list[tuple[int, str, str]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    complete: bool = False

    @property
    def last(self) -> int:
        """Return the number of the last event, 0 for none."""
        return self.events[-1][0] if self.events else 0

    @property
    def sources(self) -> list[str]:
        """Return the services and versions whose pieces it holds, in order."""
        return list(dict.fromkeys(source for _, source, _ in self.events))


async def attempt(stream: Stream, port: int, path: str, fields: dict[str, str]) -> None:
    """Send one attempt, which resumes the stream if it has events."""
    resumed = {"Last-Event-Id": str(stream.last)} if stream.events else {}
    data = head(f"POST {path} HTTP/1.1", {**fields, **resumed, "Content-Length": "6"})
    stream.statuses.append(0)
    lost = (OSError, asyncio.IncompleteReadError, ValueError)
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return
    buffered = b""
    try:
        writer.write(data + b"prompt")
        words, answered = await read_answer_head(reader)
        stream.statuses[-1] = int(words[1])
        if answered.get("transfer-encoding", "") != "chunked":
            return
        while part := await read_chunk(reader):
            buffered += part
            end = 0
            for found in EVENT.finditer(buffered):
                number, source, worker = found.groups()
                stream.events.append((int(number), source.decode(), worker.decode()))
                end = found.end()
            buffered = buffered[end:]
        stream.complete = True
    except lost:
        pass
    finally:
        writer.close()
