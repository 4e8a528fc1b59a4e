"""Heartbeats between the routers of the fleet, and who of them decides."""

from __future__ import annotations

import asyncio
import random
from enum import Enum
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.hubs import (
    MESH_MOST,
    choose_hubs,
    fingerprint,
    main_hub,
)
from carawayfold.coordination.membership import Member, Membership, PeerState
from carawayfold.coordination.suspects import Suspects
from carawayfold.protocol.datagrams import Beat, HubEntry, RosterMessage
from carawayfold.protocol.sources import PeerEntry
from carawayfold.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.state.ids import DataCentreId, RouterId
    from carawayfold.transport.datagrams import PeerSocket

logger = logbook.Logger(__name__)

#: Seconds between heartbeats among a few routers.
BEAT_INTERVAL = 0.15
#: Seconds added to the interval for each further peer, so that what a router sends
#: and takes for heartbeats stays the same from some twenty routers on.
BEAT_INTERVAL_PER_PEER = 0.005
#: Peers up to which nothing is added.
FEW_PEERS = 8
#: Seconds between heartbeats of a leaf and the hubs of its data centre. Nobody waits
#: for news of a leaf, and hubs tell at once when another hub is gone.
LEAF_INTERVAL = 0.5
#: Intervals without a heartbeat after which a peer is taken for dead; at 3 % loss
#: a live one is mistaken once in a million intervals.
SILENT_BEATS = 4
#: Intervals without a heartbeat that confirm what another router suspects.
DOUBTED_BEATS = 1.5
#: Heartbeats after which a router that hears no hub counts on having heard everyone
#: of its data centre that does not hear one either.
LOST_BEATS = 2
#: Routers of a data centre, besides those that should be its hubs, that are asked
#: who its hubs are.
ASKED_BESIDES = 2
#: Least seconds between two lists of hubs from one hub to another: two that don't
#: know each other are brought together by a third one.
EVEN_OUT_INTERVAL = 1.0
#: Seconds for which changes of the hubs are gathered before what depends on them is
#: worked out anew: a fleet that starts changes two hundred times in a second.
CHANGE_DELAY = 0.01
#: Seconds after which the entry of a silent router is no longer called.
FORGET_AFTER = 60.0


class Role(Enum):
    """How this router takes part.

    A small fleet is a mesh. In a large one a router is a hub, or a leaf of its data
    centre's hubs, or lost while it hears none of them: it then beats to everyone of
    its data centre and becomes a hub if it should be one of those that it hears.
    """

    MESH = "mesh"
    HUB = "hub"
    LEAF = "leaf"
    LOST = "lost"


class Fleet:
    """The routers that this one hears, or hears of.

    Parameters
    ----------
    socket : PeerSocket
        Where heartbeats go out.
    own : Member
        This router.
    beat : callable
        Returns the heartbeat to send, without what this class adds.
    on_change : callable
        Called soon after a router that may decide came, went or began to stop.

    Attributes
    ----------
    addresses : dict
        Where each router is reached that was listed or heard.
    entries : dict
        Every router that was listed.
    beats : dict
        Last heartbeat of each router that is heard.
    """

    def __init__(
        self,
        socket: PeerSocket,
        own: Member,
        beat: Callable[[], Beat],
        on_change: Callable[[], None],
    ) -> None:
        self.socket = socket
        self.own = own
        self.beat = beat
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.membership = Membership(own, self.loop.time, SILENT_BEATS * BEAT_INTERVAL)
        self.addresses: dict[RouterId, Address] = {}
        self.entries: dict[RouterId, PeerEntry] = {}
        self.beats: dict[RouterId, Beat] = {}
        #: Who leads on which subject, until the members change.
        self.leading: dict[str, RouterId] = {}
        #: Who is asked on which subject, until they or the suspects change.
        self.deciding: dict[str, RouterId] = {}
        #: When each router was last listed or heard, to stop calling lost ones.
        self.seen: dict[RouterId, float] = {}
        #: Set once the routers' entries have been read.
        self.listed = asyncio.Event()
        self.role = Role.MESH
        self.suspects = Suspects()
        #: Heartbeats since this router last heard a hub of its data centre.
        self.lost_beats = 0
        #: Whether a hub has said that this router should be one.
        self.named_hub = False
        #: Leaves of this data centre that should be hubs, as a hub sees it.
        self.due_hubs: set[RouterId] = set()
        #: Hubs that were told of and are not heard yet.
        self.to_call: set[RouterId] = set()
        #: When each hub was last told which ones this one knows.
        self.evened_out: dict[RouterId, float] = {}
        self.leaves_told_at = 0.0
        self.change_due: asyncio.TimerHandle | None = None
        self.known_hubs = fingerprint(self.hubs())

    # Who there is

    @property
    def size(self) -> int:
        """Return how many routers there are, silent ones included."""
        told = (beat.size for beat in self.beats.values())
        return max(len(self.addresses) + 1, *told, 1)

    def live(self) -> list[Member]:
        """Return the routers that take new work, this one included."""
        return self.membership.live()

    def hubs(self) -> list[Member]:
        """Return the routers that may decide for others."""
        return [item for item in self.live() if item.hub]

    def near(self, data_centre: DataCentreId) -> list[Member]:
        """Return the live routers of a data centre."""
        return [item for item in self.live() if item.data_centre == data_centre]

    def expected_hubs(self) -> list[RouterId]:
        """Return who should be the hubs of this data centre, by the entries."""
        place = self.own.data_centre
        listed = [
            _listed_member(item)
            for item in self.entries.values()
            if item.data_centre == place
        ]
        return [item.router for item in choose_hubs([*listed, self.own])]

    def near_hubs(self) -> list[Member]:
        """Return the other hubs of this data centre."""
        near = self.near(self.own.data_centre)
        return [item for item in near if item.hub and item is not self.own]

    def leader(self, subject: str) -> RouterId:
        """Return the router that decides on `subject`, by the heartbeats."""
        known = self.leading.get(subject)
        if known is None:
            known = self.leading[subject] = self.membership.responsible(subject)
        return known

    def responsible(self, subject: str) -> RouterId:
        """Return the router to ask for decisions on `subject`.

        It is the one that leads, or the next in line where that one does not answer.
        """
        if self.suspects.until and self.suspects.expire(self.loop.time()):
            self.deciding.clear()
        known = self.deciding.get(subject)
        if known is None:
            known = self.deciding[subject] = self._choose(subject)
        return known

    def _choose(self, subject: str) -> RouterId:
        if not self.suspects.until:
            return self.leader(subject)
        if self.suspects.alone():
            return self.own.router
        return self.membership.responsible(subject, leaving_out=self.suspects.until)

    def pick_known(self) -> RouterId:
        """Return any router whose address is known, heard or not."""
        return random.choice(list(self.addresses))

    # Learning of routers

    def learn(self, entries: Iterable[PeerEntry]) -> None:
        """Take the routers' entries and say hello to those that are new."""
        new = [item for item in entries if self._learn_one(item)]
        if not new:
            return
        self._settle_role()
        beat = self._own_beat()
        if self.role is Role.MESH:
            known = [self.addresses[item.router] for item in new]
            self.socket.broadcast(known, beat)
        else:
            self.socket.broadcast(self._listeners(), beat)

    def _learn_one(self, entry: PeerEntry) -> bool:
        if entry.router == self.own.router:
            return False
        self.entries[entry.router] = entry
        address = Address(entry.host, entry.port)
        if self.addresses.get(entry.router) == address:
            return False
        self.addresses[entry.router] = address
        self.seen[entry.router] = self.loop.time()
        return True

    def take(self, datagram: Datagram, source: Address) -> None:
        """Note whom a datagram is from, its heartbeat, and the hubs that it tells."""
        router = datagram.sender
        self.addresses[router] = source
        self.seen[router] = self.loop.time()
        if self.suspects.clear(router):
            self.deciding.clear()
        for message in datagram.messages:
            if type(message) is Beat:
                self._take_beat(router, datagram.incarnation, message)
            elif type(message) is RosterMessage:
                self._take_roster(router, message)

    def _take_beat(self, router: RouterId, incarnation: int, beat: Beat) -> None:
        self.beats[router] = beat
        if router not in self.entries:
            self._note_entry(router, beat)
        known = self.membership.members.get(router)
        before = (known.state, known.hub) if known is not None else None
        if known is None or known.incarnation != incarnation:
            self.membership.joined(
                router, beat.data_centre, incarnation, beat.processor
            )
        self.membership.heard(router, beat.stopping)
        member = self.membership.members[router]
        member.hub = beat.hub
        # Hubs of other data centres beat to a leaf once, to find its hubs.
        far = beat.data_centre != self.own.data_centre
        member.told = self.role is Role.LEAF and far
        if (member.state, member.hub) != before:
            extra = {"router": router, "state": member.state.value, "hub": beat.hub}
            logger.info("router heard", extra=extra)
            self._changed()
        self._answer_beat(member, beat)

    def _note_entry(self, router: RouterId, beat: Beat) -> None:
        """Know a router that started after the entries were read."""
        address = self.addresses[router]
        self.entries[router] = PeerEntry(
            router, beat.data_centre, address.host, address.port, beat.processor
        )

    def _answer_beat(self, member: Member, beat: Beat) -> None:
        """Tell a leaf what it does not know, or a far hub who is a hub here."""
        if self.own.state is not PeerState.LIVE:
            return
        near = member.data_centre == self.own.data_centre
        if self.role is Role.HUB and near and not member.hub:
            behind = beat.roster not in (0, self.known_hubs)
            if behind or member.router in self.due_hubs:
                self._send_roster(member.router)
        elif self.role is Role.HUB and member.hub:
            self._even_out(member, beat)
        elif self.role is Role.LEAF and not near and member.hub:
            self._send_roster(member.router, self.own.data_centre)

    def _even_out(self, hub: Member, beat: Beat) -> None:
        """Tell a hub that knows other hubs than this one does whom it may call."""
        now = self.loop.time()
        due = self.evened_out.get(hub.router, 0.0) + EVEN_OUT_INTERVAL
        if beat.roster in (0, self.known_hubs) or now < due:
            return
        self.evened_out[hub.router] = now
        self._send_roster(hub.router)

    def _take_roster(self, sender: RouterId, roster: RosterMessage) -> None:
        """Take what a hub tells of the hubs of one data centre."""
        if self.role is Role.MESH:
            return
        named = {entry.router: entry for entry in roster.hubs}
        if roster.data_centre == self.own.data_centre and self.role is not Role.HUB:
            self.named_hub = self.own.router in named
        for entry in roster.hubs:
            if entry.router != self.own.router:
                self._take_told(entry, roster.data_centre)
        if self.role is Role.HUB:
            # A hub hears other hubs itself; it only learns whom to call.
            return
        # Hubs hear each other more often than a leaf hears them.
        trusted = sender in [item.router for item in self.near_hubs()]
        for member in self.membership.members.values():
            here = member.hub and member.data_centre == roster.data_centre
            if member is self.own or member.router == sender or not here:
                continue
            if member.router not in named and (member.told or trusted):
                member.state = PeerState.SILENT
        self._changed()

    def _take_told(self, entry: HubEntry, data_centre: DataCentreId) -> None:
        self.addresses[entry.router] = Address(entry.host, entry.port)
        known = self.membership.members.get(entry.router)
        heard = known is not None and known.state is PeerState.LIVE and not known.told
        if heard:
            return
        if self.role is Role.HUB or data_centre == self.own.data_centre:
            # It counts once it is heard. Called with the next heartbeat and not at
            # once: its answer may name the next one to call.
            self.to_call.add(entry.router)
            return
        self.membership.joined(
            entry.router, data_centre, entry.incarnation, entry.processor
        )
        self.membership.members[entry.router].told = True

    # Beating

    @property
    def interval(self) -> float:
        """Return the seconds between this router's heartbeats."""
        if self.role is Role.LEAF:
            return LEAF_INTERVAL
        return self._mesh_interval()

    def _mesh_interval(self) -> float:
        if self.role is Role.MESH:
            peers = len(self.addresses)
        elif self.role is Role.HUB:
            peers = len(self.hubs())
        else:
            # Soon over, and nobody decides for others meanwhile.
            peers = 0
        return BEAT_INTERVAL + BEAT_INTERVAL_PER_PEER * max(0, peers - FEW_PEERS)

    async def keep_beating(self) -> None:
        """Send heartbeats for ever and notice who falls silent."""
        while True:
            before = self.loop.time()
            interval = self.interval
            await asyncio.sleep(interval)
            self.tick(self.loop.time() - before - interval)

    def tick(self, paused: float = 0.0) -> None:
        """Send one heartbeat to each listener and drop silent peers.

        Parameters
        ----------
        paused : float
            Seconds for which this process itself stood still; peers are not silent
            because of that.
        """
        self._expire(max(0.0, paused))
        self._settle_role()
        self._beat_to_all()
        self._forget()

    def _beat_to_all(self) -> None:
        if self.role is Role.LEAF:
            self._beat_to_hubs()
        else:
            told = 0 if self.role is Role.MESH else self.known_hubs
            self.socket.broadcast(self._listeners(), self._own_beat(told))

    def _beat_to_hubs(self) -> None:
        """Beat to each hub of the data centre, to one of them with what is known."""
        hubs = self.near_hubs()
        main = main_hub(self.own.router, hubs)
        names = {hub.router for hub in hubs} | self._take_calls()
        for name in names:
            told = self.known_hubs if name == main else 0
            self.socket.broadcast([self.addresses[name]], self._own_beat(told))

    def _take_calls(self) -> set[RouterId]:
        """Return the hubs to call this once."""
        calls = {name for name in self.to_call if name in self.addresses}
        self.to_call = set()
        return calls

    def _own_beat(self, roster: int = 0) -> Beat:
        beat = self.beat()
        return Beat(
            beat.data_centre,
            beat.stopping,
            beat.version,
            beat.endpoints_offset,
            beat.store_age,
            beat.processor,
            self.own.hub,
            len(self.addresses) + 1 if self.role is Role.MESH else self.size,
            roster,
        )

    def _listeners(self) -> list[Address]:
        """Return the addresses that this heartbeat goes to."""
        if self.role is Role.MESH:
            return list(self.addresses.values())
        if self.role is Role.LEAF:
            names = [item.router for item in self.near_hubs()]
        elif self.role is Role.LOST:
            names = self._listed_near()
        else:
            names = self._heard_by_hub()
        return [self.addresses[name] for name in names if name in self.addresses]

    def _heard_by_hub(self) -> list[RouterId]:
        # Those that stop are told as well: they finish what they have.
        heard = [
            item
            for item in self.membership.members.values()
            if item is not self.own and item.state is not PeerState.SILENT
        ]
        names = [item.router for item in heard if item.hub]
        now = self.loop.time()
        if now - self.leaves_told_at >= LEAF_INTERVAL:
            self.leaves_told_at = now
            names += [item.router for item in heard if not item.hub]
        with_hub = {item.data_centre for item in self.hubs()}
        with_hub.add(self.own.data_centre)
        names += self._unheard_near(alone=not self.near_hubs())
        names += self._take_calls()
        names += self._askable(with_hub)
        return list(dict.fromkeys(names))

    def _unheard_near(self, alone: bool) -> list[RouterId]:
        """Return a router of this data centre that is not heard, or all of them.

        Routers of one data centre that have found each other in two groups become one
        group again.
        """
        heard = {item.router for item in self.near(self.own.data_centre)}
        unheard = [name for name in self._listed_near() if name not in heard]
        return unheard if alone or not unheard else [random.choice(unheard)]

    def _leaves(self) -> list[Member]:
        near = self.near(self.own.data_centre)
        return [item for item in near if not item.hub]

    def _askable(self, left_out: set[DataCentreId]) -> list[RouterId]:
        """Return some routers of each data centre whose hubs are not known."""
        by_place: dict[DataCentreId, list[Member]] = {}
        for entry in self.entries.values():
            if entry.data_centre not in left_out:
                member = _listed_member(entry)
                by_place.setdefault(entry.data_centre, []).append(member)
        names: list[RouterId] = []
        for members in by_place.values():
            names += [item.router for item in choose_hubs(members)]
            besides = min(ASKED_BESIDES, len(members))
            names += [item.router for item in random.sample(members, besides)]
        return list(dict.fromkeys(names))

    def _listed_near(self) -> list[RouterId]:
        place = self.own.data_centre
        return [
            name for name, item in self.entries.items() if item.data_centre == place
        ]

    def tell_near(self) -> None:
        """Send a heartbeat now to the routers of this data centre that wait for it."""
        if self.role is Role.LEAF:
            return
        near = self.near(self.own.data_centre)
        names = [item.router for item in near if item.router in self.addresses]
        self.socket.broadcast(
            [self.addresses[name] for name in names], self._own_beat()
        )

    def send(self, router: RouterId, message: Message) -> bool:
        """Send a message to a router; return whether its address is known."""
        address = self.addresses.get(router)
        if address is not None:
            self.socket.send(address, message)
        return address is not None

    # Losing routers

    def _expire(self, paused: float) -> None:
        mesh = SILENT_BEATS * self._mesh_interval() + paused
        slow = SILENT_BEATS * LEAF_INTERVAL + paused
        by_hub = self.role is Role.HUB

        def limit(member: Member) -> float:
            if self.role is Role.MESH or (by_hub and member.hub):
                return mesh
            return max(mesh, slow)

        lost = self.membership.expire(limit)
        for router in lost:
            self._lost(router, "silent")

    def _lost(self, router: RouterId, reason: str) -> None:
        self.beats.pop(router, None)
        logger.info("router silent", extra={"router": router, "reason": reason})
        self._changed()

    def unanswered(self, router: RouterId) -> None:
        """Pass over a router that did not answer this one's offers."""
        self.suspects.note(router, self.loop.time())
        self.deciding.clear()

    def doubt(self, router: RouterId) -> None:
        """Look at a router that another one takes for lost, since it asks this one."""
        member = self.membership.members.get(router)
        if member is None or member is self.own or member.told:
            return
        if member.state is not PeerState.LIVE:
            return
        quiet = self.loop.time() - member.heard
        if quiet > DOUBTED_BEATS * self.interval:
            member.state = PeerState.SILENT
            self._lost(router, "doubted")

    def _forget(self) -> None:
        self.membership.forget_before(FORGET_AFTER)
        if self.role is not Role.MESH:
            # Most routers are never heard by most others.
            return
        oldest = self.loop.time() - FORGET_AFTER
        for router, seen in list(self.seen.items()):
            if seen < oldest:
                del self.seen[router]
                self.addresses.pop(router, None)

    # Roles

    def _settle_role(self) -> None:
        """Choose this router's role by what it hears now."""
        before = self.role
        self.role = self._next_role()
        self.due_hubs = self._find_due()
        self.own.hub = self.role in (Role.MESH, Role.HUB)
        if self.role is before:
            return
        extra = {"role": self.role.value, "before": before.value, "size": self.size}
        logger.info("role changed", extra=extra)
        if self.role is not Role.LOST:
            self.lost_beats = 0
        if self.role is Role.LEAF:
            self.named_hub = False
            self._drop_leaves()
        self._turn_members()
        self._changed()

    def _next_role(self) -> Role:
        if self.own.state is not PeerState.LIVE:
            return self.role
        if self.size <= MESH_MOST:
            return Role.MESH
        near = self.near(self.own.data_centre)
        chosen = choose_hubs(near)
        other_hubs = self.near_hubs()
        if self.role in (Role.MESH, Role.HUB):
            replaced = all(item in other_hubs for item in chosen)
            if self.own in chosen or not (chosen and replaced):
                return Role.HUB if other_hubs or self.role is Role.HUB else Role.LOST
            return Role.LEAF
        if self.named_hub:
            self.named_hub = False
            return Role.HUB
        if other_hubs:
            return Role.LEAF
        self.lost_beats += 1
        if self.lost_beats > LOST_BEATS and self.own in chosen:
            return Role.HUB
        return Role.LOST

    def _find_due(self) -> set[RouterId]:
        if self.role is not Role.HUB:
            return set()
        chosen = choose_hubs(self.near(self.own.data_centre))
        return {item.router for item in chosen if not item.hub}

    def _drop_leaves(self) -> None:
        """Forget routers that beat to the hubs from now on, and not to this one."""
        for member in self._leaves():
            if member is not self.own:
                del self.membership.members[member.router]
                self.beats.pop(member.router, None)

    def _turn_members(self) -> None:
        """Take hubs of other data centres by what is told, or by their own beats."""
        by_telling = self.role is Role.LEAF
        for member in self.membership.members.values():
            if member.data_centre == self.own.data_centre:
                continue
            if member.told and not by_telling:
                # It gets as long as any other to be heard.
                member.heard = self.loop.time()
            member.told = by_telling

    def _tells(self, leaf: Member) -> bool:
        """Return whether this hub is the one that tells a leaf of the others."""
        return main_hub(leaf.router, [*self.near_hubs(), self.own]) == self.own.router

    def _send_roster(self, router: RouterId, only: DataCentreId | None = None) -> None:
        by_place: dict[DataCentreId, list[Member]] = {}
        for hub in self.hubs():
            by_place.setdefault(hub.data_centre, []).append(hub)
        due = [self.membership.members.get(name) for name in self.due_hubs]
        here = by_place.setdefault(self.own.data_centre, [])
        here += [item for item in due if item is not None]
        places = {item.data_centre for item in self.membership.members.values()}
        for place in places if only is None else [only]:
            rows = [self._hub_entry(item) for item in by_place.get(place, ())]
            self.send(router, RosterMessage(place, rows))

    def _hub_entry(self, hub: Member) -> HubEntry:
        address = self.socket.address
        if hub is not self.own:
            address = self.addresses[hub.router]
        return HubEntry(
            hub.router, address.host, address.port, hub.incarnation, hub.processor
        )

    def _changed(self) -> None:
        """Work out anew, soon, what depends on who may decide."""
        self.leading.clear()
        self.deciding.clear()
        if self.change_due is None:
            self.change_due = self.loop.call_later(CHANGE_DELAY, self._settle_change)

    def _settle_change(self) -> None:
        self.change_due = None
        known = fingerprint(self.hubs())
        if known == self.known_hubs:
            return
        self.known_hubs = known
        if self.role is Role.HUB and self.own.state is PeerState.LIVE:
            for leaf in self._leaves():
                if self._tells(leaf):
                    self._send_roster(leaf.router)
        self.on_change()

    def stand_in_share(self) -> float:
        """Return the part of each endpoint for a router that decides but not leads.

        Others may stand in as well: hubs where one of them is not heard, and every
        router where nobody is.
        """
        others = len(self.hubs()) if self.own.hub else self.size
        return 1.0 / max(1, others)

    def stop(self) -> None:
        """Tell the peers that this router takes no new work."""
        self.own.state = PeerState.STOPPING
        self.leaves_told_at = 0.0
        self._beat_to_all()
        self._changed()


def _listed_member(entry: PeerEntry) -> Member:
    """Return a router as its entry tells of it, before it is heard."""
    return Member(entry.router, entry.data_centre, 0, 0.0, processor=entry.processor)
