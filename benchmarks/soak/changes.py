"""Changes of the configuration during the soak test of forwarding routers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from benchmarks.hosted import configuration, route
from benchmarks.soak import promises

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from benchmarks.soak.faults import Faults

#: Timeouts of routes by service, in milliseconds; not below `callers.TIME_LIMITS`.
TIMEOUTS = {"model": (4000, 8000, 12000), "desk": (2500, 4000, 8000)}
#: Idle timeouts of callers' connections, in milliseconds.
IDLE_TIMEOUTS = (2000, 4000, 15000)
#: Most weight of a service of a split route.
MAX_WEIGHT = 9
#: Fewest and most changes of a series, and most seconds between two of them.
SERIES_LENGTH = (3, 6)
SERIES_INTERVAL = 0.5
#: Seconds for which a configuration may stay active after a newer one was written.
LAG = promises.CONFIGURATION_BOUND + promises.SLACK


class Configurations:
    """Successive configurations that differ in one respect each.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.

    Attributes
    ----------
    added : list of str
        Routes that were added and not dropped again.
    idle_timeouts : list of tuple of float and int
        Each time at which a configuration was written, and its idle timeout.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.current = configuration()
        self.added: list[str] = []
        limits = self.current["limits"]
        self.idle_timeouts = [(0.0, limits["idle_timeout_ms"])]

    def add_route(self) -> str:
        """Add a route and return its name."""
        name = f"new-{self._next_version()}"
        self.current["routes"].append(route(name, "idempotent", "desk"))
        self.added.append(name)
        return name

    def drop_route(self) -> str:
        """Drop the oldest added route and return its name; empty if there is none."""
        if not self.added:
            return ""
        name = self.added.pop(0)
        routes = self.current["routes"]
        self.current["routes"] = [item for item in routes if item["name"] != name]
        self._next_version()
        return name

    def change(self) -> str:
        """Change one thing at random and return what it was."""
        kinds: list[Callable[[], None]] = [
            self.change_timeout,
            self.change_idle_timeout,
            self.change_split,
            self.change_keys,
        ]
        kind = self.rng.choice(kinds)
        self._next_version()
        kind()
        return kind.__name__

    def change_timeout(self) -> None:
        """Change the timeout of a route."""
        changed = self.rng.choice(self.current["routes"])
        service = changed.get("service") or changed["backends"][0]["service"]
        changed["timeout_ms"] = self.rng.choice(TIMEOUTS[service])

    def change_idle_timeout(self) -> None:
        """Raise or lower the idle timeout of callers' connections."""
        limits = self.current["limits"]
        others = [item for item in IDLE_TIMEOUTS if item != limits["idle_timeout_ms"]]
        limits["idle_timeout_ms"] = self.rng.choice(others)

    def change_split(self) -> None:
        """Split a route, change its weights, or join it again."""
        changed = self.rng.choice(self.current["routes"])
        service = changed.pop("service", "")
        if not service:
            changed["service"] = changed.pop("backends")[0]["service"]
            return
        changed["backends"] = [
            {"service": service, "weight": self.rng.randint(1, MAX_WEIGHT)}
            for _ in range(2)
        ]

    def change_keys(self) -> None:
        """Add a key, or take away one that callers don't use."""
        keys = self.current["tenants"][0]["api_keys"]
        if len(keys) > 1:
            keys.pop()
        else:
            keys.append(f"key-{self.current['version']}")

    def note_written(self, now: float) -> None:
        """Record the idle timeout of the current configuration."""
        self.idle_timeouts.append((now, self.current["limits"]["idle_timeout_ms"]))

    def least_idle_timeout(self, now: float) -> float:
        """Return the least idle timeout, in seconds, that may be active.

        A configuration counts until `LAG` after a newer one was written.
        """
        last = [at for at, _ in self.idle_timeouts if at <= now - LAG][-1]
        return min(item for at, item in self.idle_timeouts if last <= at <= now) / 1000

    def _next_version(self) -> int:
        self.current["version"] += self.rng.randint(1, 5)
        return self.current["version"]


class ConfigurationChanges:
    """Writes changed configurations and checks that routers apply them.

    Parameters
    ----------
    faults : Faults
        Reaches the fleet and records the changes.
    configurations : Configurations
        What is written.
    """

    def __init__(self, faults: Faults, configurations: Configurations) -> None:
        self.faults = faults
        self.fleet = faults.fleet
        self.account = faults.account
        self.rng = faults.rng
        self.configurations = configurations

    async def configure(self) -> None:
        """Change the configuration and check that undisturbed routers apply it."""
        await self._apply(0)

    async def configure_repeatedly(self) -> None:
        """Change the configuration several times in quick succession."""
        await self._apply(self.rng.randint(*SERIES_LENGTH))

    async def _apply(self, others: int) -> None:
        """Make other changes, then drop and add a route and check both."""
        async with self.faults.claimed("configuration") as free:
            if not free:
                return
            for _ in range(others):
                await self._write(self.configurations.change())
                await asyncio.sleep(self.rng.uniform(0, SERIES_INTERVAL))
            dropped = self.configurations.drop_route()
            added = self.configurations.add_route()
            await self._write("routes")
            await asyncio.sleep(promises.CONFIGURATION_BOUND + promises.SLACK)
            for router in sorted(self.fleet.routers):
                await self.check_route(router, added, dropped)

    async def _write(self, what: str) -> None:
        """Write the current configuration."""
        config: dict[str, Any] = self.configurations.current
        self.configurations.note_written(time.time())
        await self.faults.retry_until_done(self.fleet.configure, config)
        self.account.changes.append((time.time(), what))

    async def check_route(self, router: str, added: str, dropped: str) -> None:
        """Check that a router knows a new route and no dropped one.

        Nothing is required of a router that was disturbed.
        """
        callers = self.faults.callers
        in_touch = self.account.disturbances.in_touch(router, time.time())
        status = await callers.probe(router, f"/{added}/x")
        if status == 404 and in_touch:
            self.account.violations.append(f"{router} does not know {added} in time")
        if not dropped:
            return
        in_touch = self.account.disturbances.in_touch(router, time.time())
        status = await callers.probe(router, f"/{dropped}/x")
        if status == 200 and in_touch:
            self.account.violations.append(f"{router} still serves {dropped}")
