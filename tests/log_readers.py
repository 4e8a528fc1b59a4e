"""Reads the logs of routers that run as processes."""

from __future__ import annotations

import asyncio
import json

#: Seconds after which a line that does not come is given up.
PATIENCE = 20.0


async def logged(fleet, router, count=1, **wanted):
    """Wait for the line number `count` of a router's log with the fields `wanted`."""
    while True:
        found = []
        for line in fleet.processes.output_of(router).splitlines():
            fields = json.loads(line)
            if wanted.items() <= fields.items():
                found.append(fields)
        if len(found) >= count:
            return found[count - 1]
        await asyncio.sleep(0.02)


def read_log(fleet, router, count=1, **wanted):
    """Return a line of a router's log, see `logged`, or fail after a while."""
    return asyncio.run(
        asyncio.wait_for(logged(fleet, router, count, **wanted), PATIENCE)
    )
