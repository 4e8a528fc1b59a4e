"""Identities of requests: of their whole content, and of parts of their prompts."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import TYPE_CHECKING

from msgspec import Meta

from carawayfold.state.digests import DIGEST_SIZE, hex_digest
from carawayfold.state.ids import ContentId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.ids import OrganisationId, PartId

#: End of the identity of a part.
PART_SUFFIX = ".part"
#: Form of an identity: a digest, with the suffix for a part.
CONTENT = Meta(
    pattern=rf"^[0-9a-f]{{{2 * DIGEST_SIZE}}}(?:{re.escape(PART_SUFFIX)})?\Z"
)
#: Digests of parts that are kept, since most prompts begin with the same few parts.
MAX_CACHED_PARTS = 4096


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
    return ContentId(hex_digest((organisation.encode(), method, target), body))


@lru_cache(maxsize=MAX_CACHED_PARTS)
def part_content_id(organisation: OrganisationId, part: PartId) -> ContentId:
    """Return the identity of a prompt part that requests of an organisation share.

    It includes the organisation, since callers choose the names of parts: no
    organisation can have requests of another one rejected.
    """
    digest = hex_digest((organisation.encode(),), part.encode())
    return ContentId(digest + PART_SUFFIX)


def shared_part_ids(
    organisation: OrganisationId, prompt: Sequence[Part]
) -> tuple[ContentId, ...]:
    """Return the identities of the parts of a prompt that other requests share."""
    # The last part is the request's own.
    return tuple(part_content_id(organisation, part.id) for part in prompt[:-1])


def is_part(content: ContentId) -> bool:
    """Return whether an identity is that of a prompt part."""
    return content.endswith(PART_SUFFIX)
