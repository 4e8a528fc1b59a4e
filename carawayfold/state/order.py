"""Organisations in order of a rank that changes, without sorting them anew."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.state.ids import OrganisationId

#: Outdated entries beyond which the heap is built anew.
SLACK = 64


class RankOrder:
    """A heap whose outdated entries are dropped when they come up.

    Attributes
    ----------
    ranks : dict of OrganisationId to float
        The organisations and their ranks as last entered.
    """

    def __init__(self) -> None:
        self.ranks: dict[OrganisationId, float] = {}
        self.heap: list[tuple[float, OrganisationId]] = []

    def enter(self, organisation: OrganisationId, rank: float) -> None:
        """Enter an organisation, or change its rank."""
        if self.ranks.get(organisation) == rank:
            return
        self.ranks[organisation] = rank
        heapq.heappush(self.heap, (rank, organisation))
        if len(self.heap) > 2 * len(self.ranks) + SLACK:
            self.heap = [(rank, name) for name, rank in self.ranks.items()]
            heapq.heapify(self.heap)

    def leave(self, organisation: OrganisationId) -> None:
        """Take an organisation out."""
        self.ranks.pop(organisation, None)

    def first(self) -> OrganisationId | None:
        """Return the organisation with the least rank, None if there is none."""
        while self.heap:
            rank, organisation = self.heap[0]
            if self.ranks.get(organisation) == rank:
                return organisation
            heapq.heappop(self.heap)
        return None
