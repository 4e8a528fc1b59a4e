"""Which routers of a large fleet hear each other: those of a data centre meet at hubs.

The load it answers: hundreds of routers, most of them on small instances. If each one
beat to each other one, heartbeats would take more of a small instance than callers do,
or would have to be so rare that a lost router is noticed after seconds. So in each data
centre a few routers, the hubs, hear each other and the hubs of other data centres
often, and all others, the leaves, beat to the hubs of their data centre and are told by
them which hubs there are. Only hubs decide for others, since everyone knows them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import xxhash

from carawayfold.coordination.fleet.membership import Member, PeerState, rank, strongest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.protocol.sources import PeerEntry
    from carawayfold.state.ids import RouterId

#: Routers up to which all beat to all: with an interval of 0.27 s for 32 of them,
#: heartbeats take 240 datagrams a second, sent and taken, of a router.
MESH_MOST = 32
#: Hubs of a data centre: the loss of two at the same moment leaves one.
HUBS = 3
#: Seconds between heartbeats of a leaf and the hubs of its data centre. Nobody waits
#: for news of a leaf, and hubs tell at once when another hub is gone.
LEAF_INTERVAL = 0.5
#: What the members are ranked by as hubs.
SUBJECT = "hub"


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


def choose_hubs(members: Iterable[Member]) -> list[Member]:
    """Return who should be the hubs among the live members of one data centre.

    The strongest instances, and of equal ones the first by rendezvous hashing: a member
    that comes or goes changes one place at most.
    """
    left = [item for item in members if item.state is PeerState.LIVE]
    chosen: list[Member] = []
    while left and len(chosen) < HUBS:
        strong = strongest(left)
        chosen += rank(SUBJECT, strong)[: HUBS - len(chosen)]
        left = [item for item in left if item not in strong]
    return chosen


def main_hub(router: RouterId, hubs: list[Member]) -> RouterId | None:
    """Return which of its data centre's hubs tells a leaf about the others."""
    return rank(router, hubs)[0].router if hubs else None


def fingerprint(hubs: Iterable[Member]) -> int:
    """Return a number that is equal where the same is known of the same hubs."""
    rows = sorted(f"{item.router}|{item.incarnation}|{item.late:d}" for item in hubs)
    return xxhash.xxh32_intdigest("\n".join(rows).encode())


def role_of_hub(own: Member, near: list[Member], before: Role) -> Role:
    """Return the role of a router of a large fleet that was a hub, or in a mesh.

    It stays a hub until those that should be hubs in its place all are.

    Parameters
    ----------
    own : Member
        This router.
    near : list of Member
        The live routers of its data centre, itself included.
    before : Role
        Its role up to now.
    """
    chosen = choose_hubs(near)
    replaced = all(item.hub for item in chosen if item is not own)
    if own not in chosen and chosen and replaced:
        return Role.LEAF
    alone = not any(item.hub for item in near if item is not own)
    return Role.LOST if alone and before is Role.MESH else Role.HUB


def listed_member(entry: PeerEntry) -> Member:
    """Return a router as its entry tells of it, before it is heard."""
    return Member(entry.router, entry.data_centre, 0, 0.0, processor=entry.processor)
