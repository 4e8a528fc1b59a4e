"""Endpoints that register more slots than they can have."""

from __future__ import annotations

import pytest

from carawayfold.state.endpoints import EndpointTable
from tests.load_builders import plain_offer, plain_scheduler
from tests.schedule_builders import PoolPlan, endpoint

#: Greatest slots that an entry may have.
MANY = 10**6


def registered(*slots):
    """Return a table of the endpoints e-0, e-1, ... with these slots."""
    table = EndpointTable()
    for number, count in enumerate(slots):
        table.put(endpoint(f"e-{number}", slots=count))
    return table


def granted(table, requests):
    """Return how many requests offered at once each endpoint is granted."""
    made = plain_scheduler()
    made.set_endpoints(table.usable("model"), PoolPlan())
    for number in range(requests):
        made.offer(plain_offer(number, 0.0), 0.0)
    while made.decide(0.0):
        pass
    return [len(load.active) for load in made.loads.values()]


def test_an_endpoint_with_countless_slots_does_not_get_all_requests():
    """Before, the 11 others had one request in all."""
    first, *others = granted(registered(MANY, *[6] * 11), 60)
    assert sum(others) >= 60 / 2
    assert first <= 60 / 2


@pytest.mark.parametrize("others", [1, 2, 11])
def test_an_endpoint_with_countless_slots_becomes_full(others):
    assert granted(registered(MANY, *[6] * others), 2000)[0] < 100


def test_slots_that_machines_may_have_are_kept():
    for slots in ([6, 6, 6], [4, 16, 32], [1, 1, 8], [64], [MANY], []):
        usable = registered(*slots).usable("model")
        assert [item.slots for item in usable] == slots


def test_other_services_and_leaving_endpoints_do_not_count():
    table = registered(64, 64, 64)
    table.put(endpoint("f-0", service="other", slots=1))
    table.put(endpoint("f-1", service="other", slots=1))
    for number in range(9):
        table.put(endpoint(f"g-{number}", slots=1, leaving=True))
    assert [item.slots for item in table.usable("model")] == [64, 64, 64]


def test_the_entry_itself_stays_as_registered():
    """Peers get it, and an unchanged entry is no change."""
    table = registered(MANY, 6, 6)
    assert table.entries["e-0"].slots == MANY
    assert not table.put(endpoint("e-0", slots=MANY))
