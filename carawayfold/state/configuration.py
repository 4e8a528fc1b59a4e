"""The configuration: its objects, its changes and the deterministic apply rule."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

#: Outcomes of changes that are remembered so that repeats stay idempotent.
CHANGES_REMEMBERED = 4096
#: Revision that a change names when it creates an object.
ABSENT = 0


class Organisation(msgspec.Struct, frozen=True, tag="organisation"):
    """An organisation and the share of capacity that it is owed.

    Attributes
    ----------
    id : str
        Name of the organisation.
    share : float
        Weight against other organisations; greater than zero.
    brand : str
        Name of the brand that resells to it; empty for none.
    """

    id: str
    share: float = 1.0
    brand: str = ""


class Brand(msgspec.Struct, frozen=True, tag="brand"):
    """A label under which organisations are resold."""

    id: str
    title: str = ""


class ApiKey(msgspec.Struct, frozen=True, tag="key"):
    """An API key, kept only as its hash.

    Attributes
    ----------
    id : str
        Hexadecimal SHA-256 of the key.
    organisation : str
        Organisation that the key names.
    """

    id: str
    organisation: str


class Service(msgspec.Struct, frozen=True, tag="service"):
    """A model or application that callers can reach.

    Attributes
    ----------
    id : str
        Name, also the model name or path segment.
    model : bool
        True for model engines, False for plain applications.
    repeatable : bool
        False where a request may run at most once.
    spread : bool
        Whether requests may go to other data centres.
    """

    id: str
    model: bool = True
    repeatable: bool = True
    spread: bool = True


class Endpoint(msgspec.Struct, frozen=True, tag="endpoint"):
    """One worker that serves a service.

    Attributes
    ----------
    id : str
        Name of the endpoint.
    service : str
        Service that it serves.
    data_centre : str
        Data centre in which it stands.
    host : str
        IP number.
    port : int
        TCP port.
    slots : int
        Requests that may be in flight at once.
    draining : bool
        Whether it gets no new work.
    """

    id: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int = 8
    draining: bool = False


ConfigObject: TypeAlias = Organisation | Brand | ApiKey | Service | Endpoint
ObjectKey: TypeAlias = tuple[str, str]


class Change(msgspec.Struct, frozen=True, tag="change"):
    """One change of one object, as it stands on the log.

    Attributes
    ----------
    change_id : str
        Chosen by the operator; a repeat with the same id is idempotent.
    based_on : int
        Revision of the object that the operator saw; 0 where it is absent.
    object : ConfigObject
        New value, or the value to remove.
    remove : bool
        Whether the object is removed.
    operator : str
        Who asked.
    """

    change_id: str
    based_on: int
    object: ConfigObject
    remove: bool = False
    operator: str = ""


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Part of a full copy of the configuration, carried forward on the log.

    Attributes
    ----------
    through : int
        Offset of the last record that the copy contains.
    part, parts : int
        Position of this part, counted from 0, and number of parts.
    payload : bytes
        Slice of the encoded snapshot.
    """

    through: int
    part: int
    parts: int
    payload: bytes


Record: TypeAlias = Change | Checkpoint


class ChangeState(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Outcome(msgspec.Struct, frozen=True):
    """What became of a change, and why.

    Attributes
    ----------
    state : ChangeState
        The verdict, the same on every router.
    revision : int
        Offset of the change's record, plus one.
    detail : str
        Why it was not accepted.
    """

    state: ChangeState
    revision: int
    detail: str = ""


class Entry(msgspec.Struct, frozen=True):
    """An object with the revision at which it was last changed."""

    object: ConfigObject
    revision: int


class Snapshot(msgspec.Struct):
    """A configuration as of one offset of the log.

    The state is a function of the log's prefix alone, so that every router that
    has read the same prefix holds the same snapshot.

    Attributes
    ----------
    through : int
        Offset of the last record that was applied; -1 before the first.
    entries : dict of str to Entry
        Objects by ``kind/id``.
    outcomes : dict of str to Outcome
        Verdicts by change id, oldest first, at most `CHANGES_REMEMBERED`.
    """

    through: int = -1
    entries: dict[str, Entry] = {}
    outcomes: dict[str, Outcome] = {}

    def find(self, key: str) -> ConfigObject | None:
        """Return the object under `key`, or None."""
        entry = self.entries.get(key)
        return entry.object if entry else None

    def apply(self, offset: int, change: Change) -> Outcome:
        """Apply the change that stands at `offset` and return its verdict.

        Parameters
        ----------
        offset : int
            Offset of the change's record; greater than `through`, which the
            caller moves on.
        change : Change
            The change.

        Returns
        -------
        Outcome
            The first verdict for the change's id.
        """
        known = self.outcomes.get(change.change_id)
        if known is not None:
            return known
        # Counted from 1, so that no object's revision is `ABSENT`.
        revision = offset + 1
        outcome = self._judge(revision, change)
        if outcome.state is ChangeState.ACCEPTED:
            self._store(revision, change)
        self.outcomes[change.change_id] = outcome
        if len(self.outcomes) > CHANGES_REMEMBERED:
            del self.outcomes[next(iter(self.outcomes))]
        return outcome

    def _judge(self, revision: int, change: Change) -> Outcome:
        key = object_key(change.object)
        entry = self.entries.get(key)
        found = entry.revision if entry else ABSENT
        if found != change.based_on:
            detail = f"{key} is at revision {found}, not {change.based_on}"
            return Outcome(ChangeState.CONFLICT, revision, detail)
        if change.remove:
            return self._judge_removal(revision, key)
        fault = find_fault(change.object) or self._missing_reference(change.object)
        if fault:
            return Outcome(ChangeState.INVALID, revision, fault)
        return Outcome(ChangeState.ACCEPTED, revision)

    def _judge_removal(self, revision: int, key: str) -> Outcome:
        if key not in self.entries:
            return Outcome(ChangeState.INVALID, revision, f"{key} does not exist")
        for other, entry in self.entries.items():
            if key in references(entry.object):
                detail = f"{key} is still used by {other}"
                return Outcome(ChangeState.CONFLICT, revision, detail)
        return Outcome(ChangeState.ACCEPTED, revision)

    def _missing_reference(self, item: ConfigObject) -> str:
        for key in references(item):
            if key not in self.entries:
                return f"{key} does not exist"
        return ""

    def _store(self, revision: int, change: Change) -> None:
        key = object_key(change.object)
        if change.remove:
            del self.entries[key]
        else:
            self.entries[key] = Entry(change.object, revision)


def object_key(item: ConfigObject) -> str:
    """Return the key under which a snapshot holds `item`."""
    return f"{item.__struct_config__.tag}/{item.id}"


def references(item: ConfigObject) -> list[str]:
    """Return the keys of the objects that `item` needs."""
    if isinstance(item, Organisation):
        return [f"brand/{item.brand}"] if item.brand else []
    if isinstance(item, ApiKey):
        return [f"organisation/{item.organisation}"]
    if isinstance(item, Endpoint):
        return [f"service/{item.service}"]
    return []


def find_fault(item: ConfigObject) -> str:
    """Return what is wrong with the values of `item`; empty if nothing is."""
    if not item.id or len(item.id) > 128 or "/" in item.id:
        return "an id has 1 to 128 characters and no '/'"
    if isinstance(item, Organisation) and not 0 < item.share <= 1e6:
        return "a share is greater than 0 and at most 1000000"
    if isinstance(item, Endpoint):
        if not 1 <= item.slots <= 65536:
            return "slots is between 1 and 65536"
        if not 1 <= item.port <= 65535:
            return "a port is between 1 and 65535"
    return ""


record_encoder = msgspec.json.Encoder()
record_decoder = msgspec.json.Decoder(Record)
snapshot_encoder = msgspec.json.Encoder()
snapshot_decoder = msgspec.json.Decoder(Snapshot)
