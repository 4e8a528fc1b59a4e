"""Endpoints that break or swap answers, stop answering, fail or leave."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.client import chat, get_json, post_json
from benchmarks.fleet import Fleet, key_of, start_deployment
from carawayfold.protocol.objects import from_message
from carawayfold.state.configuration import Endpoint
from tests.builders import SMALL

ENGINES = ("survey-1", "survey-2")


def send_chat(fleet, tokens=12, router=0, **options):
    port = fleet.routers[router].port
    return chat(port, key_of("alder"), "survey", tokens, **options)


async def set_faults(fleet, faults, engines=ENGINES):
    for name in engines:
        await post_json(fleet.endpoints[name].port, "/faults", faults)


async def send_with_faults(fleet, faults, engines=ENGINES, **options):
    """Return the reply to a request sent while `engines` have `faults`."""
    await set_faults(fleet, faults, engines)
    try:
        return await send_chat(fleet, **options)
    finally:
        await set_faults(fleet, {}, engines)


def test_broken_stream_is_resumed_without_gap_or_repeat(shared_fleet):
    reply = asyncio.run(send_with_faults(shared_fleet, {"break_after": 5}))
    assert reply.is_whole_stream(12)


def test_broken_stream_that_can_not_be_resumed_ends_with_an_error(shared_fleet):
    faults = {"break_after": 5, "no_resume": True}
    reply = asyncio.run(send_with_faults(shared_fleet, faults))
    assert not reply.complete
    assert b'"kind":"answer-broken"' in reply.body
    assert b"[DONE]" not in reply.body


def test_answer_to_another_request_never_reaches_the_caller(shared_fleet):
    reply = asyncio.run(send_with_faults(shared_fleet, {"crossed": True}))
    assert reply.refused
    assert b"w1" not in reply.body


def test_repeatable_request_is_retried_elsewhere(shared_fleet):
    faults = {"fail": True}
    reply = asyncio.run(send_with_faults(shared_fleet, faults, ENGINES[:1]))
    assert reply.is_whole_stream(12)


def test_request_to_a_silent_endpoint_is_retried_elsewhere(processes):
    async def scenario():
        fleet = Fleet(processes, {"silence": 0.5})
        await start_deployment(fleet, SMALL)
        await set_faults(fleet, {"silent": True}, ENGINES[:1])
        return await asyncio.gather(*(send_chat(fleet) for _ in range(4)))

    replies = asyncio.run(scenario())
    assert all(reply.is_whole_stream(12) for reply in replies)


def test_request_is_cancelled_when_its_caller_disconnects(shared_fleet):
    async def scenario():
        before = await cancelled_count(shared_fleet)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(send_chat(shared_fleet, tokens=5000), 0.5)
        while await cancelled_count(shared_fleet) == before:
            await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(scenario(), 30))


async def cancelled_count(fleet):
    lists = [await get_json(fleet.endpoints[n].port, "/ran") for n in ENGINES]
    return sum(record["end"] == "cancelled" for ran in lists for record in ran)


async def run_count(fleet, name):
    return len(await get_json(fleet.endpoints[name].port, "/ran"))


async def wait_until_unused(fleet, name):
    """Wait until ten consecutive requests have reached other endpoints."""
    while True:
        before = await run_count(fleet, name)
        for number in range(10):
            await send_chat(fleet, tokens=1, router=number % 2)
        if await run_count(fleet, name) == before:
            return


def test_leaving_endpoint_gets_no_new_work(small_fleet):
    async def scenario():
        running = asyncio.create_task(send_chat(small_fleet, tokens=200))
        await small_fleet.list_endpoint("survey-1", "north", "leaving")
        await wait_until_unused(small_fleet, "survey-1")
        before = await run_count(small_fleet, "survey-1")
        replies = [await send_chat(small_fleet, 1, number % 2) for number in range(20)]
        return await running, replies, await run_count(small_fleet, "survey-1") - before

    running, replies, added_runs = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert running.is_whole_stream(200)
    assert all(reply.is_whole_stream(1) for reply in replies)
    # At most the request that was running when the endpoint started to leave.
    assert added_runs <= 1


def test_endpoint_drained_by_an_operator_is_not_used(small_fleet):
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
        await wait_until_unused(small_fleet, "survey-2")
        return reply

    reply = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert reply.state == 1
