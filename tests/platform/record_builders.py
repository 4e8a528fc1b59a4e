"""Builders of records in the format of the platform's store."""

from __future__ import annotations

import json

#: Required fields of an endpoint registration.
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "active",
    "cold_remaining_ms": 0,
    "call_seq": 1,
}


def entry(**fields):
    """Return an encoded registration with the given fields replaced."""
    return json.dumps({**ENTRY, **fields}).encode()
