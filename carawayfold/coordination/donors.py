"""Which engine hands the kept part of a prompt to the one that will run it.

The load it answers: many requests share long prefixes, and the engine that keeps one
is full. Reading the prefix at a second engine takes that engine's time from all that
runs there; copying what the first one keeps takes a small part of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.coordination.offers import Offer
    from carawayfold.coordination.placement import EndpointLoad

#: Tokens below which a copy is not worth its set-up: reading 200 tokens takes an
#: engine one to two milliseconds.
LEAST_FETCHED = 200
#: Recent part of failed answers above which an engine is not asked for a copy.
FAILING_MOST = 0.3


@dataclass(frozen=True, slots=True)
class Donor:
    """An engine that keeps the beginning of a prompt.

    Attributes
    ----------
    kept : int
        Tokens of the prompt, from its beginning, that it has read already.
    """

    load: EndpointLoad
    kept: int

    def fetched(self, load: EndpointLoad, kept: int) -> int:
        """Return the tokens that `load` would copy, which keeps `kept` itself."""
        more = self.kept - kept
        return more if load is not self.load and more >= LEAST_FETCHED else 0


def find_donor(offer: Offer, loads: Iterable[EndpointLoad], now: float) -> Donor | None:
    """Return the engine that has read most of a prompt, if any has read enough.

    What an engine was only told to read does not count: it may not have begun, and
    a copy would bring nothing. Nor does one that is silent or fails.
    """
    if offer.shared_tokens < LEAST_FETCHED:
        return None
    found: Donor | None = None
    for load in loads:
        present = load.prefixes.present(offer.prompt)
        if present < LEAST_FETCHED or (found is not None and present <= found.kept):
            continue
        if load.suspended_until > now or load.failure_share(now) > FAILING_MOST:
            continue
        found = Donor(load, present)
    return found
