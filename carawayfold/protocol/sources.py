"""Interfaces to the platform that the router runs on.

`carawayfold.platform` implements them; tests replace them by fakes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Generic, Protocol, TypeVar

import msgspec
from msgspec import Meta

from carawayfold.checked import (
    ENDPOINT_ID,
    HOST,
    NAME,
    PORT,
    PROCESSOR,
    TEXT,
    UNIX_MILLISECONDS,
    UNIX_SECONDS,
)
from carawayfold.state.contents import CONTENT
from carawayfold.state.ids import (
    ContentId,
    DataCentreId,
    EndpointId,
    EndpointName,
    OrganisationId,
    Position,
    RouterId,
)

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint

T = TypeVar("T")

#: Most endpoints that a verdict names: more than routers write.
MAX_ENDPOINTS = Meta(max_length=20)


class SourceError(Exception):
    """A source did not respond, or its response was invalid."""


class SourceTimeout(SourceError):
    """A source did not respond in time; the operation may still take effect."""


class RecordsNotRetained(SourceError):
    """The requested records are no longer retained; read the newest ones instead."""


class EndpointChange(msgspec.Struct, frozen=True):
    """An endpoint entry was written, or removed if `endpoint` is None.

    Attributes
    ----------
    unreadable : bool
        Whether an entry was written that can't be decoded. It names no endpoint to use.
    """

    name: EndpointName
    endpoint: Endpoint | None
    unreadable: bool = False


class Evacuation(msgspec.Struct, frozen=True):
    """An evacuation of a data centre; its endpoints get no requests while active."""

    data_centre: DataCentreId
    active: bool


class PeerEntry(msgspec.Struct, frozen=True):
    """Directory entry of a router: the address on which its peers reach it.

    Attributes
    ----------
    processor : int
        Processor capacity, in hundredths of a standard core.
    """

    router: Annotated[RouterId, NAME]
    data_centre: Annotated[DataCentreId, NAME]
    host: Annotated[str, HOST]
    port: Annotated[int, PORT]
    processor: Annotated[int, PROCESSOR] = 100


class QuarantineRecord(msgspec.Struct, frozen=True):
    """Stored record of a quarantined content, kept when all routers restart.

    Attributes
    ----------
    stamp : int
        Unix time of the verdict, in milliseconds.
    since : float
        Unix time of the first crash that counts, in seconds.
    held_until : float
        Unix time until which it is rejected, in seconds.
    endpoints : tuple of EndpointId
        Endpoints that failed while they processed it.
    """

    content: Annotated[ContentId, CONTENT]
    organisation: Annotated[OrganisationId, TEXT]
    stamp: Annotated[int, UNIX_MILLISECONDS]
    since: Annotated[float, UNIX_SECONDS]
    held_until: Annotated[float, UNIX_SECONDS]
    endpoints: Annotated[tuple[Annotated[EndpointId, ENDPOINT_ID], ...], MAX_ENDPOINTS]


class Page(msgspec.Struct, Generic[T], frozen=True):
    """Records returned by one read of a source.

    Attributes
    ----------
    items : list
        Records in the order in which they were written.
    next : Position
        Position from which to continue reading.
    complete : bool
        Whether these are all records that the source had.
    """

    items: list[T]
    next: Position
    complete: bool = True


class Source(Protocol[T]):
    """An append-only sequence of records that a router follows."""

    async def newest(self) -> Page[T]:
        """Return the newest record of each key."""

    async def read(self, start: Position, wait: float) -> Page[T]:
        """Return records from `start` on, waiting up to `wait` seconds for one."""


class VerdictStore(Protocol):
    """Stores quarantine verdicts on contents."""

    async def store_verdict(self, record: QuarantineRecord) -> None:
        """Store the record of a quarantined content."""

    async def delete_verdict(self, content: ContentId) -> None:
        """Record that a content is no longer quarantined."""


class PeerDirectory(Source[PeerEntry | QuarantineRecord], VerdictStore, Protocol):
    """Records shared between routers.

    Contains the directory entries of routers, each written by the router itself, and
    the quarantined contents. Both are in one place, so that a starting router can
    read them with one call.
    """

    async def announce(self, entry: PeerEntry) -> None:
        """Write the entry of this router."""


class WarmUpReporter(Protocol):
    """Reports whether endpoints warm up."""

    async def warm_up_left(self, endpoint: Endpoint, path: str) -> float:
        """Return the seconds for which an endpoint still warms up, 0 if it does not.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        path : str
            Path of its health check.

        Raises
        ------
        SourceError
            If the endpoint does not state it.
        """


class CacheReporter(Protocol):
    """Reports the contents of the prompt caches of model engines."""

    async def cached_parts(self, endpoint: Endpoint) -> list[Part]:
        """Return the prompt parts cached by an engine.

        Raises
        ------
        SourceError
            If the engine does not report them.
        """
