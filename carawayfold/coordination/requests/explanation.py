"""Explanation of where a request would go now, without sending it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.requests.classification import (
    classify,
    time_to_answer,
)
from carawayfold.coordination.scheduling import explanation
from carawayfold.coordination.scheduling.messages import (
    offer_from_message,
    offer_message,
)
from carawayfold.coordination.scheduling.offers import Offer
from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol import explanations
from carawayfold.protocol.explanations import (
    PoolQuestion,
    PoolReason,
    RequestAnswer,
    RequestQuestion,
)
from carawayfold.state.contents import content_id, shared_part_ids
from carawayfold.state.ids import CallId, ContentId, OrganisationId

if TYPE_CHECKING:
    from carawayfold.coordination.requests.classification import Classification
    from carawayfold.coordination.requests.forwarding import Forwarder
    from carawayfold.protocol.exchanges import RequestFields
    from carawayfold.protocol.explanations import PoolAnswer
    from carawayfold.state.routes import WeightedService


class Identity(msgspec.Struct, frozen=True):
    """Contents of a request that may be in quarantine.

    Attributes
    ----------
    content : ContentId
        Digest of the whole request.
    parts : tuple of ContentId
        Digests of the parts of its prompt that others share.
    """

    organisation: OrganisationId
    content: ContentId
    parts: tuple[ContentId, ...]


class Explainer:
    """Answers operators' questions where a request would go.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards the requests of this router.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.coordinator = forwarder.coordinator

    def answer(self, path: str, body: bytes) -> bytes | None:
        """Return the encoded answer to an encoded question; None if there is none.

        Raises
        ------
        msgspec.MsgspecError
            If `body` is not a valid question.
        """
        if path == explanations.REQUEST_PATH:
            question = explanations.decode(body, RequestQuestion)
            return explanations.encode(self.explain_request(question))
        if path == explanations.POOL_PATH:
            found = self.explain_pool(explanations.decode(body, PoolQuestion))
            return explanations.encode(found) if found is not None else None
        return None

    # A request

    def explain_request(self, question: RequestQuestion) -> RequestAnswer:
        """Return what this router would do with a request."""
        forwarder = self.forwarder
        own = self.coordinator.fleet.own
        answer = RequestAnswer(own.router)
        if forwarder.version is not None:
            answer.version = forwarder.version
        try:
            self._explain(question, answer)
        except Refusal as refusal:
            answer.refused = refusal.kind.value
            answer.detail = refusal.detail
        return answer

    def _explain(self, question: RequestQuestion, answer: RequestAnswer) -> None:
        forwarder = self.forwarder
        if forwarder.stopping or not forwarder.accepting:
            raise Refusal(ErrorKind.STOPPING, "the router stops")
        target = question.target.encode()
        headers = [
            (name.lower().encode(), value.encode()) for name, value in question.headers
        ]
        parsed = forwarder.dialect.read_request(headers)
        found = classify(parsed, target, forwarder.route_index, forwarder.regions)
        answer.route = found.route.id
        answer.organisation = found.organisation
        answer.priority = found.priority
        answer.allowed = sorted(found.allowed or ())
        self._check_contents(question, parsed, found)
        chosen = _heaviest(found)
        answer.service = chosen.service
        total = sum(item.weight for item in found.route.services)
        answer.service_share = chosen.weight / total
        offer = self._offer(question, parsed, found)
        self._choose_pool(offer, question, answer)

    def _check_contents(
        self,
        question: RequestQuestion,
        parsed: RequestFields,
        found: Classification,
    ) -> None:
        """Raise the refusal of the quarantine, if the request is in it."""
        organisation = found.organisation
        method, target = question.method.encode(), question.target.encode()
        content = content_id(organisation, method, target, question.body)
        parts = shared_part_ids(organisation, parsed.prompt)
        identity = Identity(organisation, content, parts)
        self.forwarder.containment.reject_harmful(identity)

    def _offer(
        self,
        question: RequestQuestion,
        parsed: RequestFields,
        found: Classification,
    ) -> Offer:
        coordinator = self.coordinator
        own = coordinator.fleet.own
        now = coordinator.loop.time()
        deadline = now + time_to_answer(parsed, found.route)
        return Offer(
            call=CallId(f"{own.router}.{own.incarnation & 0xFFFF:x}.0"),
            router=own.router,
            data_centre=own.data_centre,
            organisation=found.organisation,
            route=found.route.id,
            priority=found.priority,
            prompt=parsed.prompt,
            prompt_tokens=parsed.prompt_tokens,
            output_tokens=parsed.expected_output,
            arrived=now,
            due=min(now + found.route.objective, deadline),
            expires=deadline,
            cached_at=coordinator.cached_at(parsed.prompt, found.allowed),
            allowed=found.allowed,
            body_bytes=len(question.body),
        )

    def _choose_pool(
        self, offer: Offer, question: RequestQuestion, answer: RequestAnswer
    ) -> None:
        """Fill in the pool to which a request would be offered, and who decides."""
        coordinator, selection = self.coordinator, self.coordinator.selection
        weights = selection.weights_for(answer.service, offer.allowed, offer.software)
        answer.pools = len(weights)
        if not weights:
            where = "in an allowed region" if offer.allowed is not None else "at all"
            raise Refusal(ErrorKind.NO_ENDPOINT, f"no endpoint {where}")
        asked = question.asked
        if asked:
            pool = selection.find_further_pool(offer, weights, asked)
            answer.pool_reason = PoolReason.FURTHER
        else:
            own = selection.pool_for(
                answer.service, offer.prompt, offer.allowed, offer.software
            )
            pool = selection.find_first_pool(offer, weights, own)
            answer.pool_reason = _reason(offer, pool == own, len(weights))
        if pool is None:
            return
        now = coordinator.loop.time()
        offer.rests = coordinator.backoffs_in(pool)
        answer.pool = pool
        answer.admitted = coordinator.admission.admitted_fraction(offer, pool, now)
        answer.offer = offer_message(offer, pool, now)
        answer.decider = coordinator.fleet.responsible(pool)
        address = coordinator.fleet.addresses.get(answer.decider)
        answer.decider_address = str(address) if address is not None else ""

    # An offer to a pool

    def explain_pool(self, question: PoolQuestion) -> PoolAnswer | None:
        """Return what this router's scheduler would do; None if it has no such pool."""
        coordinator = self.coordinator
        pool_state = coordinator.pools.get(question.offer.pool)
        if pool_state is None:
            return None
        now = coordinator.loop.time()
        offer = offer_from_message(question.offer, question.router, now)
        answer = explanation.explain(pool_state.scheduler, offer, now)
        answer.router = coordinator.fleet.own.router
        answer.leads = coordinator.decides_for(pool_state.id)
        return answer


def _heaviest(found: Classification) -> WeightedService:
    """Return the service that gets most of a route's requests."""
    return max(found.route.weighted_services(), key=lambda item: item.weight)


def _reason(offer: Offer, is_own: bool, pools: int) -> PoolReason:
    if pools == 1:
        return PoolReason.ONLY
    if not is_own:
        return PoolReason.LOAD
    return PoolReason.PREFIX if len(offer.prompt) > 1 else PoolReason.TURN
