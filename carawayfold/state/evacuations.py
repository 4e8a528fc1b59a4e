"""Data centres whose endpoints get nothing, by the operators' word."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import DataCentreId, Position
from carawayfold.state.positions import era_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Seconds for which an evacuation is kept that a store which came back from a copy no
#: longer lists: it was written after the copy was made, and nobody took it back.
COPY_KEPT = 30.0


class EvacuationSnapshot(msgspec.Struct, frozen=True):
    """What one router knows of evacuations, for another one; see `EvacuationTable`.

    Attributes
    ----------
    unconfirmed : dict
        Seconds for which those are kept that the store no longer lists.
    """

    changed_at: Position
    active: list[DataCentreId]
    unconfirmed: dict[DataCentreId, float] = {}


class EvacuationTable(msgspec.Struct):
    """Evacuated data centres, and where in the operators' records that was said.

    Attributes
    ----------
    known : bool
        Whether the store or a peer has told all of them.
    changed_at : Position
        Next record after the last that changed them.
    active : set of DataCentreId
        Those evacuated.
    unconfirmed : dict
        Those kept though a store from a copy does not list them, with the monotonic
        seconds until which they are.
    """

    known: bool = False
    changed_at: Position = Position(0)
    active: set[DataCentreId] = msgspec.field(default_factory=set)
    unconfirmed: dict[DataCentreId, float] = msgspec.field(default_factory=dict)

    def read(self, words: Mapping[DataCentreId, bool], after: Position) -> bool:
        """Take what was read on; return whether it changes anything.

        Parameters
        ----------
        words : mapping
            The last word on each data centre: whether it is evacuated.
        after : Position
            Where the reading ended; what a peer has told from beyond that stands.
        """
        if after <= self.changed_at:
            return False
        for data_centre in words:
            self.unconfirmed.pop(data_centre, None)
        ended = {name for name, active in words.items() if not active}
        begun = words.keys() - ended
        return self._replace((self.active - ended) | begun, after)

    def listed(
        self, active: Iterable[DataCentreId], after: Position, now: float
    ) -> bool:
        """Take the store's whole list; return whether it changes anything."""
        if after < self.changed_at:
            return False
        self.known = True
        wanted = set(active)
        if era_of(after) > era_of(self.changed_at):
            for data_centre in self.active - wanted:
                self.unconfirmed.setdefault(data_centre, now + COPY_KEPT)
        return self._replace(wanted | self.unconfirmed.keys(), after)

    def told(self, snapshot: EvacuationSnapshot, now: float) -> bool:
        """Take a peer's list if it knows later changes; return whether it differs."""
        if self.known and snapshot.changed_at <= self.changed_at:
            return False
        self.known = True
        self.changed_at = snapshot.changed_at
        self.unconfirmed = {
            name: now + left for name, left in snapshot.unconfirmed.items()
        }
        return self._replace(set(snapshot.active), snapshot.changed_at)

    def snapshot(self, now: float) -> EvacuationSnapshot:
        """Return all of it for a peer."""
        unconfirmed = {name: until - now for name, until in self.unconfirmed.items()}
        return EvacuationSnapshot(self.changed_at, sorted(self.active), unconfirmed)

    def expire(self, now: float) -> bool:
        """End what a store from a copy has not confirmed for long enough."""
        over = {name for name, until in self.unconfirmed.items() if now >= until}
        for data_centre in over:
            del self.unconfirmed[data_centre]
        if not over & self.active:
            return False
        self.active = self.active - over
        return True

    def _replace(self, active: set[DataCentreId], after: Position) -> bool:
        if active == self.active:
            return False
        self.active = active
        self.changed_at = after
        return True
