"""When a request at a silent endpoint may continue at another one."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.requests.retries import AttemptEnd
from carawayfold.coordination.scheduling.offers import BlockReason, Granted
from carawayfold.state.routes import RouteKind
from carawayfold.state.stream_origins import Origin
from tests.coordination.requests.replacement_builders import (
    Coordinator,
    make_call,
    make_forwarder,
)
from tests.schedule_builders import route

REPEATABLE = route(RouteKind.IDEMPOTENT)


def search(prepare=lambda call, forwarder: None, asked_route=REPEATABLE, extra=10.0):
    """Return the grant that is found, the coordinator, the call and the forwarder."""

    async def run():
        coordinator = Coordinator()
        forwarder = make_forwarder(coordinator, extra)
        call = make_call(asked_route)
        prepare(call, forwarder)
        found = await forwarder.find_replacement(call)
        return found, coordinator, call, forwarder

    return asyncio.run(run())


def test_another_endpoint_is_requested_while_one_is_silent():
    found, coordinator, call, _ = search()
    assert isinstance(found, Granted)
    assert coordinator.offers[0].avoid == {"m-1"}
    assert call.attempts.may_have_run == 0


def rejecting(call, forwarder):
    forwarder.coordinator.grants = False


def once_retried(call, forwarder):
    call.attempts.add(AttemptEnd.BROKEN)


def suspected(call, forwarder):
    forwarder.containment.is_suspected = lambda call, begun: True


@pytest.mark.parametrize(
    ("prepare", "extra", "offers"),
    [(rejecting, 10.0, 1), (once_retried, 10.0, 0), (suspected, 10.0, 0)],
)
def test_a_request_stays_where_no_further_attempt_is_possible(prepare, extra, offers):
    found, coordinator, _, _ = search(prepare, extra=extra)
    assert found is None
    assert len(coordinator.offers) == offers


def test_a_request_stays_while_the_retry_budget_is_exhausted():
    found, coordinator, _, _ = search(extra=0.0)
    assert found is None
    assert coordinator.offers == []


def test_a_stream_that_has_begun_is_offered_for_its_version():
    def begun(call, forwarder):
        call.origin = Origin("model", "v1")
        call.due = 0.0
        forwarder.coordinator.weights_for = lambda *args: {"model/0": 1}

    _, coordinator, call, _ = search(begun, route(resumable=True))
    assert coordinator.offers[0].software == "v1"
    assert coordinator.offers[0].due > 0


def attempt_in_flight(forwarder):
    """Return an attempt at an endpoint."""
    return SimpleNamespace(
        sent=True,
        stopped=False,
        started=0.0,
        endpoint=forwarder.coordinator.endpoints["m-2"],
        first_event_delay=None,
    )


def test_a_stream_that_its_endpoint_may_continue_waits_for_its_objective_only():
    def silent(call, forwarder):
        call.last_event_at = forwarder.loop.time()
        call.attempt = attempt_in_flight(forwarder)
        forwarder.endpoint_activity = EndpointActivity()
        forwarder.containment.reports = SimpleNamespace(note=lambda loss: None)

    _, coordinator, call, _ = search(silent, route(resumable=True))
    assert coordinator.offers[0].abandoned_at is None
    call.attempt = None
    assert call.abandoned_at == call.last_event_at + call.route.patience


def accept(prepare=lambda forwarder: None):
    """Return whether a grant is accepted, with the call and the coordinator."""
    found, coordinator, call, forwarder = search()

    async def run():
        forwarder.loop = asyncio.get_running_loop()
        prepare(forwarder)
        return forwarder.accept_replacement(call, found)

    return asyncio.run(run()), call, coordinator


def test_an_accepted_grant_is_used_next():
    accepted, call, coordinator = accept()
    assert accepted
    assert call.replacement.endpoint == "m-2"
    assert coordinator.returned == []


def test_a_grant_of_an_endpoint_that_is_leaving_is_returned():
    def leave(forwarder):
        forwarder.coordinator.blocked = BlockReason.LEAVING

    accepted, call, coordinator = accept(leave)
    assert not accepted
    assert call.replacement is None
    assert len(coordinator.returned) == 1


def test_a_grant_is_returned_if_the_budget_was_used_meanwhile():
    def use_up(forwarder):
        forwarder.budget.take = lambda *args: False

    accepted, call, coordinator = accept(use_up)
    assert not accepted
    assert call.replacement is None
    assert len(coordinator.returned) == 1


def test_a_silence_is_noted_although_no_further_attempt_is_possible():
    noted = []

    def silent(call, forwarder):
        once_retried(call, forwarder)
        call.attempt = attempt_in_flight(forwarder)
        forwarder.endpoint_activity = EndpointActivity()
        forwarder.containment.reports = SimpleNamespace(note=noted.append)

    found, _, _, _ = search(silent)
    assert found is None
    assert [loss.silent for loss in noted] == [True]
