"""Choice of a route and of one of its services."""

from __future__ import annotations

import pytest

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.routes import (
    CallerLimits,
    KeyPolicy,
    RouteIndex,
    RouteTable,
    WeightedService,
)
from tests.schedule_builders import route


def index(*routes):
    return RouteIndex(
        RouteTable(
            1,
            routes,
            {},
            {},
            {},
            CallerLimits(),
            0.0,
            key_policy=KeyPolicy.NOT_REQUIRED,
        )
    )


def test_the_longest_prefix_of_the_host_wins():
    found = index(
        route(id="all", prefix=b"/"),
        route(id="deep", prefix=b"/a/b/"),
        route(id="a", prefix=b"/a/"),
        route(id="other", host="other.example", prefix=b"/a/b/c/"),
    )
    assert found.find("caller.example", b"/a/b/c/d").id == "deep"
    assert found.find("caller.example", b"/a/x").id == "a"
    assert found.find("caller.example", b"/ab").id == "all"
    assert found.find("nowhere.example", b"/a/") is None


def test_services_are_chosen_by_weight():
    split = route(services=(WeightedService("a", 9), WeightedService("b", 1)))
    chosen = [split.choose_service(number / 100) for number in range(100)]
    assert chosen.count("a") == 90
    assert split.choose_service(0.9999) == "b"


# Guards against requests at a service whose weight the operator has set to zero.
@pytest.mark.parametrize(
    "weights", [(("a", 1.0), ("b", 0.0)), (("b", 0.0), ("a", 0.1), ("b", 0.0))]
)
def test_a_service_without_weight_gets_no_requests(weights):
    split = route(services=tuple(WeightedService(*item) for item in weights))
    draws = [0.0, 0.5, 1 - 2**-53]
    assert {split.choose_service(draw) for draw in draws} == {"a"}


@pytest.mark.parametrize("weights", [(), (("a", 0.0),), (("a", 0.0), ("b", 0.0))])
def test_a_route_whose_services_have_no_weight_refuses(weights):
    split = route(services=tuple(WeightedService(*item) for item in weights))
    with pytest.raises(Refusal) as refused:
        split.choose_service(0.5)
    assert refused.value.kind is ErrorKind.NO_ENDPOINT
