"""Datagrams between routers.

A datagram holds several messages. Any of them may be lost or delivered twice.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from carawayfold.checked import (
    AMOUNT,
    FLEET_SIZE,
    HOST,
    MILLISECONDS,
    NAME,
    ORDINAL,
    PERCENT,
    PORT,
    PRIORITY,
    PROCESSOR,
    SPAN,
    UNIX_MILLISECONDS,
)
from carawayfold.state.contents import CONTENT
from carawayfold.state.ids import (
    CallId,
    ConfigurationVersion,
    ContentId,
    DataCentreId,
    EndpointId,
    OrganisationId,
    PartId,
    PoolId,
    Position,
    RouteId,
    RouterId,
    ServiceId,
    SoftwareVersion,
    StreamId,
)
from carawayfold.state.quarantine import Level

#: Maximum bytes of a datagram, so that it fits one packet of common networks.
MAX_DATAGRAM_BYTES = 1400

Age = Annotated[int, MILLISECONDS]
Amount = Annotated[int, AMOUNT]
Span = Annotated[int, SPAN]


class Heartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Heartbeat of a router.

    Attributes
    ----------
    data_centre : DataCentreId
        Data centre of the router.
    stopping : bool
        Whether it accepts no new work.
    version : ConfigurationVersion
        Version of its configuration; 0 without one. See `configuration`.
    endpoints_offset : Position
        Position up to which it has read registrations of endpoints.
    store_age : int
        Milliseconds since its registrations were last complete, read from the store
        or from a peer.
    processor : int
        Capacity of its processor, in hundredths of a reference core.
    hub : bool
        Whether it is a hub, to which other routers connect and which leads pools.
    size : int
        Routers that it knows, itself included; 0 if not stated.
    hub_list_checksum : int
        Checksum of the hubs that it knows, sent to the hub that keeps its hub list up
        to date; 0 for other receivers.
    verdicts : int
        Checksum of the verdicts on contents that it knows; 0 for none.
    refused : bool
        Whether the store did not answer its last call.
    evacuations_changed : Position
        Position of the last record it knows that changed which data centres are
        evacuated.
    operators_age : int
        Milliseconds since its records of the operators' commands were last complete,
        read from the store or from a peer.
    lagging : bool
        Whether it cannot keep up with its work, so that other routers should lead its
        pools.
    configured : bool
        Whether it has a configuration. Routers of earlier versions do not state it and
        have none of version 0.
    """

    data_centre: Annotated[DataCentreId, NAME]
    stopping: bool
    version: Annotated[ConfigurationVersion, ORDINAL]
    endpoints_offset: Annotated[Position, ORDINAL]
    store_age: Age
    processor: Annotated[int, PROCESSOR] = 100
    hub: bool = True
    size: Annotated[int, FLEET_SIZE] = 0
    hub_list_checksum: int = 0
    verdicts: int = 0
    refused: bool = False
    evacuations_changed: Annotated[Position, ORDINAL] = Position(0)
    operators_age: Age = 0
    lagging: bool = False
    configured: bool = False

    @property
    def configuration(self) -> ConfigurationVersion | None:
        """Return the version of its configuration, None without one."""
        return self.version if self.configured or self.version else None


class OfferMessage(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Offer of a request to the scheduler of a pool.

    Attributes
    ----------
    pool : PoolId
        The pool.
    call : CallId
        The request.
    organisation : OrganisationId
        Organisation of its caller.
    route : RouteId
        Its route.
    priority : int
        Its priority; lower numbers are more urgent.
    prompt : list of tuple
        Parts of its prompt, each with its tokens.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and estimated tokens of the answer.
    due, expires : int
        Milliseconds from now until the answer is due and until its caller's timeout
        expires.
    avoid : list of EndpointId
        Endpoints that were tried already.
    cached_at : EndpointId or None
        Endpoint to which its router last sent the same prefix.
    data_centre : DataCentreId
        Data centre of its router.
    allowed : list of DataCentreId
        Data centres in which it may run; empty for any.
    rests : list of tuple
        Endpoints that requested a backoff from its router, each with the milliseconds
        left.
    throttled_tokens : int
        Tokens of its organisation that the router throttled since the previous offer.
    software : SoftwareVersion or None
        Software version that its endpoint must have; None for any.
    body_bytes : int
        Size of its body in bytes.
    abandoned_in : int or None
        Milliseconds from now until its caller abandons the stream that it resumes; None
        if it resumes none, or an endpoint may still continue it.
    """

    pool: PoolId
    call: CallId
    organisation: OrganisationId
    route: RouteId
    priority: Annotated[int, PRIORITY]
    prompt: list[tuple[PartId, Amount]]
    prompt_tokens: Amount
    output_tokens: Amount
    due: Span
    expires: Span
    avoid: list[EndpointId] = []
    cached_at: EndpointId | None = None
    data_centre: DataCentreId = DataCentreId("")
    allowed: list[DataCentreId] = []
    rests: list[tuple[EndpointId, Span]] = []
    throttled_tokens: Amount = 0
    software: SoftwareVersion | None = None
    body_bytes: Amount = 0
    abandoned_in: Span | None = None


class WithdrawMessage(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Withdrawal of a request from a pool."""

    pool: PoolId
    call: CallId


class QueuedMessage(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Confirmation that a request is queued at the scheduler."""

    call: CallId


class GrantMessage(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Grant of an endpoint to a request.

    Attributes
    ----------
    call : CallId
        The request.
    endpoint : EndpointId
        The endpoint.
    copy_source : EndpointId or None
        Engine from which the endpoint copies the cached prefix of the prompt.
    offset : Position
        Position up to which the sender has read registrations of endpoints.
    age : int
        Milliseconds since its registrations were last complete.
    admitted_fraction : int
        Thousandths of its organisation's requests that may be offered to the pool.
    pool_wait : int
        Predicted wait in milliseconds of a further request in the pool; -1 if unknown.
    pool_used : int
        Thousandths of the slots of the pool that are in use; -1 if unknown.
    """

    call: CallId
    endpoint: EndpointId
    copy_source: EndpointId | None = None
    offset: Annotated[Position, ORDINAL] = Position(0)
    age: Span = 0
    admitted_fraction: int = 1000
    pool_wait: Span = -1
    pool_used: Span = -1


class RejectMessage(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Rejection of a request that can't be served in time.

    Attributes
    ----------
    call : CallId
        The request.
    reason : str
        Reason reported to the caller.
    retry_after : int
        Milliseconds after which a retry is useful.
    cached_at : EndpointId or None
        Engine of the pool that has the beginning of its prompt cached.
    admitted_fraction : int
        Thousandths of its organisation's requests that may be offered to the pool.
    pool_wait : int
        Predicted wait in milliseconds of a further request in the pool; -1 if unknown.
    pool_used : int
        Thousandths of the slots of the pool that are in use; -1 if unknown.
    """

    call: CallId
    reason: str
    retry_after: Span
    cached_at: EndpointId | None = None
    admitted_fraction: int = 1000
    pool_wait: Span = -1
    pool_used: Span = -1


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load that an endpoint stated in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in process, requests waiting, and requests processed at once.
    duration : int
        Duration of its work at this moment in percent of its usual duration.
    age : int
        Milliseconds since the answer began.
    """

    running: Amount
    waiting: Amount
    slots: Amount
    duration: Annotated[int, PERCENT] = 100
    age: Span = 0


class FirstByteMessage(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """First byte of the answer to a request.

    Attributes
    ----------
    pool : PoolId
        The pool.
    call : CallId
        The request.
    waited : int
        Milliseconds from sending the request to the first byte.
    load : LoadReport or None
        Load that the endpoint stated in the head of the answer.
    """

    pool: PoolId
    call: CallId
    waited: Span
    load: LoadReport | None = None


class AttemptEndedMessage(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """End of an attempt at an endpoint.

    Attributes
    ----------
    pool : PoolId
        The pool.
    call : CallId
        The request.
    outcome : str
        Value of the `Outcome` of the attempt.
    kept : int
        Milliseconds for which the router keeps the connection for reuse; 0 if it has
        closed it.
    load : LoadReport or None
        Load that the endpoint stated in the head of the answer.
    """

    pool: PoolId
    call: CallId
    outcome: str
    kept: Span = 0
    load: LoadReport | None = None


class ActiveRequestReport(msgspec.Struct, array_like=True, frozen=True):
    """One request that its router has in flight at an endpoint.

    Attributes
    ----------
    call : CallId
        The request.
    endpoint : EndpointId
        The endpoint.
    prefill_tokens : int
        Tokens that the engine has to prefill for it.
    memory : int
        Tokens of memory that it takes.
    begun : bool
        Whether its first byte has been received.
    """

    call: CallId
    endpoint: EndpointId
    prefill_tokens: int
    memory: int
    begun: bool


class ActiveRequestsMessage(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Some of the requests that a router has in flight at a pool's endpoints."""

    pool: PoolId
    held: list[ActiveRequestReport]


class HubEntry(msgspec.Struct, array_like=True, frozen=True):
    """State of one hub as known to the sender; see `Heartbeat`."""

    router: Annotated[RouterId, NAME]
    host: Annotated[str, HOST]
    port: Annotated[int, PORT]
    incarnation: Annotated[int, ORDINAL]
    processor: Annotated[int, PROCESSOR]
    lagging: bool = False


class HubListMessage(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """All hubs of one data centre that accept new work."""

    data_centre: Annotated[DataCentreId, NAME]
    hubs: list[HubEntry]


class CrashMessage(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Crash of an endpoint while it processed a content.

    Attributes
    ----------
    content : ContentId
        The content.
    organisation : OrganisationId
        Organisation that sent it.
    endpoint : EndpointId
        The endpoint.
    age : int
        Milliseconds since the crash.
    refused : bool
        Whether it refused new connections right after.
    begun : bool
        Whether the answer had begun by then.
    lasted : int or None
        Milliseconds for which it had processed the content; None if not known.
    observed : int or None
        Monotonic milliseconds of the crash by the clock of the router that observed
        it, equal in all copies of a report; None if not stated.
    """

    content: Annotated[ContentId, CONTENT]
    organisation: OrganisationId
    endpoint: EndpointId
    age: Span
    refused: bool
    begun: bool
    lasted: Span | None = None
    observed: Span | None = None


class SuccessMessage(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Completion of a suspected content without a crash, `age` milliseconds ago."""

    content: Annotated[ContentId, CONTENT]
    organisation: OrganisationId
    age: Span


class EndpointLostMessage(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Failure of an endpoint: it refuses connections and has closed its open ones."""

    endpoint: EndpointId


class EndpointsLeavingMessage(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """Endpoints that have announced in answers that they leave."""

    endpoints: list[EndpointId]


class LeavingChecksumMessage(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """Checksum of the endpoints known to have announced that they leave; 0 for none."""

    checksum: int


class StreamBegunMessage(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """Report of where a stream began.

    Attributes
    ----------
    expires : int
        Milliseconds from now after which its caller does not return.
    """

    stream: StreamId
    route: RouteId
    service: ServiceId
    software: SoftwareVersion
    expires: Span


class OriginQueryMessage(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """Query where a stream began whose caller has returned on a route.

    Attributes
    ----------
    prove : bool
        Whether a router without a record should prove that streams of the route have
        one origin only, which takes a read of the store.
    """

    stream: StreamId
    route: RouteId
    prove: bool = False


class OriginReplyMessage(msgspec.Struct, array_like=True, tag=19, frozen=True):
    """Reply to a query where a stream began.

    Attributes
    ----------
    evidence : str
        Value of `carawayfold.state.stream_origins.Evidence`.
    service, software : str or None
        Where it began; None if that is not known.
    """

    stream: StreamId
    evidence: str
    service: ServiceId | None = None
    software: SoftwareVersion | None = None


class VerdictMessage(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Verdict on a content; see `carawayfold.state.quarantine.Entry`.

    Attributes
    ----------
    since : int
        Milliseconds since the first crash that counts.
    held, remembered : int
        Milliseconds from now for which the content is rejected, and for which the
        verdict is kept.
    """

    content: Annotated[ContentId, CONTENT]
    organisation: OrganisationId
    level: Level
    stamp: Annotated[int, UNIX_MILLISECONDS]
    since: Span
    held: Span
    remembered: Span
    endpoints: list[EndpointId]


Message = (
    Heartbeat
    | OfferMessage
    | WithdrawMessage
    | QueuedMessage
    | GrantMessage
    | RejectMessage
    | FirstByteMessage
    | AttemptEndedMessage
    | ActiveRequestsMessage
    | HubListMessage
    | CrashMessage
    | SuccessMessage
    | EndpointLostMessage
    | EndpointsLeavingMessage
    | LeavingChecksumMessage
    | StreamBegunMessage
    | OriginQueryMessage
    | OriginReplyMessage
    | VerdictMessage
)


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One or more messages from one router to another.

    Attributes
    ----------
    sender : RouterId
        Router that sent it.
    incarnation : int
        Random number of the sender's process, new at each start.
    messages : list of Message
        The messages.
    """

    sender: Annotated[RouterId, NAME]
    incarnation: Annotated[int, ORDINAL]
    messages: list[Message]


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Return the datagram encoded in `data`.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is not a valid datagram.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from None
