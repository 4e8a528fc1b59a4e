"""Load reports of endpoints: work in them that no router accounts for.

A router that froze or was cut off leaves its requests running; its slots come free
after its silence, but the endpoint is still busy. What an endpoint reports beyond
what its granter knows of is such foreign load, and takes slots away.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from carawayfold.settings import Address
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from carawayfold.coordination.slots.exchange import Exchange
    from carawayfold.coordination.slots.pool import PoolGranter
    from carawayfold.state.ids import EndpointId
    from carawayfold.state.view import ConfigView
    from carawayfold.transport.client import HttpClient

#: Seconds between two looks at an endpoint's load.
INTERVAL = 1.0
#: Seconds that an endpoint may take to report it.
TIMEOUT = 0.5
PATH = "/load"


class LoadReport(msgspec.Struct):
    """What an endpoint says of itself.

    Attributes
    ----------
    running, waiting : int
        Requests in it.
    """

    running: int
    waiting: int = 0


class LoadWatcher:
    """Asks the endpoints of the pools granted here for their load.

    Parameters
    ----------
    http : HttpClient
        Connections to endpoints.
    view : ConfigView
        Their addresses.
    exchange : Exchange
        Knows the pools.
    """

    def __init__(self, http: HttpClient, view: ConfigView, exchange: Exchange) -> None:
        self.http = http
        self.view = view
        self.exchange = exchange

    async def watch(self) -> None:
        """Look again and again; alone, other routers' work is none of ours."""
        while not self.exchange.alone:
            await asyncio.sleep(INTERVAL)
            granters = [entry.granter for entry in self.exchange.granting.values()]
            await asyncio.gather(
                *(
                    self.look(granter, endpoint)
                    for granter in granters
                    for endpoint in granter.spec.slots
                )
            )
            self.exchange.grant()

    async def look(self, granter: PoolGranter, endpoint: EndpointId) -> None:
        """Ask one endpoint; one that does not answer keeps its last report."""
        known = self.view.endpoints.get(endpoint)
        if known is None:
            return
        granter.begin_look(endpoint)
        address = Address(known.host, known.port)
        try:
            answer = await self.http.fetch(address, "GET", PATH, timeout=TIMEOUT)
            report = msgspec.json.decode(answer.body, type=LoadReport)
        except (ExchangeError, msgspec.MsgspecError, UnicodeDecodeError):
            return
        granter.end_look(endpoint, report.running + report.waiting)
