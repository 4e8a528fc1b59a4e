"""Load of an endpoint during one round of scheduling decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.endpoint_load import EndpointLoad
    from carawayfold.state.ids import DataCentreId, EndpointId

#: Recent ratio of failed answers, 0 to 1, above which an engine isn't a copy source.
MAX_SOURCE_FAILURE_RATIO = 0.3


class Backlog(msgspec.Struct, eq=False):
    """Load of an endpoint, including the requests that are planned for it.

    Values that are constant during a round are computed once: with hundreds of
    requests waiting, a round evaluates each endpoint for dozens of them.

    Attributes
    ----------
    load : EndpointLoad
        State of the endpoint.
    id : EndpointId
        The endpoint.
    data_centre : DataCentreId
        Its data centre.
    speed : float
        Prefill rate in tokens per second.
    first_token_delay : float
        Seconds to the first token without any prefill.
    residence : float
        Mean residence time of a request in seconds.
    slots : float
        Requests that may run at once.
    failure_ratio : float
        Recent ratio of failed answers, 0 to 1.
    excess_failure_ratio : float
        The failure ratio above the mean of the pool. Some requests fail at any
        endpoint, so the absolute ratio is no measure of the endpoint.
    suspended : bool
        Whether it is suspended, see `EndpointLoad.unavailable_until`.
    can_be_copied_from : bool
        Whether other engines may copy its cached prefixes.
    prefill_tokens : float
        Tokens that wait to be prefilled.
    running : float
        Requests in flight, those of others included.
    memory : float
        Tokens of memory in use.
    excess_age : float
        Seconds by which requests last longer than `residence`; see
        `EndpointLoad.excess_age`.
    grant_interval : float
        Seconds between two grants; 0 unless it warms up.
    available_in : float
        Seconds until the next grant is allowed.
    unconfirmed_left : int or None
        Grants that are allowed before the endpoint must be confirmed not to warm up;
        None without such a limit.
    confirmed_in : float
        Seconds until grants beyond these are expected to be allowed.
    """

    load: EndpointLoad
    id: EndpointId
    data_centre: DataCentreId
    speed: float
    first_token_delay: float
    residence: float
    slots: float
    failure_ratio: float
    excess_failure_ratio: float
    suspended: bool
    can_be_copied_from: bool
    prefill_tokens: float
    running: float
    memory: float
    excess_age: float = 0.0
    grant_interval: float = 0.0
    available_in: float = 0.0
    unconfirmed_left: int | None = None
    confirmed_in: float = 0.0

    @classmethod
    def of(cls, load: EndpointLoad, now: float, reachable: bool = True) -> Backlog:
        """Return the backlog of an endpoint, without requests that are still queued.

        Parameters
        ----------
        load : EndpointLoad
            State of the endpoint.
        now : float
            Monotonic seconds.
        reachable : bool
            Whether no router is known to fail to connect to it. An endpoint that some
            routers can't reach may be unreachable from other engines too.
        """
        factor = load.stated_speed.factor(now)
        residence = load.residence * factor
        failure_ratio = load.current_failure_ratio(now)
        suspended = load.unavailable_until > now
        return cls(
            load=load,
            id=load.endpoint.id,
            data_centre=load.endpoint.data_centre,
            speed=load.first_tokens.speed / factor,
            first_token_delay=load.first_tokens.first_token_delay * factor,
            residence=residence,
            slots=load.slots,
            failure_ratio=failure_ratio,
            excess_failure_ratio=0.0,
            suspended=suspended,
            can_be_copied_from=reachable
            and not suspended
            and failure_ratio <= MAX_SOURCE_FAILURE_RATIO,
            prefill_tokens=load.prefill_tokens,
            running=len(load.active) + load.stated_speed.other_requests(now),
            memory=load.memory,
            excess_age=load.excess_age(now, residence),
        )

    def add(self, prefill_tokens: int, memory: int) -> None:
        """Add a request that is planned for the endpoint."""
        self.prefill_tokens += prefill_tokens
        self.running += 1
        self.memory += memory
        if self.grant_interval:
            self.available_in = max(0.0, self.available_in) + self.grant_interval
        elif self.unconfirmed_left is not None:
            self.unconfirmed_left -= 1
            if self.unconfirmed_left <= 0:
                self.available_in = self.confirmed_in

    def limit_unconfirmed(self, left: int, confirmed_in: float) -> None:
        """Limit grants to `left`; further ones are expected in `confirmed_in` s."""
        self.unconfirmed_left = left
        self.confirmed_in = confirmed_in
        if left <= 0:
            self.available_in = confirmed_in

    def warm_up(self, grant_interval: float, available_in: float) -> None:
        """Limit grants to one per `grant_interval` s, from `available_in` s on."""
        self.grant_interval = grant_interval
        self.available_in = available_in
