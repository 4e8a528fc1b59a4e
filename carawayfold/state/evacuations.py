"""Data centres that operators have evacuated, so that their endpoints get no requests.

Evacuations are read from the store or received from a peer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from carawayfold.checked import ORDINAL, SECONDS, TEXT
from carawayfold.state.ids import DataCentreId, Position
from carawayfold.state.positions import era_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Seconds for which an evacuation stays in force that a store restored from a backup no
#: longer lists. It was written after the backup was made, and no operator has ended it.
UNCONFIRMED_DURATION = 30.0


class EvacuationSnapshot(msgspec.Struct, frozen=True):
    """State of an `EvacuationTable`, sent to a peer.

    Attributes
    ----------
    changed_at : Position
        Position after the last record that changed the evacuations.
    active : list of DataCentreId
        Evacuated data centres.
    unconfirmed : dict
        Remaining seconds for which evacuations stay in force that a restored store
        does not list.
    """

    changed_at: Annotated[Position, ORDINAL]
    active: list[Annotated[DataCentreId, TEXT]]
    unconfirmed: dict[Annotated[DataCentreId, TEXT], Annotated[float, SECONDS]] = {}


class EvacuationTable(msgspec.Struct):
    """Evacuated data centres, and the position of the records that evacuated them.

    Attributes
    ----------
    known : bool
        Whether a complete list was received from the store or a peer.
    changed_at : Position
        Position after the last record that changed the evacuations.
    active : set of DataCentreId
        Evacuated data centres.
    unconfirmed : dict
        Evacuations that a store restored from a backup does not list, with the
        monotonic seconds until which they stay in force.
    """

    known: bool = False
    changed_at: Position = Position(0)
    active: set[DataCentreId] = msgspec.field(default_factory=set)
    unconfirmed: dict[DataCentreId, float] = msgspec.field(default_factory=dict)

    def read(self, states: Mapping[DataCentreId, bool], after: Position) -> bool:
        """Apply records that were read; return whether the evacuations changed.

        Parameters
        ----------
        states : mapping
            Whether each data centre is evacuated, by its newest record.
        after : Position
            Position after the last record. The records are ignored if a peer has
            already sent the state after them.
        """
        if after <= self.changed_at:
            return False
        for data_centre in states:
            self.unconfirmed.pop(data_centre, None)
        ended = {name for name, active in states.items() if not active}
        begun = states.keys() - ended
        return self._replace((self.active - ended) | begun, after)

    def listed(
        self, active: Iterable[DataCentreId], after: Position, now: float
    ) -> bool:
        """Apply a complete list of the store; return whether the evacuations changed.

        Parameters
        ----------
        active : iterable of DataCentreId
            Evacuated data centres.
        after : Position
            Position up to which the list is current.
        now : float
            Monotonic seconds.
        """
        if after < self.changed_at:
            return False
        self.known = True
        evacuated = set(active)
        if era_of(after) > era_of(self.changed_at):
            for data_centre in self.active - evacuated:
                self.unconfirmed.setdefault(data_centre, now + UNCONFIRMED_DURATION)
        return self._replace(evacuated | self.unconfirmed.keys(), after)

    def apply_snapshot(self, snapshot: EvacuationSnapshot, now: float) -> bool:
        """Apply a peer's state if it is newer; return whether the evacuations changed.

        Parameters
        ----------
        snapshot : EvacuationSnapshot
            State of the peer.
        now : float
            Monotonic seconds.
        """
        if self.known and snapshot.changed_at <= self.changed_at:
            return False
        self.known = True
        self.changed_at = snapshot.changed_at
        self.unconfirmed = {
            name: now + remaining for name, remaining in snapshot.unconfirmed.items()
        }
        return self._replace(set(snapshot.active), snapshot.changed_at)

    def snapshot(self, now: float) -> EvacuationSnapshot:
        """Return the state to send to a peer."""
        unconfirmed = {name: until - now for name, until in self.unconfirmed.items()}
        return EvacuationSnapshot(self.changed_at, sorted(self.active), unconfirmed)

    def expire(self, now: float) -> bool:
        """End evacuations left unconfirmed for too long; return whether any ended."""
        expired = {name for name, until in self.unconfirmed.items() if now >= until}
        for data_centre in expired:
            del self.unconfirmed[data_centre]
        if not expired & self.active:
            return False
        self.active = self.active - expired
        return True

    def _replace(self, active: set[DataCentreId], after: Position) -> bool:
        if active == self.active:
            return False
        self.active = active
        self.changed_at = after
        return True
