"""Choice of the engine from which a cached prefix is copied.

Designed for requests that share long prefixes while the engine that has one cached is
full. Prefilling the prefix at a second engine slows down all requests that run there;
copying it from the first engine takes a small part of that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.state.ids import DataCentreId, EndpointId

#: Minimum tokens of a copy. Prefilling 200 tokens takes an engine one to two
#: milliseconds, so the set-up of a smaller copy is not worth it.
MIN_COPIED_TOKENS = 200


class CopySource(msgspec.Struct, frozen=True):
    """An engine that has the beginning of a prompt cached.

    Attributes
    ----------
    id : EndpointId
        The engine.
    cached_tokens : int
        Cached tokens of the prompt, from its beginning.
    data_centre : DataCentreId or None
        Its data centre; None if it is in another pool.
    """

    id: EndpointId
    cached_tokens: int
    data_centre: DataCentreId | None = None

    def copied_tokens(self, endpoint: EndpointId, cached: int) -> int:
        """Return the tokens that `endpoint` copies if it has `cached` itself."""
        more = self.cached_tokens - cached
        return more if endpoint != self.id and more >= MIN_COPIED_TOKENS else 0


def find_copy_source(offer: Offer, backlogs: Collection[Backlog]) -> CopySource | None:
    """Return the engine with the longest cached prefix of a prompt, if long enough.

    A prompt that was only sent to an engine doesn't count: its prefill may not have
    started, and there would be nothing to copy. If no engine of the pool has the
    prefix, the engine named by the request's router is used, which has it cached in
    another pool.
    """
    if offer.shared_prefix_tokens < MIN_COPIED_TOKENS:
        return None
    prompt = offer.prompt
    best: CopySource | None = None
    longest = MIN_COPIED_TOKENS - 1
    for backlog in backlogs:
        prefixes = backlog.load.prefixes
        if not offer.may_run_in(backlog.data_centre):
            continue
        if not backlog.can_be_copied_from or prefixes.kept(prompt) <= longest:
            continue
        present = prefixes.present(prompt)
        if present > longest:
            longest = present
            best = CopySource(backlog.id, present, backlog.data_centre)
    if best is not None or offer.cached_at is None:
        return best
    if any(offer.cached_at == backlog.id for backlog in backlogs):
        return None
    return CopySource(offer.cached_at, offer.shared_prefix_tokens)
