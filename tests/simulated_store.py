"""A simulated store, with faults for each router that calls it."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from carawayfold.platform import store as platform_store
from carawayfold.protocol.sources import (
    EndpointChange,
    Evacuation,
    Page,
    RecordsNotRetained,
    SourceError,
    SourceTimeout,
)
from carawayfold.state.positions import era_of, offset_of, position
from carawayfold.state.routes import CallerLimits, KeyPolicy, RouteTable

#: Seconds until the store answers.
STORE_DELAY = 0.004
#: The same while the store is slow.
SLOW_DELAY = 0.2


class Access(Enum):
    """How the store responds to a router."""

    SERVED = "served"
    REFUSED = "refused"
    SWALLOWED = "swallowed"
    SLOW = "slow"


@dataclass
class SimulatedStore:
    """A store with a topic of registrations and a topic of operators' records.

    Attributes
    ----------
    access : dict
        How the store responds to each router.
    operators_access : dict
        The same for calls to the operators' topic, if it differs.
    silenced : dict
        Loop time from which the connections of a router that were open then get no
        more answers.
    idle : dict
        Loop times at which each router's idle connections were opened; its client
        takes the last of the list first.
    """

    access: dict[str, Access] = field(default_factory=dict)
    operators_access: dict[str, Access] = field(default_factory=dict)
    records: list[EndpointChange] = field(default_factory=list)
    tables: list[RouteTable] = field(default_factory=list)
    calls: Counter = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    era: int = 0
    silenced: dict[str, float] = field(default_factory=dict)
    idle: dict[str, list[float]] = field(default_factory=dict)

    def write(self, item):
        self.records.append(item)
        self._notify_readers()

    def configure(self, version):
        table = RouteTable(
            version,
            (),
            {},
            {},
            {},
            CallerLimits(),
            0.0,
            key_policy=KeyPolicy.NOT_REQUIRED,
        )
        self.tables.append(table)
        self._notify_readers()

    def evacuate(self, data_centre):
        self.tables.append(Evacuation(data_centre, True))
        self._notify_readers()

    def newest_words(self):
        """Return the last configuration and the last evacuation of each data centre."""
        last = {getattr(item, "data_centre", None): item for item in self.tables}
        return list(last.values())

    def _notify_readers(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def come_back(self, lost):
        """Restore the store from a copy that lacks the last `lost` registrations."""
        del self.records[-lost:]
        self.era += 1
        self._notify_readers()

    def place(self, records):
        """Return the position after all records."""
        return position(self.era, len(records))

    def newest(self):
        by_name = {item.name: item for item in self.records}
        return [item for item in by_name.values() if item.endpoint is not None]

    def access_of(self, router, records):
        """Return how the store responds to a router's calls to a topic."""
        access = self.access.get(router, Access.SERVED)
        if records is self.tables:
            return self.operators_access.get(router, access)
        return access

    async def admit(self, router, records, timeout):
        """Delay a call of a router as the store does, or fail it."""
        self.calls[router] += 1
        access = self.access_of(router, records)
        if access is Access.SWALLOWED:
            await asyncio.sleep(timeout)
            raise SourceTimeout("no answer in time")
        await asyncio.sleep(SLOW_DELAY if access is Access.SLOW else STORE_DELAY)
        if access is Access.REFUSED:
            raise SourceError("status 503")


@dataclass
class SimulatedSource:
    """One router's access to a topic of the store."""

    store: SimulatedStore
    router: str
    records: list
    newest_of: object

    def _access(self):
        return self.store.access_of(self.router, self.records)

    async def newest(self):
        return await self._on_connection(self._newest(), platform_store.TIMEOUT)

    async def _newest(self):
        await self.store.admit(self.router, self.records, platform_store.TIMEOUT)
        return Page(self.newest_of(), self.store.place(self.records))

    async def read(self, start, wait):
        timeout = wait + platform_store.READ_TIMEOUT_MARGIN
        return await self._on_connection(self._read(start, wait, timeout), timeout)

    async def _on_connection(self, work, timeout):
        """Return the answer, or time out if the connection gets none."""
        loop = asyncio.get_running_loop()
        idle = self.store.idle.setdefault(self.router, [])
        opened = idle.pop() if idle else loop.time()
        begun = loop.time()
        if opened > self._silenced():
            try:
                answer = await work
            except SourceTimeout:
                self._drop_idle()
                raise
            if opened > self._silenced():
                idle.append(opened)
                return answer
        else:
            work.close()
        await asyncio.sleep(begun + timeout - loop.time())
        self._drop_idle()
        raise SourceTimeout("no answer in time")

    def _silenced(self):
        return self.store.silenced.get(self.router, float("-inf"))

    def _drop_idle(self):
        """Drop the idle connections, as the client does after a time-out."""
        self.store.idle[self.router].clear()

    async def _read(self, start, wait, timeout):
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        await self.store.admit(self.router, self.records, timeout)
        until = loop.time() + wait
        while start == self.store.place(self.records) and loop.time() < until:
            changed = self.store.changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                break
            if self._access() is not Access.SERVED:
                break
        await self._fail_if_cut_off(end)
        if era_of(start) != self.store.era or offset_of(start) > len(self.records):
            raise RecordsNotRetained("the store came back from a copy")
        read = self.records[offset_of(start) :]
        return Page(read, self.store.place(self.records))

    async def _fail_if_cut_off(self, end):
        """Fail a waiting read if its router has lost access meanwhile."""
        access = self._access()
        if access is Access.SWALLOWED:
            await asyncio.sleep(end - asyncio.get_running_loop().time())
            raise SourceTimeout("no answer in time")
        if access is Access.REFUSED:
            raise SourceError("the connection was reset")
