"""Traffic of clients, spread over the routers as the platform's entry spreads it."""

from __future__ import annotations

import asyncio
import random
import time

from harness.http import Client, request_bytes
from harness.routers import Routers


class Traffic:
    """Requests at a steady rate, spread over the routers that are ready.

    Parameters
    ----------
    routers : Routers
        The routers.
    rate : float
        Requests a second.
    host : str
        Host of their route, whose prefix is ``/orders/``.
    limit_ms : int
        Milliseconds that each client waits.

    Attributes
    ----------
    answers : list of tuple
        Seconds, request, router and status of each; status 0 without an answer.
    """

    def __init__(self, routers: Routers, rate: float, host: str, limit_ms: int) -> None:
        self.routers = routers
        self.rate = rate
        self.host = host
        self.limit_ms = limit_ms
        self.clients: dict[str, Client] = {}
        self.ready: list[str] = []
        self.answers: list[tuple[float, str, str, int]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def watch(self) -> None:
        """Ask each router once a second whether it is ready."""
        while True:
            names = list(self.routers.fronts)
            states = await asyncio.gather(*map(self.routers.is_ready, names))
            found = zip(names, states, strict=True)
            self.ready = [name for name, ready in found if ready]
            await asyncio.sleep(1.0)

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds."""
        start, sent = time.monotonic(), 0
        while (passed := time.monotonic() - start) < seconds:
            while sent < passed * self.rate and self.ready:
                sent += 1
                self._send(random.choice(self.ready))
            await asyncio.sleep(0.002)

    def _send(self, router: str) -> None:
        task = asyncio.create_task(self._call(router, random.randbytes(8).hex()))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, router: str, request: str) -> None:
        port = self.routers.fronts[router]
        client = self.clients.setdefault(router, Client(port))
        headers = {
            "Host": self.host,
            "Request-Id": request,
            "Request-Deadline": str(self.limit_ms),
        }
        data = request_bytes("GET", "/orders/1", headers)
        answer = await client.send(data, self.limit_ms / 1000)
        status = answer.status if answer is not None else 0
        self.answers.append((time.monotonic(), request, router, status))
