"""Backoff of this router from endpoints that asked it to send no requests for a time.

After the backoff an endpoint gets single probe requests until it has answered one
without a new backoff, so that the requests withheld from it do not arrive all at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Container

    from carawayfold.state.ids import EndpointId

#: Longest backoff in seconds. An endpoint that needs more should announce its stop, and
#: a wrong value must not remove an endpoint from its service for good.
MAX_BACKOFF_DURATION = 60.0
#: Seconds between probe requests after a backoff while none is answered.
PROBE_INTERVAL = 0.25


class EndpointBackoff(msgspec.Struct):
    """Backoff from one endpoint.

    Attributes
    ----------
    until : float
        Monotonic seconds at which it ends.
    next_probe : float
        Monotonic seconds from which the next probe request may be sent.
    """

    until: float
    next_probe: float


class EndpointBackoffs:
    """Backoffs that endpoints requested of this router.

    Attributes
    ----------
    entries : dict
        Backoffs by endpoint, until the endpoint has answered a probe request.
    """

    def __init__(self) -> None:
        self.entries: dict[EndpointId, EndpointBackoff] = {}

    def request_backoff(self, endpoint: EndpointId, seconds: float, now: float) -> None:
        """Record that an endpoint requested a backoff.

        It does not shorten an earlier backoff.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        seconds : float
            Duration requested; ignored unless greater than 0, and limited to
            `MAX_BACKOFF_DURATION`.
        now : float
            Monotonic seconds.
        """
        if seconds <= 0:
            return
        until = now + min(seconds, MAX_BACKOFF_DURATION)
        known = self.entries.get(endpoint)
        if known is not None:
            until = max(until, known.until)
        self.entries[endpoint] = EndpointBackoff(until, until)

    def answered(self, endpoint: EndpointId, sent_at: float) -> None:
        """Record an answer without a backoff to a request sent at `sent_at`.

        The backoff is dropped if the request was sent after its end.
        """
        known = self.entries.get(endpoint)
        if known is not None and sent_at >= known.until:
            del self.entries[endpoint]

    def sent(self, endpoint: EndpointId, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        known = self.entries.get(endpoint)
        if known is not None:
            known.next_probe = now + PROBE_INTERVAL

    def available_at(self, endpoint: EndpointId, now: float) -> float:
        """Return when an endpoint may get a request, in monotonic seconds; 0 if now."""
        known = self.entries.get(endpoint)
        if known is None or known.next_probe <= now:
            return 0.0
        return known.next_probe

    def is_backing_off(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether the backoff from an endpoint has not ended at `now`."""
        known = self.entries.get(endpoint)
        return known is not None and now < known.until

    def expire(self, registered: Container[EndpointId], now: float) -> None:
        """Drop ended backoffs of endpoints that are no longer registered.

        A backoff that has not ended stays, as the endpoint may register again before.
        """
        expired = [
            endpoint
            for endpoint, backoff in self.entries.items()
            if endpoint not in registered and now >= backoff.until
        ]
        for endpoint in expired:
            del self.entries[endpoint]
