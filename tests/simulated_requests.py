"""Requests at routers of a simulated fleet, from their last byte to their end.

Each router has the product's own forwarder, coordinator, origins of streams and
knowledge, wired as in `carawayfold.gateway`; callers, connections and endpoints are
simulated.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

import logbook
import msgspec

from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.knowledge.endpoint_notices import EndpointNotices
from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.coordination.requests.forwarding import Forwarder
from carawayfold.coordination.requests.stream_origins import StreamOrigins
from carawayfold.coordination.scheduling.coordinator import SchedulingCoordinator
from carawayfold.coordination.scheduling.offers import Basis
from carawayfold.platform.headers import PlatformDialect
from carawayfold.protocol.sources import EndpointChange, Page
from carawayfold.settings import Address
from carawayfold.state.budget import BudgetBounds, RetryBudget
from carawayfold.state.evacuations import EvacuationSnapshot
from carawayfold.state.forwarded import ForwardMetrics
from carawayfold.state.routes import (
    CallerLimits,
    RouteIndex,
    RouteKind,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from carawayfold.transport.client import Exchange, ExchangeError, Head, Phase
from tests.schedule_builders import endpoint, route
from tests.simulated_fleet import SimulatedFleet, simulate

#: Seconds after which a fleet has settled and every router has read the entries.
SETTLED = 2.0
#: Seconds for which the endpoints have served.
SERVED_FOR = 1000.0
#: Seconds until a connection to an endpoint is established.
CONNECT_DELAY = 0.001
#: Seconds from a request to the answer of an endpoint that is not told otherwise.
ANSWER_DELAY = 0.02
#: Seconds within which each request of a scenario must end.
PATIENCE = 8.0
#: An event of a stream; also the body of other answers.
EVENT = b"id: %d\ndata: x\n\n"
#: Seconds for which the fleet goes on after the last request has ended.
AFTERWARDS = 0.5
HOST = "caller.example"
KEY = "key-of-alder"
OWN_FLEET = 3
HEAD = {"server-signature": "signed"}


def make_routes(kind, services=("model",), **other):
    """Return the routes of the simulation: one under ``/work/``, one that is unused."""
    weighted = tuple(WeightedService(name, 1.0) for name in services)
    fields = {"timeout": PATIENCE, "objective": 4.0, "resumable": True, **other}
    used = route(kind, id="work", host=HOST, prefix=b"/work/", **fields)
    unused = route(RouteKind.IDEMPOTENT, id="unused", host=HOST, prefix=b"/unused/")
    return tuple(
        msgspec.structs.replace(item, services=weighted) for item in (used, unused)
    )


def make_table(version, routes, **other):
    """Return a configuration with two services of engines and one organisation."""
    fields = {
        "services": {
            name: ServiceConfig(name, "/", 100, 600_000) for name in ("model", "spare")
        },
        "organisations": {KEY: "alder"},
        "priorities": {"alder": 1},
        "limits": CallerLimits(),
        "throughput": 100_000.0,
        **other,
    }
    return RouteTable(version, routes, **fields)


def make_endpoint(name, service="model", slots=1, **other):
    """Return a registered endpoint with an address of its own."""
    made = endpoint(name, service, slots, **other)
    return msgspec.structs.replace(made, address=Address(name, 1))


class Caller:
    """A caller's request, and what the caller receives.

    Implements the methods of `carawayfold.transport.edge.Incoming` that a forwarder
    uses.

    Attributes
    ----------
    outcomes : list of str
        ``answered``, ``ended`` or ``cut``, as often as they occurred.
    ended_at : float or None
        Loop time of the first outcome.
    """

    def __init__(self, name, headers, now):
        self.name = name
        fields = {"host": HOST, "x-api-key": KEY, "request-id": name, **headers}
        self.headers = [(k.encode(), v.encode()) for k, v in fields.items()]
        self.method = b"POST"
        self.target = b"/work/x"
        self.body = b"body"
        self.received = now
        self.on_disconnect = None
        self.loop = asyncio.get_running_loop()
        self.status = 0
        self.data = bytearray()
        self.outcomes = []
        self.ended_at = None

    def _end(self, outcome):
        self.outcomes.append(outcome)
        if self.ended_at is None:
            self.ended_at = self.loop.time()

    def begin(self, status, headers, close=False):
        assert self.status == 0
        self.status = status

    def send(self, data):
        assert self.status
        self.data += data

    def call_when_drained(self, resume):
        return False

    def end(self):
        self._end("ended")

    def abort(self):
        self._end("cut")

    def answer(self, status, headers, body=b"", close=False):
        self.begin(status, headers, close)
        self.send(body)
        self._end("answered")


@dataclass
class Behaviour:
    """How an endpoint handles one request.

    Attributes
    ----------
    connect : float
        Seconds until the connection is established; infinity for never.
    pieces : list of tuple
        Parts of the answer, each after its seconds since the part before.
    broken : bool
        Whether the connection is reset after the last part.
    """

    connect: float = CONNECT_DELAY
    pieces: list[tuple[float, bytes]] = field(
        default_factory=lambda: [(ANSWER_DELAY, EVENT % 1)]
    )
    broken: bool = False


def events(first, last, pace):
    """Return the parts of a stream from one event to another."""
    return [(pace, EVENT % number) for number in range(first, last + 1)]


class SimulatedClient:
    """Connections of one router to the simulated endpoints."""

    reuse_longer = False

    def __init__(self, world, router):
        self.world = world
        self.router = router
        self.loop = asyncio.get_running_loop()

    def start(self, address, method, path, headers, body, on_head, on_data, **options):
        exchange = Exchange(on_head, on_data, self.loop.create_future())
        connection = SimpleNamespace(
            address=address, exchange=exchange, task=None, paused=False
        )
        connection.task = self.loop.create_task(
            self._carry(connection, exchange, dict(headers))
        )
        return connection

    async def _carry(self, connection, exchange, headers):
        name, request = connection.address.host, headers["request-id"]
        behaviour = self.world.behaviour(name, request, headers)
        await asyncio.sleep(min(behaviour.connect, 3600.0))
        exchange.phase = Phase.SENT
        self.world.sends.append((self.loop.time(), request, name))
        for number, (delay, data) in enumerate(behaviour.pieces):
            await asyncio.sleep(delay)
            if number == 0:
                exchange.phase = Phase.ANSWERING
                fields = {**HEAD, "request-id": request}
                exchange.on_head(Head(200, fields, list(fields.items())))
            exchange.on_data(data)
        if behaviour.broken:
            self.fail(connection, "the connection was reset")
            return
        exchange.phase = Phase.DONE
        connection.exchange = None
        if not exchange.done.done():
            exchange.done.set_result(None)

    def fail(self, connection, reason):
        exchange, connection.exchange = connection.exchange, None
        if connection.task is not asyncio.current_task():
            connection.task.cancel()
        if exchange is not None and not exchange.done.done():
            exchange.done.set_exception(ExchangeError(exchange.phase, reason))

    def cancel(self, connection):
        connection.exchange = None
        connection.task.cancel()

    def drop_idle(self, address):
        """Keep no idle connections."""

    def kept_for(self, connection, idle_most):
        """Return that no connection is kept."""
        return 0.0


async def confirmed():
    """Return that the store confirms all records."""
    return True


class Router:
    """One router without sockets."""

    def __init__(self, world, name, fleet):
        self.fleet = fleet
        self.loop = fleet.loop
        self.name = name
        self.coordinator = SchedulingCoordinator(fleet, 4.0, self._basis)
        self.knowledge = Knowledge(self._on_routes, self._on_endpoints)
        self.notices = EndpointNotices(fleet, self.knowledge, self.coordinator.rests)
        self.origins = StreamOrigins(
            fleet, self.knowledge, lambda: 0.0, confirmed, fleet.loop.create_task
        )
        self.client = SimulatedClient(world, name)
        # Containment is not part of the simulation.
        containment = SimpleNamespace(
            reject_harmful=lambda call: None,
            is_suspected=lambda call, begun: False,
            record_begun=lambda call: None,
            record_success=lambda call, body: None,
            reports=SimpleNamespace(note=lambda loss: None),
        )
        self.forwarder = Forwarder(
            self.coordinator,
            self.client,
            PlatformDialect(),
            RetryBudget(BudgetBounds(1.0, 1000.0, 10.0), self.loop.time() - 100),
            EndpointActivity(),
            containment,
            self.notices,
            self.origins,
            ForwardMetrics(),
            lambda: 0.0,
            {},
        )
        world.teach(self)

    def _basis(self):
        return Basis(self.name, self.knowledge.endpoints.offset)

    def _on_routes(self, table):
        self.forwarder.route_index = RouteIndex(table)
        self.forwarder.in_force = self.knowledge.in_force
        self._on_endpoints()

    def _on_endpoints(self):
        if self.knowledge.routes is None:
            return
        self.coordinator.refresh(self.knowledge.endpoints, self.knowledge.routes, ())
        self.forwarder.withdraw_unusable()
        self.origins.refresh()

    def take(self, datagram):
        self.coordinator.take(datagram)
        self.notices.take(datagram)
        self.origins.take(datagram)

    def fleet_changed(self):
        self.coordinator.fleet_changed()
        self.origins.fleet_changed()

    async def run_periodically(self):
        await asyncio.gather(
            self.coordinator.report_periodically(),
            self.origins.refresh_periodically(),
        )


class World:
    """A fleet, its endpoints, and the requests of callers.

    Attributes
    ----------
    table : RouteTable
        Configuration that a router learns as it starts.
    endpoints : dict
        Endpoints that a router learns as it starts, by name.
    behaviours : dict
        Returns the `Behaviour` for a request, by endpoint; called with the request's
        name and headers.
    default_behaviour : callable
        The same for endpoints that have none.
    sends : list of tuple
        Loop time, request and endpoint of each request that was passed on.
    errors : list of str
        Log lines of errors, and exceptions that reached the event loop.
    """

    def __init__(self, table, endpoints, seed=1, fleet=SimulatedFleet):
        self.table = table
        self.endpoints = {item.name: item for item in endpoints}
        self.behaviours = {}
        self.default_behaviour = lambda request, headers: Behaviour()
        self.sends = []
        self.errors = []
        self.callers = {}
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self._on_loop_error)
        self.fleet = fleet(seed=seed, fill_beat=lambda name, beat: beat)
        self.fleet.attach = lambda name, fleet: Router(self, name, fleet)

    def _on_loop_error(self, loop, context):
        self.errors.append(repr(context.get("exception") or context["message"]))

    def behaviour(self, name, request, headers):
        made = self.behaviours.get(name)
        if made is None:
            made = self.default_behaviour
        return made(request, headers)

    def teach(self, router):
        """Give a router all endpoints and the configuration."""
        knowledge = router.knowledge
        items = [EndpointChange(n, item) for n, item in self.endpoints.items()]
        knowledge.apply_listing(Page(items, len(items) + 1))
        # The endpoints have served for long, so that streams may be resumed.
        known_since = self.loop.time() - SERVED_FOR
        knowledge.endpoints.software.complete_since = known_since
        knowledge.evacuations.apply_snapshot(EvacuationSnapshot(1, {}), 0.0)
        if self.table is not None:
            knowledge.apply_routes(self.table, "store")
            knowledge.route_history.complete_since = known_since

    @property
    def routers(self):
        return self.fleet.attached

    async def start(self, count=OWN_FLEET):
        for number in range(count):
            self.fleet.start(f"r-{number}", "north", 100)
        await asyncio.sleep(SETTLED)

    def leader(self, pool="model/0"):
        return next(iter(self.fleet.routers.values())).leader(pool)

    def other(self, pool="model/0"):
        """Return a router that doesn't lead a pool."""
        return next(name for name in sorted(self.routers) if name != self.leader(pool))

    def configure(self, table, names=None):
        """Put a configuration in force at routers, by default at all."""
        self.table = table
        for name in self.routers if names is None else names:
            self.routers[name].knowledge.apply_routes(table, "store")

    def register(self, endpoints, names=None):
        """Replace the endpoints known to routers, by default to all."""
        new = {item.name: item for item in endpoints}
        changes = [
            EndpointChange(name, new.get(name)) for name in {**self.endpoints, **new}
        ]
        self.endpoints = new
        for name in self.routers if names is None else names:
            knowledge = self.routers[name].knowledge
            page = Page(changes, knowledge.endpoints.offset + len(changes))
            knowledge.apply_registrations(page)

    def send(self, router, name, **headers):
        """Have a router serve a request, and return its caller."""
        fields = {key.replace("_", "-"): value for key, value in headers.items()}
        caller = self.callers[name] = Caller(name, fields, self.loop.time())
        try:
            self.routers[router].forwarder.serve(caller)
        except Exception as error:
            # The product's poller logs it and closes the connection.
            self.errors.append(repr(error))
        return caller

    def sent(self, name):
        """Return the endpoints to which a request was passed on, with the times."""
        return [(at, host) for at, request, host in self.sends if request == name]

    def longest_hold(self, name, free_at=-math.inf):
        """Return the seconds until a request was first passed on, or refused.

        Parameters
        ----------
        name : str
            The request.
        free_at : float
            Loop time before which no endpoint was free for it.
        """
        caller = self.callers[name]
        begun = max(caller.received, free_at)
        passed = [at for at, _ in self.sent(name)]
        ends = [*passed[:1], *([caller.ended_at] if caller.ended_at else [])]
        return max(0.0, min(ends, default=math.inf) - begun)

    async def wait_ended(self):
        """Wait until all requests have ended, and what may come after that."""
        until = self.loop.time() + PATIENCE
        while self.loop.time() < until:
            if all(caller.outcomes for caller in self.callers.values()):
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(AFTERWARDS)

    def check(self):
        """Fail if a request has no outcome, or several, or anything has raised."""
        assert self.errors == []
        for caller in self.callers.values():
            assert len(caller.outcomes) == 1, (caller.name, caller.outcomes)
        for router in self.routers.values():
            assert not router.forwarder.calls
            assert not router.coordinator.pending

    async def close(self):
        await self.fleet.close()


def play(scenario, table, endpoints, seed=1, fleet=SimulatedFleet, routers=OWN_FLEET):
    """Run a scenario in a settled world; return the world after all requests ended.

    Parameters
    ----------
    scenario : callable
        Coroutine function that is called with the world.
    table, endpoints, seed, fleet
        See `World`.
    routers : int
        Number of routers.
    """

    async def run():
        world = World(table, endpoints, seed, fleet)
        await world.start(routers)
        await scenario(world)
        await world.wait_ended()
        await world.close()
        return world

    with logbook.TestHandler(level=logbook.ERROR) as handler:
        world = simulate(run)
    world.errors += [record.message + repr(record.extra) for record in handler.records]
    return world


def end_of(caller):
    """Return how a request ended: ``whole``, its status, ``cut``, or ``nothing``."""
    if not caller.outcomes:
        return "nothing"
    if caller.outcomes[0] == "cut":
        return "cut"
    return "whole" if caller.status == 200 else str(caller.status)


def counts(world):
    """Return how often each end occurred."""
    return Counter(end_of(caller) for caller in world.callers.values())
