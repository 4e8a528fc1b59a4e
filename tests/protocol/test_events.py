"""Numbered events of streams."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.protocol.events import EVENT_LIMIT, NumberedEvents

#: Seconds of processor time for an event of the largest size in small reads; a scan of
#: the whole event at each read takes several times as long.
MAX_SCAN_TIME = 2.0
READ = 64


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


def test_an_event_the_caller_already_has_is_dropped():
    events = NumberedEvents(2)
    assert events.feed(event(2) + event(2) + event(3)) == event(3)


def test_events_of_a_run_that_began_anew_are_not_joined_to_those_before():
    """A run that repeats earlier events is another one, also after them."""
    with pytest.raises(ValueError, match="go back"):
        NumberedEvents(2).feed(event(1) + event(2) + event(3))


@pytest.mark.parametrize("number", [1, 2])
def test_numbers_that_go_back_are_an_error(number):
    events = NumberedEvents(None)
    events.feed(event(1) + event(2) + event(3))
    with pytest.raises(ValueError, match="go back"):
        events.feed(event(number))


def test_incomplete_event_is_buffered():
    events = NumberedEvents(None)
    assert events.feed(event(1) + b"id: 2\nda") == event(1)
    assert events.rest


@pytest.mark.parametrize("line", [b"data: x\n", b"data: x\r\n"])
def test_an_event_without_end_is_scanned_once(line):
    events = NumberedEvents(None)
    began = time.process_time()
    with pytest.raises(ValueError, match="too many bytes"):
        for _ in range(2 * EVENT_LIMIT // READ):
            events.feed(line * (READ // len(line)))
    assert time.process_time() - began < MAX_SCAN_TIME


ENDLESS = {
    "comments": b": alive\n\n",
    "empty events": b"\n\n",
    "events without numbers": b"data: x\n\n",
    "events with another field": b"event: x\ndata: y\n\n",
    "the same event": event(1),
    "numbers that are too long": b"id: " + b"9" * 5000 + b"\n\n",
}


@pytest.mark.parametrize("endless", ENDLESS.values(), ids=ENDLESS)
def test_bytes_without_a_new_event_are_bounded(endless):
    events = NumberedEvents(None)
    events.feed(event(1))
    with pytest.raises(ValueError, match="too many bytes"):
        for _ in range(2 * EVENT_LIMIT // len(endless)):
            events.feed(endless)


def test_comments_between_events_are_forwarded():
    events = NumberedEvents(None)
    comments = b": alive\n\n" * 10
    for number in range(1, EVENT_LIMIT // len(comments) + 100):
        sent = event(number) + comments
        assert events.feed(sent) == sent


def test_comments_are_withheld_until_the_first_event():
    events = NumberedEvents(None)
    assert events.feed(b": alive\n\n") == b""
    assert events.feed(event(1) + b": alive\n\n") == (
        b": alive\n\n" + event(1) + b": alive\n\n"
    )


def test_a_stream_without_numbers_is_returned_at_its_end():
    events = NumberedEvents(None)
    assert events.feed(b"data: x\n\n") == b""
    assert events.take_withheld() == b"data: x\n\n"


@given(st.lists(st.integers(1, 90), max_size=12))
def test_terminators_split_anywhere_are_found(cuts):
    stream = b"id: 1\r\n\r\nid: 2\n\nid: 3\r\n\nid: 4\n\r\nid: 5\r\ndata: x\r\n\r\n"
    events = NumberedEvents(None)
    passed = b""
    before = 0
    for place in sorted({min(cut, len(stream)) for cut in [*cuts, len(stream)]}):
        passed += events.feed(stream[before:place])
        before = place
    assert (passed, events.last, bytes(events.rest)) == (stream, 5, b"")
