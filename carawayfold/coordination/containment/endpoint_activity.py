"""Time of the last byte from each endpoint.

It distinguishes an endpoint that no longer sends from one with a slow response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.state.ids import EndpointId

#: Seconds without a byte on any connection to an endpoint, while a response is
#: awaited from it, after which it is considered silent.
SILENCE_TIMEOUT = 1.0


class EndpointActivity:
    """Time of the last activity of each endpoint.

    Attributes
    ----------
    last_byte_at : dict
        Loop time in seconds at which the last byte of each endpoint arrived.
    """

    def __init__(self) -> None:
        self.last_byte_at: dict[EndpointId, float] = {}

    def record_bytes(self, endpoint: EndpointId, now: float) -> None:
        """Record that bytes from an endpoint arrived at loop time `now`."""
        self.last_byte_at[endpoint] = now

    def is_silent(self, endpoint: EndpointId, since: float, now: float) -> bool:
        """Return whether no byte has arrived for `SILENCE_TIMEOUT` before `now`.

        The time without a byte is counted from `since` at the earliest.
        """
        return self.silence(endpoint, since, now) >= SILENCE_TIMEOUT

    def silence(self, endpoint: EndpointId, since: float, now: float) -> float:
        """Return the seconds without a byte before `now`, counted from `since`."""
        return now - max(self.last_byte_at.get(endpoint, 0.0), since)
