"""Proof that all streams of a route that callers may resume have the same origin.

A router that has no record of a stream may still know that it began at the only version
of the only service that the route used lately. Two facts are needed: that the past is
known for as long as callers return, and that nothing was registered or configured since
this router last read the store. Only a read that begins after the caller has returned
proves the second one: streams begin at endpoints that were registered before.
"""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from carawayfold.state.routes import RouteKind
from carawayfold.state.stream_origins import Origin, Proof, ProofFailure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.state.ids import RouteId, ServiceId, SoftwareVersion
    from carawayfold.state.routes import Route


class SoleOrigins:
    """Finds the sole origin of the streams of a route.

    Parameters
    ----------
    knowledge : Knowledge
        Registered endpoints and configurations, and their history.
    confirm : callable
        Returns whether all records that were in the store before the call are known.
    """

    def __init__(
        self, knowledge: Knowledge, confirm: Callable[[], Awaitable[bool]]
    ) -> None:
        self.knowledge = knowledge
        self.confirm = confirm
        self.loop = asyncio.get_running_loop()

    async def prove(self, route: Route) -> Proof:
        """Return the proved origin of any stream that broke off before this call."""
        proof = self.expected(route)
        if proof.origin is None:
            return proof
        if not await self.confirm():
            return Proof(None, ProofFailure.STORE)
        current = self.route(route.id)
        if current is None:
            return Proof(None, ProofFailure.NOT_SOLE)
        return self.expected(current)

    def expected_origins(self, routes: Iterable[Route]) -> dict[RouteId, Origin]:
        """Return the sole origins of some routes, for those that seem to have one."""
        versions = functools.cache(self.versions)
        expected = {route.id: self.expected(route, versions) for route in routes}
        return {
            name: proof.origin
            for name, proof in expected.items()
            if proof.origin is not None
        }

    def expected(
        self,
        route: Route,
        versions_of: Callable[[ServiceId], set[SoftwareVersion]] | None = None,
    ) -> Proof:
        """Return the sole origin by the records that this router has now.

        Parameters
        ----------
        route : Route
            The route.
        versions_of : callable, optional
            Returns the versions of a service; `versions` by default.
        """
        now = self.loop.time()
        history = self.knowledge.route_history
        service = history.sole_service(route.id, now)
        if route.kind is not RouteKind.STREAMING or service is None:
            return Proof(None, ProofFailure.NOT_SOLE)
        versions = (versions_of or self.versions)(service)
        if len(versions) != 1:
            return Proof(None, ProofFailure.NOT_SOLE)
        software = self.knowledge.endpoints.software
        complete = software.is_complete(now, history.window)
        if not complete or not history.is_complete(now):
            return Proof(None, ProofFailure.HISTORY)
        return Proof(Origin(service, *versions))

    def versions(self, service: ServiceId) -> set[SoftwareVersion]:
        """Return the versions of a service that may have begun streams."""
        window = self.knowledge.route_history.window
        return self.knowledge.endpoints.software_of(service, self.loop.time(), window)

    def allows(self, route: Route, origin: Origin) -> bool:
        """Return whether this router knows of no other origin than one that is given.

        It may know less than the peer that has proved it, for example after its start.
        """
        services = {item.service for item in route.services}
        if services != {origin.service}:
            return False
        return self.versions(origin.service) <= {origin.software}

    def route(self, name: RouteId) -> Route | None:
        """Return a route of the configuration in force."""
        table = self.knowledge.routes
        routes = table.routes if table is not None else ()
        return next((route for route in routes if route.id == name), None)
