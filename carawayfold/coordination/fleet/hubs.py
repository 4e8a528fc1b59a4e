"""Hubs and leaves: the topology of heartbeats in a large fleet.

With hundreds of routers, most of them on small instances, a full mesh of heartbeats
would use more of a small instance than the callers do, or the heartbeats would have to
be so rare that a failed router is detected only after seconds. So a few routers of each
data centre, the hubs, exchange frequent heartbeats with each other and with the hubs of
other data centres. All other routers, the leaves, send heartbeats to the hubs of their
data centre and receive the lists of hubs from them. Only hubs lead pools, since
every router knows them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import xxhash

from carawayfold.coordination.fleet.membership import (
    Member,
    PeerState,
    most_powerful,
    rank,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.protocol.sources import PeerEntry
    from carawayfold.state.ids import RouterId

#: Fleet size up to which heartbeats form a full mesh. For 32 routers the interval is
#: 0.27 s, and each router sends and receives 240 datagrams a second.
MAX_MESH_ROUTERS = 32
#: Hubs of a data centre: if two fail at the same time, one is left.
HUBS_PER_DATA_CENTRE = 3
#: Seconds between heartbeats of a leaf and the hubs of its data centre. No router
#: depends on quick detection of a failed leaf, and hubs report a failed hub at once.
LEAF_HEARTBEAT_INTERVAL = 0.5
#: Subject of the rendezvous hashing that ranks members as hubs.
RANKING_SUBJECT = "hub"


class Role(Enum):
    """Role of this router in the exchange of heartbeats.

    A small fleet is a mesh. In a large one a router is a hub, or a leaf of its data
    centre's hubs, or detached while it receives heartbeats from none of them. A
    detached router sends heartbeats to all routers of its data centre, and becomes a
    hub if the choice among those that it knows to be live includes it.
    """

    MESH = "mesh"
    HUB = "hub"
    LEAF = "leaf"
    DETACHED = "lost"


def choose_hubs(members: Iterable[Member]) -> list[Member]:
    """Return the members of one data centre that should be its hubs.

    Those with the most powerful processors, and among equal ones the first by
    rendezvous hashing: a member that is added or removed changes at most one hub.
    """
    left = [item for item in members if item.state is PeerState.LIVE]
    chosen: list[Member] = []
    while left and len(chosen) < HUBS_PER_DATA_CENTRE:
        strong = most_powerful(left)
        chosen += rank(RANKING_SUBJECT, strong)[: HUBS_PER_DATA_CENTRE - len(chosen)]
        left = [item for item in left if item not in strong]
    return chosen


def primary_hub(router: RouterId, hubs: list[Member]) -> RouterId | None:
    """Return the hub that sends the lists of hubs to leaf `router`, if there is one."""
    return rank(router, hubs)[0].router if hubs else None


def hubs_checksum(hubs: Iterable[Member]) -> int:
    """Return a checksum of the hubs, their incarnations and whether they lag."""
    rows = sorted(f"{item.router}|{item.incarnation}|{item.lagging:d}" for item in hubs)
    return xxhash.xxh32_intdigest("\n".join(rows).encode())


def role_of_hub(own: Member, local: list[Member], current: Role) -> Role:
    """Return the next role of a hub, or of a mesh router, in a large fleet.

    It remains a hub until all routers that should replace it are hubs.

    Parameters
    ----------
    own : Member
        This router.
    local : list of Member
        The live routers of its data centre, including itself.
    current : Role
        Its current role.
    """
    chosen = choose_hubs(local)
    replaced = all(item.hub for item in chosen if item is not own)
    if own not in chosen and chosen and replaced:
        return Role.LEAF
    is_only_hub = not any(item.hub for item in local if item is not own)
    return Role.DETACHED if is_only_hub and current is Role.MESH else Role.HUB


def member_from_entry(entry: PeerEntry) -> Member:
    """Return a member built from its entry, before its first heartbeat."""
    return Member(entry.router, entry.data_centre, 0, 0.0, processor=entry.processor)
