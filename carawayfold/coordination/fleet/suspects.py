"""Routers that did not answer, so that the next in line decides without a further wait.

The load it answers: a router that decides for many is killed, frozen or cut off while
requests come. Each one that waited for it in vain would wait again for as long, until
heartbeats have told that it is gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.state.ids import RouterId

#: Seconds for which a router that did not answer is passed over, unless it is heard:
#: as long as heartbeats take to tell that it is gone.
PASSED_OVER = 1.0
#: Routers passed over at once, above which it is this one that nobody hears.
PASSED_OVER_MOST = 2


class Suspects:
    """Who did not answer this router of late."""

    def __init__(self) -> None:
        #: Until when each one is passed over.
        self.until: dict[RouterId, float] = {}

    def note(self, router: RouterId, now: float) -> None:
        """Pass over a router that did not answer."""
        self.until[router] = now + PASSED_OVER

    def clear(self, router: RouterId) -> bool:
        """Note that a router was heard; return whether it was passed over."""
        return self.until.pop(router, None) is not None

    def expire(self, now: float) -> bool:
        """Try routers again whose time is over; return whether there were any."""
        over = [router for router, until in self.until.items() if until <= now]
        for router in over:
            del self.until[router]
        return bool(over)

    def alone(self) -> bool:
        """Return whether this router rather than the others is cut off."""
        return len(self.until) >= PASSED_OVER_MOST
