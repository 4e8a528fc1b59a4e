"""A coordinator of several pools, whose requests another router decides."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.scheduling.coordinator import SchedulingCoordinator
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.pool_assignment import (
    MAX_POOL_SIZE,
    order_pools,
)
from carawayfold.protocol.datagrams import (
    Datagram,
    GrantMessage,
    OfferMessage,
    RejectMessage,
)
from carawayfold.state.endpoints import EndpointTable
from carawayfold.state.routes import CallerLimits, RouteTable, ServiceConfig
from tests.coordination.scheduling.offer_builders import RecordingFleet
from tests.schedule_builders import endpoint, offer

LEADER = "leader"
SERVICE = "model"
PREFIX = "topic"
OBJECTIVE = 0.4


class AskingRouter:
    """A router that offers requests with one prefix to the leader of three pools.

    Parameters
    ----------
    balances : bool
        Whether `balance_pools` is on.
    places : tuple of str
        Data centres of the endpoints, in turn.
    """

    def __init__(self, balances=True, places=("north",)):
        self.fleet = RecordingFleet(LEADER)
        features = SchedulingFeatures(balance_pools=balances)
        self.coordinator = SchedulingCoordinator(self.fleet, 4.0, features=features)
        table = EndpointTable()
        for number in range(3 * MAX_POOL_SIZE):
            place = places[number % len(places)]
            table.put(endpoint(f"e-{number}", data_centre=place))
        services = {SERVICE: ServiceConfig(SERVICE, "/", 100, 600_000)}
        routes = RouteTable(1, (), services, {}, {}, CallerLimits(), 100_000.0)
        self.coordinator.refresh(table, routes)
        self.weights = self.coordinator.weights[SERVICE]
        self.order = order_pools(self.weights, PREFIX)
        self.balance = self.coordinator.selection.balance

    def ask(self, **other):
        """Return the task of a new request and its first identifier."""
        coordinator = self.coordinator
        now = asyncio.get_running_loop().time()
        call = coordinator.next_call()
        asked = offer(call, PREFIX, now=now, router="own", due=now + OBJECTIVE, **other)
        task = asyncio.ensure_future(coordinator.place_with_fallback(asked, SERVICE))
        return task, call

    def record(self, pool, load):
        """Record the load of a pool as of now."""
        self.balance.record(pool, load, asyncio.get_running_loop().time())

    def offered(self):
        """Return the pool and the identifier of each offer, without repetitions."""
        offers = [
            (message.pool, message.call)
            for _, message in self.fleet.sent
            if isinstance(message, OfferMessage)
        ]
        return list(dict.fromkeys(offers))

    def grant(self, call, pool, wait=-1, used=-1):
        """Have the leader grant an endpoint of a pool."""
        chosen = next(iter(self.coordinator.pools[pool].scheduler.loads))
        message = GrantMessage(call, chosen, pool_wait=wait, pool_used=used)
        self.coordinator.take(Datagram(LEADER, 1, [message]))

    def reject(self, call, wait=-1, used=-1):
        """Have the leader reject a request."""
        message = RejectMessage(
            call, "no answer in time", 500, pool_wait=wait, pool_used=used
        )
        self.coordinator.take(Datagram(LEADER, 1, [message]))
