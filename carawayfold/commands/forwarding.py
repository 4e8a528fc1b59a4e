"""Starts a router that forwards, without what only other commands need.

``python -m carawayfold.commands.forwarding SETTINGS`` does what ``carawayfold forward
SETTINGS`` does. The command line of all commands takes 0.15 s of processor time to
import, which an instance with a tenth of a core feels as 1.5 s without an answer.
"""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path

from carawayfold import gateway, gateway_settings
from carawayfold.commands import logs
from carawayfold.commands.exits import BAD_SETTINGS, BAD_USAGE


def start(path: Path) -> int:
    """Run one router until it is stopped; return the exit code.

    Parameters
    ----------
    path : Path
        Its settings: JSON with comments.
    """
    checked = gateway_settings.load(path)
    if checked.is_error():
        for fault in checked.error:
            print(fault, file=sys.stderr)
        return BAD_SETTINGS
    output = logs.set_up_bounded(checked.ok.log_level)
    reread = partial(gateway_settings.load, path)
    asyncio.run(gateway.run(checked.ok, reread, lambda: output.left_out))
    return 0


def main(arguments: list[str]) -> int:
    """Run the router whose settings the one argument names; return the exit code."""
    if len(arguments) != 1 or arguments[0].startswith("-"):
        print("usage: carawayfold.commands.forwarding SETTINGS", file=sys.stderr)
        return BAD_USAGE
    return start(Path(arguments[0]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
