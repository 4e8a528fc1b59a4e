"""Checks whether a process listens at an address."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.settings import Address

#: Seconds to wait for a connection: a round trip takes 3 ms, and a lost SYN packet is
#: retransmitted only after 1 s.
PROBE_TIMEOUT = 0.25


class ProbeResult(Enum):
    """Result of a connection attempt."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


async def probe(address: Address) -> ProbeResult:
    """Open a connection to an address, close it, and return the result.

    `ProbeResult.REFUSED` means that the host responds and no process listens on the
    port. A network partition or a frozen or slow process does not give this result.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            await _connect(address)
    except (ConnectionRefusedError, ConnectionResetError):
        return ProbeResult.REFUSED
    except (TimeoutError, OSError):
        # No route, no response or no free descriptor: the remote state is unknown.
        return ProbeResult.SILENT
    return ProbeResult.ACCEPTED


async def _connect(address: Address) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, (address.host, address.port))
