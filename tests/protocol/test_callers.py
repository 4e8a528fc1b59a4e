"""Parsing of caller requests."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol import callers

HEADERS = {"Authorization": "Bearer key"}
CHAT = {"model": "survey", "messages": [{"role": "user", "content": "hello"}]}


def parse(path="/v1/chat/completions", headers=None, body=None, method="POST"):
    body = json.dumps(CHAT).encode() if body is None else body
    return callers.parse("id", method, path, {**HEADERS, **(headers or {})}, body)


def test_chat_request_is_parsed():
    request = parse(headers={"X-Priority": "urgent", "X-Request-Timeout": "2.5"})
    assert request.service == "survey"
    assert request.urgent
    assert request.timeout == 2.5


def test_plain_request_keeps_the_path_after_the_service():
    request = parse("/services/tile-desk/orders/7?x=1", body=b"{}")
    assert request.service == "tile-desk"
    assert request.path == "/orders/7?x=1"


@pytest.mark.parametrize(
    ("headers", "kind"),
    [
        ({"Authorization": ""}, ErrorKind.UNKNOWN_KEY),
        ({"Authorization": "Basic x"}, ErrorKind.UNKNOWN_KEY),
        ({"X-Priority": "now"}, ErrorKind.MALFORMED_REQUEST),
        ({"X-Request-Timeout": "soon"}, ErrorKind.MALFORMED_REQUEST),
        ({"X-Request-Timeout": "nan"}, ErrorKind.MALFORMED_REQUEST),
        ({"Idempotency-Key": "x" * 256}, ErrorKind.MALFORMED_REQUEST),
    ],
)
def test_invalid_headers_are_rejected(headers, kind):
    with pytest.raises(Refusal) as caught:
        parse(headers=headers)
    assert caught.value.kind is kind


@given(
    st.binary(max_size=200)
    | st.recursive(st.none(), st.lists).map(repr).map(str.encode)
)
def test_any_body_is_parsed_or_rejected(body):
    try:
        parse(body=body)
    except Refusal as refusal:
        assert refusal.kind is ErrorKind.MALFORMED_REQUEST


@given(
    st.text(max_size=40),
    st.dictionaries(
        st.sampled_from(["X-Priority", "Idempotency-Key", "X-Request-Timeout"]),
        st.text(),
    ),
)
def test_any_path_and_header_is_parsed_or_rejected(path, headers):
    try:
        parse("/" + path, headers)
    except Refusal as refusal:
        assert refusal.answer.status in (400, 401, 404)
