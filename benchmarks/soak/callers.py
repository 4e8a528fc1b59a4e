"""Callers of the soak test of forwarding routers, and records of their answers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from benchmarks.hosted import (
    HostedFleet,
    model_headers,
    plain_headers,
    resuming_headers,
    stream_events,
)
from benchmarks.soak import promises
from benchmarks.soak.connections import CallerConnection
from benchmarks.soak.promises import Arrival, CallerRecord, CrashRecord, Disturbances

if TYPE_CHECKING:
    import random

    from benchmarks.hosted import CallAnswer, StreamEvent
    from benchmarks.soak.changes import Configurations

#: Seconds that a caller waits for an answer; above the timeouts of all routes.
ANSWER_TIMEOUT = 12.0
#: Seconds to open a connection.
CONNECT_TIMEOUT = 1.0
#: Probability that the caller of a stream disconnects early, and seconds after which
#: it does so at most.
CANCELLATION_PROBABILITY = 0.1
MAX_CANCELLATION_DELAY = 0.2
#: Probability that a caller keeps its connection idle after an answer, the seconds for
#: which it does so at most, and the fraction of the idle timeout after which it does
#: not use the connection again.
IDLE_PROBABILITY = 0.01
MAX_IDLE_DURATION = 4.0
MAX_IDLE_FRACTION = 0.8
#: Most times that the caller of a stream resumes it, and most seconds before each.
MAX_RETURNS = 3
MAX_RETURN_DELAY = 2.0
#: Probability that a caller waits before it resumes a stream.
RETURN_DELAY_PROBABILITY = 0.3
#: Seconds for which a router may work on requests of each service at least: the time
#: that the caller states, or the least timeout that a configuration sets.
TIME_LIMITS = {"model": 4.0, "desk": 2.5}


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: its route, its service and whether it may run only once."""

    path: str
    service: str
    once: bool


KINDS = (
    Kind("stream", "model", False),
    Kind("stream-once", "model", True),
    Kind("once", "desk", True),
    Kind("again", "desk", False),
)


@dataclass
class Account:
    """Records of callers and endpoints, and the violations found in them."""

    caller_records: list[CallerRecord] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    left: dict[str, float] = field(default_factory=dict)
    disturbances: Disturbances = field(default_factory=Disturbances)
    #: Routers, endpoints and services that did not work properly; see
    #: `promises.find_broken_answers`.
    unsound: Disturbances = field(default_factory=Disturbances)
    #: Time and kind of each fault and change.
    changes: list[tuple[float, str]] = field(default_factory=list)
    #: Connections kept idle, by what became of them.
    idle_ends: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    crash_records: list[CrashRecord] = field(default_factory=list)
    #: Streams resumed by callers, by the status of the answer.
    resumptions: Counter[int] = field(default_factory=Counter)

    @property
    def whole(self) -> int:
        """Return the number of complete answers."""
        return sum(item.whole and item.status == 200 for item in self.caller_records)


class Callers:
    """Callers that send one request after the other to any router.

    Parameters
    ----------
    fleet : HostedFleet
        The fleet.
    rng : random.Random
        Source of all random choices.
    account : Account
        Receives the records.
    configurations : Configurations
        Tell the idle timeout that is active.
    """

    def __init__(
        self,
        fleet: HostedFleet,
        rng: random.Random,
        account: Account,
        configurations: Configurations,
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.account = account
        self.configurations = configurations
        self.requests = 0
        self.stopped = False

    async def caller(self) -> None:
        """Send requests one after the other, on one connection while it is open."""
        connection = None
        router = ""
        while not self.stopped:
            if connection is None:
                router = self.rng.choice(sorted(self.fleet.routers))
                connection = await self.connect(router)
                if connection is None:
                    continue
            await self.request(connection, router)
            reusable = connection.usable()
            if reusable and self.rng.random() < IDLE_PROBABILITY:
                reusable = await self.stay_idle(connection, router)
            if not reusable:
                connection.close()
                connection = None

    async def stay_idle(self, connection: CallerConnection, router: str) -> bool:
        """Keep a connection idle for a while; return whether it may be used again."""
        await asyncio.sleep(self.rng.uniform(0, MAX_IDLE_DURATION))
        now = time.time()
        allowed = self.configurations.least_idle_timeout(now)
        if now - connection.idle_since > MAX_IDLE_FRACTION * allowed:
            self.account.idle_ends["not reused"] += 1
            return False
        is_open = connection.is_open()
        calm = self.account.disturbances.is_undisturbed(
            router, connection.idle_since, now
        )
        if is_open:
            self.account.idle_ends["reused"] += 1
        else:
            self.account.idle_ends["closed early" if calm else "router ended"] += 1
        return is_open

    async def connect(self, router: str) -> CallerConnection | None:
        """Return a connection to a router, or None if it can't be opened."""
        port = self.fleet.ports[router][0]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                return CallerConnection(
                    *await asyncio.open_connection("127.0.0.1", port)
                )
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            return None

    async def request(self, connection: CallerConnection, router: str) -> None:
        """Send one request and record its answer."""
        kind = self.rng.choice(KINDS)
        self.requests += 1
        request = f"q-{self.requests}"
        events = self.rng.randint(1, 20)
        streamed = kind.service == "model"
        headers = model_headers(request, events) if streamed else plain_headers(request)
        leaves = streamed and self.rng.random() < CANCELLATION_PROBABILITY
        limit = (
            self.rng.uniform(0, MAX_CANCELLATION_DELAY) if leaves else ANSWER_TIMEOUT
        )
        sent_at = time.time()
        answer = None
        try:
            async with asyncio.timeout(limit):
                answer = await connection.ask(f"/{kind.path}/x", headers)
        except TimeoutError:
            connection.close()
        except (ConnectionError, h11.ProtocolError):
            answer = None
        now = time.time()
        gone = now if answer is None and leaves else 0.0
        unanswered = answer is not None and not answer.status
        crossed = unanswered and await connection.crossed()
        begun = stream_events(answer.body) if answer and kind.path == "stream" else []
        self.account.caller_records.append(
            CallerRecord(
                request,
                kind.service,
                router,
                kind.once,
                sent_at,
                now,
                answer.status if answer else 0,
                bool(answer and answer.complete),
                _fault(answer, request, events if streamed else 0),
                gone,
                kind.path,
                TIME_LIMITS[kind.service],
                crossed,
            )
        )
        if begun and not answer.complete:
            await self.resume_repeatedly(request, begun, events)

    async def resume_repeatedly(
        self, request: str, begun: list[StreamEvent], events: int
    ) -> None:
        """Resume an interrupted stream until it is whole, or a few times."""
        made = list(begun)
        for _ in range(MAX_RETURNS):
            if self.rng.random() < RETURN_DELAY_PROBABILITY:
                await asyncio.sleep(self.rng.uniform(0, MAX_RETURN_DELAY))
            answer = await self.resume(request, made, events)
            if answer is None:
                continue
            made += stream_events(answer.body)
            if answer.complete and answer.status == HTTPStatus.OK:
                return

    async def resume(
        self, request: str, begun: list[StreamEvent], events: int
    ) -> CallAnswer | None:
        """Resume an interrupted stream at any router and return the answer, if any."""
        router = self.rng.choice(sorted(self.fleet.routers))
        connection = await self.connect(router)
        if connection is None:
            return None
        self.requests += 1
        again = f"q-{self.requests}"
        headers = resuming_headers(again, request, begun[-1].number, events)
        sent_at = time.time()
        answer = None
        with contextlib.suppress(ConnectionError, h11.ProtocolError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT):
                answer = await connection.ask("/stream/x", headers)
        now = time.time()
        status = answer.status if answer else 0
        crossed = answer is not None and not status and await connection.crossed()
        connection.close()
        self.account.resumptions[status] += 1
        self.account.caller_records.append(
            CallerRecord(
                again,
                "model",
                router,
                False,
                sent_at,
                now,
                status,
                bool(answer and answer.complete),
                _fault(answer, again, events, begun),
                route="stream",
                time_limit=TIME_LIMITS["model"],
                crossed=crossed,
            )
        )
        return answer

    async def probe(self, router: str, path: str) -> int:
        """Return the status of a plain request to a router; 0 for no answer."""
        connection = await self.connect(router)
        if connection is None:
            return 0
        self.requests += 1
        headers = plain_headers(f"probe-{self.requests}")
        answer = None
        with contextlib.suppress(ConnectionError, h11.ProtocolError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT):
                answer = await connection.ask(path, headers)
        connection.close()
        return answer.status if answer is not None else 0


def _fault(
    answer: CallAnswer | None,
    request: str,
    events: int,
    begun: list[StreamEvent] | None = None,
) -> str:
    """Return the error of an answer, empty if it is correct.

    `begun` are the events that its caller received before it resumed the stream.
    """
    if answer is None:
        return ""
    whole = answer.complete and answer.status == HTTPStatus.OK
    made = [*(begun or ()), *stream_events(answer.body)] if events else []
    error = promises.find_stream_error(made, events, whole)
    if error or not whole:
        return error
    if answer.headers.get("server-signature") != "stand-in":
        return "a success without the endpoint's signature"
    if not events and answer.body != f"answer to {request}".encode():
        return f"another answer: {answer.body[:80]!r}"
    return ""
