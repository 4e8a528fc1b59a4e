"""How long an engine takes to a first token, fitted to what was seen of it.

The load it answers: engines and deployments differ by a factor of three in what a
first token takes besides reading the prompt. A prediction that is too long turns
requests away that would have been in time, one that is too short sends them too late.
"""

from __future__ import annotations

from dataclasses import dataclass, field

#: Seconds until the first token of an idle engine, before anything is measured.
FIRST_TOKEN = 0.08
#: Least seconds to a first token that are believed: the way there and back.
LEAST_FIRST_TOKEN = 0.004
#: Weight of each measurement against the next one: the last thirty or so count.
KEPT_WEIGHT = 0.97
#: Measurements that the figures known before count for, each at two lengths, so that
#: a few measurements of like prompts can't tilt the line.
PRIOR_WEIGHT = 0.5
#: Tokens of the longer one of these two.
PRIOR_TOKENS = 10_000
#: Times the predicted wait beyond which a measurement counts as that long: an engine
#: that stood still for a moment says nothing about its speed.
OUTLIER = 3.0
#: Least and most of the speed known before that a fitted speed may be.
SLOWEST = 0.2
FASTEST = 4.0
#: Weight of the newest error in the mean error.
NEWEST_ERROR = 0.05


@dataclass(slots=True)
class FirstTokenModel:
    """Line of the wait for a first token over the tokens read before it.

    Parameters
    ----------
    expected_speed : float
        Tokens that the engine reads a second by the operators' word.

    Attributes
    ----------
    speed : float
        Tokens that it reads a second.
    first_token : float
        Seconds that a first token takes besides.
    error : float
        Mean error of the predictions, in seconds.
    """

    expected_speed: float
    speed: float = 0.0
    first_token: float = FIRST_TOKEN
    error: float = 0.0
    weight: float = 0.0
    tokens: float = 0.0
    waits: float = 0.0
    squares: float = 0.0
    products: float = 0.0
    prior: tuple[float, float, float, float, float] = field(init=False)

    def __post_init__(self) -> None:
        self.speed = self.expected_speed
        longer = FIRST_TOKEN + PRIOR_TOKENS / self.expected_speed
        self.prior = (
            2 * PRIOR_WEIGHT,
            PRIOR_WEIGHT * PRIOR_TOKENS,
            PRIOR_WEIGHT * (FIRST_TOKEN + longer),
            PRIOR_WEIGHT * PRIOR_TOKENS**2,
            PRIOR_WEIGHT * PRIOR_TOKENS * longer,
        )

    def predict(self, tokens: float) -> float:
        """Return the seconds to a first token with `tokens` to be read before it."""
        return self.first_token + tokens / self.speed

    def note(self, tokens: float, waited: float) -> None:
        """Take one measurement."""
        predicted = self.predict(tokens)
        self.error += NEWEST_ERROR * (abs(waited - predicted) - self.error)
        waited = min(waited, OUTLIER * predicted)
        self.weight = KEPT_WEIGHT * self.weight + 1
        self.tokens = KEPT_WEIGHT * self.tokens + tokens
        self.waits = KEPT_WEIGHT * self.waits + waited
        self.squares = KEPT_WEIGHT * self.squares + tokens * tokens
        self.products = KEPT_WEIGHT * self.products + tokens * waited
        self._fit()

    def _fit(self) -> None:
        """Draw the line of least squares through all that counts."""
        weight = self.weight + self.prior[0]
        tokens = self.tokens + self.prior[1]
        waits = self.waits + self.prior[2]
        squares = self.squares + self.prior[3]
        products = self.products + self.prior[4]
        spread = weight * squares - tokens * tokens
        slope = (weight * products - tokens * waits) / spread
        fastest = self.expected_speed * FASTEST
        slowest = self.expected_speed * SLOWEST
        self.speed = 1 / min(max(slope, 1 / fastest), 1 / slowest)
        left = (waits - tokens / self.speed) / weight
        self.first_token = max(LEAST_FIRST_TOKEN, left)
