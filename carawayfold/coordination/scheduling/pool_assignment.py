"""Assignment of the endpoints of a service to pools, and of requests to pools.

A service may have too many endpoints for one router to schedule, so they are split
into pools. Endpoints that join or leave must not move others between pools, since
the state of their caches would be lost. Both assignments use rendezvous hashing.
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

#: Maximum number of endpoints per pool, on average; bounds the work of its leader.
MAX_POOL_SIZE = 16
#: Divisor that maps a 64-bit hash to the range from 0 to 1.
HASH_RANGE = 2.0**64


class PoolDraw(msgspec.Struct, frozen=True):
    """Pool of an endpoint among the first `count` pools, and its hash for that pool."""

    count: int
    pool: int
    draw: int


class PoolAssignment:
    """Assignment of the endpoints of one service to pools.

    Each endpoint is assigned to the pool for which its hash is highest, so that adding
    or removing a pool moves only the endpoints of that pool. Results are cached between
    calls: a change of one endpoint needs no hashes for the others.

    Attributes
    ----------
    draws : dict
        Cached result of each endpoint.
    """

    def __init__(self) -> None:
        self.draws: dict[EndpointName, PoolDraw] = {}

    def assign(self, endpoints: list[Endpoint]) -> list[list[Endpoint]]:
        """Return the endpoints of each pool, in order of their names."""
        count = max(1, -(-len(endpoints) // MAX_POOL_SIZE))
        pools: list[list[Endpoint]] = [[] for _ in range(count)]
        drawn: dict[EndpointName, PoolDraw] = {}
        for endpoint in sorted(endpoints, key=lambda item: item.name):
            cached = drawn[endpoint.name] = self._draw(endpoint.name, count)
            pools[cached.pool].append(endpoint)
        self.draws = drawn
        return pools

    def _draw(self, name: EndpointName, count: int) -> PoolDraw:
        """Return the pool of an endpoint, hashing only pools that are not cached."""
        cached = self.draws.get(name)
        if cached is None or cached.pool >= count:
            cached = PoolDraw(0, 0, -1)
        pool, draw = cached.pool, cached.draw
        for number in range(cached.count, count):
            drawn = _hash(f"{number}|{name}")
            if drawn > draw:
                pool, draw = number, drawn
        return PoolDraw(count, pool, draw)


def choose_pool(weights: Mapping[PoolId, int], prefix: str) -> PoolId:
    """Return the pool of requests with a prefix.

    Parameters
    ----------
    weights : mapping
        Capacity of each pool in slots; pools get requests in proportion.
    prefix : str
        Identifier of the shared prefix. All its requests are assigned to one pool; a
        change of the weights moves few prefixes.
    """
    return max(weights, key=lambda pool: _score(f"{pool}|{prefix}", weights[pool]))


def order_pools(weights: Mapping[PoolId, int], prefix: str) -> list[PoolId]:
    """Return all pools in the order of a prefix; the first is its own pool."""
    return sorted(
        weights,
        key=lambda pool: _score(f"{pool}|{prefix}", weights[pool]),
        reverse=True,
    )


def draw_fraction(text: str) -> float:
    """Return a pseudo-random number from 0 to 1 that depends on `text` alone."""
    return _hash(text) / HASH_RANGE


def choose_fallback_pool(
    weights: Mapping[PoolId, int], asked: Collection[PoolId], call: CallId
) -> PoolId | None:
    """Return the next pool for a request that other pools could not serve in time.

    Parameters
    ----------
    weights : mapping
        Capacity of each pool in slots.
    asked : collection of PoolId
        Pools that have rejected the request.
    call : CallId
        Hashed to select the pool. Requests that share a prefix spread over all pools,
        so that each pool sees the whole demand of the organisations.

    Returns
    -------
    PoolId or None
        None if no pool is left.
    """
    remaining = {pool: weight for pool, weight in weights.items() if pool not in asked}
    return choose_pool(remaining, call) if remaining else None


def _score(text: str, weight: int) -> float:
    """Return a pseudo-random score.

    The probability that it is the highest of several is proportional to `weight`.
    """
    drawn = (_hash(text) + 1) / (HASH_RANGE + 1)
    return weight / -math.log(drawn) if drawn < 1 else math.inf


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
