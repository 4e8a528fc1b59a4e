"""Conversion of offers and decisions to messages between routers, and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.offers import (
    Basis,
    Granted,
    Offer,
    PoolLoad,
    Rejected,
)
from carawayfold.protocol.datagrams import (
    GrantMessage,
    OfferMessage,
    RejectMessage,
)
from carawayfold.protocol.exchanges import Part

if TYPE_CHECKING:
    from carawayfold.coordination.scheduling.offers import Decision
    from carawayfold.protocol.datagrams import ActiveRequestReport
    from carawayfold.state.ids import PoolId, RouterId


def offer_message(offer: Offer, pool: PoolId, now: float) -> OfferMessage:
    """Return the message that offers a request to a pool at monotonic time `now`."""
    abandoned_in = (
        None if offer.abandoned_at is None else round((offer.abandoned_at - now) * 1000)
    )
    return OfferMessage(
        pool=pool,
        call=offer.call,
        organisation=offer.organisation,
        route=offer.route,
        priority=offer.priority,
        prompt=[(part.id, part.tokens) for part in offer.prompt],
        prompt_tokens=offer.prompt_tokens,
        output_tokens=offer.output_tokens,
        due=round((offer.due - now) * 1000),
        expires=round((offer.expires - now) * 1000),
        avoid=list(offer.avoid),
        cached_at=offer.cached_at,
        data_centre=offer.data_centre,
        allowed=sorted(offer.allowed or ()),
        rests=[(name, round((at - now) * 1000)) for name, at in offer.rests.items()],
        throttled_tokens=offer.throttled_tokens,
        software=offer.software,
        body_bytes=offer.body_bytes,
        abandoned_in=abandoned_in,
    )


def offer_from_message(message: OfferMessage, router: RouterId, now: float) -> Offer:
    """Return the request offered by a router, with times in local monotonic seconds."""
    abandoned_at = (
        None if message.abandoned_in is None else now + message.abandoned_in / 1000
    )
    return Offer(
        call=message.call,
        router=router,
        data_centre=message.data_centre,
        organisation=message.organisation,
        route=message.route,
        priority=message.priority,
        prompt=tuple(Part(part, tokens) for part, tokens in message.prompt),
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        arrived=now,
        due=now + message.due / 1000,
        expires=now + message.expires / 1000,
        avoid=frozenset(message.avoid),
        cached_at=message.cached_at,
        allowed=frozenset(message.allowed) or None,
        rests={name: now + left / 1000 for name, left in message.rests},
        throttled_tokens=message.throttled_tokens,
        software=message.software,
        body_bytes=message.body_bytes,
        abandoned_at=abandoned_at,
    )


def active_request(
    report: ActiveRequestReport, router: RouterId, now: float
) -> ActiveRequest:
    """Return the active request that a router reports at monotonic time `now`."""
    return ActiveRequest(
        report.call,
        router,
        report.prefill_tokens,
        report.memory,
        now,
        now,
        begun=report.begun,
    )


def decision_message(decision: Decision, basis: Basis) -> GrantMessage | RejectMessage:
    """Return the message with a decision that was made on `basis`."""
    admitted_fraction = round(decision.admitted_fraction * 1000)
    load = decision.load
    pool_wait = -1 if load is None else round(load.wait * 1000)
    pool_used = -1 if load is None else round(load.used * 1000)
    if isinstance(decision, Granted):
        return GrantMessage(
            decision.call,
            decision.endpoint,
            decision.copy_source,
            basis.offset,
            round(basis.age * 1000),
            admitted_fraction,
            pool_wait,
            pool_used,
        )
    retry_after = round(decision.retry_after * 1000)
    return RejectMessage(
        decision.call,
        decision.reason,
        retry_after,
        decision.cached_at,
        admitted_fraction,
        pool_wait,
        pool_used,
    )


def grant_from_message(message: GrantMessage, sender: RouterId) -> Granted:
    """Return the grant in a message of `sender`."""
    basis = Basis(sender, message.offset, message.age / 1000)
    return Granted(
        message.call,
        message.endpoint,
        message.copy_source,
        basis,
        message.admitted_fraction / 1000,
        _load_in(message),
    )


def rejection_from_message(message: RejectMessage, sender: RouterId) -> Rejected:
    """Return the rejection in a message of `sender`."""
    return Rejected(
        message.call,
        message.reason,
        message.retry_after / 1000,
        message.cached_at,
        sender,
        message.admitted_fraction / 1000,
        _load_in(message),
    )


def _load_in(message: GrantMessage | RejectMessage) -> PoolLoad | None:
    """Return the load of the pool that a decision states, None if it states none."""
    if message.pool_wait < 0 or message.pool_used < 0:
        return None
    return PoolLoad(message.pool_wait / 1000, message.pool_used / 1000)
