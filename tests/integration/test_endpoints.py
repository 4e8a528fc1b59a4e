"""Endpoints that break, cross, fall silent, fail or leave."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.client import chat, get_json, post_json
from benchmarks.fleet import Fleet, key_of, start_deployment
from carawayfold.protocol.objects import from_message
from carawayfold.state.configuration import Endpoint
from tests.builders import SMALL

ENGINES = ("survey-1", "survey-2")


def ask(fleet, tokens=12, router=0, **options):
    port = fleet.routers[router].port
    return chat(port, key_of("alder"), "survey", tokens, **options)


async def set_faults(fleet, faults, engines=ENGINES):
    for name in engines:
        await post_json(fleet.endpoints[name].port, "/faults", faults)


async def with_faults(fleet, faults, engines=ENGINES, **options):
    """Return the reply to a request while `engines` have `faults`."""
    await set_faults(fleet, faults, engines)
    try:
        return await ask(fleet, **options)
    finally:
        await set_faults(fleet, {}, engines)


def test_broken_stream_is_resumed_without_gap_or_repeat(shared_fleet):
    reply = asyncio.run(with_faults(shared_fleet, {"break_after": 5}))
    assert reply.is_whole_stream(12)


def test_broken_stream_that_can_not_be_resumed_ends_with_an_error(shared_fleet):
    faults = {"break_after": 5, "no_resume": True}
    reply = asyncio.run(with_faults(shared_fleet, faults))
    assert not reply.complete
    assert b'"kind":"answer-broken"' in reply.body
    assert b"[DONE]" not in reply.body


def test_answer_to_another_request_never_reaches_the_caller(shared_fleet):
    reply = asyncio.run(with_faults(shared_fleet, {"crossed": True}))
    assert reply.refused
    assert b"w1" not in reply.body


def test_repeatable_request_is_tried_elsewhere(shared_fleet):
    faults = {"fail": True}
    reply = asyncio.run(with_faults(shared_fleet, faults, ENGINES[:1]))
    assert reply.is_whole_stream(12)


def test_request_to_a_silent_endpoint_is_tried_elsewhere(processes):
    async def scenario():
        fleet = Fleet(processes, {"silence": 0.5})
        await start_deployment(fleet, SMALL)
        await set_faults(fleet, {"silent": True}, ENGINES[:1])
        return await asyncio.gather(*(ask(fleet) for _ in range(4)))

    replies = asyncio.run(scenario())
    assert all(reply.is_whole_stream(12) for reply in replies)


def test_caller_that_goes_away_cancels_the_work(shared_fleet):
    async def scenario():
        before = await cancelled(shared_fleet)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(ask(shared_fleet, tokens=5000), 0.5)
        while await cancelled(shared_fleet) == before:
            await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(scenario(), 30))


async def cancelled(fleet):
    lists = [await get_json(fleet.endpoints[n].port, "/ran") for n in ENGINES]
    return sum(record["end"] == "cancelled" for ran in lists for record in ran)


async def runs_at(fleet, name):
    return len(await get_json(fleet.endpoints[name].port, "/ran"))


async def until_unused(fleet, name):
    """Return once ten requests in a row went elsewhere."""
    while True:
        before = await runs_at(fleet, name)
        for number in range(10):
            await ask(fleet, tokens=1, router=number % 2)
        if await runs_at(fleet, name) == before:
            return


def test_leaving_endpoint_gets_no_new_work(small_fleet):
    async def scenario():
        running = asyncio.create_task(ask(small_fleet, tokens=200))
        await small_fleet.list_endpoint("survey-1", "north", "leaving")
        await until_unused(small_fleet, "survey-1")
        before = await runs_at(small_fleet, "survey-1")
        replies = [await ask(small_fleet, 1, number % 2) for number in range(20)]
        return await running, replies, await runs_at(small_fleet, "survey-1") - before

    running, replies, more = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert running.is_whole_stream(200)
    assert all(reply.is_whole_stream(1) for reply in replies)
    # At most the request that was running when the endpoint began to leave.
    assert more <= 1


def test_operators_drain_takes_an_endpoint_out(small_fleet):
    async def scenario():
        from benchmarks.fleet import ask as administer
        from carawayfold.protocol import admin_pb2

        request = admin_pb2.ListRequest(kind="endpoint")
        listed = await administer(small_fleet.routers[1].peer_port, "List", request)
        entries = {e.object.endpoint.id: e for e in listed.entries}
        entry = entries["survey-2"]
        item = from_message(entry.object)
        drained = Endpoint(
            **{name: getattr(item, name) for name in item.__struct_fields__[:-1]},
            draining=True,
        )
        reply = await small_fleet.put(drained, entry.revision)
        await until_unused(small_fleet, "survey-2")
        return reply

    reply = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert reply.state == 1
