"""Client of the platform's store, and the sources that read from it."""

from __future__ import annotations

import asyncio
import base64
import json
import re
import struct
import urllib.parse
from typing import TYPE_CHECKING, Annotated, Any, Generic, TypeVar

import logbook
import msgspec

from carawayfold.platform import records
from carawayfold.protocol.sources import (
    EndpointChange,
    Evacuation,
    Page,
    PeerEntry,
    QuarantineRecord,
    RecordsNotRetained,
    SourceError,
    SourceTimeout,
)
from carawayfold.state.ids import DataCentreId, EndpointName, Position
from carawayfold.state.positions import OFFSET_BITS, era_of, offset_of, position
from carawayfold.transport.client import ExchangeError, ResponseTimeoutError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.settings import Address
    from carawayfold.state.ids import ContentId
    from carawayfold.state.routes import RouteTable
    from carawayfold.transport.client import Head, HttpClient

logger = logbook.Logger(__name__)

T = TypeVar("T")

#: Compacted topics: the store retains the newest record of each key.
CONFIG_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
PEER_TOPIC = "keyed.routers"
#: Key of the operators' configuration.
CONFIG_KEY = "config"
#: Prefix of the keys of evacuated data centres.
EVACUATION_KEY_PREFIX = "evacuate/"
#: Prefix of the keys of quarantined contents; router names contain no slash, so that
#: the two can't collide.
CONTENT_KEY_PREFIX = "content/"
#: Begins an escape of what is no text in a key; see `Record`.
KEY_ESCAPE = "\\"
#: The single partition of these topics.
PARTITION = 0
#: Response header with the era: how often the store has been restored from a copy.
ERA_HEADER = "store-era"
#: Seconds to wait for a response: a call takes 4 ms, and a connection that has lost a
#: response never delivers another one.
TIMEOUT = 1.0
#: Seconds to wait for the response of a read beyond the time that the store itself
#: waits for records.
READ_TIMEOUT_MARGIN = 0.6
#: Form of an era. Positions, which contain it, are sent in signed numbers of 64 bits.
ERA = re.compile(r"[0-9]{1,6}", re.ASCII)
#: Header of a read response: the end offset of the log and the first retained offset.
READ_HEADER = struct.Struct(">QQ")
#: Header of a record: its size in bytes.
RECORD_HEADER = struct.Struct(">I")
#: Maximum size of the pages of one list of newest records, in bytes.
MAX_LISTED_BYTES = 16 << 20
#: Most keys of unreadable records to remember and to log; each is logged once however
#: often the record is rewritten.
MAX_REMEMBERED_KEYS = 200
#: Seconds after which keys may be logged again once that many were logged.
LOG_RESET_INTERVAL = 60.0
#: Most characters of a key, and of the reason, in a log line.
MAX_LOGGED_LENGTH = 200


class Record(msgspec.Struct, frozen=True):
    """One record of a compacted topic; `value` is None where the key was removed.

    Parts of a key that are no text, bytes that are not valid UTF-8 or surrogates, are
    replaced by backslash escapes, so that the key matches no valid one.

    Attributes
    ----------
    fault : str
        Why the record can't be read; empty if it can.
    """

    key: str
    value: bytes | None
    fault: str = ""


class StoreAnswer(msgspec.Struct, frozen=True):
    """Response body of the store, and the store's era at that time."""

    era: int
    body: bytes


class WireKey(msgspec.Struct):
    """The key of a row of a list of newest records."""

    key: str


class WireRow(msgspec.Struct):
    """One row of a list of newest records; its value is base64-encoded."""

    key: str
    value: str


class WireNewest(msgspec.Struct):
    """Response with the newest record of each key; reads continue from `end`."""

    entries: list[Any]
    end: Annotated[int, msgspec.Meta(ge=0, lt=1 << OFFSET_BITS)]
    more_pages: bool = False


class StoreClient:
    """HTTP client of the store.

    Every call raises `SourceError` if it fails, and `SourceTimeout`, one of its kinds,
    if the store does not respond in time.

    Parameters
    ----------
    http : HttpClient
        Client for the requests.
    address : Address
        Address of the store.

    Attributes
    ----------
    calls : int
        Number of calls since the start; each one has a cost.
    """

    def __init__(self, http: HttpClient, address: Address) -> None:
        self.http = http
        self.address = address
        self.calls = 0

    async def newest(self, topic: str) -> Page[Record]:
        """Return the newest record of each key of `topic`.

        Raises
        ------
        RecordsNotRetained
            If the store is restored from a copy between two pages of the list.
        SourceError
            If the list exceeds `MAX_LISTED_BYTES` or begins again.
        """
        found: list[Record] = []
        first_end: Position | None = None
        after = ""
        last_keys: set[str] = set()
        size = 0
        while True:
            path = f"/log-newest?topic={topic}&part={PARTITION}"
            answer = await self._call("GET", f"{path}{after}")
            page = _decode_newest(answer.body)
            if first_end is None:
                first_end = position(answer.era, page.end)
            elif era_of(first_end) != answer.era:
                raise RecordsNotRetained("the store came back from a copy")
            found.extend(_listed_record(row) for row in page.entries)
            if not page.more_pages:
                return Page(found, first_end)
            if not page.entries:
                raise SourceError("an empty page that is not the last one")
            size += len(answer.body)
            last_key = _last_key(page.entries)
            if size > MAX_LISTED_BYTES or last_key in last_keys:
                raise SourceError("a list without end")
            last_keys.add(last_key)
            quoted = urllib.parse.quote(last_key, errors="surrogatepass")
            after = f"&after={quoted}"

    async def read(self, topic: str, start: Position, wait: float) -> Page[Record]:
        """Return records of `topic` from `start` on, waiting up to `wait` seconds.

        Raises
        ------
        RecordsNotRetained
            If the records are no longer retained, or if the store has been restored
            from a copy, which invalidates earlier offsets.
        """
        path = (
            f"/log-read?topic={topic}&part={PARTITION}&from={offset_of(start)}"
            f"&wait_ms={round(wait * 1000)}"
        )
        answer = await self._call("GET", path, timeout=READ_TIMEOUT_MARGIN + wait)
        if answer.era != era_of(start):
            raise RecordsNotRetained("the store came back from a copy")
        return _decode_records(answer.body, start)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, which becomes the newest of `key`."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = RECORD_HEADER.pack(len(record)) + record
        path = f"/log-append?topic={topic}&part={PARTITION}"
        await self._call("POST", path, body)

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout: float | None = None
    ) -> StoreAnswer:
        self.calls += 1
        try:
            answer = await self.http.fetch(
                self.address, method, path, body, timeout or TIMEOUT
            )
        except ResponseTimeoutError as error:
            # The cause of a missing response may affect all open connections.
            self.http.drop_idle(self.address)
            raise SourceTimeout(str(error)) from error
        except ExchangeError as error:
            raise SourceError(str(error)) from error
        if answer.head.status == 410:
            raise RecordsNotRetained("the records are no longer kept")
        if answer.head.status != 200:
            raise SourceError(f"status {answer.head.status}")
        return StoreAnswer(_era(answer.head), answer.body)


class StoreSource(Generic[T]):
    """Reads one topic and decodes its records.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    topic : str
        Name of the topic.
    decode : callable
        Returns the decoded record, or None for a record to skip.
    unreadable : callable
        Returns the replacement for a record that can't be decoded, or None to skip
        it. Other programs may write to the topic too, and one invalid record must
        not block the rest.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        decode: Callable[[Record], T | None],
        unreadable: Callable[[Record], T | None] = lambda record: None,
    ) -> None:
        self.store = store
        self.topic = topic
        self.decode = decode
        self.unreadable = unreadable
        self.logged: set[str] = set()
        #: Loop time from which `logged` may be cleared.
        self.log_reset_at = 0.0

    async def newest(self) -> Page[T]:
        """Return the newest record of each key."""
        return self._decoded(await self.store.newest(self.topic))

    async def read(self, start: Position, wait: float) -> Page[T]:
        """Return records from `start` on, waiting up to `wait` seconds for one."""
        return self._decoded(await self.store.read(self.topic, start, wait))

    def _decoded(self, page: Page[Record]) -> Page[T]:
        items = [self._decode_one(record) for record in page.items]
        known = [item for item in items if item is not None]
        return Page(known, page.next, page.complete)

    def _decode_one(self, record: Record) -> T | None:
        try:
            if record.fault:
                raise SourceError(record.fault)
            return self.decode(record)
        except SourceError as error:
            self._log_unreadable(record, error)
            return self.unreadable(record)

    def _log_unreadable(self, record: Record, error: SourceError) -> None:
        if record.key in self.logged:
            return
        now = asyncio.get_running_loop().time()
        if len(self.logged) >= MAX_REMEMBERED_KEYS:
            if now < self.log_reset_at:
                return
            self.logged.clear()
        if not self.logged:
            self.log_reset_at = now + LOG_RESET_INTERVAL
        self.logged.add(record.key)
        extra = {
            "topic": self.topic,
            "key": record.key[:MAX_LOGGED_LENGTH],
            "reason": str(error)[:MAX_LOGGED_LENGTH],
        }
        logger.warning("unreadable record", extra=extra)


class StoreDirectory(StoreSource[PeerEntry | QuarantineRecord]):
    """Records that the routers share: their addresses and the quarantine."""

    def __init__(self, store: StoreClient) -> None:
        super().__init__(store, PEER_TOPIC, _decode_directory_record)

    async def announce(self, entry: PeerEntry) -> None:
        """Write this router's own entry."""
        value = msgspec.json.encode(entry)
        await self.store.append(PEER_TOPIC, entry.router, value)

    async def store_verdict(self, record: QuarantineRecord) -> None:
        """Write the quarantine record of a content."""
        value = msgspec.json.encode(record)
        await self.store.append(PEER_TOPIC, CONTENT_KEY_PREFIX + record.content, value)

    async def delete_verdict(self, content: ContentId) -> None:
        """Remove the quarantine record of a content."""
        await self.store.append(PEER_TOPIC, CONTENT_KEY_PREFIX + content, b"")


def operator_source(store: StoreClient) -> StoreSource[RouteTable | Evacuation]:
    """Return the source of the operators' configurations and evacuations."""
    return StoreSource(store, CONFIG_TOPIC, _decode_operator_record)


def endpoint_source(store: StoreClient) -> StoreSource[EndpointChange]:
    """Return the source of endpoints' registrations."""
    return StoreSource(store, ENDPOINT_TOPIC, _decode_registered, _unreadable)


def _decode_operator_record(record: Record) -> RouteTable | Evacuation | None:
    if record.key.startswith(EVACUATION_KEY_PREFIX):
        data_centre = DataCentreId(record.key.removeprefix(EVACUATION_KEY_PREFIX))
        return Evacuation(data_centre, bool(record.value))
    if record.key != CONFIG_KEY or not record.value:
        return None
    return records.decode_routes(record.value)


def _decode_registered(record: Record) -> EndpointChange:
    if not record.value:
        return EndpointChange(EndpointName(record.key), None)
    now = asyncio.get_running_loop().time()
    endpoint = records.decode_endpoint(record.key, record.value, now)
    return EndpointChange(endpoint.name, endpoint)


def _unreadable(record: Record) -> EndpointChange:
    return EndpointChange(EndpointName(record.key), None, unreadable=True)


def _decode_directory_record(record: Record) -> PeerEntry | QuarantineRecord | None:
    if not record.value:
        return None
    if not record.key.startswith(CONTENT_KEY_PREFIX):
        entry = records.decode(record.value, PeerEntry)
        if entry.router != record.key or KEY_ESCAPE in record.key:
            raise SourceError("the entry of another router")
        return entry
    verdict = records.decode(record.value, QuarantineRecord)
    if CONTENT_KEY_PREFIX + verdict.content != record.key:
        raise SourceError("the verdict on another content")
    return verdict


def _decode_newest(data: bytes) -> WireNewest:
    # A key that is not valid UTF-8 must not hide the other entries.
    text = data.decode(errors="replace")
    try:
        return msgspec.json.decode(text, type=WireNewest)
    except (msgspec.DecodeError, RecursionError):
        return _decode_leniently(text)


def _decode_leniently(text: str) -> WireNewest:
    """Return a list of which some rows have escapes of surrogates or odd numbers."""
    try:
        return msgspec.convert(json.loads(text), WireNewest)
    except (ValueError, RecursionError) as error:
        raise SourceError(str(error)) from None


def _last_key(rows: list[Any]) -> str:
    """Return the key after which a list goes on, of its last row that has one."""
    for row in reversed(rows):
        try:
            return msgspec.convert(row, WireKey).key
        except msgspec.ValidationError:
            continue
    raise SourceError("a list without a key")


def _era(head: Head) -> int:
    text = head.headers.get(ERA_HEADER, "0")
    if not ERA.fullmatch(text):
        raise SourceError(f"no era: {text[:MAX_LOGGED_LENGTH]}")
    return int(text)


def _decode_records(data: bytes, start: Position) -> Page[Record]:
    if len(data) < READ_HEADER.size:
        raise SourceError("a read without its head")
    offset = READ_HEADER.size
    found: list[Record] = []
    while offset < len(data):
        if offset + RECORD_HEADER.size > len(data):
            raise SourceError("a read that ends within the size of a record")
        size = RECORD_HEADER.unpack_from(data, offset)[0]
        offset += RECORD_HEADER.size
        if offset + size > len(data):
            raise SourceError("a read that ends within a record")
        found.append(_decode_record(data[offset : offset + size]))
        offset += size
    after = Position(start + len(found))
    end = READ_HEADER.unpack_from(data)[0]
    return Page(found, after, offset_of(after) >= end)


def _decode_record(data: bytes) -> Record:
    length = data[0] if data else 0
    key = data[1 : 1 + length].decode(errors="backslashreplace")
    value = data[1 + length :]
    return Record(key, value or None)


def _listed_record(row: object) -> Record:
    try:
        key = _escaped(msgspec.convert(row, WireKey).key)
    except msgspec.ValidationError as error:
        return Record("", None, str(error))
    try:
        return Record(key, base64.b64decode(msgspec.convert(row, WireRow).value))
    except ValueError as error:
        return Record(key, None, str(error))


def _escaped(text: str) -> str:
    return text.encode(errors="backslashreplace").decode()
