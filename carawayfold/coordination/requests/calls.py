"""The life of one caller's request, from its arrival to its one answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.containment.crash_reports import Loss
from carawayfold.coordination.requests.once import OnceRunner
from carawayfold.coordination.requests.relay import DECLINED, Relay, WholeAnswer
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
    from carawayfold.coordination.requests.claims import Claims, OwnClaim
    from carawayfold.coordination.requests.once import AskOwner
    from carawayfold.coordination.slots.dispatch import Dispatcher
    from carawayfold.coordination.slots.health import HealthBook
    from carawayfold.protocol.callers import CallerRequest
    from carawayfold.settings import Settings
    from carawayfold.state.configuration import Endpoint as ConfiguredEndpoint
    from carawayfold.state.configuration import Service
    from carawayfold.state.ids import ContentId, EndpointId, OrganisationId
    from carawayfold.state.metrics import Metrics
    from carawayfold.state.view import ConfigView
    from carawayfold.transport.client import HttpClient
    from carawayfold.transport.server import EdgeServer

logger = logbook.Logger(__name__)

#: Attempts of one request in all.
ATTEMPTS = 3
#: Retries that may be saved up.
RETRIES_SAVED = 10.0


@dataclass(slots=True, eq=False)
class Call:
    """One request being served.

    Attributes
    ----------
    arrived : float
        Loop time of arrival.
    deadline : float
        Loop time by which it must have begun.
    once : bool
        Whether it may run at most once.
    task : asyncio.Task or None
        Cancelled if the caller goes away.
    """

    request: CallerRequest
    response: Response
    organisation: OrganisationId
    service: Service
    arrived: float
    deadline: float
    once: bool
    task: asyncio.Task[None] | None = None
    relay: Relay | None = None
    claim: OwnClaim | None = None

    @property
    def content(self) -> ContentId:
        """Return the digest of what is asked, equal for each repeat."""
        asked = self.request
        method, path = asked.method.encode(), asked.path.encode()
        return content_id(self.organisation, method, path, asked.body)

    @property
    def keyed(self) -> bool:
        """Return whether repeats of the request can be told."""
        return bool(self.request.idempotency_key)

    def leave(self) -> None:
        """Note that the caller has gone: cancel, unless the answer is to be kept."""
        if not self.keyed:
            self.task.cancel()


class AttemptFailed(Exception):
    """One attempt failed; the request may be tried elsewhere."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def registration(endpoint: ConfiguredEndpoint) -> Endpoint:
    """Return a configured endpoint as registrations tell of others."""
    return Endpoint(
        EndpointName(endpoint.id),
        ServiceId(endpoint.service),
        Address(endpoint.host, endpoint.port),
        DataCentreId(endpoint.data_centre),
        endpoint.slots,
        leaving=endpoint.draining,
    )


def truthful(refusal: Refusal, earlier: Ran) -> Refusal:
    """Return `refusal`, not denying what an earlier attempt may have done."""
    if refusal.ran is Ran.NO and earlier is not Ran.NO:
        return replace(refusal, ran=earlier)
    return refusal


class RetryBudget:
    """Bounds retries to a share of the requests, so that they can't multiply.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.saved = RETRIES_SAVED

    def earn(self) -> None:
        """Note a new request."""
        self.saved = min(RETRIES_SAVED, self.saved + self.ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


class CallHandler:
    """Serves callers' requests.

    Parameters
    ----------
    settings : Settings
        Deadlines and budgets.
    view : ConfigView
        Configuration in force.
    dispatcher : Dispatcher
        Slots.
    health : HealthBook
        Experience with endpoints.
    metrics : Metrics
        Where the ends of requests are counted.
    http : HttpClient
        Connections to endpoints.
    claims : Claims
        For requests that may run at most once.
    ask_owner : callable
        Asks the router that holds a claim what became of it.
    containment : Containment
        Verdicts on contents under which endpoints end.
    """

    def __init__(
        self,
        settings: Settings,
        view: ConfigView,
        dispatcher: Dispatcher,
        health: HealthBook,
        metrics: Metrics,
        http: HttpClient,
        claims: Claims,
        ask_owner: AskOwner,
        containment: Containment,
    ) -> None:
        self.containment = containment
        self.once = OnceRunner(claims, ask_owner, self.attempt)
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
        """Serve one request; answers through the edge server."""
        response.headers["X-Request-Id"] = request.headers.get("X-Request-Id", "")
        try:
            call = self._open(request, response, body)
        except Refusal as refusal:
            self.refuse(response, refusal)
            return
        self.calls.add(call)
        call.task = asyncio.get_running_loop().create_task(self._run(call))
        self.edge.watch(request, call.leave)

    def _open(self, request: Request, response: Response, body: bytes) -> Call:
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
        once = bool(parsed.idempotency_key) or not service.repeatable
        call = Call(parsed, response, organisation, service, now, deadline, once)
        self.containment.refuse_harmful(call)
        return call

    async def _run(self, call: Call) -> None:
        self.budget.earn()
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
            self._end_whole(call, answer)
        finally:
            self.calls.discard(call)

    async def _answer(self, call: Call) -> WholeAnswer:
        if call.keyed:
            return await self.once.run(call)
        return await self.attempt(call)

    async def attempt(self, call: Call) -> WholeAnswer:
        """Have `call` answered by an endpoint, retrying only where that is safe.

        Raises
        ------
        Refusal
            With the truth about whether the request ran.
        """
        failed: frozenset[EndpointId] = frozenset()
        ran = Ran.NO
        while True:
            try:
                endpoint = await self.dispatcher.acquire(
                    call.request, call.organisation, call.deadline, failed
                )
                self._refuse_acquired(call, endpoint)
                return await self._use_slot(call, endpoint)
            except AttemptFailed as failure:
                refusal = failure.refusal
            except Refusal as refusal:
                raise truthful(refusal, ran) from None
            ran = truthful(refusal, ran).ran
            failed |= {endpoint}
            if not self._may_retry(call, refusal, failed):
                raise truthful(refusal, ran)

    async def _use_slot(self, call: Call, endpoint: EndpointId) -> WholeAnswer:
        """Run one attempt and give the slot back.

        Raises
        ------
        AttemptFailed
            If it might be tried elsewhere.
        """
        metrics = self.metrics.of(call.organisation)
        waited = asyncio.get_running_loop().time() - call.arrived
        metrics.wait.record_value(max(1, int(waited * 1000)))
        relay = None
        try:
            relay = call.relay = self._build_relay(call, endpoint)
            return self._judge(call, endpoint, await relay.run())
        except ExchangeError as error:
            self.health.failed(endpoint)
            if error.phase is not Phase.CONNECTING:
                self._note_loss(call, endpoint)
            ran = Ran.NO if error.phase is Phase.CONNECTING else Ran.UNKNOWN
            refusal = Refusal(ErrorKind.ENDPOINT_FAILED, str(error), ran)
            raise AttemptFailed(refusal) from None
        except Refusal as refusal:
            if refusal.kind is ErrorKind.ANSWER_BROKEN:
                self.health.failed(endpoint)
                self._note_loss(call, endpoint)
            raise AttemptFailed(refusal) from None
        finally:
            received = relay.service_received() if relay else 0.0
            metrics.service += received
            self.dispatcher.release(
                call.request.service, call.organisation, endpoint, received
            )

    def _build_relay(self, call: Call, endpoint: EndpointId) -> Relay:
        known = self.view.endpoints.get(endpoint)
        if call.claim is not None and not self.once.claims.may_send(call.claim):
            raise Refusal(ErrorKind.LOG_UNAVAILABLE, "the claim has lapsed")
        if known is None:
            raise Refusal(ErrorKind.NO_ENDPOINT, "the endpoint was removed")
        return Relay(
            self.http,
            self.edge,
            self.settings,
            call.request,
            call.response,
            Address(known.host, known.port),
            call.once,
        )

    def _judge(
        self, call: Call, endpoint: EndpointId, answer: WholeAnswer
    ) -> WholeAnswer:
        """Return `answer` if it is one for the caller, and note the health."""
        if answer.status < 500:
            self.health.succeeded(endpoint)
            return answer
        self.health.failed(endpoint)
        if answer.passed_on:
            return answer
        if answer.status in DECLINED:
            raise Refusal(ErrorKind.ENDPOINT_FAILED, "the endpoint declined")
        if call.once:
            return answer
        detail = f"the endpoint answered {answer.status}"
        raise Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)

    def _may_retry(
        self, call: Call, refusal: Refusal, failed: frozenset[EndpointId]
    ) -> bool:
        if len(failed) >= ATTEMPTS or self.stopping:
            return False
        if self.containment.is_suspected(call):
            return False
        if not self._others(call, failed):
            return False
        if call.relay is not None and call.relay.begun:
            return False
        if refusal.ran is not Ran.NO and call.once:
            return False
        return self.budget.spend()

    def _others(self, call: Call, failed: frozenset[EndpointId]) -> list[str]:
        """Return the endpoints of the call's service that have not failed it."""
        return [
            name
            for name, endpoint in self.view.endpoints.items()
            if endpoint.service == call.service.id
            and not endpoint.draining
            and name not in failed
        ]

    # Contents under which endpoints end

    def _refuse_acquired(self, call: Call, endpoint: EndpointId) -> None:
        try:
            self.containment.refuse_harmful(call)
        except Refusal:
            self.dispatcher.release(
                call.request.service, call.organisation, endpoint, 0.0, 0
            )
            raise

    def _note_loss(self, call: Call, endpoint: EndpointId) -> None:
        known = self.view.endpoints.get(endpoint)
        if known is None:
            return
        now = asyncio.get_running_loop().time()
        begun = call.relay is not None and call.relay.begun
        found = registration(known)
        started = call.relay.started_at if call.relay is not None else None
        loss = Loss(call.content, call.organisation, found, now, begun, started)
        self.containment.reports.note(loss)

    def _end_whole(self, call: Call, answer: WholeAnswer) -> None:
        self.containment.note_well(call, call.request.body)
        self._count_first(call)
        self.metrics.of(call.organisation).whole += 1
        if self.stopping:
            call.response.close = True
        if answer.passed_on:
            self.edge.end(call.response)
        else:
            call.response.status = answer.status
            for name, value in answer.headers.items():
                call.response.headers[name.title()] = value
            self.edge.answer(call.response, answer.body)
        self._log(call, "whole")

    def _count_first(self, call: Call) -> None:
        if call.relay is None or not call.relay.first_at:
            return
        first_ms = int((call.relay.first_at - call.arrived) * 1000)
        self.metrics.of(call.organisation).first.record_value(max(1, first_ms))

    def _end_refused(self, call: Call, refusal: Refusal) -> None:
        metrics = self.metrics.of(call.organisation)
        self._log(call, refusal.kind.value)
        if call.relay is not None and call.relay.begun:
            metrics.broken += 1
            self._end_broken(call, refusal)
            return
        metrics.refused += 1
        self.refuse(call.response, refusal)

    def _end_broken(self, call: Call, refusal: Refusal) -> None:
        """End a stream with an explicit error, and never as if it were whole."""
        if call.request.streamed:
            document = problem.encode(refusal, call.request.request_id)
            self.edge.send(call.response, b'data: {"error": %b}\n\n' % document)
        self.edge.abort(call.response)

    def refuse(self, response: Response, refusal: Refusal) -> None:
        """Answer with a problem document."""
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
