"""What callers send: headers, paths and bodies, parsed into one typed request."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import msgspec
import xxhash

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.ids import RequestId, ServiceId

if TYPE_CHECKING:
    from collections.abc import Mapping

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
REQUEST_ID_LIMIT = 128
KEY_LIMIT = 255
#: Headers of plain calls that are passed on.
PASSED_ON = ("content-type", "accept", "accept-language", "range")


class CallerRequest(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes
    ----------
    request_id : RequestId
        Chosen by the caller, or made here.
    api_key : str
        Bearer token.
    service : ServiceId
        Model or application.
    method, path : str
        Of the call to the endpoint.
    headers : list of tuple of str
        Headers to pass on.
    body : bytes
        Body to pass on.
    chat : bool
        Whether it is a model request.
    streamed : bool
        Whether the answer is a stream of events.
    urgent : bool
        Whether it goes before normal work of its organisation.
    timeout : float or None
        Seconds within which it must have begun; None takes the default.
    idempotency_key : str
        Marks a request that may not be repeated; empty for none.
    """

    request_id: RequestId
    api_key: str
    service: ServiceId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    chat: bool = False
    streamed: bool = False
    urgent: bool = False
    timeout: float | None = None
    idempotency_key: str = ""

    @property
    def fingerprint(self) -> bytes:
        """Return a digest that tells this request from others."""
        text = f"{self.method} {self.path}\n".encode() + self.body
        return xxhash.xxh3_64_digest(text)


class ChatBody(msgspec.Struct):
    """The fields of a chat completion that the router reads or checks."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


chat_decoder = msgspec.json.Decoder(ChatBody)


def parse(
    request_id: RequestId,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
) -> CallerRequest:
    """Parse a caller's request.

    Parameters
    ----------
    request_id : RequestId
        From `parse_request_id`.
    method, path : str
        From the request line; `path` with its query.
    headers : mapping of str to str
        Looked up without regard to case.
    body : bytes
        Whole body.

    Returns
    -------
    CallerRequest
        The request.

    Raises
    ------
    Refusal
        ``malformed-request``, ``unknown-key`` or ``unknown-service``.
    """
    common = {"request_id": request_id, **_parse_headers(headers)}
    if path == CHAT_PATH:
        if method != "POST":
            raise Refusal(ErrorKind.MALFORMED_REQUEST, "use POST here")
        return _parse_chat(common, body)
    if path.startswith(SERVICES_PREFIX):
        return _parse_plain(common, method, path, headers, body)
    raise Refusal(ErrorKind.UNKNOWN_SERVICE, "there is nothing under this path")


def _parse_headers(headers: Mapping[str, str]) -> dict[str, Any]:
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise Refusal(ErrorKind.UNKNOWN_KEY, "send the API key as a bearer token")
    return {
        "api_key": token.strip(),
        "urgent": _parse_priority(headers.get("X-Priority", "normal")),
        "timeout": _parse_timeout(headers.get("X-Request-Timeout")),
        "idempotency_key": _parse_key(headers.get("Idempotency-Key", "")),
    }


def parse_request_id(headers: Mapping[str, str]) -> RequestId:
    """Return the caller's request id, or a new one."""
    value = headers.get("X-Request-Id", "")
    if not value:
        return RequestId(uuid.uuid4().hex)
    if len(value) > REQUEST_ID_LIMIT or not _plain(value):
        raise Refusal(ErrorKind.MALFORMED_REQUEST, "X-Request-Id is not valid")
    return RequestId(value)


def _plain(value: str) -> bool:
    return value.isascii() and value.isprintable()


def _parse_priority(value: str) -> bool:
    if value not in ("urgent", "normal"):
        raise Refusal(ErrorKind.MALFORMED_REQUEST, "X-Priority is urgent or normal")
    return value == "urgent"


def _parse_timeout(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        timeout = float(value)
    except ValueError:
        timeout = -1.0
    if not 0 < timeout <= 3600:
        detail = "X-Request-Timeout is in seconds, above 0 and at most 3600"
        raise Refusal(ErrorKind.MALFORMED_REQUEST, detail)
    return timeout


def _parse_key(value: str) -> str:
    if len(value) > KEY_LIMIT or not _plain(value):
        raise Refusal(ErrorKind.MALFORMED_REQUEST, "Idempotency-Key is not valid")
    return value


def _parse_chat(common: dict[str, Any], body: bytes) -> CallerRequest:
    try:
        chat = chat_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise Refusal(ErrorKind.MALFORMED_REQUEST, str(error)) from None
    return CallerRequest(
        **common,
        service=ServiceId(chat.model),
        method="POST",
        path=CHAT_PATH,
        headers=[("Content-Type", "application/json")],
        body=body,
        chat=True,
        streamed=chat.stream,
    )


def _parse_plain(
    common: dict[str, Any],
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
) -> CallerRequest:
    name, slash, rest = path[len(SERVICES_PREFIX) :].partition("/")
    passed = [(name, headers[name]) for name in PASSED_ON if name in headers]
    return CallerRequest(
        **common,
        service=ServiceId(unquote(name)),
        method=method,
        path=slash + rest or "/",
        headers=passed,
        body=body,
    )
