"""Sends a request to one endpoint and returns or streams its answer to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from carawayfold.errors import ErrorKind, Ran, Refusal
from carawayfold.protocol.sse import EventScanner
from carawayfold.transport.client import ExchangeError, Phase

if TYPE_CHECKING:
    from circuits.web.wrappers import Response

    from carawayfold.protocol.callers import CallerRequest
    from carawayfold.settings import Address, Settings
    from carawayfold.transport.client import Connection, Head, HttpClient
    from carawayfold.transport.server import EdgeServer

#: Bytes of an answer that are buffered before it is streamed to the caller.
MAX_BUFFERED_BYTES = 1 << 20
#: Resumptions of one interrupted stream.
MAX_RESUMES = 3
#: HTTP statuses with which an endpoint states that it did not run a request.
DECLINED_STATUSES = (503,)
#: Header with which an endpoint states that its stream can be resumed.
RESUME_HEADER = "x-stream-resume"
#: Headers of an endpoint's answer that are sent to the caller.
FORWARDED_HEADERS = ("content-type", "content-disposition", "etag", "location")
#: Service units of one prompt byte; one token is about four bytes.
PROMPT_COST = 0.25
#: Service units of one second of a request that is not a chat completion.
SECOND_COST = 1000.0


class CompleteAnswer(msgspec.Struct, frozen=True):
    """An answer that was received completely.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers to send to the caller, by lower-case name.
    body : bytes
        The body; empty if it was already sent.
    already_sent : bool
        Whether the answer was already streamed to the caller.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    already_sent: bool = False


class Relay:
    """One attempt to have a request answered by one endpoint.

    Parameters
    ----------
    http : HttpClient
        Connections to endpoints.
    edge : EdgeServer
        Connections of callers.
    settings : Settings
        Source of `connect_timeout` and `silence`, both in seconds.
    request : CallerRequest
        The request to send.
    response : Response
        The answer to the caller.
    address : Address
        Address of the endpoint.
    at_most_once : bool
        Whether the request may run at most once.

    Attributes
    ----------
    answer_started : bool
        Whether a part of the answer was sent to the caller.
    first_byte_at : float
        Loop time at which the first byte of the body was received; 0 before.
    started_at : float
        Loop time at which the attempt started.
    failure_reason : str
        Why the answer is unusable; empty if it is usable.
    """

    def __init__(
        self,
        http: HttpClient,
        edge: EdgeServer,
        settings: Settings,
        request: CallerRequest,
        response: Response,
        address: Address,
        at_most_once: bool,
    ) -> None:
        self.at_most_once = at_most_once
        self.http = http
        self.edge = edge
        self.settings = settings
        self.request = request
        self.response = response
        self.address = address
        self.scanner = EventScanner() if request.streamed else None
        self.head: Head | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.answer_started = False
        self.first_byte_at = 0.0
        self.failure_reason: str = ""
        self.connection: Connection | None = None
        self.started_at = asyncio.get_running_loop().time()

    async def run(self) -> CompleteAnswer:
        """Send the request and return its answer, resuming an interrupted stream.

        Raises
        ------
        ExchangeError
            The endpoint failed before any of the answer was sent to the caller.
        Refusal
            ``answer-broken``: the answer was interrupted after a part of it was sent
            to the caller, or it belongs to another request.
        """
        request = self.request
        headers = [*request.headers, ("X-Request-Id", request.request_id)]
        await self._exchange(request.method, request.path, headers, request.body)
        resumes = 0
        while self.scanner and self.answer_started and not self.scanner.finished:
            if resumes == MAX_RESUMES or not self._can_resume():
                raise self._broken_refusal("the stream ended before its closing event")
            resumes += 1
            self.scanner.discard_incomplete()
            path = f"/v1/streams/{request.request_id}?from={self.scanner.events}"
            await self._exchange("GET", path, headers[-1:], b"")
        return self._complete_answer()

    def _can_resume(self) -> bool:
        return not self.failure_reason and RESUME_HEADER in self.head.headers

    def _complete_answer(self) -> CompleteAnswer:
        if self.failure_reason:
            raise self._broken_refusal(self.failure_reason)
        if self.scanner and self.head.status == 200 and not self.scanner.finished:
            raise self._broken_refusal("the stream ended before its closing event")
        headers = {
            name: self.head.headers[name]
            for name in FORWARDED_HEADERS
            if name in self.head.headers
        }
        body = b"".join(self.parts)
        return CompleteAnswer(self.head.status, headers, body, self.answer_started)

    def _broken_refusal(self, detail: str) -> Refusal:
        return Refusal(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.UNKNOWN)

    async def _exchange(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.connection = self.http.start(
            self.address,
            method,
            path,
            headers,
            body,
            self._on_head,
            self._on_data,
            fresh=self.at_most_once,
        )
        exchange = self.connection.exchange
        try:
            await self._await_exchange(exchange.done)
        except ExchangeError as error:
            if not self.answer_started:
                raise
            self.failure_reason = self.failure_reason or (
                "" if self._endpoint_can_resume() else str(error)
            )
        finally:
            if not exchange.done.done() or exchange.done.cancelled():
                self.http.cancel(self.connection)

    def _endpoint_can_resume(self) -> bool:
        return self.scanner is not None and RESUME_HEADER in self.head.headers

    async def _await_exchange(self, done: asyncio.Future[None]) -> None:
        """Wait for `done`; cancel a connection on which no byte arrives in time.

        Raises
        ------
        ExchangeError
            The exchange failed, or the connection was silent for `connect_timeout`
            (before it was established) or `silence` seconds.
        """
        loop = asyncio.get_running_loop()
        connection = self.connection
        exchange = connection.exchange
        while not done.done():
            connecting = not connection.connected
            limit = (
                self.settings.connect_timeout if connecting else self.settings.silence
            )
            silent_for = loop.time() - connection.last_received
            if silent_for >= limit:
                phase = Phase.CONNECTING if connecting else exchange.phase
                self.http.cancel(connection)
                raise ExchangeError(phase, "the endpoint has gone silent")
            await asyncio.wait({done}, timeout=limit - silent_for)
        done.result()

    def _on_head(self, head: Head) -> None:
        if self.head is None:
            self.head = head
        elif head.status != 200:
            self._abort("the endpoint does not resume the stream")
            return
        echoed = head.headers.get("x-request-id")
        if echoed is not None and echoed != self.request.request_id:
            self._abort("the endpoint answered another request")

    def _on_data(self, data: bytes) -> None:
        if self.failure_reason:
            return
        if not self.first_byte_at:
            self.first_byte_at = asyncio.get_running_loop().time()
        if self.scanner is not None and self.head.status == 200:
            self._forward_events(data)
        elif self.answer_started:
            self.size += len(data)
            self.edge.send(self.response, data)
        else:
            self._buffer(data)

    def _forward_events(self, data: bytes) -> None:
        try:
            events = self.scanner.feed(data)
        except ValueError as error:
            self._abort(str(error))
            return
        if not events:
            return
        if not self.answer_started:
            self._start_answer()
        self.edge.send(self.response, events)

    def _buffer(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)
        if self.size <= MAX_BUFFERED_BYTES or self.head.status in DECLINED_STATUSES:
            return
        self._start_answer()
        self.edge.send(self.response, b"".join(self.parts))
        self.parts.clear()

    def _start_answer(self) -> None:
        self.answer_started = True
        self.response.status = self.head.status
        for name in FORWARDED_HEADERS:
            if name in self.head.headers:
                self.response.headers[name.title()] = self.head.headers[name]
        self.edge.begin(self.response)

    def _abort(self, failure_reason: str) -> None:
        """Cancel the exchange of an invalid answer."""
        self.failure_reason = failure_reason
        exchange = self.connection.exchange
        self.http.cancel(self.connection)
        if exchange is not None and not exchange.done.done():
            exchange.done.set_exception(ExchangeError(Phase.ANSWERING, failure_reason))

    def service_received(self) -> float:
        """Return the service units that this attempt has consumed so far."""
        if self.head is None or self.head.status in DECLINED_STATUSES:
            return 0.0
        if not self.request.chat:
            elapsed = asyncio.get_running_loop().time() - self.started_at
            return elapsed * SECOND_COST
        prompt = len(self.request.body) * PROMPT_COST
        if self.scanner is not None:
            return prompt + self.scanner.events
        return prompt + self.size * PROMPT_COST
