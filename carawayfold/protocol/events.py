"""Events of a stream with increasing numbers."""

from __future__ import annotations

import re

#: Terminator of an event.
EVENT_END = re.compile(rb"\r?\n\r?\n")
#: Maximum size of a terminator, in bytes.
MAX_EVENT_END_SIZE = 4
#: Line of an event that contains its number.
EVENT_NUMBER = re.compile(rb"^id:[ ]?(\d{1,18})\r?$", re.MULTILINE)
#: Maximum number of bytes received since the last new event: an incomplete event,
#: comments, and events that the caller already has. The same as for a buffered answer.
EVENT_LIMIT = 262144


class NumberedEvents:
    """Splits a stream into complete events and drops one the caller already has.

    The numbers of a run never decrease: a lower one shows that the endpoint has begun
    anew, so that what follows does not belong to the events before.

    Comments and events without a number are no progress. Those before the first new
    event are withheld, so that a stream that never begins can be refused.

    Attributes
    ----------
    last : int or None
        Number of the last complete event; None before the first.
    begun : bool
        Whether a new event has been received.
    rest : bytearray
        Bytes of the incomplete next event.
    withheld : bytearray
        Comments and events without a number before the first new event.
    unproductive : int
        Bytes of complete events and comments received since the last new event.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last
        self.begun = False
        self.rest = bytearray()
        self.withheld = bytearray()
        self.unproductive = 0

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the complete events.

        Raises
        ------
        ValueError
            If `EVENT_LIMIT` bytes bring no new event, or the numbers go back.
        """
        received: bytes | bytearray = data
        searched = 0
        if self.rest:
            # A terminator may have begun in the bytes received before.
            searched = max(0, len(self.rest) - MAX_EVENT_END_SIZE + 1)
            self.rest += data
            received = self.rest
        passed: list[bytes] = []
        place = 0
        for end in EVENT_END.finditer(received, searched):
            self._handle_event(bytes(received[place : end.end()]), passed)
            place = end.end()
        if received is data:
            self.rest += data[place:]
        else:
            del self.rest[:place]
        if self.unproductive + len(self.rest) > EVENT_LIMIT:
            raise ValueError("too many bytes without a new event")
        return b"".join(passed)

    def take_withheld(self) -> bytes:
        """Return what was withheld, once a stream without new events has ended."""
        withheld = bytes(self.withheld)
        self.withheld.clear()
        return withheld

    def _handle_event(self, event: bytes, passed: list[bytes]) -> None:
        found = EVENT_NUMBER.search(event)
        number = int(found.group(1)) if found is not None else None
        if None not in (number, self.last) and number < self.last:
            raise ValueError(f"the numbers of events go back to {number}")
        if number is not None and (self.last is None or number > self.last):
            self.last = number
            self.begun = True
            self.unproductive = 0
            if self.withheld:
                passed.append(self.take_withheld())
            passed.append(event)
            return
        self.unproductive += len(event)
        if number is None and self.begun:
            passed.append(event)
        elif number is None:
            self.withheld += event
