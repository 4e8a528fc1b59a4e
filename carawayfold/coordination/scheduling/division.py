"""How a service's endpoints form pools, and which of them a request goes to.

The loads it answers: a service of many endpoints, where one router that decided for
all of them would be too busy; and endpoints that come and go, which must not move
the others from pool to pool, since what is known of their caches would be lost.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId, EndpointName, PoolId

#: Endpoints decided on by one router, so that its work is bounded at any size.
POOL_SIZE = 16
#: What divides a 64-bit hash into a number between 0 and 1.
HASH_RANGE = 2.0**64


class Drawn(msgspec.Struct, frozen=True):
    """The pool of an endpoint among the first `count` pools, and its draw there."""

    count: int
    pool: int
    draw: int


class Division:
    """Divides the endpoints of one service into pools, again and again.

    Each endpoint goes to the pool with its highest draw, so with one pool more or less
    only the endpoints of that pool change theirs. Draws are remembered: a change of one
    endpoint costs no draws for the others.
    """

    def __init__(self) -> None:
        self.drawn: dict[EndpointName, Drawn] = {}

    def divide(self, endpoints: list[Endpoint]) -> list[list[Endpoint]]:
        """Return the endpoints by pool, in order of their names."""
        count = max(1, -(-len(endpoints) // POOL_SIZE))
        pools: list[list[Endpoint]] = [[] for _ in range(count)]
        drawn: dict[EndpointName, Drawn] = {}
        for endpoint in sorted(endpoints, key=lambda item: item.name):
            known = drawn[endpoint.name] = self._draw(endpoint.name, count)
            pools[known.pool].append(endpoint)
        self.drawn = drawn
        return pools

    def _draw(self, name: EndpointName, count: int) -> Drawn:
        """Return the pool of an endpoint, from what is remembered where that helps."""
        known = self.drawn.get(name)
        if known is None or known.pool >= count:
            known = Drawn(0, 0, -1)
        pool, draw = known.pool, known.draw
        for number in range(known.count, count):
            drawn = _hash(f"{number}|{name}")
            if drawn > draw:
                pool, draw = number, drawn
        return Drawn(count, pool, draw)


def choose(weights: Mapping[PoolId, int], prefix: str) -> PoolId:
    """Return the pool of requests with this prefix.

    Parameters
    ----------
    weights : mapping
        What each pool can do; it gets requests in proportion.
    prefix : str
        What the requests share; all of them go to one pool, which few changes of
        the weights alter.
    """
    return max(weights, key=lambda pool: _score(f"{pool}|{prefix}", weights[pool]))


def choose_further(
    weights: Mapping[PoolId, int], asked: Collection[PoolId], call: CallId
) -> PoolId | None:
    """Return the pool to ask for a request that others could not serve in time.

    Parameters
    ----------
    weights : mapping
        What each pool can do.
    asked : collection of PoolId
        Those that have turned it away.
    call : CallId
        Draws the pool: requests that share a prefix spread over all pools, so that
        each pool weighs the organisations' whole demand against one another.

    Returns
    -------
    PoolId or None
        None where all were asked.
    """
    left = {pool: weight for pool, weight in weights.items() if pool not in asked}
    return choose(left, call) if left else None


def _score(text: str, weight: int) -> float:
    """Return a draw that is the highest in proportion to `weight`."""
    drawn = (_hash(text) + 1) / (HASH_RANGE + 1)
    return weight / -math.log(drawn) if drawn < 1 else math.inf


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
