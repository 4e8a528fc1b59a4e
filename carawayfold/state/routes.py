"""Routes of the operators' configuration and the organisations behind API keys."""

from __future__ import annotations

from enum import Enum

import msgspec

from carawayfold.state.ids import OrganisationId, RegionId, RouteId, ServiceId

#: Organisation of requests on routes that need no key.
ANONYMOUS = OrganisationId("")


class RouteKind(Enum):
    """What may be repeated on a route."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services that share a route's requests."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and path prefix go, and within which limits.

    Attributes
    ----------
    prefix : bytes
        Beginning of the paths it takes.
    attempts : int
        Most endpoints that one request may be sent to.
    timeout : float
        Longest time in seconds that an answer may take.
    objective : float
        Seconds to the answer, of a stream to its first event, that callers want.
    priority : int
        Rank; 0 goes first.
    anonymous : bool
        Whether it needs no key.
    resumable : bool
        Whether a stream may go on at another endpoint.
    pause : float
        Longest wanted pause between events of a stream, in seconds.
    regions : tuple of RegionId
        Those in which its requests may run; empty for any.
    """

    id: RouteId
    host: str
    prefix: bytes
    kind: RouteKind
    services: tuple[WeightedService, ...]
    attempts: int
    timeout: float
    objective: float
    priority: int
    anonymous: bool
    resumable: bool
    pause: float
    regions: tuple[RegionId, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, draw: float) -> ServiceId:
        """Return a service by weight; `draw` is from 0 to below 1."""
        total = sum(item.weight for item in self.services)
        left = draw * total
        for item in self.services:
            left -= item.weight
            if left < 0:
                return item.service
        return self.services[-1].service


class ServiceConfig(msgspec.Struct, frozen=True):
    """What the operators say of a service.

    Attributes
    ----------
    health_path : str
        Path of its health check.
    connections : int
        Most connections that an endpoint takes from the whole fleet.
    memory_tokens : int
        Tokens that a model engine keeps in memory; 0 for applications.
    warm_up_rate : float
        Requests a second that an endpoint tolerates while it warms up; 0 where its
        endpoints need no warm-up.
    """

    id: ServiceId
    health_path: str
    connections: int
    memory_tokens: int = 0
    warm_up_rate: float = 0.0

    @property
    def is_model(self) -> bool:
        """Return whether its endpoints are model engines."""
        return self.memory_tokens > 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Operators' limits on what callers send; times in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 4 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    throughput : float
        Tokens a second that the model engines handle together, a generated token
        counted twice; 0 where the operators state none.
    regions : dict
        Regions in which requests of an organisation may run, where they are limited.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, ServiceConfig]
    organisations: dict[str, OrganisationId]
    priorities: dict[OrganisationId, int]
    limits: CallerLimits
    throughput: float
    regions: dict[OrganisationId, tuple[RegionId, ...]] = {}


class InForce(msgspec.Struct, frozen=True):
    """How the configuration in force came to be so.

    Attributes
    ----------
    version : int
        Its version.
    source : str
        Who told it: the store or a peer.
    since : float
        Loop time at which it was put in force.
    """

    version: int
    source: str
    since: float


class RouteIndex:
    """Finds the route of a request in one version of the configuration.

    Parameters
    ----------
    table : RouteTable
        The version.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest prefix of `path`, if any."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
