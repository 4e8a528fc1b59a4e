"""Attempts at endpoints that are silent, with and without a further endpoint."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.requests import attempts, replacement
from carawayfold.coordination.requests.retries import AttemptEnd
from carawayfold.state.routes import RouteKind
from tests.coordination.requests.attempt_builders import (
    SilentForwarder,
    grant,
    make_attempt,
)
from tests.schedule_builders import route

REPEATABLE = route(RouteKind.IDEMPOTENT)
ONCE = route(RouteKind.NON_IDEMPOTENT)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr(attempts, "CONNECT_TIMEOUT", 0.0)
    monkeypatch.setattr(attempts, "LIVENESS_CHECK_INTERVAL", 0.0)
    monkeypatch.setattr(replacement, "SEARCH_INTERVAL", 0.0)


async def turns(count=20):
    for _ in range(count):
        await asyncio.sleep(0)


def end_of(scenario, asked_route=REPEATABLE, paused=False):
    """Return the end of an attempt, None while it lasts, and its forwarder."""

    async def run():
        forwarder = SilentForwarder()
        forwarder.paused = paused
        attempt = make_attempt(forwarder, asked_route)
        running = asyncio.create_task(attempt.run())
        await turns()
        await scenario(forwarder)
        await turns()
        end = running.result() if running.done() else None
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        attempt.close()
        forwarder.found.cancel()
        return end, forwarder

    return asyncio.run(asyncio.wait_for(run(), 10))


async def nothing(forwarder):
    assert not forwarder.found.done()


def test_an_attempt_lasts_while_no_further_endpoint_is_found():
    async def none_found(forwarder):
        forwarder.found.set_result(None)

    end, forwarder = end_of(none_found)
    assert end is None
    assert forwarder.searches > 1


def test_an_attempt_ends_once_a_further_endpoint_is_granted():
    async def granted(forwarder):
        forwarder.found.set_result(grant())

    end, forwarder = end_of(granted)
    assert end is AttemptEnd.SILENT
    assert forwarder.returned == []


def test_a_grant_is_returned_if_the_endpoint_sends_again(monkeypatch):
    async def wakes(forwarder):
        # The attempt continues as the search ends, not before.
        monkeypatch.setattr(attempts, "LIVENESS_CHECK_INTERVAL", 5.0)
        await turns()
        forwarder.silent = False
        forwarder.found.set_result(grant())

    end, forwarder = end_of(wakes)
    assert end is None
    assert forwarder.returned == ["r.0.2"]


def test_a_grant_is_returned_if_the_answer_is_complete():
    async def run():
        forwarder = SilentForwarder()
        search = replacement.ReplacementSearch(
            lambda: forwarder.find_replacement(None), forwarder.give_back
        )
        with search:
            assert search.poll(0.0) is None
            forwarder.found.set_result(grant())
            await turns()
        return forwarder

    assert asyncio.run(run()).returned == ["r.0.2"]


def test_an_attempt_lasts_if_the_budget_does_not_allow_the_retry():
    async def refuses(forwarder):
        forwarder.accepts = False
        forwarder.found.set_result(grant())

    end, forwarder = end_of(refuses)
    assert end is None
    assert forwarder.returned


def test_an_attempt_that_is_cancelled_cancels_its_search():
    end, forwarder = end_of(nothing)
    assert end is None
    assert (forwarder.searches, forwarder.cancelled) == (1, 1)
    assert forwarder.returned == []


def test_a_search_that_fails_does_not_end_the_attempt():
    async def fails(forwarder):
        forwarder.found.set_exception(ValueError("broken"))

    end, _ = end_of(fails)
    assert end is None


def test_a_request_that_may_run_once_is_not_sent_to_a_further_endpoint():
    end, forwarder = end_of(nothing, ONCE)
    assert end is None
    assert forwarder.searches == 0


def test_searches_without_result_become_rarer():
    async def run():
        forwarder = SilentForwarder()
        forwarder.found.set_result(None)
        started = []
        search = replacement.ReplacementSearch(
            lambda: forwarder.find_replacement(None), forwarder.give_back
        )
        search.interval = 0.5
        with search:
            for tenth in range(40):
                before = forwarder.searches
                search.poll(tenth / 10)
                await turns(3)
                started += [tenth / 10] * (forwarder.searches - before)
        return started

    assert asyncio.run(run()) == [0.0, 0.5, 1.5, 2.5, 3.5]


def test_an_attempt_whose_caller_is_slower_is_not_silent():
    async def slower(forwarder):
        assert forwarder.searches == 0

    end, forwarder = end_of(slower, paused=True)
    assert end is None
    assert forwarder.searches == 0
