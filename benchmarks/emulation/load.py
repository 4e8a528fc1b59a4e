"""Random requests of a deployment in simulated time."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from carawayfold.protocol.exchanges import Part
from carawayfold.state.ids import PartId


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; times in seconds.

    Attributes
    ----------
    rate : float
        Requests per second.
    worth, late_worth : float
        Worth of an answer in time and of a late one.
    prefixes : tuple of (int, int)
        Number and mean length of different shared parts, from the first to the last.
    own_tokens : float
        Mean length of the last part, which is not shared.
    output_tokens : float
        Mean length of the answer.
    """

    name: str
    rate: float
    objective: float
    timeout: float
    worth: float
    late_worth: float
    prefixes: tuple[tuple[int, int], ...]
    own_tokens: float
    output_tokens: float
    own_spread: float = 1.0
    output_spread: float = 0.5


#: Peak loads of three deployments.
SURVEY = (
    Kind("survey-summary", 30, 0.8, 15, 4.1, 0.41, ((1, 512), (89, 4870)), 6610, 382),
    Kind("tile-metadata", 25, 0.4, 12, 1.9, 0.19, ((40, 119), (112, 79)), 628, 292),
    Kind("order-triage", 52, 0.5, 3, 0.35, 0.035, ((8, 341), (152, 227)), 1800, 23),
)
BOOKING = (
    Kind("case-brief", 19, 0.6, 10, 9, 2.7, ((1, 512), (89, 4870)), 6610, 378),
    Kind("seeker-chat", 71, 0.6, 8, 0.84, 0.25, ((40, 119), (112, 79)), 628, 288),
    Kind("reminder", 51, 1.2, 2.5, 0.39, 0.12, ((8, 341), (152, 227)), 1800, 27),
)


RESALE = (
    Kind("lot-writeup", 70, 0.4, 12, 3.6, 1.1, ((3, 512), (218, 4870)), 6610, 382),
    Kind("buyer-query", 41, 0.25, 12, 2.3, 0.69, ((40, 119), (192, 79)), 628, 292),
    Kind("piece-tags", 120, 0.25, 2.5, 0.31, 0.092, ((40, 341), (375, 227)), 1800, 23),
)


@dataclass(slots=True, eq=False)
class Request:
    """A request of a caller.

    Attributes
    ----------
    harm : str
        Its harmful content; empty for other requests.
    """

    name: str
    kind: Kind
    organisation: str
    prompt: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    asked: float
    first_asked: float
    retries: int = 1
    harm: str = ""


@dataclass(slots=True)
class Load:
    """Generator of random requests.

    Attributes
    ----------
    factor : float
        Factor of the rates of all kinds.
    """

    kinds: tuple[Kind, ...]
    seed: int
    factor: float = 1.0
    organisations: int = 16
    hot: dict[str, float] = field(default_factory=dict)

    def requests(self, seconds: float) -> list[Request]:
        """Return the requests of a run without retries, in order of time."""
        draw = random.Random(self.seed)
        lengths = {
            kind.name: [
                [_spread(draw, mean, 0.4) for _ in range(count)]
                for count, mean in kind.prefixes
            ]
            for kind in self.kinds
        }
        names = [f"organisation-{number}" for number in range(self.organisations)]
        weights = [
            (1 / (rank + 1) ** 0.9) * self.hot.get(name, 1.0)
            for rank, name in enumerate(names)
        ]
        found = []
        for kind in self.kinds:
            at = 0.0
            while True:
                at += draw.expovariate(kind.rate * self.factor)
                if at >= seconds:
                    break
                organisation = draw.choices(names, weights)[0]
                request = self._one(draw, kind, organisation, lengths[kind.name], at)
                found.append(request)
        found.sort(key=lambda request: request.asked)
        for number, request in enumerate(found):
            request.name = f"r.0.{number}"
        return found

    def _one(
        self,
        draw: random.Random,
        kind: Kind,
        organisation: str,
        lengths: list[list[int]],
        at: float,
    ) -> Request:
        parts = []
        for level, (count, _) in enumerate(kind.prefixes):
            thing = draw.randrange(count)
            tokens = lengths[level][thing]
            parts.append(Part(PartId(f"{kind.name}/{level}/{thing}"), tokens))
        own = _spread(draw, kind.own_tokens, kind.own_spread)
        parts.append(Part(PartId(f"{kind.name}/{at}"), own))
        output = _spread(draw, kind.output_tokens, kind.output_spread)
        total = sum(part.tokens for part in parts)
        return Request("", kind, organisation, tuple(parts), total, output, at, at)


def _spread(draw: random.Random, mean: float, spread: float) -> int:
    """Return a random length, log-normal with a given mean."""
    value = draw.lognormvariate(math.log(mean) - spread**2 / 2, spread)
    return max(1, round(min(value, 8 * mean)))
