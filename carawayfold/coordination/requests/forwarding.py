"""The life of a forwarded request, from its last byte to its answer's last byte."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.containment.crash_reports import Loss
from carawayfold.coordination.requests.attempts import Attempt, AttemptRequest
from carawayfold.coordination.requests.repeats import (
    AttemptEnd,
    Attempts,
    final_refusal,
    may_repeat,
)
from carawayfold.coordination.scheduling.offers import (
    Bar,
    Granted,
    Offer,
    Outcome,
    TurnedAway,
)
from carawayfold.errors import ErrorKind, Ran, Refusal
from carawayfold.protocol import problem
from carawayfold.state.contents import content_id
from carawayfold.state.patience import Patience
from carawayfold.state.positions import offset_of
from carawayfold.state.residency import allowed_data_centres
from carawayfold.state.routes import ANONYMOUS

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from carawayfold.coordination.containment.containment import Containment
    from carawayfold.coordination.containment.pulse import Pulse
    from carawayfold.coordination.knowledge.notices import Notices
    from carawayfold.coordination.scheduling.desk import Desk
    from carawayfold.coordination.scheduling.offers import Basis
    from carawayfold.protocol.exchanges import Answered, Asked, Dialect
    from carawayfold.state.budget import RetryBudget
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.forwarded import ForwardMetrics
    from carawayfold.state.ids import (
        ContentId,
        DataCentreId,
        EndpointId,
        OrganisationId,
        RegionId,
        RouteId,
        RouterId,
        ServiceId,
    )
    from carawayfold.state.routes import InForce, Route, RouteIndex, RouteTable
    from carawayfold.transport.client import HttpClient
    from carawayfold.transport.edge import Incoming

logger = logbook.Logger(__name__)

#: Seconds before the caller gives up, or the route's time is over, at which a
#: request gets its final answer: the way back, and a late timer.
ANSWER_MARGIN = 0.03
#: Seconds that a caller waits which says nothing about it.
DEFAULT_TIME = 60.0

#: What the scheduler hears about each end.
OUTCOMES = {
    AttemptEnd.WHOLE: Outcome.WHOLE,
    AttemptEnd.REJECTED: Outcome.NOT_RUN,
    AttemptEnd.ERROR_ANSWER: Outcome.FAILED,
    AttemptEnd.BROKEN: Outcome.FAILED,
    AttemptEnd.SILENT: Outcome.SILENT,
    AttemptEnd.UNREACHABLE: Outcome.UNREACHABLE,
}
#: What is logged of a grant that is given back.
BARRED_LINES = {
    Bar.LEAVING: "granted an endpoint that leaves",
    Bar.EVACUATED: "granted an endpoint of an evacuated data centre",
    Bar.WARMING: "granted an endpoint that warms up",
    Bar.RESTING: "granted an endpoint that rests",
}


class ForwardedCall(msgspec.Struct, eq=False):
    """One request of a caller.

    Attributes
    ----------
    ends_at : float
        Loop time by which it must have its final answer.
    due : float
        Loop time at which its caller wants the answer, or its first event.
    resume_after : int or None
        Last whole event that the caller has.
    passed_over : set of EndpointId
        Granted endpoints that it was not sent to, since they leave or are not known.
    allowed : frozenset of DataCentreId or None
        Data centres in which it may run; None for any.
    donor : EndpointId or None
        Engine that its endpoint was told to copy kept memory from.
    basis : Basis or None
        What its last endpoint was granted on.
    decider : RouterId or None
        Who decided on it last.
    known_content : ContentId or None
        See `content`.
    attempt : Attempt or None
        The one under way.
    """

    incoming: Incoming
    asked: Asked
    route: Route
    service: ServiceId
    organisation: OrganisationId
    priority: int
    ends_at: float
    due: float
    resume_after: int | None
    allowed: frozenset[DataCentreId] | None = None
    attempts: Attempts = msgspec.field(default_factory=Attempts)
    tried: set[EndpointId] = msgspec.field(default_factory=set)
    passed_over: set[EndpointId] = msgspec.field(default_factory=set)
    status: int = 0
    first_byte: float = 0.0
    waited: float = 0.0
    donor: EndpointId | None = None
    basis: Basis | None = None
    decider: RouterId | None = None
    known_content: ContentId | None = None
    attempt: Attempt | None = None

    @property
    def content(self) -> ContentId:
        """Return the digest of its content, worked out when first wanted."""
        if self.known_content is None:
            asked = self.incoming
            self.known_content = content_id(
                self.organisation, asked.method, asked.target, asked.body
            )
        return self.known_content


class Forwarder:
    """Takes callers' requests and carries them to endpoints and back."""

    def __init__(
        self,
        desk: Desk,
        http: HttpClient,
        dialect: Dialect,
        budget: RetryBudget,
        pulse: Pulse,
        containment: Containment,
        notices: Notices,
        metrics: ForwardMetrics,
        draw: Callable[[], float],
        regions: Mapping[DataCentreId, RegionId],
    ) -> None:
        self.desk = desk
        self.http = http
        self.dialect = dialect
        self.budget = budget
        self.pulse = pulse
        self.containment = containment
        self.notices = notices
        self.metrics = metrics
        self.draw = draw
        #: Region of each data centre, by the settings.
        self.regions = regions
        self.loop = asyncio.get_running_loop()
        #: The configuration in force; None until one is known.
        self.index: RouteIndex | None = None
        #: How it came to be so.
        self.in_force: InForce | None = None
        self.patience: dict[RouteId, Patience] = {}
        self.calls: dict[ForwardedCall, asyncio.Task[None]] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.index.table.version if self.index is not None else 0

    # Taking a request

    def serve(self, incoming: Incoming) -> None:
        """Start to forward a request, or refuse it at once."""
        asked = call = None
        try:
            asked = self.dialect.read_request(incoming.headers)
            call = self._call(incoming, asked)
            self._refuse_harmful(call)
        except Refusal as refusal:
            content = call.content if call is not None else ""
            self._refuse(incoming, asked, refusal, content)
            return
        self.budget.request(call.service, self.loop.time())
        task = self.loop.create_task(self._run(call))
        self.calls[call] = task
        incoming.on_gone = task.cancel

    def _call(self, incoming: Incoming, asked: Asked) -> ForwardedCall:
        if self.index is None:
            raise Refusal(ErrorKind.NOT_READY)
        routes = self.index.table
        path = incoming.target.partition(b"?")[0]
        route = self.index.find(asked.host, path)
        if route is None:
            raise Refusal(ErrorKind.UNKNOWN_ROUTE)
        organisation = self._organisation(routes, route, asked)
        now = incoming.received
        left = DEFAULT_TIME if asked.time_left is None else asked.time_left
        # What a caller that comes back has waited counts against the objective.
        waited = self.patience.setdefault(route.id, Patience()).waited(left)
        allowed = allowed_data_centres(route, organisation, routes, self.regions)
        return ForwardedCall(
            incoming=incoming,
            asked=asked,
            route=route,
            service=route.choose_service(self.draw()),
            organisation=organisation,
            priority=routes.priorities.get(organisation, route.priority),
            ends_at=now + min(left, route.timeout) - ANSWER_MARGIN,
            due=now + route.objective - waited,
            resume_after=asked.resume_after,
            allowed=allowed,
        )

    def _organisation(
        self, routes: RouteTable, route: Route, asked: Asked
    ) -> OrganisationId:
        if route.anonymous or not routes.organisations:
            return ANONYMOUS
        organisation = routes.organisations.get(asked.key)
        if organisation is None:
            raise Refusal(ErrorKind.UNKNOWN_KEY)
        return organisation

    # Its life

    async def _run(self, call: ForwardedCall) -> None:
        try:
            async with asyncio.timeout_at(call.ends_at):
                await self._try_endpoints(call)
        except TimeoutError:
            self._give_up(call, self._out_of_time(call))
        except Refusal as refusal:
            self._give_up(call, refusal)
        except asyncio.CancelledError:
            self._log_end(call, "caller left")
            raise
        except Exception as error:
            logger.error("a request failed here", extra={"reason": repr(error)})
            self._give_up(call, self._failed_here(call, error))
        finally:
            self.calls.pop(call, None)

    def _failed_here(self, call: ForwardedCall, error: Exception) -> Refusal:
        """Return the answer to a request that met a fault of this program."""
        if call.attempts.may_have_run:
            return Refusal(ErrorKind.INTERNAL, repr(error), Ran.UNKNOWN)
        return Refusal(ErrorKind.NO_ENDPOINT, repr(error), Ran.NO)

    def _out_of_time(self, call: ForwardedCall) -> Refusal:
        if call.attempts.may_have_run:
            return Refusal(ErrorKind.NO_ANSWER, "out of time", Ran.UNKNOWN)
        return Refusal(ErrorKind.OVERLOADED, "out of time", Ran.NO)

    async def _try_endpoints(self, call: ForwardedCall) -> None:
        while True:
            granted = await self._place(call)
            self._refuse_granted(call, granted)
            end = await self._attempt(call, granted)
            if end is AttemptEnd.WITHDRAWN:
                continue
            if end is AttemptEnd.WHOLE:
                self.containment.note_well(call, call.incoming.body)
                self._log_end(call, "whole")
                return
            call.attempts.note(end)
            self._check_repeat(call, end)

    async def _place(self, call: ForwardedCall) -> Granted:
        if call.allowed is not None:
            self._refuse_without_region(call)
        asked_at = self.loop.time()
        decision = await self.desk.place_in_any(self._offer(call), call.service)
        call.waited = self.loop.time() - asked_at
        if isinstance(decision, TurnedAway):
            call.decider = decision.decider
            raise self._turned_away(call, decision)
        call.basis = decision.basis
        call.decider = decision.basis.decider
        return decision

    def _refuse_without_region(self, call: ForwardedCall) -> None:
        """Raise the answer to a request for which no endpoint is in its regions."""
        if self.desk.weights_for(call.service, call.allowed):
            return
        detail = "no endpoint in an allowed region"
        if call.attempts.may_have_run:
            raise Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)
        raise Refusal(ErrorKind.NO_ENDPOINT, detail, Ran.NO)

    def _offer(self, call: ForwardedCall) -> Offer:
        asked = call.asked
        return Offer(
            call=self.desk.next_call(),
            router=self.desk.fleet.own.router,
            data_centre=self.desk.fleet.own.data_centre,
            organisation=call.organisation,
            route=call.route.id,
            priority=call.priority,
            prompt=asked.prompt,
            prompt_tokens=asked.prompt_tokens,
            output_tokens=asked.expected_output,
            arrived=self.loop.time(),
            due=call.due,
            expires=call.ends_at,
            avoid=frozenset(call.tried | call.passed_over),
            kept_at=self.desk.kept_at(asked.prompt, call.allowed),
            allowed=call.allowed,
        )

    def _turned_away(self, call: ForwardedCall, decision: TurnedAway) -> Refusal:
        if call.attempts.may_have_run:
            return Refusal(ErrorKind.ENDPOINT_FAILED, decision.reason, Ran.UNKNOWN)
        return Refusal(
            ErrorKind.OVERLOADED, decision.reason, Ran.NO, decision.retry_after
        )

    async def _attempt(self, call: ForwardedCall, granted: Granted) -> AttemptEnd:
        endpoint = self._check_granted(call, granted)
        if endpoint is None:
            return AttemptEnd.WITHDRAWN
        call.tried.add(granted.endpoint)
        self.desk.rests.sent(granted.endpoint, self.loop.time())
        call.donor = granted.donor
        donor = self._check_donor(call, granted)
        request = AttemptRequest(call, endpoint, granted.call, donor)
        attempt = call.attempt = Attempt(self, request)
        outcome = Outcome.CANCELLED
        try:
            end = await attempt.run()
            withdrawn = attempt.withdrawn
            outcome = OUTCOMES[end] if withdrawn is None else withdrawn.outcome
        finally:
            attempt.close()
            self.desk.ended(granted.call, outcome)
            if outcome is Outcome.CANCELLED and attempt.sent:
                # Out of time or abandoned: it may have run.
                call.attempts.may_have_run += 1
            call.attempt = None
            self._note_loss(call, attempt, outcome)
        if end is not AttemptEnd.WHOLE:
            self._log_attempt(call, end, attempt)
        return end

    def _check_granted(self, call: ForwardedCall, granted: Granted) -> Endpoint | None:
        """Return a granted endpoint, or give the grant back if it must not be used."""
        endpoint = self.desk.endpoints.get(granted.endpoint)
        bar = self.desk.find_bar(endpoint, granted) if endpoint is not None else None
        allowed = endpoint is not None and self._is_allowed(call, endpoint)
        if allowed and bar is None:
            return endpoint
        if bar is not Bar.RESTING:
            # Of a rest the next offer tells when it ends.
            call.passed_over.add(granted.endpoint)
        outcome = Outcome.CANCELLED
        if bar is not None:
            outcome = bar.outcome
            self._log_barred(call, granted, endpoint, bar)
        self.desk.ended(granted.call, outcome)
        return None

    def _is_allowed(self, call: ForwardedCall, endpoint: Endpoint) -> bool:
        return call.allowed is None or endpoint.data_centre in call.allowed

    def _check_donor(self, call: ForwardedCall, granted: Granted) -> Endpoint | None:
        """Return the engine to copy from, None if it must not be used."""
        donor = self.desk.endpoints.get(granted.donor) if granted.donor else None
        if donor is None or self.desk.gets_nothing(donor):
            return None
        return donor if self._is_allowed(call, donor) else None

    def withdraw_barred(self) -> None:
        """Send nothing over connections being opened to what gets nothing any more."""
        for call in list(self.calls):
            attempt = call.attempt
            if attempt is None or attempt.sent:
                continue
            endpoint = self.desk.endpoints.get(attempt.endpoint.id)
            if endpoint is None:
                continue
            if self.desk.gets_nothing(endpoint):
                call.passed_over.add(endpoint.id)
                attempt.withdraw(Bar.LEAVING)
            elif self.desk.rests.lasts(endpoint.id, self.loop.time()):
                attempt.withdraw(Bar.RESTING)

    def _check_repeat(self, call: ForwardedCall, end: AttemptEnd) -> None:
        """Raise the final answer unless a further attempt is allowed."""
        self._refuse_harmful(call)
        if self.containment.is_suspected(call):
            # One more endpoint would settle it; its caller may come back for that.
            raise final_refusal(call.attempts, end)
        if may_repeat(call.route, call.attempts) and self._take_repeat(call):
            return
        raise final_refusal(call.attempts, end)

    def _take_repeat(self, call: ForwardedCall) -> bool:
        """Take one repeat from this router's part of the budget, if there is one."""
        routers = self.desk.fleet.counted
        now = self.loop.time()
        window = self.budget.window(call.service, routers, now)
        taken = self.budget.take(call.service, routers, now)
        self.metrics.repeated(call.service, taken)
        logger.info(
            "repeat" if taken else "no repeat left",
            extra={
                "request": call.asked.id,
                "service": call.service,
                "requests": window.requests,
                "repeats": window.repeats,
                "allowed": round(window.allowed, 1),
                "routers": routers,
            },
        )
        return taken

    # Contents under which endpoints end

    def _refuse_harmful(self, call: ForwardedCall) -> None:
        """Raise the answer to a content that is kept from the endpoints."""
        try:
            self.containment.refuse_harmful(call)
        except Refusal as refusal:
            if call.attempts.may_have_run:
                kind = ErrorKind.ENDPOINT_FAILED
                raise Refusal(kind, refusal.detail, Ran.UNKNOWN) from None
            raise

    def _refuse_granted(self, call: ForwardedCall, granted: Granted) -> None:
        try:
            self._refuse_harmful(call)
        except Refusal:
            self.desk.ended(granted.call, Outcome.CANCELLED)
            raise

    def _note_loss(
        self, call: ForwardedCall, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Report an endpoint that went away under a request, or says nothing."""
        now = self.loop.time()
        endpoint = attempt.endpoint
        at = now
        if outcome in (Outcome.CANCELLED, Outcome.SILENT):
            if not attempt.sent or attempt.stopped:
                return
            if not self.pulse.is_silent(endpoint.id, attempt.started, now):
                return
            at = max(attempt.started, self.pulse.heard.get(endpoint.id, 0.0))
        elif not attempt.lost:
            return
        begun = attempt.first_event is not None
        loss = Loss(
            call.content, call.organisation, endpoint, at, begun, attempt.started
        )
        self.containment.reports.note(loss)

    def stop_content(self, content: ContentId) -> None:
        """End the attempts that carry a content which is refused from now on."""
        organisation = self.containment.quarantine.get(content).organisation
        for call in list(self.calls):
            if call.attempt is None or call.organisation != organisation:
                continue
            if call.content == content:
                call.attempt.stop()

    # Answers

    def answer(self, call: ForwardedCall, answered: Answered, body: bytes) -> None:
        """Send an endpoint's whole answer to the caller."""
        call.status = answered.status
        call.first_byte = self.loop.time()
        call.incoming.answer(answered.status, answered.forwarded, body)

    def begin(self, call: ForwardedCall, answered: Answered) -> None:
        """Send the head of an endpoint's streamed answer to the caller."""
        call.status = answered.status
        call.first_byte = self.loop.time()
        call.attempts.answered = True
        call.incoming.begin(answered.status, answered.forwarded)

    def _give_up(self, call: ForwardedCall, refusal: Refusal) -> None:
        if call.attempts.answered:
            self._log_end(call, "cut")
            call.incoming.abort()
            return
        call.status = refusal.answer.status
        self._log_end(call, refusal.kind.value, refusal.detail, refusal.ran)
        self._send_refusal(call.incoming, call.asked, refusal)

    def _refuse(
        self,
        incoming: Incoming,
        asked: Asked | None,
        refusal: Refusal,
        content: ContentId | str,
    ) -> None:
        known = self.in_force
        in_force = self.loop.time() - known.since if known is not None else None
        logger.info(
            "request refused",
            extra={
                "request": asked.id if asked is not None else "",
                "content": content,
                "kind": refusal.kind.value,
                "reason": refusal.detail,
                "version": self.version,
                "in_force_s": round(in_force, 2) if known is not None else None,
                "told_by": known.source if known is not None else "",
            },
        )
        self._send_refusal(incoming, asked, refusal)

    def _send_refusal(
        self, incoming: Incoming, asked: Asked | None, refusal: Refusal
    ) -> None:
        self.metrics.refused(refusal.kind)
        headers = self.dialect.refusal_headers(asked, refusal)
        body = b""
        if refusal.answer.documented:
            body = problem.encode(refusal, asked.id if asked is not None else "")
            headers.append(("Content-Type", problem.CONTENT_TYPE))
        incoming.answer(refusal.answer.status, headers, body)

    # Logs

    def _log_barred(
        self, call: ForwardedCall, granted: Granted, endpoint: Endpoint, bar: Bar
    ) -> None:
        """Log a grant that this router knows better about than who gave it."""
        self.metrics.barred_grants[bar.value] += 1
        since = self.desk.leaving_since.get(endpoint.name, self.loop.time())
        known = self.desk.basis()
        logger.info(
            BARRED_LINES[bar],
            extra={
                "request": call.asked.id,
                "endpoint": endpoint.id,
                "known_for_ms": round((self.loop.time() - since) * 1000, 1),
                "offset": offset_of(known.offset),
                "age_ms": round(known.age * 1000, 1),
                "decider": granted.basis.decider,
                "decider_offset": offset_of(granted.basis.offset),
                "decider_age_ms": round(granted.basis.age * 1000, 1),
            },
        )

    def _log_attempt(
        self, call: ForwardedCall, end: AttemptEnd, attempt: Attempt
    ) -> None:
        begun = attempt.first_event
        logger.info(
            "attempt failed",
            extra={
                "request": call.asked.id,
                "content": call.content,
                "organisation": call.organisation,
                "endpoint": attempt.endpoint.id,
                "end": end.value,
                "reason": attempt.reason,
                "sends": len(call.tried),
                "lasted_ms": round((self.loop.time() - attempt.started) * 1000, 1),
                "begun_ms": round(begun * 1000, 1) if begun is not None else None,
            },
        )

    def _log_end(
        self,
        call: ForwardedCall,
        end: str,
        detail: str = "",
        ran: Ran | None = None,
    ) -> None:
        now = self.loop.time()
        arrived = call.incoming.received
        first = call.first_byte - arrived if call.first_byte else None
        self.metrics.ended(call.organisation, end, call.waited, first)
        basis = call.basis
        logger.info(
            "request ended",
            extra={
                "request": call.asked.id,
                "end": end,
                "status": call.status,
                "reason": detail,
                "ran": ran.value if ran is not None else "",
                "route": call.route.id,
                "organisation": call.organisation,
                "endpoints": sorted(call.tried),
                "donor": call.donor or "",
                "decider": call.decider or "",
                "offset": offset_of(basis.offset) if basis is not None else 0,
                "age_ms": round(basis.age * 1000, 1) if basis is not None else None,
                "version": self.version,
                "waited_ms": round(call.waited * 1000, 1),
                "first_ms": round(first * 1000, 1) if first is not None else None,
                "whole_ms": round((now - arrived) * 1000, 1),
                "objective_left_ms": round((call.due - now) * 1000, 1),
                "time_left_ms": round((call.ends_at - now) * 1000, 1),
            },
        )
