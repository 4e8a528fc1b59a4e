"""Server-sent events of model streams: whole events only, counted."""

from __future__ import annotations

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
#: Most bytes of one event.
EVENT_LIMIT = 1 << 20


class EventScanner:
    """Splits a stream into whole events.

    Only whole events are passed on, so that a broken stream can be resumed at the
    next one without a gap or a repeat.

    Attributes
    ----------
    events : int
        Whole events seen.
    finished : bool
        Whether the closing event was seen.
    """

    def __init__(self) -> None:
        self.events = 0
        self.finished = False
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take received bytes and return those that complete events.

        Raises
        ------
        ValueError
            If an event is too large, or something follows the closing event.
        """
        data = self.rest + data if self.rest else data
        if data.endswith(EVENT_END):
            self.rest = b""
        else:
            end = data.rfind(EVENT_END)
            cut = end + len(EVENT_END) if end >= 0 else 0
            self.rest = data[cut:]
            data = data[:cut]
        if len(self.rest) > EVENT_LIMIT:
            raise ValueError("an event is too large")
        if data:
            self._count(data)
        return data

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

    def drop_rest(self) -> None:
        """Forget the bytes of an unfinished event before a resume."""
        self.rest = b""
