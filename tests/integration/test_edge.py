"""Interface to callers and operators: invalid input, limits, common clients."""

from __future__ import annotations

import asyncio
import json

import grpc
import openai
import pytest

from benchmarks.client import send
from benchmarks.fleet import Fleet, ask, key_of, start_deployment
from carawayfold.protocol import admin_pb2
from tests.builders import SMALL


async def send_raw(port, data, timeout=5.0):
    """Send bytes and return everything received until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), timeout)
    finally:
        writer.close()


def problem_of(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])


def test_openai_client_works_unchanged(shared_fleet):
    port = shared_fleet.routers[0].port
    client = openai.OpenAI(
        base_url=f"http://127.0.0.1:{port}/v1", api_key=key_of("alder"), max_retries=0
    )
    messages = [{"role": "user", "content": "tokens=4"}]
    completion = client.chat.completions.create(model="survey", messages=messages)
    stream = client.chat.completions.create(
        model="survey", messages=messages, stream=True
    )
    text = "".join(chunk.choices[0].delta.content for chunk in stream)
    assert completion.choices[0].message.content == "w1 w2 w3 w4 "
    assert text == "w1 w2 w3 w4 "


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/9.9\r\nHost: x\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n",
        b"\x00\xff" * 50 + b"\r\n\r\n",
    ],
)
def test_malformed_requests_get_a_clear_answer(shared_fleet, data):
    answer = asyncio.run(send_raw(shared_fleet.routers[0].port, data))
    status = int(answer.split()[1])
    assert 400 <= status < 600
    ready = asyncio.run(send(shared_fleet.routers[0].port, "GET", "/readyz", {}))
    assert ready.status == 200


def test_oversized_body_is_refused_before_it_is_read(shared_fleet):
    head = (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 99999999\r\n\r\n"
    )
    answer = asyncio.run(send_raw(shared_fleet.routers[0].port, head))
    assert problem_of(answer)["kind"] == "request-too-large"


def test_oversized_headers_are_refused(shared_fleet):
    data = b"GET / HTTP/1.1\r\nHost: x\r\n" + b"X-Filler: %b\r\n" % (b"x" * 2_000_000)
    answer = asyncio.run(send_raw(shared_fleet.routers[0].port, data))
    assert problem_of(answer)["kind"] == "request-too-large"


def test_slow_headers_are_answered_and_the_connection_is_closed(processes):
    async def scenario():
        fleet = Fleet(processes, {"header_timeout": 0.3})
        await start_deployment(fleet, SMALL)
        return await send_raw(fleet.routers[0].port, b"GET / HTTP/1.1\r\nHost:", 20.0)

    answer = asyncio.run(scenario())
    assert problem_of(answer)["kind"] == "malformed-request"


def test_unknown_operator_is_refused(shared_fleet):
    port = shared_fleet.routers[0].peer_port
    request = admin_pb2.StatusRequest()
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        asyncio.run(ask(port, "Status", request, token="not a token of anybody"))
    assert caught.value.code() is grpc.StatusCode.UNAUTHENTICATED


def test_metrics_are_exposed(shared_fleet):
    reply = asyncio.run(send(shared_fleet.routers[0].port, "GET", "/metrics", {}))
    assert b"carawayfold_requests_total" in reply.body
