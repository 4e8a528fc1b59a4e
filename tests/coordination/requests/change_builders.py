"""Changes of the configuration and the endpoints, and requests at each stage."""

from __future__ import annotations

import asyncio
import math

from msgspec.structs import replace

from carawayfold.state.routes import (
    CallerLimits,
    RouteKind,
    ServiceConfig,
    WeightedService,
)
from tests.simulated_requests import (
    Behaviour,
    events,
    make_endpoint,
    make_routes,
    make_table,
    play,
)

#: Endpoints of the service that the route uses, and of another one.
FEW = 2
SPARES = ("s-0", "s-1")
#: Endpoints of a service that has two pools.
MANY = 20
#: Seconds for which the endpoints are taken by other requests.
BUSY = 0.6
#: Seconds for which an endpoint is silent.
SILENCE = 2.5
#: Name of the request under test.
ASKED = "asked"


def base_table(kind):
    """Return the configuration before the change."""
    return make_table(1, make_routes(kind))


def base_endpoints(count=FEW):
    """Return the endpoints before the change."""
    models = [make_endpoint(f"e-{number}") for number in range(count)]
    return models + [make_endpoint(name, "spare") for name in SPARES]


# Changes of the configuration: functions of the configuration before


def with_route(table, **other):
    """Return the next configuration, in which the used route has other fields."""
    used, *rest = table.routes
    return replace(table, version=2, routes=(replace(used, **other), *rest))


def weighted(**weights):
    """Return services with their weights."""
    return tuple(WeightedService(name, weight) for name, weight in weights.items())


def without_services(table):
    """Return the next configuration, without the service that the route used."""
    moved = with_route(table, services=weighted(spare=1.0))
    return replace(moved, services={"spare": table.services["spare"]})


def dropped(table):
    """Return the next configuration, without the used route."""
    return replace(table, version=2, routes=table.routes[1:])


def added(table):
    """Return the next configuration, with a route more."""
    more = replace(table.routes[0], id="more", prefix=b"/more/")
    return replace(table, version=2, routes=(*table.routes, more))


def longer_prefix(table):
    """Return the next configuration, with a route that takes the requests over."""
    spare = weighted(spare=1.0)
    more = replace(table.routes[0], id="more", prefix=b"/work/x", services=spare)
    return replace(table, version=2, routes=(*table.routes, more))


def other(**fields):
    """Return a change that replaces fields of the configuration."""
    return lambda table: replace(table, version=2, **fields)


def route_field(**fields):
    """Return a change that replaces fields of the used route."""
    return lambda table: with_route(table, **fields)


CONFIGURATIONS = {
    "route moved": route_field(services=weighted(spare=1.0)),
    "route split": route_field(services=weighted(model=1.0, spare=1.0)),
    "weights": route_field(services=weighted(model=0.01, spare=0.99)),
    "weight of zero": route_field(services=weighted(model=0.0, spare=1.0)),
    "route without services": route_field(services=()),
    "route added": added,
    "longer prefix added": longer_prefix,
    "route dropped": dropped,
    "all routes dropped": other(routes=()),
    "timeout longer": route_field(timeout=30.0),
    "timeout shorter": route_field(timeout=0.2),
    "objective shorter": route_field(objective=0.1),
    "attempts fewer": route_field(attempts=1),
    "kind changed": route_field(kind=RouteKind.NON_IDEMPOTENT, resumable=False),
    "regions": route_field(regions=("nowhere",)),
    "organisation's priority": other(priorities={"alder": 0}),
    "key added": other(organisations={"key-of-alder": "alder", "more": "alder"}),
    "key revoked": other(organisations={"more": "alder"}),
    "key of another organisation": other(organisations={"key-of-alder": "birch"}),
    "organisation removed": other(organisations={"more": "birch"}, priorities={}),
    "throughput": other(throughput=500.0),
    "idle timeout": other(limits=CallerLimits(idle_timeout=0.1)),
    "limits": other(limits=CallerLimits(64, 1, 0.1)),
    "service added": lambda table: replace(
        table,
        version=2,
        services={**table.services, "new": ServiceConfig("new", "/", 100)},
    ),
    "service removed": without_services,
    "all services removed": other(services={}, routes=()),
    "engine service made plain": lambda table: replace(
        table,
        version=2,
        services={
            **table.services,
            "model": ServiceConfig("model", "/", 1, 0, warm_up_rate=2.0),
        },
    ),
}


# Changes of the endpoints: functions of the endpoints before


def without(*names):
    """Return a change that removes endpoints."""
    return lambda known: [item for item in known if item.name not in names]


def leaving(name):
    """Return a change by which an endpoint leaves."""
    return lambda known: [
        replace(item, leaving=True) if item.name == name else item for item in known
    ]


def restarted(name):
    """Return a change by which an endpoint has started again."""
    return lambda known: [
        replace(item, incarnation=5) if item.name == name else item for item in known
    ]


def grown(known):
    """Return enough endpoints for several pools."""
    models = [make_endpoint(f"e-{number}") for number in range(MANY)]
    return models + [item for item in known if item.service == "spare"]


ENDPOINTS = {
    "endpoint removed": without("e-0"),
    "endpoint leaves": leaving("e-0"),
    "endpoint restarted": restarted("e-0"),
    "endpoints removed": without(*[f"e-{number}" for number in range(MANY)]),
    "pools added": grown,
    "pools removed": without(*[f"e-{number}" for number in range(2, MANY)]),
    "pools and endpoints removed": without(*[f"e-{number}" for number in range(MANY)]),
}
#: Changes before which the service has two pools.
FROM_MANY = {"pools removed", "pools and endpoints removed"}


#: Who knows the change: whether the request is at the leader, and who of all routers,
#: of the request's and of the others.
KNOWN = {
    "everywhere": (False, True, True),
    "at the leader and everywhere": (True, True, True),
    "here": (False, True, False),
    "elsewhere": (False, False, True),
}


def change_of(world, name, routers):
    """Return a function that makes a change known to some routers."""

    def apply():
        world.changed_at = world.loop.time()
        if name in CONFIGURATIONS:
            world.configure(CONFIGURATIONS[name](world.table), routers)
        else:
            known = list(world.endpoints.values())
            world.register(ENDPOINTS[name](known), routers)

    return apply


# Stages of a request, at which the change comes


def occupy(world, router, names, seconds):
    """Have requests take endpoints until some seconds from now."""

    def behave(request, headers):
        if request.startswith("busy"):
            return Behaviour(pieces=events(1, 1, seconds))
        return Behaviour()

    world.default_behaviour = behave
    for number in range(len(names)):
        world.send(router, f"busy-{number}")


def models_of(world):
    """Return the names of the endpoints of the service that the route uses."""
    return [name for name, item in world.endpoints.items() if item.service == "model"]


def answer_at(world, behaviour):
    """Have all endpoints handle the request under test in one way."""
    world.default_behaviour = lambda request, headers: behaviour


async def arriving(world, router, change):
    """Let the change come between the head and the last byte of the request."""
    change()
    world.send(router, ASKED)


async def waiting(world, router, change):
    """Let the change come while the request waits for a grant."""
    occupy(world, router, models_of(world), BUSY)
    await asyncio.sleep(0.1)
    world.send(router, ASKED)
    await asyncio.sleep(0.1)
    change()


async def offered(world, router, change):
    """Let the change come while the first offer of the request is on its way."""
    world.send(router, ASKED)
    change()


async def connecting(world, router, change):
    """Let the change come while the connection to the endpoint is established."""
    slow = Behaviour(connect=0.2)
    world.behaviours["e-0"] = lambda request, headers: slow
    world.send(router, ASKED)
    await asyncio.sleep(0.05)
    change()


async def sent(world, router, change):
    """Let the change come after the request was sent, before its answer begins."""
    answer_at(world, Behaviour(pieces=events(1, 1, 0.7)))
    world.send(router, ASKED)
    await asyncio.sleep(0.3)
    change()


async def buffered(world, router, change):
    """Let the change come within an answer that is kept until it is complete."""
    answer_at(world, Behaviour(pieces=[*events(1, 1, 0.1), *events(2, 2, 0.6)]))
    world.send(router, ASKED)
    await asyncio.sleep(0.3)
    change()


async def streaming(world, router, change):
    """Let the change come after the first events of a stream."""

    def behave(request, headers):
        first = int(headers.get("last-event-id", "0")) + 1
        return Behaviour(pieces=events(first, 10, 0.1))

    world.default_behaviour = behave
    world.send(router, ASKED)
    await asyncio.sleep(0.35)
    change()


def broken_stream(request, headers):
    """Return a stream that breaks off, and goes on where it is resumed."""
    if "last-event-id" not in headers:
        return Behaviour(pieces=events(1, 3, 0.05), broken=True)
    return Behaviour(pieces=events(int(headers["last-event-id"]) + 1, 6, 0.05))


async def resuming(world, router, change):
    """Let the change come while the router looks for an endpoint to go on at."""
    names = models_of(world)

    def behave(request, headers):
        if request.startswith("busy"):
            return Behaviour(pieces=events(1, 1, BUSY))
        return broken_stream(request, headers)

    world.default_behaviour = behave
    for number in range(len(names) - 1):
        world.send(router, f"busy-{number}")
    await asyncio.sleep(0.05)
    world.send(router, ASKED)
    await asyncio.sleep(0.3)
    change()


async def resumed(world, router, change):
    """Let the change come while routers are asked where a resumed stream began."""
    answer_at(world, Behaviour(pieces=events(4, 6, 0.05)))
    world.send(router, ASKED, last_event_id="3", resumes="first")
    change()


async def silent(world, router, change):
    """Let the change come while another endpoint than a silent one is looked for."""
    names = models_of(world)

    def behave(request, headers):
        if request.startswith("busy"):
            return Behaviour(pieces=events(1, 1, SILENCE / 2 + 1.0))
        if "last-event-id" in headers:
            return Behaviour(pieces=events(int(headers["last-event-id"]) + 1, 6, 0.05))
        return Behaviour(pieces=[*events(1, 3, 0.05), *events(4, 6, SILENCE / 3)])

    world.default_behaviour = behave
    for number in range(len(names) - 1):
        world.send(router, f"busy-{number}")
    await asyncio.sleep(0.05)
    world.send(router, ASKED)
    await asyncio.sleep(1.5)
    change()


#: Stages by name, each with the kind of route, and from when on an endpoint is free, in
#: seconds after the request came; infinity where it is passed on before the change.
STAGES = {
    "arriving": (arriving, RouteKind.IDEMPOTENT, 0.0),
    "offered": (offered, RouteKind.IDEMPOTENT, 0.0),
    "waiting": (waiting, RouteKind.NON_IDEMPOTENT, BUSY - 0.1),
    "waiting, stream": (waiting, RouteKind.STREAMING, BUSY - 0.1),
    "connecting": (connecting, RouteKind.NON_IDEMPOTENT, 0.2),
    "sent": (sent, RouteKind.NON_IDEMPOTENT, -math.inf),
    "sent, repeatable": (sent, RouteKind.IDEMPOTENT, -math.inf),
    "buffered": (buffered, RouteKind.IDEMPOTENT, -math.inf),
    "first events out": (streaming, RouteKind.STREAMING, -math.inf),
    "going on elsewhere": (resuming, RouteKind.STREAMING, -math.inf),
    "resumed by its caller": (resumed, RouteKind.STREAMING, 0.06),
    "at a silent endpoint": (silent, RouteKind.STREAMING, -math.inf),
}

#: Changes after which no endpoint is left for the service that the route used.
NO_ENDPOINT = {
    "service removed",
    "all services removed",
    "endpoints removed",
    "pools and endpoints removed",
}
#: Ends that are expected beside a whole answer, by stage and change.
REFUSED = {
    "arriving": {
        "route without services": "503",
        "route dropped": "404",
        "all routes dropped": "404",
        "all services removed": "404",
        "regions": "503",
        "key revoked": "401",
        "organisation removed": "401",
        "endpoints removed": "503",
        "pools and endpoints removed": "503",
    },
    "offered": dict.fromkeys(NO_ENDPOINT, "503"),
    "waiting": dict.fromkeys(NO_ENDPOINT, "503"),
    "waiting, stream": dict.fromkeys(NO_ENDPOINT, "503"),
    "connecting": dict.fromkeys(NO_ENDPOINT, "503"),
    # The endpoint that ran it has ended, and it may not run twice.
    "sent": {"endpoint restarted": "502"},
    # The endpoint broke the stream off, and no other one may go on.
    "going on elsewhere": dict.fromkeys(
        {*NO_ENDPOINT, "endpoint removed", "endpoint leaves", "endpoint restarted"},
        "cut",
    ),
    # Where the stream began is no longer certain, or its service no longer used.
    "resumed by its caller": dict.fromkeys(
        {
            *NO_ENDPOINT,
            "route moved",
            "route split",
            "weights",
            "weight of zero",
            "route without services",
            "route dropped",
            "all routes dropped",
            "kind changed",
        },
        "503",
    ),
}


def play_change(stage, change, known):
    """Return the world in which a change came at a stage of a request."""
    work, kind, _ = STAGES[stage]
    at_leader, here, others = KNOWN[known]

    async def scenario(world):
        router = world.leader() if at_leader else world.other()
        names = [name for name in world.routers if (here if name == router else others)]
        await work(world, router, change_of(world, change, names))

    count = MANY if change in FROM_MANY else FEW
    return play(scenario, base_table(kind), base_endpoints(count))


def hold_of(world, stage):
    """Return the seconds for which the request stayed while an endpoint was free."""
    free_at = world.callers[ASKED].received + STAGES[stage][2]
    if stage.startswith("waiting"):
        # A request at an endpoint that has restarted goes on at another one.
        busy = [item for name, item in world.callers.items() if name != ASKED]
        free_at = max(free_at, *[item.ended_at for item in busy])
    return world.longest_hold(ASKED, free_at)
