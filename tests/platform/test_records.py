"""Decoding of records of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json
import struct

import logbook
import pytest

from benchmarks.hosted import KEY, configuration
from carawayfold.platform import records, store
from carawayfold.platform.store import Record
from carawayfold.protocol.sources import Evacuation, Page, SourceError
from carawayfold.state.residency import allowed_data_centres
from carawayfold.state.routes import RouteKind
from tests.platform.record_builders import ENTRY, entry


def test_configuration_is_decoded_into_routes():
    table = records.decode_routes(json.dumps(configuration(7)).encode())
    assert table.version == 7
    assert [item.kind for item in table.routes][:3] == [
        RouteKind.STREAMING,
        RouteKind.STREAMING,
        RouteKind.NON_IDEMPOTENT,
    ]
    assert table.routes[0].timeout == 8.0
    assert table.services["model"].is_model
    assert not table.services["desk"].is_model
    assert table.organisations == {KEY: "alder"}


@pytest.mark.parametrize(
    ("objective", "pause", "patience"),
    [(100, 100, 2.0), (900, 100, 3.6), (400, 400, 3.2), (400, 0, 2.0)],
)
def test_callers_of_a_stream_wait_as_long_as_the_platform_states(
    objective, pause, patience
):
    config = configuration(7)
    limits = {"target_latency_ms": objective, "gap_target_ms": pause}
    config["routes"][0] |= limits
    table = records.decode_routes(json.dumps(config).encode())
    assert table.routes[0].patience == pytest.approx(patience)


def test_route_of_unknown_kind_is_never_retried():
    config = configuration()
    config["routes"][0]["route_kind"] = "some-new-kind"
    table = records.decode_routes(json.dumps(config).encode())
    assert not table.routes[0].repeatable


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"version": "x"}', b"\xff"])
def test_invalid_configuration_raises_source_error(data):
    with pytest.raises(SourceError):
        records.decode_routes(data)


def test_registration_is_decoded_into_an_endpoint():
    endpoint = records.decode_endpoint("i-1", entry(state="draining"), 10.0)
    assert (endpoint.id, endpoint.slots, endpoint.leaving) == ("i-1", 3, True)
    assert endpoint.software == "v1"


def test_start_time_distinguishes_incarnations_of_an_endpoint():
    first, second = (
        records.decode_endpoint("i-1", entry(born=born), 10.0)
        for born in (1760683167168, 1760683190000)
    )
    assert first.name == second.name == "i-1"
    assert first.incarnation == 1760683167168
    assert first.id != second.id


@pytest.mark.parametrize("field", ENTRY)
def test_registration_without_a_required_field_is_rejected(field):
    fields = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(SourceError):
        records.decode_endpoint("i-1", json.dumps(fields).encode(), 10.0)


@pytest.mark.parametrize(
    "fields",
    [
        {"slots": "3"},
        {"slots": True},
        {"slots": 0},
        {"slots": 2.5},
        {"state": "resting"},
        {"state": None},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:x"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:70000"},
        {"address": "some.host:80"},
        {"address": ":80"},
        {"zone": 7},
        {"born": "1760683167168"},
        {"born": 1760683167168.5},
        {"born": None},
        {"cold_remaining_ms": "0"},
    ],
)
def test_registration_with_an_invalid_field_is_rejected(fields):
    with pytest.raises(SourceError):
        records.decode_endpoint("i-1", entry(**fields), 10.0)


class FakeStore:
    """Store that returns the given rows as the newest records."""

    def __init__(self, items):
        self.items = items

    async def newest(self, topic):
        return Page(self.items, 9)


BAD_VALUES = [b"\xff\xfe", b"{", b"7", b"null", b"[]", b'{"service":"s"}']


@pytest.mark.parametrize("value", BAD_VALUES)
def test_invalid_record_does_not_block_other_records(value):
    rows = [Record("i-0", entry()), Record("i-1", value), Record("i-2", entry())]
    source = store.endpoint_source(FakeStore(rows))
    page = asyncio.run(source.newest())
    found = [(item.name, item.endpoint is not None) for item in page.items]
    assert found == [("i-0", True), ("i-1", False), ("i-2", True)]


def test_rewritten_unreadable_record_is_logged_once():
    rows = [Record("i-1", b"{")] * 5 + [Record("i-2", b"{")]
    with logbook.TestHandler() as lines:
        asyncio.run(store.endpoint_source(FakeStore(rows)).newest())
    keys = [line.extra["key"] for line in lines.records]
    assert keys == ["i-1", "i-2"]


def test_unreadable_configuration_does_not_block_other_records():
    good = Record("config", json.dumps(configuration(7)).encode())
    rows = [Record("config", b"{"), good]
    page = asyncio.run(store.operator_source(FakeStore(rows)).newest())
    assert [table.version for table in page.items] == [7]


def test_evacuations_are_read_from_the_configuration_topic():
    rows = [
        Record("evacuate/north", b"{}"),
        Record("config", json.dumps(configuration(7)).encode()),
        Record("evacuate/south", None),
        Record("other", b"{}"),
    ]
    page = asyncio.run(store.operator_source(FakeStore(rows)).newest())
    evacuations = [item for item in page.items if isinstance(item, Evacuation)]
    assert evacuations == [Evacuation("north", True), Evacuation("south", False)]


def test_regions_and_warm_up_rate_are_decoded():
    config = configuration()
    config["routes"][0]["allowed_regions"] = ["hills"]
    config["tenants"][0]["allowed_regions"] = ["hills", "coast"]
    config["services"][0]["cold_per_s"] = 8.7
    routes = records.decode_routes(json.dumps(config).encode())
    (organisation,) = set(routes.organisations.values())
    assert routes.routes[0].regions == ("hills",)
    assert routes.routes[1].regions == ()
    assert routes.regions == {organisation: ("hills", "coast")}
    service = routes.services[config["services"][0]["name"]]
    assert service.warm_up_rate == 8.7


@pytest.mark.parametrize(("left_ms", "warm_at"), [(0, 0.0), (3000, 13.0)])
def test_warm_up_counts_from_the_read_of_the_registration(left_ms, warm_at):
    endpoint = records.decode_endpoint("i-1", entry(cold_remaining_ms=left_ms), 10.0)
    assert (endpoint.warm_up, endpoint.warm_at) == (left_ms / 1000, warm_at)


@pytest.mark.parametrize("record", [b"", b"\x02\xff\xfevalue", b"\x09abc"])
def test_record_with_an_invalid_key_does_not_block_other_records(record):
    good = b"\x03abcvalue"
    body = struct.pack(">QQ", 9, 0)
    for item in (record, good):
        body += struct.pack(">I", len(item)) + item
    page = store._decode_records(body, 7)
    assert page.items[-1] == Record("abc", b"value")
    assert page.next == 9


def test_listed_value_with_invalid_base64_does_not_block_others():
    rows = [{"key": "i-1", "value": "a", "offset": 1}]
    rows.append({"key": "i-2", "value": base64.b64encode(b"x").decode(), "offset": 2})
    answer = json.dumps({"entries": rows, "end": 3}).encode()
    entries = store._decode_newest(answer).entries
    assert [store._listed_record(item).key for item in entries] == ["i-1", "i-2"]


def test_read_truncated_within_a_record_raises_source_error():
    body = struct.pack(">QQ", 9, 0) + struct.pack(">I", 9) + b"\x03abc"
    with pytest.raises(SourceError):
        store._decode_records(body, 0)


def test_read_records_have_keys_and_removals():
    record = b"\x03abcvalue"
    removal = b"\x03abc"
    body = struct.pack(">QQ", 9, 0)
    for item in (record, removal):
        body += struct.pack(">I", len(item)) + item
    page = store._decode_records(body, 7)
    assert [(item.key, item.value) for item in page.items] == [
        ("abc", b"value"),
        ("abc", None),
    ]
    assert page.next == 9


@pytest.mark.parametrize("data", [b"", b"123"])
def test_read_with_truncated_header_raises_source_error(data):
    with pytest.raises(SourceError):
        store._decode_records(data, 0)


#: Regions of two data centres.
REGIONS = {"north-1": "hills", "south-1": "coast"}


# Guards against requests that run in any region once the last region is taken away.
@pytest.mark.parametrize("table", ["routes", "tenants"])
@pytest.mark.parametrize(
    ("regions", "allowed"),
    [(None, None), ([], frozenset()), (["hills"], frozenset({"north-1"}))],
)
def test_regions_that_are_absent_empty_or_listed_differ(table, regions, allowed):
    config = configuration()
    if regions is not None:
        config[table][0]["allowed_regions"] = regions
    routes = records.decode_routes(json.dumps(config).encode())
    (organisation,) = set(routes.organisations.values())
    found = allowed_data_centres(routes.routes[0], organisation, routes, REGIONS)
    assert found == allowed
