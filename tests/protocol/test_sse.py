"""Splitting of a stream into complete events."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.protocol.sse import EVENT_LIMIT, EventScanner

#: Seconds of processor time for an event of the largest size in small reads; a copy of
#: the whole event at each read takes several times as long.
MAX_SCAN_TIME = 2.0
READ = 64
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


def test_an_event_without_end_is_scanned_once():
    scanner = EventScanner()
    began = time.process_time()
    with pytest.raises(ValueError, match="too large"):
        for _ in range(2 * EVENT_LIMIT // READ):
            scanner.feed(b"x" * READ)
    assert time.process_time() - began < MAX_SCAN_TIME
