"""Model of a store, two routers and one endpoint, for all orders of events to a depth.

The routers use the real `Knowledge`. The endpoint is registered, may announce to the
store or in a response that it leaves, and is removed with or without that. The store
may be restored from a backup once, and a router's read may be answered late. Equal
states are explored once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from carawayfold.protocol.sources import EndpointChange, Page, RecordsNotRetained
from carawayfold.state.positions import era_of, offset_of, position
from tests.knowledge_builders import knowledge
from tests.schedule_builders import endpoint

NAME = "e-1"
#: Records of the endpoint: registered, leaving, removed.
RECORDS = [
    EndpointChange(NAME, endpoint(NAME)),
    EndpointChange(NAME, endpoint(NAME, leaving=True)),
    EndpointChange(NAME, None),
]


class Event(Enum):
    """Events that may happen next."""

    LEAVES = "the endpoint says that it leaves"
    GOES = "the endpoint's entry is removed"
    ANSWERS = "a response to the first router says that the endpoint leaves"
    NOTIFIED = "the first router notifies the second one of it"
    REPEATS = "the endpoint repeats its last record"
    RESTORE = "the store is restored from a backup without the last record"
    A_ASKS = "the first router asks the store"
    A_TAKES = "the first router takes the answer"
    B_READS = "the second router reads the store"
    A_FROM_B = "the first router takes the second one's list"
    B_FROM_A = "the second router takes the first one's list"


#: Indices of the states of the endpoint in `RECORDS`.
STAYS, LEAVING, GONE = range(3)
STATE_AFTER = {Event.LEAVES: LEAVING, Event.GOES: GONE}


class ModelStore:
    """The topic of registrations."""

    def __init__(self):
        self.records = [RECORDS[0]]
        self.era = 0

    def newest(self):
        last = self.records[-1]
        kept = [last] if last.endpoint is not None else []
        return Page(kept, position(self.era, len(self.records)))

    def read(self, start):
        if era_of(start) != self.era or offset_of(start) > len(self.records):
            raise RecordsNotRetained("the store was restored from a backup")
        read = self.records[offset_of(start) :]
        return Page(read, position(self.era, len(self.records)))


class ModelRouter:
    """One router: its records, and the answer of the store in transit to it."""

    def __init__(self, store):
        self.store = store
        self.known, _ = knowledge()
        self.known.apply_listing(store.newest())
        self.in_transit = None
        self.knew_leaving = False

    def ask(self):
        place = self.known.endpoints.offset
        try:
            page = self.store.read(place)
            self.in_transit = lambda: self.known.apply_registrations(page)
        except RecordsNotRetained:
            page = self.store.newest()
            self.in_transit = lambda: self.known.apply_listing(page)
        self.asked_at = page.next, len(page.items)

    def take(self):
        answer, self.in_transit = self.in_transit, None
        answer()

    def merge_from(self, other):
        if other.known.endpoints.offset > self.known.endpoints.offset:
            self.known.merge_snapshot(other.known.snapshot(), "peer")

    def uses_endpoint(self):
        return bool(self.known.endpoints.usable("model"))

    def key(self):
        table = self.known.endpoints
        in_transit = self.asked_at if self.in_transit is not None else None
        return (
            table.offset,
            tuple((name, item.leaving) for name, item in table.entries.items()),
            tuple(table.deregistered_at),
            tuple(table.announced.items()),
            self.known.restored_until > self.known.loop.time(),
            in_transit,
            self.knew_leaving,
        )


@dataclass
class Model:
    """One state, reached by a sequence of events."""

    said: int = STAYS
    restored: bool = False
    store: ModelStore = field(default_factory=ModelStore)

    def __post_init__(self):
        self.first = ModelRouter(self.store)
        self.second = ModelRouter(self.store)

    def possible(self):
        """Return the events that may happen now."""
        found = [Event.REPEATS, Event.B_READS, Event.A_FROM_B, Event.B_FROM_A]
        if self.said == STAYS:
            found.append(Event.LEAVES)
        announced = NAME in self.first.known.endpoints.announced
        if self.said != GONE and not announced:
            found.append(Event.ANSWERS)
        if announced:
            found.append(Event.NOTIFIED)
        if self.said != GONE:
            found.append(Event.GOES)
        if not self.restored and len(self.store.records) > 1:
            found.append(Event.RESTORE)
        waits = self.first.in_transit is not None
        return [*found, Event.A_TAKES if waits else Event.A_ASKS]

    def play(self, event):
        """Apply an event; return whether a router uses an endpoint it knew to leave."""
        if event in STATE_AFTER:
            self.said = STATE_AFTER[event]
        if event in STATE_AFTER or event is Event.REPEATS:
            self.store.records.append(RECORDS[self.said])
        elif event is Event.RESTORE:
            self.restored = True
            self.store.records.pop()
            self.store.era += 1
        else:
            self._apply_to_routers(event)
        return any(
            self._is_restored_endpoint(router) for router in (self.first, self.second)
        )

    def _apply_to_routers(self, event):
        if event is Event.ANSWERS:
            self.first.known.record_leaving(NAME)
        elif event is Event.NOTIFIED:
            self.second.known.record_leaving(NAME, "peer")
        elif event is Event.A_ASKS:
            self.first.ask()
        elif event is Event.A_TAKES:
            self.first.take()
        elif event is Event.B_READS:
            self.second.ask()
            self.second.take()
        elif event is Event.A_FROM_B:
            self.first.merge_from(self.second)
        else:
            self.second.merge_from(self.first)

    @staticmethod
    def _is_restored_endpoint(router):
        if router.uses_endpoint():
            announced = NAME in router.known.endpoints.announced
            return router.knew_leaving or announced
        router.knew_leaving = True
        return False

    def key(self):
        store = self.store
        words = tuple(RECORDS.index(item) for item in store.records)
        return self.said, store.era, words, self.first.key(), self.second.key()
