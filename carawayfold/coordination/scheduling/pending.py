"""State of pending requests, active requests and pools at a router."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.locality_log import log_transfers
from carawayfold.protocol.datagrams import ActiveRequestReport
from carawayfold.state.ids import EndpointId, PoolId, RouterId

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.endpoint_speed import StatedLoad
    from carawayfold.coordination.scheduling.offers import Decision, Offer
    from carawayfold.coordination.scheduling.pool_balance import KnownLoad
    from carawayfold.coordination.scheduling.scheduler import Scheduler
    from carawayfold.protocol.exchanges import Part

#: Seconds after which a new leader of a pool starts to grant endpoints that warm up.
#: Their limit is per second, and the grants of the previous leader are not known.
TAKEOVER_DELAY = 1.0


class PendingRequest(msgspec.Struct, eq=False):
    """A request that waits for a decision, or has just received one.

    Attributes
    ----------
    offer : Offer
        The request.
    pool : PoolId
        Pool to which it is offered.
    answered : asyncio.Future
        Resolved with the decision.
    first_offer_at : float
        Loop time of the first offer to the current scheduler.
    unanswered : int
        Offers sent since the scheduler last answered.
    queued : bool
        Whether the scheduler has confirmed that the request is queued.
    target : RouterId or None
        Router that it was last offered to, possibly this one; None before.
    timer : asyncio.TimerHandle or None
        Timer of the next offer.
    """

    offer: Offer
    pool: PoolId
    answered: asyncio.Future[Decision]
    first_offer_at: float
    unanswered: int = 0
    queued: bool = False
    target: RouterId | None = None
    timer: asyncio.TimerHandle | None = None


class PlacedRequest(msgspec.Struct, eq=False):
    """A request of this router that is active at an endpoint.

    Attributes
    ----------
    pool : PoolId
        Pool of the endpoint.
    active : ActiveRequest
        The request, as it is reported to the scheduler.
    endpoint : EndpointId
        The endpoint.
    prompt : tuple of Part
        Its prompt.
    last_event_at : float
        Loop time of the last event of its answer; 0 before the first one.
    stated : StatedLoad or None
        Load in the head of its answer, until it is reported to the scheduler.
    """

    pool: PoolId
    active: ActiveRequest
    endpoint: EndpointId
    prompt: tuple[Part, ...]
    last_event_at: float = 0.0
    stated: StatedLoad | None = None

    def report(self) -> ActiveRequestReport:
        """Return the report that it is active."""
        active = self.active
        return ActiveRequestReport(
            active.call,
            self.endpoint,
            active.prefill_tokens,
            active.memory,
            active.begun,
        )

    def take_stated(self, now: float) -> StatedLoad | None:
        """Return what holds at `now` of the load in the head of its answer, once."""
        stated, self.stated = self.stated, None
        return stated.at_time(now) if stated is not None else None


class PoolState(msgspec.Struct, eq=False):
    """One pool and this router's scheduler for it.

    Attributes
    ----------
    id : PoolId
        The pool.
    scheduler : Scheduler
        Its scheduler at this router.
    decision_timer : asyncio.TimerHandle or None
        Timer of the next round of decisions.
    leads : bool
        Whether this router is the leader of the pool.
    measured : KnownLoad or None
        Load of the pool when it was last measured here.
    """

    id: PoolId
    scheduler: Scheduler
    decision_timer: asyncio.TimerHandle | None = None
    leads: bool = False
    measured: KnownLoad | None = None

    def expire(self, now: float) -> None:
        """Remove stale state of the scheduler, and log what it began and ended."""
        self.scheduler.expire(now)
        log_transfers(self.id, self.scheduler.locality.take_transfers())

    def set_leading(self, leads: bool, now: float) -> None:
        """Set whether this router is the leader of the pool.

        A new leader doesn't know the recent grants of its predecessor to endpoints
        that warm up, and a router that decides without leading doesn't know those of
        other routers.
        """
        if not leads:
            self.scheduler.warm_up_allowed_from = math.inf
        elif not self.leads:
            self.scheduler.warm_up_allowed_from = now + TAKEOVER_DELAY
        self.leads = leads
