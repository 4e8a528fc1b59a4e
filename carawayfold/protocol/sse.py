"""Splitting and counting of server-sent events in model streams."""

from __future__ import annotations

#: Terminator of an event.
EVENT_END = b"\n\n"
#: Closing event of a stream, without its terminator.
DONE = b"data: [DONE]"
#: Maximum size of an incomplete event, in bytes.
EVENT_LIMIT = 1 << 20


class EventScanner:
    """Splits a stream into complete events.

    Only complete events are passed on, so that an interrupted stream can be resumed
    at the next event without gaps or duplicates.

    Attributes
    ----------
    events : int
        Number of complete events.
    finished : bool
        Whether the closing event has been received.
    """

    def __init__(self) -> None:
        self.events = 0
        self.finished = False
        self.rest = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the complete events.

        Raises
        ------
        ValueError
            If an event exceeds `EVENT_LIMIT`, or data follows the closing event.
        """
        # A terminator may have begun in the bytes received before.
        searched = max(0, len(self.rest) - len(EVENT_END) + 1)
        if self.rest or not data.endswith(EVENT_END):
            self.rest += data
            data = self._take_complete(searched)
        if len(self.rest) > EVENT_LIMIT:
            raise ValueError("an event is too large")
        if data:
            self._count(data)
        return data

    def _take_complete(self, searched: int) -> bytes:
        """Remove the complete events from `rest` and return them."""
        end = self.rest.rfind(EVENT_END, searched)
        if end < 0:
            return b""
        cut = end + len(EVENT_END)
        complete = bytes(self.rest[:cut])
        del self.rest[:cut]
        return complete

    def _count(self, data: bytes) -> None:
        if self.finished:
            raise ValueError("the stream goes on after its closing event")
        self.events += data.count(EVENT_END)
        found = data.rfind(DONE)
        if found < 0:
            return
        if found and not data[:found].endswith(EVENT_END):
            return
        if data[found + len(DONE) :] != EVENT_END:
            raise ValueError("the stream goes on after its closing event")
        self.finished = True

    def discard_incomplete(self) -> None:
        """Discard the bytes of an incomplete event before the stream is resumed."""
        self.rest.clear()
