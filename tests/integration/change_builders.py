"""Configurations that change in turn, and a request whose body comes slowly."""

from __future__ import annotations

import asyncio

import h11

from benchmarks.hosted import (
    HOST,
    KEY,
    CallAnswer,
    configuration,
    read_answer,
    route,
)

#: Key that only some configurations have.
SECOND_KEY = "second-key"
#: Seconds between the two halves of a body.
BODY_PAUSE = 0.3


def changes_in_turn(version):
    """Return a configuration; the next one differs in another field.

    All of them have the routes ``stream``, ``once`` and ``again`` and the first key.
    The route ``open`` and the second key come and go.
    """
    number = version % 6
    routes = [
        route("stream", "streaming", "model", resumable=True),
        route("once", "non_idempotent", "spare" if number == 1 else "desk"),
        route("again", "idempotent", "desk", timeout_ms=3000 if number == 2 else 8000),
    ]
    if number != 3:
        routes.append(route("open", "idempotent", "desk", anonymous=True))
    if number == 4:
        routes[1] |= {
            "service": "",
            "backends": [
                {"service": "desk", "weight": 0.5},
                {"service": "spare", "weight": 0.5},
            ],
        }
    keys = [KEY] if number == 5 else [KEY, SECOND_KEY]
    known = configuration()
    return configuration(
        version,
        routes=routes,
        services=[*known["services"], {"name": "spare", "max_connections": 100}],
        tenants=[{"name": "alder", "api_keys": keys, "priority": number % 2}],
        limits={
            "tokens_per_s": 50_000 + 10_000 * number,
            "idle_timeout_ms": 4000 + 2000 * number,
        },
    )


async def slow_call(port, path, headers):
    """Return the answer to a request whose body comes in two halves."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        parser = h11.Connection(h11.CLIENT)
        fields = {"Host": HOST, "Content-Length": "8", **headers}
        request = h11.Request(method="POST", target=path, headers=list(fields.items()))
        writer.write(parser.send(request))
        writer.write(parser.send(h11.Data(data=b"body")))
        await asyncio.sleep(BODY_PAUSE)
        writer.write(parser.send(h11.Data(data=b"body")))
        writer.write(parser.send(h11.EndOfMessage()))
        return await read_answer(reader, parser, CallAnswer())
    finally:
        writer.close()
