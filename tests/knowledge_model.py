"""Every order of events between a store, two routers and one endpoint, up to a depth.

The routers' part is the product's own `Knowledge`. The endpoint is registered, may say
that it leaves, to the store or in an answer, and goes with or without that; the store
may come back from a copy once, and a router's read may be answered long after it was
asked. States that are equal are followed once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from carawayfold.protocol.sources import HistoryLost, Page, Registered
from carawayfold.state.positions import era_of, offset_of, position
from tests.knowledge_builders import knowledge
from tests.schedule_builders import endpoint

NAME = "e-1"
#: What the endpoint says in the end: that it is there, that it leaves, nothing more.
WORDS = [
    Registered(NAME, endpoint(NAME)),
    Registered(NAME, endpoint(NAME, leaving=True)),
    Registered(NAME, None),
]


class Event(Enum):
    """What may happen next."""

    LEAVES = "the endpoint says that it leaves"
    GOES = "the endpoint's entry vanishes"
    ANSWERS = "an answer to the first router says that the endpoint leaves"
    TOLD = "the second router is told so by the first one"
    SAYS_AGAIN = "the endpoint says again what it said last"
    COPY = "the store comes back from a copy without the last record"
    A_ASKS = "the first router asks the store"
    A_TAKES = "the first router takes the answer"
    B_READS = "the second router reads the store"
    A_FROM_B = "the first router takes the second one's list"
    B_FROM_A = "the second router takes the first one's list"


#: Where in `WORDS` the endpoint is, at first and after what it says.
STAYS, LEAVING, GONE = range(3)
SAID = {Event.LEAVES: LEAVING, Event.GOES: GONE}


class ModelStore:
    """The topic of registrations."""

    def __init__(self):
        self.records = [WORDS[0]]
        self.era = 0

    def newest(self):
        last = self.records[-1]
        kept = [last] if last.endpoint is not None else []
        return Page(kept, position(self.era, len(self.records)))

    def read(self, start):
        if era_of(start) != self.era or offset_of(start) > len(self.records):
            raise HistoryLost("the store came back from a copy")
        read = self.records[offset_of(start) :]
        return Page(read, position(self.era, len(self.records)))


class ModelRouter:
    """One router: what it knows, and the answer that is on its way to it."""

    def __init__(self, store):
        self.store = store
        self.known, _ = knowledge()
        self.known.take_listed(store.newest())
        self.on_its_way = None
        self.told_that_it_leaves = False

    def ask(self):
        place = self.known.endpoints.offset
        try:
            page = self.store.read(place)
            self.on_its_way = lambda: self.known.take_registered(page)
        except HistoryLost:
            page = self.store.newest()
            self.on_its_way = lambda: self.known.take_listed(page)
        self.asked_at = page.next, len(page.items)

    def take(self):
        answer, self.on_its_way = self.on_its_way, None
        answer()

    def take_list_of(self, other):
        if other.known.endpoints.offset > self.known.endpoints.offset:
            self.known.take_snapshot(other.known.snapshot(), "peer")

    def uses_it(self):
        return bool(self.known.endpoints.usable("model"))

    def key(self):
        table = self.known.endpoints
        on_its_way = self.asked_at if self.on_its_way is not None else None
        return (
            table.offset,
            tuple((name, item.leaving) for name, item in table.entries.items()),
            tuple(table.departed),
            tuple(table.announced.items()),
            self.known.copied_until > self.known.loop.time(),
            on_its_way,
            self.told_that_it_leaves,
        )


@dataclass
class Model:
    """One state, reached by a series of events."""

    said: int = STAYS
    copied: bool = False
    store: ModelStore = field(default_factory=ModelStore)

    def __post_init__(self):
        self.first = ModelRouter(self.store)
        self.second = ModelRouter(self.store)

    def possible(self):
        """Return the events that may happen now."""
        found = [Event.SAYS_AGAIN, Event.B_READS, Event.A_FROM_B, Event.B_FROM_A]
        if self.said == STAYS:
            found.append(Event.LEAVES)
        announced = NAME in self.first.known.endpoints.announced
        if self.said != GONE and not announced:
            found.append(Event.ANSWERS)
        if announced:
            found.append(Event.TOLD)
        if self.said != GONE:
            found.append(Event.GOES)
        if not self.copied and len(self.store.records) > 1:
            found.append(Event.COPY)
        waits = self.first.on_its_way is not None
        return [*found, Event.A_TAKES if waits else Event.A_ASKS]

    def play(self, event):
        """Let an event happen; return whether a router uses what it knew to leave."""
        if event in SAID:
            self.said = SAID[event]
        if event in SAID or event is Event.SAYS_AGAIN:
            self.store.records.append(WORDS[self.said])
        elif event is Event.COPY:
            self.copied = True
            self.store.records.pop()
            self.store.era += 1
        else:
            self._tell(event)
        return any(self._is_back(router) for router in (self.first, self.second))

    def _tell(self, event):
        if event is Event.ANSWERS:
            self.first.known.take_leaving(NAME)
        elif event is Event.TOLD:
            self.second.known.take_leaving(NAME, "peer")
        elif event is Event.A_ASKS:
            self.first.ask()
        elif event is Event.A_TAKES:
            self.first.take()
        elif event is Event.B_READS:
            self.second.ask()
            self.second.take()
        elif event is Event.A_FROM_B:
            self.first.take_list_of(self.second)
        else:
            self.second.take_list_of(self.first)

    @staticmethod
    def _is_back(router):
        if router.uses_it():
            announced = NAME in router.known.endpoints.announced
            return router.told_that_it_leaves or announced
        router.told_that_it_leaves = True
        return False

    def key(self):
        store = self.store
        words = tuple(WORDS.index(item) for item in store.records)
        return self.said, store.era, words, self.first.key(), self.second.key()
