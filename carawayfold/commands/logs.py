"""Log lines: one JSON object an event, bounded in volume and never blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from logbook import Handler, LogRecord

encoder = msgspec.json.Encoder(enc_hook=repr)

#: Lines a second that a router writes at most over a while: two lines a request at
#: twice the requests a second of the busiest router that was measured.
LINES_PER_SECOND = 200.0
#: Lines that may come at once, and above which the least important are left out.
LINES_AT_ONCE = 1000.0
#: Lines that are kept for warnings and errors when others have used theirs up.
KEPT_FOR_WARNINGS = 100.0
#: Most bytes that wait for a reader that is slow.
PENDING_LIMIT = 131072


def format_record(record: LogRecord, _handler: Handler) -> str:
    """Return a record as one line of JSON."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "logger": record.channel,
        "event": record.message,
        **record.extra,
    }
    if record.exc_info:
        fields["trace"] = record.formatted_exception
    return encoder.encode(fields).decode()


class BoundedOutput(logbook.Handler):
    """Writes to a file descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Where to write; set to not block.
    level : str
        Least level written.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    left_out : int
        Lines left out since the start, because there were too many or the reader
        was too slow. The next line that is written says how many were before it.
    """

    def __init__(
        self,
        descriptor: int,
        level: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(level=level.upper())
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.allowance = LINES_AT_ONCE
        self.refilled = clock()
        self.pending = bytearray()
        self.left_out = 0
        self.told = 0

    def emit(self, record: LogRecord) -> None:
        """Write a record if the bounds allow it."""
        if not self._allows(record.level >= logbook.WARNING):
            self.left_out += 1
            return
        if self.left_out > self.told:
            record.extra["left_out_before"] = self.left_out - self.told
            self.told = self.left_out
        self.pending += format_record(record, self).encode() + b"\n"
        self._flush()

    def _allows(self, important: bool) -> bool:
        now = self.clock()
        earned = (now - self.refilled) * LINES_PER_SECOND
        self.allowance = min(LINES_AT_ONCE, self.allowance + earned)
        self.refilled = now
        least = 1.0 if important else KEPT_FOR_WARNINGS
        if self.allowance < least or len(self.pending) > PENDING_LIMIT:
            return False
        self.allowance -= 1.0
        return True

    def _flush(self) -> None:
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            self.left_out += self.pending.count(b"\n")
            written = len(self.pending)
        del self.pending[:written]


def set_up(level: str) -> None:
    """Write log lines of `level` and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()


def set_up_bounded(level: str) -> BoundedOutput:
    """Write log lines of `level` and above to standard output, within bounds."""
    handler = BoundedOutput(sys.stdout.fileno(), level)
    handler.push_application()
    return handler
