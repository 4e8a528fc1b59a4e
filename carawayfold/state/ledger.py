"""Service received per organisation, as virtual time.

The counter of an organisation grows by service divided by share. The organisation with
the least counter is served next. The counter of an organisation that becomes backlogged
is raised to the least counter of the backlogged ones, so that idle time earns no
credit. Work in flight counts with its estimated cost, so that an organisation whose
queue is empty only for a moment is not raised. Source: virtual token counters, Sheng
et al., "Fairness in Serving Large Language Models", OSDI 2024.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.state.ids import OrganisationId

#: Weight of the newest request in the moving average of a request's cost.
COST_SMOOTHING = 0.1
#: Estimated cost of a request before the first one has ended, in service units.
INITIAL_COST = 100.0
#: Most that one report after a network partition may charge, in estimated costs of a
#: request. Service beyond that on the other side of the partition is not charged, so
#: that no organisation starves when the partition heals.
MAX_CATCH_UP_REQUESTS = 20.0


class Account(msgspec.Struct):
    """Account of one organisation.

    Attributes
    ----------
    virtual : float
        Service divided by share, raised when the organisation becomes backlogged.
    in_flight : int
        Granted requests whose service is not settled yet.
    cost : float
        Estimated cost of one request in service units.
    backlogged : bool
        Whether requests of the organisation wait.
    """

    virtual: float = 0.0
    in_flight: int = 0
    cost: float = INITIAL_COST
    backlogged: bool = False


class ServiceLedger:
    """Virtual time per organisation for one service.

    Parameters
    ----------
    share_of : callable
        Returns the share of an organisation; greater than zero.
    """

    def __init__(self, share_of: Callable[[OrganisationId], float]) -> None:
        self.share_of = share_of
        self.accounts: dict[OrganisationId, Account] = {}
        #: Key from which a newly backlogged organisation starts.
        self.floor = 0.0
        self.watchers: list[set[OrganisationId]] = []

    def watch(self) -> set[OrganisationId]:
        """Return a set to which organisations are added when their key may decrease."""
        watcher: set[OrganisationId] = set()
        self.watchers.append(watcher)
        return watcher

    def unwatch(self, watcher: set[OrganisationId]) -> None:
        """Stop updating a set returned by `watch`."""
        self.watchers = [other for other in self.watchers if other is not watcher]

    def _notify_watchers(self, organisation: OrganisationId) -> None:
        for watcher in self.watchers:
            watcher.add(organisation)

    def account(self, organisation: OrganisationId) -> Account:
        """Return the account of `organisation`, created at the floor if new."""
        account = self.accounts.get(organisation)
        if account is None:
            account = self.accounts[organisation] = Account(virtual=self.floor)
        return account

    def activate(self, organisation: OrganisationId) -> None:
        """Mark `organisation` as backlogged and raise its key to the floor."""
        account = self.account(organisation)
        if account.backlogged:
            return
        account.backlogged = True
        account.virtual += max(0.0, self.floor - self.key(organisation))

    def deactivate(self, organisation: OrganisationId) -> None:
        """Mark `organisation` as no longer backlogged."""
        account = self.accounts.get(organisation)
        if account is not None:
            account.backlogged = False

    def reserve(self, organisation: OrganisationId, count: int) -> None:
        """Add `count`, which may be negative, to the requests in flight."""
        self.account(organisation).in_flight += count
        if count < 0:
            self._notify_watchers(organisation)

    def settle(
        self,
        organisation: OrganisationId,
        service: float,
        requests: int,
        catching_up: bool = False,
    ) -> None:
        """Charge finished work.

        Parameters
        ----------
        organisation : OrganisationId
            Organisation that received the service.
        service : float
            Service units received.
        requests : int
            Requests that ended.
        catching_up : bool
            Whether the report follows a network partition; its charge is then limited
            by `MAX_CATCH_UP_REQUESTS`.
        """
        account = self.account(organisation)
        charge = service / self.share_of(organisation)
        if catching_up:
            most = MAX_CATCH_UP_REQUESTS * account.cost / self.share_of(organisation)
            charge = min(charge, most)
        account.virtual += charge
        if requests > 0:
            latest = service / requests
            account.cost += COST_SMOOTHING * (latest - account.cost)
            self._notify_watchers(organisation)

    def key(self, organisation: OrganisationId) -> float:
        """Return the virtual time of `organisation`, work in flight included."""
        account = self.account(organisation)
        reserved = account.in_flight * account.cost / self.share_of(organisation)
        return account.virtual + reserved

    def served(self, organisation: OrganisationId) -> None:
        """Raise the floor to the key of `organisation`, which is served next.

        It must be the backlogged organisation with the least key.
        """
        self.floor = self.key(organisation)

    def drop_idle(self) -> None:
        """Drop idle accounts at or below the floor, where a new account starts."""
        idle = [
            organisation
            for organisation, account in self.accounts.items()
            if not account.backlogged
            and not account.in_flight
            and account.virtual <= self.floor
        ]
        for organisation in idle:
            del self.accounts[organisation]
