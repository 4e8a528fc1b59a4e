"""Decoding of the store's records."""

from __future__ import annotations

import json
import struct

import pytest

from benchmarks.hosted import KEY, configuration
from carawayfold.platform import records, store
from carawayfold.protocol.sources import SourceError
from carawayfold.state.routes import RouteKind


def test_a_configuration_becomes_routes():
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


def test_an_unknown_kind_of_route_is_never_repeated():
    config = configuration()
    config["routes"][0]["route_kind"] = "some-new-kind"
    table = records.decode_routes(json.dumps(config).encode())
    assert not table.routes[0].repeatable


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"version": "x"}', b"\xff"])
def test_what_is_no_configuration_is_a_typed_error(data):
    with pytest.raises(SourceError):
        records.decode_routes(data)


def test_an_entry_becomes_an_endpoint():
    data = (
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":3,'
        b'"state":"draining"}'
    )
    endpoint = records.decode_endpoint("i-1", data, 10.0)
    assert (endpoint.id, endpoint.slots, endpoint.leaving) == ("i-1", 3, True)


def test_read_records_keep_keys_and_removals():
    record = b"\x03abcvalue"
    gone = b"\x03abc"
    body = struct.pack(">QQ", 9, 0)
    for item in (record, gone):
        body += struct.pack(">I", len(item)) + item
    page = store._decode_records(body, 7)
    assert [(item.key, item.value) for item in page.items] == [
        ("abc", b"value"),
        ("abc", None),
    ]
    assert page.next == 9


@pytest.mark.parametrize("data", [b"", b"123"])
def test_a_read_that_is_cut_is_a_typed_error(data):
    with pytest.raises(SourceError):
        store._decode_records(data, 0)
