"""Claiming idempotency keys on the platform's log, many in one append."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol.log_service import RETRY_WAIT, PlatformError
from carawayfold.state.claims import (
    AnswerStore,
    Batch,
    Claim,
    ClaimBook,
    ClaimEnd,
    ClaimId,
    ClaimRecord,
    EndRecord,
    batch_decoder,
    batch_encoder,
)

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.protocol.log_service import LogClient, LogRecord

logger = logbook.Logger(__name__)

#: Seconds that a claim waits for its verdict.
CLAIM_TIMEOUT = 3.0
#: Least seconds between two appends of one router.
APPEND_GAP = 0.02
#: Appends a second that the claims of the whole fleet may make at most.
APPENDS_BUDGET = 300.0
#: Seconds for which the end of a claim waits for company.
END_DELAY = 0.5
#: Seconds after winning within which a request must be sent: a router that was
#: paused for longer gives the claim back instead.
SEND_WITHIN = 30.0
#: Bytes of answers kept for repeats.
ANSWERS_LIMIT = 8 << 20


class OwnClaim(msgspec.Struct, eq=False):
    """A claim that this router has made.

    Attributes
    ----------
    verdict : asyncio.Future of Claim
        Resolved with the claim that holds the key.
    won_at : float
        Loop time at which it was won; 0 before.
    """

    digest: bytes
    identity: ClaimId
    fingerprint: bytes
    verdict: asyncio.Future[Claim]
    won_at: float = 0.0
    appended: bool = False


class Pending(msgspec.Struct):
    """What the next append will carry."""

    claims: dict[int, OwnClaim] = msgspec.field(default_factory=dict)
    ends: list[EndRecord] = msgspec.field(default_factory=list)


class Claims:
    """Follows the claims stream and makes this router's claims.

    Parameters
    ----------
    log : LogClient
        The stream.
    own : Member
        This router.
    lifetime : float
        Seconds for which a key is remembered.

    Attributes
    ----------
    caught_up : bool
        Whether every claim on the log has been read.
    append_gap : float
        Least seconds between two appends here.
    """

    def __init__(self, log: LogClient, own: Member, lifetime: float) -> None:
        self.log = log
        self.own = own
        self.book = ClaimBook(lifetime)
        self.answers = AnswerStore(ANSWERS_LIMIT)
        self.caught_up = False
        self.append_gap = APPEND_GAP
        self.position = 0
        self.sequence = 0
        #: Claims without a verdict yet, by sequence.
        self.open: dict[int, OwnClaim] = {}
        #: Claims won, not ended yet, by digest.
        self.running: dict[bytes, OwnClaim] = {}
        self.ends: list[EndRecord] = []
        self.work = asyncio.Event()

    # Making claims

    def find(self, digest: bytes) -> Claim | None:
        """Return the claim that holds a key, as far as the log has been read."""
        return self.book.find(digest, asyncio.get_running_loop().time())

    async def claim(
        self, digest: bytes, fingerprint: bytes, timeout: float
    ) -> OwnClaim | Claim:
        """Claim a key.

        Parameters
        ----------
        digest : bytes
            Of the organisation's key.
        fingerprint : bytes
            Of the request.
        timeout : float
            Seconds left for the request.

        Returns
        -------
        OwnClaim or Claim
            The own claim if it won, else the claim that holds the key.

        Raises
        ------
        Refusal
            ``log-unavailable`` where no verdict could be had; the request did
            not run and never will.
        """
        if not self.caught_up:
            raise Refusal(ErrorKind.LOG_UNAVAILABLE, "claims are not known yet")
        self.sequence += 1
        verdict = asyncio.get_running_loop().create_future()
        identity = ClaimId(self.own.incarnation, self.sequence)
        claim = OwnClaim(digest, identity, fingerprint, verdict)
        self.open[self.sequence] = claim
        self.work.set()
        try:
            async with asyncio.timeout(min(timeout, CLAIM_TIMEOUT)):
                held = await verdict
        except TimeoutError:
            raise Refusal(
                ErrorKind.LOG_UNAVAILABLE, "the log gave no verdict in time"
            ) from None
        finally:
            self._settle(claim)
        return claim if held.owner == identity else held

    def _settle(self, claim: OwnClaim) -> None:
        """Close an open claim; one given up is released if it is ever read."""
        self.open.pop(claim.identity.sequence, None)
        if not claim.verdict.done() or claim.verdict.cancelled():
            return
        if claim.verdict.result().owner == claim.identity:
            claim.won_at = asyncio.get_running_loop().time()
            self.running[claim.digest] = claim

    def may_send(self, claim: OwnClaim) -> bool:
        """Return whether a won claim still gives the right to send."""
        now = asyncio.get_running_loop().time()
        return now - claim.won_at < SEND_WITHIN

    def end(self, claim: OwnClaim, end: ClaimEnd) -> None:
        """Put the end of a won claim on the log, soon."""
        self.running.pop(claim.digest, None)
        held = self.book.claims.get(claim.digest)
        if held is not None and held.owner == claim.identity:
            held.end = end
        self._end_later(claim.digest, claim.identity, end)

    def _end_later(self, digest: bytes, identity: ClaimId, end: ClaimEnd) -> None:
        self.ends.append(EndRecord(digest, identity.sequence, end))
        loop = asyncio.get_running_loop()
        delay = 0.0 if end is ClaimEnd.RELEASED else END_DELAY
        loop.call_later(delay, self.work.set)

    async def append(self) -> None:
        """Append batches for ever, one at a time."""
        while True:
            await self.work.wait()
            self.work.clear()
            if not self.open and not self.ends:
                continue
            try:
                await self._append_batch()
            except PlatformError as error:
                # It may stand on the log all the same; appending it again is
                # idempotent, since the claims keep their identities.
                logger.info("claims not confirmed", extra={"reason": str(error)})
                self.work.set()
                await asyncio.sleep(RETRY_WAIT)
            await asyncio.sleep(self.append_gap)

    def share_budget(self, routers: int) -> None:
        """Wait longer between appends, the more routers share the budget."""
        self.append_gap = max(APPEND_GAP, routers / APPENDS_BUDGET)

    async def _append_batch(self) -> None:
        claims = [claim for claim in self.open.values() if not claim.verdict.done()]
        ends, self.ends = self.ends, []
        fresh = [claim for claim in claims if not claim.appended]
        if not fresh and not ends:
            return
        for claim in fresh:
            claim.appended = True
        records = [
            ClaimRecord(claim.digest, claim.identity.sequence, claim.fingerprint)
            for claim in fresh
        ]
        batch = Batch(self.own.router, self.own.incarnation, records, ends)
        try:
            await self.log.append(batch_encoder.encode(batch))
        except PlatformError:
            for claim in fresh:
                claim.appended = False
            self.ends = ends + self.ends
            raise

    # Following the stream

    async def step(self) -> None:
        """Read one page and apply it."""
        page = await self.log.read(self.position)
        # Trimmed claims are older than the log's retention: forgotten keys.
        self.position = max(self.position, page.first)
        for record in page.records:
            self._take(record)
            self.position = record.offset + 1
        if self.position >= page.next:
            self.caught_up = True

    def _take(self, item: LogRecord) -> None:
        try:
            batch = batch_decoder.decode(item.data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            logger.warning(
                "invalid record", extra={"offset": item.offset, "reason": str(error)}
            )
            return
        now = asyncio.get_running_loop().time()
        verdicts = zip(batch.claims, self.book.apply(batch, now), strict=True)
        for record, (identity, held) in verdicts:
            if identity.incarnation != self.own.incarnation:
                continue
            claim = self.open.get(identity.sequence)
            if claim is None:
                self._release_abandoned(record, identity, held)
            elif not claim.verdict.done():
                claim.verdict.set_result(held)

    def _release_abandoned(
        self, record: ClaimRecord, identity: ClaimId, held: Claim
    ) -> None:
        """Release a claim that won after its request had been refused."""
        running = self.running.get(record.digest)
        if running is not None and running.identity == identity:
            return
        if held.owner == identity and held.end is None:
            self._end_later(record.digest, identity, ClaimEnd.RELEASED)
