"""Numbered events of streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawayfold.protocol.events import NumberedEvents


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


@given(st.lists(st.integers(1, 60), max_size=12))
def test_stream_split_anywhere_gives_the_same_events(cuts):
    stream = b"".join(event(number) for number in range(1, 6))
    places = sorted({min(cut, len(stream)) for cut in cuts})
    events = NumberedEvents(None)
    passed = b""
    before = 0
    for place in [*places, len(stream)]:
        passed += events.feed(stream[before:place])
        before = place
    assert passed == stream
    assert events.last == 5
    assert events.rest == b""


def test_events_the_caller_already_has_are_dropped():
    events = NumberedEvents(2)
    passed = events.feed(event(1) + event(2) + event(3))
    assert passed == event(3)


def test_incomplete_event_is_buffered():
    events = NumberedEvents(None)
    assert events.feed(event(1) + b"id: 2\nda") == event(1)
    assert events.rest
