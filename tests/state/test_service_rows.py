"""Service rows of a router, and the ledgers of its peers that they update."""

from __future__ import annotations

from carawayfold.coordination.slots.service_accounts import ServiceAccounts
from carawayfold.protocol import peer_pb2
from carawayfold.protocol.names import NameTable
from carawayfold.state.ids import OrganisationId, RouterId, ServiceId
from carawayfold.state.service_rows import (
    LOCAL_ROW_TIMEOUT,
    PEER_ROW_TIMEOUT,
    LocalRows,
    RowCursor,
)

SURVEY = ServiceId("survey")
ALDER = OrganisationId("alder")


class Pair:
    """A router's service accounts, and a peer that gets their rows over one link."""

    def __init__(self):
        self.now = 0.0
        self.rows = LocalRows(lambda: self.now)
        self.accounts = ServiceAccounts(RouterId("one"), self.rows, lambda _: 1.0)
        self.peer = ServiceAccounts(
            RouterId("two"), LocalRows(lambda: self.now), lambda _: 1.0
        )
        self.names = NameTable()
        self.cursor = RowCursor()

    def serve(self, service):
        self.rows.change(SURVEY, ALDER, received=service, requests=1)

    def send(self, first=False, times=1):
        frame = peer_pb2.Frame()
        self.accounts.write(frame, self.names, self.cursor)
        self.names.learn(frame)
        for _ in range(times):
            for rows in frame.rows:
                self.peer.read(RouterId("one"), rows, self.names, first)

    def tidy(self):
        for accounts in (self.accounts, self.peer):
            accounts.tidy({"one", "two"})

    def service_received(self):
        return self.peer.ledger(SURVEY).account(ALDER).virtual


def test_service_is_counted_once_however_often_it_is_received():
    pair = Pair()
    pair.send(first=True)
    pair.serve(100)
    pair.send(times=3)
    assert pair.service_received() == 100


def test_service_before_the_first_connection_is_not_charged():
    pair = Pair()
    pair.serve(5000)
    pair.send(first=True)
    pair.serve(100)
    pair.send()
    assert pair.service_received() == 100


def test_charge_for_service_during_a_partition_is_limited():
    pair = Pair()
    pair.send(first=True)
    pair.serve(10)
    pair.send()
    for _ in range(10000):
        pair.serve(10)
    pair.cursor.version = 0
    pair.send(first=True)
    assert pair.service_received() < 10000


def test_dropped_idle_row_starts_again_without_lost_or_double_service():
    pair = Pair()
    pair.send(first=True)
    pair.serve(100)
    pair.send()
    pair.now += LOCAL_ROW_TIMEOUT + 1
    pair.tidy()
    assert not pair.rows.rows
    pair.serve(30)
    pair.send()
    assert pair.service_received() == 130
    pair.now += PEER_ROW_TIMEOUT + 1
    pair.tidy()
    assert not pair.peer.seen["one"]
    pair.serve(7)
    pair.send()
    assert pair.peer.ledger(SURVEY).account(ALDER).virtual >= 7


def test_running_work_keeps_its_row():
    pair = Pair()
    pair.rows.change(SURVEY, ALDER, in_flight=1)
    pair.now += 10 * PEER_ROW_TIMEOUT
    pair.tidy()
    assert pair.rows.rows
