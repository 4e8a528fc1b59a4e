"""Routers as processes, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from bed.http import HOST, call

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
#: Variables that the platform passes on.
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
#: Ports for listening sockets, below the ephemeral ones.
FIRST_PORT, LAST_PORT = 20_000, 32_000
#: Ports that were returned by `free_ports`, and may not be in use yet.
returned_ports: set[int] = set()
#: Seconds within which a router must be ready.
START_TIMEOUT = 25.0


class SetupError(Exception):
    """The case could not run."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for connections and datagrams, each only once."""
    found: list[int] = []
    offset = int.from_bytes(os.urandom(4), "big")
    for step in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (offset + step * 7) % (LAST_PORT - FIRST_PORT)
        if port not in returned_ports and _is_free(port):
            returned_ports.add(port)
            found.append(port)
        if len(found) == count:
            return found
    raise SetupError("no free ports")


def _is_free(port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    for kind in kinds:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


@dataclass
class Router:
    """One router; `ports` are those for callers, checks and peers."""

    name: str
    zone: str
    ports: list[int]
    settings: Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> int:
        """Return the port for callers."""
        return self.ports[0]

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


@dataclass
class Routers:
    """Context manager of the routers of a small deployment.

    Attributes
    ----------
    store_port : int
        Port of the store.
    zones : list of str
        Zones, which all are in one region.
    """

    store_port: int
    zones: list[str]
    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-"))
    )
    routers: dict[str, Router] = field(default_factory=dict)

    def __enter__(self) -> Routers:
        return self

    def __exit__(self, *_: object) -> None:
        for router in self.routers.values():
            router.signal(signal.SIGCONT)
            router.kill()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def add(
        self, name: str, zone: str, store_port: int = 0, ports: Sequence[int] = ()
    ) -> Router:
        """Add and start a router, at ports of its own unless some are given."""
        ports = list(ports) or free_ports(3)
        path = self.folder / f"{name}.json5"
        settings = {
            "router": name,
            "data_centre": zone,
            "listen": f"{HOST}:{ports[0]}",
            "ready_listen": f"{HOST}:{ports[1]}",
            "peer_listen": f"{HOST}:{ports[2]}",
            "store": f"{HOST}:{store_port or self.store_port}",
            "regions": dict.fromkeys(self.zones, "region"),
            "core_share": 0.537,
            "core_speed": 2,
            "descriptors": 4100,
            "stop_grace": 8,
            "retry_ratio": 0.2,
            "retry_extra": 52,
            "retry_window": 10,
            "share_window": 4,
            "reuse_connections": True,
            "log_level": "info",
        }
        path.write_text(json.dumps(settings))
        router = self.routers[name] = Router(name, zone, ports, path)
        self.start(router)
        return router

    def start(self, router: Router) -> None:
        """Start the process of a router, also again at the same addresses."""
        if not DEPS.is_dir():
            raise SetupError("the build of the deploy file has not been run")
        passed = {name: os.environ.get(name, "") for name in PASSED_VARIABLES}
        variables = {
            **passed,
            "PYTHONPATH": str(DEPS),
            "CARAWAYFOLD_SETTINGS": str(router.settings),
        }
        command = [sys.executable, "-m", "carawayfold.commands.forwarding"]
        with (self.folder / f"{router.name}.log").open("ab") as log:
            router.popen = subprocess.Popen(
                [*command, str(router.settings)],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, *routers: Router) -> None:
        """Wait until routers answer that they are ready."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT):
                for router in routers or tuple(self.routers.values()):
                    await self._wait_ready(router)
                return
        raise SetupError("a router was not ready in time")

    async def _wait_ready(self, router: Router) -> None:
        while True:
            got = await call(router.ports[1], "GET", "/ready", {"Host": "ready"})
            if got.status == 200:
                return
            if router.popen.poll() is not None:
                raise SetupError(f"{router.name} ended")
            await asyncio.sleep(0.05)
