"""Balance between the pools of a service: which pool a request is offered to.

Performs no input or output and takes the time as an argument. Designed for a prefix
that most requests of a service share. By hash, all of them belong to one pool, which
rejects them while other pools have idle slots.

The prefix's requests spread over the next pools in an order of its own, so that few
pools prefill it, and return when the load of its own pool falls. The loads of pools
are known from the decisions of their leaders and unknown after a second.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from carawayfold.coordination.scheduling.offers import PoolLoad
from carawayfold.coordination.scheduling.placement import READ_AHEAD_DURATION
from carawayfold.coordination.scheduling.pool_assignment import (
    choose_fallback_pool,
    choose_pool,
    draw_fraction,
    order_pools,
)
from carawayfold.state.ids import OrganisationId, PoolId

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from carawayfold.coordination.scheduling.endpoint_load import EndpointLoad
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.coordination.scheduling.scheduler import Scheduler

#: Seconds after which the load of a pool is unknown. Streams last about as long, so
#: that an older load says little about its slots.
LOAD_DURATION = 1.0
#: Seconds for which room that a pool states is not used for an organisation whose
#: request it rejected or kept waiting although it states room.
CONTRADICTION_DURATION = 1.0
#: Pairs of pool and organisation remembered for that, so that memory is bounded.
MAX_CONTRADICTIONS = 4000
#: Fraction of a request's objective that the wait in its own pool may take.
MAX_WAIT_FRACTION = 0.25
#: The same for a pool to be taken as one with room. Lower, so that a request doesn't
#: move between two pools of about the same wait.
ROOM_WAIT_FRACTION = 0.1
#: Minimum objective in seconds used for these. A retried request may have no time left.
MIN_OBJECTIVE = 0.1
#: Fraction of the slots in use below which a pool has room for requests of other pools.
#: The rest serves what arrives until the load is known again.
FULL_USE = 0.85
#: Ratio of the use of a full pool to the mean of the known pools from which it counts
#: as overfull. Near 1, prefixes would leave their caches for small differences.
USE_BOUND = 1.25
#: Maximum fraction of the requests that leave an overfull pool. The others keep its
#: load known.
MAX_MOVED_FRACTION = 0.75
#: Fraction of the requests that leave an overfull pool for a pool of unknown load;
#: enough to learn it.
PROBE_FRACTION = 0.1
#: Stated wait in seconds of a pool without usable endpoints.
NO_ENDPOINT_WAIT = 60.0


class KnownLoad(msgspec.Struct):
    """Load of a pool as a router knows it.

    Attributes
    ----------
    load : PoolLoad
        What the leader of the pool stated.
    at : float
        Monotonic seconds at which it was received.
    added : int
        Requests that this router has offered to the pool since.
    """

    load: PoolLoad
    at: float
    added: int = 0


class Contradiction(NamedTuple):
    """Organisation whose request found no room in a pool that states room."""

    pool: PoolId
    organisation: OrganisationId


class PoolBalance:
    """Loads of pools at one router, and the choices of pools that follow from them.

    Attributes
    ----------
    loads : dict
        Load of each pool that stated one within `LOAD_DURATION`.
    contradictions : OrderedDict
        Time until which room that a pool states isn't used for an organisation.
    """

    def __init__(self) -> None:
        self.loads: dict[PoolId, KnownLoad] = {}
        self.contradictions: OrderedDict[Contradiction, float] = OrderedDict()

    def record(self, pool: PoolId, load: PoolLoad, now: float) -> None:
        """Record the load that the leader of a pool states."""
        self.loads[pool] = KnownLoad(load, now)

    def record_offer(self, pool: PoolId) -> None:
        """Record that this router offers a request to a pool."""
        known = self.loads.get(pool)
        if known is not None:
            known.added += 1

    def contradict(self, pool: PoolId, offer: Offer, now: float) -> None:
        """Record that a request found no room in a pool.

        If the pool states room, such a load is not used for the organisation for a
        while: it is wrong, or the organisation is beyond its share there. That the pool
        is full is still believed.
        """
        known = self.loads.get(pool)
        if known is None or not _has_room(known.load, offer, offer.arrived):
            return
        key = Contradiction(pool, offer.organisation)
        self.contradictions[key] = now + CONTRADICTION_DURATION
        self.contradictions.move_to_end(key)
        if len(self.contradictions) > MAX_CONTRADICTIONS:
            self.contradictions.popitem(last=False)

    def expire(self, now: float) -> None:
        """Remove loads and contradictions that are no longer used."""
        for pool, known in list(self.loads.items()):
            if now - known.at > LOAD_DURATION:
                del self.loads[pool]
        for key, until in list(self.contradictions.items()):
            if until <= now:
                del self.contradictions[key]

    def known(
        self, weights: Mapping[PoolId, int], offer: Offer, now: float
    ) -> dict[PoolId, PoolLoad]:
        """Return the known load of each pool, with this router's offers since.

        Parameters
        ----------
        weights : mapping
            Slots of each pool that a request may use.
        offer : Offer
            The request.
        now : float
            Monotonic seconds.
        """
        loads = {}
        for pool, slots in weights.items():
            known = self.loads.get(pool)
            if known is None or now - known.at > LOAD_DURATION:
                continue
            used = known.load.used + known.added / max(1, slots)
            load = PoolLoad(known.load.wait, used)
            if _has_room(load, offer, now) and self._is_contradicted(pool, offer, now):
                continue
            loads[pool] = load
        return loads

    def _is_contradicted(self, pool: PoolId, offer: Offer, now: float) -> bool:
        key = Contradiction(pool, offer.organisation)
        return self.contradictions.get(key, now) > now

    def choose_first(
        self,
        weights: Mapping[PoolId, int],
        own: PoolId,
        prefix: str,
        offer: Offer,
        now: float,
    ) -> PoolId:
        """Return the pool to which a request is offered first.

        Parameters
        ----------
        weights : mapping
            Slots of each pool that the request may use.
        own : PoolId
            The pool of its prefix.
        prefix : str
            Identifier of its prefix.
        offer : Offer
            The request.
        now : float
            Monotonic seconds.
        """
        load = self.known({own: weights[own]}, offer, now).get(own)
        if load is None or not _may_be_overfull(load, offer, now):
            return own
        loads = self.known(weights, offer, now)
        if not _is_overfull(load, loads, weights, offer, now):
            return own
        order = order_pools(weights, prefix)
        # One that contradicted itself isn't unknown: it had no room before.
        order = [
            pool
            for pool in order
            if pool in loads or not self._is_contradicted(pool, offer, now)
        ]
        target, fraction = _target(order, loads, weights, offer, now)
        return target if draw_fraction(f"first|{offer.call}") < fraction else own

    def choose_further(
        self,
        weights: Mapping[PoolId, int],
        asked: Collection[PoolId],
        offer: Offer,
        now: float,
    ) -> PoolId | None:
        """Return the next pool for a request that other pools have rejected.

        A pool without room is chosen by hash if no other has room, so that each leader
        sees the whole demand of the organisations. None if all pools were asked.
        """
        found = self.find_room(weights, asked, offer, now)
        return found or choose_fallback_pool(weights, asked, offer.call)

    def find_room(
        self,
        weights: Mapping[PoolId, int],
        asked: Collection[PoolId],
        offer: Offer,
        now: float,
    ) -> PoolId | None:
        """Return a pool that is known to have room, if any.

        Drawn by the hash of the request in proportion to the free slots: all routers
        know about the same loads, and would fill the pool with the shortest wait.
        """
        free = {
            pool: max(1, round(weights[pool] * (1 - load.used)))
            for pool, load in self.known(weights, offer, now).items()
            if pool not in asked and _has_room(load, offer, now)
        }
        return choose_pool(free, offer.call) if free else None

    def find_unknown(
        self,
        weights: Mapping[PoolId, int],
        asked: Collection[PoolId],
        offer: Offer,
        now: float,
    ) -> PoolId | None:
        """Return a pool of unknown load by the hash of a request, if any.

        One that contradicted itself isn't unknown: it had no room for the organisation.
        """
        loads = self.known(weights, offer, now)
        unknown = {
            pool: slots
            for pool, slots in weights.items()
            if pool not in loads and not self._is_contradicted(pool, offer, now)
        }
        return choose_fallback_pool(unknown, asked, offer.call)


def measure_load(scheduler: Scheduler, now: float) -> PoolLoad:
    """Return the load of a pool from the state of its scheduler.

    The pool is treated as a single endpoint, except that a request needs one engine
    that has little prefill left. If no endpoint has room, the wait is no less than that
    of the request that is served next. A pool that has just rejected a request as late
    states no free slots: those that it has are kept for requests within a share.
    """
    limited = scheduler.plan.warm_up_rate > 0
    usable = [
        load
        for load in scheduler.loads.values()
        if load.unavailable_until <= now and not (limited and load.is_warming(now))
    ]
    slots = sum(load.slots for load in usable)
    if not slots:
        return PoolLoad(NO_ENDPOINT_WAIT, 1.0)
    running = sum(len(load.active) for load in usable)
    over = running + len(scheduler.waiting) - slots + 1
    residence = sum(load.residence for load in usable) / len(usable)
    wait = max(0.0, over * residence / slots, min(map(_prefill_wait, usable)))
    if not any(
        len(load.active) < load.slots and not _prefill_wait(load) for load in usable
    ):
        wait = max(wait, _head_age(scheduler, now))
    used = running / slots
    return PoolLoad(wait, max(1.0, used) if now < scheduler.full_until else used)


def _prefill_wait(load: EndpointLoad) -> float:
    """Return the seconds until an engine has capacity for further prefill."""
    queued = load.prefill_tokens / load.first_tokens.speed
    return max(0.0, queued - READ_AHEAD_DURATION)


def _head_age(scheduler: Scheduler, now: float) -> float:
    """Return the seconds for which the request that is served next has waited."""
    for entry in scheduler.queue:
        if entry.offer.call in scheduler.waiting:
            return max(0.0, now - entry.offer.arrived)
    return 0.0


def _objective_left(offer: Offer, now: float) -> float:
    return max(MIN_OBJECTIVE, offer.due - now)


def _has_room(load: PoolLoad, offer: Offer, now: float) -> bool:
    longest = ROOM_WAIT_FRACTION * _objective_left(offer, now)
    return load.used < FULL_USE and load.wait <= longest


def _may_be_overfull(load: PoolLoad, offer: Offer, now: float) -> bool:
    """Return whether a pool is overfull unless the others are as full.

    With a free slot and a short wait it serves the request without a further prefill.
    """
    longest = MAX_WAIT_FRACTION * _objective_left(offer, now)
    return load.used >= 1 or load.wait > longest


def _is_overfull(
    load: PoolLoad,
    loads: Mapping[PoolId, PoolLoad],
    weights: Mapping[PoolId, int],
    offer: Offer,
    now: float,
) -> bool:
    """Return whether a part of the requests of a full pool should go to others."""
    if load.wait > MAX_WAIT_FRACTION * _objective_left(offer, now):
        return True
    slots = max(1, sum(weights[pool] for pool in loads))
    mean = sum(loads[pool].used * weights[pool] for pool in loads) / slots
    return load.used > USE_BOUND * mean


def _target(
    order: list[PoolId],
    loads: Mapping[PoolId, PoolLoad],
    weights: Mapping[PoolId, int],
    offer: Offer,
    now: float,
) -> tuple[PoolId, float]:
    """Return where requests of the first pool go, and the fraction of them that goes.

    Parameters
    ----------
    order : list of PoolId
        Pools in the order of the prefix that are known, or may be learnt.
    loads : mapping
        Known loads, that of the first pool included.
    weights : mapping
        Slots of each pool.
    offer : Offer
        The request.
    now : float
        Monotonic seconds.
    """
    own, others = order[0], order[1:]
    for pool in others:
        if pool in loads and _has_room(loads[pool], offer, now):
            return pool, _moved_fraction(own, pool, loads, weights, offer, now)
    unknown = next((pool for pool in others if pool not in loads), own)
    return unknown, PROBE_FRACTION


def _moved_fraction(
    own: PoolId,
    target: PoolId,
    loads: Mapping[PoolId, PoolLoad],
    weights: Mapping[PoolId, int],
    offer: Offer,
    now: float,
) -> float:
    """Return the fraction that makes the use of two pools equal, or the wait short."""
    load = loads[own]
    ratio = weights[own] / max(1, weights[target])
    by_use = (load.used - loads[target].used) / max(load.used, 1e-9) / (1 + ratio)
    longest = MAX_WAIT_FRACTION * _objective_left(offer, now)
    by_wait = 1 - longest / load.wait if load.wait > longest else 0.0
    return min(MAX_MOVED_FRACTION, max(by_use, by_wait))
