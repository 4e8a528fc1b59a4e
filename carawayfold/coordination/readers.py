"""Which routers read the store for the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.membership import rank

if TYPE_CHECKING:
    from carawayfold.coordination.fleet import Fleet

#: Routers of a data centre that look after reading the store for the others once
#: there are more than `ALL_READ` routers: the first reads, the next one stands by.
#: While one that is lost is being replaced, the hubs of other data centres tell what
#: theirs have read. At their start all of them read.
READERS = 2
#: Routers up to which each one reads the store for itself.
ALL_READ = 12
#: Milliseconds since the store answered a reader, after which the others read for
#: themselves: a read that waits, and the time until it is given up.
READER_STALE_MS = 3500


def is_reader(fleet: Fleet) -> bool:
    """Return whether this router should read the store.

    In a large fleet the first hub of each data centre by rendezvous hashing reads for
    the others, who follow it by its heartbeats. One before whom all readers have lost
    the store reads for itself.
    """
    if fleet.size <= ALL_READ:
        return True
    near = [item for item in fleet.near(fleet.own.data_centre) if item.hub]
    readers = [item.router for item in rank("store", near)[:READERS]]
    if fleet.own.router in readers:
        readers = readers[: readers.index(fleet.own.router)]
        if not readers:
            return True
    ages = [fleet.beats[name].store_age for name in readers if name in fleet.beats]
    return not ages or min(ages) > READER_STALE_MS
