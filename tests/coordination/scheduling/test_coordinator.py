"""Offers of routers to the leader of a pool, with datagrams that may be lost."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field

import logbook
import pytest
from msgspec import structs

from carawayfold.coordination.fleet.membership import Member, Membership
from carawayfold.coordination.fleet.suspects import Suspects
from carawayfold.coordination.scheduling.coordinator import (
    ACTIVE_REPORT_INTERVAL,
    OFFER_RETRY_INTERVALS,
    SchedulingCoordinator,
)
from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import (
    UNKNOWN_POOL,
    Basis,
    BlockReason,
    Granted,
    Outcome,
    Rejected,
)
from carawayfold.coordination.scheduling.pending import TAKEOVER_DELAY, PoolState
from carawayfold.coordination.scheduling.pool_assignment import MAX_POOL_SIZE
from carawayfold.coordination.scheduling.scheduler import Scheduler
from carawayfold.protocol.datagrams import Datagram, GrantMessage, decode, encode
from carawayfold.protocol.exchanges import Part
from carawayfold.state.endpoints import EndpointTable
from carawayfold.state.routes import CallerLimits, RouteTable, ServiceConfig
from tests.schedule_builders import endpoint, offer
from tests.simulated_fleet import simulate


@dataclass
class SimulatedNetwork:
    """Delivers messages between the routers of a test.

    Attributes
    ----------
    cut : set of str
        Routers that neither send nor receive.
    lose : set of int
        Numbers of the messages that are lost, from 1.
    sent : int
        Messages sent so far.
    """

    coordinators: dict[str, SchedulingCoordinator] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    lose: set[int] = field(default_factory=set)
    sent: int = 0

    def deliver(self, sender, receiver, message):
        self.sent += 1
        if {sender, receiver} & self.cut or self.sent in self.lose:
            return
        data = encode(Datagram(sender, 1, [message]))
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: self.coordinators[receiver].take(decode(data)))


class FakeFleet:
    """Fleet of routers that all receive each other's heartbeats, as one sees it."""

    def __init__(self, network, name, names):
        self.suspects = Suspects()
        self.last_contact = {}
        self.confirmed = []
        self.network = network
        self.own = Member(name, "north", 1, 0.0)
        loop = asyncio.get_running_loop()
        self.membership = Membership(self.own, loop.time, 1e9)
        for other in names:
            if other != name:
                self.membership.register_member(other, "north", 1)

    def send(self, router, message):
        self.network.deliver(self.own.router, router, message)

    def live(self):
        return self.membership.live()

    def leader(self, subject):
        return self.membership.responsible(subject)

    def responsible(self, subject):
        until = self.suspects.until
        if self.suspects.is_isolated() and self.leader(subject) in until:
            return self.own.router
        return self.membership.responsible(subject, excluded=until)

    def add_suspect(self, router):
        self.suspects.add(router, 0.0)

    def is_seen_since(self, router, since):
        return self.last_contact.get(router, -math.inf) > since

    def confirm_failure(self, router):
        self.confirmed.append(router)

    def fallback_share(self):
        return 1.0 / len(self.live())


def routes():
    services = {"model": ServiceConfig("model", "/", 100, 600_000)}
    return RouteTable(1, (), services, {}, {}, CallerLimits(), 100_000.0)


def coordinators(network, names, endpoints=2, slots=4):
    table = EndpointTable()
    for number in range(endpoints):
        table.put(endpoint(f"e-{number}", slots=slots))
    for name in names:
        coordinator = SchedulingCoordinator(FakeFleet(network, name, names), 4.0)
        coordinator.refresh(table, routes())
        network.coordinators[name] = coordinator
    return network.coordinators


def request(coordinator, call, **other):
    now = asyncio.get_running_loop().time()
    name = coordinator.fleet.own.router
    return offer(f"{name}.1.{call}", f"t-{call}", now=now, router=name, **other)


def decider(made):
    return next(iter(made.values())).fleet.responsible("model/0")


def play(work):
    return asyncio.run(asyncio.wait_for(work(), 20))


def test_one_router_decides_for_all():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b", "c"])
        for name, coordinator in made.items():
            decision = await coordinator.place(request(coordinator, name), "model/0")
            assert isinstance(decision, Granted)
        first = decider(made)
        scheduler = made[first].pools["model/0"].scheduler
        return sum(len(load.active) for load in scheduler.loads.values())

    assert play(work) == 3


@pytest.mark.parametrize("lost", [{1}, {2}, {1, 2}, {2, 3}])
def test_a_lost_datagram_only_delays(lost):
    async def work():
        network = SimulatedNetwork(lose=lost)
        made = coordinators(network, ["a", "b"])
        other = next(name for name in made if name != decider(made))
        offered = request(made[other], "x")
        return await made[other].place(offered, "model/0")

    assert isinstance(play(work), Granted)


def test_a_router_decides_locally_when_the_leader_is_cut_off():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"])
        first = decider(made)
        network.cut.add(first)
        other = next(name for name in made if name != first)
        decision = await made[other].place(request(made[other], "x"), "model/0")
        return decision, made[other].pools["model/0"].scheduler.plan.share

    decision, share = play(work)
    assert isinstance(decision, Granted)
    assert share == 0.5


def test_the_next_router_in_rank_decides_when_the_leader_is_cut_off():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b", "c", "d"])
        first = decider(made)
        network.cut.add(first)
        asking = next(name for name in made if name != first)
        fleet = made[asking].fleet
        second = fleet.membership.responsible("model/0", excluded={first})
        asking = next(name for name in made if name not in (first, second))
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await made[asking].place(request(made[asking], "x"), "model/0")
        waited = loop.time() - begun
        begun = loop.time()
        await made[asking].place(request(made[asking], "y"), "model/0")
        again = loop.time() - begun
        scheduler = made[second].pools["model/0"].scheduler
        active = sum(len(load.active) for load in scheduler.loads.values())
        confirmed = set(made[second].fleet.confirmed)
        return active, waited > again, confirmed == {first}, scheduler.plan.share

    assert play(work) == (2, True, True, 0.25)


@pytest.mark.parametrize("seen", [True, False])
def test_a_late_leader_with_heartbeats_is_not_considered_failed(seen):
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b", "c"])
        first = decider(made)
        network.cut.add(first)
        asking = next(name for name in made if name != first)
        fleet = made[asking].fleet
        if seen:
            fleet.last_contact[first] = math.inf
        placing = asyncio.ensure_future(
            made[asking].place(request(made[asking], "x"), "model/0")
        )
        await asyncio.sleep(sum(OFFER_RETRY_INTERVALS[:-2]) + 0.05)
        network.cut.clear()
        await placing
        return first in fleet.suspects.until

    assert simulate(work) is not seen


def test_offers_to_a_late_leader_are_sent_at_growing_intervals():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"])
        first = decider(made)
        network.cut.add(first)
        asking = next(name for name in made if name != first)
        made[asking].fleet.last_contact[first] = math.inf
        placing = asyncio.ensure_future(
            made[asking].place(request(made[asking], "x"), "model/0")
        )
        await asyncio.sleep(sum(OFFER_RETRY_INTERVALS) - 0.05)
        placing.cancel()
        return network.sent

    assert simulate(work) == len(OFFER_RETRY_INTERVALS)


def test_a_late_answer_of_the_replaced_leader_frees_the_slot_at_the_next_router():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b", "c", "d"], endpoints=1, slots=1)
        first = decider(made)
        fleet = made[first].fleet
        second = fleet.membership.responsible("model/0", excluded={first})
        asking = next(name for name in made if name not in (first, second))
        network.cut.add(first)
        # The next router has no free slot, so the request waits there.
        blocking = request(made[second], "y")
        made[second].pools["model/0"].scheduler.offer(blocking, 0.0)
        made[second]._decide(made[second].pools["model/0"])
        placing = asyncio.ensure_future(
            made[asking].place(request(made[asking], "x", due=1e9), "model/0")
        )
        waiting = made[second].pools["model/0"].scheduler.waiting
        while not waiting:
            await asyncio.sleep(0.01)
        network.cut.clear()
        call = next(iter(waiting))
        grant = Datagram(first, 1, [GrantMessage(call, "e-0@0")])
        made[asking].take(decode(encode(grant)))
        await placing
        await asyncio.sleep(0.05)
        return waiting

    assert play(work) == {}


def test_a_router_that_gets_no_answer_from_two_others_decides_locally():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b", "c", "d"])
        asking = next(name for name in made if name != decider(made))
        network.cut.add(asking)
        await made[asking].place(request(made[asking], "x"), "model/0")
        sent = network.sent
        decision = await made[asking].place(request(made[asking], "y"), "model/0")
        return decision, network.sent - sent

    decision, sent = play(work)
    assert isinstance(decision, Granted)
    assert sent == 0


def test_a_withdrawn_request_releases_its_grant():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"], endpoints=1, slots=1)
        first = decider(made)
        other = next(name for name in made if name != first)
        granted = await made[other].place(request(made[other], "x"), "model/0")
        waiting = asyncio.ensure_future(
            made[first].place(request(made[first], "y", due=1e9), "model/0")
        )
        await asyncio.sleep(0.05)
        assert not waiting.done()
        made[other].begun(granted.call, 0.01)
        made[other].ended(granted.call, Outcome.COMPLETE)
        return await waiting

    assert isinstance(play(work), Granted)


class LeavingNetwork(SimulatedNetwork):
    """Network on which a request's caller leaves just as its grant arrives."""

    asked = None

    def deliver(self, sender, receiver, message):
        super().deliver(sender, receiver, message)
        if isinstance(message, GrantMessage):
            asyncio.get_running_loop().call_soon(self.asked.cancel)


def test_a_request_cancelled_as_its_grant_arrives_returns_the_grant():
    async def work():
        network = LeavingNetwork()
        made = coordinators(network, ["a", "b"], endpoints=1, slots=1)
        first = decider(made)
        other = next(name for name in made if name != first)
        placed = made[other].place(request(made[other], "x"), "model/0")
        network.asked = asyncio.ensure_future(placed)
        await asyncio.wait([network.asked])
        await asyncio.sleep(0.05)
        [load] = made[first].pools["model/0"].scheduler.loads.values()
        return network.asked.cancelled(), len(load.active), len(made[other].placed)

    assert play(work) == (True, 0, 0)


def test_a_service_of_many_endpoints_has_several_pools():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a"], endpoints=4 * MAX_POOL_SIZE)
        coordinator = made["a"]
        offered = request(coordinator, "x")
        pools = {
            coordinator.pool_for("model", request(coordinator, str(number)).prompt)
            for number in range(60)
        }
        pool = coordinator.pool_for("model", offered.prompt)
        again = coordinator.pool_for("model", offered.prompt)
        decision = await coordinator.place(offered, pool)
        return pools, pool == again, decision

    pools, stable, decision = play(work)
    assert len(pools) == 4
    assert stable
    assert isinstance(decision, Granted)


def fill_pool(coordinator, pool):
    """Fill all slots of a pool for longer than any request can wait."""
    now = asyncio.get_running_loop().time()
    scheduler = coordinator.pools[pool].scheduler
    for name, load in scheduler.loads.items():
        load.residence = 100.0
        for number in range(load.endpoint.slots):
            call = f"b.0.{name}-{number}"
            scheduler.record_active(
                name, ActiveRequest(call, "b", 0, 1, now, now, begun=True)
            )


def test_a_request_that_its_pool_cannot_serve_in_time_is_offered_to_another():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"], endpoints=2 * MAX_POOL_SIZE)
        coordinator = made["a"]
        asked = request(coordinator, "x")
        own = coordinator.pool_for("model", asked.prompt)
        for each in made.values():
            fill_pool(each, own)
        decision = await coordinator.place_with_fallback(asked, "model")
        (other,) = coordinator.pools.keys() - {own}
        return (
            decision,
            coordinator.pools[other],
            coordinator.placed[decision.call].pool == other,
        )

    decision, other, placed_there = play(work)
    assert isinstance(decision, Granted)
    assert decision.endpoint in other.scheduler.loads
    assert placed_there


def test_a_fallback_pool_copies_the_prompt_from_the_first_one():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"], endpoints=2 * MAX_POOL_SIZE)
        coordinator = made["a"]
        asked = request(coordinator, "x", tokens=5000)
        own = coordinator.pool_for("model", asked.prompt)
        keeper = next(iter(coordinator.pools[own].scheduler.loads))
        for each in made.values():
            fill_pool(each, own)
            each.pools[own].scheduler.record_cached_prefixes(
                keeper, [Part("t-x", 5000)]
            )
        decision = await coordinator.place_with_fallback(asked, "model")
        return decision.copy_source == keeper

    assert play(work)


def test_a_request_that_no_pool_can_serve_in_time_is_rejected():
    async def work():
        made = coordinators(SimulatedNetwork(), ["a"], endpoints=2 * MAX_POOL_SIZE)
        coordinator = made["a"]
        for pool in coordinator.pools:
            fill_pool(coordinator, pool)
        return await coordinator.place_with_fallback(request(coordinator, "x"), "model")

    assert isinstance(play(work), Rejected)


@pytest.mark.parametrize(("schedule_returns", "told"), [(False, 1.0), (True, 2.0)])
def test_a_request_that_two_pools_reject_is_told_one_of_their_times(
    schedule_returns, told
):
    """With promises, a return before the later time would be early for that pool."""

    async def work():
        made = coordinators(SimulatedNetwork(), ["a"], endpoints=2 * MAX_POOL_SIZE)
        coordinator = made["a"]
        coordinator.features = SchedulingFeatures(schedule_returns=schedule_returns)
        delays = iter([2.0, 1.0])

        async def place(offered, pool):
            return Rejected(offered.call, "no answer in time", next(delays))

        coordinator.place = place
        return await coordinator.place_with_fallback(request(coordinator, "x"), "model")

    assert play(work).retry_after == told


def test_a_request_to_a_service_without_endpoints_is_rejected_at_once():
    async def work():
        made = coordinators(SimulatedNetwork(), ["a"])
        return await made["a"].place(request(made["a"], "x"), "nothing/0")

    assert isinstance(play(work), Rejected)


def restart(coordinator, table, name, incarnation):
    """Restart an endpoint under its name; return the endpoints that were removed."""
    table.put(endpoint(name, incarnation=incarnation))
    return coordinator.refresh(table, routes())


def test_no_state_of_an_endpoint_survives_its_restart():
    async def work():
        table = EndpointTable()
        table.put(endpoint("e-0", incarnation=1000))
        coordinator = SchedulingCoordinator(
            FakeFleet(SimulatedNetwork(), "a", ["a"]), 4.0
        )
        coordinator.refresh(table, routes())
        scheduler = coordinator.pools["model/0"].scheduler
        asked = request(coordinator, "x", tokens=5000)
        decision = await coordinator.place(asked, "model/0")
        scheduler.ended(asked.call, Outcome.SILENT, asyncio.get_running_loop().time())
        old = coordinator.endpoints[decision.endpoint]
        gone = restart(coordinator, table, "e-0", 2000)
        (load,) = scheduler.loads.values()
        coordinator.report_active()
        assert gone == [old]
        assert coordinator.is_superseded(old)
        assert not coordinator.is_superseded(load.endpoint)
        assert coordinator.cached_at(asked.prompt) not in scheduler.loads
        return (
            load.prefixes.kept(asked.prompt),
            len(load.active),
            load.failure_ratio,
            load.unavailable_until,
        )

    assert play(work) == (0, 0, 0.0, 0.0)


def test_a_decision_for_an_ended_incarnation_names_no_endpoint():
    async def work():
        table = EndpointTable()
        table.put(endpoint("e-0", incarnation=1000))
        coordinator = SchedulingCoordinator(
            FakeFleet(SimulatedNetwork(), "a", ["a"]), 4.0
        )
        coordinator.refresh(table, routes())
        decision = await coordinator.place(request(coordinator, "x"), "model/0")
        restart(coordinator, table, "e-0", 2000)
        return coordinator.endpoints.get(decision.endpoint)

    assert play(work) is None


def test_engines_without_a_stated_throughput_are_used():
    async def work():
        table = EndpointTable()
        table.put(endpoint("e-0"))
        coordinator = SchedulingCoordinator(
            FakeFleet(SimulatedNetwork(), "a", ["a"]), 4.0
        )
        coordinator.refresh(table, structs.replace(routes(), throughput=0.0))
        return await coordinator.place(request(coordinator, "x"), "model/0")

    assert isinstance(play(work), Granted)


def two_data_centre_coordinator(evacuated=()):
    """Return a coordinator with an endpoint in each of two data centres."""
    table = EndpointTable()
    for place in ("north", "south"):
        table.put(endpoint(f"e-{place}", data_centre=place))
    coordinator = SchedulingCoordinator(
        FakeFleet(SimulatedNetwork(), "a", ["a"]), 4.0, lambda: Basis("a", 9)
    )
    coordinator.refresh(table, routes(), evacuated)
    return coordinator, table


def test_an_evacuated_data_centre_gets_no_requests():
    async def work():
        coordinator, table = two_data_centre_coordinator({"north"})
        decisions = [
            await coordinator.place_with_fallback(
                request(coordinator, str(number)), "model"
            )
            for number in range(2)
        ]
        before = {decision.endpoint for decision in decisions}
        coordinator.refresh(table, routes())
        return before, set(coordinator.pools["model/0"].scheduler.loads)

    assert play(work) == ({"e-south"}, {"e-north", "e-south"})


def test_an_evacuation_does_not_change_the_pools_of_other_endpoints():
    async def work():
        table = EndpointTable()
        for number in range(4 * MAX_POOL_SIZE):
            place = ("north", "south", "east")[number % 3]
            table.put(endpoint(f"e-{number}", data_centre=place))
        coordinator = SchedulingCoordinator(
            FakeFleet(SimulatedNetwork(), "a", ["a"]), 4.0
        )

        def places():
            return {
                name: pool
                for pool, item in coordinator.pools.items()
                for name, load in item.scheduler.loads.items()
                if load.endpoint.data_centre != "north"
            }

        coordinator.refresh(table, routes())
        before = places()
        coordinator.refresh(table, routes(), {"north"})
        return before == places()

    assert play(work)


def test_a_request_is_rejected_at_once_if_all_data_centres_are_evacuated():
    async def work():
        coordinator, _ = two_data_centre_coordinator({"north", "south"})
        return await coordinator.place_with_fallback(request(coordinator, "x"), "model")

    decision = play(work)
    assert isinstance(decision, Rejected)
    assert decision.retry_after > 0


def block_reason(endpoint_fields, offset, evacuated=()):
    """Return why a grant of a router that has read up to `offset` is not used."""

    async def work():
        coordinator, _ = two_data_centre_coordinator(evacuated)
        granted = Granted("a.1.1", "e-north", basis=Basis("b", offset))
        fields = {"data_centre": "north", **endpoint_fields}
        return coordinator.find_block_reason(endpoint("e-north", **fields), granted)

    return play(work)


@pytest.mark.parametrize(
    ("fields", "offset", "evacuated", "expected"),
    [
        ({}, 0, (), None),
        ({"leaving": True}, 9, (), BlockReason.LEAVING),
        ({}, 9, ("north",), BlockReason.EVACUATED),
        ({}, 9, ("south",), None),
        ({"warm_at": math.inf}, 8, (), BlockReason.WARMING),
        ({"warm_at": math.inf}, 9, (), None),
    ],
)
def test_each_router_checks_its_own_state_before_it_sends(
    fields, offset, evacuated, expected
):
    assert block_reason(fields, offset, evacuated) is expected


def test_a_new_leader_waits_before_it_grants_endpoints_that_warm_up():
    coordinator = PoolState("model/0", Scheduler(4.0))
    coordinator.set_leading(False, 10.0)
    assert coordinator.scheduler.warm_up_allowed_from == math.inf
    coordinator.set_leading(True, 20.0)
    assert coordinator.scheduler.warm_up_allowed_from == 20.0 + TAKEOVER_DELAY
    coordinator.set_leading(True, 30.0)
    assert coordinator.scheduler.warm_up_allowed_from == 20.0 + TAKEOVER_DELAY


def test_restricted_requests_are_sent_to_pools_in_their_data_centres():
    async def work():
        coordinator, _ = two_data_centre_coordinator()
        south = coordinator.weights_for("model", {"south"})
        return south, coordinator.weights_for("model", {"east"})

    assert play(work) == ({"model/0": 4}, {})


def test_a_change_of_the_number_of_pools_is_logged_once():
    async def work():
        coordinator = SchedulingCoordinator(
            FakeFleet(SimulatedNetwork(), "a", ["a"]), 4.0
        )
        for count in (MAX_POOL_SIZE, MAX_POOL_SIZE, MAX_POOL_SIZE + 1):
            table = EndpointTable()
            for number in range(count):
                table.put(endpoint(f"e-{number}"))
            coordinator.refresh(table, routes())

    with logbook.TestHandler() as handler:
        play(work)
    lines = [item for item in handler.records if item.message == "pools changed"]
    changes = [(item.extra["before"], item.extra["pools"]) for item in lines]
    assert changes == [(0, 1), (1, 2)]
    assert lines[1].extra["endpoints"] == MAX_POOL_SIZE + 1
    assert lines[1].extra["leaders"] == {"model/0": "a", "model/1": "a"}


def table_of(count, slots=4):
    table = EndpointTable()
    for number in range(count):
        table.put(endpoint(f"e-{number}", slots=slots))
    return table


@pytest.mark.parametrize("known", [0, MAX_POOL_SIZE])
def test_a_leader_that_does_not_know_a_pool_yet_is_not_considered_failed(known):
    """The leader has just started, or knows fewer endpoints and so fewer pools."""

    async def work():
        network = SimulatedNetwork()
        names = ["a", "b", "c", "d"]
        made = coordinators(network, names, endpoints=MAX_POOL_SIZE + 1)
        fleet = made["a"].fleet
        first = fleet.responsible("model/1")
        made[first].refresh(table_of(known), routes())
        if not known:
            made[first].pools.clear()
        asking = next(name for name in names if name != first)
        fleet = made[asking].fleet
        fleet.last_contact[first] = math.inf
        await made[asking].place(request(made[asking], "x"), "model/1")
        return first in fleet.suspects.until

    assert simulate(work) is False


@pytest.mark.parametrize(
    ("before", "after"),
    [(MAX_POOL_SIZE + 1, MAX_POOL_SIZE), (MAX_POOL_SIZE, MAX_POOL_SIZE + 1)],
)
def test_active_requests_are_known_after_a_change_of_the_number_of_pools(before, after):
    async def work():
        made = coordinators(SimulatedNetwork(), ["a", "b"], endpoints=before)
        for number in range(MAX_POOL_SIZE):
            coordinator = made["ab"[number % 2]]
            pools = sorted(coordinator.weights["model"])
            pool = pools[number // 2 % len(pools)]
            await coordinator.place(request(coordinator, number), pool)
        for coordinator in made.values():
            coordinator.refresh(table_of(after), routes())
        await asyncio.sleep(ACTIVE_REPORT_INTERVAL)
        for coordinator in made.values():
            coordinator.run_periodic_tasks()
        await asyncio.sleep(ACTIVE_REPORT_INTERVAL)
        expected = Counter()
        known = Counter()
        for coordinator in made.values():
            places = (placed.endpoint for placed in coordinator.placed.values())
            expected.update(place for place in places if place in coordinator.endpoints)
            for pool in coordinator.weights["model"]:
                if coordinator.decides_for(pool):
                    loads = coordinator.pools[pool].scheduler.loads
                    known.update({x: len(load.active) for x, load in loads.items()})
        return expected, +known

    expected, known = simulate(work)
    assert sum(expected.values()) >= MAX_POOL_SIZE - 1
    assert known == expected


def test_an_offer_for_a_pool_that_the_leader_lacks_is_answered():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b", "c"], endpoints=2 * MAX_POOL_SIZE)
        first = made["a"].fleet.responsible("model/1")
        asking = next(
            coordinator for name, coordinator in made.items() if name != first
        )
        fewer = EndpointTable()
        fewer.put(endpoint("e-0"))
        made[first].refresh(fewer, routes())
        answered = []
        for name, coordinator in made.items():
            take = coordinator.take

            def record(datagram, name=name, take=take):
                answered.append((datagram.sender, name))
                take(datagram)

            coordinator.take = record
        asked = asyncio.ensure_future(asking.place(request(asking, "x"), "model/1"))
        await asyncio.sleep(OFFER_RETRY_INTERVALS[0] / 2)
        asked.cancel()
        return (first, asking.fleet.own.router) in answered

    assert play(work)


def test_requests_of_a_removed_pool_go_to_another_and_no_router_is_considered_failed():
    """The leaders have read earlier that an endpoint, and so a pool, was removed."""

    async def work():
        names = ["a", "b", "c", "d"]
        made = coordinators(SimulatedNetwork(), names, endpoints=MAX_POOL_SIZE + 1)
        deciding = {made["a"].fleet.leader(f"model/{number}") for number in range(2)}
        asking = made[next(name for name in names if name not in deciding)]
        for name in names:
            if made[name] is not asking:
                made[name].refresh(table_of(MAX_POOL_SIZE), routes())
        decided = []
        for number in range(12):
            offered = request(asking, number)
            decided.append(await asking.place_with_fallback(offered, "model"))
        other_deciders = {item.basis.decider for item in decided} - deciding
        return decided, other_deciders, asking.fleet.suspects.until

    decided, other_deciders, suspected = simulate(work)
    assert all(isinstance(item, Granted) for item in decided)
    assert not other_deciders
    assert not suspected


def test_requests_of_a_removed_pool_are_withdrawn_from_its_leader():
    async def work():
        names = ["a", "b", "c", "d"]
        made = coordinators(
            SimulatedNetwork(), names, endpoints=MAX_POOL_SIZE + 1, slots=1
        )
        first = made["a"].fleet.leader("model/1")
        asking = next(
            coordinator for name, coordinator in made.items() if name != first
        )
        scheduler = made[first].pools["model/1"].scheduler
        waiting = [
            asyncio.ensure_future(asking.place(request(asking, number), "model/1"))
            for number in range(3 * MAX_POOL_SIZE)
        ]
        await asyncio.sleep(0.01)
        before = len(scheduler.waiting)
        asking.refresh(table_of(MAX_POOL_SIZE, slots=1), routes())
        await asyncio.sleep(0.01)
        for item in waiting:
            item.cancel()
        return before, len(scheduler.waiting)

    before, after = simulate(work)
    assert before > 0
    assert after == 0


def test_requests_that_wait_in_a_removed_pool_are_offered_to_another():
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"], endpoints=MAX_POOL_SIZE + 1)
        network.cut = {"a", "b"}
        coordinator = made["a"]
        waiting = [
            asyncio.ensure_future(
                coordinator.place(request(coordinator, number), "model/1")
            )
            for number in range(3)
        ]
        await asyncio.sleep(0)
        coordinator.refresh(table_of(MAX_POOL_SIZE), routes())
        return [await item for item in waiting]

    for decision in simulate(work):
        assert isinstance(decision, Rejected | Granted)
        assert not isinstance(decision, Rejected) or decision.reason == UNKNOWN_POOL


@pytest.mark.parametrize(
    ("paused", "told", "suspended"), [(0.2, 0, True), (1.2, 1, False)]
)
def test_the_leader_is_told_of_a_stream_that_goes_on_after_a_silence(
    paused, told, suspended
):
    async def work():
        network = SimulatedNetwork()
        made = coordinators(network, ["a", "b"], endpoints=1)
        leader = decider(made)
        [other] = set(made) - {leader}
        coordinator = made[other]
        granted = await coordinator.place(request(coordinator, "x"), "model/0")
        coordinator.begun(granted.call, 0.01)
        await asyncio.sleep(0.01)
        load = made[leader].pools["model/0"].scheduler.loads["e-0"]
        load.silent_until = coordinator.loop.time() + 9.0
        await asyncio.sleep(paused)
        sent = network.sent
        coordinator.begun(granted.call, 0.01 + paused)
        await asyncio.sleep(0.01)
        return network.sent - sent, load.silent_until > coordinator.loop.time()

    assert simulate(work) == (told, suspended)
