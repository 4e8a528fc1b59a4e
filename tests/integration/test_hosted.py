"""Forwarding routers as real processes, with stand-ins for the users' platform."""

from __future__ import annotations

import asyncio
import signal

import h11
import pytest

from benchmarks.hosted import (
    HOST,
    KEY,
    HostedFleet,
    call,
    configuration,
    model_headers,
    plain_headers,
    read_answer,
)
from benchmarks.processes import Processes

#: Seconds of the retry window: short, because a router gets no share of the extra
#: retries in its first window.
RETRY_WINDOW = 0.1


def make_fleet(processes, routers=1):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name in ("m-1", "m-2"):
        fleet.start_endpoint(name, "model")
    for name in ("d-1", "d-2"):
        fleet.start_endpoint(name, "desk")
    for number in range(routers):
        fleet.start_router(f"router-{number}", retry_window=RETRY_WINDOW)
    for number in range(routers):
        asyncio.run(fleet.wait_retrying(f"router-{number}"))
    return fleet


@pytest.fixture
def fleet(processes):
    return make_fleet(processes)


@pytest.fixture(scope="module")
def shared():
    with Processes() as processes:
        yield make_fleet(processes)


def caller_port(fleet, router="router-0"):
    return fleet.ports[router][0]


def send(fleet, path, headers, method="POST", body=b"body", router="router-0"):
    return asyncio.run(call(caller_port(fleet, router), method, path, body, headers))


def executed(fleet, request):
    return [
        record
        for name in fleet.endpoints
        for record in fleet.ran(name)
        if record["id"] == request
    ]


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.05)


def test_a_plain_answer_is_forwarded_unchanged(shared):
    answer = send(shared, "/once/order?a=b%20c", plain_headers("plain-1"))
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == b"answer to plain-1"
    assert answer.headers["server-signature"] == "stand-in"
    assert answer.headers["request-id"] == "plain-1"
    record = executed(shared, "plain-1")[0]
    assert record["body"] == "body"
    assert record["path"] == "/once/order"


def test_a_stream_is_forwarded_completely(shared):
    answer = send(shared, "/stream/x", model_headers("stream-1", events=5))
    assert answer.complete
    assert answer.body.count(b"id: ") == 5


def test_headers_that_the_router_sets_are_not_taken_from_callers(shared):
    headers = {
        **plain_headers("own-1"),
        "Tenant-Id": "somebody",
        "Target-Instance": "d-9",
        "Hold": "h",
        "Connection": "x-hop",
        "X-Hop": "1",
        "X-End": "2",
    }
    assert send(shared, "/once/x", headers).status == 200
    seen = executed(shared, "own-1")[0]["headers"]
    assert seen["tenant-id"] == "alder"
    assert seen["target-instance"] in ("d-1", "d-2")
    assert "hold" not in seen
    assert "x-hop" not in seen
    assert "x-api-key" not in seen
    assert seen["x-end"] == "2"
    assert int(seen["request-deadline"]) <= 3000


def test_unknown_keys_and_routes_are_refused(shared):
    assert send(shared, "/once/x", plain_headers("k-1", "wrong")).status == 401
    assert send(shared, "/nowhere/x", plain_headers("k-2")).status == 404
    assert send(shared, "/open/x", {"Request-Id": "k-3"}).status == 200
    assert executed(shared, "k-1") == executed(shared, "k-2") == []


def test_a_router_without_configuration_refuses_requests(processes):
    fleet = HostedFleet(processes)
    fleet.start_router("router-0")

    async def first_answer():
        while True:
            try:
                return await call(caller_port(fleet), "POST", "/once/x", b"", {})
            except OSError:
                await asyncio.sleep(0.02)

    assert asyncio.run(first_answer()).status == 503


def test_a_broken_stream_is_resumed_elsewhere_without_gap_or_repeat(fleet):
    for name in ("m-1", "m-2"):
        fleet.set_faults(name, break_after=3, within=True)

    async def run():
        headers = model_headers("broken-1", events=5)
        task = asyncio.create_task(
            call(caller_port(fleet), "POST", "/stream/x", b"b", headers)
        )
        return await task

    answer = asyncio.run(run())
    assert answer.complete
    numbers = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    assert numbers == [b"id: %d" % number for number in range(1, 6)]
    assert len(executed(fleet, "broken-1")) == 2


def test_a_broken_stream_that_may_run_once_is_not_retried(fleet):
    for name in ("m-1", "m-2"):
        fleet.set_faults(name, break_after=2)
    answer = send(fleet, "/stream-once/x", model_headers("once-1", events=5))
    assert not answer.complete
    assert len(executed(fleet, "once-1")) == 1


def test_a_lost_answer_is_not_reported_as_not_run(fleet):
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, lose=True)
    answer = send(fleet, "/once/x", plain_headers("lost-1"))
    assert answer.status == 502
    assert len(executed(fleet, "lost-1")) == 1


def test_repeatable_requests_are_retried(fleet):
    fleet.set_faults("d-1", lose=True)
    for number in range(6):
        answer = send(fleet, "/again/x", plain_headers(f"again-{number}"))
        assert answer.status == 200


def test_a_declined_request_is_retried_elsewhere(fleet):
    fleet.set_faults("d-1", decline=True)
    for number in range(4):
        answer = send(fleet, "/once/x", plain_headers(f"declined-{number}"))
        assert answer.status == 200


def test_a_request_that_all_decline_is_refused_with_retry_after(fleet):
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, decline=True)
    answer = send(fleet, "/once/x", plain_headers("declined"))
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert executed(fleet, "declined") == []


def test_an_answer_to_another_request_is_discarded(fleet):
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, foreign=True)
    answer = send(fleet, "/once/x", plain_headers("foreign-1"))
    assert answer.body == b"answer to foreign-1"


def test_a_request_is_cancelled_when_its_caller_disconnects(fleet):
    for name in ("m-1", "m-2"):
        fleet.set_faults(name, pause=0.1)

    async def disconnect():
        reader, writer = await asyncio.open_connection("127.0.0.1", caller_port(fleet))
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = ["POST /stream/x HTTP/1.1", f"Host: {HOST}", *lines]
        writer.write("\r\n".join([*head, "Content-Length: 0", "", ""]).encode())
        await reader.readuntil(b"id: 1")
        writer.close()
        await wait_until(lambda: True)

    headers = model_headers("left-1", events=200)
    asyncio.run(disconnect())

    async def wait_end():
        loop = asyncio.get_running_loop()
        while True:
            records = await loop.run_in_executor(None, executed, fleet, "left-1")
            if records and records[0]["end"] == "left":
                return
            await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(wait_end(), 10))


def test_the_last_request_before_a_stop_is_answered(fleet):
    for name in ("d-1", "d-2"):
        fleet.set_faults(name, pause=1.0)

    async def run():
        task = asyncio.create_task(
            call(caller_port(fleet), "POST", "/once/x", b"", plain_headers("stop-1"))
        )
        loop = asyncio.get_running_loop()
        while not await loop.run_in_executor(None, executed, fleet, "stop-1"):
            await asyncio.sleep(0.02)
        fleet.routers["router-0"].signal(signal.SIGTERM)
        return await task

    answer = asyncio.run(run())
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    assert fleet.routers["router-0"].popen.wait(20) == 0


def test_invalid_settings_are_not_taken_and_the_router_keeps_serving(fleet):
    path = fleet.processes.folder / "router-0.json"
    good = path.read_text()
    path.write_text("{")
    fleet.routers["router-0"].signal(signal.SIGHUP)
    assert send(fleet, "/once/x", plain_headers("hup-1")).status == 200
    path.write_text(good)
    fleet.routers["router-0"].signal(signal.SIGHUP)
    assert send(fleet, "/once/x", plain_headers("hup-2")).status == 200
    fleet.processes.stop(fleet.routers["router-0"])
    lines = fleet.processes.output_of("router-0")
    assert lines.index("settings not taken") < lines.index("settings taken")


def test_a_new_configuration_and_a_leaving_endpoint_take_effect(fleet):
    document = configuration(5)
    document["routes"] = [
        route for route in document["routes"] if route["name"] != "open"
    ]
    fleet.configure(document)
    fleet.register("d-1", state="draining")

    async def wait_applied():
        while True:
            answer = await call(caller_port(fleet), "GET", "/open/x", b"", {})
            if answer.status == 404:
                return
            await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(wait_applied(), 10))

    async def wait_drained():
        loop = asyncio.get_running_loop()
        number = served = 0
        while served < 5:
            number += 1
            headers = plain_headers(f"drain-{number}")
            answer = await call(caller_port(fleet), "POST", "/once/x", b"", headers)
            assert answer.status == 200
            records = await loop.run_in_executor(None, fleet.ran, "d-1")
            at_draining = any(item["id"] == f"drain-{number}" for item in records)
            served = 0 if at_draining else served + 1

    asyncio.run(asyncio.wait_for(wait_drained(), 15))


def test_a_router_started_during_a_store_outage_becomes_ready_after_it(processes):
    fleet = make_fleet(processes, routers=2)

    async def wait_for_peer():
        while True:
            answer = await call(fleet.ports["router-0"][2], "GET", "/metrics")
            if b"carawayfold_live_routers 2.0" in answer.body:
                return
            await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(wait_for_peer(), 15))
    fleet.call_store("POST", "/faults", b'{"refuse": true}')
    fleet.start_router("router-2")

    async def first_status():
        while True:
            try:
                answer = await call(
                    caller_port(fleet, "router-2"), "GET", "/open/x", b"", {}
                )
            except OSError:
                await asyncio.sleep(0.02)
                continue
            return answer.status

    # Without the store it does not know its peers either; once it has read their
    # entries, they send it the configuration.
    assert asyncio.run(first_status()) == 503
    fleet.call_store("POST", "/faults", b"{}")
    asyncio.run(asyncio.wait_for(fleet.wait_ready("router-2"), 15))


def test_topics_are_read_again_after_their_history_is_lost(fleet):
    fleet.call_store("POST", "/forget?topic=keyed.op")
    fleet.call_store("POST", "/forget?topic=keyed.servers")
    changed = configuration(9)
    # Without declared organisations, requests need no key.
    del changed["tenants"]
    fleet.configure(changed)

    async def wait_applied():
        while True:
            answer = await call(
                caller_port(fleet), "POST", "/once/x", b"", {"Request-Id": "f"}
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(wait_applied(), 15))


# Guards against requests that run with any key once the last key is revoked.
def test_requests_are_refused_once_the_last_key_is_revoked(fleet):
    async def status(path, key):
        headers = {"Request-Id": f"{path}{key}"} | ({"X-Api-Key": key} if key else {})
        answer = await call(caller_port(fleet), "POST", path, b"", headers)
        return answer.status

    async def wait_for_status(expected):
        while await status("/once/x", KEY) != expected:
            await asyncio.sleep(0.05)

    asyncio.run(wait_for_status(200))
    fleet.configure(configuration(9, tenants=[{"name": "alder", "api_keys": []}]))
    asyncio.run(asyncio.wait_for(wait_for_status(401), 15))
    assert [asyncio.run(status("/once/x", key)) for key in ("forged", "")] == [401, 401]
    assert asyncio.run(status("/open/x", "forged")) == 200
    fleet.configure(configuration(12))
    asyncio.run(asyncio.wait_for(wait_for_status(200), 15))


def head_of(*lines):
    fixed = (f"Host: {HOST}", f"X-Api-Key: {KEY}", "Request-Id: raw")
    return "\r\n".join(["POST /once/x HTTP/1.1", *fixed, *lines, "", ""]).encode()


async def send_raw(port, data, pieces=1):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        await asyncio.sleep(0)
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    answer = await read_answer(reader, parser)
    writer.close()
    return answer


@pytest.mark.parametrize(
    "data",
    [
        head_of("Content-Length: 3", "Transfer-Encoding: chunked") + b"abc",
        head_of("Content-Length: 3", "Content-Length: 4") + b"abc",
        head_of("Content-Length: 3", "Content-Length: 3") + b"abc",
        head_of("Content-Length: +3") + b"abc",
        head_of("Transfer-Encoding : chunked") + b"0\r\n\r\n",
        head_of("Transfer-Encoding: chunked") + b"zz\r\nabc\r\n0\r\n\r\n",
        head_of("X-A: b\x00c"),
        head_of("X-A: b\r\n folded"),
        head_of("Host: other.example"),
        head_of("X-Api-Key: second"),
        head_of("X-A: b").replace(b"\r\n", b"\n"),
        b"GET /open/x\r\n\r\n",
        b"\x16\x03\x01\x00\x01\r\n\r\n",
    ],
)
def test_malformed_and_ambiguous_requests_are_refused(shared, data):
    answer = asyncio.run(asyncio.wait_for(send_raw(caller_port(shared), data), 10))
    assert 400 <= answer.status < 500
    assert executed(shared, "raw") == []


def test_a_request_may_arrive_byte_by_byte(shared):
    fields = [f"{name}: {value}" for name, value in plain_headers("slow-1").items()]
    lines = ["POST /once/x HTTP/1.1", f"Host: {HOST}", *fields, "Content-Length: 3"]
    data = "\r\n".join([*lines, "", "abc"]).encode()
    answer = asyncio.run(
        asyncio.wait_for(send_raw(caller_port(shared), data, len(data)), 10)
    )
    assert answer.body == b"answer to slow-1"


def test_pipelined_requests_are_answered_in_order(shared):
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", caller_port(shared))
        for name in ("pipe-1", "pipe-2", "pipe-3"):
            fields = [f"{key}: {value}" for key, value in plain_headers(name).items()]
            lines = ["POST /once/x HTTP/1.1", f"Host: {HOST}", *fields]
            writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
        bodies = []
        parser = h11.Connection(h11.CLIENT)
        for _ in range(3):
            request = h11.Request(method="POST", target="/", headers=[("Host", "x")])
            parser.send(request)
            parser.send(h11.EndOfMessage())
            bodies.append((await read_answer(reader, parser)).body)
            parser.start_next_cycle()
        writer.close()
        return bodies

    bodies = asyncio.run(asyncio.wait_for(run(), 10))
    assert bodies == [b"answer to pipe-%d" % number for number in (1, 2, 3)]


def test_a_chunked_body_is_forwarded_whole(shared):
    fields = [f"{name}: {value}" for name, value in plain_headers("chunk-1").items()]
    lines = ["POST /once/x HTTP/1.1", f"Host: {HOST}", *fields]
    data = "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode()
    data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    answer = asyncio.run(asyncio.wait_for(send_raw(caller_port(shared), data), 10))
    assert answer.status == 200
    assert executed(shared, "chunk-1")[0]["body"] == "abcde"


def test_many_idle_connections_do_not_block_new_callers(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    fleet.start_endpoint("d-1", "desk")
    fleet.start_router("router-0", descriptors=256)
    asyncio.run(fleet.wait_ready("router-0"))

    async def call_beside_idle():
        port = caller_port(fleet)
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(400)]
        answer = await call(port, "POST", "/once/x", b"", plain_headers("crowd-1"))
        for _, writer in idle:
            writer.close()
        return answer

    answer = asyncio.run(asyncio.wait_for(call_beside_idle(), 20))
    assert answer.status == 200
    assert answer.headers["connection"] == "close"


def test_a_suspended_router_is_ready_after_it_resumes(fleet):
    process = fleet.routers["router-0"]
    process.signal(signal.SIGSTOP)
    process.signal(signal.SIGCONT)
    asyncio.run(asyncio.wait_for(fleet.wait_ready("router-0"), 20))
    assert send(fleet, "/once/x", plain_headers("still-1")).status == 200


def register_again(fleet, name):
    fleet.register(name, born=2000)


def test_requests_at_a_restarted_endpoint_are_answered_at_once(fleet):
    for name in ("d-1", "d-2"):
        fleet.register(name, born=1000)
        fleet.set_faults(name, silent=True)

    async def run():
        loop = asyncio.get_running_loop()
        headers = {**plain_headers("again-1"), "Request-Deadline": "30000"}
        task = asyncio.ensure_future(
            call(caller_port(fleet), "POST", "/once/x", b"body", headers)
        )
        while not await loop.run_in_executor(None, executed, fleet, "again-1"):
            await asyncio.sleep(0.02)
        for name in ("d-1", "d-2"):
            await loop.run_in_executor(
                None, lambda n=name: fleet.register(n, born=2000)
            )
        return await asyncio.wait_for(task, 15)

    answer = asyncio.run(run())
    # The request may have run, so it is neither refused as not run nor retried.
    assert answer.status == 502
    assert len(executed(fleet, "again-1")) == 1


def test_entries_of_other_writers_do_not_affect_endpoints(fleet):
    for key, value in (
        ("x-1", {"service": "desk"}),
        ("x-2", ["no", "entry"]),
        ("x-3", "text"),
    ):
        fleet.put("keyed.servers", key, value)
    fleet.register("d-1", state="resting")
    fleet.register("m-1", call_seq=2)
    for number in range(6):
        answer = send(fleet, "/once/x", plain_headers(f"writer-{number}"))
        assert answer.status == 200
    assert send(fleet, "/stream/x", model_headers("writer-s")).status == 200


def test_answers_that_end_with_their_connection_are_whole(fleet):
    for name in fleet.endpoints:
        fleet.set_faults(name, unframed=True)
    for number in range(4):
        answer = send(fleet, "/once/x", plain_headers(f"unframed-{number}"))
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body == b"answer to unframed-%d" % number
        answer = send(fleet, "/stream/x", model_headers(f"unframed-s-{number}", 5))
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body.count(b"id: ") == 5


def test_a_stream_that_ends_with_its_connection_within_an_event_is_broken(fleet):
    for name in ("m-1", "m-2"):
        fleet.set_faults(name, unframed=True, break_after=2, within=True)
    answer = send(fleet, "/stream-once/x", model_headers("within-1", events=5))
    assert not answer.complete
    assert answer.body.count(b"id: ") == 2
    answer = send(fleet, "/stream/x", model_headers("within-2", events=4))
    numbers = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    assert numbers == [b"id: %d" % number for number in range(1, 5)]


def test_an_unframed_answer_whose_connection_is_reset_is_not_whole(fleet):
    for name in ("m-1", "m-2"):
        fleet.set_faults(name, unframed=True, break_after=2)
    answer = send(fleet, "/stream-once/x", model_headers("reset-1", events=5))
    assert not answer.complete
