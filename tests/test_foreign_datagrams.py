"""Datagrams of other programs at a running router."""

from __future__ import annotations

import asyncio
import socket

import msgspec
import pytest

from carawayfold.protocol.sources import EndpointChange, Page
from carawayfold.state.routes import ServiceConfig
from tests.foreign_datagrams import (
    ODD_DATAGRAMS,
    SOUND,
    RandomMessages,
    datagram,
    odd_message,
)
from tests.gateway_builders import running_gateway
from tests.knowledge_builders import table
from tests.schedule_builders import endpoint, route

#: Seconds for the periodic tasks that use what datagrams brought.
SETTLING_TIME = 0.7
#: Routers that send random messages.
SENDERS = ("router-1", "router-2")
#: Datagrams with random messages in one test.
RANDOM_DATAGRAMS = 600
#: Seconds in which a router takes its role in a large fleet.
ROLE_CHANGE_TIME = 0.3
#: A heartbeat of a large fleet, whose routers pass on where the hubs are.
LARGE_FLEET_HEARTBEAT = [1, "north", False, 3, 7, 120, 100, True, 100]


async def failed_after(messages):
    """Return whether a task of a router failed after it received some messages.

    Each is sent twice, in a datagram of its own, after heartbeats of a large fleet.
    """
    async with running_gateway(1000.0) as gateway:
        address = gateway.socket.sock.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(2):
                sock.sendto(datagram(LARGE_FLEET_HEARTBEAT), address)
                await asyncio.sleep(ROLE_CHANGE_TIME)
                for message in messages:
                    sock.sendto(datagram(message), address)
        await asyncio.sleep(SETTLING_TIME)
        return gateway.failed


@pytest.mark.parametrize(
    "messages",
    [
        [odd_message("HubListMessage", 2, [["router-2", "127.0.0.1", 70000, 1, 100]])],
        [odd_message("HubListMessage", 2, [["router-2", "a\0b", 7400, 1, 100]])],
        [odd_message("HubListMessage", 2, [["router-2", "é" * 70, 7400, 1, 100]])],
        [
            [11, "summary", "alder", endpoint, 5, True, False, 10, 20]
            for endpoint in ("m-1", "m-2", "m-3")
        ],
        [odd_message("VerdictMessage", 1, "summary")],
    ],
    ids=["port", "null character", "encoding", "crash", "verdict"],
)
def test_a_message_with_an_odd_field_does_not_end_a_router(messages):
    """It ended with the next heartbeat, or the next review of crashes."""
    assert asyncio.run(failed_after(messages)) is False


def test_heartbeats_are_read_between_odd_datagrams():
    async def scenario():
        async with running_gateway(1000.0) as gateway:
            address = gateway.socket.sock.getsockname()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for number, data in enumerate(ODD_DATAGRAMS):
                    sock.sendto(data, address)
                    sock.sendto(
                        datagram(SOUND["Heartbeat"], sender=f"router-{number + 10}"),
                        address,
                    )
            await asyncio.sleep(0.2)
            return set(gateway.fleet.heartbeats), gateway.failed

    names = {f"router-{number + 10}" for number in range(len(ODD_DATAGRAMS))}
    assert asyncio.run(scenario()) == (names, False)


def serving_table():
    """Return a configuration with a service of engines and one that warms up."""
    services = {
        "model": ServiceConfig("model", "/", 100, memory_tokens=600_000),
        "desk": ServiceConfig("desk", "/", 100, warm_up_rate=5.0),
    }
    return msgspec.structs.replace(
        table(1), routes=(route(anonymous=True),), services=services, throughput=1e5
    )


@pytest.mark.parametrize("seed", range(3))
def test_datagrams_with_any_values_within_their_ranges_end_no_router(seed):
    """Nor may they raise errors in the callbacks of sockets and timers."""
    messages = RandomMessages(seed)
    errors = []
    heard = set()

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        async with running_gateway(1000.0) as gateway:
            gateway.knowledge.apply_routes(serving_table(), "store")
            registered = [
                EndpointChange(name, endpoint(name, service))
                for name, service in (
                    ("m-1", "model"),
                    ("m-2", "model"),
                    ("d-1", "desk"),
                )
            ]
            gateway.knowledge.apply_listing(Page(registered, 3))
            address = gateway.socket.sock.getsockname()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for _ in range(RANDOM_DATAGRAMS):
                    sender = messages.random.choice(SENDERS)
                    drawn = [messages.draw() for _ in range(3)]
                    sock.sendto(datagram(*drawn, sender=sender), address)
                    await asyncio.sleep(0.001)
                    heard.update(gateway.fleet.heartbeats)
            await asyncio.sleep(SETTLING_TIME)
            return gateway.failed

    failed = asyncio.run(scenario())
    assert (errors, failed) == ([], False)
    assert heard == set(SENDERS)
