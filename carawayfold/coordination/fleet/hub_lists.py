"""Exchange of lists of hubs between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.fleet.hubs import Role, choose_hubs, primary_hub
from carawayfold.coordination.fleet.membership import PeerState
from carawayfold.protocol.datagrams import HubEntry, HubListMessage
from carawayfold.settings import Address

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.protocol.datagrams import Heartbeat
    from carawayfold.state.ids import DataCentreId, RouterId

#: Minimum seconds between two sets of hub lists from one hub to another. Two hubs that
#: do not know each other learn of each other from a third one.
MIN_HUB_LIST_INTERVAL = 1.0


class HubLists:
    """Sends and receives lists of hubs, one message for each data centre.

    Parameters
    ----------
    fleet : Fleet
        Members and addresses known to this router.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        #: Leaves of this data centre that should become hubs; used by hubs only.
        self.promotions: list[Member] = []
        #: Listed hubs that have not sent a heartbeat yet.
        self.to_contact: list[RouterId] = []
        #: Loop time at which each hub was last sent the lists.
        self.sent_at: dict[RouterId, float] = {}

    def answer(self, member: Member, heartbeat: Heartbeat) -> None:
        """Reply to a heartbeat with lists of hubs if the sender lacks them.

        A hub replies to leaves of its data centre and to other hubs. A leaf replies to
        a hub of another data centre with the hubs of its own.
        """
        if self.fleet.own.state is not PeerState.LIVE:
            return
        local = member.data_centre == self.fleet.own.data_centre
        if self.fleet.role is Role.HUB and local and not member.hub:
            outdated = heartbeat.hub_list_checksum not in (
                0,
                self.fleet.known_hubs_checksum,
            )
            if outdated or member in self.promotions:
                self._send(member.router)
        elif self.fleet.role is Role.HUB and member.hub:
            self._send_missing(member, heartbeat)
        elif self.fleet.role is Role.LEAF and not local and member.hub:
            self._send(member.router, self.fleet.own.data_centre)

    def _send_missing(self, hub: Member, heartbeat: Heartbeat) -> None:
        """Send the lists to a hub that knows other hubs than this router does."""
        now = self.fleet.loop.time()
        allowed_at = self.sent_at.get(hub.router, 0.0) + MIN_HUB_LIST_INTERVAL
        if (
            heartbeat.hub_list_checksum in (0, self.fleet.known_hubs_checksum)
            or now < allowed_at
        ):
            return
        self.sent_at[hub.router] = now
        self._send(hub.router)

    def take(self, sender: RouterId, hub_list: HubListMessage) -> None:
        """Process a list of the hubs of one data centre."""
        if self.fleet.role is Role.MESH:
            return
        listed = {entry.router for entry in hub_list.hubs}
        for entry in hub_list.hubs:
            if entry.router != self.fleet.own.router:
                self._add_listed(entry, hub_list.data_centre)
        if self.fleet.role is Role.HUB:
            # A hub receives heartbeats of other hubs; the list only adds contacts.
            return
        if hub_list.data_centre == self.fleet.own.data_centre:
            self.fleet.listed_as_hub = self.fleet.own.router in listed
        self._mark_unlisted_failed(sender, hub_list.data_centre, listed)
        self.fleet.schedule_change()

    def _mark_unlisted_failed(
        self, sender: RouterId, data_centre: DataCentreId, listed: set[RouterId]
    ) -> None:
        """Mark hubs of a data centre as failed that its list does not contain."""
        # Heartbeats between hubs are more frequent than those from hubs to a leaf.
        trusted = sender in [item.router for item in self.fleet.local_hubs()]
        for member in self.fleet.membership.members.values():
            is_candidate = member.hub and member.data_centre == data_centre
            if member is self.fleet.own or member.router == sender or not is_candidate:
                continue
            if member.router not in listed and (member.from_hub_list or trusted):
                member.state = PeerState.FAILED

    def _add_listed(self, entry: HubEntry, data_centre: DataCentreId) -> None:
        self.fleet.addresses[entry.router] = Address(entry.host, entry.port)
        known = self.fleet.membership.members.get(entry.router)
        is_live = (
            known is not None
            and known.state is PeerState.LIVE
            and not known.from_hub_list
        )
        if is_live:
            return
        if self.fleet.role is Role.HUB or data_centre == self.fleet.own.data_centre:
            # It becomes a member with its first heartbeat. It is contacted with this
            # router's next heartbeat and not at once: its reply may list a further hub
            # to contact.
            if entry.router not in self.to_contact:
                self.to_contact.append(entry.router)
            return
        self.fleet.membership.register_member(
            entry.router, data_centre, entry.incarnation, entry.processor
        )
        member = self.fleet.membership.members[entry.router]
        member.from_hub_list = True
        member.lagging = entry.lagging

    def take_contacts(self) -> list[RouterId]:
        """Return the hubs to contact with the next heartbeat, and clear the list."""
        contacts = [name for name in self.to_contact if name in self.fleet.addresses]
        self.to_contact = []
        return contacts

    def send_to_leaves(self) -> None:
        """Send the lists to the leaves whose primary hub is this router."""
        fleet = self.fleet
        if fleet.role is not Role.HUB or fleet.own.state is not PeerState.LIVE:
            return
        for leaf in fleet.leaves():
            if self.is_responsible_for(leaf):
                self._send(leaf.router)

    def find_promotions(self) -> None:
        """Find the leaves of this data centre that should become hubs."""
        self.promotions = []
        if self.fleet.role is Role.HUB:
            chosen = choose_hubs(self.fleet.members_in(self.fleet.own.data_centre))
            self.promotions = [item for item in chosen if not item.hub]

    def is_responsible_for(self, leaf: Member) -> bool:
        """Return whether this router is the primary hub of a leaf."""
        own = self.fleet.own
        return primary_hub(leaf.router, [*self.fleet.local_hubs(), own]) == own.router

    def _send(self, router: RouterId, only: DataCentreId | None = None) -> None:
        by_data_centre: dict[DataCentreId, list[Member]] = {}
        for hub in self.fleet.hubs():
            by_data_centre.setdefault(hub.data_centre, []).append(hub)
        by_data_centre.setdefault(self.fleet.own.data_centre, []).extend(
            self.promotions
        )
        members = self.fleet.membership.members.values()
        # Not a set, so that the messages are always sent in the same order.
        data_centres = dict.fromkeys(item.data_centre for item in members)
        for data_centre in data_centres if only is None else [only]:
            rows = [
                self._hub_entry(item) for item in by_data_centre.get(data_centre, ())
            ]
            self.fleet.send(router, HubListMessage(data_centre, rows))

    def _hub_entry(self, hub: Member) -> HubEntry:
        address = self.fleet.socket.address
        if hub is not self.fleet.own:
            address = self.fleet.addresses[hub.router]
        return HubEntry(
            hub.router,
            address.host,
            address.port,
            hub.incarnation,
            hub.processor,
            hub.lagging,
        )
