"""What a router tells operators of the contents that it refuses or watches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.state.quarantine import Quarantine

#: Where a router lists them, and the beginning of where it lifts one, on the address
#: for its peers.
LIST_PATH = "/quarantine"
LIFT_PATH = "/quarantine/lift/"


class ListedContent(msgspec.Struct, frozen=True):
    """One content.

    Attributes
    ----------
    since : float
        Seconds since the first crash that counts.
    held : float
        Seconds for which it is still refused.
    endpoints : tuple of str
        Those that ended under it.
    """

    content: str
    organisation: str
    level: str
    since: float
    held: float
    endpoints: tuple[str, ...]


def encode(quarantine: Quarantine, now: float) -> bytes:
    """Return the contents that are refused or watched as JSON, the newest first."""
    entries = sorted(
        (x for x in quarantine.entries.values() if not x.level.is_clear),
        key=lambda entry: -entry.stamp,
    )
    listed = [
        ListedContent(
            entry.content,
            entry.organisation,
            entry.level.value,
            round(now - entry.since, 1),
            round(quarantine.held_for(entry.content, now), 1),
            entry.endpoints,
        )
        for entry in entries
    ]
    return msgspec.json.encode(listed)


def decode(data: bytes) -> list[ListedContent]:
    """Return the contents that a router listed.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is no such list.
    """
    return msgspec.json.decode(data, type=list[ListedContent])
