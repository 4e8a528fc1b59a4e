"""Speed of an endpoint at this moment, from the load that it states in its answers.

Situations it is designed for:

- Endpoints that share machines with others and take some times as long as usual for
  tenths of a second. Requests go elsewhere while that lasts, and what is learnt
  meanwhile doesn't count for the time after it.
- Endpoints that are full of the requests of others.
- Endpoints whose figures contradict their answers.

Without stated figures, nothing changes. All times are in monotonic seconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from carawayfold.protocol.datagrams import LoadReport
from carawayfold.protocol.exchanges import USUAL_DURATION

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Load

#: Half-life in seconds of the logarithm of a stated factor. Neighbours disturb an
#: endpoint for tenths of a second, so that a figure of a second ago says little.
FACTOR_HALF_LIFE = 0.3
#: Seconds after which figures are ignored: seven half-lives.
MAX_FIGURE_AGE = 2.0
#: Greatest factor that is told apart. A request that can wait elsewhere for ten others
#: gains nothing from a finer figure.
MAX_FACTOR = 10.0
#: Greatest number of requests of others that is counted, as a multiple of the slots.
#: Endpoints queue few requests beyond their slots.
MAX_OTHERS_FACTOR = 2
#: Seconds after which the counts in a head are ignored. They are compared with the
#: requests in flight when they arrive, of which others may have ended since.
MAX_COUNT_AGE = 0.05
#: Trust in the figures of an endpoint before any answer has confirmed them, 0 to 1.
INITIAL_TRUST = 0.8
#: Weight of the newest answer in the trust: five answers reveal false figures.
TRUST_SMOOTHING = 0.2
#: Least factor up or down by which a figure differs from the usual to be compared with
#: durations, which vary by themselves.
MIN_COMPARED_FACTOR = 1.5
#: Factor from which an endpoint counts as slow in logs and metrics.
SLOW_FACTOR = 1.5


class StatedLoad(msgspec.Struct, frozen=True):
    """Load that an endpoint stated in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in process, requests waiting, and requests processed at once.
    factor : float
        Duration of its work as a multiple of the usual.
    at : float
        Time at which the answer began.
    """

    running: int
    waiting: int
    slots: int
    factor: float
    at: float

    @classmethod
    def of(cls, load: Load | None, now: float) -> StatedLoad | None:
        """Return the load in the head of an answer received at `now`, if any."""
        if load is None:
            return None
        factor = max(1, load.duration) / USUAL_DURATION
        return cls(load.running, load.waiting, load.slots, factor, now)

    def at_time(self, now: float) -> StatedLoad:
        """Return the figures that still hold at `now`."""
        if now - self.at <= MAX_COUNT_AGE:
            return self
        return msgspec.structs.replace(self, waiting=0)

    @classmethod
    def from_report(cls, report: LoadReport | None, now: float) -> StatedLoad | None:
        """Return the load reported by a router at `now`, if any."""
        if report is None:
            return None
        return cls(
            max(0, report.running),
            max(0, report.waiting),
            max(0, report.slots),
            max(1, report.duration) / USUAL_DURATION,
            now - max(0, report.age) / 1000,
        )


def load_report(stated: StatedLoad | None, now: float) -> LoadReport | None:
    """Return the report of a stated load to a scheduler at `now`, if any."""
    if stated is None:
        return None
    return LoadReport(
        stated.running,
        stated.waiting,
        stated.slots,
        round(stated.factor * USUAL_DURATION),
        round((now - stated.at) * 1000),
    )


class EndpointSpeed(msgspec.Struct, eq=False):
    """What one incarnation of an endpoint states about its load, and its reliability.

    Attributes
    ----------
    stated_factor : float
        Last stated factor, from 1 to `MAX_FACTOR`.
    others : int
        Requests of others at that time, as far as they leave no room.
    slots : int
        Requests that it stated to process at once; 0 if none.
    stated_at : float
        Time of these figures.
    trust : float
        How well its factors predicted its durations, 0 to 1.
    count_trust : float
        How well its waiting requests predicted its durations, 0 to 1.
    """

    stated_factor: float = 1.0
    others: int = 0
    slots: int = 0
    stated_at: float = -math.inf
    trust: float = INITIAL_TRUST
    count_trust: float = INITIAL_TRUST

    def record(self, stated: StatedLoad, in_flight: int, slots: int) -> None:
        """Record stated figures; older ones than the last are ignored.

        Parameters
        ----------
        stated : StatedLoad
            The figures.
        in_flight : int
            Requests of this fleet in flight at the endpoint.
        slots : int
            Requests that it processes at once, by its registration.
        """
        if stated.at < self.stated_at:
            return
        self.stated_at = stated.at
        self.stated_factor = min(max(stated.factor, 1.0), MAX_FACTOR)
        self.slots = stated.slots
        self.others = 0
        if stated.waiting:
            others = stated.running + stated.waiting - in_flight
            self.others = min(max(others, 0), MAX_OTHERS_FACTOR * slots)

    def factor(self, now: float) -> float:
        """Return the factor by which work takes longer than usual at `now`."""
        if self.stated_factor == 1.0:
            return 1.0
        return self.stated_factor ** (self.trust * self._weight(now))

    def other_requests(self, now: float) -> float:
        """Return how many requests of others count as running at `now`."""
        return self.others * self.count_trust * self._weight(now) if self.others else 0

    def _weight(self, now: float) -> float:
        age = max(0.0, now - self.stated_at)
        return 0.5 ** (age / FACTOR_HALF_LIFE) if age < MAX_FIGURE_AGE else 0.0

    def usual_duration(
        self, duration: float, expected: float, stated: StatedLoad | None
    ) -> float:
        """Return how long work would have taken without its stated slowness.

        A figure explains only what was longer than expected.

        Parameters
        ----------
        duration : float
            Seconds that it took.
        expected : float
            Seconds that it usually takes.
        stated : StatedLoad or None
            Figures in its answer.
        """
        if stated is None or stated.factor <= 1.0 or duration <= expected:
            return duration
        factor = min(stated.factor, MAX_FACTOR) ** self.trust
        return max(duration / factor, expected)

    def compare(
        self, duration: float, expected: float, stated: StatedLoad | None
    ) -> None:
        """Update the trust in factors by how long work took; see `usual_duration`."""
        if stated is not None:
            self.trust = _compared(self.trust, duration, expected, stated.factor)

    def compare_counts(
        self, duration: float, expected: float, stated: StatedLoad | None, slots: int
    ) -> None:
        """Update the trust in waiting requests by how long work took beside them.

        Parameters
        ----------
        duration : float
            Seconds that it took, without its stated slowness; see `usual_duration`.
        expected : float
            Seconds that it usually takes.
        stated : StatedLoad or None
            Figures in its answer.
        slots : int
            Requests that the endpoint processes at once.
        """
        if stated is not None and stated.waiting:
            factor = 1 + self.others / slots
            self.count_trust = _compared(self.count_trust, duration, expected, factor)


def _compared(trust: float, duration: float, expected: float, factor: float) -> float:
    """Return the trust in figures by which work takes `factor` times the usual.

    It moves towards the error without the figure, relative to the errors with and
    without it.
    """
    if duration <= 0 or expected <= 0:
        return trust
    figure = math.log(factor)
    if abs(figure) < math.log(MIN_COMPARED_FACTOR):
        return trust
    ratio = math.log(duration / expected)
    without, with_figure = abs(ratio), abs(ratio - figure)
    confirmed = without / (without + with_figure)
    return trust + TRUST_SMOOTHING * (confirmed - trust)
