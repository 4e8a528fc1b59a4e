"""State of one endpoint at a scheduler: active requests, speed and failures."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.scheduling.endpoint_speed import (
    FACTOR_HALF_LIFE,
    EndpointSpeed,
)
from carawayfold.coordination.scheduling.offers import Outcome
from carawayfold.coordination.scheduling.warm_up import WarmUpState
from carawayfold.state.first_tokens import FirstTokenModel
from carawayfold.state.prefix_cache import PrefixCache

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.connection_affinity import (
        EndpointConnections,
    )
    from carawayfold.coordination.scheduling.endpoint_speed import StatedLoad
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId, RouterId

#: Half-life of the failure ratio in seconds.
FAILURE_HALF_LIFE = 1.5
#: Weight of the newest sample in exponential moving averages, 0 to 1.
SMOOTHING_WEIGHT = 0.1
#: Initial residence time of a request in seconds, used until requests have ended.
DEFAULT_RESIDENCE = 0.05
#: Seconds of suspension of an endpoint that refuses connections, or that a router
#: reports as leaving. Its registration is updated within that time.
UNAVAILABLE_SUSPENSION_DURATION = 4.0
#: Seconds of suspension of an endpoint that another router knows to be warming up and
#: this one doesn't. Its registration is read here within that time.
WARMING_SUSPENSION_DURATION = 0.5
#: Seconds for which an endpoint that did not respond is suspended: after the first
#: silence, doubled with each further one up to the maximum.
MIN_SUSPENSION_DURATION = 0.5
MAX_SUSPENSION_DURATION = 4.0


class ActiveRequest(msgspec.Struct, eq=False):
    """A request at an endpoint; all times are in monotonic seconds.

    Attributes
    ----------
    call : CallId
        The request.
    router : RouterId
        Its router.
    prefill_tokens : int
        Tokens that the engine has to prefill for it.
    memory : int
        Tokens of memory that it takes beyond shared parts.
    since : float
        Time at which it was granted.
    reported_at : float
        Time of the last report of its router that it is active.
    queued_tokens : int
        Tokens that waited to be prefilled when it was sent, its own included.
    begun : bool
        Whether its first token has been received.
    prompt : tuple of Part
        Its prompt, if it was granted by this scheduler.
    stated : StatedLoad or None
        Load that the endpoint stated in its answer.
    """

    call: CallId
    router: RouterId
    prefill_tokens: int
    memory: int
    since: float
    reported_at: float
    queued_tokens: int = 0
    begun: bool = False
    prompt: tuple[Part, ...] = ()
    stated: StatedLoad | None = None


@dataclass(slots=True, eq=False)
class EndpointLoad:
    """State of one endpoint at a scheduler; all times are in monotonic seconds.

    Attributes
    ----------
    endpoint : Endpoint
        Its registration.
    memory_tokens : int
        Its cache memory in tokens.
    expected_speed : float
        Initial prefill rate in tokens per second, used until requests were observed.
    residence : float
        Mean residence time of a request in seconds.
    failure_ratio : float
        Recent ratio of failed answers, 0 to 1, as of `failure_ratio_at`.
    failure_ratio_at : float
        Time of the last change of `failure_ratio`.
    suspended_until : float
        Time until which it is suspended because it refused connections, leaves or warms
        up.
    silent_until : float
        Time until which it is suspended because it did not respond; 0 once it has
        responded.
    silence_counted_at : float
        Time at which its last silence was counted.
    next_warm_up_grant_at : float
        Time from which the next grant is permitted while it warms up.
    consecutive_silences : int
        Silences since its last response.
    prefill_tokens : int
        Tokens that wait to be prefilled.
    memory : int
        Tokens of memory used by active requests.
    active : dict
        Requests in flight.
    prefixes : PrefixCache
        Prefixes that it has cached.
    first_tokens : FirstTokenModel
        Model of the time to the first token.
    connections : EndpointConnections or None
        Idle connections of the routers to it; None if they are not taken into account.
    stated_speed : EndpointSpeed
        What it states about its load.
    warm_up : WarmUpState
        What is known of its warm-up beside its entry.
    """

    endpoint: Endpoint
    memory_tokens: int
    expected_speed: float
    residence: float = DEFAULT_RESIDENCE
    failure_ratio: float = 0.0
    failure_ratio_at: float = 0.0
    suspended_until: float = 0.0
    silent_until: float = 0.0
    silence_counted_at: float = -math.inf
    next_warm_up_grant_at: float = 0.0
    consecutive_silences: int = 0
    prefill_tokens: int = 0
    memory: int = 0
    active: dict[CallId, ActiveRequest] = field(default_factory=dict)
    prefixes: PrefixCache = field(init=False)
    first_tokens: FirstTokenModel = field(init=False)
    connections: EndpointConnections | None = None
    stated_speed: EndpointSpeed = field(default_factory=EndpointSpeed)
    warm_up: WarmUpState = field(default_factory=WarmUpState)

    def __post_init__(self) -> None:
        self.prefixes = PrefixCache(self.memory_tokens)
        self.first_tokens = FirstTokenModel(self.expected_speed)

    def add(self, active: ActiveRequest) -> None:
        """Add a request that is sent to the endpoint."""
        self.active[active.call] = active
        self.memory += active.memory
        if not active.begun:
            self.prefill_tokens += active.prefill_tokens
        active.queued_tokens = self.prefill_tokens

    @property
    def slots(self) -> int:
        """Return how many requests it processes at once.

        The endpoint itself knows best, but attracts none by stating more than its
        registration does.
        """
        stated = self.stated_speed.slots
        return min(stated or self.endpoint.slots, self.endpoint.slots)

    @property
    def warm_at(self) -> float:
        """Return the time at which its warm-up ends, by its entry or health check."""
        return max(self.endpoint.warm_at, self.warm_up.until)

    def is_warming(self, now: float) -> bool:
        """Return whether it warms up."""
        return now < self.warm_at

    @property
    def unavailable_until(self) -> float:
        """Return the time until which it is suspended for any reason."""
        return max(self.suspended_until, self.silent_until)

    @property
    def suspension_duration(self) -> float:
        """Return the seconds of suspension after a further silence."""
        return min(
            MAX_SUSPENSION_DURATION,
            MIN_SUSPENSION_DURATION * 2 ** min(self.consecutive_silences, 3),
        )

    def begin(
        self, call: CallId, waited: float, stated: StatedLoad | None = None
    ) -> None:
        """Record the first token of a request, `waited` seconds after it was sent.

        That of a request that has begun before shows that the endpoint is no longer
        silent. `stated` is the load in the head of its answer.
        """
        active = self.active.get(call)
        if active is None:
            return
        self._end_silence()
        self._record_stated(active, stated)
        if active.begun:
            return
        active.begun = True
        self.prefixes.read(active.prompt)
        self.prefill_tokens -= active.prefill_tokens
        self.suspended_until = 0.0
        if waited > 0 and active.prefill_tokens:
            expected = self.first_tokens.predict(active.queued_tokens)
            usual = self.stated_speed.usual_duration(waited, expected, stated)
            self.first_tokens.note(active.queued_tokens, usual)
            self._compare(waited, usual, expected, stated)

    def _record_stated(self, active: ActiveRequest, stated: StatedLoad | None) -> None:
        if stated is not None:
            active.stated = stated
            self.stated_speed.record(stated, len(self.active), self.slots)

    def _end_silence(self) -> None:
        self.consecutive_silences = 0
        self.silent_until = 0.0

    def record_timeout(self, granted_at: float, now: float) -> None:
        """Record that an attempt ended at `now` without a response.

        All requests in flight time out during one silence. It counts once, so that
        the suspension doesn't grow with their number, and not at all once the endpoint
        has responded.

        Parameters
        ----------
        granted_at : float
            Time at which the request was granted.
        now : float
            Monotonic seconds.
        """
        if granted_at > self.silence_counted_at:
            self.record_attempt(failed=True, now=now)
            self.silent_until = now + self.suspension_duration
            self.consecutive_silences += 1
            self.silence_counted_at = now
        elif self.consecutive_silences:
            self.silent_until = max(self.silent_until, now + MIN_SUSPENSION_DURATION)

    def remove(self, call: CallId) -> ActiveRequest | None:
        """Remove a request; return it if it was active."""
        active = self.active.pop(call, None)
        if active is None:
            return None
        self.memory -= active.memory
        if not active.begun:
            self.prefill_tokens -= active.prefill_tokens
        return active

    def end(
        self,
        call: CallId,
        outcome: Outcome,
        now: float,
        kept: int = 0,
        stated: StatedLoad | None = None,
    ) -> ActiveRequest | None:
        """Record the end of an attempt; return the request if it was active.

        The endpoint is suspended if the outcome shows that it can't be used.

        Parameters
        ----------
        call : CallId
            The request.
        outcome : Outcome
            How the attempt ended.
        now : float
            Monotonic seconds.
        kept : int
            Milliseconds for which its router keeps the connection; 0 if it was closed.
        stated : StatedLoad or None
            Load in the head of its answer, unless it was passed to `begin`.
        """
        active = self.active.get(call)
        if active is None:
            return None
        self._record_stated(active, stated)
        self.remove(call)
        if self.connections is not None:
            self.connections.record_end(call, outcome, kept, now)
        if outcome is Outcome.COMPLETE:
            self._record_completed(active, now)
        if outcome is Outcome.LEAVING:
            self.suspended_until = now + UNAVAILABLE_SUSPENSION_DURATION
        elif outcome is Outcome.WARMING:
            self.suspended_until = max(
                self.suspended_until, now + WARMING_SUSPENSION_DURATION
            )
        elif outcome is Outcome.SILENT:
            self.record_timeout(active.since, now)
        elif outcome is not Outcome.CANCELLED:
            self.record_attempt(outcome is not Outcome.COMPLETE, now)
        return active

    def _record_completed(self, active: ActiveRequest, now: float) -> None:
        seconds, stated = now - active.since, active.stated
        if stated is not None and now - stated.at > FACTOR_HALF_LIFE:
            # A long stream has lasted through other speeds than that of its beginning.
            stated = None
        expected = self.residence
        usual = self.stated_speed.usual_duration(seconds, expected, stated)
        self.record_residence(usual)
        if not active.queued_tokens:
            self._compare(seconds, usual, expected, stated)

    def _compare(
        self, seconds: float, usual: float, expected: float, stated: StatedLoad | None
    ) -> None:
        slots = self.slots
        self.stated_speed.compare(seconds, expected, stated)
        self.stated_speed.compare_counts(usual, expected, stated, slots)

    def record_residence(self, seconds: float) -> None:
        """Record the residence time of a completed request."""
        self.residence += SMOOTHING_WEIGHT * (seconds - self.residence)

    def excess_age(self, now: float, residence: float) -> float:
        """Return by how many seconds the requests of a full endpoint last longer.

        The mean residence of completed requests doesn't show that those in flight last
        longer. A request that does is expected to go on for about as long as it has
        lasted: the median age counts. 0 while a slot is free, as no request waits.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        residence : float
            Seconds that requests are expected to last at `now`.
        """
        if len(self.active) < self.slots:
            return 0.0
        # Requests are added when they are granted or first reported, the oldest first.
        middle = (len(self.active) - 1) // 2
        median = next(islice(self.active.values(), middle, None))
        return max(0.0, now - median.since - residence)

    def record_attempt(self, failed: bool, now: float) -> None:
        """Record whether an attempt failed."""
        self.failure_ratio = self.current_failure_ratio(now)
        self.failure_ratio_at = now
        self.failure_ratio += (
            SMOOTHING_WEIGHT * 2 * (float(failed) - self.failure_ratio)
        )

    def current_failure_ratio(self, now: float) -> float:
        """Return the recent ratio of failed attempts at `now`, 0 to 1."""
        return self.failure_ratio * 0.5 ** (
            (now - self.failure_ratio_at) / FAILURE_HALF_LIFE
        )
