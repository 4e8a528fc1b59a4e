"""What the product asks of the platform that it runs on.

`carawayfold.platform` implements these interfaces; tests put fakes in their place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import msgspec

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


class SourceError(Exception):
    """A source did not answer, or not as its protocol says."""


class NoAnswer(SourceError):
    """A source said nothing in time; it may still do what was asked."""


class HistoryLost(SourceError):
    """The records asked for are no longer kept; read the newest ones instead."""


class Registered(msgspec.Struct, frozen=True):
    """An endpoint's entry was written, or is gone where `endpoint` is None."""

    name: EndpointName
    endpoint: Endpoint | None


class Evacuation(msgspec.Struct, frozen=True):
    """The operators' word that a data centre's endpoints get nothing, or are back."""

    data_centre: DataCentreId
    active: bool


class PeerEntry(msgspec.Struct, frozen=True):
    """A router's own entry: where its peers reach it.

    Attributes
    ----------
    processor : int
        What its processor can do, in hundredths of a usual core.
    """

    router: RouterId
    data_centre: DataCentreId
    host: str
    port: int
    processor: int = 100


class QuarantineRecord(msgspec.Struct, frozen=True):
    """A content that is refused, as it outlasts all routers.

    Attributes
    ----------
    stamp : int
        Unix milliseconds of the verdict.
    since : float
        Unix seconds of the first crash that counts.
    held_until : float
        Unix seconds until which it is refused.
    endpoints : tuple of EndpointId
        Those that ended under it.
    """

    content: ContentId
    organisation: OrganisationId
    stamp: int
    since: float
    held_until: float
    endpoints: tuple[EndpointId, ...]


class Page(msgspec.Struct, Generic[T], frozen=True):
    """What was read from a source.

    Attributes
    ----------
    items : list
        In the order in which they were written.
    next : Position
        Where to read on.
    """

    items: list[T]
    next: Position


class Source(Protocol[T]):
    """A sequence of records that grows; a router follows it."""

    async def newest(self) -> Page[T]:
        """Return the newest record of each key."""

    async def read(self, start: Position, wait: float) -> Page[T]:
        """Return records from `start` on, waiting up to `wait` seconds for one."""


class VerdictStore(Protocol):
    """Keeps verdicts on contents."""

    async def keep_verdict(self, record: QuarantineRecord) -> None:
        """Write that a content is refused."""

    async def drop_verdict(self, content: ContentId) -> None:
        """Write that a content is refused no longer."""


class PeerDirectory(Source[PeerEntry | QuarantineRecord], VerdictStore, Protocol):
    """What the routers keep for one another.

    Entries of routers, which each router writes for itself, and contents that are
    refused. One place holds both, so that one call tells a router that starts.
    """

    async def announce(self, entry: PeerEntry) -> None:
        """Write this router's own entry."""


class CacheSource(Protocol):
    """Tells what model engines keep in their caches."""

    async def kept(self, endpoint: Endpoint) -> list[Part]:
        """Return the parts of prompts that an engine keeps.

        Raises
        ------
        SourceError
            If it does not say.
        """
