"""What routers and the scheduler of a pool say to each other about a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

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
    density : int
        What its answer is worth for the engine's time, in powers of two.
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
    density: int = 0
    shared_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        # The last part of a prompt is the request's own.
        self.shared_tokens = sum(part.tokens for part in self.prompt[:-1])

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
    #: Not sent: its router knows that the endpoint leaves.
    LEAVING = "leaving"


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
    """

    call: CallId
    endpoint: EndpointId
    donor: EndpointId | None = None
    basis: Basis | None = None


class TurnedAway(msgspec.Struct, frozen=True):
    """A request can't be served in time.

    Attributes
    ----------
    retry_after : float
        Seconds after which coming back helps.
    """

    call: CallId
    reason: str
    retry_after: float


Decision = Granted | TurnedAway
