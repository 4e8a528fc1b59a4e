"""Quarantine of request contents that crash endpoints.

It guards against a caller that retries a request which crashes each endpoint that runs
it, with another identifier each time and through any router. If contents were not
remembered, the fleet would lose one endpoint after the other, together with the
requests of other callers in flight there.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import xxhash

from carawayfold.state.ids import ContentId, EndpointId, OrganisationId

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

#: Seconds for which a quarantined content is rejected. A caller that retries without
#: pause crashes at most four endpoints an hour, and a repaired endpoint is tried again
#: on the same day without an operator.
QUARANTINE_DURATION = 900.0
#: Seconds for which a content at `Level.RESTED` is rejected. It completed a run shortly
#: before, so it may have been in flight by coincidence; one more run decides.
REST_DURATION = 10.0
#: Seconds for which a content is remembered after its rejection ends, or after its last
#: crash. One more crash within that time causes another rejection.
RETENTION_DURATION = 900.0
#: Most contents remembered: 0.6 MB of the 128 MB of the smallest instance.
MAX_ENTRIES = 1000
#: Most contents remembered of one organisation, so that one which sends thousands of
#: different harmful contents does not evict those of others.
MAX_ENTRIES_PER_ORGANISATION = 50


class Level(Enum):
    """Verdict of the fleet on a content.

    Attributes
    ----------
    CLEARED
        It has completed a run since the last crash.
    LIFTED
        An operator has allowed it, whether or not it is harmful.
    SUSPECTED
        Endpoints crashed while they ran it, but too few to reject it.
    RESTED
        Rejected for a short time, as it completed a run shortly before the crashes.
    QUARANTINED
        Rejected for a longer time, as no completed run of it is known.
    """

    CLEARED = "cleared"
    LIFTED = "lifted"
    SUSPECTED = "suspected"
    RESTED = "rested"
    QUARANTINED = "quarantined"

    @property
    def is_clear(self) -> bool:
        """Return whether a content is neither rejected nor suspected."""
        return self in (Level.CLEARED, Level.LIFTED)

    @property
    def severity(self) -> int:
        """Return its rank among the levels, 0 for the lowest."""
        return list(Level).index(self)


#: Seconds of rejection for each level at which a content is rejected.
REJECTION_DURATIONS = {
    Level.RESTED: REST_DURATION,
    Level.QUARANTINED: QUARANTINE_DURATION,
}


class Entry(msgspec.Struct, frozen=True):
    """The newest verdict on one content.

    Attributes
    ----------
    content : ContentId
        Digest of the content.
    organisation : OrganisationId
        Organisation whose requests have the content.
    level : Level
        The verdict.
    stamp : int
        Unix milliseconds of the verdict; the newest one applies.
    held_until : float
        Monotonic seconds until which the content is rejected.
    expires_at : float
        Monotonic seconds at which the entry expires.
    since : float
        Monotonic seconds of the first crash that counts. A run that completes later is
        evidence that the content is harmless.
    endpoints : tuple of EndpointId
        Endpoints that crashed while they ran it.
    """

    content: ContentId
    organisation: OrganisationId
    level: Level
    stamp: int
    since: float
    held_until: float
    expires_at: float
    endpoints: tuple[EndpointId, ...] = ()

    @property
    def precedence(self) -> tuple[int, int]:
        """Return a value that is greatest for the verdict that applies."""
        return self.stamp, self.level.severity


class Quarantine:
    """The verdicts of the fleet, as known to one router.

    Attributes
    ----------
    entries : dict
        Newest verdict by content, those that clear it included.
    organisations : Counter
        Number of verdicts by organisation, so that no digest is computed for requests
        of organisations without any.
    checksum : int
        Equal on routers with the same verdicts; 0 without any.
    """

    def __init__(self) -> None:
        self.entries: dict[ContentId, Entry] = {}
        self.organisations: Counter[OrganisationId] = Counter()
        self.checksum = 0

    def put(self, entry: Entry) -> bool:
        """Store a verdict if it is newer; return whether it was stored.

        Of two with the same stamp, issued by two routers, the more severe one applies.
        """
        known = self.entries.get(entry.content)
        if known is not None and known.precedence >= entry.precedence:
            return False
        self._drop(entry.content)
        self.entries[entry.content] = entry
        self.organisations[entry.organisation] += 1
        self._enforce_limits(entry.organisation)
        self._update_checksum()
        return entry.content in self.entries

    def get(self, content: ContentId) -> Entry | None:
        """Return the newest verdict on a content."""
        return self.entries.get(content)

    def has_contents_of(self, organisation: OrganisationId) -> bool:
        """Return whether there is a verdict on any content of an organisation."""
        return organisation in self.organisations

    def rejection_remaining(self, content: ContentId, now: float) -> float:
        """Return the remaining seconds of a content's rejection, 0 if there is none."""
        entry = self.entries.get(content)
        if entry is None or entry.level not in REJECTION_DURATIONS:
            return 0.0
        return max(0.0, entry.held_until - now)

    def is_suspected(self, content: ContentId) -> bool:
        """Return whether a content crashed endpoints and has not been cleared since."""
        entry = self.entries.get(content)
        return entry is not None and not entry.level.is_clear

    def is_excused(self, content: ContentId, others: Container[ContentId]) -> bool:
        """Return whether another rejected content explains all crashes of a content.

        Two parts of prompts that were in flight at the same crashes are both suspects.
        A request that has only one of them has never crashed an endpoint.

        Parameters
        ----------
        content : ContentId
            Rejected content.
        others : container of ContentId
            Contents of the same request, which excuse nothing.
        """
        entry = self.entries[content]
        crashed = set(entry.endpoints)
        return any(
            other.organisation == entry.organisation
            and other.level in REJECTION_DURATIONS
            and other.content not in others
            and crashed <= set(other.endpoints)
            for other in self.entries.values()
        )

    def held(self, now: float) -> list[Entry]:
        """Return the verdicts on contents that are rejected now."""
        return [
            entry
            for entry in self.entries.values()
            if self.rejection_remaining(entry.content, now) > 0
        ]

    def suspected(self, now: float) -> list[Entry]:
        """Return the verdicts on contents that are suspected but not rejected now.

        These contents are rejected, or rejected again, after one more crash.
        """
        return [
            entry
            for entry in self.entries.values()
            if not entry.level.is_clear
            and not self.rejection_remaining(entry.content, now)
        ]

    def expire(self, now: float) -> None:
        """Drop expired verdicts."""
        expired = [
            content
            for content, entry in self.entries.items()
            if entry.expires_at <= now
        ]
        for content in expired:
            self._drop(content)
        if expired:
            self._update_checksum()

    def _update_checksum(self) -> None:
        rows = sorted(f"{item.content}|{item.stamp}" for item in self.entries.values())
        # 31 bits fit into five bytes of a heartbeat.
        digest = xxhash.xxh3_64_intdigest("\n".join(rows).encode()) >> 33
        self.checksum = (digest or 1) if rows else 0

    def _enforce_limits(self, organisation: OrganisationId) -> None:
        """Enforce the limits at the expense of the organisation with most verdicts."""
        if self.organisations[organisation] > MAX_ENTRIES_PER_ORGANISATION:
            self._drop_least_important(organisation)
        if len(self.entries) > MAX_ENTRIES:
            self._drop_least_important(self.organisations.most_common(1)[0][0])

    def _drop_least_important(self, organisation: OrganisationId) -> None:
        candidates = [
            x for x in self.entries.values() if x.organisation == organisation
        ]
        self._drop(least_important(candidates).content)

    def _drop(self, content: ContentId) -> None:
        entry = self.entries.pop(content, None)
        if entry is None:
            return
        self.organisations[entry.organisation] -= 1
        if not self.organisations[entry.organisation]:
            del self.organisations[entry.organisation]


def least_important(entries: Iterable[Entry]) -> Entry:
    """Return the oldest verdict, of those that reject nothing if there are any."""
    return min(
        entries,
        key=lambda entry: (entry.level in REJECTION_DURATIONS, entry.stamp),
    )
