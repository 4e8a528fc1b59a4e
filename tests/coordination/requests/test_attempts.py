"""Attempts that are withdrawn because their endpoint is leaving."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from carawayfold.coordination.requests.attempts import Attempt, AttemptRequest
from carawayfold.coordination.requests.retries import AttemptEnd
from carawayfold.coordination.scheduling.offers import BlockReason
from carawayfold.state.routes import RouteKind
from carawayfold.transport.client import ExchangeError, Phase
from tests.schedule_builders import endpoint, route


class FakeHttp:
    """Opens connections that stay in `phase`."""

    def __init__(self, phase):
        self.phase = phase

    def start(self, *args, **options):
        done = asyncio.get_running_loop().create_future()
        exchange = SimpleNamespace(phase=self.phase, done=done)
        return SimpleNamespace(exchange=exchange, paused=False)

    def fail(self, connection, reason):
        exchange = connection.exchange
        exchange.done.set_exception(ExchangeError(exchange.phase, reason))

    def cancel(self, connection):
        connection.exchange.done.cancel()


def make_attempt(phase):
    loop = asyncio.get_running_loop()
    forwarder = SimpleNamespace(
        loop=loop,
        http=FakeHttp(phase),
        dialect=SimpleNamespace(request_headers=lambda *args: []),
        coordinator=SimpleNamespace(is_superseded=lambda item: False),
        find_replacement=None,
        give_back=None,
    )
    call = SimpleNamespace(
        incoming=SimpleNamespace(method=b"POST", target=b"/x", body=b""),
        parsed=None,
        organisation="alder",
        deadline=loop.time() + 1,
        resume_after=None,
        route=route(RouteKind.NON_IDEMPOTENT),
        replaced=None,
    )
    return Attempt(forwarder, AttemptRequest(call, endpoint(), "r.0.1"))


@pytest.mark.parametrize(
    ("phase", "end"),
    [(Phase.CONNECTING, AttemptEnd.WITHDRAWN), (Phase.SENT, None)],
)
def test_only_an_attempt_not_yet_sent_is_withdrawn(phase, end):
    async def run():
        attempt = make_attempt(phase)
        running = asyncio.create_task(attempt.run())
        await asyncio.sleep(0)
        attempt.withdraw(BlockReason.LEAVING)
        await asyncio.sleep(0.01)
        ended = running.result() if running.done() else None
        running.cancel()
        attempt.close()
        return ended

    assert asyncio.run(run()) is end
