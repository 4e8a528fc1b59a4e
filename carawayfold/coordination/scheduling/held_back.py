"""Requests that a router refuses itself, by what the pools' deciders last told.

The load it answers: organisations that ask for many times what a pool can do. To weigh
each request before most are refused takes more time than the router that decides has,
so each answer tells which part of an organisation's requests may be offered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from carawayfold.coordination.scheduling.offers import TurnedAway
from carawayfold.state.ids import OrganisationId, PoolId

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Decision, Offer
    from carawayfold.state.ids import CallId, RouterId

#: Seconds for which a part holds after it was told. Where a decider is lost, what it
#: told stands in for it until another one has looked at what is asked.
LIFETIME = 2.0
#: Least and most of the time to come back that a caller is told, as parts of what the
#: decider told last, so that callers don't come back together.
LEAST_WAIT, MOST_WAIT = 0.75, 1.25
#: Why such a request is refused.
REASON = "its organisation asks for more than its share"


class Account(NamedTuple):
    """Whose requests are held back from which pool."""

    pool: PoolId
    organisation: OrganisationId
    priority: int


class Told(msgspec.Struct):
    """What a decider told of an account.

    Attributes
    ----------
    part : float
        Part of the requests that may be offered, 0 to 1.
    retry_after : float
        Seconds after which those that are refused may come back.
    until : float
        Loop time until which this holds.
    tokens : int
        Tokens held back that the decider has not been told of.
    """

    part: float
    retry_after: float
    until: float
    decider: RouterId
    tokens: int = 0


class HeldBack:
    """Parts of organisations' requests that may be offered."""

    def __init__(self) -> None:
        self.told: dict[Account, Told] = {}

    def take(
        self,
        offer: Offer,
        pool: PoolId,
        decision: Decision,
        sender: RouterId,
        now: float,
    ) -> None:
        """Take what a decision tells of its organisation."""
        account = _account_of(offer, pool)
        known = self.told.get(account)
        if known is None:
            if decision.admitted >= 1:
                return
            known = self.told[account] = Told(1.0, 0.0, 0.0, sender)
        known.part = decision.admitted
        known.until = now + LIFETIME
        known.decider = sender
        if isinstance(decision, TurnedAway):
            known.retry_after = decision.retry_after

    def refuse(self, offer: Offer, pool: PoolId, now: float) -> TurnedAway | None:
        """Return the refusal of a request that may not be offered, None if it may."""
        known = self.told.get(_account_of(offer, pool))
        if known is None or known.until < now:
            return None
        draw = _draw(offer.call)
        if draw < known.part:
            return None
        known.tokens += offer.share_tokens
        # Those refused have the draws from the part up.
        place = (draw - known.part) / (1 - known.part)
        wait = known.retry_after * (LEAST_WAIT + (MOST_WAIT - LEAST_WAIT) * place)
        return TurnedAway(offer.call, REASON, wait, None, known.decider)

    def take_tokens(self, offer: Offer, pool: PoolId) -> int:
        """Return the tokens that were held back since the last offer."""
        known = self.told.get(_account_of(offer, pool))
        if known is None:
            return 0
        tokens, known.tokens = known.tokens, 0
        return tokens

    def expire(self, now: float) -> None:
        """Forget what no longer holds."""
        over = [account for account, known in self.told.items() if known.until < now]
        for account in over:
            del self.told[account]


def _account_of(offer: Offer, pool: PoolId) -> Account:
    return Account(pool, offer.organisation, offer.priority)


def _draw(call: CallId) -> float:
    return xxhash.xxh3_64_intdigest(call.encode()) / 2**64
