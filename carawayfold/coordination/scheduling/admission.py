"""Admission control: rejection of requests before they are offered to a pool.

Organisations may send many times the capacity of a pool. Examining each request before
rejecting most of them takes more time than the leader of the pool has, so each of its
decisions states which fraction of the organisation's requests may be offered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from carawayfold.coordination.scheduling.offers import Rejected
from carawayfold.state.ids import OrganisationId, PoolId

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Decision, Offer
    from carawayfold.state.ids import CallId, RouterId

#: Seconds for which an admitted fraction is valid. If the leader fails, its last
#: values remain in use until its successor has examined the demand.
ADMISSION_DURATION = 2.0
#: Bounds of the retry delay of a throttled request, as multiples of the retry delay
#: in the last rejection of the leader, so that callers don't retry at the same time.
MIN_RETRY_FACTOR, MAX_RETRY_FACTOR = 0.75, 1.25
#: Reason of the rejection, reported to callers.
REJECTION_REASON = "its organisation asks for more than its share"


class AdmissionKey(NamedTuple):
    """Requests that are throttled together."""

    pool: PoolId
    organisation: OrganisationId
    priority: int


class AdmissionLimit(msgspec.Struct):
    """Limit that the leader of a pool has set for requests of one key.

    Attributes
    ----------
    admitted_fraction : float
        Fraction of the requests that may be offered, 0 to 1.
    retry_after : float
        Retry delay in seconds of the leader's last rejection.
    until : float
        Loop time until which the limit is valid.
    decider : RouterId
        Router that set it.
    throttled_tokens : int
        Tokens of throttled requests not yet reported to the leader.
    """

    admitted_fraction: float
    retry_after: float
    until: float
    decider: RouterId
    throttled_tokens: int = 0


class AdmissionControl:
    """Limits on the requests of organisations that may be offered to pools.

    Attributes
    ----------
    limits : dict
        Limit of each key.
    """

    def __init__(self) -> None:
        self.limits: dict[AdmissionKey, AdmissionLimit] = {}

    def record_decision(
        self,
        offer: Offer,
        pool: PoolId,
        decision: Decision,
        sender: RouterId,
        now: float,
    ) -> None:
        """Update the limit of an organisation from a decision of the pool's leader."""
        key = _key_of(offer, pool)
        limit = self.limits.get(key)
        if limit is None:
            if decision.admitted_fraction >= 1:
                return
            limit = self.limits[key] = AdmissionLimit(1.0, 0.0, 0.0, sender)
        limit.admitted_fraction = decision.admitted_fraction
        limit.until = now + ADMISSION_DURATION
        limit.decider = sender
        if isinstance(decision, Rejected):
            limit.retry_after = decision.retry_after

    def reject(self, offer: Offer, pool: PoolId, now: float) -> Rejected | None:
        """Return the rejection of a request that may not be offered, None if it may.

        Resumed streams are always offered: they are few, and callers would lose the
        part that they have.
        """
        if offer.abandoned_at is not None:
            return None
        limit = self._valid_limit(offer, pool, now)
        if limit is None:
            return None
        draw = _draw(offer.call)
        if draw < limit.admitted_fraction:
            return None
        limit.throttled_tokens += offer.charged_tokens
        # Rejected requests have draws from the admitted fraction to 1.
        position = (draw - limit.admitted_fraction) / (1 - limit.admitted_fraction)
        wait = limit.retry_after * (
            MIN_RETRY_FACTOR + (MAX_RETRY_FACTOR - MIN_RETRY_FACTOR) * position
        )
        return Rejected(offer.call, REJECTION_REASON, wait, None, limit.decider)

    def admitted_fraction(self, offer: Offer, pool: PoolId, now: float) -> float:
        """Return the fraction of requests like this that may be offered, 0 to 1."""
        limit = self._valid_limit(offer, pool, now)
        return 1.0 if limit is None else limit.admitted_fraction

    def _valid_limit(
        self, offer: Offer, pool: PoolId, now: float
    ) -> AdmissionLimit | None:
        limit = self.limits.get(_key_of(offer, pool))
        return limit if limit is not None and limit.until >= now else None

    def take_throttled_tokens(self, offer: Offer, pool: PoolId) -> int:
        """Return the tokens throttled since the last offer, and reset the count."""
        limit = self.limits.get(_key_of(offer, pool))
        if limit is None:
            return 0
        tokens, limit.throttled_tokens = limit.throttled_tokens, 0
        return tokens

    def expire(self, now: float) -> None:
        """Remove limits that are no longer valid."""
        expired = [key for key, limit in self.limits.items() if limit.until < now]
        for key in expired:
            del self.limits[key]


def _key_of(offer: Offer, pool: PoolId) -> AdmissionKey:
    return AdmissionKey(pool, offer.organisation, offer.priority)


def _draw(call: CallId) -> float:
    return xxhash.xxh3_64_intdigest(call.encode()) / 2**64
