"""Slopes measured within one process: memory and processor time of the state."""

from __future__ import annotations

import gc
import hashlib
import time
import tracemalloc
from typing import TYPE_CHECKING

from benchmarks.capacity.slopes import Slope
from benchmarks.fleet import key_of
from carawayfold import settings
from carawayfold.coordination.knowledge.configuration import pack, unpack
from carawayfold.coordination.slots.pool import PoolGranter, PoolSpec
from carawayfold.coordination.slots.pools import build_pools
from carawayfold.protocol import peer_pb2
from carawayfold.protocol.names import NameTable
from carawayfold.state.claims import Batch, ClaimRecord, ClaimTable, batch_encoder
from carawayfold.state.configuration import (
    ApiKey,
    Change,
    Endpoint,
    Organisation,
    Service,
    Snapshot,
    record_encoder,
)
from carawayfold.state.configuration_view import ConfigView, hash_key
from carawayfold.state.ids import EndpointId, OrganisationId, PoolId, RouterId
from carawayfold.state.ledger import ServiceLedger
from carawayfold.state.metrics import Metrics
from carawayfold.state.service_rows import LocalRows, RowCursor

if TYPE_CHECKING:
    from collections.abc import Callable

ORGANISATIONS = [16, 130, 1300, 13000]
KEYS = [1000, 10000, 100000]
ACTIVE = [8, 16, 32, 64]
ENDPOINTS = [9, 61, 610]


def bytes_of(build: Callable[[], object]) -> tuple[float, object]:
    """Return the bytes that remain allocated after `build`, and its result."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(after - before), built


def seconds_of(run: Callable[[], object], rounds: int = 5) -> float:
    """Return the minimum processor seconds of `run` over some rounds."""
    times = []
    for _ in range(rounds):
        start = time.process_time()
        run()
        times.append(time.process_time() - start)
    return min(times)


def name_of(number: int) -> OrganisationId:
    """Return the name of an organisation."""
    return OrganisationId(f"organisation-{number:05}")


def build_snapshot(count: int) -> Snapshot:
    """Return a configuration of `count` organisations with a key each."""
    snapshot = Snapshot(entries={}, outcomes={})
    offset = 0
    for number in range(count):
        name = name_of(number)
        key = ApiKey(hash_key(key_of(name)), name)
        for item in (Organisation(name, 1.0), key):
            offset += 1
            snapshot.apply(offset, Change(f"change-{offset}", 0, item))
    snapshot.through = offset
    return snapshot


def configuration_slopes() -> list[Slope]:
    """Measure memory, copies and updates of the configuration."""
    memory, packed, ready, refresh = [], [], [], []
    for count in ORGANISATIONS:
        size, snapshot = bytes_of(lambda count=count: build_snapshot(count))
        memory.append(size)
        copy = pack(snapshot)
        packed.append(float(len(copy)))
        ready.append(1000 * seconds_of(lambda copy=copy: unpack(copy)))
        view = ConfigView(snapshot)
        refresh.append(1000 * seconds_of(view.refresh))
    change = record_encoder.encode(Change("x" * 32, 1, Organisation(name_of(1), 1.0)))
    print(f"a change on the log: {len(change)} bytes")
    driver = "organisations"
    return [
        Slope("configuration: memory", driver, "bytes", ORGANISATIONS, memory),
        Slope("configuration: packed copy", driver, "bytes", ORGANISATIONS, packed),
        Slope("configuration: unpacking a copy", driver, "ms", ORGANISATIONS, ready),
        Slope("configuration: taking a change", driver, "ms", ORGANISATIONS, refresh),
    ]


def build_granter(organisations: int, slots: int) -> tuple[PoolGranter, NameTable]:
    """Return a granter with free slots, and the names of one holder."""
    names = NameTable()
    endpoints = {EndpointId(f"endpoint-{n}"): slots for n in range(8)}
    spec = PoolSpec(PoolId("place/model/0"), "model", "place", endpoints)
    granter = PoolGranter(spec, ServiceLedger(lambda _: 1.0))
    frame = peer_pb2.Frame()
    report = frame.reports.add(full=True)
    for number in range(organisations):
        index = names.number(name_of(number), frame)
        report.waiting.add(organisation=index, count=100, age_ms=number)
    names.learn(frame)
    granter.report(RouterId("router"), report, names, 0, 0.0)
    return granter, names


def scheduling_slopes() -> list[Slope]:
    """Measure rounds of grants and the state of a granter, by the backlog."""
    rounds, memory = [], []
    for count in ORGANISATIONS:
        size, _ = bytes_of(lambda count=count: build_granter(count, 1))
        memory.append(size)
        granter, _ = build_granter(count, 10**6)
        granter.spec.slots.clear()
        granter.spec.slots[EndpointId("endpoint-0")] = 1
        times = []
        for slots in range(1, 20):
            granter.spec.slots[EndpointId("endpoint-0")] = slots
            times.append(seconds_of(granter.decide, rounds=1))
        rounds.append(1e6 * sorted(times)[len(times) // 2])
    driver = "backlogged organisations"
    return [
        Slope("scheduling: a round of one grant", driver, "µs", ORGANISATIONS, rounds),
        Slope("scheduling: granter memory", driver, "bytes", ORGANISATIONS, memory),
    ]


def row_slopes() -> list[Slope]:
    """Measure frames and memory of service rows."""
    from carawayfold.coordination.slots.service_accounts import ServiceAccounts

    first, later, memory, heard, tidy = [], [], [], [], []
    for count in ORGANISATIONS:
        rows = LocalRows(lambda: 0.0)
        book = ServiceAccounts(RouterId("router"), rows, lambda _: 1.0)

        def change(count: int = count, rows: LocalRows = rows) -> None:
            for number in range(count):
                rows.change("model", name_of(number), 1, 12345.0, 1)

        def fill(book: ServiceAccounts = book, change: Callable = change) -> None:
            change()
            book.enter_own()

        memory.append(bytes_of(fill)[0])
        names, cursor = NameTable(), RowCursor()
        for sizes in (first, later):
            change()
            frame = peer_pb2.Frame()
            book.write(frame, names, cursor)
            sizes.append(float(frame.ByteSize()))
        peer = ServiceAccounts(RouterId("other"), LocalRows(lambda: 0.0), lambda _: 1.0)
        names, cursor = NameTable(), RowCursor()
        frame = peer_pb2.Frame()
        book.write(frame, names, cursor)
        names.learn(frame)
        peer.read(RouterId("first"), frame.rows[0], names, True)

        def hear(
            peer: ServiceAccounts = peer,
            frame: peer_pb2.Frame = frame,
            names: NameTable = names,
        ) -> None:
            peer.read(RouterId("second"), frame.rows[0], names, True)

        heard.append(bytes_of(hear)[0])
        tidy.append(1e6 * seconds_of(lambda book=book: book.tidy({"router"})))
    driver = "organisations with changes"
    return [
        Slope("exchange: first rows of a link", driver, "bytes", ORGANISATIONS, first),
        Slope("exchange: changed rows", driver, "bytes", ORGANISATIONS, later),
        Slope("exchange: memory of own rows", driver, "bytes", ORGANISATIONS, memory),
        Slope("exchange: memory of peers' rows", driver, "bytes", ORGANISATIONS, heard),
        Slope("exchange: tidying at a heartbeat", driver, "µs", ORGANISATIONS, tidy),
    ]


def claim_slopes() -> list[Slope]:
    """Measure memory, log records and processor time of claims."""
    memory, encoded, apply = [], [], []
    for count in KEYS:
        batches = [
            Batch("router-1", 1, [claim(start + n) for n in range(10)], [])
            for start in range(0, count, 10)
        ]
        book = ClaimTable(1e9)

        def take(book: ClaimTable = book, batches: list[Batch] = batches) -> None:
            for batch in batches:
                for _ in book.apply(batch, 0.0):
                    pass

        start = time.process_time()
        memory.append(bytes_of(take)[0])
        del start
        book = ClaimTable(1e9)
        apply.append(1e6 * seconds_of(lambda book=book: take(book), rounds=1))
        encoded.append(float(sum(len(batch_encoder.encode(b)) for b in batches)))
    return [
        Slope("claims: memory", "keys remembered", "bytes", KEYS, memory),
        Slope("claims: log, in batches of ten", "claims", "bytes", KEYS, encoded),
        Slope("claims: taking", "claims", "µs", KEYS, apply),
    ]


def claim(number: int) -> ClaimRecord:
    """Return a claim."""
    digest = hashlib.blake2b(str(number).encode(), digest_size=16).digest()
    return ClaimRecord(digest, number, digest[:8])


def endpoint_slopes() -> list[Slope]:
    """Measure pools by the number of endpoints."""
    memory, build = [], []
    values = {
        "router": "router",
        "data_centre": "place-0",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "fleet_secret": "0123456789abcdef",
        "log": "127.0.0.1:0",
        "instances": "127.0.0.1:0",
    }
    checked = settings.check(values, "capacity").ok
    for count in ENDPOINTS:
        snapshot = Snapshot(entries={}, outcomes={})
        for number in range(10):
            snapshot.apply(number, Change(f"s{number}", 0, Service(f"s-{number}")))
        for number in range(count):
            place = f"place-{number % 11}"
            name = f"endpoint-{number}"
            item = Endpoint(name, f"s-{number % 10}", place, "127.0.0.1", 1, 160)
            snapshot.apply(10 + number, Change(name, 0, item))

        def build_all(snapshot: Snapshot = snapshot) -> list[PoolGranter]:
            pools = build_pools(snapshot, set(), checked)
            return [PoolGranter(pool, ServiceLedger(lambda _: 1.0)) for pool in pools]

        memory.append(bytes_of(build_all)[0])
        build.append(1000 * seconds_of(build_all))
    driver = "endpoints"
    return [
        Slope("endpoints: memory of pools", driver, "bytes", ENDPOINTS, memory),
        Slope("endpoints: forming pools anew", driver, "ms", ENDPOINTS, build),
    ]


def metric_slopes() -> list[Slope]:
    """Measure the histograms of active organisations."""

    def build(count: int) -> Metrics:
        metrics = Metrics()
        for number in range(count):
            entry = metrics.of(name_of(number))
            entry.wait.record_value(5)
            entry.first.record_value(50)
        return metrics

    memory = [bytes_of(lambda count=count: build(count))[0] for count in ACTIVE]
    driver = "organisations with histograms"
    return [Slope("metrics: memory", driver, "bytes", ACTIVE, memory)]


def measure() -> list[Slope]:
    """Return all slopes that are measured within one process."""
    return [
        *configuration_slopes(),
        *scheduling_slopes(),
        *row_slopes(),
        *claim_slopes(),
        *endpoint_slopes(),
        *metric_slopes(),
    ]
