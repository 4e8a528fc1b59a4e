"""Runs requests with an idempotency key at most once.

A request claims its key before it is sent. A retry with the same key gets the stored
answer, or a refusal that states whether the first request ran.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

from carawayfold.coordination.requests.relay import CompleteAnswer
from carawayfold.errors import ErrorKind, Ran, Refusal
from carawayfold.protocol import peer_pb2
from carawayfold.state.claims import (
    Claim,
    ClaimEnd,
    StoredAnswer,
    key_digest,
)

if TYPE_CHECKING:
    from carawayfold.coordination.requests.calls import Call
    from carawayfold.coordination.requests.claims import Claims, OwnClaim

#: Header that marks a stored answer returned to a retry.
REPLAYED_HEADER = "idempotent-replayed"
#: Bytes of the longest body that is stored for retries.
MAX_STORED_BODY_BYTES = 64 * 1024

#: Asks the router that made a claim for the outcome of its request. Called with the
#: claim and the digest of its key.
AskOwner: TypeAlias = Callable[[Claim, bytes], Awaitable[peer_pb2.OutcomeReply]]


class AtMostOnceRunner:
    """Runs requests with an idempotency key at most once.

    Parameters
    ----------
    claims : Claims
        Claims of this router and of the fleet.
    ask_owner : callable
        Asks the router that made a claim for the outcome of its request.
    attempt : callable
        Sends a call to an endpoint and returns the answer.
    """

    def __init__(
        self,
        claims: Claims,
        ask_owner: AskOwner,
        attempt: Callable[[Call], Awaitable[CompleteAnswer]],
    ) -> None:
        self.claims = claims
        self.ask_owner = ask_owner
        self.attempt = attempt

    async def run(self, call: Call) -> CompleteAnswer:
        """Run `call`, or return the outcome of the request that claimed its key.

        Raises
        ------
        Refusal
            The request failed, or another request has claimed its key; `ran` states
            whether the request ran.
        """
        digest = key_digest(call.organisation, call.request.idempotency_key)
        fingerprint = call.request.fingerprint
        held = self.claims.find(digest)
        if held is None:
            remaining = call.deadline - asyncio.get_running_loop().time()
            held = await self.claims.claim(digest, fingerprint, remaining)
        if isinstance(held, Claim):
            return await self._answer_retry(digest, fingerprint, held)
        call.claim = held
        return await self._run_claimed(call, held)

    async def _run_claimed(self, call: Call, claim: OwnClaim) -> CompleteAnswer:
        end = ClaimEnd.UNKNOWN
        try:
            answer = await self.attempt(call)
            end = ClaimEnd.RAN
        except Refusal as refusal:
            if refusal.ran is Ran.NO:
                end = ClaimEnd.RELEASED
            raise
        finally:
            if end is ClaimEnd.RAN:
                self._store_answer(claim.digest, answer)
            self.claims.end(claim, end)
        return answer

    def _store_answer(self, digest: bytes, answer: CompleteAnswer) -> None:
        if answer.already_sent or len(answer.body) > MAX_STORED_BODY_BYTES:
            return
        stored = StoredAnswer(answer.status, answer.headers, answer.body)
        self.claims.answers.put(digest, stored)

    async def _answer_retry(
        self, digest: bytes, fingerprint: bytes, held: Claim
    ) -> CompleteAnswer:
        if held.fingerprint != fingerprint:
            detail = "the key was first used for another request"
            raise Refusal(ErrorKind.KEY_REUSED, detail)
        if held.owner.incarnation == self.claims.own.incarnation:
            request = peer_pb2.OutcomeRequest(
                digest=digest, incarnation=held.owner.incarnation
            )
            reply = self.outcome_of(request)
        else:
            reply = await self.ask_owner(held, digest)
        return self._answer_from_outcome(reply, held)

    def _answer_from_outcome(
        self, reply: peer_pb2.OutcomeReply, held: Claim
    ) -> CompleteAnswer:
        if reply.state == peer_pb2.OutcomeReply.RUNNING:
            raise Refusal(ErrorKind.IN_PROGRESS, ran=Ran.UNKNOWN)
        if reply.state == peer_pb2.OutcomeReply.NOT_RUN:
            raise Refusal(ErrorKind.NOT_RUN, "send the request again")
        ran = held.end is ClaimEnd.RAN or reply.state == peer_pb2.OutcomeReply.DONE
        if reply.status:
            headers = {**reply.headers, REPLAYED_HEADER: "true"}
            return CompleteAnswer(reply.status, headers, reply.body)
        if ran:
            detail = "it ran; its answer is no longer held"
            raise Refusal(ErrorKind.OUTCOME_UNKNOWN, detail, Ran.YES)
        detail = "the router that took the first attempt can't say whether it ran"
        raise Refusal(ErrorKind.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)

    def outcome_of(self, request: peer_pb2.OutcomeRequest) -> peer_pb2.OutcomeReply:
        """Return the outcome of a request whose key was claimed by this router.

        The reply is empty if the claim was made by another incarnation.
        """
        reply = peer_pb2.OutcomeReply()
        if request.incarnation != self.claims.own.incarnation:
            return reply
        stored = self.claims.answers.answers.get(request.digest)
        held = self.claims.find(request.digest)
        if stored is not None:
            reply.state = peer_pb2.OutcomeReply.DONE
            reply.status = stored.status
            reply.headers.update(stored.headers)
            reply.body = stored.body
        elif self._is_running(request.digest):
            reply.state = peer_pb2.OutcomeReply.RUNNING
        elif held is None or held.end is ClaimEnd.RELEASED:
            reply.state = peer_pb2.OutcomeReply.NOT_RUN
        elif held.end is ClaimEnd.RAN:
            reply.state = peer_pb2.OutcomeReply.DONE
        return reply

    def _is_running(self, digest: bytes) -> bool:
        if digest in self.claims.running:
            return True
        return any(claim.digest == digest for claim in self.claims.open.values())
