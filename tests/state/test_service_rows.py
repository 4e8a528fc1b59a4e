"""Service rows and the ledgers that they feed."""

from __future__ import annotations

from carawayfold.coordination.slots.service_book import ServiceBook
from carawayfold.protocol import peer_pb2
from carawayfold.protocol.names import NameTable
from carawayfold.state.ids import OrganisationId, RouterId, ServiceId
from carawayfold.state.service_rows import (
    LOCAL_ROW_TIMEOUT,
    SEEN_LIFETIME,
    OwnRows,
    RowCursor,
)

SURVEY = ServiceId("survey")
ALDER = OrganisationId("alder")


class Pair:
    """A router's book and a peer that hears its rows over one link."""

    def __init__(self):
        self.now = 0.0
        self.rows = OwnRows(lambda: self.now)
        self.book = ServiceBook(RouterId("one"), self.rows, lambda _: 1.0)
        self.peer = ServiceBook(
            RouterId("two"), OwnRows(lambda: self.now), lambda _: 1.0
        )
        self.names = NameTable()
        self.cursor = RowCursor()

    def serve(self, service):
        self.rows.change(SURVEY, ALDER, received=service, requests=1)

    def send(self, first=False, times=1):
        frame = peer_pb2.Frame()
        self.book.write(frame, self.names, self.cursor)
        self.names.learn(frame)
        for _ in range(times):
            for rows in frame.rows:
                self.peer.read(RouterId("one"), rows, self.names, first)

    def tidy(self):
        for book in (self.book, self.peer):
            book.tidy({"one", "two"})

    def heard(self):
        return self.peer.ledger(SURVEY).account(ALDER).virtual


def test_service_is_counted_once_however_often_it_is_heard():
    pair = Pair()
    pair.send(first=True)
    pair.serve(100)
    pair.send(times=3)
    assert pair.heard() == 100


def test_service_from_before_the_first_meeting_is_no_debt():
    pair = Pair()
    pair.serve(5000)
    pair.send(first=True)
    pair.serve(100)
    pair.send()
    assert pair.heard() == 100


def test_service_during_a_separation_is_bounded_when_it_is_heard():
    pair = Pair()
    pair.send(first=True)
    pair.serve(10)
    pair.send()
    for _ in range(10000):
        pair.serve(10)
    pair.cursor.version = 0
    pair.send(first=True)
    assert pair.heard() < 10000


def test_idle_row_is_dropped_and_begins_anew_without_loss_or_double():
    pair = Pair()
    pair.send(first=True)
    pair.serve(100)
    pair.send()
    pair.now += LOCAL_ROW_TIMEOUT + 1
    pair.tidy()
    assert not pair.rows.rows
    pair.serve(30)
    pair.send()
    assert pair.heard() == 130
    pair.now += SEEN_LIFETIME + 1
    pair.tidy()
    assert not pair.peer.seen["one"]
    pair.serve(7)
    pair.send()
    assert pair.peer.ledger(SURVEY).account(ALDER).virtual >= 7


def test_running_work_keeps_its_row():
    pair = Pair()
    pair.rows.change(SURVEY, ALDER, in_flight=1)
    pair.now += 10 * SEEN_LIFETIME
    pair.tidy()
    assert pair.rows.rows
