"""Accounts of the service received in the fleet, from the rows of all routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.state.ids import OrganisationId, RouterId, ServiceId
from carawayfold.state.ledger import ServiceLedger
from carawayfold.state.service_rows import PEER_ROW_TIMEOUT, PeerRow, RowCursor

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from carawayfold.protocol import peer_pb2
    from carawayfold.protocol.names import NameTable
    from carawayfold.state.service_rows import LocalRow, LocalRows

RowKey = tuple[ServiceId, OrganisationId]


class ServiceAccounts:
    """Ledgers by service, updated from the rows of this router and of its peers.

    Parameters
    ----------
    own : RouterId
        This router.
    rows : LocalRows
        Service received through this router.
    share_of : callable
        Returns the share of an organisation.
    """

    def __init__(
        self,
        own: RouterId,
        rows: LocalRows,
        share_of: Callable[[OrganisationId], float],
    ) -> None:
        self.own = own
        self.rows = rows
        self.share_of = share_of
        self.ledgers: dict[ServiceId, ServiceLedger] = {}
        self.seen: dict[RouterId, dict[RowKey, PeerRow]] = {own: {}}
        self.cursor = RowCursor()

    def ledger(self, service: ServiceId) -> ServiceLedger:
        """Return the ledger of `service`."""
        ledger = self.ledgers.get(service)
        if ledger is None:
            ledger = self.ledgers[service] = ServiceLedger(self.share_of)
        return ledger

    def write(self, frame: peer_pb2.Frame, names: NameTable, cursor: RowCursor) -> None:
        """Add the rows that changed since `cursor` to `frame`."""
        by_service: dict[ServiceId, peer_pb2.ServiceRows] = {}
        for service, organisation, row in self.rows.since(cursor.version):
            rows = by_service.get(service)
            if rows is None:
                number = names.number(service, frame)
                rows = by_service[service] = frame.rows.add(service=number)
            rows.rows.add(
                organisation=names.number(organisation, frame),
                service=int(row.service),
                requests=row.requests,
                in_flight=row.in_flight,
                born=row.born,
            )
        cursor.version = self.rows.version

    def read(
        self,
        router: RouterId,
        rows: peer_pb2.ServiceRows,
        names: NameTable,
        first: bool,
    ) -> None:
        """Enter a peer's rows in the ledgers.

        Parameters
        ----------
        router : RouterId
            The peer.
        rows : ServiceRows
            Its changed rows.
        names : NameTable
            Names known on the link.
        first : bool
            Whether they arrived with the first frame of a link. Unknown rows are then
            a baseline that is not charged; for known rows the difference is charged
            as catching up.
        """
        service = ServiceId(names.name(rows.service))
        seen = self.seen.setdefault(router, {})
        for row in rows.rows:
            organisation = OrganisationId(names.name(row.organisation))
            before = seen.pop((service, organisation), None)
            if before is None and first:
                before = PeerRow(row.service, row.requests, born=row.born)
            before = _previous_state(before, row)
            seen[service, organisation] = before
            self._enter(service, organisation, before, row, first)

    def enter_own(self) -> None:
        """Enter the changed rows of this router in the ledgers."""
        seen = self.seen[self.own]
        for service, organisation, row in self.rows.since(self.cursor.version):
            before = _previous_state(seen.pop((service, organisation), None), row)
            seen[service, organisation] = before
            self._enter(service, organisation, before, row)
        self.cursor.version = self.rows.version

    def _enter(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        before: PeerRow,
        row: peer_pb2.Row | LocalRow,
        catching_up: bool = False,
    ) -> None:
        """Charge the difference between a row and its previous state `before`."""
        ledger = self.ledger(service)
        received = row.service - before.service
        requests = row.requests - before.requests
        if received > 0 or requests > 0:
            ledger.settle(organisation, received, requests, catching_up)
        ledger.reserve(organisation, row.in_flight - before.in_flight)
        before.service = row.service
        before.requests = row.requests
        before.in_flight = row.in_flight
        before.updated_at = self.rows.clock()

    def restart(self, router: RouterId) -> None:
        """Reset the rows of a peer that has restarted with empty state."""
        self.drop(router)
        self.seen[router] = {}

    def drop(self, router: RouterId) -> None:
        """Remove the requests in flight of a failed peer from the ledgers."""
        for (service, organisation), row in self.seen.get(router, {}).items():
            self.ledger(service).reserve(organisation, -row.in_flight)
            row.in_flight = 0

    def tidy(self, known: Collection[RouterId]) -> None:
        """Remove idle rows and accounts, and the rows of routers not in `known`."""
        self.rows.expire()
        oldest = self.rows.clock() - PEER_ROW_TIMEOUT
        for rows in self.seen.values():
            _expire(rows, oldest)
        for router in list(self.seen):
            if router not in known:
                del self.seen[router]
        for ledger in self.ledgers.values():
            ledger.drop_idle()


def _previous_state(before: PeerRow | None, row: peer_pb2.Row | LocalRow) -> PeerRow:
    """Return the previous state of `row`, reset if the row was created anew since."""
    if before is None:
        return PeerRow(born=row.born)
    if before.born != row.born:
        return PeerRow(in_flight=before.in_flight, born=row.born)
    return before


def _expire(rows: dict[RowKey, PeerRow], oldest: float) -> None:
    """Remove idle rows; rows are ordered by their last change."""
    for key, row in list(rows.items()):
        if row.updated_at > oldest:
            return
        if not row.in_flight:
            del rows[key]
