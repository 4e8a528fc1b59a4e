"""Format of log lines."""

from __future__ import annotations

import json

import logbook

from carawayfold.commands import logs


def test_a_line_is_one_json_object_with_its_fields(capsys):
    handler = logbook.TestHandler()
    with handler.applicationbound():
        extra = {"request": "r-1", "organisation": "alder", "end": object()}
        logbook.Logger("carawayfold.test").info("request ended", extra=extra)
    line = logs.format_record(handler.records[0], handler)
    fields = json.loads(line)
    assert "\n" not in line
    assert fields["event"] == "request ended"
    assert fields["request"] == "r-1"
    assert fields["organisation"] == "alder"
    assert fields["level"] == "info"
