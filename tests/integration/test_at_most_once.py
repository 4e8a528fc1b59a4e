"""Requests that may not be repeated, under failure."""

from __future__ import annotations

import asyncio

from benchmarks.client import call, get_json, post_json
from benchmarks.fleet import key_of


def order(fleet, router, name, work_ms=20, request_id="", timeout=60.0):
    headers = {"Idempotency-Key": name, "X-Request-Id": request_id or name}
    port = fleet.routers[router].port
    return call(port, key_of("alder"), "desk", work_ms, headers, timeout)


async def times_run(fleet, *request_ids):
    records = await get_json(fleet.endpoints["desk-1"].port, "/ran")
    return [
        record["request_id"]
        for record in records
        if record["request_id"] in request_ids
    ]


def test_same_key_at_two_routers_at_once_runs_once(shared_fleet):
    async def scenario():
        replies = await asyncio.gather(
            *(order(shared_fleet, n % 2, "twice", 200, f"twice-{n}") for n in range(8))
        )
        ran = await times_run(shared_fleet, *(f"twice-{n}" for n in range(8)))
        again = await order(shared_fleet, 1, "twice", 200, "twice-9")
        return replies, ran, again

    replies, ran, again = asyncio.run(scenario())
    assert len(ran) == 1
    whole = [reply for reply in replies if reply.status == 200]
    others = [reply for reply in replies if reply.status != 200]
    assert len(whole) == 1
    assert {reply.json()["kind"] for reply in others} == {"in-progress"}
    assert all("retry-after" in reply.headers for reply in others)
    assert again.status == 200
    assert again.json()["request_id"] == ran[0]
    assert again.headers["idempotent-replayed"] == "true"


def test_key_used_for_another_request_is_refused(shared_fleet):
    async def scenario():
        await order(shared_fleet, 0, "reused", 5)
        return await order(shared_fleet, 1, "reused", 6)

    reply = asyncio.run(scenario())
    assert reply.json()["kind"] == "key-reused"
    assert reply.json()["ran"] == "no"


def test_log_down_refuses_and_never_runs(shared_fleet):
    async def scenario():
        await post_json(shared_fleet.log.port, "/faults", {"down": True})
        refused = await order(shared_fleet, 0, "outage")
        await post_json(shared_fleet.log.port, "/faults", {"down": False})
        ran = await times_run(shared_fleet, "outage")
        retried = await order(shared_fleet, 1, "outage", request_id="outage-2")
        while retried.status != 200 and retried.json()["ran"] == "no":
            await asyncio.sleep(0.2)
            retried = await order(shared_fleet, 1, "outage", request_id="outage-2")
        both = await times_run(shared_fleet, "outage", "outage-2")
        return refused, ran, retried, both

    refused, ran, retried, both = asyncio.run(scenario())
    assert refused.json()["kind"] == "log-unavailable"
    assert refused.json()["ran"] == "no"
    assert int(refused.headers["retry-after"]) > 0
    assert ran == []
    assert retried.status == 200
    assert both == ["outage-2"]


def test_lost_append_answers_run_the_request_once(shared_fleet):
    async def scenario():
        await post_json(shared_fleet.log.port, "/faults", {"lost": True})
        reply = await order(shared_fleet, 0, "lost")
        await post_json(shared_fleet.log.port, "/faults", {"lost": False})
        repeat = await order(shared_fleet, 1, "lost")
        return reply, repeat, await times_run(shared_fleet, "lost")

    reply, repeat, ran = asyncio.run(scenario())
    assert reply.status == 200
    assert repeat.status == 200
    assert ran == ["lost"]


def test_lost_answer_of_the_endpoint_is_unknown_and_not_run_again(shared_fleet):
    async def scenario():
        worker = shared_fleet.endpoints["desk-1"].port
        await post_json(worker, "/faults", {"lose": True})
        reply = await order(shared_fleet, 0, "gone")
        await post_json(worker, "/faults", {})
        repeat = await order(shared_fleet, 1, "gone")
        return reply, repeat, await times_run(shared_fleet, "gone")

    reply, repeat, ran = asyncio.run(scenario())
    assert reply.json()["kind"] == "endpoint-failed"
    assert reply.json()["ran"] == "unknown"
    assert repeat.json()["kind"] == "outcome-unknown"
    assert ran == ["gone"]


def test_killed_router_leaves_the_truth_unknown_and_nothing_run_twice(small_fleet):
    async def scenario():
        first = asyncio.create_task(order(small_fleet, 0, "orphan", 500))
        while not (await get_json(small_fleet.endpoints["desk-1"].port, "/load"))[
            "running"
        ]:
            await asyncio.sleep(0.01)
        small_fleet.routers[0].process.kill()
        repeat = await order(small_fleet, 1, "orphan", 500)
        lost = await first
        while not await times_run(small_fleet, "orphan"):
            await asyncio.sleep(0.05)
        later = await order(small_fleet, 1, "orphan", 500)
        return lost, repeat, later, await times_run(small_fleet, "orphan")

    lost, repeat, later, ran = asyncio.run(scenario())
    assert not lost.complete
    assert repeat.json()["kind"] == "outcome-unknown"
    assert repeat.json()["ran"] == "unknown"
    assert later.json()["ran"] == "unknown"
    assert ran == ["orphan"]
