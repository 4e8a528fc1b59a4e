"""Contents under which endpoints ended, and which are therefore kept from the others.

The load it answers: a caller asks again and again for something that ends each endpoint
that runs it, under other identifiers and at any router. Without a memory of contents
the fleet loses one endpoint after the other, with the requests of all other callers
there.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import xxhash

from carawayfold.state.ids import ContentId, EndpointId, OrganisationId

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds for which a content is refused. Long enough that a caller who asks without
#: a pause ends four endpoints an hour at most, short enough that a mended endpoint is
#: tried on the same day without an operator.
HELD_FOR = 900.0
#: The same for a content that ran well not long before: it may have been there by
#: chance, and one run will tell.
HELD_BRIEFLY = 10.0
#: Seconds after that, or after the last crash, for which a content is still known; the
#: first endpoint that ends under it meanwhile has it refused again.
REMEMBERED_FOR = 900.0
#: Contents remembered in all: 0.6 MB at most on the smallest instance, which has 128.
ENTRIES_MOST = 1000
#: Contents remembered of one organisation, so that one which sends thousands of
#: different harmful ones pushes nobody else's out.
ENTRIES_OF_ORGANISATION = 50


class Level(Enum):
    """What the fleet thinks of a content.

    One that is rested is refused for a short while although it ran well not long
    before; one that is quarantined never did, as far as is known. One that is cleared
    has run well since; one that is lifted is allowed by an operator's word, which says
    nothing of how it will run.
    """

    CLEARED = "cleared"
    LIFTED = "lifted"
    SUSPECTED = "suspected"
    RESTED = "rested"
    QUARANTINED = "quarantined"

    @property
    def is_clear(self) -> bool:
        """Return whether nothing counts against a content."""
        return self in (Level.CLEARED, Level.LIFTED)


#: Levels at which a content is refused, and for how many seconds.
REFUSED_FOR = {Level.RESTED: HELD_BRIEFLY, Level.QUARANTINED: HELD_FOR}


class Entry(msgspec.Struct, frozen=True):
    """The newest verdict on one content.

    Attributes
    ----------
    stamp : int
        Unix milliseconds of the verdict; the newest one holds.
    held_until : float
        Monotonic seconds until which the content is refused.
    forget_at : float
        Monotonic seconds from which nothing is remembered of it.
    since : float
        Monotonic seconds of the first crash that counts; a run that ends well later
        speaks for the content.
    endpoints : tuple of EndpointId
        Those that ended under it.
    """

    content: ContentId
    organisation: OrganisationId
    level: Level
    stamp: int
    since: float
    held_until: float
    forget_at: float
    endpoints: tuple[EndpointId, ...] = ()


class Quarantine:
    """What one router knows of the fleet's verdicts.

    Attributes
    ----------
    entries : dict
        Newest verdict by content, those that clear it included.
    organisations : Counter
        Verdicts by organisation, so that requests of all others need no digest.
    checksum : int
        Equal where the same is known, 0 for nothing.
    """

    def __init__(self) -> None:
        self.entries: dict[ContentId, Entry] = {}
        self.organisations: Counter[OrganisationId] = Counter()
        self.checksum = 0

    def put(self, entry: Entry) -> bool:
        """Take a verdict; return whether it is news."""
        known = self.entries.get(entry.content)
        if known is not None and known.stamp >= entry.stamp:
            return False
        self._drop(entry.content)
        self.entries[entry.content] = entry
        self.organisations[entry.organisation] += 1
        self._bound(entry.organisation)
        self._settle()
        return entry.content in self.entries

    def get(self, content: ContentId) -> Entry | None:
        """Return the newest verdict on a content."""
        return self.entries.get(content)

    def concerns(self, organisation: OrganisationId) -> bool:
        """Return whether any content of an organisation is known."""
        return organisation in self.organisations

    def held_for(self, content: ContentId, now: float) -> float:
        """Return the seconds for which a content is still refused, 0 if it is not."""
        entry = self.entries.get(content)
        if entry is None or entry.level not in REFUSED_FOR:
            return 0.0
        return max(0.0, entry.held_until - now)

    def is_suspected(self, content: ContentId) -> bool:
        """Return whether endpoints ended under it, and it has not run well since."""
        entry = self.entries.get(content)
        return entry is not None and not entry.level.is_clear

    def held(self, now: float) -> list[Entry]:
        """Return the contents that are refused now."""
        return [
            entry
            for entry in self.entries.values()
            if self.held_for(entry.content, now) > 0
        ]

    def suspected(self, now: float) -> list[Entry]:
        """Return the contents that something counts against and that are not refused.

        One more crash has them refused, or refused again.
        """
        return [
            entry
            for entry in self.entries.values()
            if not entry.level.is_clear and not self.held_for(entry.content, now)
        ]

    def expire(self, now: float) -> None:
        """Forget what lies too far back."""
        over = [name for name, entry in self.entries.items() if entry.forget_at <= now]
        for name in over:
            self._drop(name)
        if over:
            self._settle()

    def _settle(self) -> None:
        rows = sorted(f"{item.content}|{item.stamp}" for item in self.entries.values())
        # 31 bits: a heartbeat holds it in five bytes.
        digest = xxhash.xxh3_64_intdigest("\n".join(rows).encode()) >> 33
        self.checksum = (digest or 1) if rows else 0

    def _bound(self, organisation: OrganisationId) -> None:
        """Keep within the bounds, at the cost of whoever has most."""
        if self.organisations[organisation] > ENTRIES_OF_ORGANISATION:
            self._drop_least(organisation)
        if len(self.entries) > ENTRIES_MOST:
            self._drop_least(self.organisations.most_common(1)[0][0])

    def _drop_least(self, organisation: OrganisationId) -> None:
        mine = [x for x in self.entries.values() if x.organisation == organisation]
        self._drop(least(mine).content)

    def _drop(self, content: ContentId) -> None:
        entry = self.entries.pop(content, None)
        if entry is None:
            return
        self.organisations[entry.organisation] -= 1
        if not self.organisations[entry.organisation]:
            del self.organisations[entry.organisation]


def least(entries: Iterable[Entry]) -> Entry:
    """Return the verdict that matters least: one that refuses nothing, the oldest."""
    return min(
        entries,
        key=lambda entry: (entry.level in REFUSED_FOR, entry.stamp),
    )
