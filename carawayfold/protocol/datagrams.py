"""Datagrams between routers: several messages each, all safe to lose or repeat."""

from __future__ import annotations

import msgspec

from carawayfold.state.ids import (
    CallId,
    ContentId,
    DataCentreId,
    EndpointId,
    OrganisationId,
    PartId,
    PoolId,
    Position,
    RouteId,
    RouterId,
)

#: Most bytes of a datagram, so that it fits one packet of usual networks.
SIZE_LIMIT = 1400


class Beat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A router is there.

    Attributes
    ----------
    stopping : bool
        Whether it takes no new work.
    version : int
        Configuration in force at it; 0 for none.
    endpoints_offset : Position
        How far it has read registrations of endpoints.
    store_age : int
        Milliseconds since it knew all registrations, from the store or from a peer.
    processor : int
        What its processor can do, in hundredths of a usual core.
    hub : bool
        Whether others meet at it and it decides for them.
    size : int
        Routers that it knows of, itself included; 0 where it does not say.
    roster : int
        Fingerprint of the hubs that it knows, for the hub that tells it about them;
        0 for others.
    verdicts : int
        Checksum of the verdicts on contents that it knows; 0 for none.
    refused : bool
        Whether the store did not answer its last call.
    evacuations_changed : Position
        Where the last word stands that changed which data centres are evacuated, as
        far as it knows.
    operators_age : int
        Milliseconds since it knew all of the operators' words, from the store or from
        a peer.
    late : bool
        Whether it can't keep up with its work, so that others should decide.
    """

    data_centre: DataCentreId
    stopping: bool
    version: int
    endpoints_offset: Position
    store_age: int
    processor: int = 100
    hub: bool = True
    size: int = 0
    roster: int = 0
    verdicts: int = 0
    refused: bool = False
    evacuations_changed: Position = Position(0)
    operators_age: int = 0
    late: bool = False


class OfferMessage(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A request wants an endpoint; times are milliseconds from now.

    Attributes
    ----------
    allowed : list of DataCentreId
        Those in which it may run; empty for any.
    rests : list
        Endpoints that want nothing from its router, and for how long.
    held_back : int
        Tokens that its organisation asked for and the router held back since the
        offer before.
    """

    pool: PoolId
    call: CallId
    organisation: OrganisationId
    route: RouteId
    priority: int
    prompt: list[tuple[PartId, int]]
    prompt_tokens: int
    output_tokens: int
    due: int
    expires: int
    avoid: list[EndpointId] = []
    kept_at: EndpointId | None = None
    data_centre: DataCentreId = DataCentreId("")
    allowed: list[DataCentreId] = []
    rests: list[tuple[EndpointId, int]] = []
    held_back: int = 0


class WithdrawMessage(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A request no longer wants an endpoint of the pool."""

    pool: PoolId
    call: CallId


class WaitMessage(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The scheduler has a request and will decide."""

    call: CallId


class GrantMessage(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A request may go to an endpoint, which copies kept memory from `donor`.

    Attributes
    ----------
    offset : Position
        How far the sender has read registrations of endpoints.
    age : int
        Milliseconds since it knew all that the store knew.
    admitted : int
        Thousandths of its organisation's requests to be offered to the pool.
    """

    call: CallId
    endpoint: EndpointId
    donor: EndpointId | None = None
    offset: Position = Position(0)
    age: int = 0
    admitted: int = 1000


class TurnAwayMessage(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """A request can't be served in time; come back after so many milliseconds.

    Attributes
    ----------
    kept_at : EndpointId or None
        An engine of the pool that keeps the beginning of its prompt.
    admitted : int
        Thousandths of its organisation's requests to be offered to the pool.
    """

    call: CallId
    reason: str
    retry_after: int
    kept_at: EndpointId | None = None
    admitted: int = 1000


class BegunMessage(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """A request's first byte came so many milliseconds after it was sent."""

    pool: PoolId
    call: CallId
    waited: int


class EndedMessage(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """An attempt at an endpoint ended."""

    pool: PoolId
    call: CallId
    outcome: str


class Held(msgspec.Struct, array_like=True, frozen=True):
    """One request at an endpoint, as its router knows it."""

    call: CallId
    endpoint: EndpointId
    unread: int
    memory: int
    begun: bool


class HoldingMessage(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Some of the requests that a router has at a pool's endpoints."""

    pool: PoolId
    held: list[Held]


class HubEntry(msgspec.Struct, array_like=True, frozen=True):
    """One hub, as another one knows it; see `Beat`."""

    router: RouterId
    host: str
    port: int
    incarnation: int
    processor: int
    late: bool = False


class RosterMessage(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The hubs of one data centre that take new work; those not named are none."""

    data_centre: DataCentreId
    hubs: list[HubEntry]


class CrashMessage(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """An endpoint went away while it had a content, so many milliseconds ago.

    Attributes
    ----------
    refused : bool
        Whether it took no new connection right after.
    begun : bool
        Whether the answer had begun by then.
    lasted : int or None
        Milliseconds for which it had the content; None where that is not known.
    """

    content: ContentId
    organisation: OrganisationId
    endpoint: EndpointId
    age: int
    refused: bool
    begun: bool
    lasted: int | None = None


class RanWellMessage(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """A suspected content ran without harm, so many milliseconds ago."""

    content: ContentId
    organisation: OrganisationId
    age: int


class LostMessage(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """An endpoint has ended: it takes no connections and has lost those it had."""

    endpoint: EndpointId


class LeavingMessage(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """Endpoints have said in answers that they leave."""

    endpoints: list[EndpointId]


class LeavingDigest(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """Checksum of the endpoints that have said so, as far as known; 0 for none."""

    checksum: int


class VerdictMessage(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """A verdict on a content; see `carawayfold.state.quarantine.Entry`.

    Attributes
    ----------
    since : int
        Milliseconds since the first crash that counts.
    held, remembered : int
        Milliseconds from now for which it is refused, and known.
    """

    content: ContentId
    organisation: OrganisationId
    level: str
    stamp: int
    since: int
    held: int
    remembered: int
    endpoints: list[EndpointId]


Message = (
    Beat
    | OfferMessage
    | WithdrawMessage
    | WaitMessage
    | GrantMessage
    | TurnAwayMessage
    | BegunMessage
    | EndedMessage
    | HoldingMessage
    | RosterMessage
    | CrashMessage
    | RanWellMessage
    | LostMessage
    | LeavingMessage
    | LeavingDigest
    | VerdictMessage
)


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """What one router tells another at once.

    Attributes
    ----------
    incarnation : int
        Random per process start of the sender.
    """

    sender: RouterId
    incarnation: int
    messages: list[Message]


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Return the datagram that `data` holds.

    Raises
    ------
    msgspec.MsgspecError
        If it holds none.
    """
    return decoder.decode(data)
