"""Valid configurations with odd values, applied by a router with endpoints."""

from __future__ import annotations

import asyncio
import copy
import json

import pytest

from carawayfold.checked import MAX_INTEGER
from carawayfold.platform.records import decode_routes
from carawayfold.protocol.datagrams import Datagram, decode, encode
from carawayfold.protocol.sources import EndpointChange, Page, SourceError
from tests.gateway_builders import running_gateway
from tests.platform.record_builders import configuration
from tests.schedule_builders import endpoint

#: Configuration in which each kind of field occurs.
FULL = configuration(
    version=3,
    routes=[
        {
            "name": "r",
            "host": "caller.example",
            "path_prefix": "/r/",
            "route_kind": "streaming",
            "timeout_ms": 1000,
            "target_latency_ms": 400,
            "gap_target_ms": 100,
            "priority": 1,
            "max_attempts": 2,
            "resumable": True,
            "backends": [{"service": "model", "weight": 1.0}],
            "allowed_regions": ["west"],
        }
    ],
    services=[
        {
            "name": "model",
            "health_path": "/health",
            "max_connections": 10,
            "engine": {"kv_capacity_tokens": 1000},
            "cold_per_s": 8.7,
        }
    ],
    limits={
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tokens_per_s": 1000,
    },
    tenants=[{"name": "alder", "api_keys": ["key"], "allowed_regions": ["west"]}],
)
#: Values to replace each number, and each list or table.
NUMBERS = [0, 1, 10**9, 10**12, MAX_INTEGER]
ABSENT = object()


def places(part, path=()):
    """Yield the path of each field of a configuration."""
    items = part.items() if isinstance(part, dict) else enumerate(part)
    for key, value in items:
        yield (*path, key)
        if isinstance(value, (dict, list)):
            yield from places(value, (*path, key))


def replaced(path, value):
    """Return the configuration with one field replaced, or absent."""
    made = copy.deepcopy(FULL)
    part = made
    for key in path[:-1]:
        part = part[key]
    if value is ABSENT:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return made


def variants(path):
    """Return the values to try for a field."""
    value = FULL
    for key in path:
        value = value[key]
    if isinstance(value, bool):
        return [not value, ABSENT]
    if isinstance(value, (int, float)):
        return [*NUMBERS, ABSENT]
    return [type(value)(), ABSENT]


def decoded(document):
    """Return a configuration as the store's reader does, None if it is invalid."""
    try:
        return decode_routes(json.dumps(document).encode())
    except SourceError:
        return None


def sent_heartbeat(gateway):
    """Return the heartbeat of a router as its peers read it."""
    data = encode(Datagram("router-0", 1, [gateway.fleet.own_heartbeat()]))
    return decode(data).messages[0]


# Guards against a valid record that ends each router which reads it, again and again.
@pytest.mark.parametrize("path", list(places(FULL)), ids=str)
def test_a_valid_configuration_ends_no_router(path):
    tables = [decoded(replaced(path, value)) for value in variants(path)]

    async def scenario(table):
        async with running_gateway(0.1) as gateway:
            known = gateway.knowledge
            changes = [EndpointChange("a", endpoint("a"))]
            known.apply_listing(Page(changes, 1))
            known.apply_operator_records(Page([table], 1), listed=True)
            known.apply_operator_records(Page([table], 2))
            known.apply_listing(Page(changes, 2))
            await asyncio.sleep(0)
            stated = sent_heartbeat(gateway).configuration
            return stated, gateway.failed

    for table in tables:
        if table is not None:
            assert asyncio.run(scenario(table)) == (table.version, False)
