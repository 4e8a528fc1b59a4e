"""Writes this router's entry to the store and looks for the others' entries."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.protocol.sources import PeerEntry, QuarantineRecord, SourceError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.protocol.sources import PeerDirectory

logger = logbook.Logger(__name__)

#: Seconds between looks at the routers' entries. A router that starts writes its own
#: entry before it reads, and calls all others, so two that start together find each
#: other by the later one's read; the looks are for what was lost on the way.
DIRECTORY_INTERVAL = 15.0
#: The same for each known router, so that the calls of a large fleet add up to no
#: more than one a second.
DIRECTORY_INTERVAL_PER_ROUTER = 1.0


#: Seconds for which what a router wrote may be missing from a copy of the store; what
#: is missing for longer is found when the entries are looked at.
COPY_AGE = 60.0
#: Seconds over which the routers of a fleet spread what they write again.
COPY_SPREAD = 1.0


async def join(
    directory: PeerDirectory,
    entry: PeerEntry,
    fleet: Fleet,
    take_records: Callable[[list[QuarantineRecord]], None],
    copied: asyncio.Event,
) -> None:
    """Write this router's entry, then look for others for ever.

    Parameters
    ----------
    take_records : callable
        Takes the refused contents that stand beside the entries.
    copied : asyncio.Event
        Set whenever the store has come back from a copy.
    """
    loop = asyncio.get_running_loop()
    await _announce(directory, entry)
    announced_at = loop.time()
    backoff = Backoff()
    while True:
        try:
            page = await directory.newest()
        except SourceError as error:
            logger.debug("routers not read", extra={"reason": str(error)})
            await backoff.wait()
            continue
        backoff.reset()
        entries = [item for item in page.items if isinstance(item, PeerEntry)]
        fleet.learn(entries)
        take_records([x for x in page.items if isinstance(x, QuarantineRecord)])
        fleet.listed.set()
        if entry not in entries:
            await _announce(directory, entry)
            announced_at = loop.time()
        pause = DIRECTORY_INTERVAL_PER_ROUTER * len(fleet.addresses)
        due = loop.time() + max(DIRECTORY_INTERVAL, pause)
        while await _is_copied(copied, due):
            if loop.time() - announced_at < COPY_AGE:
                await asyncio.sleep(random.uniform(0, COPY_SPREAD))
                await _announce(directory, entry)
                announced_at = loop.time()


async def _is_copied(copied: asyncio.Event, due: float) -> bool:
    """Wait until the store has come back from a copy; return whether before `due`."""
    try:
        async with asyncio.timeout_at(due):
            await copied.wait()
    except TimeoutError:
        return False
    copied.clear()
    return True


async def _announce(directory: PeerDirectory, entry: PeerEntry) -> None:
    backoff = Backoff()
    while True:
        try:
            await directory.announce(entry)
        except SourceError as error:
            logger.debug("not announced yet", extra={"reason": str(error)})
            await backoff.wait()
        else:
            return
