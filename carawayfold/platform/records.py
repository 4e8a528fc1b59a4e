"""Decoding of the platform's store records into the project's types."""

from __future__ import annotations

import re
from enum import Enum
from typing import Annotated, TypeVar

import msgspec

from carawayfold.checked import (
    COUNT,
    ENDPOINT_NAME,
    MILLISECONDS,
    ORDINAL,
    PRIORITY,
    RATE,
    SLOTS,
    START_TIME,
    TEXT,
)
from carawayfold.protocol.sources import SourceError
from carawayfold.settings import Address
from carawayfold.state.endpoints import Endpoint
from carawayfold.state.ids import (
    DataCentreId,
    EndpointName,
    OrganisationId,
    RegionId,
    RouteId,
    ServiceId,
    SoftwareVersion,
)
from carawayfold.state.routes import (
    MIN_PATIENCE,
    NO_REGIONS,
    CallerLimits,
    KeyPolicy,
    Route,
    RouteKind,
    RouteTable,
    ServiceConfig,
    WeightedService,
)

T = TypeVar("T", bound=msgspec.Struct)

#: Priority of a route or organisation whose record has none.
DEFAULT_PRIORITY = 1
#: Callers abandon a stream after the longest of `MIN_PATIENCE`, this multiple of its
#: objective, and this multiple of the declared pause between its events.
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
#: Form of an address. Python reads further numerals and separators as numbers.
ADDRESS = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}", re.ASCII)
#: Most milliseconds of warm-up, a day.
MAX_WARM_UP_MS = 86_400_000

#: Route kinds by their names in records.
ROUTE_KINDS = {
    "streaming": RouteKind.STREAMING,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
}

EndpointKey = Annotated[str, ENDPOINT_NAME]
Count = Annotated[int, COUNT]
Milliseconds = Annotated[float, MILLISECONDS]
Priority = Annotated[int, PRIORITY]
Rate = Annotated[float, RATE]


class WireBackend(msgspec.Struct):
    """A service of a route and its weight."""

    service: Annotated[str, TEXT]
    weight: Rate = 1.0


class WireRoute(msgspec.Struct):
    """A route to one service, or to several with weights."""

    name: Annotated[str, TEXT]
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    priority: Priority = DEFAULT_PRIORITY
    service: Annotated[str, TEXT] = ""
    backends: list[WireBackend] = []
    max_attempts: Count = 1
    anonymous: bool = False
    resumable: bool = False
    gap_target_ms: Milliseconds = 0.0
    allowed_regions: list[str] | msgspec.UnsetType = msgspec.UNSET


class WireEngine(msgspec.Struct):
    """Additional fields of a service of model engines."""

    kv_capacity_tokens: Count = 0


class WireService(msgspec.Struct):
    """A service.

    ``cold_per_s`` is the requests per second that an endpoint accepts while it warms
    up; 0 if its endpoints need no warm-up.
    """

    name: Annotated[str, TEXT]
    health_path: str = "/"
    max_connections: Count = 0
    engine: WireEngine | None = None
    cold_per_s: Rate = 0.0


class WireLimits(msgspec.Struct):
    """Limits on callers, and the total throughput of the engines in tokens/s."""

    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4 << 20
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15000.0
    tokens_per_s: Rate = 0.0


class WireTenant(msgspec.Struct):
    """An organisation and its API keys."""

    name: Annotated[str, TEXT]
    api_keys: list[str] = []
    priority: Priority = DEFAULT_PRIORITY
    allowed_regions: list[str] | msgspec.UnsetType = msgspec.UNSET


class WireConfig(msgspec.Struct):
    """A complete configuration.

    ``tenants`` is unset if the configuration does not contain it; requests then need
    no key. An empty list admits no request to a route that needs one.
    """

    version: Annotated[int, ORDINAL]
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | msgspec.UnsetType = msgspec.UNSET


class WireState(Enum):
    """State that an endpoint registers for itself."""

    ACTIVE = "active"
    DRAINING = "draining"


class WireEntry(msgspec.Struct):
    """Registration of an endpoint.

    ``cold_remaining_ms`` is the remaining warm-up in milliseconds when the entry was
    written. ``born`` is the Unix millisecond of the endpoint's start; it is 0 in
    deployments that omit it.
    """

    service: Annotated[str, TEXT]
    address: str
    zone: Annotated[str, TEXT]
    version: Annotated[str, TEXT]
    slots: Annotated[int, SLOTS]
    state: WireState
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARM_UP_MS)]
    call_seq: int
    born: Annotated[int, START_TIME] = 0


def decode(data: bytes, kind: type[T]) -> T:
    """Return the value of a record as the struct `kind`.

    Raises
    ------
    SourceError
        If the record is not valid for that type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SourceError(str(error)) from None


def decode_routes(data: bytes) -> RouteTable:
    """Return the configuration decoded from a record.

    Raises
    ------
    SourceError
        If the record is not a valid configuration.
    """
    wire = decode(data, WireConfig)
    declared = wire.tenants is not msgspec.UNSET
    tenants = wire.tenants if declared else []
    return RouteTable(
        version=wire.version,
        routes=tuple(_route(item) for item in wire.routes),
        services={ServiceId(item.name): _service(item) for item in wire.services},
        organisations={
            key: OrganisationId(tenant.name)
            for tenant in tenants
            for key in tenant.api_keys
        },
        priorities={OrganisationId(tenant.name): tenant.priority for tenant in tenants},
        limits=_limits(wire.limits),
        throughput=wire.limits.tokens_per_s,
        regions={
            OrganisationId(tenant.name): _regions(tenant.allowed_regions)
            for tenant in tenants
            if tenant.allowed_regions is not msgspec.UNSET
        },
        key_policy=KeyPolicy.REQUIRED if declared else KeyPolicy.NOT_REQUIRED,
    )


def decode_endpoint(name: str, data: bytes, now: float) -> Endpoint:
    """Return the endpoint registered under `name`.

    `now` is the time of the read in seconds of the event loop clock.

    Raises
    ------
    SourceError
        If the record is not a valid registration.
    """
    try:
        msgspec.convert(name, EndpointKey)
    except msgspec.ValidationError:
        raise SourceError("no name of an endpoint") from None
    wire = decode(data, WireEntry)
    return Endpoint(
        name=EndpointName(name),
        service=ServiceId(wire.service),
        address=_address(wire.address),
        data_centre=DataCentreId(wire.zone),
        slots=wire.slots,
        leaving=wire.state is WireState.DRAINING,
        warm_up=wire.cold_remaining_ms / 1000,
        warm_at=now + wire.cold_remaining_ms / 1000 if wire.cold_remaining_ms else 0.0,
        incarnation=wire.born,
        software=SoftwareVersion(wire.version),
    )


def _address(text: str) -> Address:
    if not ADDRESS.fullmatch(text):
        raise SourceError("no address")
    host, _, port = text.rpartition(":")
    try:
        return msgspec.convert({"host": host, "port": int(port)}, Address)
    except msgspec.ValidationError as error:
        raise SourceError(str(error)) from None


def _route(wire: WireRoute) -> Route:
    services = wire.backends or [WireBackend(wire.service)]
    return Route(
        id=RouteId(wire.name),
        host=wire.host.lower(),
        prefix=wire.path_prefix.encode(),
        kind=ROUTE_KINDS.get(wire.route_kind, RouteKind.NON_IDEMPOTENT),
        services=tuple(
            WeightedService(ServiceId(item.service), item.weight) for item in services
        ),
        attempts=max(1, wire.max_attempts),
        timeout=wire.timeout_ms / 1000,
        objective=wire.target_latency_ms / 1000,
        priority=wire.priority,
        anonymous=wire.anonymous,
        resumable=wire.resumable,
        pause=wire.gap_target_ms / 1000,
        patience=_patience(wire),
        regions=_regions(wire.allowed_regions),
    )


def _patience(wire: WireRoute) -> float:
    return max(
        MIN_PATIENCE,
        PATIENCE_OBJECTIVES * wire.target_latency_ms / 1000,
        PATIENCE_PAUSES * wire.gap_target_ms / 1000,
    )


def _regions(names: list[str] | msgspec.UnsetType) -> tuple[RegionId, ...]:
    """Return the regions of a restriction; an empty list excludes all regions."""
    if names is msgspec.UNSET:
        return ()
    return tuple(RegionId(name) for name in names) or NO_REGIONS


def _service(wire: WireService) -> ServiceConfig:
    return ServiceConfig(
        id=ServiceId(wire.name),
        health_path=wire.health_path,
        connections=wire.max_connections,
        memory_tokens=wire.engine.kv_capacity_tokens if wire.engine else 0,
        warm_up_rate=wire.cold_per_s,
    )


def _limits(wire: WireLimits) -> CallerLimits:
    return CallerLimits(
        head_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        head_timeout=wire.header_timeout_ms / 1000,
        idle_timeout=wire.idle_timeout_ms / 1000,
    )
