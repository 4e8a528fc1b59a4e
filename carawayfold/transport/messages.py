"""HTTP/1.1 messages: llhttp parses heads and chunks, everything else is counted here.

A parser lives for one message and is never given a byte beyond it, so no state of one
request or answer reaches the next, and bytes past an answer's end are seen as such.
What the parser would let pass but could be read in two ways is refused before it.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import httptools
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

Fields = list[tuple[bytes, bytes]]

HEAD_END = b"\r\n\r\n"
LINE_END = b"\n"
#: Most bytes of an answer's head: what endpoints and the platform send has 2 KB.
ANSWER_HEAD_LIMIT = 65536
#: Most bytes between two pieces of content in chunks: a size, or trailers.
CHUNK_FRAME_LIMIT = 4096
#: A request line that is taken; the parser knows other protocols' ones as well.
REQUEST_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,32} (/[!-~]*) HTTP/1\.([01])\r\n"
)
#: A length in digits alone.
LENGTH = re.compile(rb"[0-9]{1,18}")
#: Bytes that no head may hold: control characters, and line ends that are not CR LF.
FORBIDDEN = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|(?<!\r)\n|\r(?!\n)")
#: A header line that continues the one before it.
FOLDED = re.compile(rb"\r\n[ \t]")
#: Statuses of answers that never have a body.
BODYLESS = frozenset({204, 304})


class MessageError(Exception):
    """Bytes are no message, or one that could be read in two ways."""


class _Collector:
    """Takes what the parser finds."""

    __slots__ = ("fields", "complete", "data")

    def __init__(self) -> None:
        self.fields: Fields = []
        self.complete = False
        self.data: list[bytes] = []

    def take_fields(self) -> Fields:
        """Return the head's headers; trailers that follow are never among them."""
        fields = self.fields
        self.fields = []
        return fields

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header line."""
        self.fields.append((name.lower(), value.strip(b" \t")))

    def on_body(self, data: bytes) -> None:
        """Take a piece of a chunk."""
        self.data.append(data)

    def on_message_complete(self) -> None:
        """Note that the last chunk and its trailers have been read."""
        self.complete = True


class ChunkedBody:
    """Reads a body in chunks, and not a byte more.

    Parameters
    ----------
    parser : httptools.HttpParser
        Which has read the message's head.
    collector : _Collector
        What that parser reports to.
    """

    def __init__(self, parser: object, collector: _Collector) -> None:
        self.parser = parser
        self.collector = collector
        #: Bytes since the last content.
        self.framing = 0
        #: Whether the last chunk may have begun.
        self.near_end = False

    def feed(self, data: bytes) -> tuple[list[bytes], bytes, bool]:
        """Read on.

        A message ends with the end of a line after a chunk of size 0. Where one may
        have begun, the parser gets the bytes line by line and is stopped right after
        the last one; everything before goes to it at once.

        Returns
        -------
        pieces : list of bytes
            Content, without the chunks' framing.
        rest : bytes
            What follows the message.
        complete : bool
            Whether the message is whole.

        Raises
        ------
        MessageError
            If the bytes are no chunks.
        """
        collector = self.collector
        if data.startswith(b"0") or b"\n0" in data:
            self.near_end = True
        start = 0
        try:
            while start < len(data) and not collector.complete:
                end = self._safe_end(data, start)
                self.parser.feed_data(data[start:end])
                start = end
        except httptools.HttpParserError as error:
            raise MessageError(str(error)) from None
        pieces = collector.data
        collector.data = []
        self.framing = 0 if pieces else self.framing + start
        if self.framing > CHUNK_FRAME_LIMIT:
            raise MessageError("too many bytes between chunks")
        return pieces, data[start:], collector.complete

    def _safe_end(self, data: bytes, start: int) -> int:
        """Return up to a place before which the message does not end."""
        if not self.near_end:
            return len(data)
        return data.find(LINE_END, start) + 1 or len(data)


class CountedBody:
    """Reads a body of a known length."""

    def __init__(self, length: int) -> None:
        self.left = length

    def feed(self, data: bytes) -> tuple[list[bytes], bytes, bool]:
        """Read on; see `ChunkedBody.feed`."""
        part = data[: self.left]
        self.left -= len(part)
        return [part] if part else [], data[len(part) :], not self.left


class EndlessBody:
    """Reads a body that ends with its connection."""

    def feed(self, data: bytes) -> tuple[list[bytes], bytes, bool]:
        """Read on; see `ChunkedBody.feed`."""
        return [data] if data else [], b"", False


Body = ChunkedBody | CountedBody | EndlessBody


class RequestHead(msgspec.Struct):
    """The head of a request, and how its body is framed.

    Attributes
    ----------
    fields : list of tuple of bytes
        Headers in order, their names in lower case.
    body : CountedBody or ChunkedBody
        Reads the body.
    keep_alive : bool
        Whether its caller may use the connection again.
    awaits_continue : bool
        Whether its caller sends the body only once it has been told to go on.
    newer : bool
        Whether the caller speaks HTTP/1.1, and so takes chunks.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: Body
    keep_alive: bool
    awaits_continue: bool
    newer: bool


class AnswerHead(msgspec.Struct):
    """The head of an answer; see `RequestHead`."""

    status: int
    fields: Fields
    body: Body
    keep_alive: bool


def read_request_head(head: bytes) -> RequestHead:
    """Return what the head of a request says.

    Parameters
    ----------
    head : bytes
        Up to the empty line and with it.

    Raises
    ------
    MessageError
        If it is not strictly in the protocol, or its body has no clear length.
    """
    line = REQUEST_LINE.match(head)
    if line is None:
        raise MessageError("no request line with a path and HTTP/1.1 or 1.0")
    if FOLDED.search(head):
        raise MessageError("a folded header line")
    collector = _Collector()
    parser = httptools.HttpRequestParser(collector)
    _feed_head(parser, head)
    fields = collector.take_fields()
    newer = line.group(2) == b"1"
    hosts = sum(name == b"host" for name, _ in fields)
    if hosts > 1 or (newer and not hosts):
        raise MessageError("not one host")
    options = _connection_options(fields)
    return RequestHead(
        method=parser.get_method(),
        target=line.group(1),
        fields=fields,
        body=_request_body(parser, collector, fields, newer),
        keep_alive=newer and b"close" not in options,
        awaits_continue=newer and _awaits_continue(fields),
        newer=newer,
    )


def _feed_head(parser: object, head: bytes) -> None:
    try:
        parser.feed_data(head)
    except httptools.HttpParserUpgrade:
        # Another protocol is offered; the request is answered in this one.
        return
    except httptools.HttpParserError as error:
        raise MessageError(str(error)) from None


def _awaits_continue(fields: Fields) -> bool:
    return any(
        name == b"expect" and value.lower() == b"100-continue" for name, value in fields
    )


def _connection_options(fields: Fields) -> set[bytes]:
    return {
        option.strip()
        for name, value in fields
        if name == b"connection"
        for option in value.lower().split(b",")
    }


def _request_body(
    parser: object, collector: _Collector, fields: Fields, newer: bool
) -> Body:
    length, chunked = _framing(fields)
    if chunked and not newer:
        raise MessageError("chunks in HTTP/1.0")
    if chunked:
        return ChunkedBody(parser, collector)
    return CountedBody(length or 0)


def _framing(fields: Fields) -> tuple[int | None, bool]:
    """Return the length that a head tells, None for none, and whether chunks follow.

    Raises
    ------
    MessageError
        If it tells more than one length, or none that is understood.
    """
    framing = [
        (name, value)
        for name, value in fields
        if name in (b"content-length", b"transfer-encoding")
    ]
    if not framing:
        return None, False
    if len(framing) > 1:
        raise MessageError("more than one length of the body")
    name, value = framing[0]
    if name == b"transfer-encoding":
        if value.lower() != b"chunked":
            raise MessageError("an encoding of the body that is not known")
        return None, True
    if LENGTH.fullmatch(value) is None:
        raise MessageError("a length of the body that is no number")
    return int(value), False


class AnswerReader(msgspec.Struct):
    """Reads one answer.

    Parameters
    ----------
    method : str
        Of the request; the answer to HEAD has no body.

    Attributes
    ----------
    head : AnswerHead or None
        Once it has been read.
    """

    method: str
    head: AnswerHead | None = None
    buffered: bytes = b""

    def feed(
        self, data: bytes, on_head: Callable[[AnswerHead], None]
    ) -> tuple[list[bytes], bytes, bool]:
        """Read on; `on_head` is called before any content is returned.

        Returns
        -------
        tuple
            See `ChunkedBody.feed`.

        Raises
        ------
        MessageError
            If the bytes are no answer.
        """
        if self.head is None:
            self.buffered += data
            data = self._take_head()
            if self.head is None:
                return [], b"", False
            on_head(self.head)
        return self.head.body.feed(data)

    def close(self) -> bool:
        """Return whether the end of the connection makes the answer whole."""
        return self.head is not None and isinstance(self.head.body, EndlessBody)

    def _take_head(self) -> bytes:
        """Take the head, passing over interim ones; return what follows it."""
        while True:
            end = self.buffered.find(HEAD_END)
            if end < 0:
                self._check_partial()
                return b""
            head = self.buffered[: end + len(HEAD_END)]
            self.buffered = self.buffered[len(head) :]
            found = _read_answer_head(head, self.method)
            if found is None:
                continue
            self.head = found
            rest = self.buffered
            self.buffered = b""
            return rest

    def _check_partial(self) -> None:
        """Refuse early what can never become a head."""
        if len(self.buffered) > ANSWER_HEAD_LIMIT:
            raise MessageError("the head of the answer is too large")
        start = b"HTTP/1."
        if not self.buffered.startswith(start[: len(self.buffered)]):
            raise MessageError("no status line")


def _read_answer_head(head: bytes, method: str) -> AnswerHead | None:
    """Return what an answer's head says; None for one that announces the real one."""
    if FORBIDDEN.search(head) or FOLDED.search(head):
        raise MessageError("a control character, bare line end or folded line")
    collector = _Collector()
    parser = httptools.HttpResponseParser(collector)
    _feed_head(parser, head)
    status = parser.get_status_code()
    if status == 101:
        raise MessageError("another protocol")
    if status < 200:
        return None
    fields = collector.take_fields()
    if parser.get_http_version() not in ("1.0", "1.1"):
        raise MessageError("another version")
    length, chunked = _framing(fields)
    body: Body
    if method == "HEAD" or status in BODYLESS:
        body = CountedBody(0)
    elif chunked:
        body = ChunkedBody(parser, collector)
    elif length is not None:
        body = CountedBody(length)
    else:
        body = EndlessBody()
    keeps = parser.get_http_version() == "1.1"
    keeps = keeps and b"close" not in _connection_options(fields)
    keep_alive = keeps and not isinstance(body, EndlessBody)
    return AnswerHead(status, fields, body, keep_alive)


def request_bytes(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return a whole request; `headers` hold what is needed to frame `body`."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return _join(lines) + body


def answer_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer; `headers` hold what frames its body."""
    lines = [f"HTTP/1.1 {status} "]
    lines += [f"{name}: {value}" for name, value in headers]
    return _join(lines)


def _join(lines: list[str]) -> bytes:
    head = "\r\n".join(lines) + "\r\n\r\n"
    # A value with a line end would let its writer speak for this program.
    if head.count("\n") != len(lines) + 1 or head.count("\r") != len(lines) + 1:
        raise MessageError("a line end within a header")
    return head.encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Return one chunk; empty `data` would end the body and gives nothing."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


#: Ends a body in chunks.
LAST_CHUNK = b"0\r\n\r\n"
