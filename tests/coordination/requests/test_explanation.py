"""What a router says about a request that is not sent."""

from __future__ import annotations

import asyncio
import functools

import msgspec
import pytest

from carawayfold.coordination.requests.explanation import Explainer
from carawayfold.protocol.explanations import (
    PoolQuestion,
    PoolReason,
    RequestQuestion,
    Verdict,
)
from carawayfold.state.endpoints import EndpointTable
from carawayfold.state.routes import (
    CallerLimits,
    RouteIndex,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from tests.gateway_builders import running_gateway
from tests.schedule_builders import endpoint, route

HOST = ("Host", "caller.example")


def in_loop(test):
    """Run a test in a loop of its own."""

    @functools.wraps(test)
    def run(**fields):
        asyncio.run(test(**fields))

    return run


def question(target="/summary/x", headers=(), **other):
    return RequestQuestion("POST", target, [HOST, *headers], **other)


def configure(gateway, endpoints=2, version=4, **fields):
    """Let a router know a service, its endpoints and one route to it."""
    fields.setdefault("anonymous", True)
    service = ServiceConfig("model", "/health", 100, 1_000_000)
    table = RouteTable(
        version,
        (route(**fields),),
        {"model": service},
        {"key-1": "alder"},
        {"alder": 0},
        CallerLimits(),
        0.0,
    )
    gateway.forwarder.route_index = RouteIndex(table)
    known = EndpointTable()
    for number in range(endpoints):
        item = endpoint(f"e-{number}")
        known.entries[item.name] = item
    gateway.coordinator.refresh(known, table)
    return Explainer(gateway.forwarder)


@pytest.mark.parametrize(
    ("asked", "fields", "refused"),
    [
        (question("/other/x"), {}, "unknown-route"),
        (question(), {"anonymous": False}, "unknown-key"),
        (question(), {"services": ()}, "no-endpoint"),
        (question(), {"endpoints": 0}, "no-endpoint"),
        (question(), {"regions": ("far",)}, "no-endpoint"),
    ],
)
@in_loop
async def test_a_request_that_would_be_refused_at_once_names_the_error(
    asked, fields, refused
):
    async with running_gateway(0.1) as gateway:
        answer = configure(gateway, **fields).explain_request(asked)
    assert answer.refused == refused
    assert answer.pool is None


@in_loop
async def test_a_router_without_configuration_is_not_ready():
    async with running_gateway(0.1) as gateway:
        gateway.forwarder.route_index = None
        answer = Explainer(gateway.forwarder).explain_request(question())
    assert answer.refused == "not-ready"
    assert answer.version is msgspec.UNSET


@in_loop
async def test_a_configuration_of_version_0_is_named():
    async with running_gateway(0.1) as gateway:
        answer = configure(gateway, version=0).explain_request(question())
    assert answer.version == 0


@in_loop
async def test_the_only_pool_and_its_decider_are_named():
    async with running_gateway(0.1) as gateway:
        answer = configure(gateway).explain_request(question())
    assert answer.refused == ""
    assert (answer.version, answer.route, answer.service) == (4, "summary", "model")
    assert (answer.pool, answer.pool_reason) == ("model/0", PoolReason.ONLY)
    assert answer.decider == "router-0"


@in_loop
async def test_the_service_with_most_of_the_requests_is_explained():
    async with running_gateway(0.1) as gateway:
        services = (WeightedService("other", 1.0), WeightedService("model", 3.0))
        answer = configure(gateway, services=services).explain_request(question())
    assert (answer.service, answer.service_share) == ("model", 0.75)


@in_loop
async def test_no_further_pool_is_left_after_the_only_one():
    async with running_gateway(0.1) as gateway:
        answer = configure(gateway).explain_request(question(asked=["model/0"]))
    assert (answer.refused, answer.pool) == ("", None)


@in_loop
async def test_the_scheduler_grants_what_it_said_and_nothing_is_taken():
    async with running_gateway(0.1) as gateway:
        explainer = configure(gateway)
        asked = explainer.explain_request(question())
        answer = explainer.explain_pool(PoolQuestion(asked.router, asked.offer))
        schedulers = [item.scheduler for item in gateway.coordinator.pools.values()]
    assert answer.verdict is Verdict.GRANT
    assert answer.leads
    assert not any(item.waiting or item.placements for item in schedulers)
    assert not gateway.forwarder.wait_estimators


@in_loop
async def test_a_pool_that_the_router_does_not_have_is_not_explained():
    async with running_gateway(0.1) as gateway:
        explainer = configure(gateway)
        asked = explainer.explain_request(question())
        gateway.coordinator.pools.clear()
        answer = explainer.explain_pool(PoolQuestion(asked.router, asked.offer))
    assert answer is None
