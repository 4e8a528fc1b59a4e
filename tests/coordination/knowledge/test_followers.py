"""Following a source of the store."""

from __future__ import annotations

import asyncio

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.coordination.knowledge import followers
from carawayfold.coordination.knowledge.followers import Follower
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.protocol.sources import (
    EndpointChange,
    Evacuation,
    Page,
    RecordsNotRetained,
    SourceError,
)
from tests.knowledge_builders import knowledge, run_in_loop, table
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate


async def at_once():
    """Let a follower read at once."""


def reads_for_itself():
    """Return whether the router reads for others: it does not."""
    return False


def test_the_newest_records_are_read_after_the_history_was_lost():
    class Source:
        def __init__(self):
            self.listed = 0

        async def newest(self):
            self.listed += 1
            return Page([table(self.listed)], 5)

        async def read(self, start, wait):
            raise RecordsNotRetained("gone")

    async def run():
        known, taken = knowledge()
        source = Source()
        follower = followers.follow_operators(source, known, at_once, reads_for_itself)
        work = asyncio.create_task(follower.follow())
        while len(taken) < 3:
            await asyncio.sleep(0)
        work.cancel()
        return taken

    assert run_in_loop(run)[:3] == [1, 2, 3]


def test_a_failed_read_logs_its_topic_and_duration():
    class Source:
        async def newest(self):
            await asyncio.sleep(0.02)
            raise SourceError("no answer in time")

    async def run():
        known, _ = knowledge()
        follower = followers.follow_operators(
            Source(), known, at_once, reads_for_itself
        )
        with logbook.TestHandler() as lines:
            work = asyncio.create_task(follower.follow())
            while not lines.records:
                await asyncio.sleep(0.01)
            work.cancel()
        return next(x.extra for x in lines.records if x.message == "read failed")

    extra = simulate(run)
    assert extra["topic"] == "operators"
    assert extra["lasted_ms"] == 20
    assert extra["pause_ms"] > 0


def test_a_router_whose_peers_read_for_it_reads_only_at_startup():
    calls = []

    class Source:
        async def newest(self):
            calls.append("newest")
            return Page([], 5)

        async def read(self, start, wait):
            calls.append("read")
            return Page([], start)

    async def run():
        known, _ = knowledge()
        nothing = lambda page: None  # noqa: E731
        turn = asyncio.Event()
        wait = lambda: 1.0  # noqa: E731
        follower = Follower(
            "one",
            Source(),
            known,
            nothing,
            nothing,
            wait,
            turn.wait,
            known.record_answer,
        )
        await follower.step()
        waiting = asyncio.create_task(follower.step())
        for _ in range(20):
            await asyncio.sleep(0)
        before = list(calls)
        turn.set()
        await waiting
        return before

    assert run_in_loop(run) == ["newest"]
    assert calls == ["newest", "read"]


def test_calls_to_a_refusing_store_back_off(monkeypatch):
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(followers.asyncio, "sleep", sleep)

    async def run():
        backoff = Backoff()
        for _ in range(4):
            await backoff.wait()
        backoff.reset()
        await backoff.wait()

    run_in_loop(run)
    assert pauses == [0.25, 0.5, 1.0, 1.0, 0.25]


def test_a_router_with_records_from_peers_reads_on_from_their_position():
    """A router with records from peers must not start with a complete list.

    The list does not show that an endpoint announced that it leaves and was removed
    since. The router would consider its entry lapsed in an outage and send it requests
    for two more seconds (`endpoint removed`, `"lapsed":true`, 4.5 s after the
    announcement).
    """
    calls = []

    class Source:
        async def newest(self):
            calls.append("newest")
            return Page([], 12)

        async def read(self, start, wait):
            calls.append(start)
            leaves = EndpointChange("a", endpoint("a", leaving=True))
            return Page([leaves, EndpointChange("a", None)], start + 2)

    async def run():
        known, _ = knowledge()
        known.apply_routes(table(1), "peer")
        known.merge_snapshot(EndpointSnapshot(10, [endpoint("a")]), "peer")
        known.note_failure(SourceError("the connection was reset"))
        follower = followers.follow_endpoints(Source(), known, at_once, lambda: True)
        await follower.step()
        return list(known.endpoints.entries)

    assert run_in_loop(run) == []
    assert calls == [10]


def test_a_page_that_ends_before_the_log_does_not_make_the_records_complete():
    """A store returns so many bytes at most, and more records after a long outage."""

    class Source:
        def __init__(self):
            self.pages = [Page([], 1, complete=False), Page([], 2)]

        async def newest(self):
            return Page([], 0)

        async def read(self, start, wait):
            return self.pages.pop(0)

    async def run():
        known, _ = knowledge()
        known.store.registrations = 0.0
        follower = followers.follow_endpoints(
            Source(), known, at_once, reads_for_itself
        )
        follower.next = 0
        ages = []
        for _ in range(2):
            await follower.step()
            ages.append(known.store.registrations > 0.0)
        return ages

    assert run_in_loop(run) == [False, True]


def test_a_late_page_does_not_revive_an_ended_evacuation():
    """A read on demand has applied the end, and the store is silent afterwards."""

    class Source:
        def __init__(self):
            self.late = asyncio.Event()

        async def newest(self):
            return Page([], 0)

        async def read(self, start, wait):
            begun = Evacuation("north", True)
            if wait:
                await self.late.wait()
                return Page([begun], 1)
            return Page([begun, Evacuation("north", False)], 2)

    async def run():
        known, _ = knowledge()
        source = Source()
        follower = followers.follow_operators(source, known, at_once, reads_for_itself)
        follower.synchronized = False
        await follower.step()
        follower.synchronized = False
        waiting = asyncio.create_task(follower.step())
        await asyncio.sleep(0)
        assert await follower.read_at_once()
        source.late.set()
        await waiting
        return known.evacuations.active

    assert run_in_loop(run) == set()
