"""Routes of the operators' configuration, and the organisations of API keys."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from carawayfold.checked import (
    ATTEMPTS,
    COUNT,
    DURATION,
    ORDINAL,
    PRIORITY,
    RATE,
    TEXT,
)
from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.ids import (
    ConfigurationVersion,
    OrganisationId,
    RegionId,
    RouteId,
    ServiceId,
)

#: Organisation of requests on routes that need no key.
ANONYMOUS = OrganisationId("")
#: Restriction that excludes all regions; no region has an empty name.
NO_REGIONS = (RegionId(""),)
#: Least seconds without an event after which callers abandon a stream.
MIN_PATIENCE = 2.0


class RouteKind(Enum):
    """Kind of a route, which decides whether its requests may be retried.

    Attributes
    ----------
    STREAMING
        Answers are streams of events; retried only if they can be resumed.
    IDEMPOTENT
        Requests may run more than once.
    NON_IDEMPOTENT
        Requests run at most once.
    """

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class KeyPolicy(Enum):
    """Whether requests need an API key, on routes that are not anonymous.

    Attributes
    ----------
    NOT_REQUIRED
        The configuration declares no organisations: requests need no key.
    REQUIRED
        The configuration declares organisations. If none of them holds a key, no
        request is admitted.
    UNSTATED
        Configuration from a router of an earlier version, which does not state whether
        organisations are declared. Keys are required.
    """

    NOT_REQUIRED = "not-required"
    REQUIRED = "required"
    UNSTATED = "unstated"


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services among which a route's requests are divided.

    Attributes
    ----------
    service : ServiceId
        The service.
    weight : float
        Its share of the requests, relative to the other services.
    """

    service: Annotated[ServiceId, TEXT]
    weight: Annotated[float, RATE]


class Route(msgspec.Struct, frozen=True):
    """Services and limits for the requests of one host and path prefix.

    Attributes
    ----------
    id : RouteId
        Name of the route.
    host : str
        Host name to match.
    prefix : bytes
        Path prefix to match.
    kind : RouteKind
        Whether its requests may be retried.
    services : tuple of WeightedService
        Services that run its requests.
    attempts : int
        Most endpoints to which one request may be sent.
    timeout : float
        Longest time in seconds that an answer may take.
    objective : float
        Latency objective in seconds: time to the answer, or to the first event of a
        stream.
    priority : int
        Priority; 0 is the highest.
    anonymous : bool
        Whether requests need no API key.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    pause : float
        Objective for the longest pause between events of a stream, in seconds.
    regions : tuple of RegionId
        Regions in which its requests may run; empty for any, `NO_REGIONS` for none.
    patience : float
        Seconds without an event after which callers abandon a stream; by default the
        least, as routers of earlier versions don't state it.
    """

    id: Annotated[RouteId, TEXT]
    host: str
    prefix: bytes
    kind: RouteKind
    services: tuple[WeightedService, ...]
    attempts: Annotated[int, ATTEMPTS]
    timeout: Annotated[float, DURATION]
    objective: Annotated[float, DURATION]
    priority: Annotated[int, PRIORITY]
    anonymous: bool
    resumable: bool
    pause: Annotated[float, DURATION]
    regions: tuple[RegionId, ...] = ()
    patience: Annotated[float, DURATION] = MIN_PATIENCE

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def weighted_services(self) -> list[WeightedService]:
        """Return the services with a weight above zero.

        Raises
        ------
        Refusal
            ``no-endpoint`` if there are none.
        """
        weighted = [item for item in self.services if item.weight > 0]
        if not weighted:
            raise Refusal(ErrorKind.NO_ENDPOINT, "the route has no services")
        return weighted

    def choose_service(self, draw: float) -> ServiceId:
        """Return a service chosen by weight.

        Parameters
        ----------
        draw : float
            Random number from 0 to below 1.

        Raises
        ------
        Refusal
            ``no-endpoint`` if no service of the route has a weight above zero.
        """
        weighted = self.weighted_services()
        left = draw * sum(item.weight for item in weighted)
        for item in weighted:
            left -= item.weight
            if left < 0:
                return item.service
        return weighted[-1].service


class ServiceConfig(msgspec.Struct, frozen=True):
    """Configuration of a service.

    Attributes
    ----------
    id : ServiceId
        Name of the service.
    health_path : str
        Path of its health check.
    connections : int
        Most connections of the whole fleet to one endpoint.
    memory_tokens : int
        Tokens that a model engine keeps in its prefix cache; 0 for applications.
    warm_up_rate : float
        Most requests a second that an endpoint gets while it warms up; 0 if its
        endpoints need no warm-up.
    """

    id: Annotated[ServiceId, TEXT]
    health_path: str
    connections: Annotated[int, COUNT]
    memory_tokens: Annotated[int, COUNT] = 0
    warm_up_rate: Annotated[float, RATE] = 0.0

    @property
    def is_model(self) -> bool:
        """Return whether its endpoints are model engines."""
        return self.memory_tokens > 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the requests of callers.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Most bytes of the head and the body of a request.
    head_timeout : float
        Longest time in seconds to receive the head of a request.
    idle_timeout : float
        Seconds after which an idle connection is closed.
    """

    head_bytes: Annotated[int, COUNT] = 16384
    body_bytes: Annotated[int, COUNT] = 4 << 20
    head_timeout: Annotated[float, DURATION] = 3.0
    idle_timeout: Annotated[float, DURATION] = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes
    ----------
    version : ConfigurationVersion
        Version number, which grows with each change.
    routes : tuple of Route
        All routes.
    services : dict
        Services by name.
    organisations : dict
        Organisations by API key.
    priorities : dict
        Priorities by organisation.
    limits : CallerLimits
        Limits on the requests of callers.
    throughput : float
        Tokens a second that all model engines together can process, where a generated
        token counts twice; 0 if not configured.
    regions : dict
        Regions in which requests of an organisation may run, for restricted
        organisations only.
    key_policy : KeyPolicy
        Whether requests need an API key.
    """

    version: Annotated[ConfigurationVersion, ORDINAL]
    routes: tuple[Route, ...]
    services: dict[ServiceId, ServiceConfig]
    organisations: dict[str, Annotated[OrganisationId, TEXT]]
    priorities: dict[OrganisationId, Annotated[int, PRIORITY]]
    limits: CallerLimits
    throughput: Annotated[float, RATE]
    regions: dict[OrganisationId, tuple[RegionId, ...]] = {}
    key_policy: KeyPolicy = KeyPolicy.UNSTATED

    def count_without_region(self) -> int:
        """Return the number of routes and organisations that may run nowhere."""
        restrictions = [route.regions for route in self.routes]
        return [*restrictions, *self.regions.values()].count(NO_REGIONS)

    @property
    def is_ambiguous(self) -> bool:
        """Return whether it may declare no organisations, or some without keys."""
        return self.key_policy is KeyPolicy.UNSTATED and not self.organisations


class ActiveConfiguration(msgspec.Struct, frozen=True):
    """Version and origin of the active configuration.

    Attributes
    ----------
    version : ConfigurationVersion
        Its version.
    source : str
        The store or the peer from which it was received.
    since : float
        Loop time in seconds at which it became active.
    """

    version: ConfigurationVersion
    source: str
    since: float


class RouteIndex:
    """Index to find the route of a request in one version of the configuration.

    Parameters
    ----------
    table : RouteTable
        Version of the configuration.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest prefix of `path`, None if none matches."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
