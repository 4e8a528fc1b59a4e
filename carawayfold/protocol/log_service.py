"""Clients of the platform: its append-only log and its instance list."""

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

#: Milliseconds that a read of the log waits for new records.
LOG_WAIT_MS = 1000
#: Seconds after which an unanswered call of the platform is given up.
TIMEOUT = 3.0
#: Seconds before the log is asked again after it failed.
RETRY_WAIT = 0.3
#: Most records asked for at once.
READ_MOST = 1000


class PlatformError(Exception):
    """The platform did not answer, or not as its protocol says.

    After an append, the record may stand on the log all the same.
    """


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: int
    data: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Records read at once.

    Attributes
    ----------
    first : int
        Offset of the oldest record that is still kept.
    next : int
        Offset that the next appended record will get.
    records : list of LogRecord
        Records from the asked offset on.
    """

    first: int
    next: int
    records: list[LogRecord]


class Appended(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


class Instance(msgspec.Struct, frozen=True):
    """One entry of the platform's instance list; it lags behind reality.

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
    """Reads and appends one stream of the platform's log.

    Attributes
    ----------
    appends : int
        Appends sent since the start.
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
            If the log did not say so; the record may stand there all the same.
        """
        self.appends += 1
        answer = await self._ask("POST", self.path, data, TIMEOUT)
        return _decode(answer, Appended).offset

    async def read(self, start: int, wait_ms: int = LOG_WAIT_MS) -> LogPage:
        """Return records from offset `start` on, waiting up to `wait_ms`.

        Raises
        ------
        PlatformError
            If the log did not answer.
        """
        path = f"{self.path}?from={start}&wait={wait_ms}&most={READ_MOST}"
        answer = await self._ask("GET", path, b"", TIMEOUT + wait_ms / 1000)
        return _decode(answer, LogPage)

    async def _ask(self, method: str, path: str, body: bytes, timeout: float) -> bytes:
        return await ask(self.http, self.address, method, path, body, timeout)


async def follow(step: Callable[[], Awaitable[None]]) -> None:
    """Call `step`, which reads a stream, for ever; an outage only delays it."""
    while True:
        try:
            await step()
        except PlatformError as error:
            logger.debug("log unreachable", extra={"reason": str(error)})
            await asyncio.sleep(RETRY_WAIT)


async def list_instances(http: HttpClient, address: Address) -> list[Instance]:
    """Return the platform's instance list.

    Raises
    ------
    PlatformError
        If the platform did not answer.
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
    """Return the body of a successful answer of the platform."""
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
