"""Service measured by this router and by its peers, as cumulative rows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayfold.state.ids import OrganisationId, ServiceId


@dataclass(slots=True)
class OwnRow:
    """What this router has measured for one organisation at one service.

    Attributes
    ----------
    version : int
        Grows with each change, over all rows of the router.
    """

    service: float = 0.0
    requests: int = 0
    in_flight: int = 0
    version: int = 0


@dataclass(slots=True)
class RowCursor:
    """How far a reader has come.

    Attributes
    ----------
    version : int
        Version of the last row that it was given.
    """

    version: int = 0


class OwnRows:
    """Rows of this router, ordered by their last change."""

    def __init__(self) -> None:
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
        row = self.rows.pop(key, None) or OwnRow()
        row.in_flight += in_flight
        row.service += received
        row.requests += requests
        self.version += 1
        row.version = self.version
        self.rows[key] = row

    def since(self, version: int) -> Iterator[tuple[ServiceId, OrganisationId, OwnRow]]:
        """Yield the rows changed after `version`, the newest first."""
        for (service, organisation), row in reversed(self.rows.items()):
            if row.version <= version:
                return
            yield service, organisation, row


@dataclass(slots=True)
class SeenRow:
    """A peer's row as last heard."""

    service: float = 0.0
    requests: int = 0
    in_flight: int = 0
