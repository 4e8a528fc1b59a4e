"""Every order of events between a store, two routers and the operators' versions.

The routers' part is the product's own `Knowledge`. Versions are written; the store may
forget its history, or come back from a copy without the last version; a router's read
may be answered long after it was asked; each router may start again with nothing.
States that are equal are followed once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from carawayfold.protocol.sources import HistoryLost, Page
from carawayfold.state.positions import era_of, offset_of, position
from tests.knowledge_builders import knowledge, table

#: Versions that are written at most.
VERSIONS = 4


class Event(Enum):
    """What may happen next."""

    WRITE = "the operators write a version"
    FORGET = "the store forgets all but the newest record"
    COPY = "the store comes back from a copy without the last record"
    A_ASKS = "the first router asks the store"
    A_TAKES = "the first router takes the answer"
    A_STARTS = "the first router starts again"
    B_READS = "the second router reads the store"
    A_FROM_B = "the first router takes what the second one has in force"
    B_FROM_A = "the second router takes what the first one has in force"


class ModelStore:
    """The operators' topic."""

    def __init__(self):
        self.records = [1]
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
            raise HistoryLost("no longer kept")
        items = [table(version) for version in self.records[offset_of(start) :]]
        return Page(items, self.place())


class ModelRouter:
    """One router: what it has in force, and the answer that is on its way to it."""

    def __init__(self, store):
        self.store = store
        self.start()

    def start(self):
        self.known, _ = knowledge()
        self.next = None
        self.on_its_way = None
        self.highest = 0

    def ask(self):
        try:
            page = None if self.next is None else self.store.read(self.next)
        except HistoryLost:
            page = None
        self.on_its_way = (page or self.store.newest(), page is None)

    def take(self):
        (page, listed), self.on_its_way = self.on_its_way, None
        self.known.take_operators(page, listed)
        self.next = page.next

    def take_of(self, other):
        if other.known.routes is not None:
            self.known.take_routes(other.known.routes, "peer")

    def went_back(self):
        back = self.known.version < self.highest
        self.highest = max(self.highest, self.known.version)
        return back

    def lags(self):
        """Return whether it lacks a version after it has read all there is."""
        self.ask()
        self.take()
        return self.known.version < max(self.store.records)

    def key(self):
        way = self.on_its_way
        waits = (way[0].next, len(way[0].items), way[1]) if way else None
        return self.known.version, self.next, waits, self.highest


@dataclass
class Model:
    """One state, reached by a series of events."""

    copied: bool = False
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
            found.append(Event.FORGET)
        if not self.copied and len(self.store.records) > 1:
            found.append(Event.COPY)
        waits = self.first.on_its_way is not None
        return [*found, Event.A_TAKES if waits else Event.A_ASKS]

    def play(self, event):
        """Let an event happen; return whether a router went back within its life."""
        steps = {
            Event.WRITE: self._write,
            Event.FORGET: self._forget,
            Event.COPY: self._copy,
            Event.A_ASKS: self.first.ask,
            Event.A_TAKES: self.first.take,
            Event.A_STARTS: self.first.start,
            Event.B_READS: self._read_second,
            Event.A_FROM_B: lambda: self.first.take_of(self.second),
            Event.B_FROM_A: lambda: self.second.take_of(self.first),
        }
        steps[event]()
        return any([self.first.went_back(), self.second.went_back()])

    def lags(self):
        """Return whether a router lacks a version once nothing is on its way."""
        return any([self.first.lags(), self.second.lags()])

    def _write(self):
        self.store.written += 1
        self.store.records.append(self.store.written)

    def _forget(self):
        self.store.first = len(self.store.records) - 1

    def _copy(self):
        self.copied = True
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
