"""Harmful requests on the product's own interface.

On this interface engines keep their name and address after a restart, and routers
report crashes to each other over their links.
"""

from __future__ import annotations

import asyncio
import json

from benchmarks.client import chat
from benchmarks.fleet import key_of
from standins.hosted import HARMFUL

ENGINES = ("survey-1", "survey-2")
#: Slots of an engine, and seconds for each token.
SLOTS, STEP = 8, 0.01
#: Most engines that one content may crash until every router refuses it: three, and one
#: for each copy that a router sends before it has received the reports.
MAX_CRASHED = 5


def send_harmful(fleet, router):
    port = fleet.routers[router].port
    text = HARMFUL.decode()
    return asyncio.run(chat(port, key_of("alder"), "survey", 4, text=text))


def restart_crashed(fleet):
    """Restart crashed engines under their names, and return how many there were."""
    count = 0
    for name in ENGINES:
        process = fleet.endpoints[name]
        if process.popen.poll() is None:
            continue
        count += 1
        arguments = ("engine", "--port", process.port, "--slots", SLOTS, "--step", STEP)
        fleet.endpoints[name] = fleet.processes.start_standin(name, *arguments)
    return count


def refusal_kind(reply):
    return json.loads(reply.body).get("kind") if reply.status == 503 else None


def test_a_content_that_crashed_engines_is_refused_by_every_router(small_fleet):
    crashed = 0
    refusals = [None, None]
    while refusals != ["harmful-request"] * 2 and crashed <= MAX_CRASHED:
        refusals = [
            refusal_kind(send_harmful(small_fleet, router)) for router in (0, 1)
        ]
        crashed += restart_crashed(small_fleet)
    assert refusals == ["harmful-request"] * 2
    assert crashed <= MAX_CRASHED
    assert [
        refusal_kind(send_harmful(small_fleet, n % 2)) for n in range(4)
    ] == refusals * 2
    assert restart_crashed(small_fleet) == 0


def test_other_chats_are_answered_after_a_crash(small_fleet):
    send_harmful(small_fleet, 0)
    restart_crashed(small_fleet)

    async def served():
        port = small_fleet.routers[1].port
        while True:
            reply = await chat(port, key_of("alder"), "survey", 4)
            if reply.is_whole_stream(4):
                return True
            await asyncio.sleep(0.05)

    assert asyncio.run(asyncio.wait_for(served(), 20))
