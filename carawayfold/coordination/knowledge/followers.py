"""Follows the configuration and the registrations in the store.

The store may be down, slow, or refuse some routers only. Failed reads are retried.
"""

from __future__ import annotations

import asyncio
import random
from functools import partial
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.protocol.sources import RecordsNotRetained, SourceError, SourceTimeout
from carawayfold.state.ids import Position
from carawayfold.state.positions import offset_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.sources import EndpointChange, Evacuation, Page, Source
    from carawayfold.state.routes import RouteTable

logger = logbook.Logger(__name__)

#: Seconds that a read waits for new records. Together with the time-out of a read that
#: is not answered it is less than the time within which a router must be up to date.
LONG_POLL_TIMEOUT = 1.4
#: Seconds that a read waits at a router that reads for others. They consider the router
#: cut off from the store when it has had no answer for a little longer.
SHARED_LONG_POLL_TIMEOUT = 0.8
#: Seconds between two reads of registrations, so that a whole service that registers
#: at once takes a few reads and not one per endpoint.
ENDPOINT_READ_INTERVAL = 0.1
#: Seconds within which a read after a failed one must be answered, used alternately.
#: Such a read does not wait for records, so that a store that has recovered is detected
#: at once and confirms the records known. The longer time-out is for a slow store.
PROBE_TIMEOUTS = (0.8, 0.4)
#: Seconds before the newest records are read after the history was lost, so that a
#: store that loses it repeatedly is not called without a delay.
HISTORY_RETRY_DELAY = 0.05


class Follower:
    """Follows one source of the store without end.

    Parameters
    ----------
    topic : str
        Name of the source in log lines.
    source : Source
        The source to read.
    knowledge : Knowledge
        Records whether the store answers.
    on_newest, on_read : callable
        Called with each complete list and with each page of later records.
    wait : callable
        Returns the seconds that a read waits for records.
    wait_for_turn : callable
        Waits until this router should read the store.
    on_answer : callable
        Called after each answer.
    known_position : callable
        Returns the position up to which this router has records from peers, or None.
    pause : float
        Seconds between two reads.
    no_answer_delay : callable
        Returns the seconds before the next read after one without an answer.
    """

    def __init__(
        self,
        topic: str,
        source: Source,
        knowledge: Knowledge,
        on_newest: Callable[[Page], None],
        on_read: Callable[[Page], None],
        wait: Callable[[], float],
        wait_for_turn: Callable[[], Awaitable[None]],
        on_answer: Callable[[], None],
        known_position: Callable[[], Position | None] = lambda: None,
        pause: float = 0.0,
        no_answer_delay: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.topic = topic
        self.known_position = known_position
        self.wait_for_turn = wait_for_turn
        self.on_answer = on_answer
        self.source = source
        self.knowledge = knowledge
        self.on_newest = on_newest
        self.on_read = on_read
        self.wait = wait
        self.pause = pause
        self.no_answer_delay = no_answer_delay
        self.next: Position | None = None
        #: Position up to which pages were applied.
        self.applied = Position(0)
        #: Whether the store no longer retains the records after `next`.
        self.history_lost = False
        #: Whether the last read of this router may have ended together with the reads
        #: of other routers.
        self.synchronized = True
        #: Loop time at which the last call began.
        self.call_started_at = 0.0
        #: Calls that failed since the last answer.
        self.failures = 0
        self.backoff = Backoff()

    async def follow(self) -> None:
        """Read without end; failed reads are retried after a backoff."""
        while True:
            try:
                await self.step()
                self.backoff.reset()
                self.failures = 0
            except RecordsNotRetained:
                begun = offset_of(self.next) if self.next is not None else None
                logger.info(
                    "history lost; reading the newest records", extra={"from": begun}
                )
                self.history_lost = True
                await asyncio.sleep(HISTORY_RETRY_DELAY)
            except SourceError as error:
                lasted = self.knowledge.loop.time() - self.call_started_at
                self.failures += 1
                self.knowledge.note_failure(error)
                pause = self._next_delay(error, lasted)
                self._log_failure(error, lasted, pause)
                await asyncio.sleep(pause)

    def _next_delay(self, error: SourceError, lasted: float) -> float:
        """Return the delay in seconds before the next call after one that failed."""
        if isinstance(error, SourceTimeout):
            return self.no_answer_delay()
        return max(0.0, self.backoff.next_delay() - lasted)

    def _log_failure(self, error: SourceError, lasted: float, pause: float) -> None:
        extra = {
            "topic": self.topic,
            "lasted_ms": round(lasted * 1000),
            "pause_ms": round(pause * 1000),
            "reason": str(error),
        }
        logger.info("read failed", extra=extra)

    def _start_position(self) -> Position | None:
        """Return the position to continue reading from, None for a complete list.

        A router that has its records from peers only also continues from their
        position: a list does not show that an endpoint announced that it leaves and was
        removed since.
        """
        known = [
            place for place in (self.next, self.known_position()) if place is not None
        ]
        return max(known, default=None)

    def _next_wait(self) -> float:
        """Return the seconds that the next read waits, randomised after new records.

        New records end the reads of all routers at once. Without the random factor the
        reads would stay synchronised and time out together, and no router could supply
        another with the records that it missed.
        """
        return self.wait() * (random.random() if self.synchronized else 1.0)

    async def step(self) -> None:
        """Read once, as soon as this router should read the store."""
        if self.next is not None or self.knowledge.complete:
            await self.wait_for_turn()
        start = None if self.history_lost else self._start_position()
        self.call_started_at = self.knowledge.loop.time()
        if start is None:
            page = await self.source.newest()
            self.on_answer()
            self.applied = page.next
            self.on_newest(page)
        else:
            page = await self._read(start)
            self._apply_read(page)
            self.synchronized = bool(page.items) or self.failures > 0
        self.history_lost = False
        self.next = page.next
        if self.pause:
            await asyncio.sleep(self.pause)

    def _apply_read(self, page: Page) -> None:
        """Apply a page of later records; a page that ends early is no whole answer."""
        if page.complete:
            self.on_answer()
        else:
            self.knowledge.record_answer()
        if page.next < self.applied:
            # Another read has overtaken this one.
            return
        self.applied = page.next
        self.on_read(page)

    @property
    def has_position(self) -> bool:
        """Return whether it knows from where on to read what is new."""
        return not self.history_lost and self._start_position() is not None

    async def read_at_once(self) -> bool:
        """Read what the store has beyond the known records, beside the usual reads.

        Returns
        -------
        bool
            Whether all records that were written before this call are known now. False
            also for a router that has no position to read from.

        Raises
        ------
        SourceError
            If the store did not answer.
        """
        if not self.has_position:
            return False
        page = await self.source.read(self._start_position(), 0.0)
        self._apply_read(page)
        return page.complete

    async def _read(self, start: Position) -> Page:
        if not self.failures:
            return await self.source.read(start, self._next_wait())
        probe_timeout = PROBE_TIMEOUTS[self.failures % len(PROBE_TIMEOUTS)]
        try:
            async with asyncio.timeout(probe_timeout):
                return await self.source.read(start, 0.0)
        except TimeoutError:
            raise SourceTimeout("no answer in time") from None


def follow_operators(
    source: Source[RouteTable | Evacuation],
    knowledge: Knowledge,
    wait_for_turn: Callable[[], Awaitable[None]],
    reads_for_others: Callable[[], bool],
    no_answer_delay: Callable[[], float] = lambda: 0.0,
) -> Follower:
    """Return a follower of the operators' configurations and evacuations."""
    return Follower(
        "operators",
        source,
        knowledge,
        partial(knowledge.apply_operator_records, listed=True),
        knowledge.apply_operator_records,
        lambda: SHARED_LONG_POLL_TIMEOUT if reads_for_others() else LONG_POLL_TIMEOUT,
        wait_for_turn,
        knowledge.record_operators_answer,
        no_answer_delay=no_answer_delay,
    )


def follow_endpoints(
    source: Source[EndpointChange],
    knowledge: Knowledge,
    wait_for_turn: Callable[[], Awaitable[None]],
    reads_for_others: Callable[[], bool],
    no_answer_delay: Callable[[], float] = lambda: 0.0,
) -> Follower:
    """Return a follower of registrations."""
    return Follower(
        "registrations",
        source,
        knowledge,
        knowledge.apply_listing,
        knowledge.apply_registrations,
        lambda: SHARED_LONG_POLL_TIMEOUT if reads_for_others() else LONG_POLL_TIMEOUT,
        wait_for_turn,
        knowledge.record_registrations_answer,
        lambda: knowledge.registrations_position,
        ENDPOINT_READ_INTERVAL,
        no_answer_delay,
    )
