"""Search of a pool for each request of this router.

A request is offered to the pool of its prefix and, if that can't serve it in time, to
others. It is offered to one pool at a time.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from carawayfold.coordination.scheduling.offers import (
    UNKNOWN_POOL,
    Granted,
    PoolLoad,
    Rejected,
)
from carawayfold.coordination.scheduling.pool_assignment import (
    choose_fallback_pool,
    choose_pool,
    draw_fraction,
)
from carawayfold.coordination.scheduling.pool_balance import (
    KnownLoad,
    PoolBalance,
    measure_load,
)
from carawayfold.state.ids import PoolId

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection, Mapping

    from carawayfold.coordination.scheduling.admission import AdmissionControl
    from carawayfold.coordination.scheduling.decision_statistics import (
        SchedulingStatistics,
    )
    from carawayfold.coordination.scheduling.features import SchedulingFeatures
    from carawayfold.coordination.scheduling.offers import Decision, Offer
    from carawayfold.coordination.scheduling.pending import PoolState
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.ids import CallId, DataCentreId, ServiceId, SoftwareVersion

#: Maximum number of other pools to which a request is offered if its own pool can't
#: serve it in time. Without them, an organisation whose requests share a prefix would
#: get its share of a single pool only, whatever the capacity of the others.
MAX_FALLBACK_POOLS = 1
#: The same with balance between pools. The last one is asked only if it is known to
#: have room, or nothing is known of it and the objective lasts.
MAX_BALANCED_POOLS = 2
#: Part of the remaining objective that a request waits in a pool before it may move to
#: one that is known to have room. Spread by hash, so that the requests of a full pool
#: don't move on one load of another. Two moves leave a third of the objective.
MIN_PATIENCE, MAX_PATIENCE = 0.2, 0.4
#: The same before it may move to a pool of unknown load.
UNKNOWN_PATIENCE = 0.4
#: Seconds between two looks for a pool with room.
LOOK_INTERVAL = 0.04
#: Seconds between two measurements of the load of a pool. Its use changes little within
#: the rounds of decisions of this time.
MEASURE_INTERVAL = 0.02
#: Reason of the rejection with which a waiting request leaves a pool. Callers never
#: see it, as another pool decides on the request.
LEFT_QUEUE = "it waits for another pool"


class Coordinator(Protocol):
    """What the search uses of the coordinator; see `SchedulingCoordinator`."""

    features: SchedulingFeatures
    loop: asyncio.AbstractEventLoop
    pools: dict[PoolId, PoolState]
    weights: dict[ServiceId, dict[PoolId, int]]
    admission: AdmissionControl
    decision_statistics: SchedulingStatistics
    last_call_number: int

    def decides_for(self, pool: PoolId) -> bool:
        """Return whether this router is the leader of a pool."""

    def next_call(self) -> CallId:
        """Return a new identifier of a request for the schedulers."""

    async def place(
        self, offer: Offer, pool: PoolId, decide_locally: bool = False
    ) -> Decision:
        """Return the decision on a request."""

    def withdraw_pending(self, call: CallId, rejection: Rejected) -> bool:
        """Resolve a request that waits with a rejection; return whether it waited."""


class PoolSelection:
    """Chooses the pools to which requests are offered.

    Parameters
    ----------
    coordinator : Coordinator
        Offers requests to pools.
    """

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.balance = PoolBalance()

    @property
    def balances(self) -> bool:
        """Return whether the loads of pools are stated and used."""
        return self.coordinator.features.balance_pools

    # Loads of pools

    def measure(self, pool_state: PoolState, now: float) -> PoolLoad | None:
        """Return and record the load of a pool, None if this router doesn't lead it.

        It is measured again after `MEASURE_INTERVAL`, or once the pool is full.
        """
        if not self.balances or not self.coordinator.decides_for(pool_state.id):
            return None
        measured, scheduler = pool_state.measured, pool_state.scheduler
        if measured is not None and now - measured.at < MEASURE_INTERVAL:
            states_full = measured.load.used >= 1
            if states_full or now >= scheduler.full_until:
                return measured.load
        load = measure_load(scheduler, now)
        pool_state.measured = KnownLoad(load, now)
        self.balance.record(pool_state.id, load, now)
        self.coordinator.decision_statistics.of(pool_state.id).load = load
        return load

    def measure_all(self, now: float) -> None:
        """Record the loads of all pools that this router leads, drop older ones."""
        for pool_state in self.coordinator.pools.values():
            self.measure(pool_state, now)
        self.balance.expire(now)

    def record_decision(self, offer: Offer, pool: PoolId, decision: Decision) -> None:
        """Record the load that a decision of the pool's leader states."""
        if not self.balances:
            return
        now = self.coordinator.loop.time()
        if decision.load is not None:
            self.balance.record(pool, decision.load, now)
        if isinstance(decision, Rejected):
            self.balance.contradict(pool, offer, now)

    # Pools of a service

    def weights_for(
        self,
        service: ServiceId,
        allowed: Collection[DataCentreId] | None,
        software: SoftwareVersion | None = None,
    ) -> dict[PoolId, int]:
        """Return the slots of each pool that a request may use.

        Pools without slots are omitted.

        Parameters
        ----------
        service : ServiceId
            Service of the request.
        allowed : collection of DataCentreId or None
            Data centres in which it may run; None for any.
        software : SoftwareVersion or None
            Software version that its endpoint must have; None for any.
        """
        weights = self.coordinator.weights.get(service, {})
        if allowed is None and software is None:
            return weights
        slots_by_pool = {}
        for pool in weights:
            loads = self.coordinator.pools[pool].scheduler.loads.values()
            endpoints = [load.endpoint for load in loads]
            slots_by_pool[pool] = sum(
                item.slots
                for item in endpoints
                if (allowed is None or item.data_centre in allowed)
                and software in (None, item.software)
            )
        return {pool: slots for pool, slots in slots_by_pool.items() if slots}

    def pool_for(
        self,
        service: ServiceId,
        prompt: tuple[Part, ...],
        allowed: Collection[DataCentreId] | None = None,
        software: SoftwareVersion | None = None,
    ) -> PoolId:
        """Return the pool of `service` for requests with the prefix of `prompt`."""
        weights = self.weights_for(service, allowed, software)
        if not weights:
            return PoolId(f"{service}/0")
        if len(weights) == 1:
            return next(iter(weights))
        return choose_pool(weights, self._prefix_of(prompt))

    def _prefix_of(self, prompt: tuple[Part, ...]) -> str:
        if len(prompt) > 1:
            return prompt[-2].id
        return str(self.coordinator.last_call_number)

    def _first_pool(self, offer: Offer, service: ServiceId) -> PoolId:
        """Return the pool to which a request is offered first, and count a move."""
        own = self.pool_for(service, offer.prompt, offer.allowed, offer.software)
        weights = self.weights_for(service, offer.allowed, offer.software)
        pool = self.find_first_pool(offer, weights, own)
        if pool != own:
            statistics = self.coordinator.decision_statistics
            statistics.of(pool).moved_first += 1
            statistics.pool_moves["first"] += 1
        return pool

    def find_first_pool(
        self, offer: Offer, weights: Mapping[PoolId, int], own: PoolId
    ) -> PoolId:
        """Return the pool to which a request is offered first.

        Parameters
        ----------
        offer : Offer
            The request.
        weights : mapping
            Slots of each pool that it may use.
        own : PoolId
            The pool of its prefix.
        """
        if not self.balances or len(weights) < 2:
            return own
        now = self.coordinator.loop.time()
        prefix = self._prefix_of(offer.prompt)
        return self.balance.choose_first(weights, own, prefix, offer, now)

    def find_further_pool(
        self, offer: Offer, weights: Mapping[PoolId, int], asked: list[PoolId]
    ) -> PoolId | None:
        """Return the next pool for a rejected request, None if no other is asked."""
        if not self.balances:
            if len(asked) > MAX_FALLBACK_POOLS:
                return None
            return choose_fallback_pool(weights, asked, offer.call)
        if len(asked) > MAX_BALANCED_POOLS:
            return None
        now = self.coordinator.loop.time()
        if len(asked) <= MAX_FALLBACK_POOLS:
            return self.balance.choose_further(weights, asked, offer, now)
        found = self.balance.find_room(weights, asked, offer, now)
        if found is None and now < offer.latest:
            found = self.balance.find_unknown(weights, asked, offer, now)
        return found

    # Requests

    async def place(self, offer: Offer, service: ServiceId) -> Decision:
        """Return the decision of the pool of a request's prefix, or of another pool.

        Cancelling the coroutine withdraws the request.
        """
        coordinator = self.coordinator
        pool = self._first_pool(offer, service)
        asked = [pool]
        rejections: list[Rejected] = []
        moved = False
        while True:
            wait = QueueWait(self, offer, service, asked, counted=moved)
            decision = self._throttle(offer, pool) or await wait.place()
            if isinstance(decision, Granted):
                return decision
            weights = self.weights_for(service, offer.allowed, offer.software)
            further = wait.moves_to
            moved = further is not None
            if further is None:
                rejections.append(decision)
                further = self.find_further_pool(offer, weights, asked)
            # The leader may still remember its decision under the old identifier.
            cached_at = decision.cached_at or offer.cached_at
            offer = replace(offer, call=coordinator.next_call(), cached_at=cached_at)
            if further is not None:
                if self.balances:
                    # A wait elsewhere says nothing about the queue of the next pool.
                    offer.arrived = coordinator.loop.time()
                self._count_further(further, moved)
                pool = further
                asked.append(pool)
            elif decision.reason == UNKNOWN_POOL and pool in weights:
                return await coordinator.place(offer, pool, decide_locally=True)
            else:
                # With promises, a return before the later one would be too early.
                choose = max if coordinator.features.schedule_returns else min
                return choose(rejections, key=lambda item: item.retry_after)

    def _count_further(self, pool: PoolId, moved: bool) -> None:
        if self.balances:
            statistics = self.coordinator.decision_statistics
            statistics.of(pool).moved_later += 1
            statistics.pool_moves["waiting" if moved else "rejected"] += 1

    def _throttle(self, offer: Offer, pool: PoolId) -> Rejected | None:
        """Return the rejection of a request that may not be offered to a pool."""
        coordinator = self.coordinator
        rejection = coordinator.admission.reject(offer, pool, coordinator.loop.time())
        if rejection is not None:
            coordinator.decision_statistics.of(pool).throttled += 1
        return rejection


class QueueWait:
    """Wait of a request for the decision of one pool, which it may leave for another.

    Parameters
    ----------
    counted : bool
        Whether its offer is counted in the load of the pool already.

    Attributes
    ----------
    moves_to : PoolId or None
        Pool for which it has left the queue.
    """

    def __init__(
        self,
        selection: PoolSelection,
        offer: Offer,
        service: ServiceId,
        asked: list[PoolId],
        counted: bool,
    ) -> None:
        self.selection = selection
        self.coordinator = selection.coordinator
        self.offer = offer
        self.service = service
        self.asked = asked
        self.counted = counted
        self.since = self.coordinator.loop.time()
        self.moves_to: PoolId | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def place(self) -> Decision:
        """Return the decision of the last pool in `asked`.

        A rejection with the reason `LEFT_QUEUE` if the request goes on to `moves_to`.
        """
        pool = self.asked[-1]
        if not self.selection.balances:
            return await self.coordinator.place(self.offer, pool)
        if not self.counted:
            self.selection.balance.record_offer(pool)
        left = self.offer.due - self.since
        if len(self.asked) <= MAX_BALANCED_POOLS and left > 0:
            draw = draw_fraction(f"patience|{self.offer.call}")
            patience = MIN_PATIENCE + (MAX_PATIENCE - MIN_PATIENCE) * draw
            self._look_in(patience * left)
        try:
            return await self.coordinator.place(self.offer, pool)
        finally:
            if self.timer is not None:
                self.timer.cancel()

    def _look_in(self, seconds: float) -> None:
        self.timer = self.coordinator.loop.call_later(seconds, self._look)

    def _look(self) -> None:
        """Leave the queue if another pool serves the request sooner."""
        offer, balance = self.offer, self.selection.balance
        now = self.coordinator.loop.time()
        if now >= offer.latest:
            return
        weights = self.selection.weights_for(
            self.service, offer.allowed, offer.software
        )
        found = balance.find_room(weights, self.asked, offer, now)
        patience = UNKNOWN_PATIENCE * (offer.due - self.since)
        if found is None and now - self.since >= patience:
            found = balance.find_unknown(weights, self.asked, offer, now)
        if found is None:
            self._look_in(LOOK_INTERVAL)
            return
        rejection = Rejected(offer.call, LEFT_QUEUE, 0.0)
        if self.coordinator.withdraw_pending(offer.call, rejection):
            self.moves_to = found
            # Other requests may leave before this one is offered there.
            balance.record_offer(found)
            balance.contradict(self.asked[-1], offer, now)
