"""Follows the configuration on the platform's log and writes checkpoints of it."""

from __future__ import annotations

import asyncio
import zlib
from enum import Enum
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.protocol.log_service import PlatformError
from carawayfold.state.configuration import (
    Change,
    Checkpoint,
    Outcome,
    Record,
    Snapshot,
    record_decoder,
    record_encoder,
    snapshot_decoder,
    snapshot_encoder,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.protocol.log_service import LogClient, LogPage, LogRecord

logger = logbook.Logger(__name__)

#: Records after which a checkpoint of the configuration is written.
CHECKPOINT_RECORD_INTERVAL = 200
#: Most bytes of one part of a checkpoint.
PART_SIZE_BYTES = 256 * 1024
#: Seconds that an operator's change waits for its outcome.
OUTCOME_TIMEOUT = 5.0


class ConfigState(Enum):
    """Whether the configuration is known."""

    UNKNOWN = "unknown"
    KNOWN = "known"


class ConfigFollower:
    """Applies the records of the configuration stream in order.

    Parameters
    ----------
    log : LogClient
        The stream.
    on_change : callable
        Called after records were applied.
    may_checkpoint : callable
        Returns whether this router writes checkpoints. If two routers do, they write
        equal copies of equal prefixes.
    checkpoint_interval : float
        Most seconds between checkpoints, so that the log always retains one.

    Attributes
    ----------
    snapshot : Snapshot
        The configuration in force at this router.
    state : ConfigState
        ``UNKNOWN`` until the configuration was read from the log or received from a
        peer.
    """

    def __init__(
        self,
        log: LogClient,
        on_change: Callable[[], None],
        may_checkpoint: Callable[[], bool],
        checkpoint_interval: float,
    ) -> None:
        self.log = log
        self.on_change = on_change
        self.may_checkpoint = may_checkpoint
        self.checkpoint_interval = checkpoint_interval
        self.snapshot = Snapshot()
        self.state = ConfigState.UNKNOWN
        #: Whether every record since the snapshot has been read.
        self.tracking = False
        #: Changes read while not tracking, by offset.
        self.pending_changes: dict[int, Change] = {}
        #: First offset of the records read without a gap; None before the first read.
        self.read_since: int | None = None
        self.parts: dict[int, dict[int, bytes]] = {}
        self.position = 0
        self.last_checkpoint = -1
        self.checkpoint_at = 0.0
        self.waiting: dict[str, list[asyncio.Future[Outcome]]] = {}

    async def step(self) -> None:
        """Read one page and apply it, then write a checkpoint if one is due.

        Raises
        ------
        PlatformError
            If the log does not answer.
        """
        page = await self.log.read(self.position)
        known = self.state
        self._handle_gap(page)
        for record in page.records:
            self._handle_record(record)
            self.position = record.offset + 1
        if page.records or self.state is not known:
            self.on_change()
        await self._checkpoint()

    def _handle_gap(self, page: LogPage) -> None:
        if page.first > self.position:
            # Records were trimmed before they were read: a later checkpoint has them.
            logger.notice("records were trimmed before they were read")
            self.position = page.first
            self.read_since = page.first
            self.tracking = False
        elif self.read_since is None:
            self.read_since = self.position
            # From its first record on, the stream needs no checkpoint.
            self.tracking = True
            self.state = ConfigState.KNOWN

    def _handle_record(self, record: LogRecord) -> None:
        try:
            item = record_decoder.decode(record.data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            logger.warning(
                "invalid record on the configuration stream",
                extra={"offset": record.offset, "reason": str(error)},
            )
        else:
            self._handle_item(record.offset, item)
        if self.tracking:
            self.snapshot.through = max(self.snapshot.through, record.offset)

    def _handle_item(self, offset: int, item: Record) -> None:
        if isinstance(item, Checkpoint):
            self._handle_checkpoint(item)
        elif not self.tracking:
            self.pending_changes[offset] = item
        elif offset > self.snapshot.through:
            self._apply(offset, item)

    def _apply(self, offset: int, change: Change) -> None:
        self.snapshot.apply(offset, change)
        self._resolve_waiters(change.change_id)

    def _resolve_waiters(self, change_id: str) -> None:
        outcome = self.snapshot.outcomes.get(change_id)
        if outcome is None:
            return
        for waiter in self.waiting.pop(change_id, []):
            if not waiter.done():
                waiter.set_result(outcome)

    def _handle_checkpoint(self, item: Checkpoint) -> None:
        self._record_checkpoint(item.through)
        if item.through <= self.snapshot.through:
            return
        parts = self.parts.setdefault(item.through, {})
        parts[item.part] = item.payload
        if len(parts) < item.parts:
            return
        del self.parts[item.through]
        try:
            packed = b"".join(parts[index] for index in range(item.parts))
            snapshot = unpack(packed)
        except (KeyError, ValueError, zlib.error) as error:
            logger.warning("invalid checkpoint", extra={"reason": str(error)})
            return
        if self.read_since is None or self.read_since > snapshot.through + 1:
            # Changes between the checkpoint and the oldest retained record are missing.
            return
        self.adopt(snapshot)

    def _record_checkpoint(self, through: int) -> None:
        if through > self.last_checkpoint:
            self.last_checkpoint = through
            self.checkpoint_at = asyncio.get_running_loop().time()

    def adopt(self, snapshot: Snapshot) -> bool:
        """Put a snapshot from a checkpoint or a peer in force, if it is newer.

        Returns
        -------
        bool
            Whether it was put in force; an older one never is.
        """
        if snapshot.through <= self.snapshot.through:
            return False
        self.snapshot = snapshot
        self.state = ConfigState.KNOWN
        if self.read_since is None or self.read_since <= snapshot.through + 1:
            self._resume_tracking()
        for change_id in list(self.waiting):
            self._resolve_waiters(change_id)
        self.on_change()
        return True

    def _resume_tracking(self) -> None:
        pending_changes, self.pending_changes = self.pending_changes, {}
        for offset in sorted(pending_changes):
            if offset > self.snapshot.through:
                self._apply(offset, pending_changes[offset])
        self.tracking = True
        if self.read_since is None:
            self.read_since = self.snapshot.through + 1
        self.position = max(self.position, self.snapshot.through + 1)
        self.snapshot.through = self.position - 1

    async def _checkpoint(self) -> None:
        through = self.snapshot.through
        if not self.tracking or through < 0 or not self.may_checkpoint():
            return
        age = asyncio.get_running_loop().time() - self.checkpoint_at
        due_by_records = through - self.last_checkpoint >= CHECKPOINT_RECORD_INTERVAL
        if not due_by_records and age < self.checkpoint_interval:
            return
        packed = pack(self.snapshot)
        parts_data = [
            packed[start : start + PART_SIZE_BYTES]
            for start in range(0, len(packed), PART_SIZE_BYTES)
        ]
        for part, part_data in enumerate(parts_data):
            record = Checkpoint(through, part, len(parts_data), part_data)
            await self.log.append(record_encoder.encode(record))
        self._record_checkpoint(through)
        logger.info("checkpoint written", extra={"through": through})

    async def change(self, change: Change) -> Outcome | None:
        """Append an operator's change to the log and return its outcome.

        Parameters
        ----------
        change : Change
            The change. One that is retried with the same id gets the first outcome.

        Returns
        -------
        Outcome or None
            None if the outcome is not known within `OUTCOME_TIMEOUT`; the change is
            then retried with the same id.
        """
        known = self.snapshot.outcomes.get(change.change_id)
        if known is not None:
            return known
        pending_outcome = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(change.change_id, []).append(pending_outcome)
        try:
            await self.log.append(record_encoder.encode(change))
        except PlatformError:
            # The record may have been appended nevertheless; its outcome then arrives.
            logger.info(
                "append not acknowledged; waiting for the outcome",
                extra={"change": change.change_id},
            )
        try:
            return await asyncio.wait_for(pending_outcome, OUTCOME_TIMEOUT)
        except TimeoutError:
            return None
        finally:
            self._remove_waiter(change.change_id, pending_outcome)

    def _remove_waiter(
        self, change_id: str, pending_outcome: asyncio.Future[Outcome]
    ) -> None:
        waiters = self.waiting.get(change_id)
        if waiters is None:
            return
        if pending_outcome in waiters:
            waiters.remove(pending_outcome)
        if not waiters:
            del self.waiting[change_id]


def pack(snapshot: Snapshot) -> bytes:
    """Return `snapshot` encoded and compressed."""
    return zlib.compress(snapshot_encoder.encode(snapshot), level=6)


def unpack(packed: bytes) -> Snapshot:
    """Return the snapshot that `pack` encoded.

    Raises
    ------
    ValueError, zlib.error
        If `packed` is not an encoded snapshot.
    """
    return snapshot_decoder.decode(zlib.decompress(packed))
