"""Tells routers which hubs there are, and learns it from others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.fleet.hubs import Role, choose_hubs, main_hub
from carawayfold.coordination.fleet.membership import PeerState
from carawayfold.protocol.datagrams import HubEntry, RosterMessage
from carawayfold.settings import Address

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.protocol.datagrams import Beat
    from carawayfold.state.ids import DataCentreId, RouterId

#: Least seconds between two lists of hubs from one hub to another: two that don't
#: know each other are brought together by a third one.
EVEN_OUT_INTERVAL = 1.0


class Rosters:
    """Sends and takes rosters, the hubs of one data centre each.

    Parameters
    ----------
    fleet : Fleet
        The routers, as this one knows them.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        #: Leaves of this data centre that should be hubs, as a hub sees it.
        self.due: list[Member] = []
        #: Hubs that were told of and are not heard yet.
        self.to_call: list[RouterId] = []
        #: When each hub was last told which ones this one knows.
        self.evened_out: dict[RouterId, float] = {}

    def answer(self, member: Member, beat: Beat) -> None:
        """Tell a leaf what it does not know, or a far hub who is a hub here."""
        if self.fleet.own.state is not PeerState.LIVE:
            return
        near = member.data_centre == self.fleet.own.data_centre
        if self.fleet.role is Role.HUB and near and not member.hub:
            behind = beat.roster not in (0, self.fleet.known_hubs)
            if behind or member in self.due:
                self._send(member.router)
        elif self.fleet.role is Role.HUB and member.hub:
            self._even_out(member, beat)
        elif self.fleet.role is Role.LEAF and not near and member.hub:
            self._send(member.router, self.fleet.own.data_centre)

    def _even_out(self, hub: Member, beat: Beat) -> None:
        """Tell a hub that knows other hubs than this one does whom it may call."""
        now = self.fleet.loop.time()
        due = self.evened_out.get(hub.router, 0.0) + EVEN_OUT_INTERVAL
        if beat.roster in (0, self.fleet.known_hubs) or now < due:
            return
        self.evened_out[hub.router] = now
        self._send(hub.router)

    def take(self, sender: RouterId, roster: RosterMessage) -> None:
        """Take what a hub tells of the hubs of one data centre."""
        if self.fleet.role is Role.MESH:
            return
        named = {entry.router for entry in roster.hubs}
        for entry in roster.hubs:
            if entry.router != self.fleet.own.router:
                self._take_told(entry, roster.data_centre)
        if self.fleet.role is Role.HUB:
            # A hub hears other hubs itself; it only learns whom to call.
            return
        if roster.data_centre == self.fleet.own.data_centre:
            self.fleet.named_hub = self.fleet.own.router in named
        self._drop_unnamed(sender, roster.data_centre, named)
        self.fleet.changed()

    def _drop_unnamed(
        self, sender: RouterId, data_centre: DataCentreId, named: set[RouterId]
    ) -> None:
        """Take hubs of a data centre that are not named for gone."""
        # Hubs hear each other more often than a leaf hears them.
        trusted = sender in [item.router for item in self.fleet.near_hubs()]
        for member in self.fleet.membership.members.values():
            here = member.hub and member.data_centre == data_centre
            if member is self.fleet.own or member.router == sender or not here:
                continue
            if member.router not in named and (member.told or trusted):
                member.state = PeerState.SILENT

    def _take_told(self, entry: HubEntry, data_centre: DataCentreId) -> None:
        self.fleet.addresses[entry.router] = Address(entry.host, entry.port)
        known = self.fleet.membership.members.get(entry.router)
        heard = known is not None and known.state is PeerState.LIVE and not known.told
        if heard:
            return
        if self.fleet.role is Role.HUB or data_centre == self.fleet.own.data_centre:
            # It counts once it is heard. Called with the next heartbeat and not at
            # once: its answer may name the next one to call.
            if entry.router not in self.to_call:
                self.to_call.append(entry.router)
            return
        self.fleet.membership.joined(
            entry.router, data_centre, entry.incarnation, entry.processor
        )
        member = self.fleet.membership.members[entry.router]
        member.told = True
        member.late = entry.late

    def take_calls(self) -> list[RouterId]:
        """Return the hubs to call this once."""
        calls = [name for name in self.to_call if name in self.fleet.addresses]
        self.to_call = []
        return calls

    def tell_leaves(self) -> None:
        """Send the hubs to those leaves that are told by this one."""
        fleet = self.fleet
        if fleet.role is not Role.HUB or fleet.own.state is not PeerState.LIVE:
            return
        for leaf in fleet.leaves():
            if self.tells(leaf):
                self._send(leaf.router)

    def find_due(self) -> None:
        """Find the leaves of this data centre that should be hubs."""
        self.due = []
        if self.fleet.role is Role.HUB:
            chosen = choose_hubs(self.fleet.near(self.fleet.own.data_centre))
            self.due = [item for item in chosen if not item.hub]

    def tells(self, leaf: Member) -> bool:
        """Return whether this hub is the one that tells a leaf of the others."""
        own = self.fleet.own
        return main_hub(leaf.router, [*self.fleet.near_hubs(), own]) == own.router

    def _send(self, router: RouterId, only: DataCentreId | None = None) -> None:
        by_place: dict[DataCentreId, list[Member]] = {}
        for hub in self.fleet.hubs():
            by_place.setdefault(hub.data_centre, []).append(hub)
        by_place.setdefault(self.fleet.own.data_centre, []).extend(self.due)
        members = self.fleet.membership.members.values()
        # Not a set: all that is sent in an order is sent in the same one each time.
        places = dict.fromkeys(item.data_centre for item in members)
        for place in places if only is None else [only]:
            rows = [self._hub_entry(item) for item in by_place.get(place, ())]
            self.fleet.send(router, RosterMessage(place, rows))

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
            hub.late,
        )
