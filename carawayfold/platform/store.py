"""Client of the platform's store, and the sources that read it."""

from __future__ import annotations

import asyncio
import base64
import binascii
import struct
from typing import TYPE_CHECKING, Generic, TypeVar

import logbook
import msgspec

from carawayfold.platform import records
from carawayfold.protocol.sources import (
    Evacuation,
    HistoryLost,
    NoAnswer,
    Page,
    PeerEntry,
    QuarantineRecord,
    Registered,
    SourceError,
)
from carawayfold.state.ids import DataCentreId, EndpointName, Position
from carawayfold.state.positions import era_of, offset_of, position
from carawayfold.transport.client import ExchangeError, NoAnswerError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.settings import Address
    from carawayfold.state.ids import ContentId
    from carawayfold.state.routes import RouteTable
    from carawayfold.transport.client import Head, HttpClient

logger = logbook.Logger(__name__)

T = TypeVar("T")

#: Topics whose records have keys; of each key the newest record is kept.
CONFIG_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
PEER_TOPIC = "keyed.routers"
CONFIG_KEY = "config"
#: What the key of an evacuated data centre begins with.
EVACUATION_KEY = "evacuate/"
#: What the key of a refused content begins with; names of routers hold no slash.
CONTENT_KEY = "content/"
#: The only partition of these topics.
PARTITION = 0
#: Header of every answer that counts how often the store came back from a copy.
ERA_HEADER = "store-era"
#: Seconds after which an unanswered call is given up: an answer takes 4 ms, and a
#: connection on which one is lost stays silent for good.
TIMEOUT = 1.0
#: The same for a read, after the time that it waits for records.
READ_GRACE = 0.6
#: Before the records of an answer: its end and its first retained offset.
READ_HEAD = struct.Struct(">QQ")
RECORD_HEAD = struct.Struct(">I")
#: Keys of unreadable records that are remembered, so that one which is written
#: again and again is logged once.
UNREADABLE_KEPT = 200
#: Bytes of a key, and of the reason, that a log line holds.
LOGGED_LENGTH = 200


class Record(msgspec.Struct, frozen=True):
    """One record of a topic with keys; `value` is None where the key was dropped.

    Bytes of a key that are no text are kept as escapes, so that they match no key.
    """

    key: str
    value: bytes | None


class StoreAnswer(msgspec.Struct, frozen=True):
    """What the store answered, and how often it had come back from a copy by then."""

    era: int
    body: bytes


class WireEntry(msgspec.Struct):
    """One row of the newest records; its value is in base64."""

    key: str
    value: str
    offset: int


class WireNewest(msgspec.Struct):
    """Answer with the newest record of each key; `end` is where to read on."""

    entries: list[WireEntry]
    end: int
    more_pages: bool = False


class StoreClient:
    """Calls of the store.

    Attributes
    ----------
    calls : int
        Calls made since the start; each one costs.
    """

    def __init__(self, http: HttpClient, address: Address) -> None:
        self.http = http
        self.address = address
        self.calls = 0

    async def newest(self, topic: str) -> Page[Record]:
        """Return the newest record of each key of `topic`."""
        found: list[Record] = []
        first_end: Position | None = None
        after = ""
        while True:
            path = f"/log-newest?topic={topic}&part={PARTITION}"
            answer = await self._ask("GET", f"{path}{after}")
            page = _decode_newest(answer.body)
            if first_end is None:
                first_end = position(answer.era, page.end)
            elif era_of(first_end) != answer.era:
                raise HistoryLost("the store came back from a copy")
            found.extend(_listed_record(item) for item in page.entries)
            if not page.more_pages or not page.entries:
                return Page(found, first_end)
            after = f"&after={page.entries[-1].key}"

    async def read(self, topic: str, start: Position, wait: float) -> Page[Record]:
        """Return records of `topic` from `start` on, waiting up to `wait` seconds.

        Raises
        ------
        HistoryLost
            If they are no longer kept, or if the store has come back from a copy: its
            offsets then tell nothing of records from before.
        """
        path = (
            f"/log-read?topic={topic}&part={PARTITION}&from={offset_of(start)}"
            f"&wait_ms={round(wait * 1000)}"
        )
        answer = await self._ask("GET", path, timeout=READ_GRACE + wait)
        if answer.era != era_of(start):
            raise HistoryLost("the store came back from a copy")
        return _decode_records(answer.body, start)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of `key`."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body = RECORD_HEAD.pack(len(record)) + record
        path = f"/log-append?topic={topic}&part={PARTITION}"
        await self._ask("POST", path, body)

    async def _ask(
        self, method: str, path: str, body: bytes = b"", timeout: float | None = None
    ) -> StoreAnswer:
        self.calls += 1
        try:
            answer = await self.http.fetch(
                self.address, method, path, body, timeout or TIMEOUT
            )
        except NoAnswerError as error:
            # What made this connection silent may have hit all that were open then.
            self.http.drop_idle(self.address)
            raise NoAnswer(str(error)) from error
        except ExchangeError as error:
            raise SourceError(str(error)) from error
        if answer.head.status == 410:
            raise HistoryLost("the records are no longer kept")
        if answer.head.status != 200:
            raise SourceError(f"status {answer.head.status}")
        return StoreAnswer(_era(answer.head), answer.body)


class StoreSource(Generic[T]):
    """Follows one topic and decodes its records.

    Parameters
    ----------
    store : StoreClient
        Where the topic is.
    topic : str
        Name of the topic.
    decode : callable
        Returns what a record says, or None where it says nothing of interest.
    unreadable : callable
        Returns what a record that can't be decoded means. Others may write to the
        topic too; one bad record must not hide the rest.
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

    async def newest(self) -> Page[T]:
        """Return the newest record of each key."""
        return self._decoded(await self.store.newest(self.topic))

    async def read(self, start: Position, wait: float) -> Page[T]:
        """Return records from `start` on, waiting up to `wait` seconds for one."""
        return self._decoded(await self.store.read(self.topic, start, wait))

    def _decoded(self, page: Page[Record]) -> Page[T]:
        items = [self._decode_one(record) for record in page.items]
        return Page([item for item in items if item is not None], page.next)

    def _decode_one(self, record: Record) -> T | None:
        try:
            return self.decode(record)
        except SourceError as error:
            self._log_unreadable(record, error)
            return self.unreadable(record)

    def _log_unreadable(self, record: Record, error: SourceError) -> None:
        if record.key in self.logged:
            return
        if len(self.logged) >= UNREADABLE_KEPT:
            self.logged.clear()
        self.logged.add(record.key)
        extra = {
            "topic": self.topic,
            "key": record.key[:LOGGED_LENGTH],
            "reason": str(error)[:LOGGED_LENGTH],
        }
        logger.warning("unreadable record", extra=extra)


class StoreDirectory(StoreSource[PeerEntry | QuarantineRecord]):
    """What the routers keep for one another, in a topic of their own."""

    def __init__(self, store: StoreClient) -> None:
        super().__init__(store, PEER_TOPIC, _decode_kept)

    async def announce(self, entry: PeerEntry) -> None:
        """Write this router's own entry."""
        value = msgspec.json.encode(entry)
        await self.store.append(PEER_TOPIC, entry.router, value)

    async def keep_verdict(self, record: QuarantineRecord) -> None:
        """Write that a content is refused."""
        value = msgspec.json.encode(record)
        await self.store.append(PEER_TOPIC, CONTENT_KEY + record.content, value)

    async def drop_verdict(self, content: ContentId) -> None:
        """Write that a content is refused no longer."""
        await self.store.append(PEER_TOPIC, CONTENT_KEY + content, b"")


def operator_source(store: StoreClient) -> StoreSource[RouteTable | Evacuation]:
    """Return the source of the operators' configurations and evacuations."""
    return StoreSource(store, CONFIG_TOPIC, _decode_operators_word)


def endpoint_source(store: StoreClient) -> StoreSource[Registered]:
    """Return the source of endpoints' registrations."""
    return StoreSource(store, ENDPOINT_TOPIC, _decode_registered, _not_registered)


def _decode_operators_word(record: Record) -> RouteTable | Evacuation | None:
    if record.key.startswith(EVACUATION_KEY):
        data_centre = DataCentreId(record.key.removeprefix(EVACUATION_KEY))
        return Evacuation(data_centre, bool(record.value))
    if record.key != CONFIG_KEY or not record.value:
        return None
    return records.decode_routes(record.value)


def _decode_registered(record: Record) -> Registered:
    if not record.value:
        return _not_registered(record)
    now = asyncio.get_running_loop().time()
    endpoint = records.decode_endpoint(record.key, record.value, now)
    return Registered(endpoint.name, endpoint)


def _not_registered(record: Record) -> Registered:
    return Registered(EndpointName(record.key), None)


def _decode_kept(record: Record) -> PeerEntry | QuarantineRecord | None:
    if not record.value:
        return None
    kind = QuarantineRecord if record.key.startswith(CONTENT_KEY) else PeerEntry
    try:
        return msgspec.json.decode(record.value, type=kind)
    except msgspec.MsgspecError as error:
        raise SourceError(str(error)) from None


def _decode_newest(data: bytes) -> WireNewest:
    try:
        return msgspec.json.decode(data, type=WireNewest)
    except msgspec.MsgspecError as error:
        raise SourceError(str(error)) from None


def _era(head: Head) -> int:
    text = head.headers.get(ERA_HEADER, "0")
    if not text.isdecimal():
        raise SourceError(f"no era: {text[:LOGGED_LENGTH]}")
    return int(text)


def _decode_records(data: bytes, start: Position) -> Page[Record]:
    if len(data) < READ_HEAD.size:
        raise SourceError("a read without its head")
    place = READ_HEAD.size
    found: list[Record] = []
    while place < len(data):
        size = RECORD_HEAD.unpack_from(data, place)[0]
        place += RECORD_HEAD.size
        if place + size > len(data):
            raise SourceError("a read that ends within a record")
        found.append(_decode_record(data[place : place + size]))
        place += size
    return Page(found, Position(start + len(found)))


def _decode_record(data: bytes) -> Record:
    length = data[0] if data else 0
    key = data[1 : 1 + length].decode(errors="backslashreplace")
    value = data[1 + length :]
    return Record(key, value or None)


def _listed_record(entry: WireEntry) -> Record:
    try:
        return Record(entry.key, base64.b64decode(entry.value))
    except binascii.Error:
        # Decoded as a value that no topic holds, and logged there.
        return Record(entry.key, entry.value.encode())
