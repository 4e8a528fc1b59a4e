"""Choice of the routers that read the store on behalf of the others.

Calls to the store are expensive, so one router of a data centre reads it for the rest.
The store may also reject or not answer some routers, possibly just the readers, while
the rest could reach it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from carawayfold.coordination.fleet.hubs import LEAF_HEARTBEAT_INTERVAL
from carawayfold.coordination.fleet.membership import rank

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.state.ids import RouterId

#: Fleet size up to which each router reads the store itself.
MAX_ROUTERS_ALL_READ = 12
#: Readers of a fleet in a single data centre. In a fleet of several data centres each
#: has one reader, and readers pass on what another one missed.
READERS_IN_ONLY_DATA_CENTRE = 2
#: Seconds without complete knowledge of a topic after which each hub reads the store
#: itself: a long-polling read, the pause after it, and a heartbeat. It also applies to
#: leaves whose hubs cannot relay updates.
HUB_STALENESS_LIMIT = 1.3
#: The same for leaves, whose heartbeats are less frequent, and the seconds over which
#: they spread their calls: hundreds of leaves must not call a failing store at once.
LEAF_STALENESS_LIMIT = 1.8
LEAF_JITTER = 0.4
#: Seconds without a heartbeat after which a hub cannot relay updates: two heartbeats.
HUB_SILENCE_TIMEOUT = 2 * LEAF_HEARTBEAT_INTERVAL
#: Subject of the rendezvous hashing that ranks hubs as readers.
RANKING_SUBJECT = "store"


def is_reader(fleet: Fleet, age: float) -> bool:
    """Return whether this router should read the store.

    In a large fleet it is read by the first hub of each data centre by rendezvous
    hashing, and by the first hub that the store answers. The others learn from their
    heartbeats that there are new records, until their own knowledge is too old.

    Parameters
    ----------
    fleet : Fleet
        Members and heartbeats known to this router.
    age : float
        Seconds since this router knew all records of a topic.
    """
    if fleet.size <= MAX_ROUTERS_ALL_READ:
        return True
    if not fleet.own.hub:
        limit = (
            LEAF_STALENESS_LIMIT if _has_relaying_hub(fleet) else HUB_STALENESS_LIMIT
        )
        return age > limit + LEAF_JITTER * _jitter_fraction(fleet.own)
    local = [item for item in fleet.members_in(fleet.own.data_centre) if item.hub]
    answered = [item for item in local if not _is_refused_by_store(fleet, item)]
    data_centres = {item.data_centre for item in fleet.hubs()}
    readers = 1 if len(data_centres) > 1 else READERS_IN_ONLY_DATA_CENTRE
    chosen = (
        rank(RANKING_SUBJECT, local)[:readers]
        + rank(RANKING_SUBJECT, answered)[:readers]
    )
    return fleet.own in chosen or age > HUB_STALENESS_LIMIT


def _is_refused_by_store(fleet: Fleet, member: Member) -> bool:
    """Return whether a peer reports that the store did not answer its last call."""
    heartbeat = fleet.heartbeats.get(member.router)
    return heartbeat is not None and heartbeat.refused


def can_relay_updates(fleet: Fleet, router: RouterId) -> bool:
    """Return whether a peer is a hub with current knowledge of the store.

    Its last heartbeat must be recent, the store must answer it, and its knowledge of
    endpoints and of operators' records must not be stale.
    """
    heartbeat = fleet.heartbeats.get(router)
    if heartbeat is None or heartbeat.refused or not heartbeat.hub:
        return False
    silence = fleet.loop.time() - fleet.heartbeat_times[router]
    oldest = max(heartbeat.store_age, heartbeat.operators_age)
    return silence <= HUB_SILENCE_TIMEOUT and oldest <= HUB_STALENESS_LIMIT * 1000


def _has_relaying_hub(fleet: Fleet) -> bool:
    """Return whether a hub of this leaf can relay updates, or there is no hub.

    Without such a hub the leaf must not wait for the longer limit of leaves: endpoints
    that leave meanwhile would receive requests for longer than allowed.
    """
    hubs = fleet.local_hubs()
    return not hubs or any(can_relay_updates(fleet, hub.router) for hub in hubs)


def _jitter_fraction(own: Member) -> float:
    """Return a number from 0 to 1, derived from the name of the router."""
    return xxhash.xxh3_64_intdigest(own.router.encode()) / 2**64
