"""Polling of the load of endpoints, to detect work that no router accounts for.

When a router freezes or is disconnected, its requests continue to run. Its slots are
released once it is considered failed, but the endpoint is still busy. Load that an
endpoint reports beyond what the leader of its pool accounts for is foreign load, and
reduces the free slots.
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
    from carawayfold.state.configuration_view import ConfigView
    from carawayfold.state.ids import EndpointId
    from carawayfold.transport.client import HttpClient

#: Seconds between two load queries of an endpoint.
LOAD_INTERVAL = 1.0
#: Timeout of a load query, in seconds.
LOAD_TIMEOUT = 0.5
LOAD_PATH = "/load"


class LoadReport(msgspec.Struct):
    """Load reported by an endpoint.

    Attributes
    ----------
    running, waiting : int
        Requests in the endpoint.
    """

    running: int
    waiting: int = 0


class LoadPoller:
    """Queries the load of the endpoints of all pools that this router leads.

    Parameters
    ----------
    http : HttpClient
        Connections to endpoints.
    view : ConfigView
        Addresses of the endpoints.
    exchange : Exchange
        Pools that this router leads.
    """

    def __init__(self, http: HttpClient, view: ConfigView, exchange: Exchange) -> None:
        self.http = http
        self.view = view
        self.exchange = exchange

    async def poll(self) -> None:
        """Query all endpoints periodically, until cancelled.

        Returns at once if every router leads all pools: work of other routers is then
        expected in the endpoints.
        """
        while not self.exchange.leads_all:
            await asyncio.sleep(LOAD_INTERVAL)
            granters = [entry.granter for entry in self.exchange.led_pools.values()]
            await asyncio.gather(
                *(
                    self.query(granter, endpoint)
                    for granter in granters
                    for endpoint in granter.spec.slots
                )
            )
            self.exchange.grant()

    async def query(self, granter: PoolGranter, endpoint: EndpointId) -> None:
        """Query one endpoint; without an answer its last report remains valid."""
        known = self.view.endpoints.get(endpoint)
        if known is None:
            return
        granter.begin_load_query(endpoint)
        address = Address(known.host, known.port)
        try:
            answer = await self.http.fetch(
                address, "GET", LOAD_PATH, timeout=LOAD_TIMEOUT
            )
            report = msgspec.json.decode(answer.body, type=LoadReport)
        except (ExchangeError, msgspec.MsgspecError, UnicodeDecodeError):
            return
        granter.end_load_query(endpoint, report.running + report.waiting)
