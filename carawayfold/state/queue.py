"""Queue of the requests that wait in one router for one service, by organisation."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from carawayfold.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    import asyncio

    from carawayfold.state.ids import EndpointId, OrganisationId, RequestId

#: One in this many requests of an organisation is taken from its normal class while
#: urgent ones wait, so that urgent requests do not starve normal ones.
NORMAL_PERIOD = 5


class Waiter(msgspec.Struct, eq=False):
    """One request that waits for a slot.

    Attributes
    ----------
    request_id : RequestId
        Identifier of the request.
    organisation : OrganisationId
        Organisation whose share it uses.
    urgent : bool
        Whether it precedes normal requests of the same organisation.
    since : float
        Monotonic seconds of its arrival.
    deadline : float
        Monotonic seconds by which it must have begun.
    granted : asyncio.Future of EndpointId
        Resolved with the endpoint that may run the request.
    avoid : frozenset of EndpointId
        Endpoints at which the request has failed.
    """

    request_id: RequestId
    organisation: OrganisationId
    urgent: bool
    since: float
    deadline: float
    granted: asyncio.Future[EndpointId]
    avoid: frozenset[EndpointId] = frozenset()


class OrganisationQueue(msgspec.Struct):
    """Waiting requests of one organisation, in two classes.

    Attributes
    ----------
    urgent, normal : deque of Waiter
        Requests of each class in order of arrival.
    taken : int
        Number of requests taken so far.
    """

    urgent: deque[Waiter] = msgspec.field(default_factory=deque)
    normal: deque[Waiter] = msgspec.field(default_factory=deque)
    taken: int = 0

    def __len__(self) -> int:
        return len(self.urgent) + len(self.normal)

    def oldest(self) -> float:
        """Return the arrival of the longest waiting request, in monotonic seconds."""
        heads = [waiters[0].since for waiters in (self.urgent, self.normal) if waiters]
        return min(heads)

    def order(self) -> tuple[deque[Waiter], deque[Waiter]]:
        """Return the two classes in the order in which to take the next request."""
        if self.taken % NORMAL_PERIOD == NORMAL_PERIOD - 1:
            return self.normal, self.urgent
        return self.urgent, self.normal


class ServiceQueue:
    """Bounded queue of one service.

    Parameters
    ----------
    organisation_limit : int
        Most waiting requests of one organisation.
    total_limit : int
        Most waiting requests in all.
    """

    def __init__(self, organisation_limit: int, total_limit: int) -> None:
        self.organisation_limit = organisation_limit
        self.total_limit = total_limit
        #: Non-empty queues only, by organisation.
        self.queues: dict[OrganisationId, OrganisationQueue] = {}
        self.total = 0

    def push(self, waiter: Waiter) -> None:
        """Add `waiter`.

        Raises
        ------
        Refusal
            ``queue-full`` if a limit is reached.
        """
        queue = self.queues.get(waiter.organisation)
        if queue is not None and len(queue) >= self.organisation_limit:
            raise Refusal(ErrorKind.QUEUE_FULL, "the organisation's queue is full")
        if self.total >= self.total_limit:
            raise Refusal(ErrorKind.QUEUE_FULL, "the router's queue is full")
        if queue is None:
            queue = self.queues[waiter.organisation] = OrganisationQueue()
        waiters = queue.urgent if waiter.urgent else queue.normal
        waiters.append(waiter)
        self.total += 1

    def take(self, organisation: OrganisationId, endpoint: EndpointId) -> Waiter | None:
        """Remove and return the next request that may be sent to `endpoint`.

        Parameters
        ----------
        organisation : OrganisationId
            Organisation to serve.
        endpoint : EndpointId
            Endpoint with a free slot.

        Returns
        -------
        Waiter or None
            None if no request may be sent there.
        """
        queue = self.queues.get(organisation)
        if queue is None:
            return None
        for waiters in queue.order():
            for waiter in waiters:
                if endpoint not in waiter.avoid:
                    waiters.remove(waiter)
                    queue.taken += 1
                    self._after_removal(organisation, queue)
                    return waiter
        return None

    def discard(self, waiter: Waiter) -> bool:
        """Remove `waiter`; return whether it was waiting."""
        queue = self.queues.get(waiter.organisation)
        if queue is None:
            return False
        waiters = queue.urgent if waiter.urgent else queue.normal
        if waiter not in waiters:
            return False
        waiters.remove(waiter)
        self._after_removal(waiter.organisation, queue)
        return True

    def _after_removal(
        self, organisation: OrganisationId, queue: OrganisationQueue
    ) -> None:
        self.total -= 1
        if not len(queue):
            del self.queues[organisation]
