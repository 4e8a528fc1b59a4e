"""Claims of idempotency keys, as the platform's log orders them.

The first claim of a key on the log wins. A claim is given up only by a release of
its owner, who then never sends the request.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Bytes of the digest that stands for an organisation's key.
DIGEST_SIZE = 16


class ClaimEnd(Enum):
    """How a claim ended, as its owner put it on the log."""

    RAN = 1
    UNKNOWN = 2
    RELEASED = 3


class ClaimId(msgspec.Struct, frozen=True, array_like=True):
    """Which attempt of which process made a claim."""

    incarnation: int
    sequence: int


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim in a batch."""

    digest: bytes
    sequence: int
    fingerprint: bytes


class EndRecord(msgspec.Struct, frozen=True, array_like=True):
    """The end of one claim in a batch."""

    digest: bytes
    sequence: int
    end: ClaimEnd


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record of the claims stream: what one router appends at once."""

    router: str
    incarnation: int
    claims: list[ClaimRecord]
    ends: list[EndRecord]


class Claim(msgspec.Struct):
    """The claim that holds a key.

    Attributes
    ----------
    seen : float
        When it was read, in seconds of this router's monotonic clock.
    end : ClaimEnd or None
        How it ended; None while it runs, for all that is known.
    """

    owner: ClaimId
    router: str
    fingerprint: bytes
    seen: float
    end: ClaimEnd | None = None


batch_encoder = msgspec.msgpack.Encoder()
batch_decoder = msgspec.msgpack.Decoder(Batch)


def digest_of(organisation: str, key: str) -> bytes:
    """Return the digest under which an organisation's key is claimed."""
    text = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_SIZE).digest()


class ClaimBook:
    """Claims in force, oldest first.

    Parameters
    ----------
    lifetime : float
        Seconds for which a key is remembered.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.claims: dict[bytes, Claim] = {}

    def find(self, digest: bytes, now: float) -> Claim | None:
        """Return the claim that holds a key, if one does."""
        claim = self.claims.get(digest)
        if claim is None or now - claim.seen > self.lifetime:
            return None
        return claim

    def apply(self, batch: Batch, now: float) -> Iterator[tuple[ClaimId, Claim]]:
        """Apply a batch and yield each of its claims with the one that holds."""
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
            if now - claim.seen <= self.lifetime:
                return
            del self.claims[digest]


class StoredAnswer(msgspec.Struct):
    """The answer to a request that ran, kept for repeats of its key."""

    status: int
    headers: dict[str, str]
    body: bytes


class AnswerStore:
    """Answers of requests that ran here, within a bound of memory.

    Parameters
    ----------
    limit : int
        Most bytes of all bodies.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.answers: dict[bytes, StoredAnswer] = {}

    def put(self, digest: bytes, answer: StoredAnswer) -> None:
        """Keep an answer, dropping the oldest ones beyond the bound."""
        if len(answer.body) > self.limit:
            return
        self.answers[digest] = answer
        self.size += len(answer.body)
        while self.size > self.limit:
            oldest = next(iter(self.answers))
            self.size -= len(self.answers.pop(oldest).body)
