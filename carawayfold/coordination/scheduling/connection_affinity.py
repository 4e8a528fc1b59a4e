"""Idle connections that routers keep to an endpoint, as its scheduler knows them.

Designed for dozens to hundreds of routers that each send to dozens of endpoints, so
that the requests of one pair are seconds apart and most would open a connection. Among
endpoints that would answer at about the same time, a request is sent to one to which
its router has an idle connection.

The scheduler learns of connections from the ends of attempts, and counts one as taken
with each grant. What it knows may be wrong, or lost with the leader of the pool: then a
connection is opened that would have been avoidable, and nothing else changes.
"""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from typing import TYPE_CHECKING

from carawayfold.coordination.scheduling.offers import Outcome, holder_of

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.state.ids import CallId, DataCentreId, Holder

#: Maximum seconds for which a connection counts as kept, whatever a router reports.
#: Routers close idle connections after that time.
MAX_KEPT_DURATION = 20.0
#: Maximum number of routers whose connections to one endpoint are known; those that
#: have kept one most recently. More than the routers of a fleet.
MAX_HOLDERS = 512
#: Maximum number of known idle connections of one router to one endpoint. More are
#: hardly needed at the same moment, since their requests would fill the endpoint.
MAX_IDLE_PER_HOLDER = 16
#: Seconds that a caller waits for a new connection to an endpoint in the same data
#: centre: a round trip of about 1 ms, the time in which the endpoint accepts it, and
#: the turns of the event loop between them.
OPENING_DURATION = 0.003
#: The same for an endpoint in another data centre, where the round trip takes up to
#: 3 ms.
REMOTE_OPENING_DURATION = 0.005
#: Fraction of an endpoint's slots in use up to which connections to it count in full,
#: and from which they don't count. Requests of many routers would else fill it while
#: others have room, and endpoints slow down and limit their connections as they fill.
FULLY_ATTRACTING_USE = 0.5
MAX_ATTRACTING_USE = 0.9
#: Outcomes after which none of the router's idle connections counts as usable, unless
#: the one of the attempt was kept.
BROKEN_OUTCOMES = frozenset({Outcome.FAILED, Outcome.SILENT, Outcome.UNREACHABLE})


class EndpointConnections:
    """Idle connections of the routers to one incarnation of an endpoint.

    All times are in monotonic seconds. An endpoint that has restarted begins with a new
    object, since its connections are closed.

    Attributes
    ----------
    idle_until : OrderedDict
        For each holder the times until which its idle connections are kept, ascending.
        The holder that kept one most recently is the last.
    """

    def __init__(self) -> None:
        self.idle_until: OrderedDict[Holder, list[float]] = OrderedDict()

    def has_connection(self, holder: Holder, now: float) -> bool:
        """Return whether a router has an idle connection at `now`."""
        times = self.idle_until.get(holder)
        return times is not None and times[-1] > now

    def take(self, call: CallId, now: float) -> bool:
        """Count one connection as used by a grant; return whether one was known."""
        holder = holder_of(call)
        if not self.has_connection(holder, now):
            self.idle_until.pop(holder, None)
            return False
        # Routers use the connection that has been idle for the shortest time.
        times = self.idle_until[holder]
        times.pop()
        if not times:
            del self.idle_until[holder]
        return True

    def keep(self, call: CallId, kept: int, now: float) -> None:
        """Record that the connection of a request is kept for `kept` milliseconds."""
        if kept <= 0:
            return
        holder = holder_of(call)
        times = self.idle_until.setdefault(holder, [])
        insort(times, now + min(kept / 1000, MAX_KEPT_DURATION))
        if len(times) > MAX_IDLE_PER_HOLDER:
            del times[0]
        self.idle_until.move_to_end(holder)
        if len(self.idle_until) > MAX_HOLDERS:
            self.idle_until.popitem(last=False)

    def record_end(self, call: CallId, outcome: Outcome, kept: int, now: float) -> None:
        """Record the connection of an ended attempt, kept for `kept` milliseconds."""
        if kept > 0:
            self.keep(call, kept, now)
        elif outcome in BROKEN_OUTCOMES:
            self.forget(call)

    def forget(self, call: CallId) -> None:
        """Forget the connections of a router that could not use the endpoint."""
        self.idle_until.pop(holder_of(call), None)

    def expire(self, now: float) -> None:
        """Remove holders that no longer have a connection, least recent first."""
        while self.idle_until:
            holder, times = next(iter(self.idle_until.items()))
            if times[-1] > now:
                return
            del self.idle_until[holder]

    def opening_cost(
        self, offer: Offer, data_centre: DataCentreId, used: float, now: float
    ) -> float:
        """Return the cost in seconds of opening a connection for a request.

        An idle connection saves all of it at an endpoint with half of its slots free,
        and nothing at one that is nearly full, so that connections don't attract
        requests to endpoints that fill up.

        Parameters
        ----------
        offer : Offer
            The request.
        data_centre : DataCentreId
            Data centre of the endpoint.
        used : float
            Fraction of the endpoint's slots in use; 1 or more if the request would
            have to wait for it.
        now : float
            Monotonic seconds.
        """
        cost = (
            OPENING_DURATION
            if data_centre == offer.data_centre
            else REMOTE_OPENING_DURATION
        )
        if used >= MAX_ATTRACTING_USE or not self.has_connection(offer.holder, now):
            return cost
        if used <= FULLY_ATTRACTING_USE:
            return 0.0
        width = MAX_ATTRACTING_USE - FULLY_ATTRACTING_USE
        return cost * (used - FULLY_ATTRACTING_USE) / width
