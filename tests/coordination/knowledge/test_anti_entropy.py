"""Fetches from peers, at startup and when they have newer records."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from carawayfold.coordination.fleet.membership import Member
from carawayfold.coordination.knowledge import anti_entropy
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.protocol.datagrams import Heartbeat
from carawayfold.settings import Address
from carawayfold.state.evacuations import EvacuationSnapshot
from carawayfold.state.routes import KeyPolicy
from carawayfold.transport.client import Answer, ExchangeError, Head, Phase
from tests.knowledge_builders import knowledge, run_in_loop, table
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate


class FakePeer:
    """Answers 404 to the first `ready_after` requests and then has all records."""

    def __init__(self, ready_after=0):
        self.ready_after = ready_after
        self.request_count = 0

    async def fetch(self, address, method, path, timeout):
        self.request_count += 1
        if self.request_count <= self.ready_after:
            return Answer(Head(404, {}), b"")
        known = {
            anti_entropy.CONFIGURATION_PATH: table(7),
            anti_entropy.ENDPOINTS_PATH: EndpointSnapshot(9, [endpoint("a")]),
            anti_entropy.EVACUATIONS_PATH: EvacuationSnapshot(0, []),
        }
        return Answer(Head(200, {}), msgspec.msgpack.encode(known[path]))


def starting(peers, expected=("router-0",)):
    """Return the fleet as a starting router has it after reading the router list."""
    listed = asyncio.Event()
    listed.set()
    names = {f"router-{number}": Address("127.0.0.1", 1) for number in range(peers)}
    own = Member("router-new", "north", 1, 0.0)
    return SimpleNamespace(
        own=own,
        addresses=names,
        size=peers + 1,
        expected_hubs=lambda: list(expected),
        heartbeats={},
        listed=listed,
        random_router=lambda: next(iter(names)),
        hubs=lambda: [own],
        live=lambda: [own],
        members_in=lambda place: [own],
    )


@pytest.mark.parametrize(
    ("peers", "ready_after", "fetches"), [(80, 0, True), (80, 2, True), (5, 0, False)]
)
def test_a_router_that_starts_in_a_large_fleet_fetches_from_a_peer(
    monkeypatch, peers, ready_after, fetches
):
    monkeypatch.setattr(anti_entropy, "BOOTSTRAP_INTERVAL", 0.0)

    async def run():
        known, _ = knowledge()
        made = anti_entropy.AntiEntropy(starting(peers), known, FakePeer(ready_after))
        await made.bootstrap()
        return known.complete, made.may_read()

    assert run_in_loop(run) == (fetches, not fetches)


def test_the_first_hubs_of_a_large_fleet_read_at_once():
    async def run():
        known, _ = knowledge()
        peer = FakePeer()
        fleet = starting(80, expected=("router-3", "router-new"))
        made = anti_entropy.AntiEntropy(fleet, known, peer)
        await made.bootstrap()
        return peer.request_count, made.may_read()

    assert run_in_loop(run) == (0, True)


def test_a_reported_age_increases_from_the_heartbeat_that_reported_it():
    async def run():
        known, _ = knowledge()
        loop = asyncio.get_running_loop()
        known.store.registrations = loop.time() - 60
        fleet = starting(80)
        made = anti_entropy.AntiEntropy(fleet, known, FakePeer())
        fleet.heartbeats["router-1"] = Heartbeat("north", False, 1, 1, 2000)
        fleet.heartbeat_times = {"router-1": loop.time() - 1}
        # Listed since by another router.
        named = Member("router-1", "north", 1, loop.time())
        fleet.membership = SimpleNamespace(members={"router-1": named})
        ahead = made.registrations_age()
        known.apply_routes(table(1), "store")
        known.endpoints.offset = 1
        known.listed = True
        return round(ahead), round(made.registrations_age())

    assert run_in_loop(run) == (60, 3)


def test_a_router_whose_peers_know_nothing_reads_for_itself(monkeypatch):
    monkeypatch.setattr(anti_entropy, "BOOTSTRAP_TIMEOUT", 0.05)
    monkeypatch.setattr(anti_entropy, "BOOTSTRAP_INTERVAL", 0.01)

    async def run():
        known, _ = knowledge()
        made = anti_entropy.AntiEntropy(
            starting(80), known, FakePeer(ready_after=10_000)
        )
        await made.bootstrap()
        return known.complete, made.may_read()

    assert run_in_loop(run) == (False, True)


#: Seconds after which waiting for a router ends.
WAIT_TIMEOUT = 5.0


class OnePeerSilent:
    """Peers of which the one at address `silent` never answers."""

    def __init__(self, silent):
        self.silent = silent

    async def fetch(self, address, method, path, timeout):
        if address == self.silent:
            await asyncio.sleep(timeout)
            raise ExchangeError(Phase.SENT, "no answer in time")
        body = EndpointSnapshot(9, [endpoint("a")])
        return Answer(Head(200, {}), msgspec.msgpack.encode(body))


def synchronized_after(fleet, http):
    """Return the seconds after which a leaf has the records of its peers."""

    async def run():
        known, _ = knowledge()
        known.apply_routes(table(1), "peer")
        known.listed = True
        made = anti_entropy.AntiEntropy(fleet, known, http)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asking = asyncio.create_task(made.poll_periodically())
        while not known.endpoints.entries and loop.time() - begun < WAIT_TIMEOUT:
            await asyncio.sleep(0.01)
        asking.cancel()
        return loop.time() - begun

    return simulate(run)


def test_a_peer_that_does_not_answer_is_not_asked_again_before_others():
    """A peer that does not answer must not delay fetches from the others.

    A hub that hangs is considered silent only after 2.5 s. If the first of equally
    advanced hubs is queried each time, each fetch until then takes a second.
    """
    places = {f"router-{number}": Address("127.0.0.1", number + 1) for number in (0, 1)}
    own = Member("router-new", "north", 1, 0.0, hub=False)
    fleet = SimpleNamespace(
        own=own,
        addresses=places,
        size=80,
        heartbeats={name: Heartbeat("north", False, 1, 9, 0) for name in places},
        heartbeat_times=dict.fromkeys(places, 0.0),
        local_hubs=list,
    )
    took = [
        synchronized_after(fleet, OnePeerSilent(address)) for address in places.values()
    ]
    assert max(took) <= 1.0


class GarblingPeer:
    """Answers every request with bytes that are no record."""

    async def fetch(self, address, method, path, timeout):
        return Answer(Head(200, {}), b"no record")


def test_a_peer_that_answers_with_other_bytes_counts_as_unresponsive():
    """Otherwise the task that polls the peers, and with it the router, ends."""

    async def run():
        known, _ = knowledge()
        made = anti_entropy.AntiEntropy(starting(80), known, GarblingPeer())
        await made._fetch("router-0", anti_entropy.CONFIGURATION_PATH)
        await made._fetch("router-1", anti_entropy.ENDPOINTS_PATH)
        await made._fetch("router-2", anti_entropy.EVACUATIONS_PATH)
        return set(made.unresponsive_until), known.complete

    assert run_in_loop(run) == ({"router-0", "router-1", "router-2"}, False)


# Guards against a configuration of an earlier version that is taken for one without
# organisations, or without keys.
def test_a_configuration_without_a_key_policy_is_not_taken_from_a_peer():
    async def run(organisations):
        known, _ = knowledge()
        peer = FakePeer()
        made = anti_entropy.AntiEntropy(starting(80), known, peer)
        old = msgspec.structs.replace(
            table(7), key_policy=KeyPolicy.UNSTATED, organisations=organisations
        )
        made._apply_answer(
            "router-0", anti_entropy.CONFIGURATION_PATH, msgspec.msgpack.encode(old)
        )
        return known.version

    assert run_in_loop(lambda: run({})) is None
    assert run_in_loop(lambda: run({"key-1": "alder"})) == 7
