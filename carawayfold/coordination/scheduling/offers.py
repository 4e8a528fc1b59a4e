"""What routers and the scheduler of a pool say to each other about a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.state.ids import Position

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.ids import (
        CallId,
        DataCentreId,
        EndpointId,
        OrganisationId,
        RouteId,
        RouterId,
    )

logger = logbook.Logger(__name__)

#: Reason of a refusal that is no decision: who was asked doesn't have the pool.
UNKNOWN_POOL = "the pool is not known"
#: Characters of an unknown word that a log line holds.
LOGGED_LENGTH = 40
#: Weight of a generated token against a read one in what an organisation is owed,
#: as the platform counts it.
GENERATED_WEIGHT = 2
#: Weight of a generated token against a read one in what an answer is worth.
WORTH_WEIGHT = 10


@dataclass(slots=True, eq=False)
class Offer:
    """A request that wants an endpoint.

    Attributes
    ----------
    arrived : float
        When the scheduler first heard of it; all times in its monotonic seconds.
    due : float
        When its caller wants the answer, of a stream the first event.
    expires : float
        When its caller gives up.
    avoid : frozenset of EndpointId
        Endpoints that it has been to already.
    kept_at : EndpointId or None
        Where its router last sent the same prefix.
    allowed : frozenset of DataCentreId or None
        Data centres in which it may run; None for any.
    rests : dict
        When each endpoint may be sent to that wants nothing from its router until then.
    density : int
        What its answer is worth for the engine's time, in powers of two.
    held_back : int
        Tokens that its organisation asked for and its router held back since the
        offer before, see `held_back`.
    shared_tokens : int
        Tokens of the parts of the prompt that other requests share.
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
    kept_at: EndpointId | None = None
    allowed: frozenset[DataCentreId] | None = None
    rests: dict[EndpointId, float] = field(default_factory=dict)
    density: int = 0
    held_back: int = 0
    shared_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        # The last part of a prompt is the request's own.
        self.shared_tokens = sum(part.tokens for part in self.prompt[:-1])

    def may_run_in(self, data_centre: DataCentreId) -> bool:
        """Return whether it may run in a data centre."""
        return self.allowed is None or data_centre in self.allowed

    @property
    def share_tokens(self) -> int:
        """Return what it takes of its organisation's share."""
        return self.prompt_tokens + GENERATED_WEIGHT * self.output_tokens

    @property
    def worth(self) -> int:
        """Return a measure of what its answer is worth."""
        return self.prompt_tokens + WORTH_WEIGHT * self.output_tokens


class Outcome(Enum):
    """How an attempt at an endpoint ended."""

    WHOLE = "whole"
    CANCELLED = "cancelled"
    NOT_RUN = "not-run"
    FAILED = "failed"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    #: Not sent: its router knows that the endpoint leaves, or is to get nothing.
    LEAVING = "leaving"
    #: Not sent: its router knows that the endpoint warms up, who granted it did not.
    WARMING = "warming"

    @classmethod
    def _missing_(cls, value: object) -> Outcome:
        """Take a word that only a later version knows for an attempt that was given up.

        Routers of two versions work side by side during an update.
        """
        logger.warning("unknown outcome", extra={"outcome": str(value)[:LOGGED_LENGTH]})
        return cls.CANCELLED


class Bar(Enum):
    """Why nothing is sent to an endpoint that was granted."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    #: It warms up, and the router that decides does not know.
    WARMING = "warming"
    #: It wants nothing from this router for a while.
    RESTING = "resting"

    @property
    def outcome(self) -> Outcome:
        """Return what the router that decides hears."""
        return BAR_OUTCOMES.get(self, Outcome.LEAVING)


#: What the router that decides hears of each bar, where that is not that it leaves.
BAR_OUTCOMES = {Bar.WARMING: Outcome.WARMING, Bar.RESTING: Outcome.CANCELLED}


class Basis(msgspec.Struct, frozen=True):
    """What a router knew of the endpoints when it decided.

    Attributes
    ----------
    decider : RouterId
        The router.
    offset : Position
        How far it had read registrations.
    age : float
        Seconds since it knew all that the store knew.
    """

    decider: RouterId
    offset: Position = Position(0)
    age: float = 0.0


class Granted(msgspec.Struct, frozen=True):
    """A request may go to an endpoint.

    Attributes
    ----------
    donor : EndpointId or None
        The engine from which the endpoint should copy what that one keeps of the
        prompt.
    basis : Basis or None
        What it was granted on; None before it is known who decided.
    admitted : float
        Part of its organisation's requests to be offered to the pool, 0 to 1.
    """

    call: CallId
    endpoint: EndpointId
    donor: EndpointId | None = None
    basis: Basis | None = None
    admitted: float = 1.0


class TurnedAway(msgspec.Struct, frozen=True):
    """A request can't be served in time.

    Attributes
    ----------
    retry_after : float
        Seconds after which coming back helps.
    kept_at : EndpointId or None
        The pool's engine that has read most of the prompt, from which one of another
        pool can copy it.
    decider : RouterId or None
        Who decided; None before it is known.
    admitted : float
        Part of its organisation's requests to be offered to the pool, 0 to 1.
    """

    call: CallId
    reason: str
    retry_after: float
    kept_at: EndpointId | None = None
    decider: RouterId | None = None
    admitted: float = 1.0


Decision = Granted | TurnedAway
