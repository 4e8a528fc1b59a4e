"""Choice of the router responsible for a subject."""

from __future__ import annotations

from collections import Counter

from carawayfold.coordination.fleet.membership import Member, Membership, assign_leaders


def membership(processors):
    own = Member("router-0", "north", 1, 0.0, processor=processors[0])
    members = Membership(own, lambda: 0.0, 1.0)
    for number, processor in enumerate(processors[1:], start=1):
        members.register_member(f"router-{number}", "north", 1, processor)
    return members


def responsible(members, subjects=60):
    return Counter(members.responsible(f"model/{number}") for number in range(subjects))


def test_equal_instances_share_the_subjects():
    assert len(responsible(membership([100] * 4))) == 4


def test_weak_instances_do_not_lead_while_strong_ones_are_live():
    members = membership([50, 215, 50, 200, 50])
    assert set(responsible(members)) == {"router-1", "router-3"}


def test_weak_instances_take_over_when_the_strong_ones_stop():
    members = membership([50, 215, 50])
    members.record_contact("router-1", stopping=True)
    assert set(responsible(members)) == {"router-0", "router-2"}


def leaders(count, routers, failed=()):
    names = [f"router-{number}" for number in range(routers)]
    members = [Member(name, "north", 1, 0.0) for name in names if name not in failed]
    return assign_leaders([f"model/{number}" for number in range(count)], members)


def test_no_router_leads_several_pools_while_others_lead_none():
    for routers in (8, 20, 40):
        assert max(Counter(leaders(4, routers).values()).values()) == 1


def test_many_pools_are_distributed_evenly():
    for routers in (11, 33):
        most = max(Counter(leaders(38, routers).values()).values())
        assert most <= -(-38 // routers) + 1


def test_few_other_pools_change_leader_when_a_router_fails():
    before = leaders(38, 33)
    for failed in set(before.values()):
        after = leaders(38, 33, {failed})
        moved = [name for name in before if before[name] not in (failed, after[name])]
        assert len(moved) <= 38 / 4


def test_added_pools_do_not_change_the_leaders_of_earlier_ones():
    few, many = leaders(4, 8), leaders(12, 8)
    assert few.items() <= many.items()
