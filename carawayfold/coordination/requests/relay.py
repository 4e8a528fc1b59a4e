"""Carrying one answer from an endpoint to its caller."""

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

#: Bytes of an answer kept before it is passed on in pieces.
WHOLE_LIMIT = 1 << 20
#: Times that a broken stream is resumed.
RESUMES = 3
#: Status codes by which an endpoint says that it did not run a request.
DECLINED = (503,)
#: Header by which an engine offers to resume a stream.
RESUME_HEADER = "x-stream-resume"
#: Headers of an endpoint's answer that are passed on.
PASSED_BACK = ("content-type", "content-disposition", "etag", "location")
#: Service units of one prompt byte; a token is about four bytes.
PROMPT_COST = 0.25
#: Service units of one second of an application call.
SECOND_COST = 1000.0


class WholeAnswer(msgspec.Struct, frozen=True):
    """An answer that was received to its end.

    Attributes
    ----------
    passed_on : bool
        Whether the caller already got it in pieces.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    passed_on: bool = False


class Relay:
    """One attempt to have a request answered by one endpoint.

    Parameters
    ----------
    http : HttpClient
        Connections to endpoints.
    edge : EdgeServer
        The caller's side.
    settings : Settings
        Timeouts.
    request : CallerRequest
        The request.
    response : Response
        The caller's answer.
    address : Address
        The endpoint.
    once : bool
        Whether the request may run at most once.

    Attributes
    ----------
    begun : bool
        Whether the caller has received a part of the answer.
    first_at : float
        Loop time of the answer's first byte; 0 before.
    """

    def __init__(
        self,
        http: HttpClient,
        edge: EdgeServer,
        settings: Settings,
        request: CallerRequest,
        response: Response,
        address: Address,
        once: bool,
    ) -> None:
        self.once = once
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
        self.begun = False
        self.first_at = 0.0
        self.fault: str = ""
        self.connection: Connection | None = None
        self.started_at = asyncio.get_running_loop().time()

    async def run(self) -> WholeAnswer:
        """Send the request and carry its answer back.

        Raises
        ------
        ExchangeError
            The endpoint failed before any of the answer reached the caller.
        Refusal
            The answer broke off after the caller had received a part of it, or
            is not one to this request.
        """
        request = self.request
        headers = [*request.headers, ("X-Request-Id", request.request_id)]
        await self._exchange(request.method, request.path, headers, request.body)
        resumes = 0
        while self.scanner and self.begun and not self.scanner.finished:
            if resumes == RESUMES or not self._can_resume():
                raise self._broken("the stream ended before its closing event")
            resumes += 1
            self.scanner.drop_rest()
            path = f"/v1/streams/{request.request_id}?from={self.scanner.events}"
            await self._exchange("GET", path, headers[-1:], b"")
        return self._whole()

    def _can_resume(self) -> bool:
        return not self.fault and RESUME_HEADER in self.head.headers

    def _whole(self) -> WholeAnswer:
        if self.fault:
            raise self._broken(self.fault)
        if self.scanner and self.head.status == 200 and not self.scanner.finished:
            raise self._broken("the stream ended before its closing event")
        headers = {
            name: self.head.headers[name]
            for name in PASSED_BACK
            if name in self.head.headers
        }
        body = b"".join(self.parts)
        return WholeAnswer(self.head.status, headers, body, self.begun)

    def _broken(self, detail: str) -> Refusal:
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
            fresh=self.once,
        )
        exchange = self.connection.exchange
        try:
            await self._watch(exchange.done)
        except ExchangeError as error:
            if not self.begun:
                raise
            self.fault = self.fault or ("" if self._resumable() else str(error))
        finally:
            if not exchange.done.done() or exchange.done.cancelled():
                self.http.cancel(self.connection)

    def _resumable(self) -> bool:
        return self.scanner is not None and RESUME_HEADER in self.head.headers

    async def _watch(self, done: asyncio.Future[None]) -> None:
        """Wait for `done`, giving up on a connection that has gone silent."""
        loop = asyncio.get_running_loop()
        connection = self.connection
        exchange = connection.exchange
        while not done.done():
            connecting = not connection.connected
            limit = (
                self.settings.connect_timeout if connecting else self.settings.silence
            )
            quiet = loop.time() - connection.heard
            if quiet >= limit:
                phase = Phase.CONNECTING if connecting else exchange.phase
                self.http.cancel(connection)
                raise ExchangeError(phase, "the endpoint has gone silent")
            await asyncio.wait({done}, timeout=limit - quiet)
        done.result()

    def _on_head(self, head: Head) -> None:
        if self.head is None:
            self.head = head
        elif head.status != 200:
            self._stop("the endpoint does not resume the stream")
            return
        echoed = head.headers.get("x-request-id")
        if echoed is not None and echoed != self.request.request_id:
            self._stop("the endpoint answered another request")

    def _on_data(self, data: bytes) -> None:
        if self.fault:
            return
        if not self.first_at:
            self.first_at = asyncio.get_running_loop().time()
        if self.scanner is not None and self.head.status == 200:
            self._pass_events(data)
        elif self.begun:
            self.size += len(data)
            self.edge.send(self.response, data)
        else:
            self._collect(data)

    def _pass_events(self, data: bytes) -> None:
        try:
            events = self.scanner.feed(data)
        except ValueError as error:
            self._stop(str(error))
            return
        if not events:
            return
        if not self.begun:
            self._begin()
        self.edge.send(self.response, events)

    def _collect(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)
        if self.size <= WHOLE_LIMIT or self.head.status in DECLINED:
            return
        self._begin()
        self.edge.send(self.response, b"".join(self.parts))
        self.parts.clear()

    def _begin(self) -> None:
        self.begun = True
        self.response.status = self.head.status
        for name in PASSED_BACK:
            if name in self.head.headers:
                self.response.headers[name.title()] = self.head.headers[name]
        self.edge.begin(self.response)

    def _stop(self, fault: str) -> None:
        """Take nothing more of an answer that is wrong."""
        self.fault = fault
        exchange = self.connection.exchange
        self.http.cancel(self.connection)
        if exchange is not None and not exchange.done.done():
            exchange.done.set_exception(ExchangeError(Phase.ANSWERING, fault))

    def service_received(self) -> float:
        """Return the service units that this attempt has used so far."""
        if self.head is None or self.head.status in DECLINED:
            return 0.0
        if not self.request.chat:
            elapsed = asyncio.get_running_loop().time() - self.started_at
            return elapsed * SECOND_COST
        prompt = len(self.request.body) * PROMPT_COST
        if self.scanner is not None:
            return prompt + self.scanner.events
        return prompt + self.size * PROMPT_COST
