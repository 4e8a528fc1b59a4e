"""Lists of engines' caches that can't be used."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.platform.engines import EngineClient
from carawayfold.protocol.exchanges import Part
from carawayfold.protocol.sources import SourceError
from tests.platform.http_builders import OneAnswer
from tests.platform.record_builders import NESTED
from tests.schedule_builders import endpoint


def cached_parts(body):
    client = EngineClient(OneAnswer(body))
    return asyncio.run(client.cached_parts(endpoint("e-1")))


def test_the_parts_of_a_list_are_returned():
    body = b'{"held": [["", "aa", 800, "m"]], "epoch": 1, "next": 2}'
    assert cached_parts(body) == [Part("aa", 800)]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"5",
        b"{",
        b'{"held": 5}',
        b'{"held": [["", "aa", 800]]}',
        b'{"held": [["", "aa", -1, "m"]]}',
        b'{"held": [["", "aa", 1%s, "m"]]}' % (b"0" * 30),
        b'{"held": [["", "aa", %s, "m"]]}' % (b"9" * 5000),
        b'{"held": [["", "\xff", 800, "m"]]}',
        b'{"held": [["", "%s", 800, "m"]]}' % (b"a" * 70_000),
        b'{"held": [], "born": 1%s}' % (b"0" * 30),
        b'{"held": %s}' % NESTED.encode(),
        b'{"held": [], "further": %s}' % NESTED.encode(),
    ],
)
def test_a_list_that_can_not_be_used_is_a_failed_query(body):
    """A list nested too deeply ended the process."""
    with pytest.raises(SourceError):
        cached_parts(body)
