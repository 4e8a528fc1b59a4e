"""A client of the routers, on kept connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Answer:
    """An answer; `whole` is false if its channel ended before it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        If the channel ends before the head of an answer.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    answer = Answer(int(head[0].split(" ")[1]), headers, b"", whole=False)
    try:
        await _read_body(reader, answer)
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
    except (ConnectionError, ValueError):
        pass
    return answer


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read(-1)
    answer.whole = True


class Client:
    """Sends requests to one router, on kept connections where there are any."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, data: bytes, timeout: float) -> Answer | None:
        """Send a request and return its answer, None if there was none in time."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await self._connect()
                try:
                    writer.write(data)
                    answer = await read_answer(reader)
                except BaseException:
                    writer.close()
                    raise
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return None
        if answer.whole and answer.headers.get("connection", "").lower() != "close":
            self.idle.append((reader, writer))
        else:
            writer.close()
        return answer

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection("127.0.0.1", self.port)
