"""The holder's side of scheduling: requests that wait for the grant of a slot."""

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
    from carawayfold.state.service_rows import LocalRows

#: Seconds after which a grant is not used, counted from the report that it is based on.
MAX_GRANT_AGE = 1.5
#: Weight of the newest interval in the smoothed interval between grants.
INTERVAL_SMOOTHING = 0.2


class DemandObserver(Protocol):
    """Receives notifications of changes to the work that this router holds."""

    def demand_changed(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Handle a change of the waiting work of an organisation."""

    def slot_released(self, service: ServiceId, organisation: OrganisationId) -> None:
        """Handle a slot that has become free."""


class Dispatcher:
    """Requests that this router holds, waiting and in flight.

    Parameters
    ----------
    settings : Settings
        Limits of the queues.
    rows : LocalRows
        Service received through this router.

    Attributes
    ----------
    observer : DemandObserver or None
        Notified when waiting work changes and when a slot becomes free. It must be set
        before the first request.
    """

    def __init__(
        self,
        settings: Settings,
        rows: LocalRows,
    ) -> None:
        self.settings = settings
        self.rows = rows
        self.observer: DemandObserver | None = None
        self.queues: dict[ServiceId, ServiceQueue] = {}
        self.in_flight: dict[EndpointId, int] = {}
        #: Smoothed seconds between grants, by service and organisation.
        self.grant_intervals: dict[tuple[ServiceId, OrganisationId], float] = {}
        self.last_grant_at: dict[tuple[ServiceId, OrganisationId], float] = {}

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
            Loop time by which it must have been granted a slot.
        avoid : frozenset of EndpointId
            Endpoints that have already failed for this request.

        Returns
        -------
        EndpointId
            Endpoint of the slot; return the slot with `release`.

        Raises
        ------
        Refusal
            ``queue-full`` or ``deadline-exceeded``; the request did not run.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._reject_if_too_late(request.service, organisation, deadline - now)
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
        self.observer.demand_changed(request.service, organisation)
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
            self.observer.demand_changed(service, waiter.organisation)
            return
        granted = waiter.granted
        if granted.done() and not granted.cancelled() and not granted.exception():
            # The grant arrived at the same time as the timeout or the cancellation.
            self.release(service, waiter.organisation, granted.result(), 0.0, 0)

    def _reject_if_too_late(
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
        return len(queue) * self.grant_intervals.get((service, organisation), 0.0)

    def granted(
        self, service: ServiceId, organisation: OrganisationId, endpoint: EndpointId
    ) -> bool:
        """Assign a granted slot to a waiting request; return whether there is one."""
        queue = self.queue(service)
        waiter = queue.take(organisation, endpoint)
        while waiter is not None and waiter.granted.done():
            waiter = queue.take(organisation, endpoint)
        if waiter is None:
            return False
        self._update_grant_interval(service, organisation)
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.rows.change(service, organisation, in_flight=1)
        waiter.granted.set_result(endpoint)
        return True

    def _update_grant_interval(
        self, service: ServiceId, organisation: OrganisationId
    ) -> None:
        key = (service, organisation)
        now = asyncio.get_running_loop().time()
        last = self.last_grant_at.get(key)
        self.last_grant_at[key] = now
        if organisation not in self.queue(service).queues:
            # No work waits, so the interval to the next grant will not show the rate.
            self.last_grant_at.pop(key)
            return
        if last is not None:
            interval = self.grant_intervals.get(key, now - last)
            self.grant_intervals[key] = interval + INTERVAL_SMOOTHING * (
                now - last - interval
            )

    def release(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        endpoint: EndpointId,
        received: float,
        requests: int = 1,
    ) -> None:
        """Return a slot and charge the service received.

        Parameters
        ----------
        service, organisation, endpoint
            As given to and returned by `acquire`.
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
        self.observer.slot_released(service, organisation)

    def reject_all(self, refusal: Refusal) -> None:
        """Reject all waiting requests with `refusal`."""
        for service, queue in self.queues.items():
            waiters = [
                waiter
                for organisation_queue in queue.queues.values()
                for waiter in (*organisation_queue.urgent, *organisation_queue.normal)
            ]
            for waiter in waiters:
                queue.discard(waiter)
                if not waiter.granted.done():
                    waiter.granted.set_exception(refusal)
                self.observer.demand_changed(service, waiter.organisation)
