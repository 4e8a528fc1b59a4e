"""Model of an engine's time to the first token, fitted to observed times.

Engines and deployments differ by a factor of three in the time that a first token takes
in addition to reading the prompt. A prediction that is too long rejects requests that
would meet their deadlines; one that is too short sends requests that miss them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

#: Seconds to the first token of an idle engine without prompt, before any observation.
INITIAL_FIRST_TOKEN_DELAY = 0.08
#: Least fitted seconds to a first token: the network round trip.
MIN_FIRST_TOKEN_DELAY = 0.004
#: Factor by which the weight of older observations decays with each new one: about the
#: last thirty count.
DECAY_FACTOR = 0.97
#: Weight of the prior in observations, at each of two prompt lengths, so that a few
#: observations of similar prompts cannot distort the slope.
PRIOR_WEIGHT = 0.5
#: Length in tokens of the longer of these two prompts; the other one is empty.
PRIOR_TOKENS = 10_000
#: Multiple of the prediction to which an observation is limited. An engine that pauses
#: for a moment gives no information about its speed.
OUTLIER_FACTOR = 3.0
#: Least and greatest fitted speed, as a multiple of the configured speed.
MIN_SPEED_FACTOR = 0.2
MAX_SPEED_FACTOR = 4.0
#: Weight of the newest error in the moving average of the error.
ERROR_SMOOTHING = 0.05


@dataclass(slots=True)
class FirstTokenModel:
    """Linear model of the time to the first token over the tokens read before it.

    Fitted by weighted least squares, where older observations and a prior from the
    configured speed have less weight.

    Parameters
    ----------
    expected_speed : float
        Configured tokens that the engine reads a second.

    Attributes
    ----------
    speed : float
        Fitted tokens that the engine reads a second.
    first_token_delay : float
        Fitted seconds to the first token without any tokens to read.
    error : float
        Moving average of the absolute error of predictions, in seconds.
    weight, tokens, waits, squares, products : float
        Weighted sums over the observations: their number, their tokens, their seconds,
        the squares of the tokens and the products of tokens and seconds.
    prior : tuple of float
        The same sums for the prior.
    """

    expected_speed: float
    speed: float = 0.0
    first_token_delay: float = INITIAL_FIRST_TOKEN_DELAY
    error: float = 0.0
    weight: float = 0.0
    tokens: float = 0.0
    waits: float = 0.0
    squares: float = 0.0
    products: float = 0.0
    prior: tuple[float, float, float, float, float] = field(init=False)

    def __post_init__(self) -> None:
        self.speed = self.expected_speed
        longer = INITIAL_FIRST_TOKEN_DELAY + PRIOR_TOKENS / self.expected_speed
        self.prior = (
            2 * PRIOR_WEIGHT,
            PRIOR_WEIGHT * PRIOR_TOKENS,
            PRIOR_WEIGHT * (INITIAL_FIRST_TOKEN_DELAY + longer),
            PRIOR_WEIGHT * PRIOR_TOKENS**2,
            PRIOR_WEIGHT * PRIOR_TOKENS * longer,
        )

    def predict(self, tokens: float) -> float:
        """Return the seconds to a first token with `tokens` to read before it."""
        return self.first_token_delay + tokens / self.speed

    def note(self, tokens: float, waited: float) -> None:
        """Update the model with one observation.

        Parameters
        ----------
        tokens : float
            Tokens read before the first token.
        waited : float
            Seconds to the first token.
        """
        predicted = self.predict(tokens)
        self.error += ERROR_SMOOTHING * (abs(waited - predicted) - self.error)
        waited = min(waited, OUTLIER_FACTOR * predicted)
        self.weight = DECAY_FACTOR * self.weight + 1
        self.tokens = DECAY_FACTOR * self.tokens + tokens
        self.waits = DECAY_FACTOR * self.waits + waited
        self.squares = DECAY_FACTOR * self.squares + tokens * tokens
        self.products = DECAY_FACTOR * self.products + tokens * waited
        self._fit()

    def _fit(self) -> None:
        """Fit the line by least squares, with bounds on speed and intercept."""
        weight = self.weight + self.prior[0]
        tokens = self.tokens + self.prior[1]
        waits = self.waits + self.prior[2]
        squares = self.squares + self.prior[3]
        products = self.products + self.prior[4]
        spread = weight * squares - tokens * tokens
        slope = (weight * products - tokens * waits) / spread
        fastest = self.expected_speed * MAX_SPEED_FACTOR
        slowest = self.expected_speed * MIN_SPEED_FACTOR
        self.speed = 1 / min(max(slope, 1 / fastest), 1 / slowest)
        intercept = (waits - tokens / self.speed) / weight
        self.first_token_delay = max(MIN_FIRST_TOKEN_DELAY, intercept)
