"""Heartbeats between the routers of the fleet, and who of them decides."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.fleet.hubs import (
    LEAF_INTERVAL,
    MESH_MOST,
    Role,
    choose_hubs,
    fingerprint,
    listed_member,
    main_hub,
    role_of_hub,
)
from carawayfold.coordination.fleet.listeners import Listeners
from carawayfold.coordination.fleet.membership import (
    Member,
    Membership,
    PeerState,
    share_out,
)
from carawayfold.coordination.fleet.rosters import Rosters
from carawayfold.coordination.fleet.suspects import Suspects
from carawayfold.protocol.datagrams import Beat, RosterMessage
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
#: Intervals without a heartbeat after which a peer is taken for dead; at 3 % loss
#: a live one is mistaken once in a million intervals.
SILENT_BEATS = 4
#: Intervals without a heartbeat that confirm what another router suspects.
DOUBTED_BEATS = 1.5
#: Heartbeats after which a router that hears no hub counts on having heard everyone
#: of its data centre that does not hear one either.
LOST_BEATS = 2
#: Seconds for which changes of the hubs are gathered before what depends on them is
#: worked out anew: a fleet that starts changes two hundred times in a second.
CHANGE_DELAY = 0.01
#: Seconds for which a router that did not keep up with its work decides for nobody: it
#: would be late again at once, and each change of the decider loses what that knew.
LATE_FOR = 10.0
#: Seconds after which the entry of a silent router is no longer called.
FORGET_AFTER = 60.0


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
    beaten_at : dict
        Loop time at which it came; a member may have been heard of since by others.
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
        self.beaten_at: dict[RouterId, float] = {}
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
        self.listeners = Listeners(self)
        self.rosters = Rosters(self)
        #: Loop time at which this router last did not keep up with its work.
        self.late_at = -math.inf
        self.change_due: asyncio.TimerHandle | None = None
        self.known_hubs = fingerprint(self.hubs())

    # Who there is

    @property
    def size(self) -> int:
        """Return how many routers there are, silent ones included."""
        told = (beat.size for beat in self.beats.values())
        return max(len(self.addresses) + 1, *told, 1)

    @property
    def counted(self) -> int | None:
        """Return how many routers there are, None for one that has not been told.

        It has neither read the routers' entries nor heard a peer, and may be one of
        many.
        """
        told = any(beat.size for beat in self.beats.values())
        return self.size if told or self.listed.is_set() else None

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
        listed = [listed_member(item) for item in self.listed_near()]
        return [item.router for item in choose_hubs([*listed, self.own])]

    def near_hubs(self) -> list[Member]:
        """Return the other hubs of this data centre."""
        near = self.near(self.own.data_centre)
        return [item for item in near if item.hub and item is not self.own]

    def leaves(self) -> list[Member]:
        """Return the live routers of this data centre that are no hubs."""
        near = self.near(self.own.data_centre)
        return [item for item in near if not item.hub]

    def listed_near(self) -> list[PeerEntry]:
        """Return the entries of this data centre's other routers."""
        place = self.own.data_centre
        return [item for item in self.entries.values() if item.data_centre == place]

    def leader(self, subject: str) -> RouterId:
        """Return the router that decides on `subject`, by the heartbeats.

        Subjects that differ in a number at their end, such as the pools of a service,
        are shared out among those that may decide.
        """
        known = self.leading.get(subject)
        if known is None:
            stem, _, number = subject.rpartition("/")
            count = int(number) + 1 if stem and number.isdecimal() else 0
            like = [f"{stem}/{place}" for place in range(count)] or [subject]
            self.leading.update(share_out(like, self.membership.deciders()))
            known = self.leading[subject]
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
        leader = self.leader(subject)
        if leader not in self.suspects.until:
            return leader
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
        beat = self.own_beat()
        if self.role is Role.MESH:
            known = [self.addresses[item.router] for item in new]
            self.socket.broadcast(known, beat)
        else:
            self.socket.broadcast(self.listeners.addresses(), beat)

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
                self.rosters.take(router, message)

    def _take_beat(self, router: RouterId, incarnation: int, beat: Beat) -> None:
        self.beats[router] = beat
        self.beaten_at[router] = self.loop.time()
        if router not in self.entries:
            self._note_entry(router, beat)
        known = self.membership.members.get(router)
        before = (known.state, known.hub, known.late) if known is not None else None
        if known is None or known.incarnation != incarnation:
            self.membership.joined(
                router, beat.data_centre, incarnation, beat.processor
            )
        self.membership.heard(router, beat.stopping)
        member = self.membership.members[router]
        member.hub = beat.hub
        member.late = beat.late
        # Hubs of other data centres beat to a leaf once, to find its hubs.
        far = beat.data_centre != self.own.data_centre
        member.told = self.role is Role.LEAF and far
        if (member.state, member.hub, member.late) != before:
            extra = {
                "router": router,
                "state": member.state.value,
                "hub": beat.hub,
                "late": beat.late,
            }
            logger.info("router heard", extra=extra)
            self.changed()
        self.rosters.answer(member, beat)

    def _note_entry(self, router: RouterId, beat: Beat) -> None:
        """Know a router that started after the entries were read."""
        address = self.addresses[router]
        self.entries[router] = PeerEntry(
            router, beat.data_centre, address.host, address.port, beat.processor
        )

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
            self.socket.broadcast(self.listeners.addresses(), self.own_beat(told))

    def _beat_to_hubs(self) -> None:
        """Beat to each hub of the data centre, to one of them with what is known."""
        hubs = self.near_hubs()
        main = main_hub(self.own.router, hubs)
        names = [hub.router for hub in hubs] + self.rosters.take_calls()
        for name in dict.fromkeys(names):
            told = self.known_hubs if name == main else 0
            self.socket.broadcast([self.addresses[name]], self.own_beat(told))

    def own_beat(self, roster: int = 0) -> Beat:
        """Return the heartbeat to send, with a fingerprint for one that tells hubs."""
        size = len(self.addresses) + 1 if self.role is Role.MESH else self.size
        return msgspec.structs.replace(
            self.beat(),
            hub=self.own.hub,
            size=size,
            roster=roster,
            late=self.own.late,
        )

    def tell_near(self) -> None:
        """Send a heartbeat now to the routers of this data centre that wait for it."""
        if self.role is Role.LEAF:
            return
        near = self.near(self.own.data_centre)
        names = [item.router for item in near if item.router in self.addresses]
        self.socket.broadcast([self.addresses[name] for name in names], self.own_beat())

    def send(self, router: RouterId, message: Message) -> bool:
        """Send a message to a router; return whether its address is known."""
        address = self.addresses.get(router)
        if address is not None:
            self.socket.send(address, message)
        return address is not None

    def send_to_all(self, message: Message) -> None:
        """Send a message to every router that this one reaches; see `passed_on_to`."""
        for router in self._reached():
            self.send(router, message)

    def _reached(self) -> list[RouterId]:
        if self.role is Role.MESH:
            return list(self.addresses)
        if self.role is Role.LEAF:
            return [hub.router for hub in self.near_hubs()]
        if self.role is Role.LOST:
            return [entry.router for entry in self.listed_near()]
        told = [*self.hubs(), *self.leaves()]
        return [item.router for item in told if item is not self.own]

    def passed_on_to(self, sender: RouterId) -> list[RouterId]:
        """Return whom to send what `sender` has sent to all that it reaches.

        A hub reaches all hubs and the leaves of its data centre; a leaf its hubs only.
        """
        member = self.membership.members.get(sender)
        if self.role is not Role.HUB or member is None:
            return []
        if not member.hub:
            return [name for name in self._reached() if name != sender]
        if member.data_centre == self.own.data_centre:
            return []
        return [leaf.router for leaf in self.leaves() if self.rosters.tells(leaf)]

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

    def _drop_beat(self, router: RouterId) -> None:
        self.beats.pop(router, None)
        self.beaten_at.pop(router, None)

    def _lost(self, router: RouterId, reason: str) -> None:
        self._drop_beat(router)
        logger.info("router silent", extra={"router": router, "reason": reason})
        self.changed()

    def unanswered(self, router: RouterId) -> None:
        """Pass over a router that did not answer this one's offers."""
        self.suspects.note(router, self.loop.time())
        self.deciding.clear()

    def is_heard_since(self, router: RouterId, since: float) -> bool:
        """Return whether anything of a router came after a loop time."""
        return self.seen.get(router, -math.inf) > since

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
        self.rosters.find_due()
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
        self.changed()

    def _next_role(self) -> Role:
        if self.own.state is not PeerState.LIVE:
            return self.role
        if self.size <= MESH_MOST:
            return Role.MESH
        near = self.near(self.own.data_centre)
        if self.role in (Role.MESH, Role.HUB):
            return role_of_hub(self.own, near, self.role)
        if self.named_hub:
            self.named_hub = False
            return Role.HUB
        if self.near_hubs():
            return Role.LEAF
        self.lost_beats += 1
        alone_for_long = self.lost_beats > LOST_BEATS
        chosen = self.own in choose_hubs(near)
        return Role.HUB if alone_for_long and chosen else Role.LOST

    def _drop_leaves(self) -> None:
        """Forget routers that beat to the hubs from now on, and not to this one."""
        for member in self.leaves():
            if member is not self.own:
                del self.membership.members[member.router]
                self._drop_beat(member.router)

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

    def changed(self) -> None:
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
        self.rosters.tell_leaves()
        self.on_change()

    def note_late(self, late: bool) -> None:
        """Note whether this router keeps up with its work; leave deciding if not."""
        now = self.loop.time()
        if late:
            self.late_at = now
        late = now - self.late_at < LATE_FOR
        if late is self.own.late:
            return
        self.own.late = late
        logger.info("deciding given up" if late else "deciding again")
        self.changed()

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
        self.listeners.leaves_told_at = 0.0
        self._beat_to_all()
        self.changed()
