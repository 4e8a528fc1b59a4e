"""Offers of requests to the scheduling coordinator."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.coordination.requests.forwarding import Forwarder
from carawayfold.coordination.scheduling.offers import Rejected
from carawayfold.platform.headers import PlatformDialect
from carawayfold.state.routes import CallerLimits, KeyPolicy, RouteIndex, RouteTable
from carawayfold.state.stream_origins import Finding, Origin, OriginSource
from carawayfold.transport.messages import MessageError
from tests.schedule_builders import route

LIMIT = 8.0
ROUTE = route(anonymous=True, resumable=True)


class FakeCoordinator:
    """Rejects each offer and keeps it."""

    def __init__(self):
        self.offers = []
        own = SimpleNamespace(router="r", data_centre="north")
        self.fleet = SimpleNamespace(own=own)

    async def place_with_fallback(self, offer, service):
        self.offers.append(offer)
        return Rejected(offer.call, "no answer in time", 1.0)

    def next_call(self):
        return f"r.0.{len(self.offers)}"

    def cached_at(self, prompt, allowed):
        return None

    def weights_for(self, service, allowed, software):
        return {f"{service}/0": 1}


async def find_origin(stream, route):
    return Finding(Origin("model", "v1"), OriginSource.OWN_RECORD)


def make_forwarder(coordinator):
    def ignore(*args):
        return None

    containment = SimpleNamespace(reject_harmful=ignore)
    forwarder = Forwarder(
        coordinator,
        None,
        PlatformDialect(),
        SimpleNamespace(request=ignore),
        None,
        containment,
        None,
        SimpleNamespace(
            find=find_origin, describe=lambda route: {}, begun=lambda *args: None
        ),
        SimpleNamespace(ended=ignore, refused=ignore, resumed_streams=Counter()),
        lambda: 0.0,
        {},
    )
    estimator = SimpleNamespace(waited=lambda left: LIMIT - left)
    forwarder.wait_estimators[ROUTE.id] = estimator
    forwarder.route_index = RouteIndex(
        RouteTable(
            1,
            (ROUTE,),
            {},
            {},
            {},
            CallerLimits(),
            0.0,
            key_policy=KeyPolicy.NOT_REQUIRED,
        )
    )
    return forwarder


def offers_of(*requests):
    """Return the offers of requests with some headers, sent one after the other."""

    async def run():
        coordinator = FakeCoordinator()
        forwarder = make_forwarder(coordinator)
        for number, headers in enumerate(requests):
            fields = {"host": ROUTE.host, "request-id": str(number), **headers}
            pairs = [(name.encode(), value.encode()) for name, value in fields.items()]
            incoming = SimpleNamespace(
                headers=pairs,
                method=b"POST",
                target=b"/summary/x",
                body=b"",
                received=asyncio.get_running_loop().time(),
                answer=lambda *args: None,
            )
            forwarder.serve(incoming)
            await asyncio.gather(*forwarder.calls.values())
        return coordinator.offers

    return asyncio.run(run())


@pytest.mark.parametrize("left", [7.5, 2.0])
def test_a_resumed_stream_is_not_late_for_the_time_that_it_has_lasted(left):
    """As late, it was refused while new streams began."""
    first = {"request-deadline": str(round(LIMIT * 1000))}
    again = {"request-deadline": str(round(left * 1000)), "last-event-id": "3"}
    begun, resumed = offers_of(first, again)
    assert resumed.due - resumed.arrived == pytest.approx(ROUTE.objective, abs=0.1)
    assert begun.due - begun.arrived == pytest.approx(ROUTE.objective, abs=0.1)


def test_a_repeated_request_is_late_for_the_time_that_it_has_waited():
    first = {"request-deadline": str(round(LIMIT * 1000))}
    [_, repeated] = offers_of(first, {"request-deadline": "2000"})
    assert repeated.due < repeated.arrived


@pytest.mark.parametrize("headers", [{}, {"last-event-id": "3"}])
def test_the_first_event_is_due_before_the_caller_leaves(headers):
    """Otherwise a request that can't be served waits until its caller's timeout."""
    [offer] = offers_of({"request-deadline": "400", **headers})
    assert offer.due <= offer.expires


def test_a_resumed_stream_is_offered_for_the_version_that_began_it():
    [offer] = offers_of({"last-event-id": "3", "resumes": "first"})
    assert offer.software == "v1"


def test_a_new_stream_is_offered_for_any_version():
    [offer] = offers_of({"resumes": "first"})
    assert offer.software is None


def test_a_resumed_stream_may_wait_as_long_as_its_caller_does():
    [offer] = offers_of({"last-event-id": "3"})
    expected = offer.arrived + ROUTE.patience
    assert offer.abandoned_at == pytest.approx(expected, abs=0.1)


def test_a_resumed_stream_does_not_wait_beyond_the_timeout_of_its_caller():
    [offer] = offers_of({"request-deadline": "2000", "last-event-id": "3"})
    assert offer.abandoned_at == offer.expires


def test_a_new_stream_waits_for_its_objective_only():
    [offer] = offers_of({})
    assert offer.abandoned_at is None


class Answers:
    """Request that keeps its answers; those with an unsendable status fail."""

    def __init__(self, unsendable=()):
        self.unsendable = unsendable
        self.statuses = []
        self.headers = [(b"host", ROUTE.host.encode()), (b"request-id", b"1")]
        self.method, self.target, self.body = b"POST", b"/summary/x", b""
        self.received = asyncio.get_running_loop().time()

    def answer(self, status, headers, body=b""):
        """Keep the status of an answer."""
        if headers and status in self.unsendable:
            raise MessageError("a line end within a header")
        self.statuses.append(status)

    def fail(self, status):
        """Keep the status of an answer without headers."""
        self.answer(status, [])


async def serve_one(forwarder, incoming):
    forwarder.serve(incoming)
    await asyncio.gather(*forwarder.calls.values(), return_exceptions=True)
    return incoming.statuses


def test_an_error_before_the_task_of_a_request_was_no_refusal():
    async def scenario():
        forwarder = make_forwarder(FakeCoordinator())
        forwarder.containment.reject_harmful = lambda call: 1 / 0
        return await serve_one(forwarder, Answers())

    with logbook.TestHandler() as logs:
        assert asyncio.run(scenario()) == [503]
    assert logs.has_error("internal error while forwarding a request")
    assert logs.has_info("request refused")


def test_a_refusal_that_could_not_be_sent_left_the_caller_without_an_answer():
    async def scenario():
        forwarder = make_forwarder(FakeCoordinator())
        return await serve_one(forwarder, Answers(unsendable=(503,)))

    with logbook.TestHandler() as logs:
        assert asyncio.run(scenario()) == [503]
    assert logs.has_error("internal error while forwarding a request")


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [b"host", b"request-id", b"resumes", b"last-event-id", b"x-api-key"]
                + [b"request-deadline", b"token-usage", b"prompt-prefix", b"connection"]
            ),
            st.binary(max_size=20) | st.integers(0, 5000).map(b"9".__mul__),
        ),
        max_size=5,
    ),
    st.binary(max_size=20),
)
def test_each_request_with_an_odd_head_is_answered_without_an_error(headers, rest):
    async def scenario():
        incoming = Answers()
        incoming.headers = [*incoming.headers[:1], *headers]
        incoming.target += rest
        return await serve_one(make_forwarder(FakeCoordinator()), incoming)

    with logbook.TestHandler() as logs:
        assert len(asyncio.run(scenario())) == 1
    assert not logs.has_errors


@pytest.mark.parametrize(("may_have_run", "status"), [(0, 503), (1, 504)])
def test_the_end_of_calls_says_whether_a_request_may_have_run(may_have_run, status):
    async def scenario():
        forwarder = make_forwarder(FakeCoordinator())

        async def wait(call):
            call.attempts.may_have_run = may_have_run
            await asyncio.get_running_loop().create_future()

        forwarder._try_endpoints = wait
        incoming, unstarted = Answers(), Answers()
        forwarder.serve(incoming)
        await asyncio.sleep(0)
        forwarder.serve(unstarted)
        forwarder.end_calls()
        await asyncio.gather(*forwarder.calls.values())
        return incoming.statuses, unstarted.statuses

    assert asyncio.run(asyncio.wait_for(scenario(), 5)) == ([status], [status])


def test_a_request_whose_caller_leaves_before_its_task_starts_is_forgotten():
    async def run():
        forwarder = make_forwarder(FakeCoordinator())
        incoming = SimpleNamespace(
            headers=[(b"host", ROUTE.host.encode()), (b"request-id", b"x")],
            method=b"POST",
            target=b"/summary/x",
            body=b"",
            received=asyncio.get_running_loop().time(),
        )
        forwarder.serve(incoming)
        incoming.on_disconnect()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return forwarder.calls

    assert asyncio.run(run()) == {}
