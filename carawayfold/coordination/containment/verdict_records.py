"""Writes verdicts on contents to the store, where they outlast all routers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.protocol.sources import QuarantineRecord, SourceError
from carawayfold.state.quarantine import REMEMBERED_FOR, Entry, Level

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from carawayfold.protocol.sources import VerdictStore
    from carawayfold.state.ids import ContentId
    from carawayfold.state.quarantine import Quarantine

logger = logbook.Logger(__name__)


class VerdictRecorder:
    """Keeps the store's verdicts like those that this router is the home of.

    Parameters
    ----------
    records : VerdictStore
        The store.
    quarantine : Quarantine
        The verdicts known here.
    is_home : callable
        Returns whether this router looks after a content: one writes for all.
    spawn : callable
        Runs a coroutine as a task.
    """

    def __init__(
        self,
        records: VerdictStore,
        quarantine: Quarantine,
        is_home: Callable[[ContentId], bool],
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self.records = records
        self.quarantine = quarantine
        self.is_home = is_home
        self.spawn = spawn
        self.loop = asyncio.get_running_loop()
        #: Stamps of the verdicts that the store holds, or is being told.
        self.written: dict[ContentId, int] = {}

    def read(self, records: Iterable[QuarantineRecord]) -> list[Entry]:
        """Note what the store holds; return the verdicts that are not over."""
        now, wall = self.loop.time(), time.time()
        entries = []
        # What a store that came back from a copy has lost is written again.
        self.written.clear()
        for record in records:
            self.written[record.content] = record.stamp
            held = now + record.held_until - wall
            entry = Entry(
                record.content,
                record.organisation,
                Level.QUARANTINED,
                record.stamp,
                now + record.since - wall,
                held,
                held + REMEMBERED_FOR,
                record.endpoints,
            )
            if entry.forget_at > now:
                entries.append(entry)
        return entries

    def forget(self) -> None:
        """Forget what was written of contents that are no longer known."""
        for content in self.written.keys() - self.quarantine.entries.keys():
            del self.written[content]

    def write_missing(self) -> None:
        """Write the verdicts that the store lacks, where this router is the home."""
        for entry in self.quarantine.entries.values():
            stored = self.written.get(entry.content)
            lasting = entry.level is Level.QUARANTINED or stored is not None
            if stored == entry.stamp or not lasting:
                continue
            if self.is_home(entry.content):
                self.written[entry.content] = entry.stamp
                self.spawn(self._write(entry))

    async def _write(self, entry: Entry) -> None:
        """Write a verdict until the store has it or a newer one has been given."""
        backoff = Backoff()
        while self.quarantine.get(entry.content) is entry:
            try:
                if entry.level.is_clear:
                    await self.records.drop_verdict(entry.content)
                else:
                    await self.records.keep_verdict(self._record_of(entry))
            except SourceError as error:
                extra = {"content": entry.content, "reason": str(error)}
                logger.info("verdict not written yet", extra=extra)
                await backoff.wait()
            else:
                return

    def _record_of(self, entry: Entry) -> QuarantineRecord:
        now = self.loop.time()
        return QuarantineRecord(
            entry.content,
            entry.organisation,
            entry.stamp,
            time.time() + entry.since - now,
            time.time() + entry.held_until - now,
            entry.endpoints,
        )
