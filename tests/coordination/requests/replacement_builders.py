"""A forwarder with a request whose endpoint is silent, and a scheduler for the next."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

from carawayfold.coordination.requests.forwarding import ForwardedCall, Forwarder
from carawayfold.coordination.scheduling.offers import (
    Basis,
    BlockReason,
    Granted,
    Rejected,
)
from carawayfold.protocol.exchanges import RequestFields
from carawayfold.state.budget import BudgetBounds, RetryBudget
from carawayfold.state.ids import CallId, OrganisationId, RequestId
from carawayfold.state.routes import Route
from tests.schedule_builders import endpoint

#: A window so short that the router is past its first one.
WINDOW = 0.001


class Coordinator:
    """Grants or rejects each offer as told, and keeps what happens to its grants.

    Attributes
    ----------
    grants : bool
        Whether offers are granted.
    blocked : BlockReason or None
        Why this router may not use the granted endpoint.
    offers, returned : list
        Offers, and the requests whose grants were returned.
    """

    def __init__(self):
        own = SimpleNamespace(router="r", data_centre="north")
        self.fleet = SimpleNamespace(own=own, known_size=1)
        self.grants = True
        self.blocked: BlockReason | None = None
        self.endpoints = {"m-2": endpoint("m-2")}
        self.offers = []
        self.returned = []
        self.leaving_since = {}

    async def place_with_fallback(self, offer, service):
        self.offers.append(offer)
        if self.grants:
            return Granted(offer.call, "m-2", basis=self.basis())
        return Rejected(offer.call, "no answer in time", 1.0)

    def basis(self):
        return Basis("r", 0, 0.0)

    def next_call(self):
        return CallId(f"r.0.{len(self.offers)}")

    def cached_at(self, prompt, allowed):
        return None

    def find_block_reason(self, found, granted):
        return self.blocked

    def ended(self, call, outcome, kept=0):
        self.returned.append(call)


def make_forwarder(coordinator: Coordinator, extra: float) -> Forwarder:
    """Return a forwarder whose retry budget is `extra` retries."""

    def ignore(*args, **named):
        return None

    containment = SimpleNamespace(
        reject_harmful=ignore, is_suspected=lambda call, begun: False
    )
    now = asyncio.get_running_loop().time()
    return Forwarder(
        coordinator,
        None,
        None,
        RetryBudget(BudgetBounds(0.0, extra, WINDOW), now - 1),
        None,
        containment,
        None,
        None,
        SimpleNamespace(record_retry=ignore, barred_grants=Counter()),
        lambda: 0.0,
        {},
    )


def make_call(asked_route: Route) -> ForwardedCall:
    """Return a request that was sent to one endpoint."""
    now = asyncio.get_running_loop().time()
    call = ForwardedCall(
        incoming=SimpleNamespace(method=b"POST", target=b"/x", body=b"", received=now),
        parsed=RequestFields(
            RequestId("x"), "", "", 8.0, None, RequestId(""), (), 400, 4, 4, []
        ),
        route=asked_route,
        service="model",
        organisation=OrganisationId("alder"),
        priority=1,
        deadline=now + 8,
        due=now + 1,
        resume_after=None,
    )
    call.tried.add("m-1")
    return call
