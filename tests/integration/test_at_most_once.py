"""At-most-once requests under failures."""

from __future__ import annotations

import asyncio

from benchmarks.client import call, get_json, post_json
from benchmarks.fleet import key_of


def send_order(fleet, router, key, work_ms=20, request_id="", timeout=60.0):
    headers = {"Idempotency-Key": key, "X-Request-Id": request_id or key}
    port = fleet.routers[router].port
    return call(port, key_of("alder"), "desk", work_ms, headers, timeout)


async def executed_ids(fleet, *request_ids):
    records = await get_json(fleet.endpoints["desk-1"].port, "/ran")
    return [
        record["request_id"]
        for record in records
        if record["request_id"] in request_ids
    ]


def test_same_key_at_two_routers_at_once_runs_once(shared_fleet):
    async def scenario():
        replies = await asyncio.gather(
            *(
                send_order(shared_fleet, n % 2, "twice", 200, f"twice-{n}")
                for n in range(8)
            )
        )
        ran = await executed_ids(shared_fleet, *(f"twice-{n}" for n in range(8)))
        again = await send_order(shared_fleet, 1, "twice", 200, "twice-9")
        return replies, ran, again

    replies, ran, again = asyncio.run(scenario())
    assert len(ran) == 1
    succeeded = [reply for reply in replies if reply.status == 200]
    rejected = [reply for reply in replies if reply.status != 200]
    assert len(succeeded) == 1
    assert {reply.json()["kind"] for reply in rejected} == {"in-progress"}
    assert all("retry-after" in reply.headers for reply in rejected)
    assert again.status == 200
    assert again.json()["request_id"] == ran[0]
    assert again.headers["idempotent-replayed"] == "true"


def test_key_used_for_another_request_is_refused(shared_fleet):
    async def scenario():
        await send_order(shared_fleet, 0, "reused", 5)
        return await send_order(shared_fleet, 1, "reused", 6)

    reply = asyncio.run(scenario())
    assert reply.json()["kind"] == "key-reused"
    assert reply.json()["ran"] == "no"


def test_requests_are_refused_and_not_run_while_the_log_is_down(shared_fleet):
    async def scenario():
        await post_json(shared_fleet.log.port, "/faults", {"down": True})
        refused = await send_order(shared_fleet, 0, "outage")
        await post_json(shared_fleet.log.port, "/faults", {"down": False})
        ran = await executed_ids(shared_fleet, "outage")
        retried = await send_order(shared_fleet, 1, "outage", request_id="outage-2")
        while retried.status != 200 and retried.json()["ran"] == "no":
            await asyncio.sleep(0.2)
            retried = await send_order(shared_fleet, 1, "outage", request_id="outage-2")
        both = await executed_ids(shared_fleet, "outage", "outage-2")
        return refused, ran, retried, both

    refused, ran, retried, both = asyncio.run(scenario())
    assert refused.json()["kind"] == "log-unavailable"
    assert refused.json()["ran"] == "no"
    assert int(refused.headers["retry-after"]) > 0
    assert ran == []
    assert retried.status == 200
    assert both == ["outage-2"]


def test_request_runs_once_when_append_answers_are_lost(shared_fleet):
    async def scenario():
        await post_json(shared_fleet.log.port, "/faults", {"lost": True})
        reply = await send_order(shared_fleet, 0, "lost")
        await post_json(shared_fleet.log.port, "/faults", {"lost": False})
        repeat = await send_order(shared_fleet, 1, "lost")
        return reply, repeat, await executed_ids(shared_fleet, "lost")

    reply, repeat, ran = asyncio.run(scenario())
    assert reply.status == 200
    assert repeat.status == 200
    assert ran == ["lost"]


def test_lost_endpoint_answer_has_unknown_outcome_and_is_not_retried(shared_fleet):
    async def scenario():
        endpoint_port = shared_fleet.endpoints["desk-1"].port
        await post_json(endpoint_port, "/faults", {"lose": True})
        reply = await send_order(shared_fleet, 0, "gone")
        await post_json(endpoint_port, "/faults", {})
        repeat = await send_order(shared_fleet, 1, "gone")
        return reply, repeat, await executed_ids(shared_fleet, "gone")

    reply, repeat, ran = asyncio.run(scenario())
    assert reply.json()["kind"] == "endpoint-failed"
    assert reply.json()["ran"] == "unknown"
    assert repeat.json()["kind"] == "outcome-unknown"
    assert ran == ["gone"]


def test_requests_of_a_killed_router_are_unknown_and_not_run_twice(small_fleet):
    async def scenario():
        first = asyncio.create_task(send_order(small_fleet, 0, "orphan", 500))
        while not (await get_json(small_fleet.endpoints["desk-1"].port, "/load"))[
            "running"
        ]:
            await asyncio.sleep(0.01)
        small_fleet.routers[0].process.kill()
        repeat = await send_order(small_fleet, 1, "orphan", 500)
        lost = await first
        while not await executed_ids(small_fleet, "orphan"):
            await asyncio.sleep(0.05)
        later = await send_order(small_fleet, 1, "orphan", 500)
        return lost, repeat, later, await executed_ids(small_fleet, "orphan")

    lost, repeat, later, ran = asyncio.run(scenario())
    assert not lost.complete
    assert repeat.json()["kind"] == "outcome-unknown"
    assert repeat.json()["ran"] == "unknown"
    assert later.json()["ran"] == "unknown"
    assert ran == ["orphan"]
