"""Functions that wait for lines in the logs of router processes."""

from __future__ import annotations

import asyncio
import json

#: Seconds to wait for a line.
LINE_TIMEOUT = 20.0


def find_lines(fleet, router, /, **wanted):
    """Return the lines of a router's log so far whose fields include `wanted`."""
    lines = map(json.loads, fleet.processes.output_of(router).splitlines())
    return [fields for fields in lines if wanted.items() <= fields.items()]


async def wait_for_line(fleet, router, /, count=1, **wanted):
    """Wait for the `count`-th line of a router's log whose fields include `wanted`."""
    while True:
        found = find_lines(fleet, router, **wanted)
        if len(found) >= count:
            return found[count - 1]
        await asyncio.sleep(0.02)


def read_log(fleet, router, /, count=1, **wanted):
    """Return a line of a router's log, see `wait_for_line`, or raise `TimeoutError`."""
    return asyncio.run(
        asyncio.wait_for(wait_for_line(fleet, router, count, **wanted), LINE_TIMEOUT)
    )
