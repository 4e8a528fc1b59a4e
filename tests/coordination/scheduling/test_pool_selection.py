"""Search of a pool for the requests of a router."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from carawayfold.coordination.scheduling import pool_selection
from carawayfold.coordination.scheduling.messages import (
    decision_message,
    grant_from_message,
    rejection_from_message,
)
from carawayfold.coordination.scheduling.offers import (
    Basis,
    Granted,
    PoolLoad,
    Rejected,
)
from carawayfold.coordination.scheduling.pool_assignment import (
    choose_fallback_pool,
    choose_pool,
)
from carawayfold.coordination.scheduling.pool_balance import FULL_USE
from carawayfold.coordination.scheduling.pool_selection import (
    LEFT_QUEUE,
    LOOK_INTERVAL,
)
from carawayfold.protocol.datagrams import OfferMessage, WithdrawMessage
from carawayfold.protocol.exchanges import Part
from tests.coordination.scheduling.pool_builders import (
    LEADER,
    OBJECTIVE,
    PREFIX,
    SERVICE,
    AskingRouter,
)
from tests.schedule_builders import offer
from tests.simulated_fleet import simulate

IDLE, FULL = PoolLoad(0.0, 0.3), PoolLoad(0.5, 1.0)


async def end(task):
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


def test_a_request_that_waits_leaves_for_a_pool_with_room():
    async def work():
        router = AskingRouter()
        own, _, last = router.order
        task, call = router.ask()
        await asyncio.sleep(0.01)
        router.fleet.queue(router.coordinator, call)
        router.record(last, IDLE)
        await asyncio.sleep(OBJECTIVE / 2)
        offered = router.offered()
        router.grant(offered[-1][1], last)
        decision = await task
        placed = list(router.coordinator.placed)
        return own, last, call, offered, router.fleet.sent, decision, placed

    own, last, call, offered, sent, decision, placed = simulate(work)
    (first_pool, first_call), (second_pool, second_call) = offered
    assert (first_pool, first_call, second_pool) == (own, call, last)
    assert second_call != call
    assert decision.call == second_call
    assert placed == [second_call]
    messages = [message for _, message in sent]
    withdrawn = messages.index(WithdrawMessage(own, call))
    second = next(
        number
        for number, message in enumerate(messages)
        if isinstance(message, OfferMessage) and message.call == second_call
    )
    assert withdrawn < second


def test_a_request_arrives_at_the_next_pool_when_it_leaves_the_first(monkeypatch):
    """Its wait there counts from its first offer, whichever router leads the pool."""
    arrived = []

    async def work():
        router = AskingRouter()
        place = router.coordinator.place

        async def recorded(offer, pool, decide_locally=False):
            arrived.append((offer.arrived, asyncio.get_running_loop().time()))
            return await place(offer, pool, decide_locally)

        monkeypatch.setattr(router.coordinator, "place", recorded)
        task, _ = router.ask()
        router.record(router.order[1], IDLE)
        await asyncio.sleep(OBJECTIVE / 2)
        await end(task)

    simulate(work)
    (first, began), (second, moved) = arrived
    assert (first, second) == (began, moved)
    assert moved > began


def test_a_late_grant_of_the_pool_that_was_left_is_not_used():
    async def work():
        router = AskingRouter()
        own, following, _ = router.order
        task, call = router.ask()
        router.record(following, IDLE)
        await asyncio.sleep(OBJECTIVE / 2)
        router.grant(call, own)
        await asyncio.sleep(0)
        undecided = not task.done() and not router.coordinator.placed
        (_, _), (pool, again) = router.offered()
        router.grant(again, pool)
        decision = await task
        return undecided, decision.call == again, len(router.coordinator.placed)

    assert simulate(work) == (True, True, 1)


def test_a_grant_that_comes_before_the_request_leaves_is_used():
    async def work():
        router = AskingRouter()
        own, following, _ = router.order
        task, call = router.ask()
        await asyncio.sleep(0.01)
        router.record(following, IDLE)
        router.grant(call, own)
        decision = await task
        await asyncio.sleep(OBJECTIVE)
        return decision.call == call, len(router.offered())

    assert simulate(work) == (True, 1)


def test_requests_that_leave_at_the_same_moment_do_not_overfill_a_pool(monkeypatch):
    monkeypatch.setattr(pool_selection, "MAX_PATIENCE", pool_selection.MIN_PATIENCE)

    async def work():
        router = AskingRouter()
        own, following, last = router.order
        tasks = [router.ask()[0] for _ in range(10)]
        await asyncio.sleep(0.01)
        router.record(own, FULL)
        router.record(last, FULL)
        free = 2 / router.weights[following]
        router.record(following, PoolLoad(0.0, FULL_USE - free))
        await asyncio.sleep(pool_selection.MIN_PATIENCE * OBJECTIVE)
        pools = [pool for pool, _ in router.offered()]
        for task in tasks:
            await end(task)
        return pools.count(own), pools.count(following)

    stayed, left = simulate(work)
    assert stayed == 10
    assert 1 <= left <= 3


def test_a_request_stays_in_a_queue_while_other_pools_are_full():
    async def work():
        router = AskingRouter()
        task, _ = router.ask()
        for _ in range(10):
            for pool in router.order:
                router.record(pool, FULL)
            await asyncio.sleep(OBJECTIVE / 10)
        offered = len(router.offered())
        await end(task)
        return offered

    assert simulate(work) == 1


def test_a_resumed_stream_stayed_in_a_full_pool_after_its_objective():
    async def work():
        router = AskingRouter()
        until = asyncio.get_running_loop().time() + 3 * OBJECTIVE
        task, _ = router.ask(abandoned_at=until)
        for _ in range(15):
            for pool in router.order:
                router.record(pool, FULL)
            await asyncio.sleep(OBJECTIVE / 10)
        router.record(router.order[1], IDLE)
        await asyncio.sleep(2 * LOOK_INTERVAL)
        offered = [pool for pool, _ in router.offered()]
        await end(task)
        return offered == router.order[:2]

    assert simulate(work)


def test_a_stream_that_returned_as_its_objective_ended_stayed_in_a_full_pool():
    async def work():
        router = AskingRouter()
        now = asyncio.get_running_loop().time()
        resumed = offer("own.1.9", PREFIX, now=now, router="own", due=now + OBJECTIVE)
        resumed.abandoned_at = now + 3 * OBJECTIVE
        placing = router.coordinator.place_with_fallback(resumed, SERVICE)
        task = asyncio.ensure_future(placing)
        await asyncio.sleep(0)
        # A scheduler of the same router does this to returns of rejected requests.
        resumed.due = now
        await asyncio.sleep(OBJECTIVE)
        router.record(router.order[1], IDLE)
        await asyncio.sleep(2 * LOOK_INTERVAL)
        offered = [pool for pool, _ in router.offered()]
        await end(task)
        return offered[-1] != router.order[0]

    assert simulate(work)


def test_a_request_that_waits_leaves_for_an_unknown_pool_later():
    """The leader of the first pool may have failed, or state no load."""

    async def work():
        router = AskingRouter()
        task, _ = router.ask()
        await asyncio.sleep(0.3 * OBJECTIVE)
        early = len(router.offered())
        await asyncio.sleep(0.3 * OBJECTIVE)
        late = len(router.offered())
        await asyncio.sleep(OBJECTIVE)
        most = len(router.offered())
        await end(task)
        return early, late, most

    assert simulate(work) == (1, 2, 3)


def test_cancelling_withdraws_a_request_that_has_left_a_queue():
    async def work():
        router = AskingRouter()
        task, call = router.ask()
        router.record(router.order[1], IDLE)
        await asyncio.sleep(OBJECTIVE / 2)
        await end(task)
        withdrawn = [
            message.call
            for _, message in router.fleet.sent
            if isinstance(message, WithdrawMessage)
        ]
        await asyncio.sleep(OBJECTIVE)
        calls = [call for _, call in router.offered()]
        return withdrawn == calls, calls[0] == call, router.coordinator.pending

    assert simulate(work) == (True, True, {})


def test_a_rejected_request_goes_to_a_pool_with_room_and_at_last_to_an_unknown_one():
    async def work():
        router = AskingRouter()
        own, following, last = router.order
        router.record(last, IDLE)
        task, call = router.ask()
        await asyncio.sleep(0)
        router.reject(call, 500, 1000)
        await asyncio.sleep(0)
        (_, second) = router.offered()[-1]
        router.reject(second, 500, 1000)
        await asyncio.sleep(0)
        (_, third) = router.offered()[-1]
        router.reject(third, 500, 1000)
        decision = await task
        pools = [pool for pool, _ in router.offered()]
        return pools == [own, last, following], decision

    in_order, decision = simulate(work)
    assert in_order
    assert isinstance(decision, Rejected)
    assert decision.reason != LEFT_QUEUE


def test_a_request_is_offered_to_one_further_pool_if_all_are_full():
    async def work():
        router = AskingRouter()
        for pool in router.order:
            router.record(pool, FULL)
        task, _ = router.ask()
        await asyncio.sleep(0)
        router.reject(router.offered()[-1][1], 500, 1000)
        await asyncio.sleep(0)
        router.reject(router.offered()[-1][1], 500, 1000)
        return isinstance(await task, Rejected), len(router.offered())

    assert simulate(work) == (True, 2)


def test_a_pool_that_rejects_states_it_before_it_is_measured_again(monkeypatch):
    async def work():
        coordinator = AskingRouter().coordinator
        monkeypatch.setattr(coordinator, "decides_for", lambda pool: True)
        pool = next(iter(coordinator.pools.values()))
        now = asyncio.get_running_loop().time()
        before = coordinator.selection.measure(pool, now)
        pool.scheduler.full_until = now + 0.5
        return before, coordinator.selection.measure(pool, now + 0.001)

    before, after = simulate(work)
    assert before.used == 0.0
    assert after.used == 1.0


def test_loads_in_decisions_of_the_leader_are_recorded():
    async def work():
        router = AskingRouter()
        own = router.order[0]
        task, call = router.ask()
        await asyncio.sleep(0)
        router.grant(call, own, wait=20, used=750)
        await task
        return router.balance.loads[own].load

    assert simulate(work) == PoolLoad(0.02, 0.75)


def test_loads_in_decisions_of_another_router_are_not_recorded():
    async def work():
        router = AskingRouter()
        own = router.order[0]
        task, call = router.ask()
        await asyncio.sleep(0)
        router.fleet.target = "another"
        router.grant(call, own, wait=20, used=750)
        await task
        return router.balance.loads

    assert simulate(work) == {}


def test_restricted_requests_leave_only_for_pools_that_they_may_use():
    async def work():
        router = AskingRouter(places=("north", *["south"] * 47))
        (allowed,) = router.coordinator.weights_for("model", {"north"})
        for pool in router.order:
            router.record(pool, IDLE if pool != allowed else FULL)
        task, _ = router.ask(allowed=frozenset({"north"}))
        await asyncio.sleep(OBJECTIVE)
        pools = {pool for pool, _ in router.offered()}
        await end(task)
        return pools == {allowed}

    assert simulate(work)


@pytest.mark.parametrize("prefix", [PREFIX, "other", "third"])
def test_with_the_setting_off_pools_are_chosen_by_hash_alone(prefix):
    async def work():
        router = AskingRouter(balances=False)
        own = choose_pool(router.weights, prefix)
        for pool in router.order:
            router.record(pool, FULL if pool == own else IDLE)
        task, call = router.ask(prompt=prompt_with(prefix))
        await asyncio.sleep(3 * OBJECTIVE)
        waiting = router.offered()
        router.reject(call, 0, 0)
        await asyncio.sleep(0)
        (_, further) = router.offered()[-1]
        router.reject(further, 0, 0)
        decision = await task
        fallback = choose_fallback_pool(router.weights, [own], call)
        expected = [(own, call), (fallback, further)]
        return waiting == expected[:1], router.offered() == expected, decision

    still, chosen, decision = simulate(work)
    assert still
    assert chosen
    assert isinstance(decision, Rejected)


def prompt_with(prefix):
    """Return the prompt of a request with a prefix."""
    return (Part(prefix, 1000), Part("own", 1000))


def test_messages_carry_the_load_of_a_pool():
    load = PoolLoad(0.123, 0.75)
    basis = Basis(LEADER)
    granted = decision_message(Granted("r.1.1", "e-1", load=load), basis)
    rejected = decision_message(Rejected("r.1.1", "full", 1.0, load=load), basis)
    assert grant_from_message(granted, LEADER).load == load
    assert rejection_from_message(rejected, LEADER).load == load
    unknown = decision_message(Granted("r.1.1", "e-1"), basis)
    assert (unknown.pool_wait, unknown.pool_used) == (-1, -1)
    assert grant_from_message(unknown, LEADER).load is None
