"""The holder's side of scheduling: requests wait here until a slot is granted."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.queue import ServiceQueue, Waiter

if TYPE_CHECKING:
    from carawayfold.protocol.callers import CallerRequest
    from carawayfold.settings import Settings
    from carawayfold.state.ids import EndpointId, OrganisationId, ServiceId
    from carawayfold.state.service_rows import OwnRows

#: Grants answering a report older than this are not acted on, in seconds.
GRANT_LIFETIME = 1.5
#: Weight of the newest interval in the rate of grants.
RATE_SMOOTHING = 0.2


class DemandObserver(Protocol):
    """Who hears of changes to the work that this router holds."""

    def demanded(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Note that the waiting work of an organisation changed."""

    def released(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Note that a slot is free."""


class Dispatcher:
    """Requests that this router holds, waiting and in flight.

    Parameters
    ----------
    settings : Settings
        Bounds of the queues.
    rows : OwnRows
        Service measured here.
    observer : DemandObserver or None
        Told when work waits and when a slot is free.
    """

    def __init__(
        self,
        settings: Settings,
        rows: OwnRows,
    ) -> None:
        self.settings = settings
        self.rows = rows
        self.observer: DemandObserver | None = None
        self.queues: dict[ServiceId, ServiceQueue] = {}
        self.in_flight: dict[EndpointId, int] = {}
        #: Smoothed seconds between grants, by service and organisation.
        self.pace: dict[tuple[ServiceId, OrganisationId], float] = {}
        self.last_grant: dict[tuple[ServiceId, OrganisationId], float] = {}

    def queue(self, service: ServiceId) -> ServiceQueue:
        """Return the queue of `service`."""
        queue = self.queues.get(service)
        if queue is None:
            settings = self.settings
            queue = self.queues[service] = ServiceQueue(
                settings.queue_organisation, settings.queue_total
            )
        return queue

    async def acquire(
        self,
        request: CallerRequest,
        organisation: OrganisationId,
        deadline: float,
        avoid: frozenset[EndpointId] = frozenset(),
    ) -> EndpointId:
        """Wait for a slot and return its endpoint.

        Parameters
        ----------
        request : CallerRequest
            The request.
        organisation : OrganisationId
            Whose share it uses.
        deadline : float
            Loop time by which it must have begun.
        avoid : frozenset of EndpointId
            Endpoints that already failed it.

        Returns
        -------
        EndpointId
            Give the slot back with `release`.

        Raises
        ------
        Refusal
            ``queue-full`` or ``deadline-exceeded``; the request did not run.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._refuse_late(request.service, organisation, deadline - now)
        waiter = Waiter(
            request.request_id,
            organisation,
            request.urgent,
            now,
            deadline,
            loop.create_future(),
            avoid,
        )
        self.queue(request.service).push(waiter)
        self.observer.demanded(request.service, organisation)
        delivered = False
        try:
            async with asyncio.timeout_at(deadline):
                endpoint = await waiter.granted
            delivered = True
            return endpoint
        except TimeoutError:
            wait = self._expected_wait(request.service, organisation)
            raise Refusal(
                ErrorKind.DEADLINE_EXCEEDED,
                "no slot came free in time",
                retry_after=max(1, math.ceil(wait)),
            ) from None
        finally:
            if not delivered:
                self._withdraw(request.service, waiter)

    def _withdraw(self, service: ServiceId, waiter: Waiter) -> None:
        if self.queue(service).discard(waiter):
            self.observer.demanded(service, waiter.organisation)
            return
        granted = waiter.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            # The slot came in the same moment as the timeout or the cancel.
            self.release(service, waiter.organisation, granted.result(), 0.0, 0)

    def _refuse_late(
        self, service: ServiceId, organisation: OrganisationId, remaining: float
    ) -> None:
        wait = self._expected_wait(service, organisation)
        if wait <= remaining:
            return
        detail = f"about {wait:.1f} s of work waits before it"
        retry = max(1, math.ceil(wait - remaining))
        raise Refusal(ErrorKind.DEADLINE_EXCEEDED, detail, retry_after=retry)

    def _expected_wait(self, service: ServiceId, organisation: OrganisationId) -> float:
        queue = self.queue(service).queues.get(organisation)
        if queue is None:
            return 0.0
        return len(queue) * self.pace.get((service, organisation), 0.0)

    def granted(
        self, service: ServiceId, organisation: OrganisationId, endpoint: EndpointId
    ) -> bool:
        """Take a slot that was granted; return whether a request uses it."""
        queue = self.queue(service)
        waiter = queue.take(organisation, endpoint)
        while waiter is not None and waiter.granted.done():
            waiter = queue.take(organisation, endpoint)
        if waiter is None:
            return False
        self._note_pace(service, organisation)
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.rows.change(service, organisation, in_flight=1)
        waiter.granted.set_result(endpoint)
        return True

    def _note_pace(self, service: ServiceId, organisation: OrganisationId) -> None:
        key = (service, organisation)
        now = asyncio.get_running_loop().time()
        last = self.last_grant.get(key)
        self.last_grant[key] = now
        if organisation not in self.queue(service).queues:
            # Nothing waited behind it: the gap says nothing about the pace.
            self.last_grant.pop(key)
            return
        if last is not None:
            pace = self.pace.get(key, now - last)
            self.pace[key] = pace + RATE_SMOOTHING * (now - last - pace)

    def release(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        endpoint: EndpointId,
        received: float,
        requests: int = 1,
    ) -> None:
        """Give a slot back and charge what was received.

        Parameters
        ----------
        service, organisation, endpoint
            As acquired.
        received : float
            Service units.
        requests : int
            1, or 0 where the request did not begin.
        """
        left = self.in_flight[endpoint] - 1
        if left:
            self.in_flight[endpoint] = left
        else:
            del self.in_flight[endpoint]
        self.rows.change(service, organisation, -1, received, requests)
        self.observer.released(service, organisation)

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse everything that waits."""
        for service, queue in self.queues.items():
            waiters = [
                waiter
                for part in queue.queues.values()
                for waiter in (*part.urgent, *part.normal)
            ]
            for waiter in waiters:
                queue.discard(waiter)
                if not waiter.granted.done():
                    waiter.granted.set_exception(refusal)
                self.observer.demanded(service, waiter.organisation)
