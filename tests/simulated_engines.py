"""Engines on a simulated clock that may end, and what each router knows of them."""

from __future__ import annotations

import asyncio
import random

from carawayfold.state.endpoints import EndpointTable
from tests.schedule_builders import endpoint

#: Tokens a second that an engine reads.
ENGINE_SPEED = 15_700.0
SLOTS = 3
#: Seconds from the last token read to the first one generated.
INITIAL_FIRST_TOKEN_DELAY = 0.026
#: Seconds from a router's attempt until it knows that an engine has ended, by whether
#: the engine had the request already.
BROKEN_IN, REFUSED_IN = 0.05, 0.02


class Engine:
    """Reads one prompt after the other, then generates beside what else runs."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.read_until = 0.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.kept = set()
        self.ended = self.loop.create_future()

    def begin_reading(self, prompt):
        """Return the seconds until its first token."""
        unread = sum(part.tokens for part in prompt if part.id not in self.kept)
        self.kept.update(part.id for part in prompt[:-1])
        now = self.loop.time()
        self.read_until = max(now, self.read_until) + unread / ENGINE_SPEED
        return self.read_until - now + INITIAL_FIRST_TOKEN_DELAY

    def end(self):
        """Let all that runs here fail, and all that comes."""
        if not self.ended.done():
            self.ended.set_result(None)

    async def stays(self, seconds):
        """Return whether it is still there after some seconds, or at once if not."""
        await asyncio.wait([self.ended], timeout=seconds)
        return not self.ended.done()


class Registrations:
    """Which engines there are, and which of them each router knows of.

    Parameters
    ----------
    count : int
        Engines at the beginning, named e-0, e-1, ...
    relist : callable
        Called with a router and its table once that has changed.
    """

    def __init__(self, count, relist, seed):
        self.relist = relist
        self.draw = random.Random(seed)
        self.made = 0
        self.engines = {}
        self.listed = EndpointTable()
        self.tables = {}
        self.add(count)

    def add(self, count, least=0.0, most=0.0):
        """Start engines, registered after a while by each router's own delay."""
        added = []
        for number in range(self.made, self.made + count):
            place = f"dc-{number % 4}"
            added.append(endpoint(f"e-{number}", slots=SLOTS, data_centre=place))
        self.made += count
        for item in added:
            self.engines[item.id] = Engine()
            self.listed.put(item)
        self._tell(lambda table: [table.put(item) for item in added], least, most)

    def end(self, endpoints, least, most):
        """End engines, whose entries vanish by each router's own delay."""
        names = [item.name for item in endpoints]
        for item in endpoints:
            self.engines[item.id].end()
        self.hide(names, least, most)

    def hide(self, names, least, most):
        """Take entries away, by each router's own delay."""
        for name in names:
            self.listed.remove(name, 0.0)
        self._tell(
            lambda table: [table.remove(name, 0.0) for name in names], least, most
        )

    def show(self, endpoints, least, most):
        """Enter engines again, by each router's own delay."""
        for item in endpoints:
            self.listed.put(item)
        self._tell(lambda table: [table.put(item) for item in endpoints], least, most)

    def some(self, part):
        """Return a part of those that are registered, drawn."""
        entries = [self.listed.entries[name] for name in sorted(self.listed.entries)]
        return self.draw.sample(entries, round(part * len(entries)))

    def table_of(self, router):
        """Return what a router that starts now knows."""
        table = self.tables[router] = EndpointTable()
        for item in self.listed.entries.values():
            table.put(item)
        return table

    def _tell(self, change, least, most):
        loop = asyncio.get_running_loop()
        for router, table in sorted(self.tables.items()):
            delay = self.draw.uniform(least, most)
            loop.call_later(delay, self._apply, router, table, change)

    def _apply(self, router, table, change):
        change(table)
        if self.tables.get(router) is table:
            self.relist(router, table)
