"""Recipients of a router's heartbeats, by its role."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from carawayfold.coordination.fleet.hubs import (
    LEAF_HEARTBEAT_INTERVAL,
    Role,
    choose_hubs,
    member_from_entry,
)
from carawayfold.coordination.fleet.membership import PeerState

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.settings import Address
    from carawayfold.state.ids import DataCentreId, RouterId

#: Random routers of a data centre with unknown hubs that get a heartbeat, besides those
#: that should be its hubs; they reply with its list of hubs.
EXTRA_HUB_QUERIES = 2


class HeartbeatRecipients:
    """Chooses the recipients of this router's heartbeats.

    Parameters
    ----------
    fleet : Fleet
        Members and entries known to this router.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        #: Loop time of a hub's last heartbeat to its leaves.
        self.leaves_sent_at = 0.0

    def addresses(self) -> list[Address]:
        """Return the addresses of the recipients of the next heartbeat."""
        fleet = self.fleet
        if fleet.role is Role.MESH:
            return list(fleet.addresses.values())
        if fleet.role is Role.LEAF:
            names = [item.router for item in fleet.local_hubs()]
        elif fleet.role is Role.DETACHED:
            names = [item.router for item in fleet.local_entries()]
        else:
            names = self._recipients_of_hub()
        known = fleet.addresses
        return [known[name] for name in names if name in known]

    def _recipients_of_hub(self) -> list[RouterId]:
        # Stopping routers are included: they complete their requests in flight.
        responsive = [
            item
            for item in self.fleet.membership.members.values()
            if item is not self.fleet.own and item.state is not PeerState.FAILED
        ]
        names = [item.router for item in responsive if item.hub]
        now = self.fleet.loop.time()
        if now - self.leaves_sent_at >= LEAF_HEARTBEAT_INTERVAL:
            self.leaves_sent_at = now
            names += [item.router for item in responsive if not item.hub]
        with_hub = {item.data_centre for item in self.fleet.hubs()}
        with_hub.add(self.fleet.own.data_centre)
        names += self._unknown_local_routers(is_only_hub=not self.fleet.local_hubs())
        names += self.fleet.hub_lists.take_contacts()
        names += self._routers_to_query(with_hub)
        return list(dict.fromkeys(names))

    def _unknown_local_routers(self, is_only_hub: bool) -> list[RouterId]:
        """Return listed routers of this data centre that are not live members.

        A random one, or all of them if this router is the only hub. This merges routers
        of one data centre that have formed two groups which do not know each other.
        """
        live = {
            item.router for item in self.fleet.members_in(self.fleet.own.data_centre)
        }
        listed = [item.router for item in self.fleet.local_entries()]
        unknown = [name for name in listed if name not in live]
        return unknown if is_only_hub or not unknown else [random.choice(unknown)]

    def _routers_to_query(self, excluded: set[DataCentreId]) -> list[RouterId]:
        """Return some routers of each data centre whose hubs are unknown."""
        by_data_centre: dict[DataCentreId, list[Member]] = {}
        for entry in self.fleet.entries.values():
            if entry.data_centre not in excluded:
                member = member_from_entry(entry)
                by_data_centre.setdefault(entry.data_centre, []).append(member)
        names: list[RouterId] = []
        for members in by_data_centre.values():
            names += [item.router for item in choose_hubs(members)]
            extra = min(EXTRA_HUB_QUERIES, len(members))
            names += [item.router for item in random.sample(members, extra)]
        return list(dict.fromkeys(names))
