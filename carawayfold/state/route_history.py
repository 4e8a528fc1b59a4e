"""Services that each route used lately."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import RouteId, ServiceId
from carawayfold.state.software_history import SERVING_DURATION

if TYPE_CHECKING:
    from carawayfold.state.routes import RouteTable

#: Seconds for which callers wait at most, unless a route gives them more time. A caller
#: that waits for longer is known by the record of its stream only.
MAX_WAIT = 60.0


class RouteHistory(msgspec.Struct):
    """Changes of the services of routes, and how far back the past matters.

    All times are in monotonic seconds.

    Attributes
    ----------
    complete_since : float
        Time since which all configurations are known; infinity for never.
    services : dict
        Services of each route in the last configuration.
    changed_at : dict
        Time at which the services of a route were last seen to change.
    longest_timeout : float
        Longest timeout of any route in any configuration so far, in seconds. A path may
        have belonged to another route, and a route may have had another timeout.
    """

    complete_since: float = math.inf
    services: dict[RouteId, frozenset[ServiceId]] = msgspec.field(default_factory=dict)
    changed_at: dict[RouteId, float] = msgspec.field(default_factory=dict)
    longest_timeout: float = 0.0

    def note_table(self, table: RouteTable, now: float) -> None:
        """Record a configuration that is, or was, in force."""
        before = self.services
        self.services = {
            route.id: frozenset(item.service for item in route.services)
            for route in table.routes
        }
        timeouts = (route.timeout for route in table.routes)
        self.longest_timeout = max(self.longest_timeout, *timeouts, 0.0)
        if self.complete_since == math.inf:
            self.complete_since = now
            return
        for route, services in self.services.items():
            if before.get(route) != services:
                self.changed_at[route] = now
        for route in self.changed_at.keys() - self.services.keys():
            del self.changed_at[route]

    def note_gap(self, now: float) -> None:
        """Record that configurations may have been missed until now."""
        self.complete_since = now

    @property
    def window(self) -> float:
        """Return the seconds for which the past matters to streams.

        A stream that a caller resumes began at most as long ago as callers wait, at an
        endpoint that served then.
        """
        return SERVING_DURATION + max(MAX_WAIT, self.longest_timeout)

    def is_complete(self, now: float) -> bool:
        """Return whether all services that can matter to a stream are known."""
        return self.complete_since <= now - self.window

    def sole_service(self, route: RouteId, now: float) -> ServiceId | None:
        """Return the only service that a route used lately, None if not only one."""
        services = self.services.get(route, frozenset())
        changed_at = self.changed_at.get(route, -math.inf)
        if len(services) != 1 or now - changed_at < self.window:
            return None
        return next(iter(services))
