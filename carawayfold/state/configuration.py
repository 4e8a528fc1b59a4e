"""The configuration: its objects, its changes and the deterministic rule to apply them.

Changes are records on a log. Every router that has applied the same prefix of the log
has the same configuration.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

#: Most outcomes of changes that are remembered, so that retries are idempotent.
MAX_OUTCOMES = 4096
#: Value of `Change.based_on` in a change that creates an object.
ABSENT_REVISION = 0


class Organisation(msgspec.Struct, frozen=True, tag="organisation"):
    """An organisation and its share of the capacity.

    Attributes
    ----------
    id : str
        Name of the organisation.
    share : float
        Weight against other organisations; greater than zero.
    brand : str
        Name of the brand under which it is resold; empty for none.
    """

    id: str
    share: float = 1.0
    brand: str = ""


class Brand(msgspec.Struct, frozen=True, tag="brand"):
    """A brand under which organisations are resold.

    Attributes
    ----------
    id : str
        Name of the brand.
    title : str
        Title for display.
    """

    id: str
    title: str = ""


class ApiKey(msgspec.Struct, frozen=True, tag="key"):
    """An API key, stored only as its hash.

    Attributes
    ----------
    id : str
        Hexadecimal SHA-256 of the key.
    organisation : str
        Organisation that the key belongs to.
    """

    id: str
    organisation: str


class Service(msgspec.Struct, frozen=True, tag="service"):
    """A model or application that callers can use.

    Attributes
    ----------
    id : str
        Name, which is also the model name or path segment in requests.
    model : bool
        Whether its endpoints are model engines; False for plain applications.
    repeatable : bool
        Whether a request may run more than once.
    spread : bool
        Whether requests may be sent to other data centres.
    """

    id: str
    model: bool = True
    repeatable: bool = True
    spread: bool = True


class Endpoint(msgspec.Struct, frozen=True, tag="endpoint"):
    """One endpoint of a service.

    Attributes
    ----------
    id : str
        Name of the endpoint.
    service : str
        Service that it runs.
    data_centre : str
        Data centre in which it runs.
    host : str
        IP address.
    port : int
        TCP port.
    slots : int
        Most requests in flight at once.
    draining : bool
        Whether it is drained, so that it gets no new requests.
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
    """One change of one object, as recorded on the log.

    Attributes
    ----------
    change_id : str
        Identifier set by the operator; a retry with the same one is idempotent.
    based_on : int
        Revision of the object that the change replaces; 0 if it does not exist.
    object : ConfigObject
        New value, or the value to remove.
    remove : bool
        Whether to remove the object.
    operator : str
        Name of the operator.
    """

    change_id: str
    based_on: int
    object: ConfigObject
    remove: bool = False
    operator: str = ""


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Part of a complete copy of the configuration, appended to the log.

    Attributes
    ----------
    through : int
        Offset of the last record that the copy includes.
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
    """Result of a change.

    Attributes
    ----------
    ACCEPTED
        Applied.
    CONFLICT
        Not applied, as it is based on another revision, or removes an object in use.
    INVALID
        Not applied, as a value or a reference of its object is invalid.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Outcome(msgspec.Struct, frozen=True):
    """Result of a change, and why it was not accepted.

    Attributes
    ----------
    state : ChangeState
        Result of the change, the same on every router.
    revision : int
        Offset of the change's record, plus one.
    detail : str
        Why it was not accepted; empty if it was.
    """

    state: ChangeState
    revision: int
    detail: str = ""


class Entry(msgspec.Struct, frozen=True):
    """An object with the revision at which it was last changed.

    Attributes
    ----------
    object : ConfigObject
        The object.
    revision : int
        Revision of its last change.
    """

    object: ConfigObject
    revision: int


class Snapshot(msgspec.Struct):
    """The configuration at one offset of the log.

    It depends only on the prefix of the log, so that every router that has read the
    same prefix has the same snapshot.

    Attributes
    ----------
    through : int
        Offset of the last record that was applied; -1 before the first.
    entries : dict of str to Entry
        Objects by ``kind/id``.
    outcomes : dict of str to Outcome
        Outcomes by change identifier, oldest first, at most `MAX_OUTCOMES`.
    """

    through: int = -1
    entries: dict[str, Entry] = {}
    outcomes: dict[str, Outcome] = {}

    def find(self, key: str) -> ConfigObject | None:
        """Return the object under `key`, None if there is none."""
        entry = self.entries.get(key)
        return entry.object if entry else None

    def apply(self, offset: int, change: Change) -> Outcome:
        """Apply the change recorded at `offset` and return its outcome.

        Parameters
        ----------
        offset : int
            Offset of the change's record; greater than `through`, which the caller
            must update.
        change : Change
            The change.

        Returns
        -------
        Outcome
            Outcome of the first change with the same identifier.
        """
        known = self.outcomes.get(change.change_id)
        if known is not None:
            return known
        # Revisions start at 1, so that none equals `ABSENT_REVISION`.
        revision = offset + 1
        outcome = self._validate(revision, change)
        if outcome.state is ChangeState.ACCEPTED:
            self._store(revision, change)
        self.outcomes[change.change_id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        return outcome

    def _validate(self, revision: int, change: Change) -> Outcome:
        key = object_key(change.object)
        entry = self.entries.get(key)
        found = entry.revision if entry else ABSENT_REVISION
        if found != change.based_on:
            detail = f"{key} is at revision {found}, not {change.based_on}"
            return Outcome(ChangeState.CONFLICT, revision, detail)
        if change.remove:
            return self._validate_removal(revision, key)
        fault = find_invalid_value(change.object) or self._missing_reference(
            change.object
        )
        if fault:
            return Outcome(ChangeState.INVALID, revision, fault)
        return Outcome(ChangeState.ACCEPTED, revision)

    def _validate_removal(self, revision: int, key: str) -> Outcome:
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
    """Return the key of `item` in a snapshot, ``kind/id``."""
    return f"{item.__struct_config__.tag}/{item.id}"


def references(item: ConfigObject) -> list[str]:
    """Return the keys of the objects to which `item` refers."""
    if isinstance(item, Organisation):
        return [f"brand/{item.brand}"] if item.brand else []
    if isinstance(item, ApiKey):
        return [f"organisation/{item.organisation}"]
    if isinstance(item, Endpoint):
        return [f"service/{item.service}"]
    return []


def find_invalid_value(item: ConfigObject) -> str:
    """Return what is invalid in the values of `item`; empty if they are valid."""
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
