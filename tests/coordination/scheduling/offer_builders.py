"""A coordinator whose fleet records what is sent to the responsible router."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.fleet.membership import Member
from carawayfold.coordination.scheduling.coordinator import SchedulingCoordinator
from carawayfold.protocol.datagrams import (
    Datagram,
    GrantMessage,
    QueuedMessage,
    WithdrawMessage,
)
from carawayfold.state.endpoints import EndpointTable
from carawayfold.state.routes import CallerLimits, RouteTable, ServiceConfig
from tests.schedule_builders import endpoint, offer

POOL = "model/0"
CALL = "own.1.1"


class RecordingFleet:
    """Fleet in which a test names the router that is responsible for all pools."""

    def __init__(self, target):
        self.own = Member("own", "north", 1, 0.0)
        self.target = target
        self.sent = []
        self.suspects = []

    def leader(self, subject):
        return self.target

    responsible = leader

    def send(self, router, message):
        self.sent.append((router, message))

    def add_suspect(self, router):
        self.suspects.append(router)

    def is_seen_since(self, router, since):
        return False

    def fallback_share(self):
        return 1.0

    def withdrawn(self, call):
        """Return the routers at which a request was withdrawn, in order."""
        return [
            router
            for router, message in self.sent
            if isinstance(message, WithdrawMessage) and message.call == call
        ]

    def queue(self, made, call):
        """Have the responsible router confirm that a request is queued."""
        made.take(Datagram(self.target, 1, [QueuedMessage(call)]))

    def grant(self, made, call, router):
        """Have a router grant a request."""
        made.take(Datagram(router, 1, [GrantMessage(call, "e-0")]))


def routes():
    """Return a configuration with the one service."""
    services = {"model": ServiceConfig("model", "/", 100, 600_000)}
    return RouteTable(1, (), services, {}, {}, CallerLimits(), 100_000.0)


def coordinator(fleet, usable=True, features=None):
    """Return a coordinator of one pool, whose one endpoint may be unusable at first."""
    table = EndpointTable()
    table.put(endpoint("e-0"))
    made = SchedulingCoordinator(fleet, 4.0, features=features)
    made.refresh(table, routes())
    if not usable:
        now = asyncio.get_running_loop().time()
        made.pools[POOL].scheduler.loads["e-0"].suspended_until = now + 1.0
    return made


def request():
    """Return the offer of one request."""
    now = asyncio.get_running_loop().time()
    return offer(CALL, now=now, router="own", due=now + 5.0)
