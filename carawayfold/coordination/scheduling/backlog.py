"""Load of an endpoint during a round of decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.endpoint_load import EndpointLoad
    from carawayfold.state.ids import DataCentreId, EndpointId

#: Recent part of failed answers above which an engine is not asked for a copy.
FAILING_MOST = 0.3


class Backlog(msgspec.Struct, eq=False):
    """Load of an endpoint, with the requests that are meant for it added.

    What stays the same while a round of decisions lasts is worked out once: with
    hundreds of requests waiting, each round weighs each endpoint for dozens of them.

    Attributes
    ----------
    slots : float
        Requests that may run at once.
    failure : float
        Recent part of its answers that failed.
    excess : float
        The same beyond the pool's mean, since some kinds of request fail by
        themselves, wherever they run.
    resting : bool
        Whether it fell silent and may not be used yet.
    may_donate : bool
        Whether others may copy from it what it keeps.
    spacing : float
        Seconds between two requests that it may get; 0 unless it warms up.
    opens_in : float
        Seconds until it may get the next one.
    """

    load: EndpointLoad
    id: EndpointId
    data_centre: DataCentreId
    speed: float
    first_token: float
    residence: float
    slots: float
    failure: float
    excess: float
    resting: bool
    may_donate: bool
    unread: float
    running: float
    memory: float
    spacing: float = 0.0
    opens_in: float = 0.0

    @classmethod
    def of(cls, load: EndpointLoad, now: float, reachable: bool = True) -> Backlog:
        """Return the backlog without any request that still waits.

        Parameters
        ----------
        load : EndpointLoad
            The endpoint.
        now : float
            Monotonic seconds.
        reachable : bool
            Whether all routers reach it, as far as is known: one that some can't
            connect to may be cut off from other engines too.
        """
        failing = load.failure_share(now)
        resting = load.suspended_until > now
        return cls(
            load=load,
            id=load.endpoint.id,
            data_centre=load.endpoint.data_centre,
            speed=load.first_tokens.speed,
            first_token=load.first_tokens.first_token,
            residence=load.residence,
            slots=load.endpoint.slots,
            failure=failing,
            excess=0.0,
            resting=resting,
            may_donate=reachable and not resting and failing <= FAILING_MOST,
            unread=load.unread,
            running=len(load.active),
            memory=load.memory,
        )

    def add(self, unread: int, memory: int) -> None:
        """Add a request that is meant for the endpoint."""
        self.unread += unread
        self.running += 1
        self.memory += memory
        if self.spacing:
            self.opens_in = max(0.0, self.opens_in) + self.spacing

    def warm_up(self, spacing: float, opens_in: float) -> None:
        """Let it get one request each `spacing` seconds, from `opens_in` seconds on."""
        self.spacing = spacing
        self.opens_in = opens_in
