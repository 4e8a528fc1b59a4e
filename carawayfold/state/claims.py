"""Claims of idempotency keys, in the order of the platform's log.

The first claim of a key on the log holds it. Only its owner can release a claim, and
never sends the request after that.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Length in bytes of the digest of an organisation's key.
DIGEST_SIZE = 16


class ClaimEnd(Enum):
    """How a claim ended, as its owner recorded it on the log.

    Attributes
    ----------
    RAN
        The request ran.
    UNKNOWN
        Whether the request ran is not known.
    RELEASED
        The request was not sent; the key may be claimed again.
    """

    RAN = 1
    UNKNOWN = 2
    RELEASED = 3


class ClaimId(msgspec.Struct, frozen=True, array_like=True):
    """Identifier of a claim: a process and its sequence number of the claim.

    Attributes
    ----------
    incarnation : int
        Incarnation of the router, which changes with each start.
    sequence : int
        Number of the claim within the process.
    """

    incarnation: int
    sequence: int


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim in a batch.

    Attributes
    ----------
    digest : bytes
        Digest of the key, as `key_digest` returns it.
    sequence : int
        Number of the claim within the process.
    fingerprint : bytes
        Digest of the request, to detect another request with the same key.
    """

    digest: bytes
    sequence: int
    fingerprint: bytes


class EndRecord(msgspec.Struct, frozen=True, array_like=True):
    """The end of one claim in a batch.

    Attributes
    ----------
    digest : bytes
        Digest of the key.
    sequence : int
        Number of the claim within the process.
    end : ClaimEnd
        How it ended.
    """

    digest: bytes
    sequence: int
    end: ClaimEnd


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record of the claims stream: all that one router appends at once.

    Attributes
    ----------
    router : str
        Name of the router.
    incarnation : int
        Incarnation of the router, which changes with each start.
    claims : list of ClaimRecord
        New claims.
    ends : list of EndRecord
        Ends of claims, applied before `claims`.
    """

    router: str
    incarnation: int
    claims: list[ClaimRecord]
    ends: list[EndRecord]


class Claim(msgspec.Struct):
    """The claim that holds a key.

    Attributes
    ----------
    owner : ClaimId
        Identifier of the claim.
    router : str
        Name of the router that made it.
    fingerprint : bytes
        Digest of the request.
    seen : float
        Monotonic seconds of this router at which the claim was read.
    end : ClaimEnd or None
        How it ended; None until the end is read.
    """

    owner: ClaimId
    router: str
    fingerprint: bytes
    seen: float
    end: ClaimEnd | None = None


batch_encoder = msgspec.msgpack.Encoder()
batch_decoder = msgspec.msgpack.Decoder(Batch)


def key_digest(organisation: str, key: str) -> bytes:
    """Return the digest by which an organisation's idempotency key is claimed."""
    text = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_SIZE).digest()


class ClaimTable:
    """Claims that hold a key, oldest first.

    Parameters
    ----------
    retention_duration : float
        Seconds for which a claim holds its key.
    """

    def __init__(self, retention_duration: float) -> None:
        self.retention_duration = retention_duration
        self.claims: dict[bytes, Claim] = {}

    def find(self, digest: bytes, now: float) -> Claim | None:
        """Return the claim that holds a key, None if there is none."""
        claim = self.claims.get(digest)
        if claim is None or now - claim.seen > self.retention_duration:
            return None
        return claim

    def apply(self, batch: Batch, now: float) -> Iterator[tuple[ClaimId, Claim]]:
        """Apply a batch and yield each of its claims with the claim that holds the key.

        Parameters
        ----------
        batch : Batch
            The batch, in the order of the log.
        now : float
            Monotonic seconds.
        """
        self._expire(now)
        for end in batch.ends:
            self._end(batch, end)
        for record in batch.claims:
            identity = ClaimId(batch.incarnation, record.sequence)
            held = self.find(record.digest, now)
            if held is None:
                held = Claim(identity, batch.router, record.fingerprint, now)
                self.claims[record.digest] = held
            yield identity, held

    def _end(self, batch: Batch, end: EndRecord) -> None:
        claim = self.claims.get(end.digest)
        identity = ClaimId(batch.incarnation, end.sequence)
        if claim is None or claim.owner != identity:
            return
        claim.end = end.end
        if end.end is ClaimEnd.RELEASED:
            del self.claims[end.digest]

    def _expire(self, now: float) -> None:
        while self.claims:
            digest, claim = next(iter(self.claims.items()))
            if now - claim.seen <= self.retention_duration:
                return
            del self.claims[digest]


class StoredAnswer(msgspec.Struct):
    """The answer to a request that ran, returned to retries with its key."""

    status: int
    headers: dict[str, str]
    body: bytes


class AnswerStore:
    """Answers to requests that this router ran, within a memory limit.

    Parameters
    ----------
    limit : int
        Most bytes of all bodies together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.answers: dict[bytes, StoredAnswer] = {}

    def put(self, digest: bytes, answer: StoredAnswer) -> None:
        """Store an answer and evict the oldest ones beyond the limit.

        An answer larger than the limit is not stored.
        """
        if len(answer.body) > self.limit:
            return
        self.answers[digest] = answer
        self.size += len(answer.body)
        while self.size > self.limit:
            oldest = next(iter(self.answers))
            self.size -= len(self.answers.pop(oldest).body)
