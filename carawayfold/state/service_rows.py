"""Service measured by this router and by its peers, as cumulative rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayfold.state.ids import OrganisationId, ServiceId

#: Seconds after which an idle row is dropped by its owner. One that comes up again
#: starts from nothing.
OWN_LIFETIME = 15.0
#: Seconds after which peers drop it. Longer, so that a row still kept by its owner
#: is never taken for one that starts from nothing.
SEEN_LIFETIME = 30.0


class OwnRow(msgspec.Struct):
    """What this router has measured for one organisation at one service.

    Attributes
    ----------
    version : int
        Grows with each change, over all rows of the router.
    changed : float
        When it last changed, in monotonic seconds.
    born : int
        Version at which it began.
    """

    service: float = 0.0
    requests: int = 0
    in_flight: int = 0
    version: int = 0
    changed: float = 0.0
    born: int = 0


class RowCursor(msgspec.Struct):
    """How far a reader has come.

    Attributes
    ----------
    version : int
        Version of the last row that it was given.
    """

    version: int = 0


class OwnRows:
    """Rows of this router, ordered by their last change.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        #: Rows by service and organisation; the last changed one is last.
        self.rows: dict[tuple[ServiceId, OrganisationId], OwnRow] = {}
        self.version = 0

    def change(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        in_flight: int = 0,
        received: float = 0.0,
        requests: int = 0,
    ) -> None:
        """Add to a row."""
        key = (service, organisation)
        row = self.rows.pop(key, None) or OwnRow(born=self.version + 1)
        row.in_flight += in_flight
        row.service += received
        row.requests += requests
        self.version += 1
        row.version = self.version
        row.changed = self.clock()
        self.rows[key] = row

    def expire(self) -> None:
        """Drop rows that have been idle for `OWN_LIFETIME`."""
        oldest = self.clock() - OWN_LIFETIME
        for key, row in list(self.rows.items()):
            if row.changed > oldest:
                return
            if not row.in_flight:
                del self.rows[key]

    def since(self, version: int) -> Iterator[tuple[ServiceId, OrganisationId, OwnRow]]:
        """Yield the rows changed after `version`, the newest first."""
        for (service, organisation), row in reversed(self.rows.items()):
            if row.version <= version:
                return
            yield service, organisation, row


class SeenRow(msgspec.Struct):
    """A peer's row as last heard.

    Attributes
    ----------
    heard : float
        When it last changed, in monotonic seconds.
    """

    service: float = 0.0
    requests: int = 0
    in_flight: int = 0
    heard: float = 0.0
    born: int = 0
