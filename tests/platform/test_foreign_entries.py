"""Entries that other programs write among the registrations of endpoints."""

from __future__ import annotations

import asyncio
import base64
import json

import logbook
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.commands.logs import format_record
from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.platform import records, store
from carawayfold.platform.store import MAX_REMEMBERED_KEYS, Record, StoreClient
from carawayfold.protocol.sources import Page, SourceError
from tests.platform.http_builders import OneAnswer, read_answer
from tests.platform.record_builders import CONFIGURATION, ENTRY, entry

#: Nesting that exceeds the recursion limit of the decoder.
NESTED = b"[" * 5000 + b"]" * 5000

#: Values of fields that no endpoint writes.
ODD_VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.lists(st.integers(), max_size=2)
    | st.dictionaries(st.text(max_size=3), st.integers(), max_size=2)
)
#: Stored values: any bytes, or an entry with other fields.
ODD_ENTRIES = st.binary(max_size=40) | st.builds(
    lambda kept, odd: json.dumps(
        {**{name: ENTRY[name] for name in kept}, **odd}
    ).encode(),
    st.sets(st.sampled_from(sorted(ENTRY))),
    st.dictionaries(st.sampled_from([*sorted(ENTRY), "born", "x"]), ODD_VALUES),
)
#: Keys, in bytes.
ODD_KEYS = st.binary(min_size=1, max_size=20) | st.just(b"i-2")


def apply_reads(*bodies):
    """Return what a router knows after reads of registrations, one after another."""

    async def follow():
        known = Knowledge(lambda table: None, lambda: None)
        known.apply_listing(Page([], 0))
        source = store.endpoint_source(StoreClient(OneAnswer(*bodies), None))
        for _ in bodies:
            page = await source.read(known.endpoints.offset, 0.0)
            known.apply_registrations(page)
        return known, known.snapshot()

    return asyncio.run(follow())


@given(st.lists(st.tuples(ODD_KEYS, ODD_ENTRIES), max_size=5), st.data())
def test_sound_entries_hold_beside_any_others(rows, data):
    """Also guards what is passed on to peers, which must be encodable."""
    rows = [row for row in rows if row[0] != b"i-1"]
    place = data.draw(st.integers(0, len(rows)))
    rows.insert(place, (b"i-1", entry(born=1760683167168)))
    known, snapshot = apply_reads(read_answer(*rows))
    assert known.endpoints.entries["i-1"].incarnation == 1760683167168
    assert len(known.endpoints.usable("s")) >= 1
    assert msgspec.msgpack.encode(snapshot)
    for endpoint in known.endpoints.entries.values():
        endpoint.name.encode("ascii")
        assert not set(endpoint.name) & set("\r\n ")
        assert 0 < endpoint.address.port < 65536


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"\xff\xfe",
        entry()[:-1] + b', "further": ' + NESTED + b"}",
        entry(state="paused"),
        entry(slots=10**30),
        entry(born=10**30),
        entry(born=-1),
        entry(cold_remaining_ms=-1),
        entry(cold_remaining_ms=1e300),
        entry(address="10.0.0.1:8_0"),
        entry(version="v" * 70_000),
        entry(service="s\r\nTenant-Id: x"),
        entry(zone="z\x1b[2J"),
        entry(version="v1\x00"),
        entry(version="v1\n"),
        entry(zone="z\x7f"),
        entry(zone="z\x9b"),
        entry(service="s\u2028"),
        entry(version="\ud800"),
    ],
)
def test_an_entry_that_turns_bad_is_not_used_until_it_is_sound_again(value):
    sound = (b"i-1", entry(born=5))
    known, _ = apply_reads(read_answer(sound), read_answer((b"i-1", value)))
    assert known.endpoints.usable("s") == []
    known, _ = apply_reads(read_answer(sound, (b"i-1", value), sound))
    assert [item.name for item in known.endpoints.usable("s")] == ["i-1"]


def test_an_entry_that_turns_bad_in_an_outage_is_not_used():
    """An entry that is removed then may be one that could not be renewed."""

    async def follow(listed):
        known = Knowledge(lambda table: None, lambda: None)
        sound = Record("i-1", entry())
        source = store.endpoint_source(StoreClient(OneAnswer(), None))
        known.apply_listing(source._decoded(Page([sound], 1)))
        known.endpoints.record_outage(known.loop.time())
        bad = source._decoded(Page([Record("i-1", b"{")], 2))
        (known.apply_listing if listed else known.apply_registrations)(bad)
        return known.endpoints

    for listed in (False, True):
        endpoints = asyncio.run(follow(listed))
        assert (endpoints.usable("s"), endpoints.lapsed) == ([], {})


@pytest.mark.parametrize("name", ["", "a b", "a\r\nTenant-Id: x", "é", "x" * 256])
def test_a_name_that_cannot_be_sent_in_a_header_is_no_endpoint(name):
    with pytest.raises(SourceError):
        records.decode_endpoint(name, entry(), 0.0)


@pytest.mark.parametrize(
    "key", [b"\xff", "☃".encode(), b"a b", rb"\ud800", rb"a\udc80b", rb"\u0000"]
)
def test_a_key_that_is_no_name_does_not_hide_the_rest_of_a_list(key):
    rows = [
        b'{"key": "%b", "value": "e30=", "offset": 1}' % key,
        json.dumps({"key": "i-9", "value": "é", "offset": 2}).encode(),
    ]
    first = b'{"entries": [%b], "end": 3, "more_pages": true}' % b",".join(rows[::-1])
    http = OneAnswer(first, b'{"entries": [], "end": 3}')
    page = asyncio.run(store.endpoint_source(StoreClient(http, None)).newest())
    assert len(page.items) == 2
    assert " " not in http.paths[1]
    assert http.paths[1].isascii()


#: A row of a list that can be read.
SOUND_ROW = b'{"key": "i-1", "value": "%b", "offset": 1}' % base64.b64encode(entry())


@pytest.mark.parametrize(
    "row",
    [
        b"5",
        b"null",
        b"[]",
        b"{}",
        b'{"key": 5, "value": "e30=", "offset": 1}',
        b'{"value": "e30=", "offset": 1}',
        b'{"key": "i-2"}',
        b'{"key": "i-2", "value": 5, "offset": 1}',
        b'{"key": "i-2", "value": null, "offset": 1}',
        b'{"key": "i-2", "value": "e30=", "offset": -1}',
        b'{"key": "i-2", "value": "e30=", "offset": "1"}',
        b'{"key": "i-2", "value": {"slots": [1]}, "offset": 1}',
        rb'{"key": ["\ud800"], "value": "e30=", "offset": 1}',
        rb'{"key": "i-2", "value": "\ud800", "offset": 1}',
        b'{"key": "i-2", "value": "e30=", "offset": 1, "further": 1e999}',
    ],
)
def test_a_row_that_can_not_be_read_does_not_hide_the_rest_of_a_list(row):
    """The whole list was refused, so that nobody followed the store any longer."""

    async def follow(*rows):
        body = b'{"entries": [%b], "end": 3}' % b",".join(rows)
        source = store.endpoint_source(StoreClient(OneAnswer(body), None))
        with logbook.TestHandler() as lines:
            page = await source.newest()
        known = Knowledge(lambda table: None, lambda: None)
        known.apply_listing(page)
        return list(known.endpoints.entries), [x.message for x in lines.records]

    for rows in ([row, SOUND_ROW], [SOUND_ROW, row]):
        assert asyncio.run(follow(*rows)) == (["i-1"], ["unreadable record"])


def test_a_list_goes_on_behind_a_row_without_a_key():
    rows = b'{"entries": [%b, {"key": 5}], "end": 3, "more_pages": true}' % SOUND_ROW
    http = OneAnswer(rows, b'{"entries": [], "end": 3}')
    page = asyncio.run(store.endpoint_source(StoreClient(http, None)).newest())
    assert len(page.items) == 2
    assert http.paths[1].endswith("&after=i-1")


def test_a_page_of_which_no_key_can_be_read_is_a_failed_read():
    http = OneAnswer(b'{"entries": [5, {}], "end": 3, "more_pages": true}')
    with pytest.raises(SourceError):
        asyncio.run(store.endpoint_source(StoreClient(http, None)).newest())


#: Bytes of a key in a list, as JSON.
JSON_KEYS = st.lists(
    st.sampled_from(["a", " ", "☃", r"\n", r"\u0000", r"\\", r"\"", "%"])
    | (st.integers(0, 0xFFFF) | st.integers(0xD800, 0xDFFF)).map(
        lambda unit: f"\\u{unit:04x}"
    ),
    max_size=6,
).map(lambda parts: "".join(parts).encode()) | st.just(b"\xed\xa0\x80")


@given(st.lists(JSON_KEYS, max_size=4), st.data())
def test_sound_entries_of_a_list_hold_beside_any_keys(keys, data):
    value = base64.b64encode(entry())
    keys.insert(data.draw(st.integers(0, len(keys))), b"i-1")
    rows = [b'{"key": "%b", "value": "%b", "offset": 1}' % (key, value) for key in keys]
    body = b'{"entries": [%b], "end": 3, "more_pages": true}' % b",".join(rows)

    async def follow():
        http = OneAnswer(body, b'{"entries": [], "end": 3}')
        source = store.endpoint_source(StoreClient(http, None))
        with logbook.TestHandler() as lines:
            page = await source.newest()
        known = Knowledge(lambda table: None, lambda: None)
        known.apply_listing(page)
        return http, lines.records, known

    http, lines, known = asyncio.run(follow())
    assert "i-1" in known.endpoints.entries
    assert http.paths[1].isascii()
    assert msgspec.msgpack.encode(known.snapshot())
    for line in lines:
        assert json.loads(format_record(line, None))["reason"]
    for name in known.endpoints.entries:
        assert "\\" not in name


@pytest.mark.parametrize("key", [b"\xff", b"\xed\xa0\x80"])
def test_a_key_of_no_text_names_no_endpoint(key):
    """Such a key is kept and logged with escapes."""
    known, _ = apply_reads(read_answer((key, entry()), (b"i-1", entry())))
    assert list(known.endpoints.entries) == ["i-1"]


@pytest.mark.parametrize("field", ["service", "zone", "version"])
def test_an_entry_with_control_characters_is_logged_once(field):
    bad = read_answer((b"i-1", entry(**{field: "x\r\n\x1b[2J"})))
    with logbook.TestHandler() as lines:
        apply_reads(bad, bad)
    (line,) = [json.loads(format_record(item, None)) for item in lines.records]
    assert (line["event"], line["key"]) == ("unreadable record", "i-1")
    assert field in line["reason"]


@pytest.mark.parametrize(
    "address", ["0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80"]
)
def test_an_address_of_no_host_is_no_endpoint(address):
    """Connections to 0.0.0.0 reach the router itself."""
    with pytest.raises(SourceError):
        records.decode_endpoint("i-1", entry(address=address), 0.0)


def test_an_entry_named_like_an_incarnation_hides_none():
    rows = [(b"i-1~5", entry()), (b"i-1", entry(born=5)), (b"i-1~5~0", entry())]
    known, _ = apply_reads(read_answer(*rows))
    endpoints = known.endpoints.usable("s")
    assert len({item.id for item in endpoints}) == 3
    for item in endpoints:
        assert known.endpoints.registered(item.id) == item


@pytest.mark.parametrize("missing", [1, 2, 3])
def test_a_read_that_ends_within_the_size_of_a_record_is_a_failed_read(missing):
    body = read_answer((b"i-1", entry())) + bytes(4 - missing)
    with pytest.raises(SourceError):
        asyncio.run(StoreClient(OneAnswer(body), None).read("t", 0, 0.0))


@pytest.mark.parametrize(
    ("part", "field", "value"),
    [
        ("", "version", 10**30),
        ("", "version", -1),
        ("routes", "timeout_ms", 1e308),
        ("routes", "target_latency_ms", -1),
        ("routes", "priority", 10**30),
        ("routes", "max_attempts", 10**30),
        ("routes", "name", "r\n"),
        ("routes", "backends", [{"service": "s", "weight": 1e308}]),
        ("services", "name", "s" * 300),
        ("services", "max_connections", 10**30),
        ("services", "cold_per_s", 1e308),
        ("services", "engine", {"kv_capacity_tokens": 10**30}),
        ("limits", "tokens_per_s", 1e308),
        ("limits", "idle_timeout_ms", 1e308),
        ("limits", "max_body_bytes", 10**30),
        ("tenants", "name", "alder\r\nX-Other: 1"),
        ("tenants", "priority", 10**30),
    ],
)
def test_a_configuration_that_can_not_be_applied_is_unreadable(part, field, value):
    """Its numbers are sent to peers, and its names to endpoints."""
    document = json.loads(json.dumps(CONFIGURATION))
    assert records.decode_routes(json.dumps(document).encode()).version == 5
    changed = document[part] if part else document
    changed = changed[0] if isinstance(changed, list) else changed
    changed[field] = value
    with pytest.raises(SourceError):
        records.decode_routes(json.dumps(document).encode())


def test_an_answer_nested_too_deeply_is_a_failed_read():
    body = b'{"entries": [], "end": 3, "x": ' + NESTED + b"}"
    with pytest.raises(SourceError):
        asyncio.run(StoreClient(OneAnswer(body), None).newest("t"))
    with pytest.raises(SourceError):
        records.decode_routes(b'{"version": 1, "x": ' + NESTED + b"}")


def test_log_lines_on_unreadable_records_are_bounded():
    rows = [Record(f"k-{number}", b"{") for number in range(MAX_REMEMBERED_KEYS + 50)]

    async def read_often():
        source = store.endpoint_source(StoreClient(OneAnswer(), None))
        for _ in range(5):
            source._decoded(Page(rows, 0))

    with logbook.TestHandler() as lines:
        asyncio.run(read_often())
    assert len(lines.records) == MAX_REMEMBERED_KEYS
