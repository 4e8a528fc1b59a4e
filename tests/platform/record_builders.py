"""Builders of records as the platform's store holds them."""

from __future__ import annotations

import json

#: Fields that each registration of an endpoint has.
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
    """Return the bytes of a registration with some fields changed."""
    return json.dumps({**ENTRY, **fields}).encode()
