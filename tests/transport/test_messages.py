"""Heads, bodies and chunks: rejected input and exact message boundaries."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawayfold.transport.messages import (
    CHUNK_FRAME_LIMIT,
    RESPONSE_HEAD_LIMIT,
    EndlessBody,
    MessageError,
    ResponseReader,
    chunk,
    read_request_head,
    request_bytes,
    response_head,
)

REFUSED = {
    "a sign in the length": b"Content-Length: +5",
    "spaces in the length": b"Content-Length: 5 5",
    "a hexadecimal length": b"Content-Length: 0x5",
    "an empty length": b"Content-Length:",
    "a list of lengths": b"Content-Length: 5, 5",
    "two lengths": b"Content-Length: 5\r\nContent-Length: 5",
    "a length and chunks": b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    "chunks twice": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "another encoding": b"Transfer-Encoding: gzip, chunked",
    "an encoding that is not last": b"Transfer-Encoding: chunked, identity",
    "a space before the colon": b"Transfer-Encoding : chunked",
    "a tab before the colon": b"Content-Length\t: 5",
    "a folded line": b"X-A: 1\r\n 2",
    "two hosts": b"Host: y",
    "an empty name": b": 5",
    "a name with a space": b"X A: 1",
    "no colon": b"nonsense",
}


def head_with(lines, start=b"POST /a HTTP/1.1\r\nHost: x\r\n"):
    return start + lines + b"\r\n\r\n"


@pytest.mark.parametrize("lines", REFUSED.values(), ids=REFUSED)
def test_ambiguous_head_is_rejected(lines):
    with pytest.raises(MessageError):
        read_request_head(head_with(lines))


@pytest.mark.parametrize(
    "start",
    [
        b"POST /a HTTP/1.1\r\n",
        b"POST /a HTTP/2.0\r\nHost: x\r\n",
        b"POST /a HTTP/0.9\r\nHost: x\r\n",
        b"POST /a RTSP/1.0\r\nHost: x\r\n",
        b"POST  /a HTTP/1.1\r\nHost: x\r\n",
        b"POST a HTTP/1.1\r\nHost: x\r\n",
        b"POST http://x/a HTTP/1.1\r\nHost: x\r\n",
        b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n",
        b"POST /\xc3\xa4 HTTP/1.1\r\nHost: x\r\n",
        b"PRI * HTTP/2.0\r\nHost: x\r\n",
        b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n",
    ],
)
def test_request_line_of_another_protocol_is_rejected(start):
    with pytest.raises(MessageError):
        read_request_head(head_with(b"X-A: 1", start))


def test_plain_head_is_parsed():
    lines = b"X-Api-Key: k \r\nCONTENT-LENGTH: 5\r\nExpect: 100-Continue"
    head = read_request_head(head_with(lines))
    assert (head.method, head.target) == (b"POST", b"/a")
    assert (b"x-api-key", b"k") in head.fields
    assert head.keep_alive
    assert head.awaits_continue
    assert head.body.feed(b"12345GET") == ([b"12345"], b"GET", True)


def test_upgrade_header_is_ignored():
    head = read_request_head(head_with(b"Connection: Upgrade\r\nUpgrade: websocket"))
    assert head.target == b"/a"
    assert head.body.feed(b"next") == ([], b"next", True)


def test_trailers_never_become_headers():
    head = read_request_head(head_with(b"Transfer-Encoding: chunked"))
    data = b"4\r\nbody\r\n0\r\nX-Api-Key: stolen\r\n\r\nGET /"
    assert head.body.feed(data) == ([b"body"], b"GET /", True)
    assert b"x-api-key" not in dict(head.fields)


@pytest.mark.parametrize("size", [b"+4", b"4 4", b"-4", b"0x4", b"g", b"", b" 4"])
def test_invalid_chunk_size_is_rejected(size):
    head = read_request_head(head_with(b"Transfer-Encoding: chunked"))
    with pytest.raises(MessageError):
        head.body.feed(size + b"\r\nbody\r\n0\r\n\r\n")


def test_unlimited_trailers_are_rejected():
    head = read_request_head(head_with(b"Transfer-Encoding: chunked"))
    head.body.feed(b"4\r\nbody\r\n0\r\n")
    with pytest.raises(MessageError):
        for _ in range(1000):
            head.body.feed(b"X-A: 1\r\n")


bodies = st.lists(st.binary(min_size=1, max_size=40), max_size=6)


@settings(max_examples=200, deadline=None)
@given(bodies=bodies, following=st.binary(max_size=20), data=st.data())
def test_chunks_split_anywhere_give_only_their_content(bodies, following, data):
    sent = b"".join(chunk(part) for part in bodies) + b"0\r\n\r\n" + following
    head = read_request_head(head_with(b"Transfer-Encoding: chunked"))
    got, complete, rest = [], False, b""
    while sent and not complete:
        cut = data.draw(st.integers(1, len(sent)))
        pieces, left, complete = head.body.feed(sent[:cut])
        got += pieces
        rest = left + sent[cut:]
        sent = sent[cut:]
    assert complete
    assert b"".join(got) == b"".join(bodies)
    assert rest == following


tokens = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
values = st.text(
    st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"),
    max_size=20,
)


@settings(max_examples=300, deadline=None)
@given(fields=st.lists(st.tuples(tokens, values), max_size=5))
def test_accepted_head_is_parsed_as_by_h11(fields):
    """Each accepted head parses equally with h11; what h11 rejects is rejected."""
    lines = [f"{name}: {value}".encode("latin-1") for name, value in fields]
    head = head_with(b"\r\n".join([b"X-First: 1", *lines]))
    other = h11.Connection(h11.SERVER)
    other.receive_data(head)
    try:
        event = other.next_event()
    except h11.RemoteProtocolError:
        event = None
    try:
        found = read_request_head(head)
    except MessageError:
        return
    assert event is not None
    assert found.fields == list(event.headers)


def read_response(data, method="GET", cuts=None):
    reader = ResponseReader(method)
    heads, content = [], []
    complete, rest = False, b""
    for part in cuts or [data]:
        pieces, rest, complete = reader.feed(part, heads.append)
        content += pieces
    return reader, heads, b"".join(content), rest, complete


def test_interim_response_is_skipped():
    data = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
    data += b"Content-Length: 2\r\n\r\nokHTTP"
    _, heads, content, rest, complete = read_response(data)
    assert [head.status for head in heads] == [200]
    assert (content, rest, complete) == (b"ok", b"HTTP", True)


def test_response_without_length_ends_with_the_connection():
    reader, heads, content, _, complete = read_response(b"HTTP/1.1 200 OK\r\n\r\nab")
    assert isinstance(heads[0].body, EndlessBody)
    assert (content, complete, reader.close()) == (b"ab", False, True)
    assert not heads[0].keep_alive


def test_truncated_response_is_not_complete():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"
    reader, _, _, _, complete = read_response(data)
    assert (complete, reader.close()) == (False, False)
    assert not read_response(b"HTTP/1.1 200 OK\r\nContent")[0].close()


def test_response_to_head_request_has_no_body():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nrest"
    _, _, content, rest, complete = read_response(data, "HEAD")
    assert (content, rest, complete) == (b"", b"rest", True)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff garbage",
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 70000,
    ],
)
def test_invalid_response_is_rejected(data):
    with pytest.raises(MessageError):
        read_response(data)


@settings(max_examples=100, deadline=None)
@given(body=st.binary(max_size=60), data=st.data())
def test_response_split_anywhere_is_read_completely(body, data):
    sent = b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n"
    sent += chunk(body) + b"0\r\n\r\n"
    cuts = []
    while sent:
        cut = data.draw(st.integers(1, len(sent)))
        cuts.append(sent[:cut])
        sent = sent[cut:]
    _, heads, content, rest, complete = read_response(b"", cuts=cuts)
    assert (len(heads), content, rest, complete) == (1, body, b"", True)
    assert heads[0].keep_alive


def test_line_end_in_a_header_value_is_rejected():
    with pytest.raises(MessageError):
        response_head(200, [("X-A", "1\r\nX-B: 2")])
    with pytest.raises(MessageError):
        request_bytes("GET", "/", [("X-A", "1\n2")], b"")


HEAD_PARTS = {
    "interim responses": b"HTTP/1.1 100 \r\n\r\n",
    "interim responses with headers": b"HTTP/1.1 103 \r\nLink: x\r\n\r\n",
}


@pytest.mark.parametrize("size", [1, 1000, 65536])
@pytest.mark.parametrize("interim", HEAD_PARTS.values(), ids=HEAD_PARTS)
def test_interim_responses_without_end_are_rejected(interim, size):
    reader = ResponseReader("GET")
    sent = interim * (65536 // len(interim))
    with pytest.raises(MessageError):
        for start in range(0, len(sent), size):
            reader.feed(sent[start : start + size], lambda head: None)


def test_some_interim_responses_are_skipped():
    heads = []
    reader = ResponseReader("GET")
    data = b"HTTP/1.1 100 \r\n\r\n" * 3 + b"HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\na"
    for place in range(len(data) - 1):
        reader.feed(data[place : place + 1], heads.append)
    assert reader.feed(data[-1:], heads.append) == ([b"a"], b"", True)
    assert [head.status for head in heads] == [200]


def test_response_with_too_many_headers_is_rejected():
    reader = ResponseReader("GET")
    with pytest.raises(MessageError):
        reader.feed(
            b"HTTP/1.1 200 \r\n" + b"a:\r\n" * 1000 + b"\r\n", lambda head: None
        )


def test_response_head_that_is_too_large_is_rejected_when_received_at_once():
    reader = ResponseReader("GET")
    head = b"HTTP/1.1 200 \r\nA: " + b"x" * RESPONSE_HEAD_LIMIT + b"\r\n\r\n"
    with pytest.raises(MessageError):
        reader.feed(head, lambda head: None)


@pytest.mark.parametrize("ending", [b"\x00", b"\n", b"\rx"])
def test_incomplete_head_with_invalid_bytes_is_rejected_at_once(ending):
    reader = ResponseReader("GET")
    reader.feed(b"HTTP/1.1 200 \r", lambda head: None)
    reader.feed(b"\nA: 1", lambda head: None)
    with pytest.raises(MessageError):
        reader.feed(ending, lambda head: None)


@pytest.mark.parametrize("before", [b"", b"4\r\nbody\r\n"])
def test_trailers_without_end_are_rejected_within_a_read(before):
    head = read_request_head(head_with(b"Transfer-Encoding: chunked"))
    with pytest.raises(MessageError):
        head.body.feed(before + b"0\r\n" + b"A: 1\r\n" * 10000)
    assert len(head.body.collector.fields) * len(b"A: 1\r\n") <= CHUNK_FRAME_LIMIT
