"""Log lines: one JSON object an event."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from logbook import Handler, LogRecord

encoder = msgspec.json.Encoder(enc_hook=repr)


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


def set_up(level: str) -> None:
    """Write log lines of `level` and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()
