"""Members of the fleet, their state, and the choice of leaders among them."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import xxhash

from carawayfold.state.ids import DataCentreId, RouterId

if TYPE_CHECKING:
    from collections.abc import Callable, Container

#: Lower limit of the silence timeout, in seconds.
MIN_SILENCE_TIMEOUT = 2.0
#: Candidates for the leader of each of several similar subjects; the candidate that
#: leads the fewest is chosen. More candidates give a more even distribution, but more
#: subjects change their leader when a member is removed.
CANDIDATES_PER_SUBJECT = 3
#: Lowest processor capacity of a leader, as a fraction of the highest in the fleet.
#: Instances of similar size share the work, the weakest get none.
MIN_PROCESSOR_RATIO = 0.75


class PeerState(Enum):
    """State of a peer, as this router knows it."""

    LIVE = "live"
    STOPPING = "stopping"
    FAILED = "silent"


class Member(msgspec.Struct):
    """One router of the fleet.

    Attributes
    ----------
    incarnation : int
        Random per process start; a new one means that its state is empty.
    last_seen : float
        Monotonic seconds at which its last heartbeat or frame arrived.
    processor : int
        Capacity of its processor, in hundredths of a reference core.
    hub : bool
        Whether it is a hub and may lead pools; in a small fleet every router is.
    from_hub_list : bool
        Whether it is known from a list of hubs, not from its own heartbeats.
    lagging : bool
        Whether it cannot keep up with its work, so that others lead.
    """

    router: RouterId
    data_centre: DataCentreId
    incarnation: int
    last_seen: float
    state: PeerState = PeerState.LIVE
    processor: int = 100
    hub: bool = True
    from_hub_list: bool = False
    lagging: bool = False


class Membership:
    """Members of the fleet as this router knows them, including itself.

    Parameters
    ----------
    own : Member
        This router.
    clock : callable
        Returns monotonic seconds.
    silence_timeout : float
        Seconds of silence after which a peer is considered failed.
    """

    def __init__(
        self, own: Member, clock: Callable[[], float], silence_timeout: float
    ) -> None:
        self.silence_timeout = silence_timeout
        self.own = own
        self.clock = clock
        self.members: dict[RouterId, Member] = {own.router: own}

    def register_member(
        self,
        router: RouterId,
        data_centre: DataCentreId,
        incarnation: int,
        processor: int = 100,
    ) -> bool:
        """Add or replace a peer; return whether its incarnation is new."""
        known = self.members.get(router)
        is_new = known is None or known.incarnation != incarnation
        now = self.clock()
        self.members[router] = Member(
            router, data_centre, incarnation, now, processor=processor
        )
        return is_new

    def incarnation_of(self, router: RouterId) -> int:
        """Return the incarnation of a router, 0 if the router is unknown."""
        member = self.members.get(router)
        return 0 if member is None else member.incarnation

    def record_contact(self, router: RouterId, stopping: bool) -> None:
        """Record that a heartbeat or frame of a peer arrived."""
        member = self.members[router]
        member.last_seen = self.clock()
        member.state = PeerState.STOPPING if stopping else PeerState.LIVE

    def expire(
        self, timeout_of: Callable[[Member], float] | None = None
    ) -> list[RouterId]:
        """Mark peers as failed that have been silent for too long, and return them.

        Parameters
        ----------
        timeout_of : callable, optional
            Returns the seconds of silence after which a member is considered failed;
            the default is `silence_timeout` for all.
        """
        now = self.clock()
        failed = [
            member
            for member in self.members.values()
            if member is not self.own
            and member.state is not PeerState.FAILED
            and not member.from_hub_list
            and now - member.last_seen
            > (timeout_of(member) if timeout_of else self.silence_timeout)
        ]
        for member in failed:
            member.state = PeerState.FAILED
        return [member.router for member in failed]

    def remove(self, router: RouterId) -> None:
        """Remove a peer, as if it had never been known."""
        del self.members[router]

    def remove_failed(self, age: float) -> None:
        """Remove failed peers that were last seen more than `age` seconds ago."""
        oldest = self.clock() - age
        for router, member in list(self.members.items()):
            if member.state is PeerState.FAILED and member.last_seen < oldest:
                del self.members[router]

    def live(self) -> list[Member]:
        """Return the routers that accept new work, ordered by name."""
        members = [
            member for member in self.members.values() if member.state is PeerState.LIVE
        ]
        return sorted(members, key=lambda member: member.router)

    def responsible(
        self,
        subject: str,
        data_centre: str = "",
        excluded: Container[RouterId] = (),
    ) -> RouterId:
        """Return the router responsible for `subject`, by rendezvous hashing.

        Only the most powerful hubs are considered, without those that lag behind their
        work unless all do.

        Parameters
        ----------
        subject : str
            For example a pool, or the writing of checkpoints.
        data_centre : str
            Preferred data centre; others are considered only if it has no live router.
        excluded : container of RouterId
            Routers that are not considered.

        Returns
        -------
        RouterId
            The same on every router that knows the same members.
        """
        return rank(subject, self.leader_candidates(data_centre, excluded))[0].router

    def leader_candidates(
        self, data_centre: str = "", excluded: Container[RouterId] = ()
    ) -> list[Member]:
        """Return the routers that `responsible` chooses from."""
        hubs = [member for member in self.live() if member.hub]
        live = [item for item in hubs if item.router not in excluded] or [self.own]
        local = [member for member in live if member.data_centre == data_centre]
        return most_powerful(without_lagging(local or live))


def assign_leaders(subjects: list[str], members: list[Member]) -> dict[str, RouterId]:
    """Return the leader of each of several similar subjects, evenly distributed.

    The choice for a subject depends only on the subjects before it.
    """
    assigned: Counter[RouterId] = Counter()
    chosen = {}
    for subject in subjects:
        candidates = rank(subject, members)[:CANDIDATES_PER_SUBJECT]
        least_loaded = min(candidates, key=lambda member: assigned[member.router])
        assigned[least_loaded.router] += 1
        chosen[subject] = least_loaded.router
    return chosen


def rank(subject: str, members: list[Member]) -> list[Member]:
    """Return the members in their order by rendezvous hashing for `subject`."""
    return sorted(members, key=lambda member: _weight(subject, member), reverse=True)


def without_lagging(members: list[Member]) -> list[Member]:
    """Return the members that keep up with their work, or all members if none does."""
    return [member for member in members if not member.lagging] or members


def most_powerful(members: list[Member]) -> list[Member]:
    """Return the members with a processor close to the most powerful one."""
    minimum = MIN_PROCESSOR_RATIO * max(member.processor for member in members)
    return [member for member in members if member.processor >= minimum]


def _weight(subject: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}|{member.router}".encode())
