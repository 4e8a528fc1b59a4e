"""Answers of health checks to whether an endpoint warms up."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from carawayfold.platform.health import HealthClient
from carawayfold.protocol.sources import SourceError
from carawayfold.transport.client import Answer, ExchangeError, Head, Phase
from tests.schedule_builders import endpoint

NAME = {"instance-id": "e-1"}


def warm_up_left(status=200, **headers):
    """Return what a client makes of an answer with these headers."""

    async def fetch(address, method, path, timeout):
        assert (method, path) == ("GET", "/healthz")
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return Answer(Head(status, {**NAME, **fields}), b"")

    client = HealthClient(SimpleNamespace(fetch=fetch))
    return asyncio.run(client.warm_up_left(endpoint("e-1"), "/healthz"))


@pytest.mark.parametrize(
    ("headers", "left"),
    [({}, 0.0), ({"cold_ms": "0"}, 0.0), ({"cold_ms": "2477"}, 2.477)],
)
def test_an_endpoint_states_its_warm_up(headers, left):
    assert warm_up_left(**headers) == left


def test_an_unhealthy_endpoint_may_state_its_warm_up():
    assert warm_up_left(503, cold_ms="900") == 0.9


@pytest.mark.parametrize("status", [404, 429, 500, 503])
def test_an_unhealthy_endpoint_that_states_nothing_may_warm_up(status):
    with pytest.raises(SourceError):
        warm_up_left(status)


def test_another_endpoint_states_nothing_of_this_one():
    with pytest.raises(SourceError):
        warm_up_left(instance_id="e-2")


@pytest.mark.parametrize("text", ["-1", "soon", "nan", "inf", "1e300", "9" * 400, " "])
def test_a_duration_that_is_none_is_not_taken(text):
    with pytest.raises(SourceError):
        warm_up_left(cold_ms=text)


def test_an_endpoint_that_does_not_answer_may_warm_up():
    async def fetch(address, method, path, timeout):
        raise ExchangeError(Phase.SENT, "no answer in time")

    client = HealthClient(SimpleNamespace(fetch=fetch))
    with pytest.raises(SourceError):
        asyncio.run(client.warm_up_left(endpoint("e-1"), "/healthz"))
