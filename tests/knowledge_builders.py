"""Builders of what routers know, for tests."""

from __future__ import annotations

import asyncio

from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.state.routes import CallerLimits, RouteTable


def table(version):
    return RouteTable(version, (), {}, {}, {}, CallerLimits(), 0.0)


def in_loop(work):
    async def run():
        return await work()

    return asyncio.run(run())


def knowledge(**callbacks):
    """Return what a router knows, nothing yet, and the versions that it takes."""
    taken = []
    made = Knowledge(lambda item: taken.append(item.version), lambda: None, **callbacks)
    return made, taken
