"""What a router knows from the store and from its peers, and who reads."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from carawayfold.coordination import followers
from carawayfold.coordination.followers import EndpointSnapshot, Follower, Knowledge
from carawayfold.coordination.membership import Member
from carawayfold.protocol.datagrams import Beat
from carawayfold.protocol.sources import (
    HistoryLost,
    Page,
    Registered,
    SourceError,
)
from carawayfold.settings import Address
from carawayfold.state.routes import CallerLimits, RouteTable
from carawayfold.transport.client import Answer, Head
from tests.schedule_builders import endpoint


def table(version):
    return RouteTable(version, (), {}, {}, {}, CallerLimits(), 0.0)


def in_loop(work):
    async def run():
        return await work()

    return asyncio.run(run())


def knowledge():
    taken = []
    made = Knowledge(lambda item: taken.append(item.version), lambda: None)
    return made, taken


def fleet_of(count, own="router-0", data_centre="north", ages=None):
    """Return a fleet of `count` routers in one data centre, all heard."""
    members = [
        Member(f"router-{number}", data_centre, 1, 0.0) for number in range(count)
    ]
    beats = {
        item.router: Beat(data_centre, False, 1, 1, (ages or {}).get(item.router, 0))
        for item in members
        if item.router != own
    }
    return SimpleNamespace(
        own=next(item for item in members if item.router == own),
        beats=beats,
        size=count,
        near=lambda place: [item for item in members if item.data_centre == place],
    )


def readers(count, ages=None):
    return [
        name
        for name in (f"router-{number}" for number in range(count))
        if followers.is_reader(fleet_of(count, name, ages=ages))
    ]


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
        follower = followers.follow_configuration(source, known, lambda: True)
        work = asyncio.create_task(follower.follow())
        while len(taken) < 3:
            await asyncio.sleep(0)
        work.cancel()
        return taken

    assert in_loop(run)[:3] == [1, 2, 3]


def test_one_whose_peers_read_for_it_reads_only_at_the_start(monkeypatch):
    monkeypatch.setattr(followers, "READER_INTERVAL", 0.0)
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
        follower = Follower(Source(), known, nothing, nothing, 1.0, lambda: False)
        for _ in range(5):
            await follower.step()

    in_loop(run)
    assert calls == ["newest"]


def test_every_router_of_a_small_fleet_reads():
    assert len(readers(followers.ALL_READ)) == followers.ALL_READ


def stale(*names):
    return dict.fromkeys(names, followers.READER_STALE_MS + 1)


def test_one_router_of_a_data_centre_reads_for_a_large_fleet():
    assert len(readers(30)) == 1


def test_the_next_one_reads_too_when_the_store_no_longer_answers_the_first():
    (first,) = readers(30)
    assert len(readers(30, stale(first))) == followers.READERS
    assert first in readers(30, stale(first))


def test_all_read_when_the_store_no_longer_answers_the_readers():
    (first,) = readers(30)
    both = readers(30, stale(first))
    assert len(readers(30, stale(*both))) == 30


def test_one_reader_that_is_answered_suffices():
    (first,) = readers(30)
    (second,) = set(readers(30, stale(first))) - {first}
    assert readers(30, stale(second)) == [first]


class FakePeer:
    """Answers a router that starts, once it knows something itself."""

    def __init__(self, ready_after=0):
        self.ready_after = ready_after
        self.asked = 0

    async def fetch(self, address, method, path, timeout):
        self.asked += 1
        if self.asked <= self.ready_after:
            return Answer(Head(404, {}), b"")
        body = (
            table(7)
            if path == followers.CONFIGURATION_PATH
            else EndpointSnapshot(9, [endpoint("a")])
        )
        return Answer(Head(200, {}), msgspec.msgpack.encode(body))


def starting(peers, expected=("router-0",)):
    """Return the fleet as a router sees it that has just read the entries."""
    listed = asyncio.Event()
    listed.set()
    names = {f"router-{number}": Address("127.0.0.1", 1) for number in range(peers)}
    own = Member("router-new", "north", 1, 0.0)
    return SimpleNamespace(
        own=own,
        addresses=names,
        size=peers + 1,
        expected_hubs=lambda: list(expected),
        beats={},
        listed=listed,
        pick_known=lambda: next(iter(names)),
        live=lambda: [own],
        near=lambda place: [own],
    )


@pytest.mark.parametrize(
    ("peers", "ready_after", "told"), [(80, 0, True), (80, 2, True), (5, 0, False)]
)
def test_a_router_that_starts_in_a_large_fleet_is_told_by_a_peer(
    monkeypatch, peers, ready_after, told
):
    monkeypatch.setattr(followers, "ADOPTION_INTERVAL", 0.0)

    async def run():
        known, _ = knowledge()
        relay = followers.Relay(starting(peers), known, FakePeer(ready_after))
        await relay.adopt()
        return known.complete, relay.may_read()

    assert in_loop(run) == (told, not told)


def test_the_first_hubs_of_a_large_fleet_read_at_once():
    async def run():
        known, _ = knowledge()
        peer = FakePeer()
        fleet = starting(80, expected=("router-3", "router-new"))
        relay = followers.Relay(fleet, known, peer)
        await relay.adopt()
        return peer.asked, relay.may_read()

    assert in_loop(run) == (0, True)


def test_what_a_peer_was_told_counts_from_when_it_was_told():
    async def run():
        known, _ = knowledge()
        loop = asyncio.get_running_loop()
        known.store.answered = loop.time() - 60
        fleet = starting(80)
        relay = followers.Relay(fleet, known, FakePeer())
        fleet.beats["router-1"] = Beat("north", False, 1, 1, 2000)
        heard = Member("router-1", "north", 1, loop.time() - 1)
        fleet.membership = SimpleNamespace(members={"router-1": heard})
        ahead = relay.information_age()
        known.take_routes(table(1), "store")
        known.endpoints.offset = 1
        return round(ahead), round(relay.information_age())

    assert in_loop(run) == (60, 3)


def test_a_router_whose_peers_know_nothing_reads_for_itself(monkeypatch):
    monkeypatch.setattr(followers, "ADOPTION_PATIENCE", 0.05)
    monkeypatch.setattr(followers, "ADOPTION_INTERVAL", 0.01)

    async def run():
        known, _ = knowledge()
        relay = followers.Relay(starting(80), known, FakePeer(ready_after=10_000))
        await relay.adopt()
        return known.complete, relay.may_read()

    assert in_loop(run) == (False, True)


def test_a_store_that_refuses_is_asked_less_and_less_often(monkeypatch):
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(followers.asyncio, "sleep", sleep)

    async def run():
        backoff = followers.Backoff()
        for _ in range(4):
            await backoff.wait()
        backoff.reset()
        await backoff.wait()

    in_loop(run)
    assert pauses == [0.25, 0.5, 1.0, 1.0, 0.25]
