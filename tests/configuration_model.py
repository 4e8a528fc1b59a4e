"""Model of a store, two routers and configuration versions, for all orders of events.

The routers use the real `Knowledge`. Operators write versions from 0 on. The store may
trim its history, or be restored from a backup without the last version. A router's read
may be answered late, and each router may restart without records. Equal states are
explored once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from carawayfold.protocol.sources import Page, RecordsNotRetained
from carawayfold.state.positions import era_of, offset_of, position
from carawayfold.state.progress import is_newer
from tests.knowledge_builders import knowledge, table

#: Versions written at most.
VERSIONS = 4


class Event(Enum):
    """Events that may happen next."""

    WRITE = "the operators write a version"
    TRIM = "the store trims all records but the newest"
    RESTORE = "the store is restored from a backup without the last record"
    A_ASKS = "the first router asks the store"
    A_TAKES = "the first router takes the answer"
    A_STARTS = "the first router restarts"
    B_READS = "the second router reads the store"
    A_FROM_B = "the first router takes what the second one has in force"
    B_FROM_A = "the second router takes what the first one has in force"


class ModelStore:
    """The topic of the operators' records."""

    def __init__(self):
        self.records = [0]
        self.written = 1
        self.first = 0
        self.era = 0

    def place(self):
        return position(self.era, len(self.records))

    def newest(self):
        return Page([table(self.records[-1])], self.place())

    def read(self, start):
        stale = offset_of(start) < self.first or offset_of(start) > len(self.records)
        if era_of(start) != self.era or stale:
            raise RecordsNotRetained("no longer kept")
        items = [table(version) for version in self.records[offset_of(start) :]]
        return Page(items, self.place())


class ModelRouter:
    """One router: its configuration, and the answer of the store in transit to it."""

    def __init__(self, store):
        self.store = store
        self.start()

    def start(self):
        self.known, _ = knowledge()
        self.next = None
        self.in_transit = None
        self.highest = None

    def ask(self):
        try:
            page = None if self.next is None else self.store.read(self.next)
        except RecordsNotRetained:
            page = None
        self.in_transit = (page or self.store.newest(), page is None)

    def take(self):
        (page, listed), self.in_transit = self.in_transit, None
        self.known.apply_operator_records(page, listed)
        self.next = page.next

    def merge_from(self, other):
        if other.known.routes is not None:
            self.known.apply_routes(other.known.routes, "peer")

    def reverted(self):
        back = is_newer(self.highest, self.known.version)
        if not back:
            self.highest = self.known.version
        return back

    def lags(self):
        """Return whether it lacks a version after it has read all records."""
        self.ask()
        self.take()
        return is_newer(max(self.store.records), self.known.version)

    def key(self):
        way = self.in_transit
        waits = (way[0].next, len(way[0].items), way[1]) if way else None
        return self.known.version, self.next, waits, self.highest


@dataclass
class Model:
    """One state, reached by a sequence of events."""

    restored: bool = False
    store: ModelStore = field(default_factory=ModelStore)

    def __post_init__(self):
        self.first = ModelRouter(self.store)
        self.second = ModelRouter(self.store)

    def possible(self):
        """Return the events that may happen now."""
        found = [Event.A_STARTS, Event.B_READS, Event.A_FROM_B, Event.B_FROM_A]
        if self.store.written < VERSIONS:
            found.append(Event.WRITE)
        if len(self.store.records) > self.store.first + 1:
            found.append(Event.TRIM)
        if not self.restored and len(self.store.records) > 1:
            found.append(Event.RESTORE)
        waits = self.first.in_transit is not None
        return [*found, Event.A_TAKES if waits else Event.A_ASKS]

    def play(self, event):
        """Apply an event; return whether a running router reverted a version."""
        steps = {
            Event.WRITE: self._write,
            Event.TRIM: self._trim,
            Event.RESTORE: self._restore,
            Event.A_ASKS: self.first.ask,
            Event.A_TAKES: self.first.take,
            Event.A_STARTS: self.first.start,
            Event.B_READS: self._read_second,
            Event.A_FROM_B: lambda: self.first.merge_from(self.second),
            Event.B_FROM_A: lambda: self.second.merge_from(self.first),
        }
        steps[event]()
        return any([self.first.reverted(), self.second.reverted()])

    def lags(self):
        """Return whether a router lacks a version once no answer is in transit."""
        return any([self.first.lags(), self.second.lags()])

    def _write(self):
        self.store.records.append(self.store.written)
        self.store.written += 1

    def _trim(self):
        self.store.first = len(self.store.records) - 1

    def _restore(self):
        self.restored = True
        self.store.records.pop()
        self.store.first = min(self.store.first, len(self.store.records) - 1)
        self.store.era += 1

    def _read_second(self):
        self.second.ask()
        self.second.take()

    def key(self):
        store = self.store
        kept = (tuple(store.records), store.first, store.era, store.written)
        return kept, self.first.key(), self.second.key()
