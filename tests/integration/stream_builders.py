"""Streams that break off, and that their callers resume at a router of their choice."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from benchmarks.hosted import (
    CallAnswer,
    call,
    model_headers,
    resuming_headers,
    route,
    stream_events,
)

#: Events of each stream, and the one after which endpoints break streams off.
EVENTS = 5
BROKEN_AFTER = 3


def stream_route(name, service, **other):
    """Return a route whose streams are resumed by callers, but not by routers.

    Requests may wait for a slot for long, as streams are begun and resumed at once.
    """
    fields = {"resumable": True, "max_attempts": 1, "target_latency_ms": 2000}
    return route(name, "streaming", service, **fields, **other)


def model_service(name):
    """Return a service of the configuration whose endpoints run a model."""
    engine = {"kv_capacity_tokens": 600_000}
    return {"name": name, "max_connections": 100, "engine": engine}


@dataclass
class Stream:
    """A stream and the answers that its caller received.

    Attributes
    ----------
    deadline_ms : int
        Milliseconds that its caller waits, from each request on.
    """

    name: str
    path: str
    deadline_ms: int = 8000
    answers: list[CallAnswer] = field(default_factory=list)

    @property
    def events(self):
        """Return the events that its caller has."""
        return [x for answer in self.answers for x in stream_events(answer.body)]

    @property
    def versions(self):
        """Return the software versions that made them."""
        return {event.software for event in self.events}

    @property
    def is_joined(self):
        """Return whether runs of two versions made the stream, or its order is wrong.

        Its end must be there if the last answer is a complete success.
        """
        numbers = [event.number for event in self.events]
        last = self.answers[-1]
        count = EVENTS if last.status == 200 and last.complete else len(numbers)
        return len(self.versions) > 1 or numbers != list(range(1, count + 1))

    async def begin(self, fleet, router):
        """Send the request of the stream.

        Prompts share no part, so that no endpoint gets more streams than the others.
        """
        headers = model_headers(self.name, EVENTS)
        await self._send(
            fleet, router, {**headers, "Prompt-Prefix": f"{self.name}:400"}
        )

    async def resume(self, fleet, router):
        """Resume the stream after the events that its caller has."""
        last = len(self.events)
        name = f"{self.name}-{len(self.answers)}"
        await self._send(fleet, router, resuming_headers(name, self.name, last, EVENTS))

    async def _send(self, fleet, router, headers):
        answer = CallAnswer()
        self.answers.append(answer)
        headers = {**headers, "Request-Deadline": str(self.deadline_ms)}
        port = fleet.ports[router][0]
        await call(port, "POST", self.path, b"body", headers, answer)


async def begin_broken(fleet, endpoints, routers, streams):
    """Begin streams at routers in turn, and return those that broke off midway."""
    for name in endpoints:
        fleet.set_faults(name, break_after=BROKEN_AFTER)
    calls = [
        stream.begin(fleet, routers[number % len(routers)])
        for number, stream in enumerate(streams)
    ]
    await asyncio.gather(*calls)
    for name in endpoints:
        fleet.set_faults(name)
    return [x for x in streams if x.events and not x.answers[-1].complete]
