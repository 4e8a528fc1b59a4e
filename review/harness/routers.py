"""Starts routers as the deploy file says, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, Self

#: Root of the checkout.
ROOT = Path(__file__).resolve().parents[2]
#: Seconds within which a router has to become ready.
START_TIMEOUT = 20.0
#: Range of ports that are used.
PORTS = (20_000, 32_000)
#: Ports that `free_port` has returned.
returned_ports: set[int] = set()


class CannotRunError(Exception):
    """The case can't run here; says nothing about the rule."""


def free_port() -> int:
    """Return a free loopback port that was not returned before.

    It is below the ephemeral ports, of which an outgoing connection could take one
    before the process that is to listen on it has started.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in returned_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            returned_ports.add(port)
            return port


def run_command() -> list[str]:
    """Return the words of the deploy file that start a router, but the settings."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["router"]["run"].split()[:-1]


class Routers:
    """Context manager that owns the router processes and their temporary folder.

    Attributes
    ----------
    fronts, checks : dict of int
        Port for clients and for readiness checks of each router.
    """

    def __init__(self, store_port: int) -> None:
        self.store_port = store_port
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: dict[str, int] = {}
        self.checks: dict[str, int] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name: str, zone: str, **other: Any) -> None:
        """Write the settings of a router and start it."""
        front, check, peer = (free_port() for _ in range(3))
        self.fronts[name], self.checks[name] = front, check
        settings = {
            "router": name,
            "data_centre": zone,
            "listen": f"127.0.0.1:{front}",
            "ready_listen": f"127.0.0.1:{check}",
            "peer_listen": f"127.0.0.1:{peer}",
            "store": f"127.0.0.1:{self.store_port}",
            "reuse_connections": True,
            **other,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.launch(name)

    def launch(self, name: str) -> None:
        """Start a router whose settings are written."""
        kept = {key: os.environ[key] for key in ("PATH", "LANG") if key in os.environ}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*run_command(), str(self.folder / f"{name}.json")],
                cwd=ROOT,
                env={**kept, "HOME": str(self.folder), "PYTHONPATH": "target/deps"},
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """Kill a router and wait until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    async def is_ready(self, name: str) -> bool:
        """Return whether a router answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.checks[name]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return line.split(b" ")[1:2] == [b"200"]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until routers are ready.

        Raises
        ------
        CannotRunError
            If one is not ready in time.
        """
        end = time.monotonic() + START_TIMEOUT
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > end or self.processes[name].poll() is not None:
                    raise CannotRunError(f"{name} is not ready")
                await asyncio.sleep(0.05)

    def log_of(self, name: str) -> str:
        """Return what a router has written, an empty text if nothing."""
        with contextlib.suppress(OSError):
            return (self.folder / f"{name}.log").read_text()
        return ""
