"""What a desk keeps of requests that wait or run, and of the pools."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.scheduling.endpoint_load import Active
from carawayfold.state.ids import EndpointId, PoolId

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Decision, Offer
    from carawayfold.coordination.scheduling.scheduler import Scheduler
    from carawayfold.protocol.exchanges import Part

#: Seconds after which a router that begins to decide for a pool gives requests to
#: endpoints that warm up: what they got before counts by the second.
TAKEOVER_PAUSE = 1.0


class Ticket(msgspec.Struct, eq=False):
    """A request that waits for a decision, or has one.

    Attributes
    ----------
    answered : asyncio.Future
        Resolved with the decision.
    asked_at : float
        Loop time of the first offer to the scheduler that is asked.
    unanswered : int
        Offers sent since the scheduler last answered.
    queued : bool
        Whether the scheduler has said that it will decide.
    local : bool
        Whether this router decides.
    """

    offer: Offer
    pool: PoolId
    answered: asyncio.Future[Decision]
    asked_at: float
    unanswered: int = 0
    queued: bool = False
    local: bool = False
    timer: asyncio.TimerHandle | None = None


class Placed(msgspec.Struct, eq=False):
    """A request that this router has at an endpoint."""

    pool: PoolId
    active: Active
    endpoint: EndpointId
    prompt: tuple[Part, ...]


class PoolDesk(msgspec.Struct, eq=False):
    """One pool, and this router's scheduler for it."""

    id: PoolId
    scheduler: Scheduler
    due: asyncio.TimerHandle | None = None
    leads: bool = False

    def lead(self, leads: bool, now: float) -> None:
        """Note whether this router decides for the fleet.

        One that has just begun does not know what endpoints that warm up got of the
        one before, and one that stands in does not know what others give them.
        """
        if not leads:
            self.scheduler.warming_from = math.inf
        elif not self.leads:
            self.scheduler.warming_from = now + TAKEOVER_PAUSE
        self.leads = leads
