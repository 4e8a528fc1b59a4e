"""What the product asks of the platform that it runs on.

`carawayfold.platform` implements these interfaces; tests put fakes in their place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import msgspec

from carawayfold.state.ids import DataCentreId, EndpointName, RouterId

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint

T = TypeVar("T")


class SourceError(Exception):
    """A source did not answer, or not as its protocol says."""


class HistoryLost(SourceError):
    """The records asked for are no longer kept; read the newest ones instead."""


class Registered(msgspec.Struct, frozen=True):
    """An endpoint's entry was written, or is gone where `endpoint` is None."""

    name: EndpointName
    endpoint: Endpoint | None


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


class Page(msgspec.Struct, Generic[T], frozen=True):
    """What was read from a source.

    Attributes
    ----------
    items : list
        In the order in which they were written.
    next : int
        Where to read on.
    """

    items: list[T]
    next: int


class Source(Protocol[T]):
    """A sequence of records that grows; a router follows it."""

    async def newest(self) -> Page[T]:
        """Return the newest record of each key."""

    async def read(self, start: int, wait: float) -> Page[T]:
        """Return records from `start` on, waiting up to `wait` seconds for one."""


class PeerDirectory(Source[PeerEntry], Protocol):
    """Entries of routers, which each router writes for itself."""

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
