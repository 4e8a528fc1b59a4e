"""How many requests may be sent to a further endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.usage import WindowSum

if TYPE_CHECKING:
    from carawayfold.state.ids import ServiceId

#: Part of the fleet's budget that is used, since requests and repeats at the edges
#: of a window are counted by others' clocks.
USED_PART = 0.8
#: Part of what its requests earn that a router uses in the first window of its process:
#: what its predecessor may have left of the users' bound in that window.
LEFT_PART = 1 - USED_PART


class BudgetBounds(msgspec.Struct, frozen=True):
    """The fleet's bounds on repeats to a service.

    Attributes
    ----------
    ratio : float
        Repeats per request.
    extra : float
        Repeats allowed besides, in each window, by the whole fleet.
    window : float
        Seconds.
    """

    ratio: float = 0.2
    extra: float = 0.0
    window: float = 10.0


class BudgetWindow(msgspec.Struct, frozen=True):
    """What one router's window holds for a service.

    Attributes
    ----------
    requests, repeats : int
        Counted within it.
    allowed : float
        Repeats that this router may have in it.
    """

    requests: int
    repeats: int
    allowed: float


class ServiceBudget(msgspec.Struct):
    """Requests and repeats of one service within the window."""

    requests: WindowSum = msgspec.field(default_factory=WindowSum)
    repeats: WindowSum = msgspec.field(default_factory=WindowSum)


class RetryBudget:
    """The part of the fleet's budget that one router may use.

    Each router uses only what its own requests earn and an equal part of the extra,
    so that the parts never add up to more than the whole, also when routers don't
    hear each other.

    Parameters
    ----------
    bounds : BudgetBounds
        The whole.
    started : float
        Monotonic seconds at which this process started. What its predecessor repeated
        is not known, so until a window later it has no part of the extra, and little of
        what its requests earn.
    """

    def __init__(self, bounds: BudgetBounds, started: float) -> None:
        self.bounds = bounds
        self.started = started
        self.services: dict[ServiceId, ServiceBudget] = {}

    def request(self, service: ServiceId, now: float) -> None:
        """Note a request of a caller."""
        self._of(service).requests.add(now, 1)

    def window(
        self, service: ServiceId, routers: int | None, now: float
    ) -> BudgetWindow:
        """Return what the window holds and allows now.

        Parameters
        ----------
        service : ServiceId
            Where repeats would go.
        routers : int or None
            Routers of the fleet, silent ones included; None while that is not known.
        now : float
            Monotonic seconds.
        """
        budget = self._of(service)
        budget.requests.expire(now - self.bounds.window)
        budget.repeats.expire(now - self.bounds.window)
        earned = self.bounds.ratio * budget.requests.total
        if self._is_new(now):
            allowed = LEFT_PART * earned
        else:
            allowed = USED_PART * (earned + self.part_of_extra(routers, now))
        requests, repeats = round(budget.requests.total), round(budget.repeats.total)
        return BudgetWindow(requests, repeats, allowed)

    def take(self, service: ServiceId, routers: int | None, now: float) -> bool:
        """Return whether one more repeat is allowed, and count it if so."""
        window = self.window(service, routers, now)
        if window.repeats + 1 > window.allowed:
            return False
        self._of(service).repeats.add(now, 1)
        return True

    def part_of_extra(self, routers: int | None, now: float) -> float:
        """Return this router's part of the repeats that the fleet has besides."""
        if routers is None or self._is_new(now):
            return 0.0
        return self.bounds.extra / max(1, routers)

    def _is_new(self, now: float) -> bool:
        """Return whether a predecessor's repeats may still count."""
        return now - self.started < self.bounds.window

    def _of(self, service: ServiceId) -> ServiceBudget:
        return self.services.setdefault(service, ServiceBudget())
