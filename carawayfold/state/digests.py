"""Digests that identify requests, parts of prompts and streams."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Length of a digest in bytes. Long enough that no caller can construct a collision, by
#: which something of another caller would be taken for its own.
DIGEST_SIZE = 16


def hex_digest(fields: Iterable[bytes], last: bytes) -> str:
    """Return the hexadecimal digest of some fields and a last one."""
    digest = blake2b(digest_size=DIGEST_SIZE)
    for field in fields:
        # The length prefix keeps the boundaries of fields unambiguous.
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(last)
    return digest.hexdigest()
