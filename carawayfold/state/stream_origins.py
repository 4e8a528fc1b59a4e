"""Service and software version that began each stream.

A stream may go on only where it began. The record of that is kept by the router that
began it and by the routers to which it was reported, until the caller gives up.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.digests import hex_digest
from carawayfold.state.ids import (
    RouteId,
    RouterId,
    ServiceId,
    SoftwareVersion,
    StreamId,
)

if TYPE_CHECKING:
    from carawayfold.state.ids import OrganisationId, RequestId

#: Most streams in one table: about 5 MB.
MAX_STREAMS = 20_000


class Origin(msgspec.Struct, frozen=True):
    """Where a stream began."""

    service: ServiceId
    software: SoftwareVersion


class Evidence(Enum):
    """What a router knows of the origin of a stream.

    Attributes
    ----------
    RECORDED
        It has a record of the stream.
    CONFLICTING
        It has records of two streams under the same identifier.
    PROVED
        It has no record, but has proof that the stream can have begun at one origin
        only.
    UNPROVED
        It has no record, and could not prove that.
    NONE
        It has no record.
    """

    RECORDED = "recorded"
    CONFLICTING = "conflicting"
    PROVED = "proved"
    UNPROVED = "unproved"
    NONE = "none"

    @classmethod
    def parse(cls, text: str) -> Evidence:
        """Return what a peer states; `NONE` for what this version does not know."""
        return cls(text) if text in cls._value2member_map_ else cls.NONE


class OriginSource(Enum):
    """On what a router relies for the origin of a stream."""

    OWN_RECORD = "own record"
    REPORTED_RECORD = "reported record"
    PEER_RECORD = "record of a peer"
    SOLE = "sole origin"
    PEER_SOLE = "sole origin by a peer"
    NONE = "none"


class ProofFailure(Enum):
    """Why a router can't prove that streams of a route have one origin only.

    Attributes
    ----------
    HISTORY
        It does not know enough of the past.
    NOT_SOLE
        There is not exactly one version of one service that may have begun them.
    STORE
        The store did not confirm its records.
    """

    HISTORY = "history incomplete"
    NOT_SOLE = "not a sole origin"
    STORE = "records not confirmed"


class Proof(msgspec.Struct, frozen=True):
    """Result of an attempt to prove that streams of a route have one origin only.

    Attributes
    ----------
    origin : Origin or None
        The sole origin, if that is proved.
    failure : ProofFailure or None
        Why it is not.
    """

    origin: Origin | None
    failure: ProofFailure | None = None


class Finding(msgspec.Struct):
    """What a router found of the origin of a stream that its caller resumes.

    Attributes
    ----------
    origin : Origin or None
        Where the stream began; None if that is not certain.
    source : OriginSource
        On what that rests.
    queried : list of RouterId
        Peers that were asked.
    replies : dict
        What each peer that replied knows.
    failure : ProofFailure or None
        Why this router could not prove a sole origin, if it tried.
    """

    origin: Origin | None = None
    source: OriginSource = OriginSource.NONE
    queried: list[RouterId] = []
    replies: dict[RouterId, Evidence] = {}
    failure: ProofFailure | None = None


class StreamRecord(msgspec.Struct):
    """Record of one stream.

    Attributes
    ----------
    route : RouteId
        Route of its request.
    origin : Origin or None
        Where it began; None if there are conflicting reports.
    expires_at : float
        Monotonic seconds after which its caller does not return.
    completed : bool
        Whether all of it was sent.
    """

    route: RouteId
    origin: Origin | None
    expires_at: float
    completed: bool = False

    @property
    def evidence(self) -> Evidence:
        """Return what the record tells."""
        return Evidence.CONFLICTING if self.origin is None else Evidence.RECORDED


class StreamTable:
    """Records of streams, the most recently changed one last."""

    def __init__(self) -> None:
        self.records: OrderedDict[StreamId, StreamRecord] = OrderedDict()

    def put(
        self, stream: StreamId, route: RouteId, origin: Origin, expires_at: float
    ) -> StreamRecord:
        """Add or extend the record of a stream, and return it."""
        known = self.records.get(stream)
        if known is None:
            known = self.records[stream] = StreamRecord(route, origin, expires_at)
        else:
            if known.origin != origin:
                known.origin = None
            known.expires_at = max(known.expires_at, expires_at)
            known.completed = False
            self.records.move_to_end(stream)
        if len(self.records) > MAX_STREAMS:
            self.records.popitem(last=False)
        return known

    def find(self, stream: StreamId) -> StreamRecord | None:
        """Return the record of a stream, None if there is none."""
        return self.records.get(stream)

    def expire(self, now: float) -> None:
        """Drop the records of streams whose callers have given up."""
        expired = [
            stream
            for stream, record in self.records.items()
            if record.expires_at <= now
        ]
        for stream in expired:
            del self.records[stream]


def stream_id(organisation: OrganisationId, request: RequestId) -> StreamId:
    """Return the identifier of the stream that a request began.

    It includes the organisation, so that no other organisation can resume the stream or
    report another origin for it.
    """
    return StreamId(hex_digest((organisation.encode(),), request.encode()))
