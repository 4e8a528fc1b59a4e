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


#: Configuration with one item of each kind.
CONFIGURATION = {
    "version": 5,
    "routes": [
        {
            "name": "r",
            "host": "caller.example",
            "path_prefix": "/r/",
            "route_kind": "idempotent",
            "timeout_ms": 1000,
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
    "limits": {},
    "tenants": [{"name": "alder", "api_keys": ["key-of-alder"]}],
}


def configuration(anonymous=False, **fields):
    """Return a configuration with fields replaced, all of its routes `anonymous`."""
    routes = [{**item, "anonymous": anonymous} for item in CONFIGURATION["routes"]]
    return {**CONFIGURATION, "routes": routes, **fields}


#: Directory entry of a router.
PEER = {
    "router": "router-1",
    "data_centre": "north",
    "host": "127.0.0.1",
    "port": 7400,
    "processor": 100,
}
#: Digest of a content, as the key of its verdict has it.
CONTENT = "0123456789abcdef0123456789abcdef"
#: Stored verdict on a content.
VERDICT = {
    "content": CONTENT,
    "organisation": "alder",
    "stamp": 1_760_683_167_168,
    "since": 1_760_683_160.5,
    "held_until": 1_760_684_067.5,
    "endpoints": ["m-1", "m-2~19f0"],
}
#: Nesting that exceeds the recursion limit of decoders.
NESTED = "[" * 5000 + "]" * 5000
#: Fields of a router's entry, as JSON, with which it can't be used.
ODD_PEER_FIELDS = [
    ("port", "70000"),
    ("port", "65536"),
    ("port", "0"),
    ("port", "-1"),
    ("port", "1" + "0" * 30),
    ("port", "9" * 5000),
    ("port", "80.5"),
    ("port", '"80"'),
    ("port", "null"),
    ("host", r'"a\u0000b"'),
    ("host", r'"127.0.0.1\u0000"'),
    ("host", r'"127.0.0.1\n"'),
    ("host", r'"\ud800"'),
    ("host", '"localhost"'),
    ("host", '"router.example"'),
    ("host", '""'),
    ("host", '"é.example"'),
    ("host", '"١27.0.0.1"'),
    ("host", '"256.0.0.1"'),
    ("host", '"010.0.0.1"'),
    ("host", '"127.1"'),
    ("host", '"2130706433"'),
    ("host", '"::1"'),
    ("host", '"0.0.0.0"'),
    ("host", '"224.0.0.1"'),
    ("host", '"255.255.255.255"'),
    ("host", '"' + "1" * 100_000 + '"'),
    ("router", '"router-2"'),
    ("router", '""'),
    ("router", '"content/router-1"'),
    ("router", "7"),
    ("data_centre", r'"north\r\n"'),
    ("data_centre", '"' + "n" * 70_000 + '"'),
    ("processor", "-1"),
    ("processor", "1" + "0" * 400),
    ("processor", "1e999"),
    ("further", NESTED),
]
#: The same for a verdict on a content.
ODD_VERDICT_FIELDS = [
    ("content", '"fedcba98"'),
    ("content", '"summary"'),
    ("content", "5"),
    ("organisation", '"' + "a" * 70_000 + '"'),
    ("organisation", r'"alder\u0000"'),
    ("stamp", "1" + "0" * 30),
    ("stamp", "-1"),
    ("since", "1e308"),
    ("since", "-1e308"),
    ("since", "1e999"),
    ("since", "NaN"),
    ("held_until", "1e308"),
    ("held_until", "null"),
    ("endpoints", '["m-1", 5]'),
    ("endpoints", r'["m\u0000"]'),
    ("endpoints", "[" + ",".join(['"m-1"'] * 5000) + "]"),
    ("endpoints", NESTED),
]
#: Values that are no object with the required fields.
ODD_VALUES = [b"{", b"5", b"[]", b"null", b"\xff\xfe", NESTED.encode(), b"{}"]


def json_object(fields, name, value):
    """Return an encoded object with one field replaced by JSON text."""
    texts = {key: json.dumps(known) for key, known in fields.items()}
    texts[name] = value
    return (
        "{" + ",".join(f'"{key}":{text}' for key, text in texts.items()) + "}"
    ).encode()


def odd_peers(name):
    """Return encoded entries of a router that can't be used, one for each cause."""
    entries = [json_object({**PEER, "router": name}, *odd) for odd in ODD_PEER_FIELDS]
    return [*entries, *ODD_VALUES]
