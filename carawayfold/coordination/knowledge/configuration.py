"""Following the configuration on the platform's log, and carrying it forward."""

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

#: Records after which the configuration is carried forward.
CHECKPOINT_EVERY = 200
#: Bytes of one part of a checkpoint.
PART_SIZE = 256 * 1024
#: Seconds that an operator's change waits for its verdict.
VERDICT_TIMEOUT = 5.0


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
        Returns whether this router is the one to write checkpoints. Two that
        both do write equal copies of equal prefixes.
    checkpoint_interval : float
        Most seconds between checkpoints, so that one is always kept.

    Attributes
    ----------
    snapshot : Snapshot
        What is in force here.
    state : ConfigState
        ``UNKNOWN`` until the log or a peer has said what is in force.
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
        #: Whether every record since the snapshot has been seen.
        self.tracking = False
        #: Changes read while not tracking, by offset.
        self.early: dict[int, Change] = {}
        #: First offset of the records read without a gap; None before the first.
        self.read_since: int | None = None
        self.parts: dict[int, dict[int, bytes]] = {}
        self.position = 0
        self.last_checkpoint = -1
        self.checkpoint_at = 0.0
        self.waiting: dict[str, list[asyncio.Future[Outcome]]] = {}

    async def step(self) -> None:
        """Read one page and apply it, then carry the configuration forward."""
        page = await self.log.read(self.position)
        known = self.state
        self._check_gap(page)
        for record in page.records:
            self._take(record)
            self.position = record.offset + 1
        if page.records or self.state is not known:
            self.on_change()
        await self._checkpoint()

    def _check_gap(self, page: LogPage) -> None:
        if page.first > self.position:
            # Records were trimmed before we read them: a checkpoint must follow.
            logger.notice("records were trimmed before they were read")
            self.position = page.first
            self.read_since = page.first
            self.tracking = False
        elif self.read_since is None:
            self.read_since = self.position
            # From its first record on, the stream needs no checkpoint.
            self.tracking = True
            self.state = ConfigState.KNOWN

    def _take(self, record: LogRecord) -> None:
        try:
            item = record_decoder.decode(record.data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            logger.warning(
                "invalid record", extra={"offset": record.offset, "reason": str(error)}
            )
        else:
            self._take_item(record.offset, item)
        if self.tracking:
            self.snapshot.through = max(self.snapshot.through, record.offset)

    def _take_item(self, offset: int, item: Record) -> None:
        if isinstance(item, Checkpoint):
            self._take_checkpoint(item)
        elif not self.tracking:
            self.early[offset] = item
        elif offset > self.snapshot.through:
            self._apply(offset, item)

    def _apply(self, offset: int, change: Change) -> None:
        self.snapshot.apply(offset, change)
        self._tell_waiting(change.change_id)

    def _tell_waiting(self, change_id: str) -> None:
        outcome = self.snapshot.outcomes.get(change_id)
        if outcome is None:
            return
        for waiter in self.waiting.pop(change_id, []):
            if not waiter.done():
                waiter.set_result(outcome)

    def _take_checkpoint(self, item: Checkpoint) -> None:
        self._note_checkpoint(item.through)
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
            # Changes between the copy and the oldest kept record are missing.
            return
        self.adopt(snapshot)

    def _note_checkpoint(self, through: int) -> None:
        if through > self.last_checkpoint:
            self.last_checkpoint = through
            self.checkpoint_at = asyncio.get_running_loop().time()

    def adopt(self, snapshot: Snapshot) -> bool:
        """Take a snapshot from a checkpoint or a peer, if it is newer.

        Returns
        -------
        bool
            Whether it was taken; an older one never is.
        """
        if snapshot.through <= self.snapshot.through:
            return False
        self.snapshot = snapshot
        self.state = ConfigState.KNOWN
        if self.read_since is None or self.read_since <= snapshot.through + 1:
            self._resume_tracking()
        for change_id in list(self.waiting):
            self._tell_waiting(change_id)
        self.on_change()
        return True

    def _resume_tracking(self) -> None:
        early, self.early = self.early, {}
        for offset in sorted(early):
            if offset > self.snapshot.through:
                self._apply(offset, early[offset])
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
        many = through - self.last_checkpoint >= CHECKPOINT_EVERY
        if not many and age < self.checkpoint_interval:
            return
        packed = pack(self.snapshot)
        pieces = [
            packed[start : start + PART_SIZE]
            for start in range(0, len(packed), PART_SIZE)
        ]
        for part, piece in enumerate(pieces):
            record = Checkpoint(through, part, len(pieces), piece)
            await self.log.append(record_encoder.encode(record))
        self._note_checkpoint(through)
        logger.info("checkpoint written", extra={"through": through})

    async def change(self, change: Change) -> Outcome | None:
        """Append an operator's change and return its verdict.

        Parameters
        ----------
        change : Change
            The change; a repeat with the same id gets the first verdict.

        Returns
        -------
        Outcome or None
            None where the verdict is not known yet: ask again with the same id.
        """
        known = self.snapshot.outcomes.get(change.change_id)
        if known is not None:
            return known
        verdict = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(change.change_id, []).append(verdict)
        try:
            await self.log.append(record_encoder.encode(change))
        except PlatformError:
            # It may stand on the log all the same: the verdict would tell.
            logger.info("append unanswered", extra={"change": change.change_id})
        try:
            return await asyncio.wait_for(verdict, VERDICT_TIMEOUT)
        except TimeoutError:
            return None
        finally:
            self._forget_waiter(change.change_id, verdict)

    def _forget_waiter(self, change_id: str, verdict: asyncio.Future[Outcome]) -> None:
        waiters = self.waiting.get(change_id)
        if waiters is None:
            return
        if verdict in waiters:
            waiters.remove(verdict)
        if not waiters:
            del self.waiting[change_id]


def pack(snapshot: Snapshot) -> bytes:
    """Return `snapshot` encoded and compressed."""
    return zlib.compress(snapshot_encoder.encode(snapshot), level=6)


def unpack(packed: bytes) -> Snapshot:
    """Return the snapshot that `pack` made.

    Raises
    ------
    ValueError, zlib.error
        If `packed` is not one.
    """
    return snapshot_decoder.decode(zlib.decompress(packed))
