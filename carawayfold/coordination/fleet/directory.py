"""Registers this router in the store and reads the entries of the others."""

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

#: Seconds between reads of the routers' entries. A router that starts writes its own
#: entry before it reads the others and sends them a heartbeat, so of two routers that
#: start together, the later reader finds the entry of the other. The periodic reads
#: make up for lost datagrams.
DIRECTORY_INTERVAL = 15.0
#: Seconds between reads for each known router: the fleet as a whole reads the entries
#: at most once a second.
DIRECTORY_INTERVAL_PER_ROUTER = 1.0

#: Seconds for which an entry may be missing from a restored copy of the store; an older
#: entry that is missing is detected by the periodic read.
MAX_COPY_AGE = 60.0
#: Seconds over which the routers of a fleet spread the writes after a restore.
COPY_JITTER = 1.0


async def join(
    directory: PeerDirectory,
    entry: PeerEntry,
    fleet: Fleet,
    on_quarantine_records: Callable[[list[QuarantineRecord]], None],
    store_restored: asyncio.Event,
) -> None:
    """Write this router's entry, then read the others' entries until cancelled.

    Parameters
    ----------
    directory : PeerDirectory
        The entries in the store.
    entry : PeerEntry
        This router's entry; written again when a read does not contain it.
    fleet : Fleet
        Receives the entries that were read.
    on_quarantine_records : callable
        Receives the quarantine records that are stored beside the entries.
    store_restored : asyncio.Event
        Set whenever the store was restored from a copy.
    """
    loop = asyncio.get_running_loop()
    await _announce(directory, entry)
    announced_at = loop.time()
    backoff = Backoff()
    while True:
        try:
            page = await directory.newest()
        except SourceError as error:
            logger.debug("router entries not read", extra={"reason": str(error)})
            await backoff.wait()
            continue
        backoff.reset()
        entries = [item for item in page.items if isinstance(item, PeerEntry)]
        fleet.add_entries(entries)
        on_quarantine_records(
            [x for x in page.items if isinstance(x, QuarantineRecord)]
        )
        fleet.listed.set()
        if entry not in entries:
            await _announce(directory, entry)
            announced_at = loop.time()
        pause = DIRECTORY_INTERVAL_PER_ROUTER * len(fleet.addresses)
        next_read_at = loop.time() + max(DIRECTORY_INTERVAL, pause)
        while await _is_store_restored(store_restored, next_read_at):
            if loop.time() - announced_at < MAX_COPY_AGE:
                await asyncio.sleep(random.uniform(0, COPY_JITTER))
                await _announce(directory, entry)
                announced_at = loop.time()


async def _is_store_restored(
    store_restored: asyncio.Event, next_read_at: float
) -> bool:
    """Wait for a restore of the store; return whether one came before the next read."""
    try:
        async with asyncio.timeout_at(next_read_at):
            await store_restored.wait()
    except TimeoutError:
        return False
    store_restored.clear()
    return True


async def _announce(directory: PeerDirectory, entry: PeerEntry) -> None:
    """Write this router's entry, with retries until it succeeds."""
    backoff = Backoff()
    while True:
        try:
            await directory.announce(entry)
        except SourceError as error:
            logger.debug("router entry not written yet", extra={"reason": str(error)})
            await backoff.wait()
        else:
            return
