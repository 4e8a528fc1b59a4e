"""State of an ordered pair of data centres: requests sent, latency and failures.

All times are in monotonic seconds of the scheduler that keeps the state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.state.ids import DataCentreId, EndpointId

#: Seconds without a request sent because of load after which a pair no longer sends.
#: Longer than the gaps between requests of a data centre that lacks a few slots.
SENDING_TIMEOUT = 1.0
#: Half-life in seconds of latency observations. A path between data centres changes
#: rarely, and estimates need hundreds of observations of engines.
LATENCY_HALF_LIFE = 10.0
#: Standard deviation in seconds of the latency of data centres of one region around
#: the assumed one.
LATENCY_DEVIATION = 0.004
#: Least number of observations, after decay, from which a latency is estimated.
MIN_OBSERVATIONS = 5.0
#: Least variance in s² of a mean of observations. Clocks and event loops are not more
#: accurate than a tenth of a millisecond.
MIN_VARIANCE = 1e-8
#: Maximum estimated latency in seconds. A longer one is load, not distance.
MAX_LATENCY = 0.25
#: Endpoints of a data centre at which attempts must fail, without a success between,
#: before the pair counts as cut off. One endpoint alone may have crashed.
MIN_FAILED_ENDPOINTS = 2
#: Seconds for which such a failure counts. Longer than `CUT_DURATION`, so that the
#: first failure after a cut extends it.
FAILURE_WINDOW = 2.0
#: Seconds for which a pair counts as cut off before it is tried again.
CUT_DURATION = 1.0


class Observations(msgspec.Struct):
    """Exponentially decaying moments of observed waits.

    Attributes
    ----------
    weight : float
        Number of observations after decay.
    mean : float
        Mean in seconds by which waits exceeded their prediction.
    squares : float
        Weighted sum of squared deviations from the mean, in s².
    updated_at : float
        Time of the last decay.
    """

    weight: float = 0.0
    mean: float = 0.0
    squares: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to `now`."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / LATENCY_HALF_LIFE)
        self.weight *= factor
        self.squares *= factor
        self.updated_at = now

    def add(self, excess: float, now: float) -> None:
        """Add a wait that exceeded its prediction by `excess` seconds."""
        self.decay(now)
        self.weight += 1
        delta = excess - self.mean
        self.mean += delta / self.weight
        self.squares += delta * (excess - self.mean)

    def variance_of_mean(self) -> float:
        """Return the variance of the mean in s²."""
        return max(MIN_VARIANCE, self.squares / self.weight / self.weight)


class Transfer(msgspec.Struct, frozen=True):
    """Begin or end of sending from one data centre to another because of load.

    Attributes
    ----------
    origin, target : DataCentreId
        Data centre of the callers, and of the endpoints.
    begins : bool
        Whether it begins.
    local_wait : float or None
        Predicted seconds to the first token of the first request at `origin`; None if
        no endpoint there could be used.
    remote_wait : float
        The same at `target`.
    cost : float
        Seconds that the request's leaving costs.
    budget : float
        Slots of `target` that other data centres may use.
    requests : int
        Requests sent from the begin to the end.
    sent_bytes : int
        Their estimated bytes.
    """

    origin: DataCentreId
    target: DataCentreId
    begins: bool
    local_wait: float | None = None
    remote_wait: float = 0.0
    cost: float = 0.0
    budget: float = 0.0
    requests: int = 0
    sent_bytes: int = 0


class Sent(msgspec.Struct):
    """Requests sent from one data centre to another since the scheduler was made.

    Attributes
    ----------
    requests : int
        Their number.
    sent_bytes : int
        Their estimated bytes.
    """

    requests: int = 0
    sent_bytes: int = 0

    def add(self, sent_bytes: int) -> None:
        """Count a request."""
        self.requests += 1
        self.sent_bytes += sent_bytes


class DataCentrePair(msgspec.Struct, eq=False):
    """State of requests from one data centre to the endpoints of another.

    Attributes
    ----------
    by_load, by_prefix : Sent
        What left because of load, and because a prefix is cached there.
    sending : Sent or None
        What left because of load since the pair began to send; None if it doesn't.
    last_sent_at : float
        Time of the last request that left because of load.
    waits : Observations
        First-byte waits beyond their prediction.
    latency : float or None
        Estimated latency in seconds; None if unknown.
    failed_at : dict
        Time of the last failure of each endpoint since the last success.
    cut_until : float
        Time until which the pair counts as cut off.
    """

    by_load: Sent = msgspec.field(default_factory=Sent)
    by_prefix: Sent = msgspec.field(default_factory=Sent)
    sending: Sent | None = None
    last_sent_at: float = 0.0
    waits: Observations = msgspec.field(default_factory=Observations)
    latency: float | None = None
    failed_at: dict[EndpointId, float] = msgspec.field(default_factory=dict)
    cut_until: float = 0.0

    def is_sending(self, now: float) -> bool:
        """Return whether requests leave because of load."""
        return self.sending is not None and now - self.last_sent_at <= SENDING_TIMEOUT

    def record_success(self) -> None:
        """Record that an endpoint there has answered."""
        self.failed_at.clear()
        self.cut_until = 0.0

    def record_failure(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint there could not be reached or was silent."""
        self.failed_at[endpoint] = now
        for known, at in list(self.failed_at.items()):
            if now - at > FAILURE_WINDOW:
                del self.failed_at[known]
        if len(self.failed_at) >= MIN_FAILED_ENDPOINTS:
            self.cut_until = now + CUT_DURATION

    def estimate_latency(self, own: Observations, assumed: float, now: float) -> None:
        """Set the latency from the waits of this pair and of the target's own callers.

        Engines vary by more than the latency, so observations count against the assumed
        latency by their variance.
        """
        self.waits.decay(now)
        own.decay(now)
        if min(self.waits.weight, own.weight) < MIN_OBSERVATIONS:
            self.latency = None
            return
        variance = self.waits.variance_of_mean() + own.variance_of_mean()
        prior = LATENCY_DEVIATION**2
        difference = self.waits.mean - own.mean
        latency = (assumed * variance + difference * prior) / (variance + prior)
        self.latency = min(MAX_LATENCY, max(0.0, latency))
