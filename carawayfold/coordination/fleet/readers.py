"""Which routers read the store for the others.

The loads it answers: a store whose calls are dear, so that one router of a data centre
reads for the rest; and a store that refuses some routers or does not answer them, also
just those that read, while the rest could reach it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from carawayfold.coordination.fleet.hubs import LEAF_INTERVAL
from carawayfold.coordination.fleet.membership import rank

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.state.ids import RouterId

#: Routers up to which each one reads the store for itself.
ALL_READ = 12
#: Readers of a fleet in one data centre; in several each has one, and what one of them
#: misses the others tell.
READERS_ALONE = 2
#: Seconds since all was known after which each hub reads for itself: a read that waits,
#: its pause, and a heartbeat. Leaves do so as well whose hubs can't tell them.
HUB_STALE = 1.3
#: The same for leaves, which hear less often, and the time over which they spread their
#: calls, so that hundreds don't ask a store at once that answers none of them.
LEAF_STALE = 1.8
LEAF_SPREAD = 0.4
#: Seconds after which a leaf counts a hub as one that can't tell it: two heartbeats.
HUB_QUIET = 2 * LEAF_INTERVAL
#: What the members are ranked by as readers.
SUBJECT = "store"


def is_reader(fleet: Fleet, age: float) -> bool:
    """Return whether this router should read the store.

    In a large fleet the first hub of each data centre by rendezvous hashing does, and
    the first one that the store answers. The others follow them by their heartbeats,
    until what they know is too old.

    Parameters
    ----------
    age : float
        Seconds since this router knew all of a topic's records.
    """
    if fleet.size <= ALL_READ:
        return True
    if not fleet.own.hub:
        patience = LEAF_STALE if _is_told(fleet) else HUB_STALE
        return age > patience + LEAF_SPREAD * _place(fleet.own)
    near = [item for item in fleet.near(fleet.own.data_centre) if item.hub]
    served = [item for item in near if not _is_refused(fleet, item)]
    places = {item.data_centre for item in fleet.hubs()}
    wanted = 1 if len(places) > 1 else READERS_ALONE
    first = rank(SUBJECT, near)[:wanted] + rank(SUBJECT, served)[:wanted]
    return fleet.own in first or age > HUB_STALE


def _is_refused(fleet: Fleet, member: Member) -> bool:
    """Return whether a peer says that the store does not answer it."""
    beat = fleet.beats.get(member.router)
    return beat is not None and beat.refused


def can_tell(fleet: Fleet, router: RouterId) -> bool:
    """Return whether a peer is a hub that seems to learn at once what is new.

    One that the store answers does, or one that hears from such a peer in time.
    """
    beat = fleet.beats.get(router)
    if beat is None or beat.refused or not beat.hub:
        return False
    quiet = fleet.loop.time() - fleet.beaten_at[router]
    oldest = max(beat.store_age, beat.operators_age)
    return quiet <= HUB_QUIET and oldest <= HUB_STALE * 1000


def _is_told(fleet: Fleet) -> bool:
    """Return whether a hub of its data centre can tell this leaf what is new.

    Without one it must not wait for as long as heartbeats may take: the endpoints that
    leave meanwhile get requests for longer than they may.
    """
    hubs = fleet.near_hubs()
    return not hubs or any(can_tell(fleet, hub.router) for hub in hubs)


def _place(own: Member) -> float:
    """Return a number from 0 to 1 that differs between routers."""
    return xxhash.xxh3_64_intdigest(own.router.encode()) / 2**64
