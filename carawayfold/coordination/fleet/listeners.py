"""Whom a router's heartbeats go to, by its role."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from carawayfold.coordination.fleet.hubs import (
    LEAF_INTERVAL,
    Role,
    choose_hubs,
    listed_member,
)
from carawayfold.coordination.fleet.membership import PeerState

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.settings import Address
    from carawayfold.state.ids import DataCentreId, RouterId

#: Routers of a data centre, besides those that should be its hubs, that are asked
#: who its hubs are.
ASKED_BESIDES = 2


class Listeners:
    """Chooses who is told that this router is there.

    Parameters
    ----------
    fleet : Fleet
        The routers, as this one knows them.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        #: When a hub last beat to its leaves.
        self.leaves_told_at = 0.0

    def addresses(self) -> list[Address]:
        """Return the addresses that this heartbeat goes to."""
        fleet = self.fleet
        if fleet.role is Role.MESH:
            return list(fleet.addresses.values())
        if fleet.role is Role.LEAF:
            names = [item.router for item in fleet.near_hubs()]
        elif fleet.role is Role.LOST:
            names = [item.router for item in fleet.listed_near()]
        else:
            names = self._heard_by_hub()
        known = fleet.addresses
        return [known[name] for name in names if name in known]

    def _heard_by_hub(self) -> list[RouterId]:
        # Those that stop are told as well: they finish what they have.
        heard = [
            item
            for item in self.fleet.membership.members.values()
            if item is not self.fleet.own and item.state is not PeerState.SILENT
        ]
        names = [item.router for item in heard if item.hub]
        now = self.fleet.loop.time()
        if now - self.leaves_told_at >= LEAF_INTERVAL:
            self.leaves_told_at = now
            names += [item.router for item in heard if not item.hub]
        with_hub = {item.data_centre for item in self.fleet.hubs()}
        with_hub.add(self.fleet.own.data_centre)
        names += self._unheard_near(alone=not self.fleet.near_hubs())
        names += self.fleet.rosters.take_calls()
        names += self._askable(with_hub)
        return list(dict.fromkeys(names))

    def _unheard_near(self, alone: bool) -> list[RouterId]:
        """Return a router of this data centre that is not heard, or all of them.

        Routers of one data centre that have found each other in two groups become one
        group again.
        """
        heard = {item.router for item in self.fleet.near(self.fleet.own.data_centre)}
        listed = [item.router for item in self.fleet.listed_near()]
        unheard = [name for name in listed if name not in heard]
        return unheard if alone or not unheard else [random.choice(unheard)]

    def _askable(self, left_out: set[DataCentreId]) -> list[RouterId]:
        """Return some routers of each data centre whose hubs are not known."""
        by_place: dict[DataCentreId, list[Member]] = {}
        for entry in self.fleet.entries.values():
            if entry.data_centre not in left_out:
                member = listed_member(entry)
                by_place.setdefault(entry.data_centre, []).append(member)
        names: list[RouterId] = []
        for members in by_place.values():
            names += [item.router for item in choose_hubs(members)]
            besides = min(ASKED_BESIDES, len(members))
            names += [item.router for item in random.sample(members, besides)]
        return list(dict.fromkeys(names))
