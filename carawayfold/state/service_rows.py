"""Service received per organisation at a router and its peers, as cumulative rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayfold.state.ids import OrganisationId, ServiceId

#: Seconds after which a router drops its own idle row. A later row of the same key
#: starts from zero.
LOCAL_ROW_TIMEOUT = 15.0
#: Seconds after which a peer drops the row. Longer, so that a row which its own router
#: still has is never taken for one that starts from zero.
PEER_ROW_TIMEOUT = 30.0


class LocalRow(msgspec.Struct):
    """Service of one organisation at one service, as counted by this router.

    Attributes
    ----------
    service : float
        Service units received.
    requests : int
        Requests that ended.
    in_flight : int
        Requests in flight.
    version : int
        Version of the last change, which grows with each change of any row.
    changed : float
        Monotonic seconds of the last change.
    born : int
        Version at which the row was created.
    """

    service: float = 0.0
    requests: int = 0
    in_flight: int = 0
    version: int = 0
    changed: float = 0.0
    born: int = 0


class RowCursor(msgspec.Struct):
    """Progress of a reader of rows.

    Attributes
    ----------
    version : int
        Version of the newest row that was sent to it.
    """

    version: int = 0


class LocalRows:
    """Rows of this router, in order of their last change.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        #: Rows by service and organisation, the most recently changed one last.
        self.rows: dict[tuple[ServiceId, OrganisationId], LocalRow] = {}
        self.version = 0

    def change(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        in_flight: int = 0,
        received: float = 0.0,
        requests: int = 0,
    ) -> None:
        """Add to the row of a service and an organisation.

        Parameters
        ----------
        service : ServiceId
            The service.
        organisation : OrganisationId
            The organisation.
        in_flight : int
            Change of the requests in flight.
        received : float
            Service units received.
        requests : int
            Requests that ended.
        """
        key = (service, organisation)
        row = self.rows.pop(key, None) or LocalRow(born=self.version + 1)
        row.in_flight += in_flight
        row.service += received
        row.requests += requests
        self.version += 1
        row.version = self.version
        row.changed = self.clock()
        self.rows[key] = row

    def expire(self) -> None:
        """Drop rows that have been idle for `LOCAL_ROW_TIMEOUT`."""
        oldest = self.clock() - LOCAL_ROW_TIMEOUT
        for key, row in list(self.rows.items()):
            if row.changed > oldest:
                return
            if not row.in_flight:
                del self.rows[key]

    def since(
        self, version: int
    ) -> Iterator[tuple[ServiceId, OrganisationId, LocalRow]]:
        """Yield the rows changed after `version`, the latest change first."""
        for (service, organisation), row in reversed(self.rows.items()):
            if row.version <= version:
                return
            yield service, organisation, row


class PeerRow(msgspec.Struct):
    """A row as last received from a peer.

    Attributes
    ----------
    service : float
        Service units received.
    requests : int
        Requests that ended.
    in_flight : int
        Requests in flight.
    updated_at : float
        Monotonic seconds at which the last change was received.
    born : int
        Version of the peer at which the row was created.
    """

    service: float = 0.0
    requests: int = 0
    in_flight: int = 0
    updated_at: float = 0.0
    born: int = 0
