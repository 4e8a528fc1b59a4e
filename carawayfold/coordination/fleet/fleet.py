"""Heartbeats between the routers of the fleet, and the leaders among them."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.fleet.heartbeat_recipients import HeartbeatRecipients
from carawayfold.coordination.fleet.hub_lists import HubLists
from carawayfold.coordination.fleet.hubs import (
    LEAF_HEARTBEAT_INTERVAL,
    MAX_MESH_ROUTERS,
    Role,
    choose_hubs,
    hubs_checksum,
    member_from_entry,
    primary_hub,
    role_of_hub,
)
from carawayfold.coordination.fleet.membership import (
    Member,
    Membership,
    PeerState,
    assign_leaders,
)
from carawayfold.coordination.fleet.suspects import Suspects
from carawayfold.protocol.datagrams import Heartbeat, HubListMessage
from carawayfold.protocol.sources import PeerEntry
from carawayfold.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.state.ids import DataCentreId, RouterId
    from carawayfold.transport.datagrams import PeerSocket

logger = logbook.Logger(__name__)

#: Seconds between heartbeats in a small fleet.
HEARTBEAT_INTERVAL = 0.15
#: Seconds added to the interval for each further peer, so that the rate of heartbeats
#: sent and received by a router is constant from about twenty routers on.
HEARTBEAT_INTERVAL_PER_PEER = 0.005
#: Number of peers up to which the interval is not extended.
MAX_PEERS_AT_BASE_INTERVAL = 8
#: Heartbeat intervals of silence after which a peer is considered failed; at 3 %
#: packet loss this is wrong once in a million intervals.
FAILURE_HEARTBEATS = 4
#: Heartbeat intervals of silence that confirm another router's suspicion of failure.
CONFIRMATION_HEARTBEATS = 1.5
#: Heartbeats after which a detached router is expected to have received heartbeats from
#: all other detached routers of its data centre.
DETACHED_HEARTBEATS = 2
#: Seconds for which changes of the hubs are batched before their consequences are
#: computed: the members of a starting fleet change two hundred times a second.
MEMBERSHIP_CHANGE_DELAY = 0.01
#: Seconds for which a router that did not keep up with its work does not lead.
#: Otherwise it would lag again at once, and each change of a leader loses its state.
LAGGING_DURATION = 10.0
#: Seconds after which heartbeats to a silent router are no longer sent.
FORGET_TIMEOUT = 60.0


class Fleet:
    """The routers known to this one, by heartbeat, entry in the store or list of hubs.

    Parameters
    ----------
    socket : PeerSocket
        Sends the heartbeats.
    own : Member
        This router.
    make_heartbeat : callable
        Returns the heartbeat to send, without the fields that this class fills in.
    on_change : callable
        Called shortly after the set of live hubs, or which of them lag, has changed.

    Attributes
    ----------
    addresses : dict
        Address of each router, from its entry, its datagrams or a list of hubs.
    entries : dict
        Entry of each router, from the store or made from its first heartbeat.
    heartbeats : dict
        Last heartbeat of each router that is not considered failed.
    heartbeat_times : dict
        Loop time at which it arrived; `Member.last_seen` may be later.
    """

    def __init__(
        self,
        socket: PeerSocket,
        own: Member,
        make_heartbeat: Callable[[], Heartbeat],
        on_change: Callable[[], None],
    ) -> None:
        self.socket = socket
        self.own = own
        self.make_heartbeat = make_heartbeat
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.membership = Membership(
            own, self.loop.time, FAILURE_HEARTBEATS * HEARTBEAT_INTERVAL
        )
        self.addresses: dict[RouterId, Address] = {}
        self.entries: dict[RouterId, PeerEntry] = {}
        self.heartbeats: dict[RouterId, Heartbeat] = {}
        self.heartbeat_times: dict[RouterId, float] = {}
        #: Leader of each subject; cleared when the members change.
        self.leaders: dict[str, RouterId] = {}
        #: Responsible router of each subject; cleared when members or suspects change.
        self.responsible_routers: dict[str, RouterId] = {}
        #: Loop time of each router's last datagram or new entry, to remove silent ones.
        self.last_contact: dict[RouterId, float] = {}
        #: Set once the routers' entries have been read from the store.
        self.listed = asyncio.Event()
        self.role = Role.MESH
        self.suspects = Suspects()
        #: Heartbeats without a live hub of this data centre.
        self.detached_heartbeats = 0
        #: Whether the last list of hubs of this data centre contains this router.
        self.listed_as_hub = False
        self.recipients = HeartbeatRecipients(self)
        self.hub_lists = HubLists(self)
        #: Loop time at which this router last lagged behind its work.
        self.lagging_at = -math.inf
        self.change_timer: asyncio.TimerHandle | None = None
        self.known_hubs_checksum = hubs_checksum(self.hubs())

    # Members

    @property
    def size(self) -> int:
        """Return the number of routers in the fleet, including silent ones."""
        reported = (heartbeat.size for heartbeat in self.heartbeats.values())
        return max(len(self.addresses) + 1, *reported, 1)

    @property
    def known_size(self) -> int | None:
        """Return the number of routers in the fleet, None while it is unknown.

        It is unknown until this router has read the entries or received a heartbeat:
        the fleet may be large.
        """
        reported = any(heartbeat.size for heartbeat in self.heartbeats.values())
        return self.size if reported or self.listed.is_set() else None

    def live(self) -> list[Member]:
        """Return the routers that accept new work, including this one."""
        return self.membership.live()

    def hubs(self) -> list[Member]:
        """Return the live hubs, the routers that may lead pools."""
        return [item for item in self.live() if item.hub]

    def members_in(self, data_centre: DataCentreId) -> list[Member]:
        """Return the live routers of a data centre."""
        return [item for item in self.live() if item.data_centre == data_centre]

    def expected_hubs(self) -> list[RouterId]:
        """Return which listed routers should be hubs of this data centre."""
        listed = [member_from_entry(item) for item in self.local_entries()]
        return [item.router for item in choose_hubs([*listed, self.own])]

    def local_hubs(self) -> list[Member]:
        """Return the other hubs of this data centre."""
        local = self.members_in(self.own.data_centre)
        return [item for item in local if item.hub and item is not self.own]

    def leaves(self) -> list[Member]:
        """Return the live routers of this data centre that are not hubs."""
        local = self.members_in(self.own.data_centre)
        return [item for item in local if not item.hub]

    def local_entries(self) -> list[PeerEntry]:
        """Return the entries of this data centre's other routers."""
        own = self.own.data_centre
        return [item for item in self.entries.values() if item.data_centre == own]

    def leader(self, subject: str) -> RouterId:
        """Return the leader of `subject`, by the heartbeats.

        Subjects that differ in a number at their end, such as the pools of a service,
        are distributed evenly among the candidates.
        """
        known = self.leaders.get(subject)
        if known is None:
            stem, _, number = subject.rpartition("/")
            count = int(number) + 1 if stem and number.isdecimal() else 0
            similar = [f"{stem}/{index}" for index in range(count)] or [subject]
            self.leaders.update(
                assign_leaders(similar, self.membership.leader_candidates())
            )
            known = self.leaders[subject]
        return known

    def responsible(self, subject: str) -> RouterId:
        """Return the router to ask for decisions on `subject`.

        It is the leader, or the next in rank while the leader is a suspect. A router
        with so many suspects that it considers itself isolated decides itself.
        """
        if self.suspects.until and self.suspects.expire(self.loop.time()):
            self.responsible_routers.clear()
        known = self.responsible_routers.get(subject)
        if known is None:
            known = self.responsible_routers[subject] = self._choose_responsible(
                subject
            )
        return known

    def _choose_responsible(self, subject: str) -> RouterId:
        if not self.suspects.until:
            return self.leader(subject)
        leader = self.leader(subject)
        if leader not in self.suspects.until:
            return leader
        if self.suspects.is_isolated():
            return self.own.router
        return self.membership.responsible(subject, excluded=self.suspects.until)

    def random_router(self) -> RouterId:
        """Return a random router whose address is known, live or not."""
        return random.choice(list(self.addresses))

    # Discovery

    def add_entries(self, entries: Iterable[PeerEntry]) -> None:
        """Add entries and send a heartbeat: to new routers in a mesh, else as usual."""
        new = [item for item in entries if self._add_entry(item)]
        if not new:
            return
        self._update_role()
        heartbeat = self.own_heartbeat()
        if self.role is Role.MESH:
            known = [self.addresses[item.router] for item in new]
            self.socket.broadcast(known, heartbeat)
        else:
            self.socket.broadcast(self.recipients.addresses(), heartbeat)

    def _add_entry(self, entry: PeerEntry) -> bool:
        if entry.router == self.own.router:
            return False
        self.entries[entry.router] = entry
        address = Address(entry.host, entry.port)
        if self.addresses.get(entry.router) == address:
            return False
        self.addresses[entry.router] = address
        self.last_contact[entry.router] = self.loop.time()
        return True

    def take(self, datagram: Datagram, source: Address) -> None:
        """Process the sender, the heartbeat and the lists of hubs of a datagram."""
        router = datagram.sender
        self.addresses[router] = source
        self.last_contact[router] = self.loop.time()
        if self.suspects.clear(router):
            self.responsible_routers.clear()
        for message in datagram.messages:
            if type(message) is Heartbeat:
                self._process_heartbeat(router, datagram.incarnation, message)
            elif type(message) is HubListMessage:
                self.hub_lists.take(router, message)

    def _process_heartbeat(
        self, router: RouterId, incarnation: int, heartbeat: Heartbeat
    ) -> None:
        self.heartbeats[router] = heartbeat
        self.heartbeat_times[router] = self.loop.time()
        if router not in self.entries:
            self._add_entry_from_heartbeat(router, heartbeat)
        known = self.membership.members.get(router)
        before = (known.state, known.hub, known.lagging) if known is not None else None
        if known is None or known.incarnation != incarnation:
            self.membership.register_member(
                router, heartbeat.data_centre, incarnation, heartbeat.processor
            )
        self.membership.record_contact(router, heartbeat.stopping)
        member = self.membership.members[router]
        member.hub = heartbeat.hub
        member.lagging = heartbeat.lagging
        # Hubs of other data centres send a leaf one heartbeat, to find its hubs.
        remote = heartbeat.data_centre != self.own.data_centre
        member.from_hub_list = self.role is Role.LEAF and remote
        if (member.state, member.hub, member.lagging) != before:
            extra = {
                "router": router,
                "state": member.state.value,
                "hub": heartbeat.hub,
                "late": heartbeat.lagging,
            }
            logger.info("router state changed", extra=extra)
            self.schedule_change()
        self.hub_lists.answer(member, heartbeat)

    def _add_entry_from_heartbeat(self, router: RouterId, heartbeat: Heartbeat) -> None:
        """Add an entry for a router that started after the entries were read."""
        address = self.addresses[router]
        self.entries[router] = PeerEntry(
            router,
            heartbeat.data_centre,
            address.host,
            address.port,
            heartbeat.processor,
        )

    # Sending heartbeats

    @property
    def interval(self) -> float:
        """Return the seconds between this router's heartbeats."""
        if self.role is Role.LEAF:
            return LEAF_HEARTBEAT_INTERVAL
        return self._mesh_interval()

    def _mesh_interval(self) -> float:
        if self.role is Role.MESH:
            peers = len(self.addresses)
        elif self.role is Role.HUB:
            peers = len(self.hubs())
        else:
            # A detached router sends frequently: the role is brief, and only hubs lead.
            peers = 0
        return HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL_PER_PEER * max(
            0, peers - MAX_PEERS_AT_BASE_INTERVAL
        )

    async def send_heartbeats(self) -> None:
        """Send heartbeats and detect failed peers until cancelled."""
        while True:
            before = self.loop.time()
            interval = self.interval
            await asyncio.sleep(interval)
            self.tick(self.loop.time() - before - interval)

    def tick(self, paused: float = 0.0) -> None:
        """Send one heartbeat to each recipient and mark silent peers as failed.

        Parameters
        ----------
        paused : float
            Seconds for which this process was suspended; they do not count as silence
            of the peers.
        """
        self._expire(max(0.0, paused))
        self._update_role()
        self._send_to_recipients()
        self._forget_silent_entries()

    def _send_to_recipients(self) -> None:
        if self.role is Role.LEAF:
            self._send_to_hubs()
        else:
            checksum = 0 if self.role is Role.MESH else self.known_hubs_checksum
            self.socket.broadcast(
                self.recipients.addresses(), self.own_heartbeat(checksum)
            )

    def _send_to_hubs(self) -> None:
        """Send a heartbeat to the local hubs, to the primary one with a checksum."""
        hubs = self.local_hubs()
        primary = primary_hub(self.own.router, hubs)
        names = [hub.router for hub in hubs] + self.hub_lists.take_contacts()
        for name in dict.fromkeys(names):
            checksum = self.known_hubs_checksum if name == primary else 0
            self.socket.broadcast([self.addresses[name]], self.own_heartbeat(checksum))

    def own_heartbeat(self, checksum: int = 0) -> Heartbeat:
        """Return the heartbeat to send.

        Parameters
        ----------
        checksum : int
            Checksum of the known hubs, for recipients that send lists of hubs; else 0.
        """
        size = len(self.addresses) + 1 if self.role is Role.MESH else self.size
        return msgspec.structs.replace(
            self.make_heartbeat(),
            hub=self.own.hub,
            size=size,
            hub_list_checksum=checksum,
            lagging=self.own.lagging,
        )

    def notify_local_routers(self) -> None:
        """Send a heartbeat at once to the local routers, unless this is a leaf."""
        if self.role is Role.LEAF:
            return
        local = self.members_in(self.own.data_centre)
        names = [item.router for item in local if item.router in self.addresses]
        self.socket.broadcast(
            [self.addresses[name] for name in names], self.own_heartbeat()
        )

    def send(self, router: RouterId, message: Message) -> bool:
        """Send a message to a router; return whether its address is known."""
        address = self.addresses.get(router)
        if address is not None:
            self.socket.send(address, message)
        return address is not None

    def send_at_once(self, routers: Iterable[RouterId], message: Message) -> None:
        """Send a message to some routers without batching it with others."""
        known = [self.addresses[name] for name in routers if name in self.addresses]
        self.socket.broadcast(known, message)

    def send_to_all(self, message: Message) -> None:
        """Send a message to all direct recipients; see `forward_recipients`."""
        for router in self._direct_recipients():
            self.send(router, message)

    def _direct_recipients(self) -> list[RouterId]:
        if self.role is Role.MESH:
            return list(self.addresses)
        if self.role is Role.LEAF:
            return [hub.router for hub in self.local_hubs()]
        if self.role is Role.DETACHED:
            return [entry.router for entry in self.local_entries()]
        members = [*self.hubs(), *self.leaves()]
        return [item.router for item in members if item is not self.own]

    def forward_recipients(self, sender: RouterId) -> list[RouterId]:
        """Return the routers to forward a message to that `sender` has sent to all.

        A hub sends to all hubs and to the leaves of its data centre, a leaf only to its
        hubs. So a hub forwards messages of a leaf to all its direct recipients, and
        messages of a hub of another data centre to the leaves whose primary hub it is.
        """
        member = self.membership.members.get(sender)
        if self.role is not Role.HUB or member is None:
            return []
        if not member.hub:
            return [name for name in self._direct_recipients() if name != sender]
        if member.data_centre == self.own.data_centre:
            return []
        return [
            leaf.router
            for leaf in self.leaves()
            if self.hub_lists.is_responsible_for(leaf)
        ]

    # Failure detection

    def _expire(self, paused: float) -> None:
        mesh = FAILURE_HEARTBEATS * self._mesh_interval() + paused
        slow = FAILURE_HEARTBEATS * LEAF_HEARTBEAT_INTERVAL + paused
        by_hub = self.role is Role.HUB

        def timeout_of(member: Member) -> float:
            if self.role is Role.MESH or (by_hub and member.hub):
                return mesh
            return max(mesh, slow)

        failed = self.membership.expire(timeout_of)
        for router in failed:
            self._record_failure(router, "silent")

    def _remove_heartbeat(self, router: RouterId) -> None:
        self.heartbeats.pop(router, None)
        self.heartbeat_times.pop(router, None)

    def _record_failure(self, router: RouterId, reason: str) -> None:
        self._remove_heartbeat(router)
        logger.info("router failed", extra={"router": router, "reason": reason})
        self.schedule_change()

    def add_suspect(self, router: RouterId) -> None:
        """Add a router that did not answer offers of this one to the suspects."""
        self.suspects.add(router, self.loop.time())
        self.responsible_routers.clear()

    def is_seen_since(self, router: RouterId, since: float) -> bool:
        """Return whether a datagram of a router arrived after a loop time."""
        return self.last_contact.get(router, -math.inf) > since

    def confirm_failure(self, router: RouterId) -> None:
        """Consider a router failed after a shorter silence, as another one suspects it.

        Called when a router asks this one for a decision in place of the leader.
        """
        member = self.membership.members.get(router)
        if member is None or member is self.own or member.from_hub_list:
            return
        if member.state is not PeerState.LIVE:
            return
        silence = self.loop.time() - member.last_seen
        if silence > CONFIRMATION_HEARTBEATS * self.interval:
            member.state = PeerState.FAILED
            self._record_failure(router, "doubted")

    def _forget_silent_entries(self) -> None:
        self.membership.remove_failed(FORGET_TIMEOUT)
        if self.role is not Role.MESH:
            # Outside a mesh most routers receive no datagrams from most others.
            return
        oldest = self.loop.time() - FORGET_TIMEOUT
        for router, seen in list(self.last_contact.items()):
            if seen < oldest:
                del self.last_contact[router]
                self.addresses.pop(router, None)

    # Roles

    def _update_role(self) -> None:
        """Determine this router's role from the members that it knows now."""
        before = self.role
        self.role = self._next_role()
        self.hub_lists.find_promotions()
        self.own.hub = self.role in (Role.MESH, Role.HUB)
        if self.role is before:
            return
        extra = {"role": self.role.value, "before": before.value, "size": self.size}
        logger.info("role changed", extra=extra)
        if self.role is not Role.DETACHED:
            self.detached_heartbeats = 0
        if self.role is Role.LEAF:
            self.listed_as_hub = False
            self._remove_leaves()
        self._update_remote_members()
        self.schedule_change()

    def _next_role(self) -> Role:
        if self.own.state is not PeerState.LIVE:
            return self.role
        if self.size <= MAX_MESH_ROUTERS:
            return Role.MESH
        local = self.members_in(self.own.data_centre)
        if self.role in (Role.MESH, Role.HUB):
            return role_of_hub(self.own, local, self.role)
        if self.listed_as_hub:
            self.listed_as_hub = False
            return Role.HUB
        if self.local_hubs():
            return Role.LEAF
        self.detached_heartbeats += 1
        waited = self.detached_heartbeats > DETACHED_HEARTBEATS
        chosen = self.own in choose_hubs(local)
        return Role.HUB if waited and chosen else Role.DETACHED

    def _remove_leaves(self) -> None:
        """Remove the other leaves, which send heartbeats to hubs only."""
        for member in self.leaves():
            if member is not self.own:
                del self.membership.members[member.router]
                self._remove_heartbeat(member.router)

    def _update_remote_members(self) -> None:
        """Switch the members of other data centres between lists and own heartbeats.

        A leaf knows them from lists of hubs, all others from their own heartbeats.
        """
        from_lists = self.role is Role.LEAF
        for member in self.membership.members.values():
            if member.data_centre == self.own.data_centre:
                continue
            if member.from_hub_list and not from_lists:
                # The silence timeout starts now, as for a new member.
                member.last_seen = self.loop.time()
            member.from_hub_list = from_lists

    def schedule_change(self) -> None:
        """Clear the chosen leaders and schedule the consequences of changed members."""
        self.leaders.clear()
        self.responsible_routers.clear()
        if self.change_timer is None:
            self.change_timer = self.loop.call_later(
                MEMBERSHIP_CHANGE_DELAY, self._apply_change
            )

    def _apply_change(self) -> None:
        self.change_timer = None
        known = hubs_checksum(self.hubs())
        if known == self.known_hubs_checksum:
            return
        self.known_hubs_checksum = known
        self.hub_lists.send_to_leaves()
        self.on_change()

    def set_lagging(self, lagging: bool) -> None:
        """Record whether this router lags behind its work; if so it does not lead."""
        now = self.loop.time()
        if lagging:
            self.lagging_at = now
        lagging = now - self.lagging_at < LAGGING_DURATION
        if lagging is self.own.lagging:
            return
        self.own.lagging = lagging
        logger.info("leadership given up" if lagging else "leadership resumed")
        self.schedule_change()

    def fallback_share(self) -> float:
        """Return the fraction of each endpoint's capacity that a non-leader may grant.

        Other routers may decide in place of the leader at the same time: all hubs if
        one hub does not respond, all routers if none does.
        """
        others = len(self.hubs()) if self.own.hub else self.size
        return 1.0 / max(1, others)

    def stop(self) -> None:
        """Announce with a heartbeat that this router accepts no new work."""
        self.own.state = PeerState.STOPPING
        self.recipients.leaves_sent_at = 0.0
        self._send_to_recipients()
        self.schedule_change()
