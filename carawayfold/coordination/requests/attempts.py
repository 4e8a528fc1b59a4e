"""One attempt at one endpoint: what is sent, and what becomes of its answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.requests.repeats import AttemptEnd
from carawayfold.protocol.events import NumberedEvents
from carawayfold.state.routes import RouteKind
from carawayfold.transport.client import ExchangeError, Phase

if TYPE_CHECKING:
    from carawayfold.coordination.requests.forwarding import ForwardedCall, Forwarder
    from carawayfold.coordination.scheduling.offers import Bar
    from carawayfold.protocol.exchanges import Answered
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId
    from carawayfold.transport.client import Connection, Head

#: Seconds for a connection to an endpoint; the way takes a few milliseconds, and a
#: lost opening packet is sent again only after a second.
CONNECT_TIMEOUT = 0.25
#: Seconds for which an idle connection is used again for what may run only once: an
#: endpoint that closes it meanwhile would leave it unknown whether that ran.
IDLE_ONCE = 1.0
#: Seconds between looks at whether the endpoint has fallen silent.
WATCH_INTERVAL = 0.25
#: Most bytes of an answer that is kept until it is whole, so that a broken one is
#: not passed on; a longer one is passed on as it comes.
KEPT_WHOLE = 262144
#: Least status with which an endpoint says that it failed.
FIRST_FAILURE = 500
#: Statuses of a success.
SUCCESS = range(200, 300)


class AttemptRequest(msgspec.Struct, frozen=True):
    """What to send where."""

    call: ForwardedCall
    endpoint: Endpoint
    granted: CallId
    donor: Endpoint | None = None


class Attempt:
    """One attempt.

    Attributes
    ----------
    sent : bool
        Whether the endpoint may have got the request.
    reason : str
        Why it failed.
    first_event : float or None
        Seconds from its start to its first whole event, if one came.
    lost : bool
        Whether its endpoint went away under it.
    stopped : bool
        Whether it was ended here, since its content is refused from now on.
    withdrawn : Bar or None
        Why it was ended here before it was sent, if it was.
    """

    def __init__(self, forwarder: Forwarder, request: AttemptRequest) -> None:
        self.forwarder = forwarder
        self.call = request.call
        self.endpoint = request.endpoint
        self.granted = request.granted
        self.donor = request.donor
        self.loop = forwarder.loop
        self.connection: Connection | None = None
        self.answered: Answered | None = None
        self.body: list[bytes] = []
        self.body_size = 0
        self.events: NumberedEvents | None = None
        self.passing_on = False
        self.reason = ""
        self.exchange = None
        self.started = self.loop.time()
        self.first_event: float | None = None
        self.lost = False
        self.stopped = False
        self.withdrawn: Bar | None = None

    @property
    def sent(self) -> bool:
        """Return whether the endpoint may have got the request."""
        return self.exchange is not None and self.exchange.phase is not Phase.CONNECTING

    async def run(self) -> AttemptEnd:
        """Send the request and carry its answer; return how that ended."""
        self._start()
        try:
            await self._await_end()
        except ExchangeError as error:
            self.reason = str(error)
            if self.withdrawn is not None:
                return AttemptEnd.WITHDRAWN
            if error.phase is Phase.CONNECTING:
                return AttemptEnd.UNREACHABLE
            self.lost = not self.stopped
            return self._broken()
        except TimeoutError:
            self.reason = "the endpoint is silent"
            self.lost = self.sent
            return AttemptEnd.SILENT if self.sent else AttemptEnd.UNREACHABLE
        return self._complete()

    def stop(self) -> None:
        """End it before it ends its endpoint as well."""
        if self.connection is not None and not self.exchange.done.done():
            self.stopped = True
            self.forwarder.http.fail(self.connection, "its content is refused")

    def withdraw(self, bar: Bar) -> None:
        """End it unless its endpoint may have got the request."""
        if not self.sent and not self.exchange.done.done():
            self.withdrawn = bar
            self.forwarder.http.fail(self.connection, f"its endpoint: {bar.value}")

    def _start(self) -> None:
        call = self.call
        incoming = call.incoming
        resume_after = call.resume_after
        headers = self.forwarder.dialect.request_headers(
            call.asked,
            self.endpoint,
            call.organisation,
            call.ends_at - self.loop.time(),
            resume_after,
            self.donor,
        )
        options = {} if call.route.repeatable else {"idle_most": IDLE_ONCE}
        self.connection = self.forwarder.http.start(
            self.endpoint.address,
            incoming.method.decode("ascii"),
            incoming.target.decode("latin-1"),
            headers,
            incoming.body,
            self._on_head,
            self._on_data,
            belongs=lambda head: self.forwarder.dialect.answers(call.asked, head),
            **options,
        )
        self.exchange = self.connection.exchange

    async def _await_end(self) -> None:
        done = self.exchange.done
        finished, _ = await asyncio.wait([done], timeout=CONNECT_TIMEOUT)
        if not finished and self.exchange.phase is Phase.CONNECTING:
            raise TimeoutError
        while not finished:
            finished, _ = await asyncio.wait([done], timeout=WATCH_INTERVAL)
            self._watch()
        done.result()

    def _watch(self) -> None:
        """Leave an endpoint that is no more, or is silent if others may go on."""
        if self.exchange.done.done():
            return
        if self.forwarder.desk.is_over(self.endpoint):
            raise ExchangeError(self.exchange.phase, "the endpoint has started again")
        if not self.call.route.repeatable:
            return
        now = self.loop.time()
        if self.forwarder.pulse.is_silent(self.endpoint.id, self.started, now):
            raise TimeoutError

    def close(self) -> None:
        """Give up what is still under way."""
        if self.connection is None:
            return
        done = self.exchange.done
        if not done.done():
            self.forwarder.http.cancel(self.connection)
        elif not done.cancelled():
            # An end that came while this attempt was given up has been seen.
            done.exception()

    # The answer

    def _on_head(self, head: Head) -> None:
        self._heard()
        self.answered = self.forwarder.dialect.read_answer(head)
        self.forwarder.notices.heard(self.endpoint, self.answered, self.started)
        if self.answered.rest:
            self.forwarder.withdraw_barred()
        streaming = self.call.route.kind is RouteKind.STREAMING
        if streaming and self.answered.status in SUCCESS:
            self.events = NumberedEvents(self.call.resume_after)

    def _heard(self) -> None:
        self.forwarder.pulse.beat(self.endpoint.id, self.loop.time())

    def _on_data(self, data: bytes) -> None:
        self._heard()
        if self.events is not None:
            self._pass_events(data)
            return
        if self.passing_on:
            self.call.incoming.send(data)
            return
        self.body.append(data)
        self.body_size += len(data)
        if self.body_size > KEPT_WHOLE and self._is_final():
            self.passing_on = True
            self.forwarder.begin(self.call, self.answered)
            self.call.incoming.send(b"".join(self.body))

    def _pass_events(self, data: bytes) -> None:
        whole = self.events.feed(data)
        if not whole:
            return
        waited = self.loop.time() - self.started
        if self.first_event is None:
            self.first_event = waited
        self.forwarder.desk.begun(self.granted, waited)
        if not self.call.attempts.answered:
            self.forwarder.begin(self.call, self.answered)
        self.call.incoming.send(whole)
        self.call.resume_after = self.events.last

    def _is_final(self) -> bool:
        """Return whether the answer is the caller's, and not a cause to retry."""
        answered = self.answered
        if answered.not_run:
            return False
        return answered.signed

    def _complete(self) -> AttemptEnd:
        answered = self.answered
        if self.events is not None:
            return self._complete_stream()
        if self.passing_on:
            self.call.incoming.end()
            return AttemptEnd.WHOLE
        if answered.not_run:
            self.reason = f"not run, status {answered.status}"
            return AttemptEnd.REJECTED
        if not answered.signed:
            self.reason = f"unsigned answer, status {answered.status}"
            return AttemptEnd.BROKEN
        if answered.status >= FIRST_FAILURE and self._worth_repeating():
            self.reason = f"status {answered.status}"
            return AttemptEnd.ERROR_ANSWER
        self.forwarder.desk.begun(self.granted, self.loop.time() - self.started)
        if self.call.attempts.answered:
            # A resumed stream that fails: what the caller has is not whole.
            self.reason = f"status {answered.status} to a resumption"
            return AttemptEnd.BROKEN
        self.forwarder.answer(self.call, answered, b"".join(self.body))
        return AttemptEnd.WHOLE

    def _worth_repeating(self) -> bool:
        call = self.call
        may_have_run = call.attempts.may_have_run + 1
        return call.route.repeatable and may_have_run < call.route.attempts

    def _complete_stream(self) -> AttemptEnd:
        if self.events.rest:
            self.reason = "the stream ended within an event"
            return AttemptEnd.BROKEN
        if not self.answered.signed:
            self.reason = "an unsigned stream"
            return AttemptEnd.BROKEN
        if not self.call.attempts.answered:
            self.forwarder.begin(self.call, self.answered)
        self.call.incoming.end()
        return AttemptEnd.WHOLE

    def _broken(self) -> AttemptEnd:
        if self.answered is not None and self.answered.not_run:
            return AttemptEnd.REJECTED
        return AttemptEnd.BROKEN
