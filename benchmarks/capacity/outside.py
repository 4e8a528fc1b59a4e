"""Slopes measured on fleets of real processes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from benchmarks.capacity.inside import build_snapshot, name_of
from benchmarks.capacity.slopes import Slope
from benchmarks.client import send
from benchmarks.fleet import Fleet, key_of, organisation_objects, spread
from benchmarks.load import offer
from benchmarks.processes import Processes
from carawayfold.coordination.knowledge.configuration import pack
from carawayfold.state.configuration import (
    Brand,
    Change,
    Checkpoint,
    Endpoint,
    Service,
    record_encoder,
)

if TYPE_CHECKING:
    from carawayfold.state.configuration import ConfigObject

ROUTERS = [2, 4, 8, 16, 24]
RATES = [10.0, 20.0, 40.0]
TOKENS = [50, 100, 200]
TOKEN_RATE = 18.0
COLD = [130, 1300, 13000]
SECONDS = 6.0
STEP = 0.02
SLOTS = 200
#: Bytes of each record of a checkpoint.
PART = 256 * 1024


@dataclass
class Usage:
    """Mean usage of the routers."""

    cpu: float
    control_bytes: float
    memory: float


async def usage(fleet: Fleet, work: object = None) -> Usage:
    """Return the mean usage of the routers while `work` runs, or for `SECONDS`."""
    routers = fleet.routers
    cpu = [router.process.cpu_seconds() for router in routers]
    sent = [(await fleet.status(router)).control_bytes_sent for router in routers]
    start = time.monotonic()
    await (work or asyncio.sleep(SECONDS))
    elapsed = time.monotonic() - start
    used = [
        router.process.cpu_seconds() - before
        for router, before in zip(routers, cpu, strict=True)
    ]
    more = [
        (await fleet.status(router)).control_bytes_sent - before
        for router, before in zip(routers, sent, strict=True)
    ]
    memory = max(router.process.resident_bytes() for router in routers)
    count = len(routers)
    return Usage(sum(used) / elapsed / count, sum(more) / elapsed / count, memory)


async def start_routers(fleet: Fleet, count: int) -> None:
    """Start the platform and `count` linked routers."""
    fleet.start_platform()
    await fleet.start_routers(spread(count, ("place",)))
    await fleet.wait_ready()


async def propagation(fleet: Fleet) -> float:
    """Return the seconds from a change until it is in force at all routers."""
    worst = 0.0
    for number in range(5):
        start = time.monotonic()
        reply = await fleet.put(Brand(f"brand-{number}"))
        await asyncio.gather(
            *(in_force(fleet, router, reply.revision) for router in fleet.routers)
        )
        worst = max(worst, time.monotonic() - start)
    return worst


async def in_force(fleet: Fleet, router: object, revision: int) -> None:
    """Wait until `router` has the revision."""
    while (await fleet.status(router)).revision < revision:
        await asyncio.sleep(0.005)


async def idle_fleets() -> list[Slope]:
    """Measure idle fleets: heartbeats, memory and the spread of changes."""
    cpu, sent, memory, spread = [], [], [], []
    for count in ROUTERS:
        with Processes() as processes:
            fleet = Fleet(processes, {"log_level": "warning"})
            await start_routers(fleet, count)
            spread.append(1000 * await propagation(fleet))
            used = await usage(fleet)
        cpu.append(100 * used.cpu)
        sent.append(used.control_bytes)
        memory.append(used.memory)
    peers = [count - 1.0 for count in ROUTERS]
    return [
        Slope("exchange: heartbeats, processor", "peers", "% of a core", peers, cpu),
        Slope("exchange: heartbeats, sent", "peers", "bytes/s", peers, sent),
        Slope("membership: resident memory", "peers", "bytes", peers, memory),
        Slope("configuration: in force everywhere", "peers", "ms", peers, spread),
    ]


async def start_loaded(fleet: Fleet) -> None:
    """Start two routers and two engines in one data centre."""
    await start_routers(fleet, 2)
    items: list[ConfigObject] = [Service("survey"), *organisation_objects({"alder": 1})]
    for number in range(2):
        name = f"engine-{number}"
        port = fleet.start_engine(name, SLOTS, STEP).port
        items.append(Endpoint(name, "survey", "place", "127.0.0.1", port, SLOTS))
    await fleet.put_all(items)
    await fleet.wait_revision()


async def loaded(
    rate: float, tokens: int, scheduling: str, seconds: float = SECONDS
) -> tuple[Usage, Usage]:
    """Return the idle and loaded usage of two routers at `rate` requests/s each."""
    with Processes() as processes:
        overrides = {"log_level": "warning", "scheduling": scheduling}
        fleet = Fleet(processes, overrides)
        await start_loaded(fleet)
        ports = [router.port for router in fleet.routers]
        key = key_of("alder")
        idle = await usage(fleet)
        load = offer(ports, key, "survey", 2 * rate, tokens, seconds, 1)
        return idle, await usage(fleet, load)


async def request_slopes() -> list[Slope]:
    """Measure requests of one token, with and without the exchange of grants."""
    granted, alone, sent = [], [], []
    for rate in RATES:
        idle, used = await loaded(rate, 1, "granted")
        granted.append(100 * (used.cpu - idle.cpu))
        sent.append(used.control_bytes - idle.control_bytes)
        idle, used = await loaded(rate, 1, "alone")
        alone.append(100 * (used.cpu - idle.cpu))
    control = [max(0.0, g - a) for g, a in zip(granted, alone, strict=True)]
    driver = "requests/s of a node"
    unit = "% of a core"
    return [
        Slope("caller edge: requests", driver, unit, RATES, alone),
        Slope("scheduling: grants, processor", driver, unit, RATES, control),
        Slope("scheduling: grants, sent", driver, "bytes/s", RATES, sent),
    ]


async def token_slopes() -> list[Slope]:
    """Measure streams: processor time per token and memory per stream."""
    cpu, memory, streams, rates = [], [], [], []
    for tokens in TOKENS:
        _, used = await loaded(TOKEN_RATE, tokens, "granted", 8.0)
        elapsed = 8.0 + tokens * STEP
        rates.append(TOKEN_RATE * tokens * 8.0 / elapsed)
        cpu.append(100 * used.cpu)
        memory.append(used.memory)
        streams.append(TOKEN_RATE * tokens * STEP)
    return [
        Slope("caller edge: tokens", "tokens/s", "% of a core", rates, cpu),
        Slope("caller edge: memory", "open streams", "bytes", streams, memory),
    ]


async def cold_start() -> list[Slope]:
    """Measure the start of a router: time until ready, and bytes read."""
    times, sizes = [], []
    for count in COLD:
        with Processes() as processes:
            fleet = Fleet(processes, {"log_level": "warning"})
            fleet.start_platform()
            size = await fill_log(fleet.log.port, count)
            start = time.monotonic()
            router = await fleet.start_router("router-1", "place")
            while (await send(router.port, "GET", "/readyz", {})).status != 200:
                await asyncio.sleep(0.01)
            times.append(time.monotonic() - start)
            sizes.append(float(size))
    driver = "organisations"
    return [
        Slope("configuration: empty router ready", driver, "s", COLD, times),
        Slope("configuration: read by an empty router", driver, "bytes", COLD, sizes),
    ]


async def fill_log(port: int, count: int) -> int:
    """Append a checkpoint of `count` organisations and a change to the log."""
    snapshot = build_snapshot(count)
    snapshot.through = 0
    packed = pack(snapshot)
    pieces = [packed[start : start + PART] for start in range(0, len(packed), PART)]
    first = Change("first", 0, Brand(name_of(0)))
    records: list[Change | Checkpoint] = [first]
    records += [Checkpoint(0, n, len(pieces), piece) for n, piece in enumerate(pieces)]
    size = 0
    for record in records:
        data = record_encoder.encode(record)
        size += len(data)
        await send(port, "POST", "/streams/configuration/records", {}, data)
    # The first record is dropped, as after its retention; the checkpoint replaces it.
    faults = b'{"keep": %d}' % len(pieces)
    await send(port, "POST", "/faults", {}, faults)
    return size


async def measure() -> list[Slope]:
    """Return all slopes that are measured on real processes."""
    return [
        *await idle_fleets(),
        *await request_slopes(),
        *await token_slopes(),
        *await cold_start(),
    ]
