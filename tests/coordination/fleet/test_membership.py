"""Who looks after what."""

from __future__ import annotations

from collections import Counter

from carawayfold.coordination.fleet.membership import Member, Membership


def membership(processors):
    own = Member("router-0", "north", 1, 0.0, processor=processors[0])
    found = Membership(own, lambda: 0.0, 1.0)
    for number, processor in enumerate(processors[1:], start=1):
        found.joined(f"router-{number}", "north", 1, processor)
    return found


def responsible(found, subjects=60):
    return Counter(found.responsible(f"model/{number}") for number in range(subjects))


def test_equal_instances_share_the_subjects():
    assert len(responsible(membership([100] * 4))) == 4


def test_weak_instances_look_after_nothing_while_strong_ones_are_there():
    found = membership([50, 215, 50, 200, 50])
    assert set(responsible(found)) == {"router-1", "router-3"}


def test_weak_instances_take_over_when_the_strong_ones_are_gone():
    found = membership([50, 215, 50])
    found.heard("router-1", stopping=True)
    assert set(responsible(found)) == {"router-0", "router-2"}
