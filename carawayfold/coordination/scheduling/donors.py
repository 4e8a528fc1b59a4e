"""Which engine hands the kept part of a prompt to the one that will run it.

The load it answers: many requests share long prefixes, and the engine that keeps one
is full. Reading the prefix at a second engine takes that engine's time from all that
runs there; copying what the first one keeps takes a small part of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.state.ids import EndpointId

#: Tokens below which a copy is not worth its set-up: reading 200 tokens takes an
#: engine one to two milliseconds.
LEAST_FETCHED = 200


class Donor(msgspec.Struct, frozen=True):
    """An engine that keeps the beginning of a prompt.

    Attributes
    ----------
    id : EndpointId
        Its name.
    kept : int
        Tokens of the prompt, from its beginning, that it has read already.
    """

    id: EndpointId
    kept: int

    def fetched(self, endpoint: EndpointId, kept: int) -> int:
        """Return the tokens that `endpoint` would copy, which keeps `kept` itself."""
        more = self.kept - kept
        return more if endpoint != self.id and more >= LEAST_FETCHED else 0


def find_donor(offer: Offer, backlogs: Collection[Backlog]) -> Donor | None:
    """Return the engine that has read most of a prompt, if any has read enough.

    What an engine was only told to read does not count: it may not have begun, and
    a copy would bring nothing. Where no engine of the pool has read it, the one that
    the request's router names is taken: it has read it in another pool.
    """
    if offer.shared_tokens < LEAST_FETCHED:
        return None
    prompt = offer.prompt
    found: Donor | None = None
    most = LEAST_FETCHED - 1
    for backlog in backlogs:
        prefixes = backlog.load.prefixes
        if not offer.may_run_in(backlog.data_centre):
            continue
        if not backlog.may_donate or prefixes.kept(prompt) <= most:
            continue
        present = prefixes.present(prompt)
        if present > most:
            most = present
            found = Donor(backlog.id, present)
    if found is not None or offer.kept_at is None:
        return found
    if any(offer.kept_at == backlog.id for backlog in backlogs):
        return None
    return Donor(offer.kept_at, offer.shared_tokens)
