"""Application object of a router: connects its components and runs them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from typing import TYPE_CHECKING

import grpc
import logbook
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from carawayfold.coordination.containment.containment import Containment
from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.fleet.membership import (
    MIN_SILENCE_TIMEOUT,
    Member,
    Membership,
    PeerState,
)
from carawayfold.coordination.knowledge.administration import AdminService
from carawayfold.coordination.knowledge.configuration import (
    ConfigFollower,
    ConfigState,
    pack,
    unpack,
)
from carawayfold.coordination.requests.calls import (
    CallHandler,
    endpoint_from_configuration,
)
from carawayfold.coordination.requests.claims import Claims
from carawayfold.coordination.slots.dispatch import Dispatcher
from carawayfold.coordination.slots.exchange import Exchange
from carawayfold.coordination.slots.health import EndpointHealthTracker
from carawayfold.coordination.slots.link_fleet import LinkFleet
from carawayfold.coordination.slots.loads import LoadPoller
from carawayfold.coordination.slots.pools import build_pools
from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol import peer_pb2, peer_pb2_grpc, problem
from carawayfold.protocol.exposition import render
from carawayfold.protocol.log_service import (
    Instance,
    LogClient,
    PlatformError,
    follow,
    list_instances,
)
from carawayfold.settings import Address
from carawayfold.state.configuration_view import ConfigView
from carawayfold.state.ids import DataCentreId, RouterId
from carawayfold.state.metrics import Metrics
from carawayfold.state.service_rows import LocalRows
from carawayfold.transport.client import HttpClient
from carawayfold.transport.links import CHANNEL_OPTIONS, Links
from carawayfold.transport.loop import Root
from carawayfold.transport.probes import probe
from carawayfold.transport.rpc import OperatorAuthenticator, PeerService, RpcServer
from carawayfold.transport.server import EdgeServer

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from circuits.web.wrappers import Request, Response

    from carawayfold.protocol.sources import QuarantineRecord
    from carawayfold.settings import Settings
    from carawayfold.state.claims import Claim
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import ContentId, EndpointId
    from carawayfold.transport.links import Link

logger = logbook.Logger(__name__)

#: Log stream that carries the configuration.
CONFIG_STREAM = "configuration"
#: Log stream that orders the claims of idempotency keys.
CLAIMS_STREAM = "claims"
#: Seconds that the owner of a claim has to report the outcome of its request.
OUTCOME_TIMEOUT = 1.0
#: Seconds between reads of the platform's instance list.
INSTANCES_INTERVAL = 1.0
#: Seconds that the last rejections have to be sent before the router closes.
FINAL_RESPONSES_DELAY = 0.1
#: Consecutive missed heartbeats after which a peer counts as failed.
MISSED_HEARTBEATS_LIMIT = 4
#: Seconds that a peer has to hand over its configuration snapshot.
HAND_OVER_TIMEOUT = 2.0
#: Seconds during which a stopping router still answers new connections with a
#: rejection, until the load balancer has removed it.
STOP_NOTICE_DURATION = 1.0


class DiscardingVerdictStore:
    """Verdict store that persists nothing.

    Verdicts of routers with the product's own interface are kept in memory only: the
    log of that platform has no permanent records.
    """

    async def store_verdict(self, record: QuarantineRecord) -> None:
        """Discard the verdict."""

    async def delete_verdict(self, content: ContentId) -> None:
        """Do nothing; no verdict is stored."""


class Application:
    """One router.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = time.monotonic
        own = Member(
            RouterId(settings.router),
            DataCentreId(settings.data_centre),
            random.SystemRandom().getrandbits(63),
            self.clock(),
        )
        self.root = Root()
        self.http = HttpClient(self.root).register(self.root)
        self.membership = Membership(
            own,
            self.clock,
            max(MIN_SILENCE_TIMEOUT, MISSED_HEARTBEATS_LIMIT * settings.exchange),
        )
        self.rows = LocalRows(self.clock)
        self.metrics = Metrics()
        self.health = EndpointHealthTracker(self.clock)
        self.config_log = LogClient(self.http, settings.log, CONFIG_STREAM)
        self.follower = ConfigFollower(
            self.config_log,
            self.apply_configuration,
            self._writes_checkpoints,
            settings.checkpoint,
        )
        self.claims_log = LogClient(self.http, settings.log, CLAIMS_STREAM)
        self.claims = Claims(self.claims_log, own, settings.key_lifetime)
        self.view = ConfigView(self.follower.snapshot)
        self.dispatcher = Dispatcher(settings, self.rows)
        self.exchange = Exchange(
            settings,
            self.membership,
            self.dispatcher,
            self.rows,
            self.health,
            self.view.share,
            self.clock,
        )
        self.dispatcher.observer = self.exchange
        self.links = Links(
            settings.fleet_secret,
            self.exchange.opened,
            self.exchange.received,
            self.exchange.closed,
        )
        self.link_fleet = LinkFleet(self.exchange, self.membership)
        self.containment = Containment(
            self.link_fleet,
            self._endpoint_registration,
            EndpointActivity(),
            probe,
            DiscardingVerdictStore(),
            self._spawn,
        )
        self.exchange.on_datagram = self.containment.take
        self.exchange.on_greeted = self._send_verdicts
        self.calls = CallHandler(
            settings,
            self.view,
            self.dispatcher,
            self.health,
            self.metrics,
            self.http,
            self.claims,
            self._request_outcome,
            self.containment,
        )
        self.edge = EdgeServer(
            settings, self.root, self.serve, problem.encode_http
        ).register(self.root)
        self.calls.edge = self.edge
        self.leaving: set[str] = set()
        #: Whether the fleet has more routers than `settings.mesh_limit`; then only
        #: routers of the same data centre are linked.
        self.large = False
        #: RPC addresses by router, from the instance list of the platform.
        self.peers: dict[str, Address] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopped = asyncio.Event()

    async def run(self) -> None:
        """Run until the router has been stopped."""
        self.root.attach()
        peer = PeerService(
            self.links, self.follower, pack, self.calls.at_most_once.outcome_of
        )
        admin = AdminService(self, OperatorAuthenticator(self.settings))
        async with RpcServer(self.settings, peer, admin) as rpc:
            self._handle_signals()
            self._spawn(follow(self.follower.step))
            self._spawn(follow(self.claims.step))
            self._spawn(self.claims.append())
            self._spawn(self._watch_instances())
            self._spawn(self._send_heartbeats())
            self._spawn(self.containment.run_periodically())
            self._spawn(LoadPoller(self.http, self.view, self.exchange).poll())
            for seed in self.settings.seeds:
                self._spawn(self._request_hand_over(seed))
            logger.info("router started", extra={"router": self.settings.router})
            # Reports the ports that the operating system assigned for port 0.
            print(f"listening {self.edge.server.port} {rpc.port}", flush=True)
            await self.stopped.wait()
            await self._close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A router can't work without any of its tasks, and none ends by itself.
            logger.error("a task failed", extra={"reason": repr(task.exception())})
            if self.membership.own.state is not PeerState.STOPPING:
                self.begin_stop()

    async def _close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await self.links.close()
        self.http.close_all()
        self.edge.server.close()
        self.root.pump()
        self.root.detach()

    # Containment of contents that crash endpoints

    def _endpoint_registration(self, name: EndpointId) -> Endpoint | None:
        endpoint = self.view.endpoints.get(name)
        return endpoint_from_configuration(endpoint) if endpoint is not None else None

    def _send_verdicts(self, link: Link) -> None:
        """Send the known verdicts to a router that has just been linked."""
        for verdict in self.containment.verdict_messages():
            self.link_fleet.send_on(link, verdict)

    # Stopping

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_stop)

    def begin_stop(self) -> None:
        """Stop accepting requests, finish those in flight, then stop.

        A second call stops the router at once.
        """
        own = self.membership.own
        if own.state is PeerState.STOPPING:
            self.stopped.set()
            return
        own.state = PeerState.STOPPING
        self.calls.stopping = True
        self.exchange.send_heartbeats()
        self.exchange.reassign()
        logger.info("router stopping", extra={"calls": len(self.calls.calls)})
        self._spawn(self._finish())

    async def _finish(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.stop_grace
        notice_end = loop.time() + STOP_NOTICE_DURATION
        while loop.time() < end and (self.calls.calls or loop.time() < notice_end):
            await asyncio.sleep(0.05)
        refusal = Refusal(ErrorKind.STOPPING, "the router had to stop")
        self.dispatcher.reject_all(refusal)
        await asyncio.sleep(FINAL_RESPONSES_DELAY)
        self.stopped.set()

    # Configuration and membership

    def apply_configuration(self) -> None:
        """Apply the current configuration snapshot."""
        self.view.refresh(self.follower.snapshot)
        self.calls.ready = self.follower.state is ConfigState.KNOWN
        self.exchange.revision = self.follower.snapshot.through + 1
        self.exchange.set_pools(
            build_pools(self.follower.snapshot, self.leaving, self.settings, self.large)
        )

    def is_ready(self) -> bool:
        """Return whether the router accepts new requests."""
        return self.calls.ready and not self.calls.stopping

    def log_appends(self) -> int:
        """Return the number of appends sent to the log since the start."""
        return self.config_log.appends + self.claims_log.appends

    def _writes_checkpoints(self) -> bool:
        responsible = self.membership.responsible("checkpoint")
        return responsible == self.membership.own.router

    async def _request_hand_over(self, seed: Address) -> None:
        async with grpc.aio.insecure_channel(
            str(seed), options=CHANNEL_OPTIONS
        ) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            revision = self.follower.snapshot.through + 1
            request = peer_pb2.HandOverRequest(revision=revision)
            try:
                reply = await stub.HandOver(
                    request, timeout=HAND_OVER_TIMEOUT, metadata=self.links.metadata
                )
            except grpc.RpcError as error:
                logger.debug("no hand-over", extra={"reason": str(error.code())})
                return
        if reply.snapshot:
            self.follower.adopt(unpack(reply.snapshot))

    async def _request_outcome(
        self, claim: Claim, digest: bytes
    ) -> peer_pb2.OutcomeReply:
        """Request the outcome of a claim from its owner.

        Returns an empty reply, an unknown outcome, if the owner can't be reached.
        """
        address = self.peers.get(claim.router)
        if address is None:
            return peer_pb2.OutcomeReply()
        request = peer_pb2.OutcomeRequest(
            digest=digest, incarnation=claim.owner.incarnation
        )
        async with grpc.aio.insecure_channel(
            str(address), options=CHANNEL_OPTIONS
        ) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            try:
                return await stub.AskOutcome(
                    request, timeout=OUTCOME_TIMEOUT, metadata=self.links.metadata
                )
            except grpc.RpcError:
                return peer_pb2.OutcomeReply()

    async def _watch_instances(self) -> None:
        while True:
            try:
                instances = await list_instances(self.http, self.settings.instances)
            except PlatformError:
                await asyncio.sleep(INSTANCES_INTERVAL)
                continue
            self._take_instances(instances)
            await asyncio.sleep(INSTANCES_INTERVAL)

    def _take_instances(self, instances: list[Instance]) -> None:
        routers = [item for item in instances if item.role == "router"]
        leaving = {item.id for item in instances if item.state == "leaving"}
        large = len(routers) > self.settings.mesh_limit
        self.claims.limit_append_rate(len(routers))
        if (leaving, large) != (self.leaving, self.large):
            self.leaving, self.large = leaving, large
            self.apply_configuration()
        if large:
            # Peers may have been linked before all routers were listed.
            self.exchange.remove_distant()
        self.peers = {item.id: Address(item.host, item.port) for item in routers}
        for item in routers:
            near = item.data_centre == self.settings.data_centre
            # Only the router with the smaller name dials, so that a pair has one link.
            if self.settings.router < item.id and (near or not large):
                self.links.dial(self.peers[item.id])

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.settings.exchange)
            self.exchange.send_heartbeats()

    # HTTP requests

    def serve(self, request: Request, response: Response) -> None:
        """Serve one HTTP request."""
        if request.path == "/healthz":
            self._answer_text(response, 200, "ok\n")
        elif request.path == "/readyz":
            self._answer_text(response, 200 if self.is_ready() else 503, "")
        elif request.path == "/metrics":
            response.headers["Content-Type"] = CONTENT_TYPE_LATEST
            self.edge.answer(response, render(self))
        else:
            self.calls.serve(request, response, request.body.getvalue())

    def _answer_text(self, response: Response, status: int, text: str) -> None:
        response.status = status
        response.headers["Content-Type"] = "text/plain; charset=utf-8"
        if not self.is_ready():
            response.close = True
        self.edge.answer(response, text.encode())


async def run(settings: Settings) -> None:
    """Run one router with `settings` until it is stopped."""
    application = Application(settings)
    with contextlib.suppress(asyncio.CancelledError):
        await application.run()
