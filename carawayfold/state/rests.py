"""Endpoints that want nothing from this router for a while, by their own word."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Container

    from carawayfold.state.ids import EndpointId

#: Most seconds of rest that are granted: one that wants none for longer should leave,
#: and a mistake must not cost its service an endpoint for good.
REST_MOST = 60.0
#: Seconds after which a further request is tried while the first one after a rest is
#: still unanswered.
PROBE_INTERVAL = 0.25


class Rest(msgspec.Struct):
    """The rest of one endpoint.

    Attributes
    ----------
    until : float
        Monotonic seconds at which it ends.
    next_probe : float
        Monotonic seconds from which one more request may be tried after that.
    """

    until: float
    next_probe: float


class Rests:
    """Rests that endpoints have asked this router for.

    After its rest an endpoint gets one request at a time until it has answered one
    without asking for more: all that was kept from it would otherwise come at once.

    Attributes
    ----------
    entries : dict
        Endpoints that rest, or have not answered since.
    """

    def __init__(self) -> None:
        self.entries: dict[EndpointId, Rest] = {}

    def ask(self, endpoint: EndpointId, seconds: float, now: float) -> None:
        """Take that an endpoint wants nothing for so long; a longer rest stands."""
        if seconds <= 0:
            return
        until = now + min(seconds, REST_MOST)
        known = self.entries.get(endpoint)
        if known is not None:
            until = max(until, known.until)
        self.entries[endpoint] = Rest(until, until)

    def answered(self, endpoint: EndpointId, sent_at: float) -> None:
        """Take that an endpoint has answered a request without asking for rest."""
        known = self.entries.get(endpoint)
        if known is not None and sent_at >= known.until:
            del self.entries[endpoint]

    def sent(self, endpoint: EndpointId, now: float) -> None:
        """Note that a request goes to an endpoint."""
        known = self.entries.get(endpoint)
        if known is not None:
            known.next_probe = now + PROBE_INTERVAL

    def opens_at(self, endpoint: EndpointId, now: float) -> float:
        """Return when an endpoint may get the next request, 0 if it may now."""
        known = self.entries.get(endpoint)
        if known is None or known.next_probe <= now:
            return 0.0
        return known.next_probe

    def lasts(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint rests now."""
        known = self.entries.get(endpoint)
        return known is not None and now < known.until

    def expire(self, registered: Container[EndpointId], now: float) -> None:
        """Forget endpoints that are gone and whose rest is over.

        One whose entry vanishes may be back before that.
        """
        over = [
            endpoint
            for endpoint, rest in self.entries.items()
            if endpoint not in registered and now >= rest.until
        ]
        for endpoint in over:
            del self.entries[endpoint]
