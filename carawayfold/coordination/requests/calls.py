"""Handles a caller's request, from its arrival to its one answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.containment.crash_reports import LostAttempt
from carawayfold.coordination.requests.at_most_once import AtMostOnceRunner
from carawayfold.coordination.requests.relay import (
    DECLINED_STATUSES,
    CompleteAnswer,
    Relay,
)
from carawayfold.errors import ErrorKind, Ran, Refusal
from carawayfold.protocol import callers, problem
from carawayfold.settings import Address
from carawayfold.state.contents import content_id
from carawayfold.state.endpoints import Endpoint
from carawayfold.state.ids import DataCentreId, EndpointName, ServiceId
from carawayfold.transport.client import ExchangeError, Phase

if TYPE_CHECKING:
    from circuits.web.wrappers import Request, Response

    from carawayfold.coordination.containment.containment import Containment
    from carawayfold.coordination.requests.at_most_once import AskOwner
    from carawayfold.coordination.requests.claims import Claims, OwnClaim
    from carawayfold.coordination.slots.dispatch import Dispatcher
    from carawayfold.coordination.slots.health import EndpointHealthTracker
    from carawayfold.protocol.callers import CallerRequest
    from carawayfold.settings import Settings
    from carawayfold.state.configuration import Endpoint as ConfiguredEndpoint
    from carawayfold.state.configuration import Service
    from carawayfold.state.configuration_view import ConfigView
    from carawayfold.state.ids import ContentId, EndpointId, OrganisationId
    from carawayfold.state.metrics import Metrics
    from carawayfold.transport.client import HttpClient
    from carawayfold.transport.server import EdgeServer

logger = logbook.Logger(__name__)

#: Attempts for one request, the first one included.
MAX_TOTAL_ATTEMPTS = 3
#: Most retries that a budget accumulates.
MAX_SAVED_RETRIES = 10.0


@dataclass(slots=True, eq=False)
class Call:
    """One request in flight.

    Attributes
    ----------
    request : CallerRequest
        The parsed request.
    response : Response
        The answer to the caller.
    organisation : OrganisationId
        Organisation of the API key.
    service : Service
        The requested service.
    arrived : float
        Loop time at which the request was received.
    deadline : float
        Loop time by which an endpoint must have been granted.
    at_most_once : bool
        Whether the request may run at most once.
    task : asyncio.Task or None
        Task that handles the request; cancelled if the caller disconnects.
    relay : Relay or None
        The last attempt.
    claim : OwnClaim or None
        Claim on the idempotency key, if this request holds one.
    """

    request: CallerRequest
    response: Response
    organisation: OrganisationId
    service: Service
    arrived: float
    deadline: float
    at_most_once: bool
    task: asyncio.Task[None] | None = None
    relay: Relay | None = None
    claim: OwnClaim | None = None

    @property
    def content(self) -> ContentId:
        """Return the digest of the request's content, equal for all its retries."""
        request = self.request
        method, path = request.method.encode(), request.path.encode()
        return content_id(self.organisation, method, path, request.body)

    @property
    def parts(self) -> tuple[ContentId, ...]:
        """Return no parts: callers of this interface do not name those of prompts."""
        return ()

    @property
    def has_idempotency_key(self) -> bool:
        """Return whether retries of the request can be recognised."""
        return bool(self.request.idempotency_key)

    def handle_disconnect(self) -> None:
        """Cancel the request of a disconnected caller if it has no idempotency key.

        With a key it continues, since a retry with the key gets the stored answer.
        """
        if not self.has_idempotency_key:
            self.task.cancel()


class AttemptFailed(Exception):
    """An attempt failed, and the request may be retried at another endpoint."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def endpoint_from_configuration(endpoint: ConfiguredEndpoint) -> Endpoint:
    """Return a configured endpoint in the form of a registered one."""
    return Endpoint(
        EndpointName(endpoint.id),
        ServiceId(endpoint.service),
        Address(endpoint.host, endpoint.port),
        DataCentreId(endpoint.data_centre),
        endpoint.slots,
        leaving=endpoint.draining,
    )


def with_earlier_outcome(refusal: Refusal, earlier: Ran) -> Refusal:
    """Return `refusal` with `ran` corrected by the result of earlier attempts.

    A refusal must not state that the request did not run if an earlier attempt ran it,
    or may have.
    """
    if refusal.ran is Ran.NO and earlier is not Ran.NO:
        return replace(refusal, ran=earlier)
    return refusal


class RetryBudget:
    """Limits retries to a share of the requests, so that overload isn't amplified.

    Parameters
    ----------
    ratio : float
        Retries that each request adds to the budget.

    Attributes
    ----------
    available : float
        Retries that may be made now.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.available = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Add the share of a new request."""
        self.available = min(MAX_SAVED_RETRIES, self.available + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


class CallHandler:
    """Handles callers' requests: scheduling, attempts, retries and answers.

    Parameters
    ----------
    settings : Settings
        Source of the default deadline, timeouts and the retry budget.
    view : ConfigView
        Configuration in force.
    dispatcher : Dispatcher
        Grants slots of endpoints.
    health : EndpointHealthTracker
        Records successes and failures of endpoints.
    metrics : Metrics
        Counters and histograms by organisation.
    http : HttpClient
        Connections to endpoints.
    claims : Claims
        Claims on idempotency keys.
    ask_owner : callable
        Asks the router that made a claim for the outcome of its request.
    containment : Containment
        Rejects requests with contents under which endpoints crash.

    Attributes
    ----------
    calls : set of Call
        Requests in flight.
    ready : bool
        Whether a configuration is in force, so that requests are accepted.
    stopping : bool
        Whether the router is stopping: new requests are refused, none is retried.
    """

    def __init__(
        self,
        settings: Settings,
        view: ConfigView,
        dispatcher: Dispatcher,
        health: EndpointHealthTracker,
        metrics: Metrics,
        http: HttpClient,
        claims: Claims,
        ask_owner: AskOwner,
        containment: Containment,
    ) -> None:
        self.containment = containment
        self.at_most_once = AtMostOnceRunner(claims, ask_owner, self.attempt)
        self.settings = settings
        self.view = view
        self.dispatcher = dispatcher
        self.health = health
        self.metrics = metrics
        self.http = http
        self.edge: EdgeServer | None = None
        self.budget = RetryBudget(settings.retry_budget)
        self.calls: set[Call] = set()
        self.ready = False
        self.stopping = False

    def serve(self, request: Request, response: Response, body: bytes) -> None:
        """Start handling one request, or refuse it at once."""
        response.headers["X-Request-Id"] = request.headers.get("X-Request-Id", "")
        try:
            call = self._open_call(request, response, body)
        except Refusal as refusal:
            self.refuse(response, refusal)
            return
        self.calls.add(call)
        call.task = asyncio.get_running_loop().create_task(self._run(call))
        self.edge.watch(request, call.handle_disconnect)

    def _open_call(self, request: Request, response: Response, body: bytes) -> Call:
        request_id = callers.parse_request_id(request.headers)
        response.headers["X-Request-Id"] = request_id
        if self.stopping:
            raise Refusal(ErrorKind.STOPPING)
        if not self.ready:
            raise Refusal(ErrorKind.NOT_READY)
        path = request.path + (f"?{request.qs}" if request.qs else "")
        parsed = callers.parse(request_id, request.method, path, request.headers, body)
        organisation = self.view.organisation_of(parsed.api_key)
        service = self.view.service(parsed.service)
        if service.model is not parsed.chat:
            raise Refusal(ErrorKind.UNKNOWN_SERVICE, "another path serves this one")
        now = asyncio.get_running_loop().time()
        deadline = now + (parsed.timeout or self.settings.deadline)
        at_most_once = bool(parsed.idempotency_key) or not service.repeatable
        call = Call(
            parsed, response, organisation, service, now, deadline, at_most_once
        )
        self.containment.reject_harmful(call)
        return call

    async def _run(self, call: Call) -> None:
        self.budget.deposit()
        try:
            answer = await self._answer(call)
        except Refusal as refusal:
            self._end_refused(call, refusal)
        except asyncio.CancelledError:
            self._log(call, "cancelled")
        except Exception:
            logger.exception("request failed")
            self._end_refused(call, Refusal(ErrorKind.INTERNAL, ran=Ran.UNKNOWN))
        else:
            self._end_complete(call, answer)
        finally:
            self.calls.discard(call)

    async def _answer(self, call: Call) -> CompleteAnswer:
        if call.has_idempotency_key:
            return await self.at_most_once.run(call)
        return await self.attempt(call)

    async def attempt(self, call: Call) -> CompleteAnswer:
        """Send `call` to an endpoint and return the answer; retry where it is safe.

        Raises
        ------
        Refusal
            No attempt succeeded; `ran` states whether the request ran in any of them.
        """
        failed: frozenset[EndpointId] = frozenset()
        ran = Ran.NO
        while True:
            try:
                endpoint = await self.dispatcher.acquire(
                    call.request, call.organisation, call.deadline, failed
                )
                self._refuse_harmful_after_acquire(call, endpoint)
                return await self._use_slot(call, endpoint)
            except AttemptFailed as failure:
                refusal = failure.refusal
            except Refusal as refusal:
                raise with_earlier_outcome(refusal, ran) from None
            ran = with_earlier_outcome(refusal, ran).ran
            failed |= {endpoint}
            if not self._may_retry(call, refusal, failed):
                raise with_earlier_outcome(refusal, ran)

    async def _use_slot(self, call: Call, endpoint: EndpointId) -> CompleteAnswer:
        """Run one attempt and release the slot.

        Raises
        ------
        AttemptFailed
            The attempt failed, and the request may be retried elsewhere.
        """
        metrics = self.metrics.of(call.organisation)
        waited = asyncio.get_running_loop().time() - call.arrived
        metrics.wait.record_value(max(1, int(waited * 1000)))
        relay = None
        try:
            relay = call.relay = self._build_relay(call, endpoint)
            return self._check_answer(call, endpoint, await relay.run())
        except ExchangeError as error:
            self.health.failed(endpoint)
            if error.phase is not Phase.CONNECTING:
                self._report_endpoint_loss(call, endpoint)
            ran = Ran.NO if error.phase is Phase.CONNECTING else Ran.UNKNOWN
            refusal = Refusal(ErrorKind.ENDPOINT_FAILED, str(error), ran)
            raise AttemptFailed(refusal) from None
        except Refusal as refusal:
            if refusal.kind is ErrorKind.ANSWER_BROKEN:
                self.health.failed(endpoint)
                self._report_endpoint_loss(call, endpoint)
            raise AttemptFailed(refusal) from None
        finally:
            received = relay.service_received() if relay else 0.0
            metrics.service += received
            self.dispatcher.release(
                call.request.service, call.organisation, endpoint, received
            )

    def _build_relay(self, call: Call, endpoint: EndpointId) -> Relay:
        configured = self.view.endpoints.get(endpoint)
        if call.claim is not None and not self.at_most_once.claims.may_send(call.claim):
            raise Refusal(ErrorKind.LOG_UNAVAILABLE, "the claim has lapsed")
        if configured is None:
            raise Refusal(ErrorKind.NO_ENDPOINT, "the endpoint was removed")
        return Relay(
            self.http,
            self.edge,
            self.settings,
            call.request,
            call.response,
            Address(configured.host, configured.port),
            call.at_most_once,
        )

    def _check_answer(
        self, call: Call, endpoint: EndpointId, answer: CompleteAnswer
    ) -> CompleteAnswer:
        """Return `answer` if it is for the caller, and record the endpoint's health.

        Raises
        ------
        Refusal
            The endpoint declined the request, or failed and a retry is allowed.
        """
        if answer.status < 500:
            self.health.succeeded(endpoint)
            return answer
        self.health.failed(endpoint)
        if answer.already_sent:
            return answer
        if answer.status in DECLINED_STATUSES:
            raise Refusal(ErrorKind.ENDPOINT_FAILED, "the endpoint declined")
        if call.at_most_once:
            return answer
        detail = f"the endpoint answered {answer.status}"
        raise Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)

    def _may_retry(
        self, call: Call, refusal: Refusal, failed: frozenset[EndpointId]
    ) -> bool:
        if len(failed) >= MAX_TOTAL_ATTEMPTS or self.stopping:
            return False
        if self.containment.is_suspected(call):
            return False
        if not self._untried_endpoints(call, failed):
            return False
        if call.relay is not None and call.relay.answer_started:
            return False
        if refusal.ran is not Ran.NO and call.at_most_once:
            return False
        return self.budget.try_spend()

    def _untried_endpoints(
        self, call: Call, failed: frozenset[EndpointId]
    ) -> list[str]:
        """Return the endpoints of the service at which no attempt failed."""
        return [
            name
            for name, endpoint in self.view.endpoints.items()
            if endpoint.service == call.service.id
            and not endpoint.draining
            and name not in failed
        ]

    # Contents under which endpoints crash

    def _refuse_harmful_after_acquire(self, call: Call, endpoint: EndpointId) -> None:
        try:
            self.containment.reject_harmful(call)
        except Refusal:
            self.dispatcher.release(
                call.request.service, call.organisation, endpoint, 0.0, 0
            )
            raise

    def _report_endpoint_loss(self, call: Call, endpoint: EndpointId) -> None:
        configured = self.view.endpoints.get(endpoint)
        if configured is None:
            return
        now = asyncio.get_running_loop().time()
        answer_started = call.relay is not None and call.relay.answer_started
        registered = endpoint_from_configuration(configured)
        started = call.relay.started_at if call.relay is not None else None
        loss = LostAttempt(
            call.content, call.organisation, registered, now, answer_started, started
        )
        self.containment.reports.note(loss)

    def _end_complete(self, call: Call, answer: CompleteAnswer) -> None:
        self.containment.record_success(call, call.request.body)
        self._record_first_byte(call)
        self.metrics.of(call.organisation).whole += 1
        if self.stopping:
            call.response.close = True
        if answer.already_sent:
            self.edge.end(call.response)
        else:
            call.response.status = answer.status
            for name, value in answer.headers.items():
                call.response.headers[name.title()] = value
            self.edge.answer(call.response, answer.body)
        self._log(call, "whole")

    def _record_first_byte(self, call: Call) -> None:
        if call.relay is None or not call.relay.first_byte_at:
            return
        first_ms = int((call.relay.first_byte_at - call.arrived) * 1000)
        self.metrics.of(call.organisation).first.record_value(max(1, first_ms))

    def _end_refused(self, call: Call, refusal: Refusal) -> None:
        metrics = self.metrics.of(call.organisation)
        self._log(call, refusal.kind.value)
        if call.relay is not None and call.relay.answer_started:
            metrics.broken += 1
            self._end_broken(call, refusal)
            return
        metrics.refused += 1
        self.refuse(call.response, refusal)

    def _end_broken(self, call: Call, refusal: Refusal) -> None:
        """Abort an answer that was started; a stream gets an error event first.

        The caller must be able to distinguish it from a complete answer.
        """
        if call.request.streamed:
            document = problem.encode(refusal, call.request.request_id)
            self.edge.send(call.response, b'data: {"error": %b}\n\n' % document)
        self.edge.abort(call.response)

    def refuse(self, response: Response, refusal: Refusal) -> None:
        """Answer with a problem document for `refusal`."""
        response.status = refusal.answer.status
        response.headers["Content-Type"] = problem.CONTENT_TYPE
        if refusal.wait is not None:
            response.headers["Retry-After"] = str(refusal.wait)
        if self.stopping:
            response.close = True
        request_id = str(response.headers.get("X-Request-Id", ""))
        self.edge.answer(response, problem.encode(refusal, request_id))

    def _log(self, call: Call, end: str) -> None:
        logger.debug(
            "request ended",
            extra={
                "request": call.request.request_id,
                "organisation": call.organisation,
                "service": call.request.service,
                "end": end,
            },
        )
