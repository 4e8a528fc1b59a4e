"""Which routers are live, from their own heartbeats."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import xxhash

from carawayfold.state.ids import DataCentreId, RouterId

if TYPE_CHECKING:
    from collections.abc import Callable, Container

#: Least silence limit, in seconds.
SILENCE_LIMIT = 2.0
#: Candidates for each of several like subjects, of which the one with the fewest looks
#: after it: more share the work more evenly, and more change when a member goes.
CANDIDATES = 3
#: Least processor of those who look after something, as a part of the strongest one's.
#: Instances of nearly one size share the work, the weakest are left out.
STRONG_PART = 0.75


class PeerState(Enum):
    """What is known of a peer."""

    LIVE = "live"
    STOPPING = "stopping"
    SILENT = "silent"


class Member(msgspec.Struct):
    """One router of the fleet.

    Attributes
    ----------
    incarnation : int
        Random per process start; a new one means that its state is empty.
    heard : float
        When a frame of it last arrived, in seconds of the monotonic clock.
    processor : int
        What its processor can do, in hundredths of a usual core.
    hub : bool
        Whether others meet at it and it decides for them; in a small fleet all do.
    late : bool
        Whether it can't keep up with its work, so that others decide.
    told : bool
        Whether it is known from what a hub told, not by its own heartbeats.
    """

    router: RouterId
    data_centre: DataCentreId
    incarnation: int
    heard: float
    state: PeerState = PeerState.LIVE
    processor: int = 100
    hub: bool = True
    told: bool = False
    late: bool = False


class Membership:
    """Live routers as this one sees them, itself included.

    Parameters
    ----------
    own : Member
        This router.
    clock : callable
        Returns monotonic seconds.
    silence_limit : float
        Seconds of silence after which a peer is taken for dead.
    """

    def __init__(
        self, own: Member, clock: Callable[[], float], silence_limit: float
    ) -> None:
        self.silence_limit = silence_limit
        self.own = own
        self.clock = clock
        self.members: dict[RouterId, Member] = {own.router: own}

    def joined(
        self,
        router: RouterId,
        data_centre: DataCentreId,
        incarnation: int,
        processor: int = 100,
    ) -> bool:
        """Note a peer's hello; return whether its state is new to us."""
        known = self.members.get(router)
        fresh = known is None or known.incarnation != incarnation
        now = self.clock()
        self.members[router] = Member(
            router, data_centre, incarnation, now, processor=processor
        )
        return fresh

    def incarnation_of(self, router: RouterId) -> int:
        """Return the incarnation of a router, 0 where none is known."""
        member = self.members.get(router)
        return 0 if member is None else member.incarnation

    def heard(self, router: RouterId, stopping: bool) -> None:
        """Note a frame of a peer."""
        member = self.members[router]
        member.heard = self.clock()
        member.state = PeerState.STOPPING if stopping else PeerState.LIVE

    def expire(self, limit: Callable[[Member], float] | None = None) -> list[RouterId]:
        """Mark peers that have been silent too long and return them.

        Parameters
        ----------
        limit : callable, optional
            Returns the seconds for which a member may be silent; `silence_limit` for
            all without it.
        """
        now = self.clock()
        silent = [
            member
            for member in self.members.values()
            if member is not self.own
            and member.state is not PeerState.SILENT
            and not member.told
            and now - member.heard > (limit(member) if limit else self.silence_limit)
        ]
        for member in silent:
            member.state = PeerState.SILENT
        return [member.router for member in silent]

    def forget_before(self, age: float) -> None:
        """Drop peers that have been silent for more than `age` seconds."""
        oldest = self.clock() - age
        for router, member in list(self.members.items()):
            if member.state is PeerState.SILENT and member.heard < oldest:
                del self.members[router]

    def live(self) -> list[Member]:
        """Return the routers that take new work, in order of name."""
        members = [
            member for member in self.members.values() if member.state is PeerState.LIVE
        ]
        return sorted(members, key=lambda member: member.router)

    def responsible(
        self,
        subject: str,
        data_centre: str = "",
        leaving_out: Container[RouterId] = (),
    ) -> RouterId:
        """Return the router that looks after `subject`, by rendezvous hashing.

        Only the strongest hubs do, of those that keep up with their work if any does.

        Parameters
        ----------
        subject : str
            A pool, or the writing of checkpoints.
        data_centre : str
            Preferred data centre; others serve only if it has no live router.
        leaving_out : container of RouterId
            Routers that are passed over.

        Returns
        -------
        RouterId
            The same on every router that sees the same members.
        """
        return rank(subject, self.deciders(data_centre, leaving_out))[0].router

    def deciders(
        self, data_centre: str = "", leaving_out: Container[RouterId] = ()
    ) -> list[Member]:
        """Return the routers that may look after something; see `responsible`."""
        hubs = [member for member in self.live() if member.hub]
        live = [item for item in hubs if item.router not in leaving_out] or [self.own]
        near = [member for member in live if member.data_centre == data_centre]
        return strongest(in_time(near or live))


def share_out(subjects: list[str], members: list[Member]) -> dict[str, RouterId]:
    """Return who looks after each of several like subjects, about as many each.

    The choice for a subject depends on those before it only.
    """
    taken: Counter[RouterId] = Counter()
    chosen = {}
    for subject in subjects:
        candidates = rank(subject, members)[:CANDIDATES]
        least = min(candidates, key=lambda member: taken[member.router])
        taken[least.router] += 1
        chosen[subject] = least.router
    return chosen


def rank(subject: str, members: list[Member]) -> list[Member]:
    """Return members in the order in which they look after `subject`."""
    return sorted(members, key=lambda member: _weight(subject, member), reverse=True)


def in_time(members: list[Member]) -> list[Member]:
    """Return the members that keep up with their work, all if none does."""
    return [member for member in members if not member.late] or members


def strongest(members: list[Member]) -> list[Member]:
    """Return the members that are about as strong as the strongest of them."""
    least = STRONG_PART * max(member.processor for member in members)
    return [member for member in members if member.processor >= least]


def _weight(subject: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}|{member.router}".encode())
