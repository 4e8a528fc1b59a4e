"""Claims idempotency keys on the platform's log, in batches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol.log_service import RETRY_DELAY, PlatformError
from carawayfold.state.claims import (
    AnswerStore,
    Batch,
    Claim,
    ClaimEnd,
    ClaimId,
    ClaimRecord,
    ClaimTable,
    EndRecord,
    batch_decoder,
    batch_encoder,
)

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.protocol.log_service import LogClient, LogRecord

logger = logbook.Logger(__name__)

#: Seconds that a request waits for the log to decide its claim.
CLAIM_TIMEOUT = 3.0
#: Least seconds between two appends by one router.
MIN_APPEND_INTERVAL = 0.02
#: Appends a second that all routers of the fleet together may make for claims.
MAX_FLEET_APPENDS_PER_SECOND = 300.0
#: Seconds for which the end of a claim waits to be appended in one batch with others.
END_BATCH_DELAY = 0.5
#: Seconds after winning a claim within which its request must be sent. A router whose
#: process was suspended for longer releases the claim instead.
MAX_SEND_DELAY = 30.0
#: Bytes of answers that are stored for retries.
MAX_STORED_ANSWER_BYTES = 8 << 20


class OwnClaim(msgspec.Struct, eq=False):
    """A claim made by this router.

    Attributes
    ----------
    digest : bytes
        Digest of the organisation and its key.
    identity : ClaimId
        Incarnation of this router, and a sequence number.
    fingerprint : bytes
        Fingerprint of the request.
    holder : asyncio.Future of Claim
        Resolved with the claim that holds the key: this one or an earlier one.
    won_at : float
        Loop time at which it was won; 0 before.
    appended : bool
        Whether an append with it is in flight or has succeeded.
    """

    digest: bytes
    identity: ClaimId
    fingerprint: bytes
    holder: asyncio.Future[Claim]
    won_at: float = 0.0
    appended: bool = False


class Pending(msgspec.Struct):
    """Records for the next append."""

    claims: dict[int, OwnClaim] = msgspec.field(default_factory=dict)
    ends: list[EndRecord] = msgspec.field(default_factory=list)


class Claims:
    """Makes this router's claims, and applies the log's claims in order.

    Parameters
    ----------
    log : LogClient
        Client of the log that holds the claims.
    own : Member
        This router.
    retention : float
        Seconds for which a key stays claimed.

    Attributes
    ----------
    claim_table : ClaimTable
        The claims in the part of the log that has been read.
    answers : AnswerStore
        Stored answers to requests of this router, by digest.
    caught_up : bool
        Whether the log has been read to its end once.
    append_interval : float
        Least seconds between two appends by this router.
    position : int
        Offset of the next record to read.
    sequence : int
        Sequence number of the last claim made.
    ends : list of EndRecord
        Ends of claims that are not appended yet.
    append_needed : asyncio.Event
        Set when there are records to append.
    """

    def __init__(self, log: LogClient, own: Member, retention: float) -> None:
        self.log = log
        self.own = own
        self.claim_table = ClaimTable(retention)
        self.answers = AnswerStore(MAX_STORED_ANSWER_BYTES)
        self.caught_up = False
        self.append_interval = MIN_APPEND_INTERVAL
        self.position = 0
        self.sequence = 0
        #: Claims that the log has not decided yet, by sequence number.
        self.open: dict[int, OwnClaim] = {}
        #: Claims won whose requests have not ended yet, by digest.
        self.running: dict[bytes, OwnClaim] = {}
        self.ends: list[EndRecord] = []
        self.append_needed = asyncio.Event()

    # Making claims

    def find(self, digest: bytes) -> Claim | None:
        """Return the claim that holds a key, None if the log read so far has none."""
        return self.claim_table.find(digest, asyncio.get_running_loop().time())

    async def claim(
        self, digest: bytes, fingerprint: bytes, timeout: float
    ) -> OwnClaim | Claim:
        """Claim a key.

        Parameters
        ----------
        digest : bytes
            Digest of the organisation and its key.
        fingerprint : bytes
            Fingerprint of the request.
        timeout : float
            Seconds left for the request.

        Returns
        -------
        OwnClaim or Claim
            The claim of this router if it won, else the claim that holds the key.

        Raises
        ------
        Refusal
            ``log-unavailable`` if the log did not decide the claim in time; the request
            did not run, and its claim is released if it is won later.
        """
        if not self.caught_up:
            raise Refusal(ErrorKind.LOG_UNAVAILABLE, "claims are not known yet")
        self.sequence += 1
        holder = asyncio.get_running_loop().create_future()
        identity = ClaimId(self.own.incarnation, self.sequence)
        claim = OwnClaim(digest, identity, fingerprint, holder)
        self.open[self.sequence] = claim
        self.append_needed.set()
        try:
            async with asyncio.timeout(min(timeout, CLAIM_TIMEOUT)):
                held = await holder
        except TimeoutError:
            raise Refusal(
                ErrorKind.LOG_UNAVAILABLE, "the log gave no verdict in time"
            ) from None
        finally:
            self._close(claim)
        return claim if held.owner == identity else held

    def _close(self, claim: OwnClaim) -> None:
        """Remove an open claim, and record it as running if it was won.

        A claim that timed out is released once it is read from the log.
        """
        self.open.pop(claim.identity.sequence, None)
        if not claim.holder.done() or claim.holder.cancelled():
            return
        if claim.holder.result().owner == claim.identity:
            claim.won_at = asyncio.get_running_loop().time()
            self.running[claim.digest] = claim

    def may_send(self, claim: OwnClaim) -> bool:
        """Return whether the request of a won claim may still be sent."""
        now = asyncio.get_running_loop().time()
        return now - claim.won_at < MAX_SEND_DELAY

    def end(self, claim: OwnClaim, end: ClaimEnd) -> None:
        """Queue the end of a won claim for the next batch."""
        self.running.pop(claim.digest, None)
        held = self.claim_table.claims.get(claim.digest)
        if held is not None and held.owner == claim.identity:
            held.end = end
        self._queue_end(claim.digest, claim.identity, end)

    def _queue_end(self, digest: bytes, identity: ClaimId, end: ClaimEnd) -> None:
        self.ends.append(EndRecord(digest, identity.sequence, end))
        loop = asyncio.get_running_loop()
        delay = 0.0 if end is ClaimEnd.RELEASED else END_BATCH_DELAY
        loop.call_later(delay, self.append_needed.set)

    async def append(self) -> None:
        """Append batches one at a time until cancelled."""
        while True:
            await self.append_needed.wait()
            self.append_needed.clear()
            if not self.open and not self.ends:
                continue
            try:
                await self._append_batch()
            except PlatformError as error:
                # The log may hold the batch nevertheless. Appending it again is
                # idempotent, since the claims keep their identities.
                logger.info(
                    "append of claims not confirmed; retrying",
                    extra={"reason": str(error)},
                )
                self.append_needed.set()
                await asyncio.sleep(RETRY_DELAY)
            await asyncio.sleep(self.append_interval)

    def limit_append_rate(self, routers: int) -> None:
        """Set the append interval so that `routers` routers keep the fleet's limit."""
        self.append_interval = max(
            MIN_APPEND_INTERVAL, routers / MAX_FLEET_APPENDS_PER_SECOND
        )

    async def _append_batch(self) -> None:
        claims = [claim for claim in self.open.values() if not claim.holder.done()]
        ends, self.ends = self.ends, []
        unappended = [claim for claim in claims if not claim.appended]
        if not unappended and not ends:
            return
        for claim in unappended:
            claim.appended = True
        records = [
            ClaimRecord(claim.digest, claim.identity.sequence, claim.fingerprint)
            for claim in unappended
        ]
        batch = Batch(self.own.router, self.own.incarnation, records, ends)
        try:
            await self.log.append(batch_encoder.encode(batch))
        except PlatformError:
            for claim in unappended:
                claim.appended = False
            self.ends = ends + self.ends
            raise

    # Reading the log

    async def step(self) -> None:
        """Read one page of the log and apply its records."""
        page = await self.log.read(self.position)
        # Trimmed records are older than the log's retention: their keys have expired.
        self.position = max(self.position, page.first)
        for record in page.records:
            self._apply_record(record)
            self.position = record.offset + 1
        if self.position >= page.next:
            self.caught_up = True

    def _apply_record(self, item: LogRecord) -> None:
        try:
            batch = batch_decoder.decode(item.data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            logger.warning(
                "invalid claims record skipped",
                extra={"offset": item.offset, "reason": str(error)},
            )
            return
        now = asyncio.get_running_loop().time()
        decisions = zip(batch.claims, self.claim_table.apply(batch, now), strict=True)
        for record, (identity, held) in decisions:
            if identity.incarnation != self.own.incarnation:
                continue
            claim = self.open.get(identity.sequence)
            if claim is None:
                self._release_abandoned(record, identity, held)
            elif not claim.holder.done():
                claim.holder.set_result(held)

    def _release_abandoned(
        self, record: ClaimRecord, identity: ClaimId, held: Claim
    ) -> None:
        """Release a claim that was won after its request had been refused."""
        running = self.running.get(record.digest)
        if running is not None and running.identity == identity:
            return
        if held.owner == identity and held.end is None:
            self._queue_end(record.digest, identity, ClaimEnd.RELEASED)
