"""Services that each route used lately, and how long its callers wait."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import RouteId, ServiceId
from carawayfold.state.software_history import SERVING_DURATION

if TYPE_CHECKING:
    from carawayfold.state.routes import Route, RouteTable

#: Longest wait in seconds that is noted of a caller: a single one must not make the
#: past matter for so long that it is never known.
MAX_NOTED_WAIT = 60.0


class RouteHistory(msgspec.Struct):
    """Changes of the services of routes, and the longest time that callers wait.

    All times are in monotonic seconds.

    Attributes
    ----------
    complete_since : float
        Time since which all configurations are known; infinity for never.
    services : dict
        Services of each route in the last configuration.
    changed_at : dict
        Time at which the services of a route were last seen to change.
    longest_waits : dict
        Most seconds that callers of each route have stated to wait.
    """

    complete_since: float = math.inf
    services: dict[RouteId, frozenset[ServiceId]] = msgspec.field(default_factory=dict)
    changed_at: dict[RouteId, float] = msgspec.field(default_factory=dict)
    longest_waits: dict[RouteId, float] = msgspec.field(default_factory=dict)

    def note_table(self, table: RouteTable, now: float) -> None:
        """Record a configuration that is, or was, in force."""
        before = self.services
        self.services = {
            route.id: frozenset(item.service for item in route.services)
            for route in table.routes
        }
        if self.complete_since == math.inf:
            self.complete_since = now
            return
        for route, services in self.services.items():
            if before.get(route) != services:
                self.changed_at[route] = now
        for known in (self.changed_at, self.longest_waits):
            for route in known.keys() - self.services.keys():
                del known[route]

    def note_gap(self, now: float) -> None:
        """Record that configurations may have been missed until now."""
        self.complete_since = now

    def note_wait(self, route: RouteId, seconds: float) -> None:
        """Record how long a caller of a route waits in total."""
        noted = min(seconds, MAX_NOTED_WAIT)
        if noted > self.longest_waits.get(route, 0.0):
            self.longest_waits[route] = noted

    def window(self, route: Route) -> float:
        """Return the seconds for which the past matters to streams of a route.

        A stream that a caller resumes began before at most as long as callers wait, at
        an endpoint that served at that time.
        """
        longest = max(route.timeout, self.longest_waits.get(route.id, 0.0))
        return SERVING_DURATION + longest

    def is_complete(self, route: Route, now: float) -> bool:
        """Return whether all services that can matter to a route are known."""
        return self.complete_since <= now - self.window(route)

    def sole_service(self, route: Route, now: float) -> ServiceId | None:
        """Return the only service that a route used lately, None if not only one."""
        services = self.services.get(route.id, frozenset())
        changed_at = self.changed_at.get(route.id, -math.inf)
        if len(services) != 1 or now - changed_at < self.window(route):
            return None
        return next(iter(services))
