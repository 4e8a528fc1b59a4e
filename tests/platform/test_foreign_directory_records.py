"""Records that other programs write among those that the routers share."""

from __future__ import annotations

import asyncio
import base64
import json

import logbook
import pytest

from carawayfold.commands.logs import format_record
from carawayfold.platform.store import StoreClient, StoreDirectory
from carawayfold.protocol.sources import PeerEntry, QuarantineRecord
from carawayfold.settings import Address
from carawayfold.state.endpoints import Endpoint
from tests.gateway_builders import running_gateway
from tests.platform.http_builders import OneAnswer, read_answer
from tests.platform.record_builders import (
    CONTENT,
    ODD_PEER_FIELDS,
    ODD_VALUES,
    ODD_VERDICT_FIELDS,
    PEER,
    VERDICT,
    json_object,
)

#: Key and value of a sound record of each kind.
SOUND_PEER = (b"router-9", json.dumps({**PEER, "router": "router-9"}).encode())
SOUND_CONTENT = "fedcba9876543210fedcba9876543210.part"
SOUND_VERDICT = (
    f"content/{SOUND_CONTENT}".encode(),
    json.dumps({**VERDICT, "content": SOUND_CONTENT}).encode(),
)
#: Records that can't be used: key and value.
ODD_RECORDS = [
    *[(b"router-1", json_object(PEER, *odd)) for odd in ODD_PEER_FIELDS],
    *[(b"router-1", value) for value in ODD_VALUES],
    *[
        (f"content/{CONTENT}".encode(), json_object(VERDICT, *odd))
        for odd in ODD_VERDICT_FIELDS
    ],
    *[(f"content/{CONTENT}".encode(), value) for value in ODD_VALUES],
    (b"content/", json_object(VERDICT, "content", '""')),
    (b"content/summary", json_object(VERDICT, "content", '"summary"')),
    (b"", json_object(PEER, "router", '""')),
    (b"a\0b", json_object(PEER, "router", r'"a\u0000b"')),
    (b"\xff", json_object(PEER, "router", r'"\\xff"')),
]


def listed(*rows):
    """Return the body of a list of newest records."""
    entries = [
        {
            "key": key.decode(errors="replace"),
            "value": base64.b64encode(value).decode(),
            "offset": number,
        }
        for number, (key, value) in enumerate(rows)
    ]
    return json.dumps({"entries": entries, "end": len(rows)}).encode()


def read_directory(*rows):
    """Return what a router reads of records, by list and by read, and the log lines."""

    async def read():
        http = OneAnswer(listed(*rows), read_answer(*rows))
        directory = StoreDirectory(StoreClient(http, None))
        page = await directory.newest()
        later = await directory.read(0, 0.0)
        assert later.items == page.items
        return page.items

    with logbook.TestHandler() as lines:
        items = asyncio.run(read())
    return items, [json.loads(format_record(line, None)) for line in lines.records]


@pytest.mark.parametrize("odd", ODD_RECORDS)
def test_a_record_that_can_not_be_used_is_logged_once_and_hides_no_other(odd):
    items, lines = read_directory(SOUND_PEER, odd, SOUND_VERDICT)
    assert [type(item) for item in items] == [PeerEntry, QuarantineRecord]
    assert {line["event"] for line in lines} == {"unreadable record"}
    # A list and a read write a key that is no text in different ways.
    keys = [line["key"] for line in lines]
    assert keys == list(dict.fromkeys(keys))
    assert len(keys) == 1 or odd[0] == b"\xff"
    assert all(len(line["reason"]) <= 200 for line in lines)


def test_records_of_the_routers_themselves_are_read():
    items, lines = read_directory(SOUND_PEER, SOUND_VERDICT)
    assert lines == []
    assert items == [
        PeerEntry("router-9", "north", "127.0.0.1", 7400, 100),
        QuarantineRecord(
            SOUND_CONTENT,
            "alder",
            VERDICT["stamp"],
            VERDICT["since"],
            VERDICT["held_until"],
            tuple(VERDICT["endpoints"]),
        ),
    ]


def test_a_verdict_may_name_any_endpoint_that_can_be_registered():
    named = Endpoint(
        "e" * 255, "s", Address("127.0.0.1", 1), "z", 1, incarnation=10**15
    )
    verdict = {**VERDICT, "content": SOUND_CONTENT, "endpoints": [f"{named.id}#9"] * 10}
    items, _ = read_directory((SOUND_VERDICT[0], json.dumps(verdict).encode()))
    assert len(items) == 1


def test_a_router_sends_heartbeats_to_all_whose_entries_it_reads():
    """A port out of range or a host with a null character ended the process."""

    async def scenario():
        items, _ = await asyncio.to_thread(
            read_directory, *[(b"router-1", odd) for odd in odd_entries()], SOUND_PEER
        )
        async with running_gateway(1.0) as gateway:
            gateway.fleet.add_entries(
                [item for item in items if isinstance(item, PeerEntry)]
            )
            gateway.fleet.tick()
            return list(gateway.fleet.addresses), gateway.failed

    assert asyncio.run(scenario()) == (["router-9"], False)


def odd_entries():
    """Return encoded entries of router-1 that can't be used."""
    return [json_object(PEER, *odd) for odd in ODD_PEER_FIELDS]


def test_verdicts_that_are_read_can_be_sent():
    """A time beyond all numbers, or a content of no digest, ended the process."""
    odd = [
        (f"content/{CONTENT}".encode(), json_object(VERDICT, *item))
        for item in ODD_VERDICT_FIELDS
    ]

    async def scenario():
        items, _ = await asyncio.to_thread(read_directory, *odd, SOUND_VERDICT)
        async with running_gateway(1.0) as gateway:
            gateway.containment.load_records(items)
            gateway.containment.fleet_changed()
            return len(items), gateway.failed

    assert asyncio.run(scenario()) == (1, False)
