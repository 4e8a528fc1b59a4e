"""Events of a stream that carry growing numbers."""

from __future__ import annotations

import re

#: End of an event.
EVENT_END = re.compile(rb"\r?\n\r?\n")
#: The line of an event that holds its number.
NUMBER = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
#: Most bytes of an unfinished event.
EVENT_LIMIT = 1 << 20


class NumberedEvents:
    """Splits a stream into whole events and drops those the caller has already.

    Attributes
    ----------
    last : int or None
        Number of the last whole event.
    rest : bytes
        Beginning of the next event.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take received bytes and return the whole events among them.

        Raises
        ------
        ValueError
            If an event has no end.
        """
        data = self.rest + data if self.rest else data
        passed: list[bytes] = []
        place = 0
        for end in EVENT_END.finditer(data):
            event = data[place : end.end()]
            place = end.end()
            if self._is_new(event):
                passed.append(event)
        self.rest = data[place:]
        if len(self.rest) > EVENT_LIMIT:
            raise ValueError("an event is too large")
        return b"".join(passed)

    def _is_new(self, event: bytes) -> bool:
        found = NUMBER.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last is not None and number <= self.last:
            return False
        self.last = number
        return True
