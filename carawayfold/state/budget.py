"""Retry budget: bounds how many requests are sent to a further endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.usage import WindowSum

if TYPE_CHECKING:
    from carawayfold.state.ids import ServiceId

#: Fraction of the fleet's budget that is used. The rest covers requests and retries
#: at the edges of a window, which other clocks count into another window.
USABLE_FRACTION = 0.8
#: Fraction of the budget that a router uses of what new requests earn: those beyond the
#: number that it had in the window before. They may have come to another router until
#: then, which may have used the rest in the same window.
NEW_REQUESTS_FRACTION = 1 - USABLE_FRACTION


class BudgetBounds(msgspec.Struct, frozen=True):
    """Bounds on the retries that the whole fleet sends to one service.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    extra : float
        Retries allowed in each window in addition to `ratio`.
    window : float
        Length of the sliding window in seconds.
    """

    ratio: float = 0.2
    extra: float = 0.0
    window: float = 10.0


class BudgetWindow(msgspec.Struct, frozen=True):
    """Counts and limit of one service in the current window of one router.

    Attributes
    ----------
    requests, repeats : int
        Requests and retries counted within the window.
    allowed : float
        Retries that this router may send within the window.
    """

    requests: int
    repeats: int
    allowed: float


class ServiceBudget(msgspec.Struct):
    """Requests and retries of one service.

    Attributes
    ----------
    requests, repeats : WindowSum
        Those within the window.
    recent_requests : WindowSum
        Requests within the window and the one before it.
    """

    requests: WindowSum = msgspec.field(default_factory=WindowSum)
    repeats: WindowSum = msgspec.field(default_factory=WindowSum)
    recent_requests: WindowSum = msgspec.field(default_factory=WindowSum)

    def expire(self, window: float, now: float) -> None:
        """Drop what is older than the windows, of `window` seconds each, at `now`."""
        self.requests.expire(now - window)
        self.repeats.expire(now - window)
        self.recent_requests.expire(now - 2 * window)

    def new_requests(self) -> float:
        """Return the requests of the window beyond the number of the one before."""
        earlier = self.recent_requests.total - self.requests.total
        return max(0.0, self.requests.total - earlier)


class RetryBudget:
    """The share of the fleet's retry budget that one router may use.

    Each router uses only the retries earned by its own requests and an equal share of
    `BudgetBounds.extra`. The shares therefore don't exceed the fleet's budget, even
    when routers cannot exchange messages and callers move from one to another.

    Parameters
    ----------
    bounds : BudgetBounds
        Bounds of the whole fleet.
    started : float
        Monotonic seconds at which this process started. The retries of its predecessor
        are not known, so for one window the router has no share of the extra retries.
    """

    def __init__(self, bounds: BudgetBounds, started: float) -> None:
        self.bounds = bounds
        self.started = started
        self.services: dict[ServiceId, ServiceBudget] = {}

    def request(self, service: ServiceId, now: float) -> None:
        """Count a request of a caller."""
        budget = self._budget_of(service)
        budget.requests.add(now, 1)
        budget.recent_requests.add(now, 1)
        budget.expire(self.bounds.window, now)

    def window(
        self, service: ServiceId, routers: int | None, now: float
    ) -> BudgetWindow:
        """Return the counts and the limit of the current window.

        Parameters
        ----------
        service : ServiceId
            Service to which retries would be sent.
        routers : int or None
            Number of routers in the fleet, unreachable ones included; None while it
            is not known.
        now : float
            Monotonic seconds.
        """
        budget = self._budget_of(service)
        budget.expire(self.bounds.window, now)
        new = budget.new_requests()
        earned = self.bounds.ratio * (budget.requests.total - new)
        allowed = USABLE_FRACTION * (earned + self.extra_share(routers, now))
        allowed += NEW_REQUESTS_FRACTION * self.bounds.ratio * new
        requests, repeats = round(budget.requests.total), round(budget.repeats.total)
        return BudgetWindow(requests, repeats, allowed)

    def allows(self, service: ServiceId, routers: int | None, now: float) -> bool:
        """Return whether one more retry is allowed."""
        window = self.window(service, routers, now)
        return window.repeats + 1 <= window.allowed

    def take(self, service: ServiceId, routers: int | None, now: float) -> bool:
        """Return whether one more retry is allowed, and count it if so."""
        if not self.allows(service, routers, now):
            return False
        self._budget_of(service).repeats.add(now, 1)
        return True

    def extra_share(self, routers: int | None, now: float) -> float:
        """Return this router's share of the extra retries of the fleet."""
        if routers is None or self._is_in_first_window(now):
            return 0.0
        return self.bounds.extra / max(1, routers)

    def _is_in_first_window(self, now: float) -> bool:
        """Return whether retries of this router's predecessor may still count."""
        return now - self.started < self.bounds.window

    def _budget_of(self, service: ServiceId) -> ServiceBudget:
        return self.services.setdefault(service, ServiceBudget())
