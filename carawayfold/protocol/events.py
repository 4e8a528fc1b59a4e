"""Events of a stream with increasing numbers."""

from __future__ import annotations

import re

#: Terminator of an event.
EVENT_END = re.compile(rb"\r?\n\r?\n")
#: Line of an event that contains its number.
EVENT_NUMBER = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
#: Maximum size of an incomplete event, in bytes.
EVENT_LIMIT = 1 << 20


class NumberedEvents:
    """Splits a stream into complete events and drops those the caller already has.

    Attributes
    ----------
    last : int or None
        Number of the last complete event; None before the first.
    rest : bytes
        Bytes of the incomplete next event.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the complete events.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `EVENT_LIMIT`.
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
        found = EVENT_NUMBER.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last is not None and number <= self.last:
            return False
        self.last = number
        return True
