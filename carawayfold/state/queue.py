"""Requests waiting in one router for one service, kept per organisation."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from carawayfold.errors import ErrorKind, Refusal

if TYPE_CHECKING:
    import asyncio

    from carawayfold.state.ids import EndpointId, OrganisationId, RequestId

#: One in this many requests of an organisation is taken from its normal class
#: while urgent ones wait, so that long work still completes.
NORMAL_EVERY = 5


class Waiter(msgspec.Struct, eq=False):
    """One request that waits for a slot.

    Attributes
    ----------
    request_id : RequestId
        The request.
    organisation : OrganisationId
        Whose share it uses.
    urgent : bool
        Whether it goes before normal work of the same organisation.
    since : float
        Time of arrival, in seconds of the monotonic clock.
    deadline : float
        Time by which it must have begun, same clock.
    granted : asyncio.Future of EndpointId
        Resolved with the endpoint on which it may begin.
    avoid : frozenset of EndpointId
        Endpoints that already failed this request.
    """

    request_id: RequestId
    organisation: OrganisationId
    urgent: bool
    since: float
    deadline: float
    granted: asyncio.Future[EndpointId]
    avoid: frozenset[EndpointId] = frozenset()


class OrganisationQueue(msgspec.Struct):
    """Waiting requests of one organisation, in two classes."""

    urgent: deque[Waiter] = msgspec.field(default_factory=deque)
    normal: deque[Waiter] = msgspec.field(default_factory=deque)
    taken: int = 0

    def __len__(self) -> int:
        return len(self.urgent) + len(self.normal)

    def oldest(self) -> float:
        """Return the arrival time of the request that waits longest."""
        heads = [part[0].since for part in (self.urgent, self.normal) if part]
        return min(heads)

    def order(self) -> tuple[deque[Waiter], deque[Waiter]]:
        """Return the two classes, the one to take from first."""
        if self.taken % NORMAL_EVERY == NORMAL_EVERY - 1:
            return self.normal, self.urgent
        return self.urgent, self.normal


class ServiceQueue:
    """Bounded queue of one service.

    Parameters
    ----------
    organisation_limit : int
        Most requests of one organisation.
    total_limit : int
        Most requests in all.
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
            ``queue-full`` where a bound is reached.
        """
        queue = self.queues.get(waiter.organisation)
        if queue is not None and len(queue) >= self.organisation_limit:
            raise Refusal(ErrorKind.QUEUE_FULL, "the organisation's queue is full")
        if self.total >= self.total_limit:
            raise Refusal(ErrorKind.QUEUE_FULL, "the router's queue is full")
        if queue is None:
            queue = self.queues[waiter.organisation] = OrganisationQueue()
        part = queue.urgent if waiter.urgent else queue.normal
        part.append(waiter)
        self.total += 1

    def take(self, organisation: OrganisationId, endpoint: EndpointId) -> Waiter | None:
        """Remove and return the next request that may go to `endpoint`.

        Parameters
        ----------
        organisation : OrganisationId
            Organisation whose turn it is.
        endpoint : EndpointId
            Endpoint with a free slot.

        Returns
        -------
        Waiter or None
            None where no request may go there.
        """
        queue = self.queues.get(organisation)
        if queue is None:
            return None
        for part in queue.order():
            for waiter in part:
                if endpoint not in waiter.avoid:
                    part.remove(waiter)
                    queue.taken += 1
                    self._removed(organisation, queue)
                    return waiter
        return None

    def discard(self, waiter: Waiter) -> bool:
        """Remove `waiter`; return whether it was waiting."""
        queue = self.queues.get(waiter.organisation)
        if queue is None:
            return False
        part = queue.urgent if waiter.urgent else queue.normal
        if waiter not in part:
            return False
        part.remove(waiter)
        self._removed(waiter.organisation, queue)
        return True

    def _removed(self, organisation: OrganisationId, queue: OrganisationQueue) -> None:
        self.total -= 1
        if not len(queue):
            del self.queues[organisation]
