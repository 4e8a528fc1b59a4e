"""A forwarding router in the loop of a test, without store, peers or endpoints."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from carawayfold.gateway import Gateway
from carawayfold.gateway_settings import GatewaySettings
from carawayfold.settings import Address
from carawayfold.state.routes import CallerLimits, KeyPolicy, RouteIndex, RouteTable
from tests.schedule_builders import route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Request of the only route.
REQUEST = b"POST /summary/x HTTP/1.1\r\nHost: caller.example\r\nRequest-Id: r-1\r\n\r\n"


def gateway_settings(stop_grace: float) -> GatewaySettings:
    """Return settings with free ports and a store that does not exist."""
    free = Address("127.0.0.1", 0)
    return GatewaySettings(
        router="router-0",
        data_centre="north",
        listen=free,
        ready_listen=free,
        peer_listen=free,
        store=Address("127.0.0.1", 1),
        core_share=1.0,
        core_speed=1.0,
        descriptors=1024,
        stop_grace=stop_grace,
        retry_ratio=0.2,
        retry_extra=10.0,
        retry_window=10.0,
        share_window=4.0,
        regions={},
        log_level="info",
    )


@contextlib.asynccontextmanager
async def running_gateway(stop_grace: float) -> AsyncIterator[Gateway]:
    """Run a router whose requests wait for a grant for ever; stop it afterwards."""
    gateway = Gateway(gateway_settings(stop_grace), lambda: None, lambda: 0)
    gateway.forwarder.route_index = RouteIndex(
        RouteTable(
            1,
            (route(anonymous=True),),
            {},
            {},
            {},
            CallerLimits(),
            0.0,
            key_policy=KeyPolicy.NOT_REQUIRED,
        )
    )
    gateway.coordinator.place_with_fallback = wait_for_ever
    running = asyncio.create_task(gateway.run())
    await asyncio.sleep(0)
    try:
        yield gateway
    finally:
        gateway.stopped.set()
        await running


async def wait_for_ever(*args: object) -> None:
    """Wait until cancelled."""
    await asyncio.get_running_loop().create_future()


async def send_request(
    gateway: Gateway,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request and wait until it is in flight."""
    port = gateway.front.server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    while not gateway.forwarder.calls:
        await asyncio.sleep(0)
    return reader, writer
