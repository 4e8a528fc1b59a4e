"""Follows the configuration and the registrations in the store.

The store may be down, slow, or refuse only some routers: a failure only delays.
"""

from __future__ import annotations

import asyncio
import random
from functools import partial
from typing import TYPE_CHECKING

import logbook

from carawayfold.coordination.backoff import Backoff
from carawayfold.protocol.sources import HistoryLost, NoAnswer, SourceError
from carawayfold.state.positions import offset_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.sources import Evacuation, Page, Registered, Source
    from carawayfold.state.ids import Position
    from carawayfold.state.routes import RouteTable

logger = logbook.Logger(__name__)

#: Seconds that a read waits for records. With the time after which one that is never
#: answered is given up, less than the time after which a router must be up to date.
READ_WAIT = 1.4
#: Seconds that a read waits of a router that reads for others: they take it for cut off
#: from the store when it has had no answer for a little longer.
WAIT_FOR_OTHERS = 0.8
#: Seconds between two such reads, so that a whole service that registers at once
#: takes a few reads and not one an endpoint.
ENDPOINTS_PAUSE = 0.1
#: Seconds for the answer of a read after one that failed, in turn. It does not wait for
#: records, so that a store which is back is found at once and confirms what is known;
#: the longer time is for one that is slow.
PROBE_PATIENCE = (0.8, 0.4)
#: Seconds before the newest records are read after the history was lost, so that a
#: store that loses it again and again is not called without a pause.
HISTORY_WAIT = 0.05


class Follower:
    """Follows one source of the store for ever.

    Parameters
    ----------
    topic : str
        What it is called in the log.
    source : Source
        What to read.
    knowledge : Knowledge
        Told how the store answers.
    on_newest, on_read : callable
        Take what was listed and what was read on.
    wait : callable
        Returns the seconds that a read waits.
    turn : callable
        Waits until this router should read the store.
    on_answer : callable
        Told of each answer.
    told : callable
        Returns how far peers have told this router, None where they don't.
    pause : float
        Seconds between two reads.
    silent_pause : callable
        Returns the seconds before the next read after one that was never answered.
    """

    def __init__(
        self,
        topic: str,
        source: Source,
        knowledge: Knowledge,
        on_newest: Callable[[Page], None],
        on_read: Callable[[Page], None],
        wait: Callable[[], float],
        turn: Callable[[], Awaitable[None]],
        on_answer: Callable[[], None],
        told: Callable[[], Position | None] = lambda: None,
        pause: float = 0.0,
        silent_pause: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.topic = topic
        self.told = told
        self.turn = turn
        self.on_answer = on_answer
        self.source = source
        self.knowledge = knowledge
        self.on_newest = on_newest
        self.on_read = on_read
        self.wait = wait
        self.pause = pause
        self.silent_pause = silent_pause
        self.next: Position | None = None
        #: Whether the records after `next` are no longer kept.
        self.lost = False
        #: Whether the reads of other routers ended with this one's last.
        self.in_step = True
        #: Loop time at which the last call began.
        self.asked_at = 0.0
        #: Calls that failed since the last answer.
        self.failures = 0
        self.backoff = Backoff()

    async def follow(self) -> None:
        """Read for ever; an outage only delays it."""
        while True:
            try:
                await self.step()
                self.backoff.reset()
                self.failures = 0
            except HistoryLost:
                begun = offset_of(self.next) if self.next is not None else None
                logger.info("history lost", extra={"from": begun})
                self.lost = True
                await asyncio.sleep(HISTORY_WAIT)
            except SourceError as error:
                lasted = self.knowledge.loop.time() - self.asked_at
                self.failures += 1
                self.knowledge.note_failure(error)
                pause = self._next_pause(error, lasted)
                self._log_failure(error, lasted, pause)
                await asyncio.sleep(pause)

    def _next_pause(self, error: SourceError, lasted: float) -> float:
        """Return the seconds before the next call after one that failed."""
        if isinstance(error, NoAnswer):
            return self.silent_pause()
        return max(0.0, self.backoff.next_pause() - lasted)

    def _log_failure(self, error: SourceError, lasted: float, pause: float) -> None:
        extra = {
            "topic": self.topic,
            "lasted_ms": round(lasted * 1000),
            "pause_ms": round(pause * 1000),
            "reason": str(error),
        }
        logger.info("read failed", extra=extra)

    def _start(self) -> Position | None:
        """Return where to read on.

        Also for one that only peers have told so far: a list has no word of what said
        that it leaves and has gone since.
        """
        known = [place for place in (self.next, self.told()) if place is not None]
        return max(known, default=None)

    def _next_wait(self) -> float:
        """Return how long the next read waits, for a random part after news.

        News end the reads of all routers at once. Reads that stayed in step would hang
        together, and no router could tell another what it missed.
        """
        return self.wait() * (random.random() if self.in_step else 1.0)

    async def step(self) -> None:
        """Read once, when others no longer read for this router."""
        if self.next is not None or self.knowledge.complete:
            await self.turn()
        start = None if self.lost else self._start()
        self.asked_at = self.knowledge.loop.time()
        if start is None:
            page = await self.source.newest()
            self.on_answer()
            self.on_newest(page)
        else:
            page = await self._read(start)
            self.on_answer()
            self.on_read(page)
            self.in_step = bool(page.items) or self.failures > 0
        self.lost = False
        self.next = page.next
        if self.pause:
            await asyncio.sleep(self.pause)

    async def _read(self, start: Position) -> Page:
        if not self.failures:
            return await self.source.read(start, self._next_wait())
        patience = PROBE_PATIENCE[self.failures % len(PROBE_PATIENCE)]
        try:
            async with asyncio.timeout(patience):
                return await self.source.read(start, 0.0)
        except TimeoutError:
            raise NoAnswer("no answer in time") from None


def follow_operators(
    source: Source[RouteTable | Evacuation],
    knowledge: Knowledge,
    turn: Callable[[], Awaitable[None]],
    reads_for_others: Callable[[], bool],
    silent_pause: Callable[[], float] = lambda: 0.0,
) -> Follower:
    """Return a follower of the operators' configurations and evacuations."""
    return Follower(
        "operators",
        source,
        knowledge,
        partial(knowledge.take_operators, listed=True),
        knowledge.take_operators,
        lambda: WAIT_FOR_OTHERS if reads_for_others() else READ_WAIT,
        turn,
        knowledge.note_operators,
        silent_pause=silent_pause,
    )


def follow_endpoints(
    source: Source[Registered],
    knowledge: Knowledge,
    turn: Callable[[], Awaitable[None]],
    reads_for_others: Callable[[], bool],
    silent_pause: Callable[[], float] = lambda: 0.0,
) -> Follower:
    """Return a follower of registrations."""
    return Follower(
        "registrations",
        source,
        knowledge,
        knowledge.take_listed,
        knowledge.take_registered,
        lambda: WAIT_FOR_OTHERS if reads_for_others() else READ_WAIT,
        turn,
        knowledge.note_registrations,
        lambda: knowledge.endpoints.offset if knowledge.listed else None,
        ENDPOINTS_PAUSE,
        silent_pause,
    )
