"""Builders of test data."""

from __future__ import annotations

import asyncio
import random

from benchmarks.deployments import Deployment
from carawayfold.coordination.requests.calls import Call
from carawayfold.coordination.slots.pool import PoolGranter, PoolSpec
from carawayfold.protocol import peer_pb2
from carawayfold.protocol.callers import CallerRequest
from carawayfold.protocol.log_service import LogPage, LogRecord, PlatformError
from carawayfold.protocol.names import NameTable
from carawayfold.state.configuration import (
    Change,
    Endpoint,
    Organisation,
    Service,
    Snapshot,
)
from carawayfold.state.configuration_view import ConfigView
from carawayfold.state.ids import EndpointId, OrganisationId, PoolId, RouterId
from carawayfold.state.ledger import ServiceLedger
from carawayfold.state.queue import Waiter

#: A deployment small enough for a test.
SMALL = Deployment(
    "small",
    ("north", "south"),
    "survey",
    "desk",
    2,
    2,
    1,
    {"alder": 1.0, "birch": 1.0},
)


def pool_spec(slots=2, endpoints=2):
    """Return the specification of a pool of endpoints with equal slots."""
    names = [EndpointId(f"endpoint-{n}") for n in range(endpoints)]
    return PoolSpec(
        PoolId("north/survey/0"), "survey", "north", dict.fromkeys(names, slots)
    )


def granter(spec=None, shares=None, fair=True):
    """Return a granter over a new ledger."""
    shares = shares or {}
    ledger = ServiceLedger(lambda name: shares.get(name, 1.0))
    return PoolGranter(spec or pool_spec(), ledger, fair)


class Holder:
    """A router that holds waiting requests and reports them to a granter."""

    def __init__(self, name, granter):
        self.name = RouterId(name)
        self.granter = granter
        self.names = NameTable()
        self.acknowledged = 0

    def report(self, waiting=None, uses=None, full=False, now=0.0, urgent=()):
        """Report counts of waiting requests and slots in use."""
        frame = peer_pb2.Frame()
        report = frame.reports.add(full=full, acknowledged=self.acknowledged)
        for name, count in (waiting or {}).items():
            number = self.names.number(name, frame)
            report.waiting.add(organisation=number, count=count, urgent=name in urgent)
        for name, count in (uses or {}).items():
            number = self.names.number(name, frame)
            report.uses.add(endpoint=number, in_flight=count, health=100)
        self.names.learn(frame)
        self.granter.report(self.name, report, self.names, 0, now)


def waiter(organisation="alder", urgent=False, since=0.0, avoid=()):
    """Return a waiting request; needs a running loop."""
    future = asyncio.get_running_loop().create_future()
    return Waiter(
        "id",
        OrganisationId(organisation),
        urgent,
        since,
        60.0,
        future,
        frozenset(avoid),
    )


def organisation_change(name, based_on=0, share=1.0, change_id="", remove=False):
    """Return a change that creates, updates or removes an organisation."""
    change_id = change_id or f"{name}-{based_on}-{share}-{random.getrandbits(32)}"
    return Change(change_id, based_on, Organisation(name, share), remove)


class FakeLog:
    """An in-memory stream of the log service with injectable faults."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.down = False
        self.lose_answers = False

    def trim(self, first):
        """Drop the records before `first`."""
        self.first = first

    async def append(self, data):
        """Append a record and return its offset, like the client of the log service."""
        if self.down:
            raise PlatformError("down")
        self.records.append(data)
        if self.lose_answers:
            raise PlatformError("lost")
        return len(self.records) - 1

    async def read(self, start, wait_ms=0):
        """Read like the client of the log service, but never wait."""
        if self.down:
            raise PlatformError("down")
        start = max(start, self.first)
        kept = self.records[start:]
        records = [LogRecord(start + n, data) for n, data in enumerate(kept)]
        return LogPage(self.first, len(self.records), records)


def small_view():
    """Return a view of a configuration with one service at two endpoints."""
    snapshot = Snapshot(entries={}, outcomes={})
    items = [Service("survey")]
    items += [
        Endpoint(f"survey-{n}", "survey", "north", "127.0.0.1", 1) for n in (1, 2)
    ]
    for offset, item in enumerate(items):
        snapshot.apply(offset, Change(str(offset), 0, item))
    return ConfigView(snapshot)


def call():
    """Return a call of a repeatable request."""
    request = CallerRequest("id", "key", "survey", "POST", "/", [], b"")
    return Call(
        request, None, "alder", Service("survey"), 0.0, 60.0, at_most_once=False
    )
