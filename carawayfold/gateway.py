"""Application object of a forwarding router: connects its components and runs them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.containment.containment import Containment
from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.fleet import directory
from carawayfold.coordination.fleet.fleet import Fleet
from carawayfold.coordination.fleet.membership import Member, PeerState
from carawayfold.coordination.fleet.readers import can_relay_updates
from carawayfold.coordination.knowledge import anti_entropy, followers
from carawayfold.coordination.knowledge.anti_entropy import AntiEntropy
from carawayfold.coordination.knowledge.confirmation import StoreConfirmation
from carawayfold.coordination.knowledge.endpoint_notices import EndpointNotices
from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.coordination.requests.forwarding import Forwarder
from carawayfold.coordination.requests.shedding import ShedLog
from carawayfold.coordination.requests.stream_origins import StreamOrigins
from carawayfold.coordination.scheduling.caches import CacheReader
from carawayfold.coordination.scheduling.coordinator import SchedulingCoordinator
from carawayfold.coordination.scheduling.offers import Basis
from carawayfold.coordination.scheduling.warm_up_confirmation import WarmUpConfirmation
from carawayfold.platform.engines import EngineClient
from carawayfold.platform.headers import REQUEST_ID, PlatformDialect
from carawayfold.platform.health import HealthClient
from carawayfold.platform.store import (
    StoreClient,
    StoreDirectory,
    endpoint_source,
    operator_source,
)
from carawayfold.protocol import quarantine_list
from carawayfold.protocol.datagrams import Heartbeat
from carawayfold.protocol.sources import PeerEntry
from carawayfold.state.budget import RetryBudget
from carawayfold.state.forwarded import ForwardMetrics
from carawayfold.state.ids import ContentId
from carawayfold.state.overload import OverloadDetector
from carawayfold.state.routes import RouteIndex
from carawayfold.transport.client import HttpClient
from carawayfold.transport.datagrams import PeerSocket
from carawayfold.transport.edge import Edge, EdgeLimits
from carawayfold.transport.loop import Root
from carawayfold.transport.probes import probe

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from expression import Result

    from carawayfold.coordination.knowledge.followers import Follower
    from carawayfold.gateway_settings import GatewaySettings
    from carawayfold.protocol.datagrams import Datagram
    from carawayfold.settings import Address
    from carawayfold.state.routes import RouteTable
    from carawayfold.transport.edge import Incoming

logger = logbook.Logger(__name__)

#: Begin of the paths of questions where a request would go, on the address for peers.
EXPLANATION_PATHS = "/explain/"
#: Seconds after the stop signal during which new connections are still served: the
#: load balancer checks readiness once a second and removes a router after two
#: failed checks.
STOP_NOTICE_DURATION = 2.6
#: Seconds before the end of the grace period at which remaining requests are ended.
STOP_MARGIN = 0.6
#: Seconds between checks whether all requests have finished during a stop.
STOP_POLL_INTERVAL = 0.05
#: Seconds that the last responses have to be sent before the router closes.
FINAL_RESPONSES_DELAY = 0.1
#: Most bytes that requests on the addresses for checks and peers may hold.
INNER_HELD_LIMIT = 1 << 20
#: Seconds added to the idle timeout published to callers, so that the router does
#: not close a connection while a request is on its way.
IDLE_MARGIN = 1.0
#: Seconds between checks for idle connections to close.
IDLE_CHECK_INTERVAL = 1.0
#: Seconds between samples of the event loop delay.
PRESSURE_INTERVAL = 0.05
#: Seconds between samples while no request is in flight.
IDLE_PRESSURE_INTERVAL = 0.2


class Gateway:
    """One forwarding router.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    load_settings : callable
        Reads and validates the settings again; returns them, or a list of errors.
    dropped_log_lines : callable
        Returns the number of log lines dropped since the start.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        load_settings: Callable[[], Result[GatewaySettings, list[str]]],
        dropped_log_lines: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.load_settings = load_settings
        self.dropped_log_lines = dropped_log_lines
        loop = asyncio.get_running_loop()
        self.root = Root()
        self.http = HttpClient(
            self.root,
            settings.reuse_connections,
            settings.outgoing_connections if settings.reuse_connections else 0,
        ).register(self.root)
        incarnation = random.getrandbits(63)
        own = Member(
            settings.router,
            settings.data_centre,
            incarnation,
            loop.time(),
            processor=settings.processor,
        )
        self.socket = PeerSocket(settings.router, incarnation, self._on_datagram)
        self.fleet = Fleet(self.socket, own, self._build_heartbeat, self._fleet_changed)
        self.coordinator = SchedulingCoordinator(
            self.fleet, settings.share_window, self._offer_basis, settings.features
        )
        self.caches = CacheReader(
            EngineClient(self.http), self.coordinator, self._spawn
        )
        self.store = StoreClient(self.http, settings.store)
        self.directory = StoreDirectory(self.store)
        #: Set when the store has been restored from a copy.
        self.store_restored = asyncio.Event()
        self.knowledge = Knowledge(
            self._on_routes,
            self._on_endpoints,
            self._store_changed,
            self.store_restored.set,
            lambda: self.anti_entropy.registrations_age(),
        )
        self.anti_entropy = AntiEntropy(self.fleet, self.knowledge, self.http)
        self.notices = EndpointNotices(
            self.fleet, self.knowledge, self.coordinator.rests
        )
        #: Followers of the store's topics, once they have begun.
        self.followers: list[Follower] = []
        self.confirmation = StoreConfirmation(self.followers)
        #: Reads the registrations only.
        self.registrations_confirmation = StoreConfirmation([])
        self.warm_up_confirmation = WarmUpConfirmation(
            self.coordinator,
            HealthClient(self.http),
            self.registrations_confirmation.confirm,
            lambda: self.knowledge.store.failed,
            self._spawn,
        )
        self.coordinator.request_confirmations = self.warm_up_confirmation.request
        self.origins = StreamOrigins(
            self.fleet,
            self.knowledge,
            self.anti_entropy.registrations_age,
            self.confirmation.confirm,
            self._spawn,
        )
        self.metrics = ForwardMetrics()
        endpoint_activity = EndpointActivity()
        self.containment = Containment(
            self.fleet,
            lambda endpoint: self.coordinator.endpoints.get(endpoint),
            endpoint_activity,
            probe,
            self.directory,
            self._spawn,
            lambda content: self.forwarder.stop_quarantined(content),
            self.coordinator.suspend_endpoint,
        )
        self.forwarder = Forwarder(
            self.coordinator,
            self.http,
            PlatformDialect(),
            RetryBudget(settings.budget, loop.time()),
            endpoint_activity,
            self.containment,
            self.notices,
            self.origins,
            self.metrics,
            random.random,
            settings.regions,
        )
        self.front = self._listen(
            settings.listen, self.forwarder.serve, "front", id_header=REQUEST_ID
        )
        self.front.limit = settings.connections
        self.front.memory.limit = settings.held_limit
        self.front.server.unsent_limit = settings.unsent_limit
        self.pressure = OverloadDetector()
        self.shed = ShedLog(self.metrics)
        self.front.should_reject = self.pressure.should_reject
        self.front.on_rejected = self.shed.note
        self.checks = self._listen(settings.ready_listen, self._serve_check, "checks")
        self.peer_edge = self._listen(settings.peer_listen, self._serve_peer, "inner")
        for edge in (self.checks, self.peer_edge):
            edge.memory.limit = INNER_HELD_LIMIT
        self.tasks: set[asyncio.Task[None]] = set()
        #: Set when the router is to close, whatever is in flight.
        self.stopped = asyncio.Event()
        #: Whether a task has failed, which stops the router.
        self.failed = False
        #: Whether an interrupt (SIGINT) has begun to stop it.
        self.interrupted = False

    def _listen(
        self, address: Address, serve: object, listener: str, **options: str
    ) -> Edge:
        return Edge(address, serve, listener, **options).register(self.root)

    async def run(self) -> None:
        """Run until the router has been stopped."""
        self.root.attach()
        self.socket.open(self.settings.peer_listen)
        self._handle_signals()
        self._spawn(self._follow_store())
        learn = self.containment.load_records
        entry = self._peer_entry()
        joining = directory.join(
            self.directory, entry, self.fleet, learn, self.store_restored
        )
        self._spawn(joining)
        self._spawn(self.fleet.send_heartbeats())
        self._spawn(self.coordinator.report_periodically())
        self._spawn(self.containment.run_periodically())
        self._spawn(self.anti_entropy.poll_periodically())
        self._spawn(self.notices.report_periodically())
        self._spawn(self.origins.refresh_periodically())
        self._spawn(self._close_idle_periodically())
        self._spawn(self._sample_loop_delay())
        logger.info("router started", extra={"router": self.settings.router})
        await self.stopped.wait()
        await self._close()

    def _peer_entry(self) -> PeerEntry:
        own = self.settings
        return PeerEntry(
            own.router,
            own.data_centre,
            own.peer_listen.host,
            own.peer_listen.port,
            own.processor,
        )

    async def _follow_store(self) -> None:
        """Load the initial state from peers or the store, then follow the store."""
        await self.anti_entropy.bootstrap()
        knowledge, peers = self.knowledge, self.anti_entropy
        operators = operator_source(self.store)
        endpoints = endpoint_source(self.store)
        follow_operators = followers.follow_operators(
            operators,
            knowledge,
            peers.wait_for_operators_turn,
            peers.reads_for_others,
            peers.no_answer_delay,
        )
        follow_endpoints = followers.follow_endpoints(
            endpoints,
            knowledge,
            peers.wait_for_turn,
            peers.reads_for_others,
            peers.no_answer_delay,
        )
        for follower in (follow_operators, follow_endpoints):
            self.followers.append(follower)
            self._spawn(follower.follow())
        self.registrations_confirmation.followers.append(follow_endpoints)

    async def _close_idle_periodically(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            self.http.close_idle()
            self.root.wake()

    async def _sample_loop_delay(self) -> None:
        """Sample the delay of the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            idle = not self.forwarder.calls and not self.pressure.part
            interval = IDLE_PRESSURE_INTERVAL if idle else PRESSURE_INTERVAL
            due = loop.time() + interval
            await asyncio.sleep(interval)
            now = loop.time()
            was_busy = self.pressure.is_busy(now)
            self.pressure.note(now - due, now)
            self.fleet.set_lagging(self.pressure.is_overloaded())
            if self.pressure.is_busy(now) is not was_busy:
                self._log_pressure(not was_busy, now - due)

    def _log_pressure(self, busy: bool, delay: float) -> None:
        extra = {
            "busy": busy,
            "delay_ms": round(delay * 1000, 1),
            "calls": len(self.forwarder.calls),
            "connections": len(self.front.connections),
            "shed": self.shed.count,
        }
        logger.info("pressure changed", extra=extra)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("a task failed", extra={"reason": repr(task.exception())})
            self.failed = True
            self.begin_stop()

    async def _close(self) -> None:
        self.front.stop_accepting()
        self.forwarder.end_calls()
        await asyncio.sleep(FINAL_RESPONSES_DELAY)
        logger.info("router stopped", extra={"router": self.settings.router})
        for task in list(self.tasks):
            task.cancel()
        self.socket.flush_all()
        self.socket.close()
        self.http.close_all()
        for edge in (self.front, self.checks, self.peer_edge):
            edge.server.close()
        self.root.pump()
        self.root.detach()

    # Stopping

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.begin_stop)
        loop.add_signal_handler(signal.SIGINT, self.interrupt)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        """Reload the settings; changed addresses and names need a restart."""
        read = self.load_settings()
        if read.is_error():
            logger.warning("settings not taken", extra={"faults": read.error})
            return
        reloaded = read.ok
        self.forwarder.budget.bounds = reloaded.budget
        self.settings = msgspec.structs.replace(
            self.settings, stop_grace=reloaded.stop_grace
        )
        logger.info("settings taken", extra={"stop_grace": reloaded.stop_grace})

    def begin_stop(self) -> None:
        """Stop accepting requests, finish those in flight, then stop.

        Further calls change nothing, since stop signals may be repeated.
        """
        if self.fleet.own.state is PeerState.STOPPING:
            return
        logger.info("router stopping", extra={"calls": len(self.forwarder.calls)})
        self.front.stopping = True
        self._spawn(self._stop())
        self.fleet.stop()

    def interrupt(self) -> None:
        """Begin to stop; end the requests in flight at the second call."""
        if self.interrupted:
            self.stopped.set()
        self.interrupted = True
        self.begin_stop()

    async def _stop(self) -> None:
        try:
            await self._finish()
        finally:
            self.stopped.set()

    async def _finish(self) -> None:
        """Wait until requests have finished, at most to the end of the grace period."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        end = start + self.settings.stop_grace - STOP_MARGIN
        await asyncio.sleep(min(STOP_NOTICE_DURATION, max(0.0, end - loop.time())))
        # A request accepted later could not finish before the process is killed.
        self.front.stop_accepting()
        self.forwarder.accepting = False
        while loop.time() < end and self._is_serving():
            await asyncio.sleep(STOP_POLL_INTERVAL)
            self.front.close_idle()

    def _is_serving(self) -> bool:
        """Return whether a request is in flight or a response on its way."""
        return bool(self.forwarder.calls or self.front.server.open_connections)

    # Heartbeats and state updates

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.settings.data_centre,
            self.fleet.own.state is PeerState.STOPPING,
            self.knowledge.version or 0,
            self.knowledge.endpoints.offset,
            round(self.anti_entropy.registrations_age() * 1000),
            self.settings.processor,
            verdicts=self.containment.quarantine.checksum,
            refused=not self.knowledge.store.reachable,
            evacuations_changed=self.knowledge.evacuations.changed_at,
            operators_age=round(self.anti_entropy.operators_age() * 1000),
            configured=self.knowledge.routes is not None,
        )

    def _offer_basis(self) -> Basis:
        age = asyncio.get_running_loop().time() - self.anti_entropy.known_at
        return Basis(self.settings.router, self.knowledge.endpoints.offset, age)

    def _on_datagram(self, datagram: Datagram, source: Address) -> None:
        if datagram.sender == self.settings.router:
            return
        was_current = can_relay_updates(self.fleet, datagram.sender)
        self.fleet.take(datagram, source)
        if can_relay_updates(self.fleet, datagram.sender) is not was_current:
            self.anti_entropy.wake()
        self.coordinator.take(datagram)
        self.containment.take(datagram)
        self.notices.take(datagram)
        self.origins.take(datagram)

    def _fleet_changed(self) -> None:
        self.coordinator.fleet_changed()
        self.containment.fleet_changed()
        self.origins.fleet_changed()
        self.anti_entropy.wake()
        self.caches.query_new_engines()

    def _store_changed(self) -> None:
        # The store has become reachable or unreachable from this router, so that
        # another router may have to read it, or no longer has to.
        self.fleet.notify_local_routers()
        self.anti_entropy.wake()

    def _on_routes(self, table: RouteTable) -> None:
        self.forwarder.route_index = RouteIndex(table)
        self.forwarder.in_force = self.knowledge.in_force
        limits = table.limits
        self.front.limits = EdgeLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout,
            limits.idle_timeout + IDLE_MARGIN,
        )
        self._on_endpoints()

    def _on_endpoints(self) -> None:
        # Peers that read the store through this router get the update immediately.
        self.fleet.notify_local_routers()
        if self.knowledge.routes is not None:
            knowledge = self.knowledge
            evacuated = knowledge.evacuations.active
            removed = self.coordinator.refresh(
                knowledge.endpoints, knowledge.routes, evacuated
            )
            for endpoint in removed:
                self.http.drop_idle(endpoint.address)
                self.containment.endpoint_removed(endpoint)
            self.forwarder.withdraw_unusable()
            self.origins.refresh()
            self.caches.query_new_engines()

    def is_ready(self) -> bool:
        """Return whether the router accepts new connections."""
        if self.fleet.own.state is PeerState.STOPPING:
            return False
        busy = self.pressure.is_busy(asyncio.get_running_loop().time())
        return self.knowledge.complete and not busy

    # Readiness checks and requests of peers

    def _serve_check(self, incoming: Incoming) -> None:
        incoming.answer(200 if self.is_ready() else 503, [])

    def _serve_peer(self, incoming: Incoming) -> None:
        path = incoming.target.decode("latin-1")
        if path == "/metrics":
            self._serve_metrics(incoming)
        elif path == anti_entropy.CONFIGURATION_PATH and self.knowledge.routes:
            incoming.answer(200, [], msgspec.msgpack.encode(self.knowledge.routes))
        elif path == anti_entropy.ENDPOINTS_PATH and self.knowledge.listed:
            incoming.answer(200, [], msgspec.msgpack.encode(self.knowledge.snapshot()))
        elif path == anti_entropy.EVACUATIONS_PATH and self.knowledge.evacuations.known:
            now = asyncio.get_running_loop().time()
            snapshot = self.knowledge.evacuations.snapshot(now)
            incoming.answer(200, [], msgspec.msgpack.encode(snapshot))
        elif path.startswith(quarantine_list.LIST_PATH):
            self._serve_quarantine(incoming, path)
        elif path.startswith(EXPLANATION_PATHS) and incoming.method == b"POST":
            self._serve_explanation(incoming, path)
        else:
            incoming.answer(404, [])

    def _serve_explanation(self, incoming: Incoming, path: str) -> None:
        # Imported at the first question to shorten the start of a router.
        from carawayfold.coordination.requests.explanation import Explainer

        try:
            answer = Explainer(self.forwarder).answer(path, incoming.body)
        except (msgspec.MsgspecError, ValueError, ArithmeticError) as error:
            # Numbers that no router states, like negative tokens, can't be computed.
            logger.info("question not answered", extra={"reason": repr(error)})
            incoming.answer(400, [], str(error).encode())
            return
        headers = [("Content-Type", "application/json")]
        incoming.answer(404 if answer is None else 200, headers, answer or b"")

    def _serve_quarantine(self, incoming: Incoming, path: str) -> None:
        content = ContentId(path.removeprefix(quarantine_list.LIFT_PATH))
        if incoming.method == b"POST" and path != content:
            incoming.answer(200 if self.containment.lift(content) else 404, [])
        elif incoming.method == b"GET" and path == quarantine_list.LIST_PATH:
            now = asyncio.get_running_loop().time()
            quarantine = self.containment.quarantine
            headers = [("Content-Type", "application/json")]
            incoming.answer(200, headers, quarantine_list.encode(quarantine, now))
        else:
            incoming.answer(404, [])

    def _serve_metrics(self, incoming: Incoming) -> None:
        # Imported at the first scrape to shorten the start of a router.
        from carawayfold.protocol import forward_exposition

        headers = [("Content-Type", forward_exposition.CONTENT_TYPE)]
        incoming.answer(200, headers, forward_exposition.render(self))


async def run(
    settings: GatewaySettings,
    load_settings: Callable[[], Result[GatewaySettings, list[str]]],
    dropped_log_lines: Callable[[], int],
) -> bool:
    """Run one forwarding router until it is stopped; return whether a task failed.

    The parameters are those of `Gateway`.
    """
    gateway = Gateway(settings, load_settings, dropped_log_lines)
    with contextlib.suppress(asyncio.CancelledError):
        await gateway.run()
    return gateway.failed
