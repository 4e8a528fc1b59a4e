"""Log output: one JSON object per event, limited in rate and never blocking."""

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

json_encoder = msgspec.json.Encoder(enc_hook=repr)

#: Most log lines per second in the long run: two lines per request at twice the
#: request rate of the busiest router.
MAX_LINES_PER_SECOND = 200.0
#: Most lines in a burst; lines beyond it are dropped, those below warning first.
MAX_BURST_LINES = 1000.0
#: Lines of a burst reserved for warnings and errors.
RESERVED_WARNING_LINES = 100.0
#: Buffered bytes above which new lines are dropped while the reader is slow.
MAX_PENDING_BYTES = 131072


def format_record(record: LogRecord, _handler: Handler) -> str:
    """Return a record as a JSON object on one line."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "logger": record.channel,
        "event": record.message,
        **record.extra,
    }
    if record.exc_info:
        fields["trace"] = record.formatted_exception
    return json_encoder.encode(fields).decode()


class BoundedOutput(logbook.Handler):
    """Log handler that writes to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor : int
        Where to write; made non-blocking.
    level : str
        Lowest level written.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start, because of the rate limit or a slow reader. The
        next line written has the number dropped before it.
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
        self.allowance = MAX_BURST_LINES
        self.refilled_at = clock()
        self.pending = bytearray()
        self.dropped = 0
        self.reported = 0

    def emit(self, record: LogRecord) -> None:
        """Write a record, or drop it if the rate or the buffer is exceeded."""
        if not self._allows(record.level >= logbook.WARNING):
            self.dropped += 1
            return
        if self.dropped > self.reported:
            record.extra["left_out_before"] = self.dropped - self.reported
            self.reported = self.dropped
        self.pending += format_record(record, self).encode() + b"\n"
        self._flush()

    def _allows(self, important: bool) -> bool:
        now = self.clock()
        refill = (now - self.refilled_at) * MAX_LINES_PER_SECOND
        self.allowance = min(MAX_BURST_LINES, self.allowance + refill)
        self.refilled_at = now
        required = 1.0 if important else RESERVED_WARNING_LINES
        if self.allowance < required or len(self.pending) > MAX_PENDING_BYTES:
            return False
        self.allowance -= 1.0
        return True

    def _flush(self) -> None:
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the descriptor; there is nowhere to report this.
            self.dropped += self.pending.count(b"\n")
            written = len(self.pending)
        del self.pending[:written]


def set_up(level: str) -> None:
    """Write log lines of `level` and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()


def set_up_bounded(level: str) -> BoundedOutput:
    """Write log lines of `level` and above to standard output, limited in rate.

    Never blocks; see `BoundedOutput`.
    """
    handler = BoundedOutput(sys.stdout.fileno(), level)
    handler.push_application()
    return handler
