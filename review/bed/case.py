"""What the cases share: the record, the switch of the disruption, the exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from typing import TYPE_CHECKING

from bed.routers import SetupError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Most seconds that a case runs.
TIME_LIMIT = 115.0
#: Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "ficu95.example"


class Record:
    """Writes what happens in a case to its file.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file, flush=True)


def main(path: Path, run: Callable[[Record], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held, and exit."""
    record = Record(path)
    record.note(f"disruption: {'yes' if TROUBLE else 'no'}")
    code = asyncio.run(_run(record, run))
    record.note(f"exit code {code}")
    sys.exit(code)


async def _run(record: Record, run: Callable[[Record], Awaitable[bool]]) -> int:
    try:
        async with asyncio.timeout(TIME_LIMIT):
            held = await run(record)
    except SetupError as error:
        record.note(f"not run: {error}")
        return NOT_RUN
    except Exception:
        record.note(f"not run: {traceback.format_exc()}")
        return NOT_RUN
    return HELD if held else BROKEN


def route(name: str, kind: str, service: str, **other: object) -> dict[str, object]:
    """Return a route of a config."""
    fields = {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": service,
        "max_attempts": 1,
        "timeout_ms": 15000,
        "target_latency_ms": 125,
        "priority": 2,
    }
    return {**fields, **other}


def config(
    version: int,
    routes: list[dict[str, object]],
    keys: dict[str, list[str]],
    models: tuple[str, ...] = (),
) -> dict[str, object]:
    """Return a config; `keys` are the keys of each tenant, `models` model services."""
    names = sorted({str(item["service"]) for item in routes} | set(models))
    services = []
    for name in names:
        item = {"name": name, "health_path": "/healthz", "max_connections": 96}
        if name in models:
            item["engine"] = {"kv_capacity_tokens": 639_273}
        services.append(item)
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 360_000,
        },
        "tenants": tenants,
    }
