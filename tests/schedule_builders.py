"""Builders of test data for schedulers and routes."""

from __future__ import annotations

from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Offer
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.exchanges import Part
from carawayfold.settings import Address
from carawayfold.state.endpoints import Endpoint
from carawayfold.state.routes import Route, RouteKind, WeightedService

WINDOW = 4.0


def endpoint(name="e-1", service="model", slots=4, data_centre="north", **other):
    """Return a registered endpoint."""
    address = Address("127.0.0.1", 1)
    return Endpoint(name, service, address, data_centre, slots, **other)


def scheduler(
    endpoints=1,
    slots=4,
    throughput=0.0,
    speed=100_000.0,
    memory=1_000_000,
    features=None,
):
    """Return a scheduler over equal engines named e-0, e-1, ..."""
    made = Scheduler(WINDOW, features=features or SchedulingFeatures())
    plan = PoolPlan(throughput, memory, speed)
    names = [f"e-{number}" for number in range(endpoints)]
    made.set_endpoints([endpoint(name, slots=slots) for name in names], plan)
    return made


def offer(call="r.0.1", shared="topic", tokens=1000, own=1000, now=0.0, **other):
    """Return an offer of a model request whose prompt has one shared part."""
    fields = {
        "call": call,
        "router": "r",
        "data_centre": "north",
        "organisation": "alder",
        "route": "summary",
        "priority": 1,
        "prompt": (Part(shared, tokens), Part(f"{call}-own", own)),
        "prompt_tokens": tokens + own,
        "output_tokens": 100,
        "arrived": now,
        "due": now + 1.0,
        "expires": now + 10.0,
    }
    return Offer(**{**fields, **other})


def route(kind=RouteKind.STREAMING, **other):
    """Return a route of one service."""
    fields = {
        "id": "summary",
        "host": "caller.example",
        "prefix": b"/summary/",
        "kind": kind,
        "services": (WeightedService("model", 1.0),),
        "attempts": 2,
        "timeout": 10.0,
        "objective": 1.0,
        "priority": 1,
        "anonymous": False,
        "resumable": False,
        "pause": 0.4,
        "patience": 4.0,
    }
    return Route(**{**fields, **other})
