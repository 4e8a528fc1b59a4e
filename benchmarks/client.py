"""HTTP client of the benchmarks and tests."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import h11
import msgspec

READ_SIZE = 65536
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class Reply:
    """The answer to a request.

    Attributes
    ----------
    status : int
        HTTP status; 0 if there was no answer.
    complete : bool
        Whether the answer ended according to its framing.
    first : float
        Seconds from the request to the first byte of the body.
    total : float
        Seconds from the request to the end of the answer.
    gaps : list of float
        Seconds between parts of the body.
    sent : int
        Size of the request body in bytes.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    first: float = 0.0
    total: float = 0.0
    gaps: list[float] = field(default_factory=list)
    sent: int = 0

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)

    @property
    def refused(self) -> bool:
        """Return whether the answer is a problem document."""
        kind = self.headers.get("content-type", "")
        return self.complete and kind == "application/problem+json"

    def is_whole_stream(self, tokens: int) -> bool:
        """Return whether this is a complete stream of `tokens` tokens in order."""
        if not (self.complete and self.status == 200 and self.body.endswith(DONE)):
            return False
        events = self.body.split(b"\n\n")[:-2]
        texts = [
            msgspec.json.decode(event[len(b"data: ") :])["choices"][0]["delta"]
            for event in events
        ]
        return [t["content"] for t in texts] == [f"w{n + 1} " for n in range(tokens)]


async def send(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 60.0,
) -> Reply:
    """Send a request to 127.0.0.1 and return the answer."""
    reply = Reply(sent=len(body))
    start = time.monotonic()
    try:
        async with asyncio.timeout(timeout):
            await _exchange(port, method, path, headers, body, reply, start)
    except (OSError, TimeoutError, h11.ProtocolError):
        pass
    reply.total = time.monotonic() - start
    return reply


async def _exchange(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    reply: Reply,
    start: float,
) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    parser = h11.Connection(h11.CLIENT)
    fields = [("Host", "carawayfold"), *headers.items()]
    fields.append(("Content-Length", str(len(body))))
    writer.write(
        parser.send(h11.Request(method=method, target=path, headers=fields))
        + parser.send(h11.Data(data=body))
        + parser.send(h11.EndOfMessage())
    )
    try:
        await _receive(reader, parser, reply, start)
    finally:
        writer.transport.abort()


async def _receive(
    reader: asyncio.StreamReader, parser: h11.Connection, reply: Reply, start: float
) -> None:
    last = 0.0
    while not reply.complete:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            now = time.monotonic()
            if last:
                reply.gaps.append(now - last)
            else:
                reply.first = now - start
            last = now
            reply.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            reply.complete = True
        else:
            break


async def chat(
    port: int,
    key: str,
    model: str,
    tokens: int,
    stream: bool = True,
    text: str = "survey",
    headers: dict[str, str] | None = None,
    timeout: float = 60.0,
) -> Reply:
    """Send a chat request for `tokens` tokens."""
    body = {
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"tokens={tokens} {text}"}],
    }
    fields = {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        **(headers or {}),
    }
    data = msgspec.json.encode(body)
    return await send(port, "POST", "/v1/chat/completions", fields, data, timeout)


async def call(
    port: int,
    key: str,
    service: str,
    work_ms: int,
    headers: dict[str, str] | None = None,
    timeout: float = 60.0,
) -> Reply:
    """Send a request to an application that takes `work_ms` milliseconds."""
    fields = {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        **(headers or {}),
    }
    data = msgspec.json.encode({"work_ms": work_ms})
    path = f"/services/{service}/orders"
    return await send(port, "POST", path, fields, data, timeout)


async def get_json(port: int, path: str) -> Any:
    """Return the JSON answer of a stand-in."""
    return (await send(port, "GET", path, {})).json()


async def post_json(port: int, path: str, value: object) -> None:
    """Send JSON to a stand-in."""
    await send(port, "POST", path, {}, msgspec.json.encode(value))
