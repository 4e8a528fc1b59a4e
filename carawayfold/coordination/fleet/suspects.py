"""Routers that did not answer, so that others are asked without a further wait.

When the leader of many pools is killed, frozen or disconnected, requests continue to
arrive. Without suspects, each request would wait for the leader's answer until missed
heartbeats show that the leader has failed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.state.ids import RouterId

#: Seconds for which a router that did not answer is a suspect, unless a datagram of it
#: arrives: the time in which missed heartbeats show that it has failed.
SUSPECT_DURATION = 1.0
#: Simultaneous suspects from which on this router is considered isolated, rather than
#: the others failed.
MIN_SUSPECTS_IF_ISOLATED = 2


class Suspects:
    """Routers that recently did not answer this one."""

    def __init__(self) -> None:
        #: Loop time at which each suspicion ends.
        self.until: dict[RouterId, float] = {}

    def add(self, router: RouterId, now: float) -> None:
        """Add a router that did not answer."""
        self.until[router] = now + SUSPECT_DURATION

    def clear(self, router: RouterId) -> bool:
        """Clear a router that sent a datagram; return whether it was a suspect."""
        return self.until.pop(router, None) is not None

    def expire(self, now: float) -> bool:
        """Remove expired suspects; return whether there were any."""
        expired = [router for router, until in self.until.items() if until <= now]
        for router in expired:
            del self.until[router]
        return bool(expired)

    def is_isolated(self) -> bool:
        """Return whether there are so many suspects that this router is isolated."""
        return len(self.until) >= MIN_SUSPECTS_IF_ISOLATED
