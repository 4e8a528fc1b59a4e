"""Persists verdicts on contents in the store, so that they survive all routers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.protocol.sources import QuarantineRecord, SourceError
from carawayfold.state.quarantine import RETENTION_DURATION, Entry, Level

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from carawayfold.protocol.sources import VerdictStore
    from carawayfold.state.ids import ContentId
    from carawayfold.state.quarantine import Quarantine

logger = logbook.Logger(__name__)


class VerdictRecorder:
    """Writes the verdicts that this router is responsible for to the store.

    Parameters
    ----------
    records : VerdictStore
        The store.
    quarantine : Quarantine
        The verdicts known to this router.
    is_responsible : callable
        Returns whether this router is responsible for a content; only the
        responsible router writes its verdict.
    spawn : callable
        Runs a coroutine as a task.
    """

    def __init__(
        self,
        records: VerdictStore,
        quarantine: Quarantine,
        is_responsible: Callable[[ContentId], bool],
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self.records = records
        self.quarantine = quarantine
        self.is_responsible = is_responsible
        self.spawn = spawn
        self.loop = asyncio.get_running_loop()
        #: Stamps of the verdicts that the store holds or that are being written.
        self.stored_stamps: dict[ContentId, int] = {}

    def read(self, records: Iterable[QuarantineRecord]) -> list[Entry]:
        """Record what the store holds; return the verdicts that have not expired."""
        now, wall = self.loop.time(), time.time()
        entries = []
        # Verdicts missing from a store that was restored from a backup are rewritten.
        self.stored_stamps.clear()
        for record in records:
            self.stored_stamps[record.content] = record.stamp
            held = now + record.held_until - wall
            entry = Entry(
                record.content,
                record.organisation,
                Level.QUARANTINED,
                record.stamp,
                now + record.since - wall,
                held,
                held + RETENTION_DURATION,
                record.endpoints,
            )
            if entry.expires_at > now:
                entries.append(entry)
        return entries

    def forget(self) -> None:
        """Drop the stamps of contents that are no longer known."""
        for content in self.stored_stamps.keys() - self.quarantine.entries.keys():
            del self.stored_stamps[content]

    def write_missing(self) -> None:
        """Write verdicts that the store lacks and this router is responsible for."""
        for entry in self.quarantine.entries.values():
            stored = self.stored_stamps.get(entry.content)
            lasting = entry.level is Level.QUARANTINED or stored is not None
            if stored == entry.stamp or not lasting:
                continue
            if self.is_responsible(entry.content):
                self.stored_stamps[entry.content] = entry.stamp
                self.spawn(self._write(entry))

    async def _write(self, entry: Entry) -> None:
        """Retry writing a verdict until the store has it or a newer one replaces it."""
        backoff = Backoff()
        while self.quarantine.get(entry.content) is entry:
            try:
                if entry.level.is_clear:
                    await self.records.delete_verdict(entry.content)
                else:
                    await self.records.store_verdict(self._to_record(entry))
            except SourceError as error:
                extra = {"content": entry.content, "reason": str(error)}
                logger.info(
                    "writing a verdict to the store failed; retrying", extra=extra
                )
                await backoff.wait()
            else:
                return

    def _to_record(self, entry: Entry) -> QuarantineRecord:
        now = self.loop.time()
        return QuarantineRecord(
            entry.content,
            entry.organisation,
            entry.stamp,
            time.time() + entry.since - now,
            time.time() + entry.held_until - now,
            entry.endpoints,
        )
