"""Splitting of a stream into complete events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.protocol.sse import EventScanner

STREAM = b"".join(b'data: {"n": %d}\n\n' % n for n in range(5)) + b"data: [DONE]\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_stream_split_anywhere_gives_the_same_events(cuts):
    scanner = EventScanner()
    edges = [0, *sorted(cuts), len(STREAM)]
    parts = [
        scanner.feed(STREAM[start:end])
        for start, end in zip(edges, edges[1:], strict=False)
        if end > start
    ]
    assert b"".join(parts) == STREAM
    assert scanner.events == 6
    assert scanner.finished


@given(st.integers(0, len(STREAM) - 1))
def test_truncated_stream_is_not_finished(end):
    scanner = EventScanner()
    passed = scanner.feed(STREAM[:end])
    assert not scanner.finished
    assert STREAM.startswith(passed)
    assert passed == b"" or passed.endswith(b"\n\n")


def test_data_after_the_closing_event_is_an_error():
    scanner = EventScanner()
    scanner.feed(STREAM)
    with pytest.raises(ValueError, match="goes on"):
        scanner.feed(b"data: more\n\n")


def test_closing_text_inside_an_event_does_not_finish_the_stream():
    scanner = EventScanner()
    scanner.feed(b'data: {"text": "data: [DONE]"}\n\n')
    assert not scanner.finished
