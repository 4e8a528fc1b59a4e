"""Keeps contents under which endpoints end from the endpoints that are left.

The load it answers: callers repeat a harmful request at any router. The home of a
content counts the endpoints that ended under it, gives the verdict, tells every router
and writes it to the store. A verdict is everywhere some milliseconds after the crash
that settled it, and each heartbeat shows who has missed one.
"""

from __future__ import annotations

import asyncio
import math
import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Protocol

import logbook

from carawayfold.coordination.containment.crash_reports import CrashReports, subject
from carawayfold.coordination.containment.verdict_records import VerdictRecorder
from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol.datagrams import (
    Beat,
    CrashMessage,
    LostMessage,
    RanWellMessage,
    VerdictMessage,
)
from carawayfold.state.crashes import (
    SUSPECTED_AT,
    Crash,
    CrashBook,
    Departures,
    level_for,
)
from carawayfold.state.ids import EndpointId, RouterId
from carawayfold.state.quarantine import (
    REFUSED_FOR,
    REMEMBERED_FOR,
    Entry,
    Level,
    Quarantine,
)
from carawayfold.state.well_runs import SPEAKS_FOR, WellRuns

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable

    from carawayfold.coordination.containment.pulse import Pulse
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.protocol.sources import QuarantineRecord, VerdictStore
    from carawayfold.settings import Address
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import ContentId, OrganisationId
    from carawayfold.transport.probes import Reach

logger = logbook.Logger(__name__)

#: Seconds between looks at what is known, told and forgotten.
LOOK_INTERVAL = 0.25
#: Seconds between two times that what is over is forgotten: it takes a look at each
#: content, and nothing lasts for less than some minutes.
EXPIRY_INTERVAL = 10.0
#: Least seconds between two times that one peer is told all verdicts.
EVEN_OUT_INTERVAL = 1.0
#: Endpoints remembered that ended under harmful contents.
EXPLAINED_KEPT = 2000
#: Seconds for which a lost endpoint is not told of again.
LOST_KEPT = 60.0
#: Endpoints named in one verdict, so that it fits a datagram.
ENDPOINTS_NAMED = 10


class Call(Protocol):
    """A request, by whom it is and what makes it the same as another one.

    Attributes
    ----------
    content : ContentId
        Worked out when first wanted.
    """

    organisation: OrganisationId

    @property
    def content(self) -> ContentId:
        """Return the digest of its content."""


class Containment:
    """Verdicts on contents, as one router knows and gives them.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    registered : callable
        Returns the registration of an endpoint, or None.
    pulse : Pulse
        Endpoints' signs of life.
    probe : callable
        Returns what becomes of a connection to an address.
    records : VerdictStore
        Where verdicts outlast all routers.
    spawn : callable
        Runs a coroutine as a task.
    on_quarantined : callable
        Called with each content that is refused from now on.
    on_lost : callable
        Called with each endpoint that has ended, whichever router found out.
    """

    def __init__(
        self,
        fleet: Fleet,
        registered: Callable[[EndpointId], Endpoint | None],
        pulse: Pulse,
        probe: Callable[[Address], Awaitable[Reach]],
        records: VerdictStore,
        spawn: Callable[[Coroutine[None, None, None]], None],
        on_quarantined: Callable[[ContentId], None] = lambda content: None,
        on_lost: Callable[[EndpointId], None] = lambda endpoint: None,
    ) -> None:
        self.fleet = fleet
        self.registered = registered
        self.on_quarantined = on_quarantined
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.quarantine = Quarantine()
        self.book = CrashBook()
        self.departures = Departures()
        self.reports = CrashReports(
            fleet, pulse, probe, self._take_report, self._lost, spawn
        )
        self.well_runs = WellRuns()
        #: Endpoints that ended under a harmful content, and which one.
        self.explained: dict[EndpointId, ContentId] = {}
        #: Endpoints that have ended, and when this router heard of it.
        self.lost: dict[EndpointId, float] = {}
        #: When what is over was last forgotten.
        self.expired_at = 0.0
        #: When each peer was last told everything.
        self.evened_out: dict[RouterId, float] = {}
        self.recorder = VerdictRecorder(records, self.quarantine, self._is_home, spawn)

    def _is_home(self, content: ContentId) -> bool:
        return self.fleet.responsible(subject(content)) == self.fleet.own.router

    # What this router learns itself

    def endpoint_gone(self, endpoint: Endpoint) -> None:
        """Note that an endpoint is no longer registered."""
        now = self.loop.time()
        self.departures.note(endpoint, now)
        if not endpoint.leaving:
            self.well_runs.watch(now)

    def _lost(self, endpoint: EndpointId) -> None:
        """Tell every router that an endpoint has ended."""
        if self._note_lost(endpoint):
            self.fleet.send_to_all(LostMessage(endpoint))

    def _note_lost(self, endpoint: EndpointId) -> bool:
        """Watch what runs well from now on; return whether the loss is news."""
        now = self.loop.time()
        if endpoint in self.lost:
            return False
        self.lost[endpoint] = now
        self.on_lost(endpoint)
        self.well_runs.watch(now)
        return True

    # What requests ask

    def refuse_harmful(self, call: Call) -> None:
        """Raise the answer to a request whose content is kept from the endpoints.

        Asked wherever a request may have waited, since a verdict can come meanwhile. A
        digest is worked out only where something is known of the organisation.

        Raises
        ------
        Refusal
            ``harmful-request``; this call of it has not run.
        """
        if not self.quarantine.concerns(call.organisation):
            return
        held = self.quarantine.held_for(call.content, self.loop.time())
        if held:
            ended = len(self.quarantine.get(call.content).endpoints)
            detail = f"{ended} endpoints ended under it; it is refused for a while"
            kind = ErrorKind.HARMFUL_REQUEST
            raise Refusal(kind, detail, retry_after=math.ceil(held))

    def is_suspected(self, call: Call) -> bool:
        """Return whether a request should be sent once a call."""
        if not self.quarantine.concerns(call.organisation):
            return False
        return self.quarantine.is_suspected(call.content)

    def note_well(self, call: Call, body: bytes) -> None:
        """Note that a request has run well, if that matters."""
        now = self.loop.time()
        concerned = self.quarantine.concerns(call.organisation)
        if concerned or self.well_runs.wants(body, now):
            self.ran_well(call.content, call.organisation)

    def ran_well(self, content: ContentId, organisation: OrganisationId) -> None:
        """Note that a content has run without harm."""
        now = self.loop.time()
        self.well_runs.note(content, now)
        if self.quarantine.is_suspected(content):
            self._speak_for(content, organisation, now)

    def _speak_for(
        self, content: ContentId, organisation: OrganisationId, at: float
    ) -> None:
        """Tell the home of a content that it ran well at a time."""
        home = self.fleet.responsible(subject(content))
        age = round((self.loop.time() - at) * 1000)
        message = RanWellMessage(content, organisation, age)
        if home == self.fleet.own.router:
            self._take(message, home)
        else:
            self.fleet.send(home, message)

    def lift(self, content: ContentId) -> bool:
        """Clear a content at an operator's word; return whether it was known."""
        entry = self.quarantine.get(content)
        if entry is None or entry.level.is_clear:
            return False
        self._give(content, entry.organisation, Level.LIFTED, self.loop.time(), ())
        return True

    def learn_records(self, records: Iterable[QuarantineRecord]) -> None:
        """Take the verdicts that the store holds."""
        for entry in self.recorder.read(records):
            self._learn(entry, "store")
        self.recorder.write_missing()

    def known_messages(self) -> list[VerdictMessage]:
        """Return all that a router must be told which knows nothing."""
        return [self._message(item) for item in self.quarantine.entries.values()]

    def fleet_changed(self) -> None:
        """Tell new homes what they should know."""
        self.reports.tell_again()
        self.recorder.write_missing()

    async def keep_looking(self) -> None:
        """Look for ever after what changes with time."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL)
            self.look()

    def look(self) -> None:
        """Tell again what may be lost, judge anew, and forget what is over."""
        now = self.loop.time()
        self.reports.tell_again()
        if now - self.expired_at >= EXPIRY_INTERVAL:
            self._expire(now)
        for content, case in list(self.book.cases.items()):
            if len(case.crashes) >= SUSPECTED_AT or content in self.quarantine.entries:
                self._judge(content)

    def _expire(self, now: float) -> None:
        self.expired_at = now
        self.book.expire(now)
        self.quarantine.expire(now)
        self.recorder.forget()
        for endpoint, heard in list(self.lost.items()):
            if now - heard > LOST_KEPT:
                del self.lost[endpoint]

    # What peers tell

    def take(self, datagram: Datagram) -> None:
        """Take the messages of a peer."""
        for message in datagram.messages:
            self._take(message, datagram.sender)

    @singledispatchmethod
    def _take(self, message: Message, sender: RouterId) -> None:
        """Take one message; most are not on contents."""

    @_take.register
    def _(self, message: Beat, sender: RouterId) -> None:
        if message.verdicts == self.quarantine.checksum:
            return
        now = self.loop.time()
        if now - self.evened_out.get(sender, -EVEN_OUT_INTERVAL) < EVEN_OUT_INTERVAL:
            return
        self.evened_out[sender] = now
        for verdict in self.known_messages():
            self.fleet.send(sender, verdict)

    @_take.register
    def _(self, message: CrashMessage, sender: RouterId) -> None:
        self._take_report(message, sender)

    def _take_report(self, message: CrashMessage, sender: RouterId) -> None:
        at = self.loop.time() - message.age / 1000
        lasted = float("inf") if message.lasted is None else message.lasted / 1000
        crash = Crash(
            message.endpoint, sender, at, message.refused, message.begun, at - lasted
        )
        if not self.book.note(message.content, message.organisation, crash):
            return
        self._judge(message.content)

    @_take.register
    def _(self, message: RanWellMessage, sender: RouterId) -> None:
        at = self.loop.time() - message.age / 1000
        self.book.note_well(message.content, message.organisation, at)
        self._reconsider(message.content, at)

    @_take.register
    def _(self, message: LostMessage, sender: RouterId) -> None:
        if not self._note_lost(message.endpoint):
            return
        for router in self.fleet.passed_on_to(sender):
            self.fleet.send(router, message)

    @_take.register
    def _(self, message: VerdictMessage, sender: RouterId) -> None:
        now = self.loop.time()
        entry = Entry(
            message.content,
            message.organisation,
            Level(message.level),
            message.stamp,
            now - message.since / 1000,
            now + message.held / 1000,
            now + message.remembered / 1000,
            tuple(message.endpoints),
        )
        if message.remembered > 0 and self._learn(entry, sender):
            self.recorder.write_missing()
            message = self._message(entry)
            for router in self.fleet.passed_on_to(sender):
                self.fleet.send(router, message)

    # Verdicts

    def _judge(self, content: ContentId) -> None:
        """Give a verdict if this router is the content's home and there is news."""
        if not self._is_home(content):
            return
        case = self.book.cases[content]
        ended = self._ended_under(content)
        if ended == case.judged:
            return
        case.judged = ended
        known = self.quarantine.get(content)
        since = self._since(content)
        weights = dict(ended)
        named: set[EndpointId] = set()
        if known is not None and not known.level.is_clear:
            named = set(known.endpoints)
            since = min(since, known.since)
            weights = dict.fromkeys(named, 1.0) | ended
        level = level_for(list(weights.values()), self._ran_well(content))
        news = known is None or known.level is not level or not ended.keys() <= named
        if level is not Level.CLEARED and news:
            self._give(content, case.organisation, level, since, weights)

    def _reconsider(self, content: ContentId, since: float) -> None:
        """Lower a verdict if what counts against a content has become less."""
        known = self.quarantine.get(content)
        if known is None or known.level.is_clear:
            return
        left = self._ended_under(content)
        level = level_for(list(left.values()), self._ran_well(content))
        if level is known.level:
            return
        if level is not Level.CLEARED:
            since = self._since(content)
        self._give(content, known.organisation, level, since, left)

    def _explain(self, verdict: Entry) -> None:
        """Let the crashes of a harmful content count no more against companions."""
        for endpoint in verdict.endpoints:
            self.explained.setdefault(endpoint, verdict.content)
        while len(self.explained) > EXPLAINED_KEPT:
            del self.explained[next(iter(self.explained))]
        now = self.loop.time()
        for content, case in list(self.book.cases.items()):
            if content != verdict.content and case.is_companion(now):
                self._reconsider(content, now)

    def _ended_under(self, content: ContentId) -> dict[EndpointId, float]:
        """Return the endpoints that ended under a content, with weights.

        Those that ended under a harmful one count against no companion.
        """
        case = self.book.cases.get(content)
        if case is None:
            return {}
        companion = case.is_companion(self.loop.time())
        return {
            name: crash.weight
            for name, crash in case.crashes.items()
            if self.departures.has_ended(crash, self.registered(crash.endpoint))
            and not (companion and self._is_explained(name, content))
        }

    def _is_explained(self, endpoint: EndpointId, content: ContentId) -> bool:
        return self.explained.get(endpoint, content) != content

    def _ran_well(self, content: ContentId) -> bool:
        """Return whether a content ran well not long ago, as far as is known."""
        now = self.loop.time()
        case = self.book.cases.get(content)
        if case is not None and now - case.ran_well_at < SPEAKS_FOR:
            return True
        return self.well_runs.last(content, now) is not None

    def _since(self, content: ContentId) -> float:
        """Return when the first crash was that counts against a content."""
        case = self.book.cases.get(content)
        times = [crash.at for crash in case.crashes.values()] if case else []
        return min(times, default=self.loop.time())

    def _give(
        self,
        content: ContentId,
        organisation: OrganisationId,
        level: Level,
        since: float,
        endpoints: Iterable[EndpointId],
    ) -> None:
        """Give a verdict: know it here, tell every router, write it down."""
        now = self.loop.time()
        known = self.quarantine.get(content)
        stamp = round(time.time() * 1000)
        if known is not None:
            # A clock that was set back must not make the newer verdict the older.
            stamp = max(stamp, known.stamp + 1)
        held = now + REFUSED_FOR.get(level, 0.0)
        named = tuple(sorted(endpoints)[:ENDPOINTS_NAMED])
        forget = held + REMEMBERED_FOR
        entry = Entry(content, organisation, level, stamp, since, held, forget, named)
        self._learn(entry, self.fleet.own.router)
        self.fleet.send_to_all(self._message(entry))
        self.recorder.write_missing()

    def _learn(self, entry: Entry, source: RouterId | str) -> bool:
        """Take a verdict from anywhere; return whether it is news."""
        if not self.quarantine.put(entry):
            return False
        held = self.quarantine.held_for(entry.content, self.loop.time())
        logger.info(
            "verdict on a content",
            extra={
                "content": entry.content,
                "organisation": entry.organisation,
                "verdict": entry.level.value,
                "endpoints": list(entry.endpoints),
                "held_s": round(held, 1),
                "source": source,
            },
        )
        if entry.level is Level.LIFTED:
            # Not a run that ended well, which would let five endpoints end.
            self.book.clear(entry.content)
            self.reports.forget(entry.content, entry.since)
            return True
        if entry.level is Level.CLEARED:
            self.book.note_well(entry.content, entry.organisation, entry.since)
            self.reports.forget(entry.content, entry.since)
            return True
        at = self.well_runs.last(entry.content, self.loop.time())
        if at is not None:
            self._speak_for(entry.content, entry.organisation, at)
        if entry.level is Level.QUARANTINED:
            # One that is rested may still run well where it is, which clears it.
            self.on_quarantined(entry.content)
            self._explain(entry)
        return True

    def _message(self, entry: Entry) -> VerdictMessage:
        now = self.loop.time()
        return VerdictMessage(
            entry.content,
            entry.organisation,
            entry.level.value,
            entry.stamp,
            round((now - entry.since) * 1000),
            max(0, round((entry.held_until - now) * 1000)),
            max(0, round((entry.forget_at - now) * 1000)),
            list(entry.endpoints),
        )
