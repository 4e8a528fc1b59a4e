"""Registrations of endpoints around outages of the store."""

from __future__ import annotations

from carawayfold.state.endpoints import (
    LAPSE_GRACE_DURATION,
    MAX_INCARNATIONS,
    EndpointTable,
)
from tests.schedule_builders import endpoint


def names(table, service="model"):
    return sorted(item.id for item in table.usable(service))


def test_leaving_endpoint_is_not_usable():
    table = EndpointTable()
    table.put(endpoint("a"))
    table.put(endpoint("b", leaving=True))
    assert names(table) == ["a"]


def test_removed_entry_removes_its_endpoint():
    table = EndpointTable()
    table.put(endpoint("a"))
    assert table.remove("a", 5.0)
    assert names(table) == []


def test_endpoint_stays_usable_while_its_entry_lapsed_in_an_outage():
    table = EndpointTable()
    table.put(endpoint("a"))
    table.record_outage(5.0)
    assert not table.remove("a", 5.2)
    assert names(table) == ["a"]
    table.put(endpoint("a"))
    assert table.expire(5.2 + 2 * LAPSE_GRACE_DURATION) == []
    assert names(table) == ["a"]


def test_lapsed_endpoint_is_dropped_unless_it_registers_again():
    table = EndpointTable()
    table.put(endpoint("a"))
    table.record_outage(5.0)
    table.remove("a", 5.2)
    assert table.expire(5.0 + LAPSE_GRACE_DURATION) == ["a"]
    assert names(table) == []


def test_entry_removed_after_an_outage_removes_its_endpoint():
    """Guards against using a stopped endpoint after an outage of the store.

    The store rejected one router until 1.2 s before the endpoint stopped.
    """
    table = EndpointTable()
    table.put(endpoint("a"))
    table.record_outage(24.64)
    assert table.remove("a", 26.27)
    assert names(table) == []


def test_leaving_endpoint_is_removed_at_once_in_an_outage():
    table = EndpointTable()
    table.put(endpoint("a", leaving=True))
    table.record_outage(5.0)
    assert table.remove("a", 5.5)


def test_unchanged_entry_in_a_list_changes_nothing():
    table = EndpointTable()
    assert table.put(endpoint("a", warm_up=3.0, warm_at=3.0))
    assert not table.put(endpoint("a", warm_up=3.0, warm_at=4.0), 1.0, listed=True)


def test_a_restart_under_the_same_name_is_another_endpoint():
    table = EndpointTable()
    table.put(endpoint("a", incarnation=1000, warm_at=50.0))
    assert table.put(endpoint("a", incarnation=2000, warm_at=70.0))
    assert [item.incarnation for item in table.usable("model")] == [2000]
    assert table.entries["a"].warm_at == 70.0


def test_a_delayed_record_of_an_earlier_incarnation_changes_nothing():
    table = EndpointTable()
    table.put(endpoint("a", incarnation=2000))
    assert not table.put(endpoint("a", incarnation=1000, leaving=True))
    assert [item.incarnation for item in table.usable("model")] == [2000]
    table.remove("a", 5.0)
    assert not table.put(endpoint("a", incarnation=1000))
    assert names(table) == []


def test_the_memory_of_incarnations_is_bounded():
    table = EndpointTable()
    for number in range(3 * MAX_INCARNATIONS):
        table.put(endpoint(f"e-{number}", incarnation=1))
        table.remove(f"e-{number}", 5.0)
    assert len(table.incarnations) <= MAX_INCARNATIONS + 1


def test_a_lapsed_endpoint_that_started_again_is_the_new_one():
    table = EndpointTable()
    table.put(endpoint("a", incarnation=1000))
    table.record_outage(5.0)
    table.remove("a", 5.2)
    table.put(endpoint("a", incarnation=2000))
    assert table.expire(5.2 + 2 * LAPSE_GRACE_DURATION) == []
    assert [item.incarnation for item in table.usable("model")] == [2000]


def test_a_restarted_endpoint_that_leaves_is_known_to_leave_since_then():
    table = EndpointTable()
    table.put(endpoint("i-1", leaving=True, incarnation=1), now=10.0)
    table.put(endpoint("i-1", leaving=True, incarnation=2), now=20.0)
    assert table.leaving_since == {"i-1": 20.0}


def test_an_older_entry_is_accepted_although_the_start_time_is_forgotten():
    """Start times of many endpoints that are gone are forgotten, the oldest first."""
    table = EndpointTable()
    table.put(endpoint("a", incarnation=2), 0.0)
    table.put(endpoint("a", incarnation=1), 0.0)
    table.incarnations.clear()
    assert [item.incarnation for item in table.accept_older(60.0)] == [1]
