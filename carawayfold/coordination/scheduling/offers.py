"""Offers and decisions exchanged between routers and the scheduler of a pool."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.state.ids import Holder, Position

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import (
        CallId,
        DataCentreId,
        EndpointId,
        OrganisationId,
        RouteId,
        RouterId,
        SoftwareVersion,
    )

logger = logbook.Logger(__name__)

#: Reason of a rejection by a router that doesn't have the pool. It says nothing about
#: the load of the pool.
UNKNOWN_POOL = "the pool is not known"
#: Maximum characters of an unknown outcome in a log line.
MAX_LOGGED_LENGTH = 40
#: Weight of an output token relative to a prompt token when counting the usage of an
#: organisation, as the platform does.
OUTPUT_TOKEN_WEIGHT = 2
#: Weight of an output token relative to a prompt token in the value of an answer.
OUTPUT_TOKEN_VALUE = 10


class Standing(Enum):
    """Whether a request returns after a rejection."""

    #: Not known to return.
    NEW = "new"
    #: It returns when its caller was told to, or later.
    RETURNED = "returned"
    #: It returns before.
    EARLY = "early"


class WaitPrediction(msgspec.Struct, frozen=True):
    """Prediction made when a request was first examined and had to wait.

    Attributes
    ----------
    wait : float
        Predicted seconds, without correction.
    corrected : float
        The same, corrected.
    made_at : float
        Monotonic seconds.
    """

    wait: float
    corrected: float
    made_at: float


@dataclass(slots=True, eq=False)
class Offer:
    """A request that needs an endpoint.

    All times are in the monotonic seconds of the scheduler.

    Attributes
    ----------
    call : CallId
        The request.
    router : RouterId
        Router that received it.
    data_centre : DataCentreId
        Data centre of that router.
    organisation : OrganisationId
        Organisation of its caller.
    route : RouteId
        Its route.
    priority : int
        Its priority; lower numbers are more urgent.
    prompt : tuple of Part
        Parts of its prompt; empty for requests without one.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and estimated tokens of the answer.
    arrived : float
        Time of its first offer to the scheduler.
    due : float
        Time at which the answer is due, or the first event of a stream.
    expires : float
        Time at which its caller's timeout expires.
    avoid : frozenset of EndpointId
        Endpoints that were tried already.
    cached_at : EndpointId or None
        Endpoint to which its router last sent the same prefix.
    allowed : frozenset of DataCentreId or None
        Data centres in which it may run; None for any.
    software : SoftwareVersion or None
        Software version that its endpoint must have; None for any.
    rests : dict
        End of the backoff of each endpoint that requested one from its router.
    value_density : int
        Value of its answer per engine time, as a power of two.
    throttled_tokens : int
        Tokens of its organisation that its router throttled since the previous offer,
        see `AdmissionControl`.
    body_bytes : int
        Size of its body in bytes.
    shared_prefix_tokens : int
        Tokens of the prompt parts that other requests share.
    standing : Standing
        Whether it is the return of a rejected request, as its scheduler knows.
    prediction : WaitPrediction or None
        First prediction of its wait by its scheduler; None before.
    holder : Holder
        The process of its router, which holds its connections.
    abandoned_at : float or None
        Time at which its caller abandons the stream that it resumes; None if it resumes
        none, or an endpoint may still continue it.
    """

    call: CallId
    router: RouterId
    data_centre: DataCentreId
    organisation: OrganisationId
    route: RouteId
    priority: int
    prompt: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    arrived: float
    due: float
    expires: float
    avoid: frozenset[EndpointId] = frozenset()
    cached_at: EndpointId | None = None
    allowed: frozenset[DataCentreId] | None = None
    software: SoftwareVersion | None = None
    rests: dict[EndpointId, float] = field(default_factory=dict)
    value_density: int = 0
    throttled_tokens: int = 0
    body_bytes: int = 0
    shared_prefix_tokens: int = field(init=False)
    standing: Standing = Standing.NEW
    prediction: WaitPrediction | None = None
    holder: Holder = field(init=False)
    abandoned_at: float | None = None

    def __post_init__(self) -> None:
        self.holder = holder_of(self.call)
        # The last part of a prompt is the request's own.
        self.shared_prefix_tokens = sum(part.tokens for part in self.prompt[:-1])

    def may_run_in(self, data_centre: DataCentreId) -> bool:
        """Return whether it may run in a data centre."""
        return self.allowed is None or data_centre in self.allowed

    def may_run_at(self, endpoint: Endpoint) -> bool:
        """Return whether it may run at an endpoint."""
        if self.software is not None and endpoint.software != self.software:
            return False
        return self.may_run_in(endpoint.data_centre)

    @property
    def latest(self) -> float:
        """Return the time until which an answer to it is worth waiting for.

        The caller of a resumed stream has a part of the answer already, and waits for
        the rest beyond the objective.
        """
        return self.due if self.abandoned_at is None else self.abandoned_at

    @property
    def charged_tokens(self) -> int:
        """Return the tokens that count against its organisation's share."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens

    @property
    def answer_value(self) -> int:
        """Return the value of its answer, in weighted tokens."""
        return self.prompt_tokens + OUTPUT_TOKEN_VALUE * self.output_tokens


class Outcome(Enum):
    """How an attempt at an endpoint ended."""

    COMPLETE = "whole"
    CANCELLED = "cancelled"
    NOT_RUN = "not-run"
    FAILED = "failed"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    #: Not sent: its router knows that the endpoint leaves or is excluded.
    LEAVING = "leaving"
    #: Not sent: its router knows that the endpoint warms up, unlike the router that
    #: granted it.
    WARMING = "warming"

    @classmethod
    def _missing_(cls, value: object) -> Outcome:
        """Treat an outcome of a later version as a cancelled attempt.

        During an update, routers of two versions run side by side.
        """
        logger.warning(
            "unknown outcome", extra={"outcome": str(value)[:MAX_LOGGED_LENGTH]}
        )
        return cls.CANCELLED


class BlockReason(Enum):
    """Reason why a request is not sent to the endpoint it was granted."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    #: It warms up, which the router that granted it doesn't know.
    WARMING = "warming"
    #: It requested a backoff from this router.
    RESTING = "resting"

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that is reported to the router that granted it."""
        return BLOCK_OUTCOMES.get(self, Outcome.LEAVING)


#: Outcome reported for each reason; `Outcome.LEAVING` for those not listed.
BLOCK_OUTCOMES = {
    BlockReason.WARMING: Outcome.WARMING,
    BlockReason.RESTING: Outcome.CANCELLED,
}


class Basis(msgspec.Struct, frozen=True):
    """State of the registrations on which a router decided.

    Attributes
    ----------
    decider : RouterId
        The router.
    offset : Position
        Position up to which it had read registrations.
    age : float
        Seconds since its registrations were last complete.
    """

    decider: RouterId
    offset: Position = Position(0)
    age: float = 0.0


class PoolLoad(msgspec.Struct, frozen=True):
    """Load of a pool.

    Attributes
    ----------
    wait : float
        Predicted wait in seconds of a further request.
    used : float
        Fraction of the slots that are in use.
    """

    wait: float
    used: float


class Granted(msgspec.Struct, frozen=True):
    """Grant of an endpoint to a request.

    Attributes
    ----------
    copy_source : EndpointId or None
        The engine from which the endpoint should copy the cached prefix of the prompt.
    basis : Basis or None
        State on which it was granted; None until it is filled in.
    admitted_fraction : float
        Fraction of its organisation's requests that may be offered to the pool, 0 to 1.
    load : PoolLoad or None
        Load of the pool; None if unknown.
    """

    call: CallId
    endpoint: EndpointId
    copy_source: EndpointId | None = None
    basis: Basis | None = None
    admitted_fraction: float = 1.0
    load: PoolLoad | None = None


class Rejected(msgspec.Struct, frozen=True):
    """Rejection of a request that can't be served in time.

    Attributes
    ----------
    reason : str
        Reason reported to the caller.
    retry_after : float
        Seconds after which a retry is useful.
    cached_at : EndpointId or None
        The pool's engine with the longest cached prefix of the prompt, from which an
        engine of another pool can copy it.
    decider : RouterId or None
        Router that decided; None until it is filled in.
    admitted_fraction : float
        Fraction of its organisation's requests that may be offered to the pool, 0 to 1.
    load : PoolLoad or None
        Load of the pool; None if unknown.
    """

    call: CallId
    reason: str
    retry_after: float
    cached_at: EndpointId | None = None
    decider: RouterId | None = None
    admitted_fraction: float = 1.0
    load: PoolLoad | None = None


Decision = Granted | Rejected


def holder_of(call: CallId) -> Holder:
    """Return the process of the router that made a request."""
    return Holder(call.rpartition(".")[0])
