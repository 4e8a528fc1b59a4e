"""Priority queue of organisations whose ranks change."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.state.ids import OrganisationId

#: The heap is rebuilt when it has this many entries more than twice the organisations.
MAX_OUTDATED_ENTRIES = 64


class RankHeap:
    """A heap of organisations by rank, with lazy deletion of outdated entries.

    Attributes
    ----------
    ranks : dict of OrganisationId to float
        Current rank of each organisation.
    heap : list of tuple
        Ranks and organisations, outdated entries included.
    """

    def __init__(self) -> None:
        self.ranks: dict[OrganisationId, float] = {}
        self.heap: list[tuple[float, OrganisationId]] = []

    def update_rank(self, organisation: OrganisationId, rank: float) -> None:
        """Add an organisation, or change its rank."""
        if self.ranks.get(organisation) == rank:
            return
        self.ranks[organisation] = rank
        heapq.heappush(self.heap, (rank, organisation))
        if len(self.heap) > 2 * len(self.ranks) + MAX_OUTDATED_ENTRIES:
            self.heap = [(rank, name) for name, rank in self.ranks.items()]
            heapq.heapify(self.heap)

    def remove_rank(self, organisation: OrganisationId) -> None:
        """Remove an organisation."""
        self.ranks.pop(organisation, None)

    def first(self) -> OrganisationId | None:
        """Return the organisation with the least rank, None if the heap is empty."""
        while self.heap:
            rank, organisation = self.heap[0]
            if self.ranks.get(organisation) == rank:
                return organisation
            heapq.heappop(self.heap)
        return None
