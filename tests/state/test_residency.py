"""Data residency of requests whose route or organisation is restricted to regions."""

from __future__ import annotations

import pytest

from carawayfold.state.residency import allowed_data_centres
from carawayfold.state.routes import CallerLimits, RouteTable
from tests.schedule_builders import route

REGIONS = {"north": "hills", "south": "hills", "port": "coast"}


def allowed(of_route=(), of_organisation=()):
    limits = {"alder": of_organisation} if of_organisation else {}
    table = RouteTable(1, (), {}, {}, {}, CallerLimits(), 0.0, limits)
    return allowed_data_centres(route(regions=of_route), "alder", table, REGIONS)


def test_without_restrictions_any_data_centre_is_allowed():
    assert allowed() is None


@pytest.mark.parametrize(
    ("of_route", "of_organisation", "expected"),
    [
        (("hills",), (), {"north", "south"}),
        ((), ("coast",), {"port"}),
        (("hills", "coast"), ("coast",), {"port"}),
        (("hills",), ("coast",), set()),
        (("elsewhere",), (), set()),
    ],
)
def test_restrictions_of_route_and_organisation_both_apply(
    of_route, of_organisation, expected
):
    assert allowed(of_route, of_organisation) == expected
