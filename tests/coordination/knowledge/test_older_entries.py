"""Entries with an earlier start time than the endpoint was known to have.

Another program may write an entry under the name of a sound endpoint with a start time
far in the future. The endpoint's own entry, written again, must not stay hidden by it.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.protocol.sources import EndpointChange, Page
from carawayfold.state.endpoints import MAX_INCARNATIONS
from tests.knowledge_builders import knowledge, run_in_loop
from tests.schedule_builders import endpoint

#: Start times of the sound endpoint, and of the entry that another program wrote.
BORN, FAR = 1760683167168, 10**15
#: Seconds within which the endpoint must be usable once its entry is back.
MAX_HIDDEN = 10.0
#: Seconds after which a stopped endpoint's delayed record has been replaced.
MAX_DELAY = 2.0
SOUND = endpoint("a", incarnation=BORN)
FOREIGN = endpoint("a", incarnation=FAR)


class Router:
    """What one router knows, at a time that the test sets."""

    def __init__(self):
        self.notified = []
        self.known, _ = knowledge()
        self.known.on_endpoints = lambda: self.notified.append(self.time)
        self.time, self.offset = 0.0, 0
        self.known.loop = SimpleNamespace(time=lambda: self.time)
        self.known.apply_listing(Page([], 0))

    def read(self, *entries):
        """Apply records of the endpoint `a`; None is its removal."""
        self.offset += len(entries)
        changes = [EndpointChange("a", entry) for entry in entries]
        self.known.apply_registrations(Page(changes, self.offset))

    def wait(self, seconds):
        """Let time pass; return the start times of the usable endpoints."""
        end = self.time + seconds
        while self.time < end:
            self.time = min(end, self.time + 0.25)
            self.known.expire()
        return self.incarnations()

    def incarnations(self):
        return [item.incarnation for item in self.known.endpoints.usable("model")]


@pytest.fixture
def router():
    """Return a router within a running event loop."""

    async def make():
        return Router()

    return run_in_loop(make)


@pytest.mark.parametrize("foreign", [(FOREIGN,), (FOREIGN, None)])
def test_an_entry_that_was_replaced_by_an_older_one_hides_no_endpoint(router, foreign):
    router.read(SOUND, *foreign, SOUND)
    count = len(router.notified)
    assert router.wait(MAX_HIDDEN) == [BORN]
    assert len(router.notified) == count + 1


def test_a_listed_entry_is_accepted_like_one_that_is_read(router):
    router.read(SOUND, FOREIGN)
    for offset in range(3, 6):
        router.known.apply_listing(Page([EndpointChange("a", SOUND)], offset))
        router.wait(MAX_HIDDEN / 3)
    assert router.incarnations() == [BORN]


def test_an_endpoint_without_a_start_time_is_not_hidden(router):
    router.read(endpoint("a"), FOREIGN, endpoint("a"))
    assert router.wait(MAX_HIDDEN) == [0]


def test_the_newer_entry_holds_if_it_is_written_again(router):
    newer = endpoint("a", incarnation=BORN + 1)
    router.read(newer, SOUND)
    assert router.wait(MAX_DELAY) == [BORN + 1]
    router.read(newer)
    assert router.wait(MAX_HIDDEN) == [BORN + 1]


@pytest.mark.parametrize("present", [True, False])
def test_a_removed_older_entry_is_not_restored(router, present):
    router.read(endpoint("a", incarnation=BORN + 1), *([] if present else [None]))
    router.read(SOUND, None)
    assert router.wait(MAX_HIDDEN) == []


def test_an_older_entry_is_not_accepted_while_records_may_be_missing(router):
    newer = endpoint("a", incarnation=BORN + 1)
    router.read(newer, SOUND)
    for _ in range(10):
        router.known.endpoints.record_outage(router.time)
        router.wait(MAX_DELAY)
    assert router.incarnations() == [BORN + 1]
    assert router.wait(MAX_HIDDEN) == [BORN]


def test_a_router_with_the_older_entry_keeps_it_when_a_peer_still_waits(router):
    """The peer's list is taken whole, and no record follows it."""

    async def other():
        return Router()

    peer = run_in_loop(other)
    router.read(SOUND, FOREIGN, SOUND)
    router.wait(MAX_HIDDEN)
    peer.read(SOUND, FOREIGN, SOUND)
    peer.read(SOUND)
    router.known.merge_snapshot(peer.known.snapshot(), "peer")
    assert router.incarnations() == [BORN]
    assert router.wait(MAX_HIDDEN) == [BORN]


@given(
    st.lists(
        st.none()
        | st.floats(0, MAX_HIDDEN)
        | st.sampled_from([0, BORN, BORN + 1, FAR]).map(
            lambda born: endpoint("a", incarnation=born)
        ),
        max_size=12,
    )
)
def test_what_lasts_in_the_store_is_used(steps):
    """Records, removals (None) and times without any, in seconds."""

    async def make():
        return Router()

    router, last = run_in_loop(make), None
    for step in steps:
        if isinstance(step, float):
            router.wait(step)
        else:
            router.read(step)
            last = step
    stored = [] if last is None else [last.incarnation]
    assert router.wait(MAX_HIDDEN) == stored
    assert [item.incarnation for item in router.known.snapshot().endpoints] == stored


def test_older_entries_are_bounded(router):
    changes = [
        EndpointChange(f"e-{number}", endpoint(f"e-{number}", incarnation=born))
        for number in range(3 * MAX_INCARNATIONS)
        for born in (FAR, BORN)
    ]
    router.known.apply_registrations(Page(changes, len(changes)))
    router.wait(MAX_HIDDEN)
    assert router.known.endpoints.older.entries == {}
    assert router.known.endpoints.older.since == {}
    assert set(router.incarnations()) == {BORN}
