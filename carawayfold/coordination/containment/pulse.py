"""When each endpoint was last heard, to tell a silent one from a slow answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.state.ids import EndpointId

#: Seconds without a byte on any connection to an endpoint, while something is
#: awaited from it, after which it is taken for silent.
SILENCE = 1.0


class Pulse:
    """Last sign of life of each endpoint."""

    def __init__(self) -> None:
        self.heard: dict[EndpointId, float] = {}

    def beat(self, endpoint: EndpointId, now: float) -> None:
        """Note bytes from an endpoint."""
        self.heard[endpoint] = now

    def is_silent(self, endpoint: EndpointId, since: float, now: float) -> bool:
        """Return whether nothing came since `since` and for too long."""
        last = max(self.heard.get(endpoint, 0.0), since)
        return now - last >= SILENCE
