"""Bound on the slots that an endpoint registers beyond the others of its service."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint

#: Most slots of an endpoint, as a multiple of the median of its service. Machines that
#: run the same software differ by less; one with more would never count as full.
MAX_SLOTS_RATIO = 8


def with_plausible_slots(endpoints: list[Endpoint]) -> list[Endpoint]:
    """Return the endpoints of one service, each with at most a plausible slot count."""
    if not endpoints:
        return []
    bound = MAX_SLOTS_RATIO * median_low(item.slots for item in endpoints)
    return [
        item if item.slots <= bound else msgspec.structs.replace(item, slots=bound)
        for item in endpoints
    ]
