"""List of rejected and suspect contents, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.state.quarantine import Quarantine

#: Path of the list, on the address for peers.
LIST_PATH = "/quarantine"
#: Prefix of the path that lifts the quarantine of one content, on the same address.
LIFT_PATH = "/quarantine/lift/"


class ListedContent(msgspec.Struct, frozen=True):
    """One rejected or suspect content.

    Attributes
    ----------
    since : float
        Seconds since the first crash that counts.
    held : float
        Seconds for which requests with it are still rejected.
    endpoints : tuple of str
        Endpoints that failed while they processed it.
    """

    content: str
    organisation: str
    level: str
    since: float
    held: float
    endpoints: tuple[str, ...]


def encode(quarantine: Quarantine, now: float) -> bytes:
    """Return rejected and suspect contents as JSON, the newest first."""
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
            round(quarantine.rejection_remaining(entry.content, now), 1),
            entry.endpoints,
        )
        for entry in entries
    ]
    return msgspec.json.encode(listed)


def decode(data: bytes) -> list[ListedContent]:
    """Return the contents from the list of a router.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is not a valid list.
    """
    return msgspec.json.decode(data, type=list[ListedContent])
