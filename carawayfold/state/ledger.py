"""Service received per organisation, as virtual time.

The counter of an organisation grows by service divided by share. The
organisation with the least counter is served next, and one that becomes
backlogged is lifted to the least counter of the backlogged ones, so that being
idle earns no credit. Work in flight counts with its estimated cost: an
organisation that is only briefly without waiting work is not lifted. Source:
virtual token counters, Sheng et al., "Fairness in Serving Large Language Models",
OSDI 2024.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.state.ids import OrganisationId

#: Weight of the newest request in the estimate of a request's cost.
COST_SMOOTHING = 0.1
#: Estimate of a request's cost before the first one has ended, in service units.
FIRST_COST = 100.0
#: Requests' worth of service that one catching-up report may charge at most. What
#: an organisation received beyond that on the far side of a cut is forgiven, so
#: that rejoining starves nobody.
FORGIVEN_ABOVE = 20.0


class Account(msgspec.Struct):
    """What the ledger knows of one organisation.

    Attributes
    ----------
    virtual : float
        Service divided by share, lifted when the organisation becomes backlogged.
    in_flight : int
        Requests granted whose service is not yet settled.
    cost : float
        Estimated service of one request.
    backlogged : bool
        Whether work of the organisation waits.
    """

    virtual: float = 0.0
    in_flight: int = 0
    cost: float = FIRST_COST
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
        #: Key that a newly backlogged organisation starts from.
        self.floor = 0.0
        self.watchers: list[set[OrganisationId]] = []

    def watch(self) -> set[OrganisationId]:
        """Return a set that collects the organisations whose key may have fallen."""
        watcher: set[OrganisationId] = set()
        self.watchers.append(watcher)
        return watcher

    def unwatch(self, watcher: set[OrganisationId]) -> None:
        """Stop to fill a set that `watch` returned."""
        self.watchers = [other for other in self.watchers if other is not watcher]

    def _note(self, organisation: OrganisationId) -> None:
        for watcher in self.watchers:
            watcher.add(organisation)

    def account(self, organisation: OrganisationId) -> Account:
        """Return the account of `organisation`, opened at the floor if new."""
        account = self.accounts.get(organisation)
        if account is None:
            account = self.accounts[organisation] = Account(virtual=self.floor)
        return account

    def activate(self, organisation: OrganisationId) -> None:
        """Note that `organisation` has become backlogged."""
        account = self.account(organisation)
        if account.backlogged:
            return
        account.backlogged = True
        account.virtual += max(0.0, self.floor - self.key(organisation))

    def deactivate(self, organisation: OrganisationId) -> None:
        """Note that no work of `organisation` waits any more."""
        account = self.accounts.get(organisation)
        if account is not None:
            account.backlogged = False

    def reserve(self, organisation: OrganisationId, count: int) -> None:
        """Add to the requests in flight."""
        self.account(organisation).in_flight += count
        if count < 0:
            self._note(organisation)

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
            Who received the service.
        service : float
            Service units received.
        requests : int
            Requests that ended.
        catching_up : bool
            Whether the report follows a separation; its charge is then bounded.
        """
        account = self.account(organisation)
        charge = service / self.share_of(organisation)
        if catching_up:
            most = FORGIVEN_ABOVE * account.cost / self.share_of(organisation)
            charge = min(charge, most)
        account.virtual += charge
        if requests > 0:
            latest = service / requests
            account.cost += COST_SMOOTHING * (latest - account.cost)
            self._note(organisation)

    def key(self, organisation: OrganisationId) -> float:
        """Return the virtual time of `organisation` with its work in flight."""
        account = self.account(organisation)
        reserved = account.in_flight * account.cost / self.share_of(organisation)
        return account.virtual + reserved

    def served(self, organisation: OrganisationId) -> None:
        """Note that `organisation` is served as the one with the least key.

        Its key is where organisations that become backlogged from now on start.
        """
        self.floor = self.key(organisation)

    def forget_idle(self) -> None:
        """Drop accounts at or below the floor; opening them again is the same."""
        idle = [
            organisation
            for organisation, account in self.accounts.items()
            if not account.backlogged
            and not account.in_flight
            and account.virtual <= self.floor
        ]
        for organisation in idle:
            del self.accounts[organisation]
