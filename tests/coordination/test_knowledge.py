"""What a router knows from the store, whoever told it."""

from __future__ import annotations

from carawayfold.coordination.knowledge import EndpointSnapshot
from carawayfold.protocol.sources import Page, Registered, SourceError
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
        known, _ = knowledge()
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
