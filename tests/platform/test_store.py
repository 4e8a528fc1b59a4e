"""Calls of the store before and after it is restored from a copy."""

from __future__ import annotations

import asyncio
import struct

import msgspec
import pytest

from carawayfold.platform.store import MAX_LISTED_BYTES, StoreClient
from carawayfold.protocol.sources import RecordsNotRetained, SourceError
from carawayfold.state.positions import OFFSET_BITS, position
from carawayfold.transport.client import Answer, Head


class FakeHttp:
    """HTTP client that returns the given (era, body) pairs in order."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.paths = []

    async def fetch(self, address, method, path, body, timeout):
        self.paths.append(path)
        era, answer = self.answers.pop(0)
        headers = {} if era is None else {"store-era": era}
        return Answer(Head(200, headers), answer)


def page(end, **other):
    fields = {"entries": [], "end": end, "more_pages": False, **other}
    return msgspec.json.encode(fields)


RECORDS = struct.pack(">QQ", 8, 0) + struct.pack(">I", 4) + b"\x01kv!"


def test_positions_contain_the_era_of_the_store():
    http = FakeHttp(("2", page(7)), ("2", RECORDS))
    client = StoreClient(http, None)
    listed = asyncio.run(client.newest("t"))
    assert listed.next == position(2, 7)
    assert asyncio.run(client.read("t", listed.next, 0.5)).next == position(2, 8)
    assert "from=7&" in http.paths[1]


def test_store_without_an_era_header_is_in_era_zero():
    http = FakeHttp((None, page(7)))
    assert asyncio.run(StoreClient(http, None).newest("t")).next == 7


def test_read_in_another_era_raises_history_lost():
    client = StoreClient(FakeHttp(("2", RECORDS)), None)
    with pytest.raises(RecordsNotRetained):
        asyncio.run(client.read("t", position(1, 7), 0.5))


def test_list_interrupted_by_a_restore_raises_history_lost():
    entry = {"key": "k", "value": "", "offset": 1}
    first = page(7, entries=[entry], more_pages=True)
    client = StoreClient(FakeHttp(("1", first), ("2", page(5))), None)
    with pytest.raises(RecordsNotRetained):
        asyncio.run(client.newest("t"))


@pytest.mark.parametrize("era", ["later", "", "-1", "²", "٣", "9" * 8, "9" * 5000])
def test_an_era_that_is_no_number_or_too_great_raises_source_error(era):
    """Positions are sent to peers, in numbers of 64 bits."""
    client = StoreClient(FakeHttp((era, page(7))), None)
    with pytest.raises(SourceError):
        asyncio.run(client.newest("t"))


@pytest.mark.parametrize("end", [-1, 1 << OFFSET_BITS])
def test_an_end_that_is_no_offset_raises_source_error(end):
    client = StoreClient(FakeHttp(("0", page(end))), None)
    with pytest.raises(SourceError):
        asyncio.run(client.newest("t"))


#: Calls after which a list counts as endless.
MAX_CALLS = 50


class RepeatingHttp:
    """HTTP client that returns one answer for ever.

    Attributes
    ----------
    calls : int
        Number of calls.
    """

    def __init__(self, make_body):
        self.make_body = make_body
        self.calls = 0

    async def fetch(self, address, method, path, body, timeout):
        self.calls += 1
        assert self.calls < MAX_CALLS
        return Answer(Head(200, {}), self.make_body(self.calls))


def large_page(number):
    entry = {"key": f"k{number}", "value": "x" * (1 << 20), "offset": 1}
    return page(7, entries=[entry], more_pages=True)


def same_page(number):
    entry = {"key": "k", "value": "", "offset": 1}
    return page(7, entries=[entry], more_pages=True)


@pytest.mark.parametrize("make_body", [large_page, same_page])
def test_a_list_without_end_fails(make_body):
    http = RepeatingHttp(make_body)
    with pytest.raises(SourceError):
        asyncio.run(StoreClient(http, None).newest("t"))
    assert http.calls * len(make_body(1)) < 2 * MAX_LISTED_BYTES


@pytest.mark.parametrize(("end", "complete"), [(1, True), (5, False)])
def test_a_read_tells_whether_it_reached_the_end_of_the_log(end, complete):
    record = bytes([1]) + b"k" + b"{}"
    body = struct.pack(">QQ", end, 0) + struct.pack(">I", len(record)) + record

    class OneRead:
        async def fetch(self, address, method, path, body, timeout):
            return Answer(Head(200, {}), answer)

    answer = body
    page = asyncio.run(StoreClient(OneRead(), None).read("keyed.servers", 0, 0.0))
    assert page.complete is complete


def test_an_empty_page_is_no_end_of_a_list():
    http = FakeHttp((None, page(7, more_pages=True)))
    with pytest.raises(SourceError):
        asyncio.run(StoreClient(http, None).newest("keyed.servers"))
