"""Answers of endpoints that close within the head or the body, at each byte in turn.

Guards against a 200 with an empty or short body that is framed as whole.
"""

from __future__ import annotations

import pytest

from carawayfold.transport.messages import HEAD_END, MessageError, ResponseReader

FIELDS = b"Request-Id: r-1\r\nServer-Signature: signed\r\n"
BY_LENGTH = (
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 12\r\n\r\none answer\r\n"
)
#: Complete answers by their method, without those that end with their connection.
FRAMED = {
    "length first": (
        "POST",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + FIELDS + b"\r\nbody",
    ),
    "length last": ("POST", BY_LENGTH),
    "chunks": (
        "POST",
        b"HTTP/1.1 200 OK\r\n"
        + FIELDS
        + b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n7\r\n answer\r\n0\r\n\r\n",
    ),
    "trailers": (
        "POST",
        b"HTTP/1.1 200 OK\r\n"
        + FIELDS
        + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n",
    ),
    "interim response": ("POST", b"HTTP/1.1 100 Continue\r\n\r\n" + BY_LENGTH),
    "early hints": ("POST", b"HTTP/1.1 103 \r\nLink: </a>\r\n\r\n" + BY_LENGTH),
    "answer to HEAD": (
        "HEAD",
        b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 12\r\n\r\n",
    ),
    "closes its connection": (
        "GET",
        BY_LENGTH.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
    ),
}


def is_whole(method, data, step):
    """Return whether an answer is taken as complete that ends after `data`."""
    reader = ResponseReader(method)
    complete = False
    for start in range(0, len(data), step):
        _, _, complete = reader.feed(data[start : start + step], lambda head: None)
    return complete or reader.close()


@pytest.mark.parametrize("name", FRAMED)
@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_a_cut_answer_is_never_whole(name, step):
    method, answer = FRAMED[name]
    assert is_whole(method, answer, step)
    for end in range(len(answer)):
        assert not is_whole(method, answer[:end], step), answer[:end]


def test_an_answer_without_a_length_is_whole_only_after_its_head():
    head = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n"
    for end in range(len(head)):
        assert not is_whole("POST", head[:end], 1)
    assert is_whole("POST", head + b"x", 1)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\r", b"\n\r\n"])
def test_a_head_that_ends_otherwise_is_no_answer(end):
    with pytest.raises(MessageError):
        is_whole("POST", BY_LENGTH.partition(HEAD_END)[0] + end + b"x" * 12, 1)
