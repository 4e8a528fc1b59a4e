"""Problem documents (RFC 9457) for rejected requests."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.errors import Refusal

#: Content type of problem documents.
CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, omit_defaults=True):
    """Body of a response that rejects a request.

    Attributes
    ----------
    type : str
        ``urn:carawayfold:error:`` and the error kind.
    kind : str
        Error kind, one of a fixed list.
    ran : str
        Whether the request ran: ``no``, ``yes`` or ``unknown``.
    retry_after : int or None
        Seconds after which the caller may retry.
    """

    type: str
    title: str
    status: int
    kind: str
    ran: str
    detail: str = ""
    request_id: str = ""
    retry_after: int | None = None


def encode(refusal: Refusal, request_id: str = "") -> bytes:
    """Return the problem document of `refusal` as JSON."""
    problem = Problem(
        type=f"urn:carawayfold:error:{refusal.kind.value}",
        title=refusal.answer.title,
        status=refusal.answer.status,
        kind=refusal.kind.value,
        ran=refusal.ran.value,
        detail=refusal.detail,
        request_id=request_id,
        retry_after=refusal.wait,
    )
    return msgspec.json.encode(problem)


def encode_http(refusal: Refusal) -> bytes:
    """Return a complete HTTP response for `refusal` that closes the connection."""
    body = encode(refusal)
    status = refusal.answer.status
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        f"Content-Type: {CONTENT_TYPE}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if refusal.wait is not None:
        lines.append(f"Retry-After: {refusal.wait}")
    return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n" + body
