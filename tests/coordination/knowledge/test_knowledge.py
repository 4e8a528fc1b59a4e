"""What a router knows from the store, whoever told it."""

from __future__ import annotations

from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.protocol.sources import Page, Registered, SourceError
from carawayfold.state.endpoints import LAPSE_GRACE
from carawayfold.state.positions import position
from tests.knowledge_builders import in_loop, knowledge, table
from tests.schedule_builders import endpoint


def test_a_version_is_never_replaced_by_an_older_one():
    async def run():
        known, taken = knowledge()
        for version in (3, 5, 4, 5, 7):
            known.take_routes(table(version), "store")
        return taken

    assert in_loop(run) == [3, 5, 7]


def test_a_peers_endpoints_count_only_if_it_has_read_further():
    async def run():
        known, _ = knowledge()
        known.take_listed(Page([Registered("a", endpoint("a"))], 10))
        known.take_snapshot(EndpointSnapshot(9, []), "peer")
        before = list(known.endpoints.entries)
        known.take_snapshot(EndpointSnapshot(11, [endpoint("b")]), "peer")
        return before, list(known.endpoints.entries)

    assert in_loop(run) == (["a"], ["b"])


def test_a_store_that_is_away_takes_no_endpoint_along():
    async def run():
        # Away for all: a failure of this router's calls alone says nothing of leases.
        known, _ = knowledge(age=lambda: 5.0)
        known.take_listed(Page([Registered("a", endpoint("a"))], 10))
        known.note_failure(SourceError("refused"))
        known.note_answer()
        known.take_registered(Page([Registered("a", None)], 11))
        return list(known.endpoints.entries)

    assert in_loop(run) == ["a"]


def told_that_a_leaves():
    """Return what a router knows that a peer told of records up to 11.

    Its own read, answered late, holds earlier ones: they were applied on top, and the
    endpoint counted as staying until the next read.
    """
    known, _ = knowledge()
    known.take_listed(Page([Registered("a", endpoint("a"))], 8))
    known.take_snapshot(EndpointSnapshot(11, [endpoint("a", leaving=True)]), "peer")
    return known


def test_a_record_that_is_older_than_what_a_peer_told_changes_nothing():
    async def run():
        known = told_that_a_leaves()
        known.take_registered(Page([Registered("a", endpoint("a"))], 9))
        return known.endpoints.usable("model")

    assert in_loop(run) == []


def test_a_list_that_is_older_than_what_a_peer_told_changes_nothing():
    async def run():
        known = told_that_a_leaves()
        known.take_listed(Page([Registered("a", endpoint("a"))], 10))
        return known.endpoints.usable("model")

    assert in_loop(run) == []


def listed(era, offset, *endpoints):
    items = [Registered(item.name, item) for item in endpoints]
    return Page(items, position(era, offset))


def test_a_list_of_a_later_era_counts_although_its_offset_is_smaller():
    async def run():
        copies = []
        known, _ = knowledge(on_copy=lambda: copies.append(1))
        known.take_listed(listed(0, 50, endpoint("a")))
        known.take_listed(listed(1, 20, endpoint("a"), endpoint("b")))
        return sorted(known.endpoints.entries), len(copies)

    assert in_loop(run) == (["a", "b"], 1)


def test_a_peer_that_still_holds_the_earlier_era_is_not_believed():
    async def run():
        known, _ = knowledge()
        known.take_listed(listed(1, 20, endpoint("a")))
        stale = EndpointSnapshot(position(0, 90), [endpoint("b")])
        known.take_snapshot(stale, "peer")
        return list(known.endpoints.entries)

    assert in_loop(run) == ["a"]


def test_what_said_that_it_leaves_does_not_stay_by_an_older_entry():
    async def run():
        known, _ = knowledge()
        known.take_listed(listed(0, 50, endpoint("a"), endpoint("b", leaving=True)))
        known.take_listed(listed(1, 20, endpoint("a"), endpoint("b")))
        return [item.name for item in known.endpoints.usable("model")]

    assert in_loop(run) == ["a"]


def test_what_has_gone_does_not_come_back_with_a_copy_but_with_a_new_record():
    async def run():
        known, _ = knowledge()
        both = [endpoint("a"), endpoint("b")]
        known.take_listed(listed(0, 50, *both))
        known.take_registered(Page([Registered("b", None)], position(0, 51)))
        known.take_listed(listed(1, 20, *both))
        after_copy = sorted(known.endpoints.entries)
        told = EndpointSnapshot(position(1, 21), both)
        known.take_snapshot(told, "peer")
        after_peer = sorted(known.endpoints.entries)
        written = Page([Registered("b", endpoint("b"))], position(1, 22))
        known.take_registered(written)
        return after_copy, after_peer, sorted(known.endpoints.entries)

    assert in_loop(run) == (["a"], ["a"], ["a", "b"])


def test_what_lapsed_at_a_peer_lapses_here_as_well():
    """A router's list held an endpoint whose entry had vanished, as if it stayed.

    The router had been refused while others were served, took the entry for lapsed,
    told its list with the newest offset, and dropped the endpoint two seconds later
    without a new offset: those that had its list kept the endpoint until another
    record came. On the hunted day 21 requests came 3.01 s and more after the
    endpoint had gone.
    """

    async def run():
        peer, _ = knowledge(age=lambda: 10.0)
        peer.take_listed(listed(0, 50, endpoint("a"), endpoint("b")))
        peer.note_failure(SourceError("refused"))
        peer.take_registered(Page([Registered("b", None)], position(0, 51)))
        known, _ = knowledge()
        known.take_snapshot(peer.snapshot(), "peer")
        told = sorted(known.endpoints.entries)
        later = known.loop.time() + LAPSE_GRACE
        known.endpoints.expire(later)
        return told, sorted(known.endpoints.entries)

    assert in_loop(run) == (["a", "b"], ["a"])


def test_one_that_hears_later_than_its_peers_that_the_store_is_back_keeps_what_lapsed():
    async def run():
        ages = iter([5.0, 0.1, 0.1])
        known, _ = knowledge(age=lambda: next(ages))
        known.take_listed(listed(0, 50, endpoint("a"), endpoint("b")))
        known.note_failure(SourceError("refused"))
        known.note_answer()
        known.take_registered(Page([Registered("b", None)], position(0, 51)))
        return sorted(known.endpoints.entries)

    assert in_loop(run) == ["a", "b"]


def test_an_entry_that_vanishes_while_peers_were_told_all_has_left():
    """The store refused this router alone: no lease ran out because of that."""

    async def run():
        known, _ = knowledge(age=lambda: 0.5)
        known.take_listed(listed(0, 50, endpoint("a"), endpoint("b")))
        known.note_failure(SourceError("the connection was reset"))
        known.note_answer()
        known.take_registered(Page([Registered("b", None)], position(0, 51)))
        return list(known.endpoints.entries)

    assert in_loop(run) == ["a"]


def test_a_peer_tells_for_how_long_an_endpoint_still_warms_up():
    async def run():
        first, _ = knowledge()
        now = first.loop.time()
        cold = endpoint("a", warm_up=3.0, warm_at=now + 2.0)
        warm = endpoint("b")
        items = [Registered(item.name, item) for item in (cold, warm)]
        first.take_listed(Page(items, 10))
        second, _ = knowledge()
        second.take_snapshot(first.snapshot(), "peer")
        later = second.loop.time()
        told = second.endpoints.entries
        left = told["a"].warm_at - later
        return 1.5 < left <= 2.0, told["b"].is_warming(later)

    assert in_loop(run) == (True, False)


def test_the_same_list_again_does_not_start_a_warm_up_anew():
    async def run():
        known, _ = knowledge()
        for warm_at in (5.0, 9.0):
            item = endpoint("a", warm_up=3.0, warm_at=warm_at)
            known.take_listed(Page([Registered("a", item)], 10))
        listed = known.endpoints.entries["a"].warm_at
        again = endpoint("a", warm_up=3.0, warm_at=20.0)
        known.take_registered(Page([Registered("a", again)], 11))
        return listed, known.endpoints.entries["a"].warm_at

    assert in_loop(run) == (5.0, 20.0)
