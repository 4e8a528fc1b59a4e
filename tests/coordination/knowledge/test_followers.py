"""Following a source of the store."""

from __future__ import annotations

import asyncio

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.coordination.knowledge import followers
from carawayfold.coordination.knowledge.followers import Follower
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.protocol.sources import HistoryLost, Page, Registered, SourceError
from tests.knowledge_builders import in_loop, knowledge, table
from tests.schedule_builders import endpoint


async def at_once():
    """Let a follower read without waiting for its turn."""


def reads_for_itself():
    """Return whether a router reads for others: it does not."""
    return False


def test_lost_history_is_read_from_the_newest_records():
    class Source:
        def __init__(self):
            self.listed = 0

        async def newest(self):
            self.listed += 1
            return Page([table(self.listed)], 5)

        async def read(self, start, wait):
            raise HistoryLost("gone")

    async def run():
        known, taken = knowledge()
        source = Source()
        follower = followers.follow_operators(source, known, at_once, reads_for_itself)
        work = asyncio.create_task(follower.follow())
        while len(taken) < 3:
            await asyncio.sleep(0)
        work.cancel()
        return taken

    assert in_loop(run)[:3] == [1, 2, 3]


def test_a_read_that_fails_tells_its_topic_and_how_long_it_took():
    class Source:
        async def newest(self):
            raise SourceError("no answer in time")

    async def run():
        known, _ = knowledge()
        follower = followers.follow_operators(
            Source(), known, at_once, reads_for_itself
        )
        with logbook.TestHandler() as lines:
            work = asyncio.create_task(follower.follow())
            while not lines.records:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            work.cancel()
        return next(x.extra for x in lines.records if x.message == "read failed")

    told = in_loop(run)
    assert told["topic"] == "operators"
    assert told["lasted_ms"] == 0
    assert told["pause_ms"] > 0


def test_one_whose_peers_read_for_it_reads_only_at_the_start():
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
            known.note_answer,
        )
        await follower.step()
        waiting = asyncio.create_task(follower.step())
        for _ in range(20):
            await asyncio.sleep(0)
        before = list(calls)
        turn.set()
        await waiting
        return before

    assert in_loop(run) == ["newest"]
    assert calls == ["newest", "read"]


def test_a_store_that_refuses_is_asked_less_and_less_often(monkeypatch):
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

    in_loop(run)
    assert pauses == [0.25, 0.5, 1.0, 1.0, 0.25]


def test_one_that_peers_have_told_reads_on_from_there():
    """A list holds no word of an endpoint that said it leaves and is gone since.

    Such a router listed: the entry had vanished, was taken for a lapse in an outage,
    and its endpoint got work for two more seconds (`endpoint gone`, `"lapsed":true`,
    4.5 s after it had said that it leaves).
    """
    calls = []

    class Source:
        async def newest(self):
            calls.append("newest")
            return Page([], 12)

        async def read(self, start, wait):
            calls.append(start)
            leaves = Registered("a", endpoint("a", leaving=True))
            return Page([leaves, Registered("a", None)], start + 2)

    async def run():
        known, _ = knowledge()
        known.take_routes(table(1), "peer")
        known.take_snapshot(EndpointSnapshot(10, [endpoint("a")]), "peer")
        known.note_failure(SourceError("the connection was reset"))
        follower = followers.follow_endpoints(Source(), known, at_once, lambda: True)
        await follower.step()
        return list(known.endpoints.entries)

    assert in_loop(run) == []
    assert calls == [10]
