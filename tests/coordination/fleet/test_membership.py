"""Who looks after what."""

from __future__ import annotations

from collections import Counter

from carawayfold.coordination.fleet.membership import Member, Membership, share_out


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


def shared_out(count, routers, lost=()):
    names = [f"router-{number}" for number in range(routers)]
    members = [Member(name, "north", 1, 0.0) for name in names if name not in lost]
    return share_out([f"model/{number}" for number in range(count)], members)


def test_no_router_looks_after_several_pools_while_others_have_none():
    for routers in (8, 20, 40):
        assert max(Counter(shared_out(4, routers).values()).values()) == 1


def test_many_pools_are_shared_out_evenly():
    for routers in (11, 33):
        most = max(Counter(shared_out(38, routers).values()).values())
        assert most <= -(-38 // routers) + 1


def test_few_pools_change_hands_with_a_router():
    before = shared_out(38, 33)
    for lost in set(before.values()):
        after = shared_out(38, 33, {lost})
        moved = [name for name in before if before[name] not in (lost, after[name])]
        assert len(moved) <= 38 / 4


def test_more_pools_change_no_choice_for_those_before():
    few, many = shared_out(4, 8), shared_out(12, 8)
    assert few.items() <= many.items()
