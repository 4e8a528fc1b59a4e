"""Forwards callers' requests to endpoints, from a complete request to its answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.containment.crash_reports import LostAttempt
from carawayfold.coordination.requests.attempts import Attempt, AttemptRequest
from carawayfold.coordination.requests.classification import (
    classify,
    time_left,
    time_to_answer,
)
from carawayfold.coordination.requests.retries import (
    AttemptEnd,
    AttemptHistory,
    final_refusal,
    may_retry,
)
from carawayfold.coordination.scheduling.offers import (
    BlockReason,
    Granted,
    Offer,
    Outcome,
    Rejected,
)
from carawayfold.errors import ErrorKind, Ran, Refusal
from carawayfold.protocol import problem
from carawayfold.state.contents import content_id, shared_part_ids
from carawayfold.state.positions import offset_of
from carawayfold.state.routes import RouteKind
from carawayfold.state.stream_origins import Origin, ProofFailure, stream_id
from carawayfold.state.wait_estimator import WaitEstimator

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from carawayfold.coordination.containment.containment import Containment
    from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
    from carawayfold.coordination.knowledge.endpoint_notices import EndpointNotices
    from carawayfold.coordination.requests.stream_origins import StreamOrigins
    from carawayfold.coordination.scheduling.coordinator import SchedulingCoordinator
    from carawayfold.coordination.scheduling.offers import Basis
    from carawayfold.protocol.exchanges import Dialect, RequestFields, ResponseFields
    from carawayfold.state.budget import RetryBudget
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.forwarded import ForwardMetrics
    from carawayfold.state.ids import (
        ConfigurationVersion,
        ContentId,
        DataCentreId,
        EndpointId,
        OrganisationId,
        RegionId,
        RouteId,
        RouterId,
        ServiceId,
        SoftwareVersion,
        StreamId,
    )
    from carawayfold.state.routes import (
        ActiveConfiguration,
        Route,
        RouteIndex,
    )
    from carawayfold.state.stream_origins import Finding
    from carawayfold.transport.client import HttpClient
    from carawayfold.transport.edge import Incoming

logger = logbook.Logger(__name__)

#: Seconds after a caller's timeout at which it no longer resumes its stream.
RETURN_MARGIN = 1.0

#: Seconds after which a caller may return to a stream whose origin could not be proved
#: because the store did not answer.
UNCONFIRMED_RETRY_AFTER = 1.0

#: Outcome reported to the scheduler for each end of an attempt.
ATTEMPT_OUTCOMES = {
    AttemptEnd.COMPLETE: Outcome.COMPLETE,
    AttemptEnd.REJECTED: Outcome.NOT_RUN,
    AttemptEnd.ERROR_ANSWER: Outcome.FAILED,
    AttemptEnd.BROKEN: Outcome.FAILED,
    AttemptEnd.SILENT: Outcome.SILENT,
    AttemptEnd.UNREACHABLE: Outcome.UNREACHABLE,
    AttemptEnd.YIELDED: Outcome.CANCELLED,
}
#: Log event for a grant that is returned unused, by its reason.
BLOCKED_GRANT_EVENTS = {
    BlockReason.LEAVING: "grant returned: endpoint is leaving",
    BlockReason.EVACUATED: "grant returned: data centre of the endpoint is evacuated",
    BlockReason.WARMING: "grant returned: endpoint is warming up",
    BlockReason.RESTING: (
        "grant returned: endpoint accepts no requests from this router"
    ),
}


class ForwardedCall(msgspec.Struct, eq=False):
    """One request of a caller while it is being forwarded.

    Attributes
    ----------
    incoming : Incoming
        Connection and bytes of the request.
    parsed : RequestFields
        Parsed headers of the request.
    route : Route
        Route that matched the host and path.
    service : ServiceId
        Service that the route selected.
    organisation : OrganisationId
        Organisation of the API key, or `ANONYMOUS`.
    priority : int
        Priority of the organisation, or of the route by default.
    deadline : float
        Loop time by which the final answer must be sent.
    due : float
        Loop time at which the route's objective requires the answer, or the next event
        of a stream.
    resume_after : int or None
        Last complete event that the caller has received.
    last_event_at : float or None
        Loop time at which it received that event, or began to resume the stream; None
        before a stream's first event.
    origin : Origin or None
        Where the stream began that the caller receives; None before its first event.
    allowed : frozenset of DataCentreId or None
        Data centres in which the request may run; None for any.
    attempts : AttemptHistory
        Results of the attempts so far.
    tried : set of EndpointId
        Endpoints for which an attempt was started.
    versions : set of SoftwareVersion
        Software versions of these endpoints.
    skipped : set of EndpointId
        Granted endpoints that the request must not be sent to: unknown, leaving,
        evacuated, warming up, in a data centre that is not allowed, or of another
        software version than the one that began the stream.
    status : int
        HTTP status sent to the caller; 0 before.
    first_byte_at : float
        Loop time at which the answer to the caller began; 0 before.
    grant_wait : float
        Seconds for which the request waited for its last grant.
    copy_source : EndpointId or None
        Endpoint from which the granted one copies the cached beginning of the prompt.
    basis : Basis or None
        State of the registrations on which the last grant was decided.
    decider : RouterId or None
        Router that made the last scheduling decision.
    cached_content : ContentId or None
        Value of `content` once computed.
    attempt : Attempt or None
        The attempt in flight.
    replacement : Granted or None
        Grant of the endpoint that takes the place of a silent one.
    replaced : Attempt or None
        The attempt at a silent endpoint, until the one that replaces it has been taken.
    waiting_reason : str
        Why it last had to stay at a silent endpoint.
    time_limit : asyncio.Timeout or None
        Ends the request at its deadline; None before its task has started.
    """

    incoming: Incoming
    parsed: RequestFields
    route: Route
    service: ServiceId
    organisation: OrganisationId
    priority: int
    deadline: float
    due: float
    resume_after: int | None
    last_event_at: float | None = None
    origin: Origin | None = None
    allowed: frozenset[DataCentreId] | None = None
    attempts: AttemptHistory = msgspec.field(default_factory=AttemptHistory)
    tried: set[EndpointId] = msgspec.field(default_factory=set)
    versions: set[SoftwareVersion] = msgspec.field(default_factory=set)
    skipped: set[EndpointId] = msgspec.field(default_factory=set)
    status: int = 0
    first_byte_at: float = 0.0
    grant_wait: float = 0.0
    copy_source: EndpointId | None = None
    basis: Basis | None = None
    decider: RouterId | None = None
    cached_content: ContentId | None = None
    attempt: Attempt | None = None
    replacement: Granted | None = None
    replaced: Attempt | None = None
    waiting_reason: str = ""
    time_limit: asyncio.Timeout | None = None

    @property
    def content(self) -> ContentId:
        """Return the digest of the request's content, computed on first use."""
        if self.cached_content is None:
            incoming = self.incoming
            self.cached_content = content_id(
                self.organisation, incoming.method, incoming.target, incoming.body
            )
        return self.cached_content

    @property
    def parts(self) -> tuple[ContentId, ...]:
        """Return the identities of the parts of its prompt that others share."""
        return shared_part_ids(self.organisation, self.parsed.prompt)

    @property
    def stream(self) -> StreamId:
        """Return the identifier of the stream that it begins or resumes."""
        resuming = self.parsed.resume_after is not None and self.parsed.resumes
        request = self.parsed.resumes if resuming else self.parsed.id
        return stream_id(self.organisation, request)

    @property
    def streams(self) -> set[StreamId]:
        """Return the identifiers under which its caller may resume the stream.

        A caller may name the request that began it, or the last one that resumed it.
        """
        return {self.stream, stream_id(self.organisation, self.parsed.id)}

    @property
    def abandoned_at(self) -> float | None:
        """Return when its caller abandons a stream that no endpoint continues.

        None before the stream's first event, and while an attempt is in flight.
        """
        if self.last_event_at is None or self.attempt is not None:
            return None
        return min(self.last_event_at + self.route.patience, self.deadline)

    @property
    def software(self) -> SoftwareVersion | None:
        """Return the software version that its endpoint must have; None for any."""
        return self.origin.software if self.origin is not None else None


class Forwarder:
    """Forwards callers' requests to endpoints and their answers back.

    Parameters
    ----------
    coordinator : SchedulingCoordinator
        Obtains grants of endpoints from the scheduling routers.
    http : HttpClient
        Connections to endpoints.
    dialect : Dialect
        Reads and writes the platform's headers.
    budget : RetryBudget
        Limits retries to this router's share of the fleet's budget.
    endpoint_activity : EndpointActivity
        Time of the last activity of each endpoint.
    containment : Containment
        Rejects requests with contents under which endpoints crash.
    notices : EndpointNotices
        Processes what endpoints report about themselves in answers.
    origins : StreamOrigins
        Knows where streams began.
    metrics : ForwardMetrics
        Counters of requests, retries and refusals.
    draw : callable
        Returns a random float in [0, 1), which selects a service of a route.
    regions : mapping of DataCentreId to RegionId
        Region of each data centre.

    Attributes
    ----------
    wait_estimators : dict of RouteId to WaitEstimator
        Per route, estimates from a caller's remaining time how long it has waited.
    calls : dict of ForwardedCall to asyncio.Task
        Requests in flight with the tasks that handle them.
    """

    def __init__(
        self,
        coordinator: SchedulingCoordinator,
        http: HttpClient,
        dialect: Dialect,
        budget: RetryBudget,
        endpoint_activity: EndpointActivity,
        containment: Containment,
        notices: EndpointNotices,
        origins: StreamOrigins,
        metrics: ForwardMetrics,
        draw: Callable[[], float],
        regions: Mapping[DataCentreId, RegionId],
    ) -> None:
        self.coordinator = coordinator
        self.http = http
        self.dialect = dialect
        self.budget = budget
        self.endpoint_activity = endpoint_activity
        self.containment = containment
        self.notices = notices
        self.origins = origins
        self.metrics = metrics
        self.draw = draw
        #: Region of each data centre, from the settings.
        self.regions = regions
        self.loop = asyncio.get_running_loop()
        #: Routes of the configuration in force; None until one is known.
        self.route_index: RouteIndex | None = None
        #: Source of that configuration, and the time at which it came into force.
        self.in_force: ActiveConfiguration | None = None
        self.wait_estimators: dict[RouteId, WaitEstimator] = {}
        self.calls: dict[ForwardedCall, asyncio.Task[None]] = {}
        #: Whether requests are accepted; those in flight are finished otherwise.
        self.accepting = True
        #: Whether requests in flight have been ended and further ones are refused.
        self.stopping = False

    @property
    def version(self) -> ConfigurationVersion | None:
        """Return the version of the configuration in force, None without one."""
        return self.route_index.table.version if self.route_index is not None else None

    # Accepting a request

    def serve(self, incoming: Incoming) -> None:
        """Start forwarding a request, or refuse it at once."""
        parsed = call = None
        try:
            parsed = self.dialect.read_request(incoming.headers)
            call = self._open_call(incoming, parsed)
            self._refuse_harmful(call)
        except Refusal as refusal:
            content = call.content if call is not None else ""
            self._refuse(incoming, parsed, refusal, content)
            return
        except Exception as error:
            self._log_error(error)
            refusal = Refusal(ErrorKind.NO_ENDPOINT, repr(error), Ran.NO)
            self._refuse(incoming, parsed, refusal, "")
            return
        self.budget.request(call.service, self.loop.time())
        task = self.loop.create_task(self._run(call))
        self.calls[call] = task
        incoming.on_disconnect = lambda: self._cancel(call)

    def _cancel(self, call: ForwardedCall) -> None:
        """Cancel a request whose caller has disconnected."""
        task = self.calls.get(call)
        if task is None:
            return
        task.cancel()
        if call.time_limit is None:
            # A task that has not started never runs its cleanup.
            del self.calls[call]
            self._log_end(call, "caller left")

    def _open_call(self, incoming: Incoming, parsed: RequestFields) -> ForwardedCall:
        if self.stopping or not self.accepting:
            raise Refusal(ErrorKind.STOPPING, "the router stops")
        found = classify(parsed, incoming.target, self.route_index, self.regions)
        route = found.route
        now = incoming.received
        left = time_left(parsed)
        # The time that a retrying caller has already waited counts against the
        # objective. Where it resumes a stream, the first event was in time, and how
        # long the stream lasted tells nothing.
        estimator = self.wait_estimators.setdefault(route.id, WaitEstimator())
        resumes = parsed.resume_after is not None
        waited = 0.0 if resumes else estimator.waited(left)
        resumes_stream = resumes and route.kind is RouteKind.STREAMING
        return ForwardedCall(
            incoming=incoming,
            parsed=parsed,
            route=route,
            service=route.choose_service(self.draw()),
            organisation=found.organisation,
            priority=found.priority,
            deadline=now + time_to_answer(parsed, route),
            due=now + route.objective - waited,
            resume_after=parsed.resume_after,
            last_event_at=now if resumes_stream else None,
            allowed=found.allowed,
        )

    # Running a request

    async def _run(self, call: ForwardedCall) -> None:
        try:
            await self._forward(call)
        except Exception as error:
            # Not even the refusal could be sent.
            self._log_error(error)
            call.incoming.fail(self._internal_refusal(call, error).answer.status)
        finally:
            self.calls.pop(call, None)

    async def _forward(self, call: ForwardedCall) -> None:
        try:
            async with asyncio.timeout_at(call.deadline) as call.time_limit:
                if call.resume_after is not None:
                    await self._find_origin(call)
                await self._try_endpoints(call)
        except TimeoutError:
            self._end_refused(call, self._deadline_refusal(call))
        except Refusal as refusal:
            self._end_refused(call, refusal)
        except asyncio.CancelledError:
            self._log_end(call, "caller left")
            raise
        except Exception as error:
            self._log_error(error)
            self._end_refused(call, self._internal_refusal(call, error))

    def _log_error(self, error: Exception) -> None:
        logger.exception(
            "internal error while forwarding a request",
            extra={"reason": repr(error)},
        )

    def _internal_refusal(self, call: ForwardedCall, error: Exception) -> Refusal:
        """Return the refusal for an internal error of this router."""
        if call.attempts.may_have_run:
            return Refusal(ErrorKind.INTERNAL, repr(error), Ran.UNKNOWN)
        return Refusal(ErrorKind.NO_ENDPOINT, repr(error), Ran.NO)

    def end_calls(self) -> None:
        """End all requests in flight as at their deadlines, since the router stops."""
        self.stopping = True
        now = self.loop.time()
        for call in self.calls:
            if call.time_limit is None:
                call.deadline = now
            elif not call.time_limit.expired():
                call.time_limit.reschedule(now)

    def _deadline_refusal(self, call: ForwardedCall) -> Refusal:
        detail = "the router stops" if self.stopping else "out of time"
        if call.attempts.may_have_run:
            return Refusal(ErrorKind.NO_ANSWER, detail, Ran.UNKNOWN)
        if self.stopping:
            return Refusal(ErrorKind.STOPPING, detail, Ran.NO)
        return Refusal(ErrorKind.OVERLOADED, "out of time", Ran.NO)

    async def _find_origin(self, call: ForwardedCall) -> None:
        """Find where a stream began that the caller resumes.

        Raises
        ------
        Refusal
            ``stream-not-resumable`` if that is not certain, or the route no longer uses
            that service.
        """
        if call.route.kind is not RouteKind.STREAMING:
            return
        asked_at = self.loop.time()
        finding = await self.origins.find(call.stream, call.route)
        self._log_origin(call, finding, asked_at)
        origin = finding.origin
        if origin is None:
            detail = "it is not known at which software version the stream began"
            # Only the store's silence may pass while the caller waits.
            unconfirmed = finding.failure is ProofFailure.STORE
            wait = UNCONFIRMED_RETRY_AFTER if unconfirmed else None
            raise Refusal(ErrorKind.STREAM_NOT_RESUMABLE, detail, Ran.NO, wait)
        if origin.service not in {item.service for item in call.route.services}:
            detail = "the route no longer uses the service that began the stream"
            raise Refusal(ErrorKind.STREAM_NOT_RESUMABLE, detail, Ran.NO)
        call.origin = origin
        call.service = origin.service
        self._record_origin(call)

    def record_begun(self, call: ForwardedCall, endpoint: Endpoint) -> None:
        """Record where a stream began, before an event of an attempt is forwarded."""
        self.containment.record_begun(call)
        if call.origin is None:
            call.origin = Origin(call.service, endpoint.software)
        self._record_origin(call)

    def _record_origin(self, call: ForwardedCall) -> None:
        """Record the origin of a stream for further returns of its caller."""
        timeout = time_left(call.parsed)
        expires_at = call.incoming.received + timeout + RETURN_MARGIN
        for stream in call.streams:
            self.origins.begun(stream, call.route.id, call.origin, expires_at)

    async def _try_endpoints(self, call: ForwardedCall) -> None:
        try:
            while not await self._try_endpoint(call):
                pass
        finally:
            if call.replaced is not None:
                replaced, call.replaced = call.replaced, None
                self._end_attempt(call, replaced, Outcome.CANCELLED)

    async def _try_endpoint(self, call: ForwardedCall) -> bool:
        """Make one attempt; return whether the request has been answered.

        Raises
        ------
        Refusal
            It has not been answered, and no further attempt is allowed.
        """
        granted, call.replacement = call.replacement, None
        if granted is None:
            granted = await self._obtain_grant(call)
        self._refuse_harmful_after_grant(call, granted)
        end = await self._attempt(call, granted)
        while call.replaced is not None and call.replacement is None:
            # The endpoint that was to replace the silent one has not taken the request.
            if end not in (AttemptEnd.WITHDRAWN, AttemptEnd.YIELDED):
                call.attempts.add(end)
            attempt, call.replaced = call.replaced, None
            end = await self._follow(call, attempt)
        if end is AttemptEnd.WITHDRAWN or call.replacement is not None:
            return False
        if end is AttemptEnd.COMPLETE:
            self.containment.record_success(call, call.incoming.body)
            if call.origin is not None:
                for stream in call.streams:
                    self.origins.completed(stream)
            self._log_end(call, "whole")
            return True
        call.attempts.add(end)
        self._check_retry(call, end)
        return False

    async def _obtain_grant(self, call: ForwardedCall) -> Granted:
        self._check_endpoints(call)
        asked_at = self.loop.time()
        decision = await self.coordinator.place_with_fallback(
            self._offer(call), call.service
        )
        call.grant_wait = self.loop.time() - asked_at
        if isinstance(decision, Rejected):
            call.decider = decision.decider
            raise self._rejection_refusal(call, decision)
        call.basis = decision.basis
        call.decider = decision.basis.decider
        return decision

    def _check_endpoints(self, call: ForwardedCall) -> None:
        """Raise a refusal if no endpoint is one at which the request may run.

        Raises
        ------
        Refusal
            ``endpoint-failed`` if the request may have run; else ``no-endpoint`` if no
            endpoint is in an allowed region, or ``stream-not-resumable`` if none has
            the software version that began the stream.
        """
        if call.allowed is None and call.origin is None:
            return
        weights_for = self.coordinator.weights_for
        if weights_for(call.service, call.allowed, call.software):
            return
        kind, detail = ErrorKind.NO_ENDPOINT, "no endpoint in an allowed region"
        if call.origin is not None:
            kind = ErrorKind.STREAM_NOT_RESUMABLE
            detail = "no endpoint of the software version that began the stream"
        if call.attempts.may_have_run:
            raise Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)
        raise Refusal(kind, detail, Ran.NO)

    def _offer(self, call: ForwardedCall) -> Offer:
        parsed = call.parsed
        return Offer(
            call=self.coordinator.next_call(),
            router=self.coordinator.fleet.own.router,
            data_centre=self.coordinator.fleet.own.data_centre,
            organisation=call.organisation,
            route=call.route.id,
            priority=call.priority,
            prompt=parsed.prompt,
            prompt_tokens=parsed.prompt_tokens,
            output_tokens=parsed.expected_output,
            arrived=self.loop.time(),
            due=min(call.due, call.deadline),
            expires=call.deadline,
            avoid=frozenset(call.tried | call.skipped),
            cached_at=self.coordinator.cached_at(parsed.prompt, call.allowed),
            allowed=call.allowed,
            software=call.software,
            body_bytes=len(call.incoming.body),
            abandoned_at=call.abandoned_at,
        )

    def _rejection_refusal(self, call: ForwardedCall, decision: Rejected) -> Refusal:
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
        call.versions.add(endpoint.software)
        self.coordinator.rests.sent(granted.endpoint, self.loop.time())
        call.copy_source = granted.copy_source
        copy_source = self._check_copy_source(call, granted)
        request = AttemptRequest(call, endpoint, granted.call, copy_source)
        return await self._follow(call, Attempt(self, request))

    async def _follow(self, call: ForwardedCall, attempt: Attempt) -> AttemptEnd:
        """Run an attempt to its end, or until it is to be replaced."""
        call.attempt = attempt
        outcome: Outcome | None = Outcome.CANCELLED
        try:
            end = await attempt.run()
            outcome = outcome_of(attempt, end)
            if call.replacement is not None:
                call.replaced, outcome = attempt, None
                return end
        finally:
            call.attempt = None
            if outcome is not None:
                self._end_attempt(call, attempt, outcome)
        if end is not AttemptEnd.COMPLETE:
            self._log_attempt(call, end, attempt)
        return end

    def _end_attempt(
        self, call: ForwardedCall, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Close an attempt and report its outcome."""
        attempt.close()
        self.coordinator.ended(attempt.call_id, outcome, attempt.kept)
        if outcome is Outcome.CANCELLED and attempt.sent:
            # The deadline passed or the caller disconnected: it may have run.
            call.attempts.may_have_run += 1
        self._report_endpoint_loss(call, attempt, outcome)

    def end_replaced(self, call: ForwardedCall) -> None:
        """End the attempt at a silent endpoint, since another one took the request."""
        replaced, call.replaced = call.replaced, None
        call.attempts.add(AttemptEnd.SILENT)
        self._end_attempt(call, replaced, Outcome.SILENT)
        self._log_attempt(call, AttemptEnd.SILENT, replaced)

    def _check_granted(self, call: ForwardedCall, granted: Granted) -> Endpoint | None:
        """Return the granted endpoint, or None after returning an unusable grant."""
        endpoint = self.coordinator.endpoints.get(granted.endpoint)
        block_reason = (
            self.coordinator.find_block_reason(endpoint, granted)
            if endpoint is not None
            else None
        )
        allowed = endpoint is not None and self._is_allowed(call, endpoint)
        if allowed and call.software not in (None, endpoint.software):
            allowed = False
        if allowed and block_reason is None:
            return endpoint
        if block_reason is not BlockReason.RESTING:
            # An endpoint in backoff may be granted again later: the next offer states
            # when its backoff ends.
            call.skipped.add(granted.endpoint)
        outcome = Outcome.CANCELLED
        if block_reason is not None:
            outcome = block_reason.outcome
            self._log_blocked_grant(call, granted, endpoint, block_reason)
        self.coordinator.ended(granted.call, outcome)
        return None

    def _is_allowed(self, call: ForwardedCall, endpoint: Endpoint) -> bool:
        return call.allowed is None or endpoint.data_centre in call.allowed

    def _check_copy_source(
        self, call: ForwardedCall, granted: Granted
    ) -> Endpoint | None:
        """Return the endpoint to copy the cached prompt from, None if unusable.

        It must have the software version of the granted one.
        """
        copy_source = (
            self.coordinator.endpoints.get(granted.copy_source)
            if granted.copy_source
            else None
        )
        if copy_source is None or self.coordinator.is_excluded(copy_source):
            return None
        granted_endpoint = self.coordinator.endpoints[granted.endpoint]
        if copy_source.software != granted_endpoint.software:
            return None
        return copy_source if self._is_allowed(call, copy_source) else None

    def withdraw_unusable(self) -> None:
        """Withdraw unsent attempts at endpoints that accept no more requests."""
        for call in list(self.calls):
            attempt = call.attempt
            if attempt is None or attempt.sent:
                continue
            endpoint = self.coordinator.endpoints.get(attempt.endpoint.id)
            if endpoint is None or self.coordinator.is_excluded(endpoint):
                call.skipped.add(attempt.endpoint.id)
                attempt.withdraw(BlockReason.LEAVING)
            elif self.coordinator.rests.is_backing_off(endpoint.id, self.loop.time()):
                attempt.withdraw(BlockReason.RESTING)

    def _check_retry(self, call: ForwardedCall, end: AttemptEnd) -> None:
        """Raise the final refusal unless a further attempt is allowed."""
        self._refuse_harmful(call)
        if self.containment.is_suspected(call, begun=call.origin is not None):
            # A crash of one more endpoint would confirm the suspicion; only a retry by
            # the caller may risk that.
            raise final_refusal(call.attempts, end)
        if may_retry(call.route, call.attempts) and self._take_retry(call):
            if call.origin is not None:
                call.due = max(call.due, self.loop.time() + call.route.objective)
            return
        raise final_refusal(call.attempts, end)

    async def find_replacement(self, call: ForwardedCall) -> Granted | None:
        """Return a grant of a further endpoint for a request at a silent one.

        None if no further attempt is allowed now, or no endpoint is free. The retry is
        counted when the grant is accepted.
        """
        if call.attempt is not None:
            # The attempt may last for long, and the endpoint may have crashed under it.
            self._report_endpoint_loss(call, call.attempt, Outcome.SILENT)
        try:
            self._check_replacement(call)
            if call.origin is not None:
                call.due = max(call.due, self.loop.time() + call.route.objective)
            return await self._obtain_grant(call)
        except Refusal as refusal:
            self._log_waiting(call, refusal.detail)
            return None

    def _check_replacement(self, call: ForwardedCall) -> None:
        """Raise the refusal of a further attempt beside the one in flight."""
        self._refuse_harmful(call)
        attempts = msgspec.structs.replace(call.attempts)
        attempts.add(AttemptEnd.SILENT)
        suspected = self.containment.is_suspected(call, begun=call.origin is not None)
        if suspected or not may_retry(call.route, attempts):
            raise final_refusal(attempts, AttemptEnd.SILENT)
        routers = self.coordinator.fleet.known_size
        if not self.budget.allows(call.service, routers, self.loop.time()):
            detail = "retry budget exhausted"
            raise Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)

    def accept_replacement(self, call: ForwardedCall, granted: Granted) -> bool:
        """Return whether a request continues at the granted endpoint.

        A grant that is not accepted has been returned.
        """
        if self._check_granted(call, granted) is None:
            return False
        if not self._take_retry(call):
            self.give_back(granted)
            return False
        call.replacement = granted
        return True

    def give_back(self, granted: Granted) -> None:
        """Return an unused grant to its scheduler."""
        self.coordinator.ended(granted.call, Outcome.CANCELLED)

    def _take_retry(self, call: ForwardedCall) -> bool:
        """Take one retry from this router's share of the budget, if any is left."""
        routers = self.coordinator.fleet.known_size
        now = self.loop.time()
        window = self.budget.window(call.service, routers, now)
        taken = self.budget.take(call.service, routers, now)
        self.metrics.record_retry(call.service, taken)
        logger.info(
            "retrying at a further endpoint" if taken else "retry budget exhausted",
            extra={
                "request": call.parsed.id,
                "service": call.service,
                "requests": window.requests,
                "repeats": window.repeats,
                "allowed": round(window.allowed, 1),
                "routers": routers,
            },
        )
        return taken

    # Contents under which endpoints crash

    def _refuse_harmful(self, call: ForwardedCall) -> None:
        """Raise a refusal if the request's content is in quarantine.

        Raises
        ------
        Refusal
            ``endpoint-failed`` if an earlier attempt may have run, else the refusal
            of the quarantine.
        """
        try:
            self.containment.reject_harmful(call)
        except Refusal as refusal:
            if call.attempts.may_have_run or call.replaced is not None:
                kind = ErrorKind.ENDPOINT_FAILED
                raise Refusal(kind, refusal.detail, Ran.UNKNOWN) from None
            raise

    def _refuse_harmful_after_grant(
        self, call: ForwardedCall, granted: Granted
    ) -> None:
        try:
            self._refuse_harmful(call)
        except Refusal:
            self.give_back(granted)
            raise

    def _report_endpoint_loss(
        self, call: ForwardedCall, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Report an endpoint that crashed or fell silent during an attempt."""
        now = self.loop.time()
        endpoint = attempt.endpoint
        at = now
        silent = outcome in (Outcome.CANCELLED, Outcome.SILENT)
        if silent:
            if not attempt.sent or attempt.stopped:
                return
            if not self.endpoint_activity.is_silent(endpoint.id, attempt.started, now):
                return
            at = max(
                attempt.started,
                self.endpoint_activity.last_byte_at.get(endpoint.id, 0.0),
            )
        elif not attempt.suspend_endpoint:
            return
        begun = attempt.first_event_delay is not None
        loss = LostAttempt(
            call.content,
            call.organisation,
            endpoint,
            at,
            begun,
            attempt.started,
            call.parts,
            silent,
        )
        self.containment.reports.note(loss)

    def stop_quarantined(self, content: ContentId) -> None:
        """Stop the attempts that carry a content which was just quarantined.

        Of those with a part of a prompt, the ones whose answer has begun are harmless.
        """
        organisation = self.containment.quarantine.get(content).organisation
        for call in list(self.calls):
            if call.attempt is None or call.organisation != organisation:
                continue
            begun = call.attempt.first_event_delay is not None
            if content != call.content and (begun or content not in call.parts):
                continue
            try:
                self.containment.reject_harmful(call)
            except Refusal:
                call.attempt.stop()
                if call.replaced is not None:
                    call.replaced.stop()

    # Answers

    def answer(
        self, call: ForwardedCall, answer_head: ResponseFields, body: bytes
    ) -> None:
        """Send an endpoint's complete answer to the caller."""
        call.status = answer_head.status
        call.first_byte_at = self.loop.time()
        call.incoming.answer(answer_head.status, answer_head.forwarded, body)

    def begin(self, call: ForwardedCall, answer_head: ResponseFields) -> None:
        """Send the head of an endpoint's streamed answer to the caller."""
        call.status = answer_head.status
        call.first_byte_at = self.loop.time()
        call.attempts.answer_started = True
        call.incoming.begin(answer_head.status, answer_head.forwarded)

    def _end_refused(self, call: ForwardedCall, refusal: Refusal) -> None:
        if call.attempts.answer_started:
            self._log_end(call, "cut")
            call.incoming.abort()
            return
        call.status = refusal.answer.status
        self._log_end(call, refusal.kind.value, refusal.detail, refusal.ran)
        self._send_refusal(call.incoming, call.parsed, refusal)

    def _refuse(
        self,
        incoming: Incoming,
        parsed: RequestFields | None,
        refusal: Refusal,
        content: ContentId | str,
    ) -> None:
        known = self.in_force
        logger.info(
            "request refused",
            extra={
                "request": parsed.id if parsed is not None else "",
                "content": content,
                "kind": refusal.kind.value,
                "reason": refusal.detail,
                "version": self.version,
                "in_force_s": self._configuration_age(),
                "told_by": known.source if known is not None else "",
            },
        )
        self._send_refusal(incoming, parsed, refusal)

    def _send_refusal(
        self, incoming: Incoming, parsed: RequestFields | None, refusal: Refusal
    ) -> None:
        self.metrics.refused(refusal.kind)
        headers = self.dialect.refusal_headers(parsed, refusal)
        body = b""
        if refusal.answer.has_problem_document:
            body = problem.encode(refusal, parsed.id if parsed is not None else "")
            headers.append(("Content-Type", problem.CONTENT_TYPE))
        incoming.answer(refusal.answer.status, headers, body)

    # Logs

    def _configuration_age(self) -> float | None:
        """Return the seconds since the configuration came into force."""
        if self.in_force is None:
            return None
        return round(self.loop.time() - self.in_force.since, 2)

    def _log_waiting(self, call: ForwardedCall, reason: str) -> None:
        """Log that a request stays at a silent endpoint, once for each reason."""
        if reason == call.waiting_reason:
            return
        call.waiting_reason = reason
        logger.info(
            "waiting for a silent endpoint",
            extra={
                "request": call.parsed.id,
                "endpoints": sorted(call.tried),
                "reason": reason,
            },
        )

    def _log_blocked_grant(
        self,
        call: ForwardedCall,
        granted: Granted,
        endpoint: Endpoint,
        block_reason: BlockReason,
    ) -> None:
        """Log and count a grant that is returned because its endpoint is blocked.

        The scheduling router decided on less recent knowledge than this router has.
        """
        self.metrics.barred_grants[block_reason.value] += 1
        since = self.coordinator.leaving_since.get(endpoint.name, self.loop.time())
        known = self.coordinator.basis()
        logger.info(
            BLOCKED_GRANT_EVENTS[block_reason],
            extra={
                "request": call.parsed.id,
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
        begun = attempt.first_event_delay
        now = self.loop.time()
        silence = self.endpoint_activity.silence(
            attempt.endpoint.id, attempt.started, now
        )
        logger.info(
            "attempt failed",
            extra={
                "request": call.parsed.id,
                "content": call.content,
                "organisation": call.organisation,
                "parts": [part.id for part in call.parsed.prompt],
                "endpoint": attempt.endpoint.id,
                "end": end.value,
                "reason": attempt.reason,
                "sends": len(call.tried),
                "lasted_ms": round((now - attempt.started) * 1000, 1),
                "begun_ms": round(begun * 1000, 1) if begun is not None else None,
                "silent_ms": round(silence * 1000, 1),
            },
        )

    def _log_origin(
        self, call: ForwardedCall, finding: Finding, asked_at: float
    ) -> None:
        """Log and count on what the origin of a resumed stream rests."""
        self.metrics.resumed_streams[finding.source.value] += 1
        origin = finding.origin
        extra = {
            "request": call.parsed.id,
            "stream": call.stream,
            "resume_after": call.parsed.resume_after,
            "route": call.route.id,
            "origin_service": origin.service if origin is not None else "",
            "origin_version": origin.software if origin is not None else "",
            "evidence": finding.source.value,
            "queried": finding.queried,
            "replies": {name: item.value for name, item in finding.replies.items()},
            "proof": finding.failure.value if finding.failure is not None else "",
            "lasted_ms": round((self.loop.time() - asked_at) * 1000, 1),
        }
        logger.info("stream resumed", extra=extra | self.origins.describe(call.route))

    def _log_end(
        self,
        call: ForwardedCall,
        end: str,
        detail: str = "",
        ran: Ran | None = None,
    ) -> None:
        now = self.loop.time()
        arrived = call.incoming.received
        first = call.first_byte_at - arrived if call.first_byte_at else None
        self.metrics.ended(call.organisation, end, call.grant_wait, first)
        basis = call.basis
        logger.info(
            "request ended",
            extra={
                "request": call.parsed.id,
                "end": end,
                "status": call.status,
                "reason": detail,
                "ran": ran.value if ran is not None else "",
                "route": call.route.id,
                "organisation": call.organisation,
                "resumes": call.parsed.resumes,
                "resume_after": call.parsed.resume_after,
                "endpoints": sorted(call.tried),
                "versions": sorted(call.versions),
                "donor": call.copy_source or "",
                "decider": call.decider or "",
                "offset": offset_of(basis.offset) if basis is not None else 0,
                "age_ms": round(basis.age * 1000, 1) if basis is not None else None,
                "version": self.version,
                "in_force_s": self._configuration_age(),
                "waited_ms": round(call.grant_wait * 1000, 1),
                "first_ms": round(first * 1000, 1) if first is not None else None,
                "whole_ms": round((now - arrived) * 1000, 1),
                "objective_left_ms": round((call.due - now) * 1000, 1),
                "time_left_ms": round((call.deadline - now) * 1000, 1),
            },
        )


def outcome_of(attempt: Attempt, end: AttemptEnd) -> Outcome:
    """Return the outcome of an attempt that is reported to the scheduler."""
    if attempt.withdrawn is not None:
        return attempt.withdrawn.outcome
    if end is AttemptEnd.COMPLETE and attempt.is_error:
        # The answer went to the caller, and may not be retried.
        return Outcome.FAILED
    return ATTEMPT_OUTCOMES[end]
