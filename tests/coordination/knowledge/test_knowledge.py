"""Records of the store that a router has, from the store or from a peer."""

from __future__ import annotations

from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.protocol.sources import EndpointChange, Page, SourceError
from carawayfold.state.endpoints import LAPSE_GRACE_DURATION
from carawayfold.state.positions import position
from tests.knowledge_builders import knowledge, run_in_loop, table
from tests.schedule_builders import endpoint


def test_a_version_is_never_replaced_by_an_older_one():
    async def run():
        known, taken = knowledge()
        for version in (3, 5, 4, 5, 7):
            known.apply_routes(table(version), "store")
        return taken

    assert run_in_loop(run) == [3, 5, 7]


def test_a_peers_endpoints_count_only_if_it_has_read_further():
    async def run():
        known, _ = knowledge()
        known.apply_listing(Page([EndpointChange("a", endpoint("a"))], 10))
        known.merge_snapshot(EndpointSnapshot(9, []), "peer")
        before = list(known.endpoints.entries)
        known.merge_snapshot(EndpointSnapshot(11, [endpoint("b")]), "peer")
        return before, list(known.endpoints.entries)

    assert run_in_loop(run) == (["a"], ["b"])


def test_an_outage_of_the_store_removes_no_endpoint():
    async def run():
        # Unavailable for all: failures of this router's calls alone expire no lease.
        known, _ = knowledge(age=lambda: 5.0)
        known.apply_listing(Page([EndpointChange("a", endpoint("a"))], 10))
        known.note_failure(SourceError("refused"))
        known.record_answer()
        known.apply_registrations(Page([EndpointChange("a", None)], 11))
        return list(known.endpoints.entries)

    assert run_in_loop(run) == ["a"]


def informed_by_peer_that_a_leaves():
    """Return the records of a router that has those up to 11 from a peer.

    Its own read may be answered late with earlier records. If they are applied on top,
    the endpoint is considered usable until the next read.
    """
    known, _ = knowledge()
    known.apply_listing(Page([EndpointChange("a", endpoint("a"))], 8))
    known.merge_snapshot(EndpointSnapshot(11, [endpoint("a", leaving=True)]), "peer")
    return known


def test_a_record_that_is_older_than_what_a_peer_told_changes_nothing():
    async def run():
        known = informed_by_peer_that_a_leaves()
        known.apply_registrations(Page([EndpointChange("a", endpoint("a"))], 9))
        return known.endpoints.usable("model")

    assert run_in_loop(run) == []


def test_a_list_that_is_older_than_what_a_peer_told_changes_nothing():
    async def run():
        known = informed_by_peer_that_a_leaves()
        known.apply_listing(Page([EndpointChange("a", endpoint("a"))], 10))
        return known.endpoints.usable("model")

    assert run_in_loop(run) == []


def listed(era, offset, *endpoints):
    items = [EndpointChange(item.name, item) for item in endpoints]
    return Page(items, position(era, offset))


def test_a_list_of_a_later_era_counts_although_its_offset_is_smaller():
    async def run():
        copies = []
        known, _ = knowledge(on_restore=lambda: copies.append(1))
        known.apply_listing(listed(0, 50, endpoint("a")))
        known.apply_listing(listed(1, 20, endpoint("a"), endpoint("b")))
        return sorted(known.endpoints.entries), len(copies)

    assert run_in_loop(run) == (["a", "b"], 1)


def test_a_list_of_an_earlier_era_from_a_peer_is_ignored():
    async def run():
        known, _ = knowledge()
        known.apply_listing(listed(1, 20, endpoint("a")))
        stale = EndpointSnapshot(position(0, 90), [endpoint("b")])
        known.merge_snapshot(stale, "peer")
        return list(known.endpoints.entries)

    assert run_in_loop(run) == ["a"]


def test_a_restored_entry_does_not_revoke_that_an_endpoint_leaves():
    async def run():
        known, _ = knowledge()
        known.apply_listing(listed(0, 50, endpoint("a"), endpoint("b", leaving=True)))
        known.apply_listing(listed(1, 20, endpoint("a"), endpoint("b")))
        return [item.name for item in known.endpoints.usable("model")]

    assert run_in_loop(run) == ["a"]


def test_a_removed_endpoint_returns_with_a_new_record_not_with_a_restore():
    async def run():
        known, _ = knowledge()
        both = [endpoint("a"), endpoint("b")]
        known.apply_listing(listed(0, 50, *both))
        known.apply_registrations(Page([EndpointChange("b", None)], position(0, 51)))
        known.apply_listing(listed(1, 20, *both))
        after_restore = sorted(known.endpoints.entries)
        snapshot = EndpointSnapshot(position(1, 21), both)
        known.merge_snapshot(snapshot, "peer")
        after_peer = sorted(known.endpoints.entries)
        written = Page([EndpointChange("b", endpoint("b"))], position(1, 22))
        known.apply_registrations(written)
        return after_restore, after_peer, sorted(known.endpoints.entries)

    assert run_in_loop(run) == (["a"], ["a"], ["a", "b"])


def test_an_entry_that_lapsed_at_a_peer_lapses_here_as_well():
    """A list sent to a peer must show which entries have lapsed.

    A router that the store refuses considers a removed entry lapsed, sends its list
    with the newest offset, and drops the endpoint two seconds later without a new
    offset. Without the mark, peers keep the endpoint until another record arrives: in
    one run 21 requests were sent 3.01 s and more after the endpoint had been removed.
    """

    async def run():
        peer, _ = knowledge(age=lambda: 10.0)
        peer.apply_listing(listed(0, 50, endpoint("a"), endpoint("b")))
        peer.note_failure(SourceError("refused"))
        peer.apply_registrations(Page([EndpointChange("b", None)], position(0, 51)))
        known, _ = knowledge()
        known.merge_snapshot(peer.snapshot(), "peer")
        before = sorted(known.endpoints.entries)
        later = known.loop.time() + LAPSE_GRACE_DURATION
        known.endpoints.expire(later)
        return before, sorted(known.endpoints.entries)

    assert run_in_loop(run) == (["a", "b"], ["a"])


def test_lapsed_entries_stay_if_a_router_detects_the_recovery_late():
    async def run():
        ages = iter([5.0, 0.1, 0.1])
        known, _ = knowledge(age=lambda: next(ages))
        known.apply_listing(listed(0, 50, endpoint("a"), endpoint("b")))
        known.note_failure(SourceError("refused"))
        known.record_answer()
        known.apply_registrations(Page([EndpointChange("b", None)], position(0, 51)))
        return sorted(known.endpoints.entries)

    assert run_in_loop(run) == ["a", "b"]


def test_an_entry_removed_while_the_store_answers_peers_has_left():
    """The store refused this router only, so no lease expired because of that."""

    async def run():
        known, _ = knowledge(age=lambda: 0.5)
        known.apply_listing(listed(0, 50, endpoint("a"), endpoint("b")))
        known.note_failure(SourceError("the connection was reset"))
        known.record_answer()
        known.apply_registrations(Page([EndpointChange("b", None)], position(0, 51)))
        return list(known.endpoints.entries)

    assert run_in_loop(run) == ["a"]


def test_a_snapshot_has_the_remaining_warm_up_of_each_endpoint():
    async def run():
        first, _ = knowledge()
        now = first.loop.time()
        warming = endpoint("a", warm_up=3.0, warm_at=now + 2.0)
        warm = endpoint("b")
        items = [EndpointChange(item.name, item) for item in (warming, warm)]
        first.apply_listing(Page(items, 10))
        second, _ = knowledge()
        second.merge_snapshot(first.snapshot(), "peer")
        later = second.loop.time()
        received = second.endpoints.entries
        left = received["a"].warm_at - later
        return 1.5 < left <= 2.0, received["b"].is_warming(later)

    assert run_in_loop(run) == (True, False)


def test_the_same_list_again_does_not_start_a_warm_up_anew():
    async def run():
        known, _ = knowledge()
        for warm_at in (5.0, 9.0):
            item = endpoint("a", warm_up=3.0, warm_at=warm_at)
            known.apply_listing(Page([EndpointChange("a", item)], 10))
        listed = known.endpoints.entries["a"].warm_at
        rewritten = endpoint("a", warm_up=3.0, warm_at=20.0)
        known.apply_registrations(Page([EndpointChange("a", rewritten)], 11))
        return listed, known.endpoints.entries["a"].warm_at

    assert run_in_loop(run) == (5.0, 20.0)
