"""HTTP/1.1 messages: llhttp parses heads and chunks, other bodies are counted here.

A parser is used for one message only and never receives bytes beyond it, so no state
is carried over to the next message, and bytes after the end of a response are detected.
Input that the parser accepts but that is ambiguous is rejected before it is parsed.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import httptools
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

#: Header names and values, in order.
Fields = list[tuple[bytes, bytes]]

#: Terminator of a head.
HEAD_END = b"\r\n\r\n"
#: Last byte of a line.
LINE_END = b"\n"
#: Maximum size of a response head, in bytes; endpoints and the platform send 2 KB.
RESPONSE_HEAD_LIMIT = 32768
#: Maximum number of header lines of a response.
MAX_RESPONSE_HEADERS = 256
#: Maximum number of interim responses before a response.
MAX_INTERIM_RESPONSES = 16
#: Maximum number of framing bytes between two parts of chunked content: chunk sizes
#: or trailers.
CHUNK_FRAME_LIMIT = 4096
#: Accepted request lines; the parser also accepts those of other protocols.
REQUEST_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,32} (/[!-~]*) HTTP/1\.([01])\r\n"
)
#: Accepted ``Content-Length`` values: digits only.
LENGTH = re.compile(rb"[0-9]{1,18}")
#: Bytes not allowed in a head: control characters, and line ends other than CR LF.
FORBIDDEN_BYTES = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|(?<!\r)\n|\r(?!\n)")
#: A header line that continues the one before it.
FOLDED = re.compile(rb"\r\n[ \t]")
#: Beginning of the status line of a response.
STATUS_LINE_START = b"HTTP/1."
#: Status codes of responses that never have a body.
BODYLESS_STATUSES = frozenset({204, 304})


class MessageError(Exception):
    """The bytes are not a valid message, or the message is ambiguous."""


class _Collector:
    """Collects the results of the parser callbacks."""

    __slots__ = ("fields", "complete", "data")

    def __init__(self) -> None:
        self.fields: Fields = []
        self.complete = False
        self.data: list[bytes] = []

    def take_fields(self) -> Fields:
        """Return the headers of the head; trailers are never included."""
        fields = self.fields
        self.fields = []
        return fields

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self.fields.append((name.lower(), value.strip(b" \t")))

    def on_body(self, data: bytes) -> None:
        """Store a part of a chunk."""
        self.data.append(data)

    def on_message_complete(self) -> None:
        """Record that the last chunk and the trailers have been read."""
        self.complete = True


class ChunkedBody:
    """Reads a chunked body without consuming bytes after it.

    Parameters
    ----------
    parser : httptools.HttpParser
        Parser that has read the head of the message.
    collector : _Collector
        Object that receives the callbacks of the parser.
    """

    def __init__(self, parser: object, collector: _Collector) -> None:
        self.parser = parser
        self.collector = collector
        #: Framing bytes since the last content.
        self.framing = 0
        #: Whether the last chunk may have started.
        self.may_end = False

    def feed(self, data: bytes) -> tuple[list[bytes], bytes, bool]:
        """Process received bytes.

        A message ends with a line end after a chunk of size 0. From where that chunk
        may have started, the parser gets the bytes line by line and stops directly
        after the last line; all bytes before are passed to it at once.

        Returns
        -------
        pieces : list of bytes
            Content without the chunk framing.
        rest : bytes
            Bytes after the message.
        complete : bool
            Whether the message is complete.

        Raises
        ------
        MessageError
            If the chunked encoding is invalid.
        """
        collector = self.collector
        if data.startswith(b"0") or b"\n0" in data:
            self.may_end = True
        start = 0
        parts = 0
        framing = self.framing
        try:
            while start < len(data) and not collector.complete:
                end = self._safe_end(data, start)
                self.parser.feed_data(data[start:end])
                framing += end - start
                if len(collector.data) > parts:
                    parts = len(collector.data)
                    framing = 0
                elif framing > CHUNK_FRAME_LIMIT:
                    raise MessageError("too many bytes between chunks")
                start = end
        except httptools.HttpParserError as error:
            raise MessageError(str(error)) from None
        self.framing = framing
        pieces = collector.data
        collector.data = []
        return pieces, data[start:], collector.complete

    def _safe_end(self, data: bytes, start: int) -> int:
        """Return an end up to which the parser consumes only bytes of this message."""
        if not self.may_end:
            return len(data)
        return data.find(LINE_END, start) + 1 or len(data)


class CountedBody:
    """Reads a body of a known length."""

    def __init__(self, length: int) -> None:
        self.left = length

    def feed(self, data: bytes) -> tuple[list[bytes], bytes, bool]:
        """Process received bytes; see `ChunkedBody.feed`."""
        part = data[: self.left]
        self.left -= len(part)
        return [part] if part else [], data[len(part) :], not self.left


class EndlessBody:
    """Reads a body that ends when the connection is closed."""

    def feed(self, data: bytes) -> tuple[list[bytes], bytes, bool]:
        """Process received bytes; see `ChunkedBody.feed`."""
        return [data] if data else [], b"", False


#: Readers for the kinds of message body.
Body = ChunkedBody | CountedBody | EndlessBody


class RequestHead(msgspec.Struct):
    """Head of a request and the framing of its body.

    Attributes
    ----------
    fields : list of tuple of bytes
        Headers in order, with names in lower case.
    body : CountedBody or ChunkedBody
        Reader for the body.
    keep_alive : bool
        Whether the connection may be reused.
    awaits_continue : bool
        Whether the caller waits for ``100 Continue`` before it sends the body.
    is_http_1_1 : bool
        Whether the caller uses HTTP/1.1 and so accepts chunked responses.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: Body
    keep_alive: bool
    awaits_continue: bool
    is_http_1_1: bool


class ResponseHead(msgspec.Struct):
    """Head of a response; see `RequestHead`."""

    status: int
    fields: Fields
    body: Body
    keep_alive: bool


def read_request_head(head: bytes) -> RequestHead:
    """Parse the head of a request.

    Parameters
    ----------
    head : bytes
        Bytes up to and including the empty line.

    Raises
    ------
    MessageError
        If it violates the protocol, or the length of the body is ambiguous.
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
    is_http_1_1 = line.group(2) == b"1"
    hosts = sum(name == b"host" for name, _ in fields)
    if hosts > 1 or (is_http_1_1 and not hosts):
        raise MessageError("not one host")
    options = _connection_options(fields)
    return RequestHead(
        method=parser.get_method(),
        target=line.group(1),
        fields=fields,
        body=_request_body(parser, collector, fields, is_http_1_1),
        keep_alive=is_http_1_1 and b"close" not in options,
        awaits_continue=is_http_1_1 and _awaits_continue(fields),
        is_http_1_1=is_http_1_1,
    )


def _feed_head(parser: object, head: bytes) -> None:
    try:
        parser.feed_data(head)
    except httptools.HttpParserUpgrade:
        # The optional upgrade is ignored and the request handled as HTTP/1.1.
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
    parser: object, collector: _Collector, fields: Fields, is_http_1_1: bool
) -> Body:
    length, chunked = _framing(fields)
    if chunked and not is_http_1_1:
        raise MessageError("chunks in HTTP/1.0")
    if chunked:
        return ChunkedBody(parser, collector)
    return CountedBody(length or 0)


def _framing(fields: Fields) -> tuple[int | None, bool]:
    """Return the declared body length, or None, and whether the body is chunked.

    Raises
    ------
    MessageError
        If there is more than one length, or one that is invalid or unsupported.
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


class ResponseReader(msgspec.Struct):
    """Incremental reader for one response.

    Parameters
    ----------
    method : str
        Method of the request; the response to HEAD has no body.

    Attributes
    ----------
    head : ResponseHead or None
        Head of the response; None until it has been read.
    buffered : bytearray
        Bytes of an incomplete head.
    interim_responses : int
        Number of interim responses received.
    """

    method: str
    head: ResponseHead | None = None
    buffered: bytearray = msgspec.field(default_factory=bytearray)
    interim_responses: int = 0

    def feed(
        self, data: bytes, on_head: Callable[[ResponseHead], None]
    ) -> tuple[list[bytes], bytes, bool]:
        """Process received bytes; call `on_head` before any content is returned.

        Returns
        -------
        tuple
            See `ChunkedBody.feed`.

        Raises
        ------
        MessageError
            If the bytes are not a valid response.
        """
        if self.head is None:
            data = self._read_head(data)
            if self.head is None:
                return [], b"", False
            on_head(self.head)
        return self.head.body.feed(data)

    def close(self) -> bool:
        """Return whether the response is complete when the connection ends."""
        return self.head is not None and isinstance(self.head.body, EndlessBody)

    def _read_head(self, data: bytes) -> bytes:
        """Read the head, skipping interim responses; return the bytes after it."""
        received: bytes | bytearray = data
        searched = 0
        if self.buffered:
            # The terminator may have begun in the bytes received before.
            searched = max(0, len(self.buffered) - len(HEAD_END) + 1)
            self.buffered += data
            received = self.buffered
        start = 0
        while (end := received.find(HEAD_END, max(start, searched))) >= 0:
            end += len(HEAD_END)
            if end - start > RESPONSE_HEAD_LIMIT:
                raise MessageError("the head of the answer is too large")
            found = _read_response_head(bytes(received[start:end]), self.method)
            start = end
            if found is not None:
                self.head = found
                rest = bytes(received[start:])
                self.buffered.clear()
                return rest
            self._count_interim_response()
        self._keep_incomplete(received, start, max(start, searched))
        return b""

    def _count_interim_response(self) -> None:
        self.interim_responses += 1
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            raise MessageError("too many interim responses")

    def _keep_incomplete(
        self, received: bytes | bytearray, start: int, unchecked: int
    ) -> None:
        """Buffer the bytes from `start`; reject those that cannot become a head.

        Bytes before `unchecked` have been checked when they were received.
        """
        end = len(received)
        if end - start > RESPONSE_HEAD_LIMIT:
            raise MessageError("the head of the answer is too large")
        begun = STATUS_LINE_START[: end - start]
        if not received.startswith(begun, start):
            raise MessageError("no status line")
        # The LF after a CR at the end may not have arrived yet.
        if received.endswith(b"\r"):
            end -= 1
        if FORBIDDEN_BYTES.search(received, unchecked, end):
            raise MessageError("a control character or a bare line end")
        if received is not self.buffered:
            self.buffered += received[start:]
        else:
            del self.buffered[:start]


def _read_response_head(head: bytes, method: str) -> ResponseHead | None:
    """Parse the head of a response; return None for an interim response."""
    # Beside the headers: the line of the status, and the empty one.
    if head.count(LINE_END) > MAX_RESPONSE_HEADERS + 2:
        raise MessageError("too many headers")
    if FORBIDDEN_BYTES.search(head) or FOLDED.search(head):
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
    if method == "HEAD" or status in BODYLESS_STATUSES:
        body = CountedBody(0)
    elif chunked:
        body = ChunkedBody(parser, collector)
    elif length is not None:
        body = CountedBody(length)
    else:
        body = EndlessBody()
    persistent = parser.get_http_version() == "1.1"
    persistent = persistent and b"close" not in _connection_options(fields)
    keep_alive = persistent and not isinstance(body, EndlessBody)
    return ResponseHead(status, fields, body, keep_alive)


def request_bytes(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return a complete request; `headers` include the framing of `body`."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return _encode_head(lines) + body


def response_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of a response; `headers` include the framing of its body."""
    lines = [f"HTTP/1.1 {status} "]
    lines += [f"{name}: {value}" for name, value in headers]
    return _encode_head(lines)


def _encode_head(lines: list[str]) -> bytes:
    head = "\r\n".join(lines) + "\r\n\r\n"
    # A line end in a value would allow header injection.
    if head.count("\n") != len(lines) + 1 or head.count("\r") != len(lines) + 1:
        raise MessageError("a line end within a header")
    return head.encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Return one chunk, or nothing for empty `data`, which would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


#: Last chunk, which ends a chunked body.
LAST_CHUNK = b"0\r\n\r\n"
