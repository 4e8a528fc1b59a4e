"""Questions where a request would go, and their answers, for operators."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from carawayfold.protocol.datagrams import OfferMessage
from carawayfold.state.ids import (
    ConfigurationVersion,
    DataCentreId,
    EndpointId,
    OrganisationId,
    PoolId,
    RouteId,
    RouterId,
    ServiceId,
)

if TYPE_CHECKING:
    from typing import TypeVar

    T = TypeVar("T")

#: Path of questions on a request, on the address for peers.
REQUEST_PATH = "/explain/request"
#: Path of questions to the router that decides for a pool, on the same address.
POOL_PATH = "/explain/pool"


class Verdict(Enum):
    """What would happen to a request at a pool."""

    #: An endpoint is granted at once.
    GRANT = "grant"
    #: It waits in the queue of the pool.
    WAIT = "wait"
    #: It is rejected, and offered to another pool if there is one.
    REJECT = "reject"


class EndpointStatus(Enum):
    """Whether a request may use an endpoint."""

    USABLE = "usable"
    #: Failed, or silent, a moment ago.
    SUSPENDED = "suspended"
    #: Its data centre is outside the regions of the request.
    NOT_ALLOWED = "not allowed"
    #: It doesn't have the software version that the request needs.
    OTHER_SOFTWARE = "other software"
    TRIED = "tried"
    #: Its router could not connect to it a moment ago.
    UNREACHABLE = "unreachable"
    #: It asked this router not to send for a while.
    BACKING_OFF = "backing off"
    #: Its free capacity is owed to callers of its own data centre.
    OWED = "owed"


class PoolReason(Enum):
    """Why a request is offered to a pool."""

    ONLY = "the only pool"
    PREFIX = "the pool of its prefix"
    TURN = "in turn, as it has no prefix"
    LOAD = "the pool of its prefix is full"
    FURTHER = "the pools before have rejected it"


class RequestQuestion(msgspec.Struct, frozen=True):
    """A request that is explained and not sent.

    Attributes
    ----------
    method, target : str
        Method, and path with query.
    headers : list of tuple of str
        Names and values.
    body : bytes
        Body.
    asked : list of PoolId
        Pools that have rejected it.
    """

    method: str
    target: str
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    asked: list[PoolId] = []


class RequestAnswer(msgspec.Struct):
    """What a router would do with a request.

    Attributes
    ----------
    router : RouterId
        The router.
    version : ConfigurationVersion or UNSET
        Version of its configuration; unset without one.
    refused : str
        Kind of the error with which the router would answer it; empty if it wouldn't.
    detail : str
        Detail of that error.
    service_share : float
        Fraction of the route's requests that the service gets, 0 to 1; the largest.
    allowed : list of DataCentreId
        Data centres in which it may run; empty for any.
    pool : PoolId or None
        Pool to which it would be offered; None if there is none left.
    pools : int
        Pools of the service that it may use.
    admitted : float
        Fraction of its organisation's requests that are offered to the pool, 0 to 1.
    decider : RouterId or None
        Router that decides for the pool.
    decider_address : str
        IP:port of that router for peers; empty if it is this router or unknown.
    offer : OfferMessage or None
        The offer to that router.
    """

    router: RouterId
    version: ConfigurationVersion | msgspec.UnsetType = msgspec.UNSET
    refused: str = ""
    detail: str = ""
    route: RouteId | None = None
    organisation: OrganisationId | None = None
    priority: int = 0
    service: ServiceId | None = None
    service_share: float = 1.0
    allowed: list[DataCentreId] = []
    pool: PoolId | None = None
    pool_reason: PoolReason | None = None
    pools: int = 0
    admitted: float = 1.0
    decider: RouterId | None = None
    decider_address: str = ""
    offer: OfferMessage | None = None


class PoolQuestion(msgspec.Struct, frozen=True):
    """An offer that is explained and not decided on.

    Attributes
    ----------
    router : RouterId
        Router that would make the offer.
    offer : OfferMessage
        The offer.
    """

    router: RouterId
    offer: OfferMessage


class ExplainedEndpoint(msgspec.Struct):
    """Evaluation of an endpoint for a request.

    Attributes
    ----------
    running, slots : float
        Requests there, those served before included, and requests that may run.
    starts_in, first_byte_in : float or None
        Seconds until it could be sent there, and until its first byte; None for an
        endpoint that it may not use.
    cost : float or None
        Seconds until its first byte plus all penalties; the lowest is chosen.
    cached_tokens, copied_tokens, prefill_tokens : int
        Tokens of its prompt that are cached there, would be copied from another
        engine, and would be prefilled.
    """

    endpoint: EndpointId
    data_centre: DataCentreId
    status: EndpointStatus
    running: float
    slots: float
    starts_in: float | None = None
    first_byte_in: float | None = None
    cost: float | None = None
    cached_tokens: int = 0
    copied_tokens: int = 0
    prefill_tokens: int = 0


class PoolAnswer(msgspec.Struct):
    """What the scheduler of a pool would do with a request.

    Attributes
    ----------
    verdict : Verdict
        The decision.
    reason : str
        Why.
    endpoint : EndpointId or None
        Endpoint that is granted, or that it would wait for.
    wait, first_byte_in : float
        Predicted seconds until it is sent, and until its first byte.
    router : RouterId or None
        Router that answers.
    leads : bool
        Whether that router leads the pool.
    waiting, position : int
        Requests that wait, and those of them that would be served before.
    within_share : bool
        Whether it is within the share of its organisation.
    endpoints : list of ExplainedEndpoint
        All endpoints of the pool, the lowest cost first.
    """

    verdict: Verdict
    reason: str
    endpoint: EndpointId | None = None
    wait: float = 0.0
    first_byte_in: float = 0.0
    router: RouterId | None = None
    leads: bool = True
    waiting: int = 0
    position: int = 0
    within_share: bool = True
    endpoints: list[ExplainedEndpoint] = []


def encode(message: msgspec.Struct) -> bytes:
    """Return a question or an answer as JSON."""
    return msgspec.json.encode(message)


def decode(data: bytes, kind: type[T]) -> T:
    """Return a question or an answer from JSON.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is not valid.
    """
    return msgspec.json.decode(data, type=kind)
