"""Builders of routers' records for tests."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.state.routes import CallerLimits, KeyPolicy, RouteTable


def table(version):
    return RouteTable(
        version, (), {}, {}, {}, CallerLimits(), 0.0, key_policy=KeyPolicy.NOT_REQUIRED
    )


def run_in_loop(work):
    async def run():
        return await work()

    return asyncio.run(run())


def knowledge(**callbacks):
    """Return an empty `Knowledge`, and the list of the versions put in force there."""
    taken = []
    made = Knowledge(lambda item: taken.append(item.version), lambda: None, **callbacks)
    return made, taken
