"""Stand-in for a model engine with continuous batching and without priorities.

Serves ``POST /v1/chat/completions``. The number of tokens is given by ``tokens=N`` in
the first message; the default is 16. A message that contains `HARMFUL` crashes the
process. ``GET /v1/streams/ID?from=N`` resumes a stream, ``GET /ran`` lists the
completed requests, and ``POST /faults`` sets faults.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from standins.hosted import CRASH_EXIT_CODE, HARMFUL
from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest

TOKENS = re.compile(r"tokens=(\d+)")
DEFAULT_TOKENS = 16
#: Characters of a prompt that identify its prefix in the cache.
PREFIX_LENGTH = 256


class EngineFaults(msgspec.Struct):
    """Faults of the engine.

    Attributes
    ----------
    break_after : int
        Tokens after which streams are disconnected; 0 for never.
    fail : bool
        Answer each request with status 500.
    silent : bool
        Accept requests without answering them.
    crossed : bool
        Answer with the id of another request.
    no_resume : bool
        Reject requests that resume a stream.
    """

    break_after: int = 0
    fail: bool = False
    silent: bool = False
    crossed: bool = False
    no_resume: bool = False


@dataclass(slots=True, eq=False)
class Generation:
    """A request that is queued or running in the engine."""

    request_id: str
    model: str
    tokens: int
    prompt: int
    prefix: str
    arrived: float
    first_step: float = 0.0
    tokens_made: int = 0
    ended: bool = False
    finished: asyncio.Event = field(default_factory=asyncio.Event)
    connection: WebConnection | None = None
    streamed: bool = False
    disconnected: bool = False


class Engine:
    """A model engine.

    Parameters
    ----------
    slots : int
        Requests that run at once; others are queued in order of arrival.
    step : float
        Seconds between tokens.
    prefill : float
        Prefill time in seconds per character of a prompt, unless its prefix is cached.
    cached_prefixes : int
        Size of the prefix cache.
    """

    def __init__(
        self,
        slots: int = 8,
        step: float = 0.01,
        prefill: float = 0.0,
        cached_prefixes: int = 32,
    ) -> None:
        self.slots = slots
        self.step = step
        self.prefill = prefill
        self.cached_prefixes = cached_prefixes
        self.faults = EngineFaults()
        self.running: list[Generation] = []
        self.queue: deque[Generation] = deque()
        self.generations: dict[str, Generation] = {}
        self.ran: list[dict[str, object]] = []
        self.prefixes: dict[str, None] = {}
        self.busy = 0.0
        self.hits = 0

    async def run(self) -> None:
        """Generate one token of each running request in each step, without end."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self.step
            await asyncio.sleep(max(0.0, due - loop.time()))
            due = max(due, loop.time() - 10 * self.step)
            self._step(loop.time())

    def _step(self, now: float) -> None:
        self.busy += len(self.running) * self.step
        for generation in list(self.running):
            if now >= generation.first_step:
                self._make_token(generation)
        while self.queue and len(self.running) < self.slots:
            self._admit(self.queue.popleft(), now)

    def _admit(self, generation: Generation, now: float) -> None:
        delay = generation.prompt * self.prefill
        if generation.prefix in self.prefixes:
            self.hits += 1
            delay = 0.0
            del self.prefixes[generation.prefix]
        self.prefixes[generation.prefix] = None
        if len(self.prefixes) > self.cached_prefixes:
            del self.prefixes[next(iter(self.prefixes))]
        generation.first_step = now + delay
        self.running.append(generation)

    def _make_token(self, generation: Generation) -> None:
        connection = generation.connection
        if (
            connection is not None
            and connection.closed.is_set()
            and not generation.disconnected
        ):
            self._end(generation, "cancelled")
            return
        generation.tokens_made += 1
        if generation.streamed and connection is not None:
            self._send_token(generation, connection)
        if generation.tokens_made >= generation.tokens:
            self._end(generation, "whole")

    def _send_token(self, generation: Generation, connection: WebConnection) -> None:
        connection.send(token_event(generation, generation.tokens_made))
        if generation.tokens_made == self.faults.break_after:
            generation.disconnected = True
            generation.connection = None
            connection.disconnect()

    def _end(self, generation: Generation, outcome: str) -> None:
        generation.ended = True
        self.running.remove(generation)
        self.ran.append(
            {
                "request_id": generation.request_id,
                "tokens": generation.tokens_made,
                "prompt": generation.prompt,
                "end": outcome,
                "at": time.time(),
                "arrived": generation.arrived,
            }
        )
        generation.finished.set()

    async def handle(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        """Serve one request."""
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=EngineFaults)
            return WebAnswer.json({})
        if request.path == "/ran":
            return WebAnswer.json(self.ran)
        if request.path == "/load":
            return WebAnswer.json(self._load())
        if self.faults.silent:
            await connection.closed.wait()
            return None
        if self.faults.fail:
            return WebAnswer.json({"error": "engine failed"}, 500)
        if request.path.startswith("/v1/streams/"):
            return await self._resume(request, connection)
        return await self._generate(request, connection)

    def _load(self) -> dict[str, float]:
        return {
            "running": len(self.running),
            "waiting": len(self.queue),
            "slots": self.slots,
            "busy": self.busy,
            "hits": self.hits,
        }

    async def _generate(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        body = msgspec.json.decode(request.body)
        text = str(body["messages"][0].get("content", ""))
        if HARMFUL in text.encode():
            os._exit(CRASH_EXIT_CODE)
        found = TOKENS.search(text)
        generation = Generation(
            request.headers.get("x-request-id", ""),
            body["model"],
            int(found[1]) if found else DEFAULT_TOKENS,
            len(request.body),
            text[:PREFIX_LENGTH],
            time.time(),
            connection=connection,
            streamed=bool(body.get("stream")),
        )
        self.generations[generation.request_id] = generation
        self.queue.append(generation)
        if len(self.running) < self.slots:
            self._admit(self.queue.popleft(), asyncio.get_running_loop().time())
        if generation.streamed:
            connection.begin(200, self._stream_headers(generation))
        return await self._finish(generation, connection)

    def _stream_headers(self, generation: Generation) -> list[tuple[str, str]]:
        crossed = "another" if self.faults.crossed else ""
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Request-Id", crossed or generation.request_id),
        ]
        if not self.faults.no_resume:
            headers.append(("X-Stream-Resume", "1"))
        return headers

    async def _finish(
        self, generation: Generation, connection: WebConnection
    ) -> WebAnswer | None:
        await generation.finished.wait()
        if connection.closed.is_set():
            return None
        if generation.streamed:
            connection.send(b"data: [DONE]\n\n")
            connection.end()
            return None
        return WebAnswer.json(complete_answer(generation))

    async def _resume(
        self, request: WebRequest, connection: WebConnection
    ) -> WebAnswer | None:
        name = request.path.rpartition("/")[2]
        generation = self.generations.get(name)
        if generation is None or self.faults.no_resume:
            return WebAnswer.json({"error": "no such stream"}, 404)
        connection.begin(200, self._stream_headers(generation))
        for number in range(int(request.query["from"]) + 1, generation.tokens_made + 1):
            connection.send(token_event(generation, number))
        generation.connection = connection
        generation.disconnected = False
        return await self._finish(generation, connection)


def token_text(number: int) -> str:
    """Return the text of a token; `number` counts from 1."""
    return f"w{number} "


def token_event(generation: Generation, number: int) -> bytes:
    """Return the event of one token."""
    chunk = {
        "id": f"chatcmpl-{generation.request_id}",
        "object": "chat.completion.chunk",
        "created": int(generation.arrived),
        "model": generation.model,
        "choices": [
            {
                "index": 0,
                "delta": {"role": "assistant", "content": token_text(number)},
                "finish_reason": "stop" if number == generation.tokens else None,
            }
        ],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def complete_answer(generation: Generation) -> dict[str, object]:
    """Return the chat completion with all tokens."""
    text = "".join(token_text(n) for n in range(1, generation.tokens + 1))
    return {
        "id": f"chatcmpl-{generation.request_id}",
        "object": "chat.completion",
        "created": int(generation.arrived),
        "model": generation.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": generation.prompt // 4,
            "completion_tokens": generation.tokens,
            "total_tokens": generation.prompt // 4 + generation.tokens,
        },
    }
