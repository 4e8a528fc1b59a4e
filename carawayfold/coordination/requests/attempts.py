"""One attempt at one endpoint: sends the request and forwards or buffers the answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.requests.replacement import ReplacementSearch
from carawayfold.coordination.requests.retries import AttemptEnd
from carawayfold.protocol.events import NumberedEvents
from carawayfold.state.routes import RouteKind
from carawayfold.transport.client import ExchangeError, Phase
from carawayfold.transport.keep_alive import IDLE_TIMEOUT

if TYPE_CHECKING:
    from carawayfold.coordination.requests.forwarding import ForwardedCall, Forwarder
    from carawayfold.coordination.scheduling.offers import BlockReason
    from carawayfold.protocol.exchanges import ResponseFields
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId
    from carawayfold.transport.client import Connection, Head

#: Seconds for connecting to an endpoint. A round trip takes a few milliseconds, and a
#: lost SYN is retransmitted only after one second.
CONNECT_TIMEOUT = 0.25
#: Seconds for which a connection may have been idle to be reused for a request that
#: must not run twice. If the endpoint closes an idle connection at the same moment, it
#: stays unknown whether the request ran.
MAX_IDLE_DURATION = 1.0
#: Seconds between checks whether the endpoint has restarted or fallen silent.
LIVENESS_CHECK_INTERVAL = 0.25
#: Seconds after the start of an attempt that replaces one at a silent endpoint at which
#: the latter ends. An endpoint that is full says so at once, and no request may run at
#: two endpoints for long.
HANDOVER_DURATION = 0.25
#: Bytes of an answer that are buffered until it is complete, so that a truncated one
#: does not reach the caller. Longer answers are forwarded as they arrive, if signed.
MAX_BUFFERED_BYTES = 262144
#: Least HTTP status that counts as a failure of the endpoint.
MIN_ERROR_STATUS = 500
#: HTTP statuses of a successful answer.
SUCCESS_STATUSES = range(200, 300)


class AttemptRequest(msgspec.Struct, frozen=True):
    """A request and the endpoint it is sent to.

    Attributes
    ----------
    call : ForwardedCall
        The request.
    endpoint : Endpoint
        Where it is sent.
    call_id : CallId
        Identifies the grant to the scheduler.
    copy_source : Endpoint or None
        Endpoint from which `endpoint` copies the cached beginning of the prompt; None
        for no copy.
    """

    call: ForwardedCall
    endpoint: Endpoint
    call_id: CallId
    copy_source: Endpoint | None = None


class Attempt:
    """One attempt to have a request answered by one endpoint.

    Parameters
    ----------
    forwarder : Forwarder
        Connections, and the handlers of answers.
    request : AttemptRequest
        What to send, and the endpoint.

    Attributes
    ----------
    reason : str
        Why the attempt failed.
    started : float
        Loop time at which it started.
    first_event_delay : float or None
        Seconds from its start to its first complete event, if one was received.
    suspend_endpoint : bool
        Whether the endpoint crashed or fell silent during the attempt.
    forwarding_body : bool
        Whether the body is forwarded as it arrives, since it exceeds the buffer.
    stream_recorded : bool
        Whether it is recorded where the stream began, or goes on.
    stopped : bool
        Whether this router stopped it because its content was quarantined.
    unusable : bool
        Whether this router ended it because of the bytes of its answer.
    withdrawn : BlockReason or None
        Why this router withdrew it before it was sent; None if it did not.
    has_resumed : bool
        Whether an answer came from its endpoint while it was being replaced.
    yielded : bool
        Whether it ended since the endpoint that it was to replace has gone on.
    """

    def __init__(self, forwarder: Forwarder, request: AttemptRequest) -> None:
        self.forwarder = forwarder
        self.call = request.call
        self.endpoint = request.endpoint
        self.call_id = request.call_id
        self.copy_source = request.copy_source
        self.loop = forwarder.loop
        self.connection: Connection | None = None
        self.answer_head: ResponseFields | None = None
        self.body: list[bytes] = []
        self.body_size = 0
        self.events: NumberedEvents | None = None
        self.forwarding_body = False
        self.reason = ""
        self.exchange = None
        self.started = self.loop.time()
        self.first_event_delay: float | None = None
        self.suspend_endpoint = False
        self.stopped = False
        self.unusable = False
        self.stream_recorded = False
        self.withdrawn: BlockReason | None = None
        self.has_resumed = False
        self.yielded = False
        self.handover: asyncio.TimerHandle | None = None

    @property
    def sent(self) -> bool:
        """Return whether the endpoint may have received the request."""
        return self.exchange is not None and self.exchange.phase is not Phase.CONNECTING

    @property
    def is_error(self) -> bool:
        """Return whether the status of its answer is a failure of the endpoint."""
        head = self.answer_head
        return head is not None and head.status >= MIN_ERROR_STATUS

    @property
    def idle_most(self) -> float:
        """Return the seconds for which a connection may have been idle for it."""
        return IDLE_TIMEOUT if self.call.route.repeatable else MAX_IDLE_DURATION

    @property
    def kept(self) -> int:
        """Return the milliseconds for which its connection is kept; 0 if closed."""
        if self.connection is None:
            return 0
        seconds = self.forwarder.http.kept_for(self.connection, self.idle_most)
        return int(seconds * 1000)

    async def run(self) -> AttemptEnd:
        """Send the request, forward the answer and return how the attempt ended.

        An attempt that was not replaced after all is continued by a further call.
        """
        if self.connection is None:
            self._start()
        self.suspend_endpoint = self.has_resumed = False
        try:
            await self._await_end()
        except ExchangeError as error:
            self.reason = str(error)
            if self.withdrawn is not None:
                return AttemptEnd.WITHDRAWN
            if self.yielded:
                return AttemptEnd.YIELDED
            if error.phase is Phase.CONNECTING:
                return AttemptEnd.UNREACHABLE
            self.suspend_endpoint = not (self.stopped or self.unusable)
            return self._exchange_failed()
        except TimeoutError:
            self.reason = "the endpoint is silent"
            if self.forwarder.http.reuse_longer:
                # The cause may affect all connections: each would delay a request.
                self.forwarder.http.drop_idle(self.endpoint.address)
            self.suspend_endpoint = self.sent
            return AttemptEnd.SILENT if self.sent else AttemptEnd.UNREACHABLE
        return self._complete()

    def stop(self) -> None:
        """Stop the attempt because its content was quarantined."""
        if self.connection is not None and not self.exchange.done.done():
            self.stopped = True
            self.forwarder.http.fail(self.connection, "its content is refused")

    def withdraw(self, block_reason: BlockReason) -> None:
        """Stop the attempt unless the endpoint may have received the request."""
        if not self.sent and not self.exchange.done.done():
            self.withdrawn = block_reason
            self.forwarder.http.fail(
                self.connection, f"its endpoint: {block_reason.value}"
            )

    def _start(self) -> None:
        call = self.call
        incoming = call.incoming
        resume_after = call.resume_after
        headers = self.forwarder.dialect.request_headers(
            call.parsed,
            self.endpoint,
            call.organisation,
            call.deadline - self.loop.time(),
            resume_after,
            self.copy_source,
        )
        self.connection = self.forwarder.http.start(
            self.endpoint.address,
            incoming.method.decode("ascii"),
            incoming.target.decode("latin-1"),
            headers,
            incoming.body,
            self._on_head,
            self._on_data,
            is_own_response=lambda head: self.forwarder.dialect.matches_request(
                call.parsed, head
            ),
            idle_most=self.idle_most,
            is_attempt=True,
        )
        self.exchange = self.connection.exchange
        if call.replaced is not None:
            self.handover = self.loop.call_later(HANDOVER_DURATION, self._replace)

    def _replace(self) -> None:
        """End the attempt that this one replaces, once the request has been sent."""
        if self.sent and self.call.replaced is not None:
            self.forwarder.end_replaced(self.call)

    def _displace_replacement(self) -> None:
        """Continue instead of the attempt that was to replace this one."""
        self.has_resumed = True
        replacement = self.call.attempt
        if replacement is not None and not replacement.exchange.done.done():
            replacement.yielded = True
            self.forwarder.http.fail(replacement.connection, "the first one goes on")

    async def _await_end(self) -> None:
        done = self.exchange.done
        finished, _ = await asyncio.wait([done], timeout=CONNECT_TIMEOUT)
        if not finished and self.exchange.phase is Phase.CONNECTING:
            raise TimeoutError
        forwarder = self.forwarder
        with ReplacementSearch(
            lambda: forwarder.find_replacement(self.call), forwarder.give_back
        ) as search:
            while not done.done():
                await asyncio.wait(
                    [done, *search.tasks],
                    timeout=LIVENESS_CHECK_INTERVAL,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                self._check_liveness(search)
        done.result()

    def _check_liveness(self, search: ReplacementSearch) -> None:
        """Raise if the endpoint has restarted, or is silent and can be replaced.

        A silent endpoint may go on, so its attempt ends only once the request has the
        grant of another one.

        Raises
        ------
        ExchangeError
            The endpoint has restarted since the attempt began.
        TimeoutError
            The endpoint is silent, and `ForwardedCall.replacement` is set.
        """
        if self.exchange.done.done():
            return
        if self.forwarder.coordinator.is_superseded(self.endpoint):
            raise ExchangeError(self.exchange.phase, "the endpoint has started again")
        if not self.call.route.repeatable:
            return
        now = self.loop.time()
        silent = self.forwarder.endpoint_activity.is_silent(
            self.endpoint.id, self.started, now
        )
        if self.connection.paused or not silent:
            search.abandon()
            return
        granted = search.poll(now)
        if granted is not None and self.forwarder.accept_replacement(
            self.call, granted
        ):
            raise TimeoutError

    def close(self) -> None:
        """Cancel the exchange if it is still in flight."""
        if self.handover is not None:
            self.handover.cancel()
        if self.connection is None:
            return
        if self.connection.paused:
            # Its endpoint was not silent: nothing was read from it.
            self._note_activity()
        done = self.exchange.done
        if not done.done():
            self.forwarder.http.cancel(self.connection)
        elif not done.cancelled():
            # Retrieve the result of an exchange that ended while the attempt was
            # cancelled: asyncio warns of exceptions never retrieved.
            done.exception()

    # Receiving the answer

    def _on_head(self, head: Head) -> None:
        self._note_activity()
        self.answer_head = self.forwarder.dialect.read_answer(head)
        self.forwarder.notices.handle_response(
            self.endpoint, self.answer_head, self.started
        )
        self.forwarder.coordinator.record_load(self.call_id, self.answer_head.load)
        if self.answer_head.rest:
            self.forwarder.withdraw_unusable()
        if self.call.replaced is not None and not self.answer_head.not_run:
            if self.call.replaced is self:
                self._displace_replacement()
            else:
                self._replace()
        if self._is_stream():
            self.events = NumberedEvents(self.call.resume_after)
            if not self.answer_head.signed:
                self._fail("an unsigned stream")

    def _is_stream(self) -> bool:
        """Return whether the answer is a stream of a request that runs."""
        answer_head = self.answer_head
        if answer_head.not_run or self.call.route.kind is not RouteKind.STREAMING:
            return False
        return answer_head.status in SUCCESS_STATUSES

    def _fail(self, reason: str) -> None:
        """End the exchange because of an answer that cannot be used."""
        self.unusable = True
        self.forwarder.http.fail(self.connection, reason)

    def _note_activity(self) -> None:
        self.forwarder.endpoint_activity.record_bytes(
            self.endpoint.id, self.loop.time()
        )

    def _on_data(self, data: bytes) -> None:
        if self.call.replaced is self and not self.has_resumed:
            self._displace_replacement()
        if self.events is not None:
            self._forward_events(data)
            return
        self._note_activity()
        if self.forwarding_body:
            self._send(data)
            return
        self.body.append(data)
        self.body_size += len(data)
        if self.body_size > MAX_BUFFERED_BYTES:
            self._begin_forwarding_body()

    def _send(self, data: bytes) -> None:
        """Forward a part of the answer; read no further while the caller is slower."""
        self.call.incoming.send(data)
        if self.call.incoming.call_when_drained(self._resume_reading):
            self.forwarder.http.pause(self.connection)

    def _resume_reading(self) -> None:
        if self.exchange.done.done():
            # A later request may have the connection.
            return
        self._note_activity()
        self.forwarder.http.resume(self.connection)

    def _begin_forwarding_body(self) -> None:
        if not self._is_final():
            self._fail("a long answer that is not forwarded")
            return
        self.forwarding_body = True
        self.forwarder.begin(self.call, self.answer_head)
        self.call.incoming.send(b"".join(self.body))
        self.body.clear()

    def _forward_events(self, data: bytes) -> None:
        last = self.events.last
        try:
            complete_events = self.events.feed(data)
        except ValueError as error:
            self._fail(str(error))
            return
        if self.events.last != last:
            # Other bytes show no progress of a stream, and may come without end.
            self._note_activity()
        if not complete_events:
            return
        now = self.loop.time()
        waited = now - self.started
        if self.first_event_delay is None:
            self.first_event_delay = waited
        self.forwarder.coordinator.begun(self.call_id, waited)
        if not self.stream_recorded:
            self.stream_recorded = True
            self.forwarder.record_begun(self.call, self.endpoint)
        if not self.call.attempts.answer_started:
            self.forwarder.begin(self.call, self.answer_head)
        self._send(complete_events)
        self.call.resume_after = self.events.last
        self.call.last_event_at = now

    def _is_final(self) -> bool:
        """Return whether the answer is sent to the caller and causes no retry."""
        answer_head = self.answer_head
        if answer_head.not_run or self.call.attempts.answer_started:
            return False
        return answer_head.signed

    def _complete(self) -> AttemptEnd:
        answer_head = self.answer_head
        if self.events is not None:
            return self._complete_stream()
        if self.forwarding_body:
            self.call.incoming.end()
            return AttemptEnd.COMPLETE
        if answer_head.not_run:
            self.reason = f"not run, status {answer_head.status}"
            return AttemptEnd.REJECTED
        if not answer_head.signed:
            self.reason = f"unsigned answer, status {answer_head.status}"
            return AttemptEnd.BROKEN
        if self.is_error and self._may_retry_error():
            self.reason = f"status {answer_head.status}"
            return AttemptEnd.ERROR_ANSWER
        if not self.is_error:
            waited = self.loop.time() - self.started
            self.forwarder.coordinator.begun(self.call_id, waited)
        if self.call.attempts.answer_started:
            # The resumption of a stream failed: the caller has an incomplete answer.
            self.reason = f"status {answer_head.status} to a resumption"
            return AttemptEnd.BROKEN
        self.forwarder.answer(self.call, answer_head, b"".join(self.body))
        return AttemptEnd.COMPLETE

    def _may_retry_error(self) -> bool:
        call = self.call
        may_have_run = call.attempts.may_have_run + 1
        return call.route.repeatable and may_have_run < call.route.attempts

    def _complete_stream(self) -> AttemptEnd:
        if self.events.rest:
            self.reason = "the stream ended within an event"
            return AttemptEnd.BROKEN
        if not self.answer_head.signed:
            self.reason = "an unsigned stream"
            return AttemptEnd.BROKEN
        if not self.call.attempts.answer_started:
            self.forwarder.begin(self.call, self.answer_head)
        withheld = self.events.take_withheld()
        if withheld:
            self.call.incoming.send(withheld)
        self.call.incoming.end()
        return AttemptEnd.COMPLETE

    def _exchange_failed(self) -> AttemptEnd:
        if self.answer_head is not None and self.answer_head.not_run:
            return AttemptEnd.REJECTED
        return AttemptEnd.BROKEN
