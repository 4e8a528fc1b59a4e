"""Soak test of forwarding routers, with stand-ins for the platform.

Routers, endpoints and the store are separate processes. Connections to the store and
to the endpoints go through proxies that delay them, reset them or drop their data, and
datagrams between routers go through a relay that drops them. Routers are stopped,
paused, killed and restarted, and endpoints of another software version join. A planned
run has only what leaves routers and most endpoints sound, so that most of its requests
must be answered: silent endpoints, changes of the configuration, signals, and faults of
the store.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

from benchmarks.hosted import HostedFleet
from benchmarks.processes import Processes
from benchmarks.soak import outcomes, promises
from benchmarks.soak.callers import Account, Callers
from benchmarks.soak.changes import ConfigurationChanges, Configurations
from benchmarks.soak.faults import RECOVERY, VERSIONS, Faults
from benchmarks.soak.harm import HarmfulCallers
from benchmarks.soak.isolation import Isolation
from benchmarks.soak.misbehaviour import Misbehaviour
from benchmarks.soak.releases import Releases
from benchmarks.soak.signals import Signals
from benchmarks.soak.store_faults import StoreFaults
from carawayfold.coordination.requests.stream_origins import REFRESH_INTERVAL
from carawayfold.state.route_history import RouteHistory

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Default number of routers, model endpoints and application endpoints.
ROUTERS = 4
MODELS = 3
DESKS = 3
CALLERS = 12
#: Number of contents that crash the endpoints that run them.
HARMFUL_CONTENTS = 2
#: Number of parts of prompts that crash endpoints before the first event.
HARMFUL_PARTS = 1
#: Retries per request, extra retries and window in seconds, as in the settings.
BUDGET = (0.2, 10.0, 10.0)


async def soak(
    seconds: float,
    seed: int,
    routers: int = ROUTERS,
    planned: bool = False,
    without: frozenset[str] = frozenset(),
    settled: bool = False,
) -> Account:
    """Run the soak test and return its records, with the violations found.

    Parameters
    ----------
    seconds : float
        Duration of the faults.
    seed : int
        Seed of all random choices.
    routers : int
        Number of routers.
    planned : bool
        Whether only planned work, silence and faults of the store occur.
    without : frozenset of str
        Names of faults and changes that are left out.
    settled : bool
        Whether one version serves except during releases, and faults begin only once
        the routers are certain of it.
    """
    with Processes() as processes:
        fleet = HostedFleet(processes)
        rng = random.Random(seed)
        configurations = Configurations(rng)
        fleet.configure(configurations.current)
        account = Account()
        callers = Callers(fleet, rng, account, configurations)
        software = VERSIONS[0] if settled else ""
        faults = Faults(fleet, rng, account, callers, software)
        harmful = HarmfulCallers(faults, rng, account)
        await start(fleet, faults, routers)
        began_at = time.time()
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(callers.caller())
            if not planned:
                start_harmful(harmful, group)
            if settled:
                await asyncio.sleep(RouteHistory().window + REFRESH_INTERVAL)
            played = kinds(faults, configurations, planned)
            await faults.inject(
                seconds, [kind for kind in played if kind.__name__ not in without]
            )
            await asyncio.sleep(RECOVERY)
            callers.stopped = harmful.stopped = True
        for name in list(fleet.endpoints):
            await faults.collect(name)
        harmful.record_crashes()
        check(account)
        keep_outcomes(account, began_at, folder_of(seed, planned))
        if account.violations:
            keep_logs(fleet, folder_of(seed, planned))
        return account


def start_harmful(harmful: HarmfulCallers, group: asyncio.TaskGroup) -> None:
    """Start the callers of harmful requests, and replacement of crashed endpoints."""
    for content in range(HARMFUL_CONTENTS):
        group.create_task(harmful.repeat(content))
    for part in range(HARMFUL_PARTS):
        group.create_task(harmful.repeat_part(part))
    group.create_task(harmful.replace_ended())


def kinds(
    faults: Faults, configurations: Configurations, planned: bool
) -> list[Callable[[], Awaitable[None]]]:
    """Return the faults and changes of a run.

    Silence is twice as frequent in a planned run, which has fewer other faults.
    """
    changes = ConfigurationChanges(faults, configurations)
    misbehaviour = Misbehaviour(faults)
    signals = Signals(faults)
    isolation = Isolation(faults)
    silences = [
        misbehaviour.silence_one,
        misbehaviour.silence_several,
        misbehaviour.silence_all,
    ]
    return [
        *(silences if planned else [*faults.unplanned, *isolation.kinds]),
        *([] if planned else Releases(faults, isolation).kinds),
        *silences,
        *StoreFaults(faults).kinds,
        faults.replace_endpoint,
        changes.configure,
        changes.configure_repeatedly,
        misbehaviour.send_without_end,
        signals.reload,
        signals.stop,
        signals.reload_while_stopping,
        signals.stop_repeatedly,
    ]


async def start(fleet: HostedFleet, faults: Faults, routers: int) -> None:
    """Start endpoints and routers, and wait until the routers are ready."""
    fleet.start_relay()
    for service, count in (("model", MODELS), ("desk", DESKS)):
        for _ in range(count):
            await faults.start_endpoint(service)
    for number in range(routers):
        fleet.start_router(f"router-{number}", behind_proxy=True)
    for name in fleet.routers:
        await fleet.wait_ready(name)


def check(account: Account) -> None:
    """Check the records of callers and endpoints against all guarantees."""
    caller_records, arrivals, disturbances = (
        account.caller_records,
        account.arrivals,
        account.disturbances,
    )
    found = account.violations
    found += promises.find_double_runs(caller_records, arrivals)
    found += promises.find_false_refusals(caller_records, arrivals)
    found += promises.find_wrong_answers(caller_records, arrivals)
    found += promises.find_denials(caller_records)
    found += promises.find_late_arrivals(arrivals, account.left, disturbances)
    found += promises.find_work_without_caller(caller_records, arrivals, disturbances)
    found += promises.find_repeated_crashes(account.crash_records, disturbances)
    found += promises.find_broken_answers(caller_records, arrivals, account.unsound)
    found += promises.find_overspent(caller_records, arrivals, *BUDGET)


def folder_of(seed: int, planned: bool) -> Path:
    """Return the folder for what a run leaves, and create it."""
    folder = Path("build") / f"soak-{'planned-' if planned else ''}{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def keep_outcomes(account: Account, start: float, folder: Path) -> None:
    """Save what became of the requests, and when."""
    records = account.caller_records
    lines = outcomes.count_outcomes(records)
    lines += outcomes.list_seconds(records, account.changes, start)
    (folder / "outcomes.txt").write_text("\n".join([*lines, ""]))


def keep_logs(fleet: HostedFleet, folder: Path) -> None:
    """Save the logs of a run that found violations."""
    for path in fleet.processes.folder.glob("router-*.out"):
        (folder / path.name).write_bytes(path.read_bytes())
    print(json.dumps({"logs": str(folder)}))
