"""Attempts without connections, whose endpoint's answer is given by a test."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from carawayfold.coordination.requests.attempts import Attempt, AttemptRequest
from carawayfold.platform.headers import PlatformDialect
from carawayfold.state.ids import CallId
from carawayfold.transport.client import ExchangeError, Head, Phase
from tests.schedule_builders import endpoint


class CallerRecord:
    """What the caller receives, in order.

    Attributes
    ----------
    sent : list
        The status of each head, and the bytes of the body.
    ended : bool
        Whether the answer is complete.
    resume : callable or None
        Called once the caller, who is slow, has read what was sent; None if it is not.
    slow : bool
        Whether it reads more slowly than it is sent to.
    """

    method = b"POST"
    target = b"/x"
    body = b""

    def __init__(self):
        self.sent = []
        self.ended = False
        self.slow = False
        self.resume = None

    def call_when_drained(self, resume):
        self.resume = resume if self.slow else None
        return self.slow

    def begin(self, status, headers):
        self.sent.append(status)

    def send(self, data):
        self.sent.append(data)

    def end(self):
        self.ended = True


class AnsweringForwarder:
    """Forwarder of one attempt; the test gives the parts of the answer.

    Attributes
    ----------
    active_at : list of float
        Times at which the endpoint was active.
    begun : list of float
        Reports to the scheduler that the answer has begun.
    """

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.done = self.loop.create_future()
        self.dialect = PlatformDialect()
        self.http = SimpleNamespace(
            fail=self.fail, pause=self.pause, resume=self.resume
        )
        self.active_at = []
        self.begun = []
        self.notices = SimpleNamespace(handle_response=lambda *args: None)
        self.endpoint_activity = SimpleNamespace(
            record_bytes=lambda name, now: self.active_at.append(now)
        )
        self.coordinator = SimpleNamespace(
            begun=lambda call, waited: self.begun.append(waited),
            record_load=lambda call, load: None,
        )

    def fail(self, connection, reason):
        if not self.done.done():
            self.done.set_exception(ExchangeError(Phase.ANSWERING, reason))

    def pause(self, connection):
        connection.paused = True

    def resume(self, connection):
        connection.paused = False

    def record_begun(self, call, server):
        pass

    def begin(self, call, answer_head):
        call.attempts.answer_started = True
        call.incoming.begin(answer_head.status, answer_head.forwarded)

    def answer(self, call, answer_head, body):
        call.incoming.sent += [answer_head.status, body]
        call.incoming.end()


class AnsweredAttempt:
    """An attempt that has sent its request, and the record of its caller."""

    def __init__(self, asked_route, resume_after=None, answer_started=False):
        self.forwarder = AnsweringForwarder()
        self.caller = CallerRecord()
        self.call = SimpleNamespace(
            incoming=self.caller,
            parsed=None,
            organisation="alder",
            resume_after=resume_after,
            route=asked_route,
            replaced=None,
            attempts=SimpleNamespace(answer_started=answer_started, may_have_run=0),
        )
        request = AttemptRequest(self.call, endpoint(), CallId("r.0.1"))
        self.attempt = Attempt(self.forwarder, request)
        self.attempt.connection = SimpleNamespace(paused=False)
        self.attempt.exchange = SimpleNamespace(
            phase=Phase.ANSWERING, done=self.forwarder.done
        )

    def head(self, status, *names):
        """Receive the head of the answer with some headers."""
        fields = [(name, "1") for name in names]
        self.attempt._on_head(Head(status, dict(fields), fields))

    def data(self, data):
        """Receive a part of the body, unless the exchange has failed."""
        if not self.forwarder.done.done():
            self.attempt._on_data(data)

    def end(self):
        """Return how the attempt ends once its answer has ended or failed."""
        if self.forwarder.done.done():
            self.attempt.reason = str(self.forwarder.done.exception())
            return self.attempt._exchange_failed()
        return self.attempt._complete()
