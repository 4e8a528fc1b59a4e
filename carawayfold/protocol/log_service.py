"""Clients for the append-only log and the instance list of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayfold.settings import Address
    from carawayfold.transport.client import HttpClient

logger = logbook.Logger(__name__)

#: Milliseconds that a read of the log waits for new records by default.
LOG_WAIT_MS = 1000
#: Seconds after which a call of the platform without a response fails.
TIMEOUT = 3.0
#: Seconds between a failed read of the log and the next one.
RETRY_DELAY = 0.3
#: Maximum number of records per read.
MAX_RECORDS_PER_READ = 1000


class PlatformError(Exception):
    """The platform did not respond, or its response was invalid.

    If an append fails with this error, the record may still have been written.
    """


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream and its offset."""

    offset: int
    data: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Records returned by one read.

    Attributes
    ----------
    first : int
        Offset of the oldest retained record.
    next : int
        Offset of the next record to be appended.
    records : list of LogRecord
        Records from the requested offset on.
    """

    first: int
    next: int
    records: list[LogRecord]


class Appended(msgspec.Struct, frozen=True):
    """Response to an append."""

    offset: int


class Instance(msgspec.Struct, frozen=True):
    """One entry of the instance list of the platform, which may be outdated.

    Attributes
    ----------
    id : str
        Name of the router or endpoint.
    role : str
        ``router`` or ``endpoint``.
    state : str
        ``live`` or ``leaving``.
    """

    id: str
    role: str
    state: str
    data_centre: str
    host: str
    port: int


class LogClient:
    """Client for one stream of the platform log.

    Attributes
    ----------
    appends : int
        Number of appends sent since the start.
    """

    def __init__(self, http: HttpClient, address: Address, stream: str) -> None:
        self.http = http
        self.address = address
        self.path = f"/streams/{stream}/records"
        self.appends = 0

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        Raises
        ------
        PlatformError
            If the log did not confirm it; the record may still have been written.
        """
        self.appends += 1
        answer = await self._ask("POST", self.path, data, TIMEOUT)
        return _decode(answer, Appended).offset

    async def read(self, start: int, wait_ms: int = LOG_WAIT_MS) -> LogPage:
        """Return records from offset `start` on, waiting up to `wait_ms` for one.

        Raises
        ------
        PlatformError
            If the log did not respond, or its response was invalid.
        """
        path = f"{self.path}?from={start}&wait={wait_ms}&most={MAX_RECORDS_PER_READ}"
        answer = await self._ask("GET", path, b"", TIMEOUT + wait_ms / 1000)
        return _decode(answer, LogPage)

    async def _ask(self, method: str, path: str, body: bytes, timeout: float) -> bytes:
        return await ask(self.http, self.address, method, path, body, timeout)


async def follow(step: Callable[[], Awaitable[None]]) -> None:
    """Call `step`, which reads a stream, in a loop; retry it after an outage."""
    while True:
        try:
            await step()
        except PlatformError as error:
            logger.debug("log unreachable", extra={"reason": str(error)})
            await asyncio.sleep(RETRY_DELAY)


async def list_instances(http: HttpClient, address: Address) -> list[Instance]:
    """Return the instance list of the platform.

    Raises
    ------
    PlatformError
        If the platform did not respond, or its response was invalid.
    """
    answer = await ask(http, address, "GET", "/instances", b"", TIMEOUT)
    return _decode(answer, list[Instance])


async def ask(
    http: HttpClient,
    address: Address,
    method: str,
    path: str,
    body: bytes,
    timeout: float,
) -> bytes:
    """Return the body of a successful response of the platform.

    Raises
    ------
    PlatformError
        If there was no response within `timeout` seconds, or its status is not 200.
    """
    try:
        answer = await http.fetch(address, method, path, body, timeout)
    except ExchangeError as error:
        raise PlatformError(str(error)) from error
    if answer.head.status != 200:
        raise PlatformError(f"status {answer.head.status}")
    return answer.body


def _decode(data: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(str(error)) from None
