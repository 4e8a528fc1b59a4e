"""Error of the waits that a scheduler predicts, and its correction.

Answers the load in which requests wait until their objective has passed and are
rejected only then: a prediction counts the requests that are queued before another one,
but not those that arrive later and rank before it. How far predictions were wrong is
observed by priority and corrects later ones, so that a request that can't be in time is
rejected at once.

A prediction is corrected so far only as requests that always rank before it explain: by
the fraction of the pool that these took. Among requests of one priority, some overtake
others, so that the mean error of all would reject some that are served in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from carawayfold.coordination.scheduling.offers import WaitPrediction
from carawayfold.coordination.scheduling.return_schedule import cost_of

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.coordination.scheduling.placement import Candidate
    from carawayfold.state.ids import RouteId

#: Half-life in seconds of observed waits. Shorter than a burst, so that waits after it
#: soon outweigh those during it.
OBSERVED_HALF_LIFE = 1.0
#: Seconds of waiting, predicted and observed alike, that are added to the observed
#: ones: a few short waits don't change the ratio, and it returns to 1 without any.
PRIOR_WAIT = 1.0
#: Maximum ratio of actual to predicted waits. A request is rejected for a wait of a
#: third of its objective at the earliest.
MAX_RATIO = 3.0
#: Half-life in seconds of the tokens that were granted to each class.
GRANTED_HALF_LIFE = 1.0
#: Maximum classes of requests with a ratio; the least recent one is dropped.
MAX_CLASSES = 32
#: Relative error from which a prediction counts as wrong.
WRONG_FRACTION = 0.5
#: Seconds by which any prediction may be wrong, as rounds of decisions are as far
#: apart.
ALLOWED_ERROR = 0.05
#: Maximum routes with counts; waits of further ones are not counted.
MAX_ROUTES = 256


class WaitClass(NamedTuple):
    """Requests whose predictions are corrected together.

    Attributes
    ----------
    priority : int
        Their priority.
    late : bool
        Whether they are past their objectives, and rank behind others.
    """

    priority: int
    late: bool

    def precedes(self, other: WaitClass) -> bool:
        """Return whether requests of this class rank before those of the other."""
        return (self.late, self.priority) < (other.late, other.priority)


class GrantedTokens:
    """Tokens granted to each class lately, which show how much of the pool it takes.

    Attributes
    ----------
    tokens : dict of WaitClass to float
        Decaying sum of each class as of `updated_at`, the most recent class last.
    updated_at : float
        Monotonic seconds of the last decay.
    """

    def __init__(self) -> None:
        self.tokens: dict[WaitClass, float] = {}
        self.updated_at = 0.0

    def add(self, granted: WaitClass, tokens: float, now: float) -> None:
        """Add the tokens of a granted request."""
        factor = 0.5 ** ((now - self.updated_at) / GRANTED_HALF_LIFE)
        self.updated_at = now
        for name in self.tokens:
            self.tokens[name] *= factor
        self.tokens[granted] = self.tokens.pop(granted, 0.0) + tokens
        if len(self.tokens) > MAX_CLASSES:
            del self.tokens[next(iter(self.tokens))]

    def delay_ratio(self, waiting: WaitClass) -> float:
        """Return by how much the classes before another one lengthen its waits."""
        ahead = sum(
            tokens for name, tokens in self.tokens.items() if name.precedes(waiting)
        )
        left = sum(self.tokens.values()) - ahead
        return min(MAX_RATIO, 1 + ahead / left) if left > 0 else MAX_RATIO


class ObservedWaits(msgspec.Struct):
    """Decaying sums of predicted and actual waits of one class, in seconds.

    Attributes
    ----------
    predicted, actual : float
        Sums as of `updated_at`.
    updated_at : float
        Monotonic seconds of the last decay.
    """

    predicted: float = 0.0
    actual: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to `now`, in monotonic seconds."""
        factor = 0.5 ** ((now - self.updated_at) / OBSERVED_HALF_LIFE)
        self.predicted *= factor
        self.actual *= factor
        self.updated_at = now

    def ratio(self) -> float:
        """Return the ratio of actual to predicted waits, within its bounds."""
        ratio = (self.actual + PRIOR_WAIT) / (self.predicted + PRIOR_WAIT)
        return min(max(ratio, 1.0), MAX_RATIO)


class WaitCounts(msgspec.Struct):
    """Predicted waits of one route that have ended.

    Attributes
    ----------
    ended : int
        All of them.
    wrong : int
        Those that were wrong by more than half.
    """

    ended: int = 0
    wrong: int = 0


class WaitPredictions:
    """Observed errors of the predictions of one scheduler.

    Parameters
    ----------
    corrects : bool
        Whether predictions are corrected; otherwise errors are only counted.

    Attributes
    ----------
    classes : dict of WaitClass to ObservedWaits
        Waits that were observed, the most recent class last.
    granted_tokens : GrantedTokens
        What each class took of the pool.
    counts : dict of RouteId to WaitCounts
        Predictions that have ended, since the start of the process.
    """

    def __init__(self, corrects: bool) -> None:
        self.corrects = corrects
        self.classes: dict[WaitClass, ObservedWaits] = {}
        self.granted_tokens = GrantedTokens()
        self.counts: dict[RouteId, WaitCounts] = {}
        #: Sum of the counts in log lines so far.
        self.reported = WaitCounts()

    def take_summary(self) -> dict[str, float]:
        """Return fields of a log line on the pool since the last one."""
        counts = self.counts.values()
        before = self.reported
        ended = sum(item.ended for item in counts)
        wrong = sum(item.wrong for item in counts)
        self.reported = WaitCounts(ended, wrong)
        return {"waits": ended - before.ended, "waits_wrong": wrong - before.wrong}

    def predict(self, offer: Offer, wait: float, now: float) -> float:
        """Return the corrected prediction of a request's wait, in seconds.

        The first one that is made for a request is kept to measure its error.

        Parameters
        ----------
        offer : Offer
            The request.
        wait : float
            Predicted seconds until it is granted.
        now : float
            Monotonic seconds.
        """
        corrected = wait
        wait_class = _class_of(offer, now)
        observed = self.classes.get(wait_class) if self.corrects else None
        if observed is not None and wait > 0:
            observed.decay(now)
            explained = self.granted_tokens.delay_ratio(wait_class)
            corrected *= min(observed.ratio(), explained)
        if offer.prediction is None and wait > 0:
            offer.prediction = WaitPrediction(wait, corrected, now)
        return corrected

    def first_token_in(self, offer: Offer, candidate: Candidate, now: float) -> float:
        """Return the corrected seconds until the first token at an endpoint."""
        corrected = self.predict(offer, candidate.starts_in, now)
        return candidate.first_token_in + (corrected - candidate.starts_in)

    def granted(self, offer: Offer, now: float) -> None:
        """Record the grant of a request, at `now` in monotonic seconds."""
        if self.corrects:
            self.granted_tokens.add(_class_of(offer, now), cost_of(offer), now)
        self.ended(offer, 0.0, now)

    def ended(self, offer: Offer, still_predicted: float, now: float) -> None:
        """Record the end of a wait, by a grant or a rejection.

        Parameters
        ----------
        offer : Offer
            The request.
        still_predicted : float
            Seconds that it would still have waited, without correction; 0 if it was
            granted.
        now : float
            Monotonic seconds.
        """
        prediction = offer.prediction
        if prediction is None or now <= prediction.made_at:
            return
        actual = now - prediction.made_at + still_predicted
        wait_class = _class_of(offer, prediction.made_at)
        observed = self.classes.pop(wait_class, None)
        if observed is None:
            observed = ObservedWaits(updated_at=now)
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[next(iter(self.classes))]
        self.classes[wait_class] = observed
        observed.decay(now)
        observed.predicted += prediction.wait
        observed.actual += actual
        self._count(offer.route, prediction.corrected, actual)

    def _count(self, route: RouteId, predicted: float, actual: float) -> None:
        counts = self.counts.get(route)
        if counts is None:
            if len(self.counts) >= MAX_ROUTES:
                return
            counts = self.counts[route] = WaitCounts()
        counts.ended += 1
        error = abs(actual - predicted)
        counts.wrong += error > max(ALLOWED_ERROR, WRONG_FRACTION * predicted)


def _class_of(offer: Offer, now: float) -> WaitClass:
    return WaitClass(offer.priority, now >= offer.latest)
