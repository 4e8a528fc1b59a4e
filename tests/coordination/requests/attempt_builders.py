"""Attempts without connections, whose endpoint answers or is silent as a test says."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from carawayfold.coordination.requests.attempts import Attempt, AttemptRequest
from carawayfold.coordination.scheduling.offers import Basis, Granted
from carawayfold.state.ids import CallId, EndpointId
from carawayfold.transport.client import Phase
from tests.schedule_builders import endpoint

if TYPE_CHECKING:
    from carawayfold.state.routes import Route


class SilentForwarder:
    """Forwarder whose endpoint has accepted the request and is silent.

    Attributes
    ----------
    silent : bool
        Whether the endpoint is silent.
    found : asyncio.Future
        The result of the search for another endpoint.
    accepts : bool
        Whether a grant that was found is accepted.
    paused : bool
        Whether nothing is read from the endpoint, since the caller is slower.
    searches, cancelled : int
        Searches that were started, and those that were cancelled.
    returned : list of CallId
        Grants that were returned unused.
    """

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.silent = True
        self.accepts = True
        self.paused = False
        self.found = self.loop.create_future()
        self.searches = self.cancelled = 0
        self.returned = []
        self.done = self.loop.create_future()
        self.http = SimpleNamespace(
            start=self.start, cancel=self.cancel, reuse_longer=False
        )
        self.dialect = SimpleNamespace(request_headers=lambda *args: [])
        self.coordinator = SimpleNamespace(is_superseded=lambda item: False)
        self.endpoint_activity = SimpleNamespace(
            is_silent=lambda item, since, now: self.silent,
            record_bytes=lambda item, now: None,
        )

    def start(self, *args, **options):
        return SimpleNamespace(
            exchange=SimpleNamespace(phase=Phase.SENT, done=self.done),
            paused=self.paused,
        )

    def cancel(self, connection):
        self.done.cancel()

    async def find_replacement(self, call):
        self.searches += 1
        try:
            return await asyncio.shield(self.found)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def accept_replacement(self, call, granted):
        if self.accepts:
            call.replacement = granted
        else:
            self.give_back(granted)
        return self.accepts

    def give_back(self, granted):
        self.returned.append(granted.call)


def grant(call="r.0.2"):
    """Return the grant of another endpoint."""
    return Granted(CallId(call), EndpointId("m-2"), Basis("r", 0, 0.0))


def make_attempt(forwarder: SilentForwarder, asked_route: Route) -> Attempt:
    """Return an attempt that has not started."""
    call = SimpleNamespace(
        incoming=SimpleNamespace(method=b"POST", target=b"/x", body=b""),
        parsed=None,
        organisation="alder",
        deadline=forwarder.loop.time() + 1,
        resume_after=None,
        route=asked_route,
        replacement=None,
        replaced=None,
    )
    return Attempt(forwarder, AttemptRequest(call, endpoint(), CallId("r.0.1")))
