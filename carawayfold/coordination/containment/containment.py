"""Quarantines request contents that crash endpoints.

Callers may retry a harmful request at any router. The router responsible for a content
counts the endpoints that ended while serving it, issues the verdict, broadcasts it and
writes it to the store. A verdict reaches all routers some milliseconds after the
decisive crash; the checksum in each heartbeat shows which routers have missed one.
"""

from __future__ import annotations

import asyncio
import math
import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Protocol

import logbook

from carawayfold.coordination.containment.crash_reports import (
    CrashReports,
    partition_of,
)
from carawayfold.coordination.containment.verdict_records import VerdictRecorder
from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol.datagrams import (
    CrashMessage,
    EndpointLostMessage,
    Heartbeat,
    SuccessMessage,
    VerdictMessage,
)
from carawayfold.state.contents import is_part
from carawayfold.state.crashes import (
    MIN_SUSPECT_CRASHES,
    Case,
    Crash,
    CrashTable,
    Deregistrations,
    level_for,
)
from carawayfold.state.ids import EndpointId, RouterId
from carawayfold.state.quarantine import (
    REJECTION_DURATIONS,
    RETENTION_DURATION,
    Entry,
    Level,
    Quarantine,
)
from carawayfold.state.successful_runs import SUCCESS_EVIDENCE_DURATION, SuccessfulRuns

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable

    from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.protocol.sources import QuarantineRecord, VerdictStore
    from carawayfold.settings import Address
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import ContentId, OrganisationId
    from carawayfold.transport.probes import ProbeResult

logger = logbook.Logger(__name__)

#: Seconds between reviews of reports and verdicts.
REVIEW_INTERVAL = 0.25
#: Seconds between two removals of expired entries. A removal visits each content, and
#: no entry expires in less than some minutes.
EXPIRY_INTERVAL = 10.0
#: Least seconds between two transfers of all verdicts to the same peer.
MIN_SYNC_INTERVAL = 1.0
#: Most endpoints remembered whose crash is attributed to a harmful content.
MAX_ATTRIBUTED_ENDPOINTS = 2000
#: Seconds for which a lost endpoint is not announced again.
LOST_RETENTION_DURATION = 60.0
#: Seconds from the decisive crash to the quarantine of a part of a prompt, within which
#: other routers report successful runs, and a content that explains the crashes is
#: quarantined. Several endpoints that crash at once have popular parts in flight.
PART_VERDICT_DELAY = 0.15
#: Crashes of which the last one is decisive.
DECISIVE_CRASHES = 3
#: Endpoints listed in one verdict, so that it fits into a datagram.
MAX_ENDPOINTS_PER_VERDICT = 10


class RequestIdentity(Protocol):
    """Identities of a request: its organisation, its content and parts of its prompt.

    Crashes are counted for the content and for each part alike.

    Attributes
    ----------
    content : ContentId
        Computed on first use.
    parts : tuple of ContentId
        Parts of its prompt that other requests share.
    """

    organisation: OrganisationId

    @property
    def content(self) -> ContentId:
        """Return the digest of its content."""

    @property
    def parts(self) -> tuple[ContentId, ...]:
        """Return the identities of the shared parts of its prompt."""


class Containment:
    """The verdicts on contents that one router has received or issued.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    registered : callable
        Returns the registration of an endpoint, or None.
    endpoint_activity : EndpointActivity
        Time of the last byte from each endpoint.
    probe : callable
        Probes an address and returns the result.
    records : VerdictStore
        Stores verdicts so that they survive all routers.
    spawn : callable
        Runs a coroutine as a task.
    on_quarantined : callable
        Called with each content that is quarantined.
    on_lost : callable
        Called with each endpoint that has ended, whichever router detected it.
    """

    def __init__(
        self,
        fleet: Fleet,
        registered: Callable[[EndpointId], Endpoint | None],
        endpoint_activity: EndpointActivity,
        probe: Callable[[Address], Awaitable[ProbeResult]],
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
        self.crash_table = CrashTable()
        self.deregistrations = Deregistrations()
        self.reports = CrashReports(
            fleet,
            endpoint_activity,
            probe,
            self._handle_crash,
            self._on_endpoint_lost,
            spawn,
            registered,
        )
        self.successful_runs = SuccessfulRuns()
        #: Last request with each part of a prompt whose answer has begun.
        self.part_runs = SuccessfulRuns()
        #: Endpoints that ended while serving a harmful content, with that content.
        self.attributed: dict[EndpointId, ContentId] = {}
        #: Endpoints that have ended, with the loop time of the report.
        self.lost: dict[EndpointId, float] = {}
        #: Loop time of the last removal of expired entries.
        self.last_expiry_at = 0.0
        #: Loop time of the last transfer of all verdicts to each peer.
        self.last_sync_at: dict[RouterId, float] = {}
        self.recorder = VerdictRecorder(
            records, self.quarantine, self._is_responsible, spawn
        )

    def _is_responsible(self, content: ContentId) -> bool:
        return self.fleet.responsible(partition_of(content)) == self.fleet.own.router

    # Events observed by this router

    def endpoint_removed(self, endpoint: Endpoint) -> None:
        """Record that an endpoint is no longer registered."""
        now = self.loop.time()
        self.deregistrations.note(endpoint, now)
        if not endpoint.leaving:
            self.successful_runs.watch(now)
        self.reports.endpoint_removed(endpoint)

    def _on_endpoint_lost(self, endpoint: EndpointId) -> None:
        """Broadcast that an endpoint has ended."""
        if self._record_lost(endpoint):
            self.fleet.send_to_all(EndpointLostMessage(endpoint))

    def _record_lost(self, endpoint: EndpointId) -> bool:
        """Record the end of an endpoint; return whether it was unknown.

        Successful runs are recorded for a while afterwards.
        """
        now = self.loop.time()
        if endpoint in self.lost:
            return False
        self.lost[endpoint] = now
        self.on_lost(endpoint)
        self.successful_runs.watch(now)
        return True

    # Checks of requests

    def reject_harmful(self, call: RequestIdentity) -> None:
        """Reject a request with a quarantined content or part of its prompt.

        Called after each wait of a request, since a verdict can arrive meanwhile. The
        digests are computed only if there is a verdict for the organisation.

        Raises
        ------
        Refusal
            ``harmful-request``; no endpoint has run the request in this call.
        """
        if not self.quarantine.has_contents_of(call.organisation):
            return
        now = self.loop.time()
        for content in (call.content, *call.parts):
            held = self.quarantine.rejection_remaining(content, now)
            if not held:
                continue
            if content != call.content and self.quarantine.is_excused(
                content, call.parts
            ):
                continue
            ended = len(self.quarantine.get(content).endpoints)
            detail = f"{ended} endpoints ended under it; it is refused for a while"
            kind = ErrorKind.HARMFUL_REQUEST
            raise Refusal(kind, detail, retry_after=math.ceil(held))

    def is_suspected(self, call: RequestIdentity, begun: bool = False) -> bool:
        """Return whether a request is suspected and must not be retried.

        Either its content or a part of its prompt may be the cause of crashes. If its
        answer has begun, the parts are harmless.
        """
        if not self.quarantine.has_contents_of(call.organisation):
            return False
        suspects = (call.content,) if begun else (call.content, *call.parts)
        return any(self.quarantine.is_suspected(content) for content in suspects)

    def record_begun(self, call: RequestIdentity) -> None:
        """Record that the answer to a request has begun.

        That shows that the parts of its prompt are harmless.
        """
        now = self.loop.time()
        concerned = self.quarantine.has_contents_of(call.organisation)
        for part in call.parts:
            self.part_runs.note(part, now)
            if concerned and self.quarantine.is_suspected(part):
                self._report_success(part, call.organisation, now)

    def record_success(self, call: RequestIdentity, body: bytes) -> None:
        """Record a successful request if the record can affect a verdict."""
        now = self.loop.time()
        concerned = self.quarantine.has_contents_of(call.organisation)
        if concerned or self.successful_runs.should_record(body, now):
            self.record_content_success(call.content, call.organisation)
        self.record_begun(call)

    def record_content_success(
        self, content: ContentId, organisation: OrganisationId
    ) -> None:
        """Record that a content was served without a crash."""
        now = self.loop.time()
        self.successful_runs.note(content, now)
        if self.quarantine.is_suspected(content):
            self._report_success(content, organisation, now)

    def _report_success(
        self, content: ContentId, organisation: OrganisationId, at: float
    ) -> None:
        """Report a successful run at loop time `at` to the responsible router."""
        responsible = self.fleet.responsible(partition_of(content))
        age = round((self.loop.time() - at) * 1000)
        message = SuccessMessage(content, organisation, age)
        if responsible == self.fleet.own.router:
            self._handle_message(message, responsible)
        else:
            self.fleet.send(responsible, message)

    def lift(self, content: ContentId) -> bool:
        """Lift the verdict on a content for an operator; return whether it had one."""
        entry = self.quarantine.get(content)
        if entry is None or entry.level.is_clear:
            return False
        self._issue_verdict(
            content, entry.organisation, Level.LIFTED, self.loop.time(), ()
        )
        return True

    def load_records(self, records: Iterable[QuarantineRecord]) -> None:
        """Apply the verdicts that the store holds."""
        for entry in self.recorder.read(records):
            self._accept_verdict(entry, "store")
        self.recorder.write_missing()

    def verdict_messages(self) -> list[VerdictMessage]:
        """Return all verdicts, for a router that has none."""
        return [
            self._verdict_message(item) for item in self.quarantine.entries.values()
        ]

    def fleet_changed(self) -> None:
        """Send reports and verdicts where the responsible routers have changed."""
        self.reports.resend()
        self.recorder.write_missing()

    async def run_periodically(self) -> None:
        """Review reports and verdicts at regular intervals, without end."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL)
            self.review()

    def review(self) -> None:
        """Resend reports that may be lost, update verdicts, drop expired entries."""
        now = self.loop.time()
        self.reports.resend()
        if now - self.last_expiry_at >= EXPIRY_INTERVAL:
            self._expire(now)
        for content, case in list(self.crash_table.cases.items()):
            if (
                len(case.crashes) >= MIN_SUSPECT_CRASHES
                or content in self.quarantine.entries
            ):
                self._update_verdict(content)

    def _expire(self, now: float) -> None:
        self.last_expiry_at = now
        self.crash_table.expire(now)
        self.quarantine.expire(now)
        self.recorder.forget()
        for endpoint, reported_at in list(self.lost.items()):
            if now - reported_at > LOST_RETENTION_DURATION:
                del self.lost[endpoint]

    # Messages of peers

    def take(self, datagram: Datagram) -> None:
        """Handle the messages of a peer."""
        for message in datagram.messages:
            self._handle_message(message, datagram.sender)

    @singledispatchmethod
    def _handle_message(self, message: Message, sender: RouterId) -> None:
        """Handle one message; those of other modules are ignored."""

    @_handle_message.register
    def _(self, message: Heartbeat, sender: RouterId) -> None:
        if message.verdicts == self.quarantine.checksum:
            return
        now = self.loop.time()
        if now - self.last_sync_at.get(sender, -MIN_SYNC_INTERVAL) < MIN_SYNC_INTERVAL:
            return
        self.last_sync_at[sender] = now
        for verdict in self.verdict_messages():
            self.fleet.send(sender, verdict)

    @_handle_message.register
    def _(self, message: CrashMessage, sender: RouterId) -> None:
        self._handle_crash(message, sender)

    def _handle_crash(self, message: CrashMessage, sender: RouterId) -> None:
        at = self.loop.time() - message.age / 1000
        lasted = float("inf") if message.lasted is None else message.lasted / 1000
        observed = None if message.observed is None else message.observed / 1000
        crash = Crash(
            message.endpoint,
            sender,
            at,
            message.refused,
            message.begun,
            at - lasted,
            observed,
        )
        if not self.crash_table.note(message.content, message.organisation, crash):
            return
        self._update_verdict(message.content)

    @_handle_message.register
    def _(self, message: SuccessMessage, sender: RouterId) -> None:
        at = self.loop.time() - message.age / 1000
        self.crash_table.record_success(message.content, message.organisation, at)
        self._lower_verdict(message.content, at)

    @_handle_message.register
    def _(self, message: EndpointLostMessage, sender: RouterId) -> None:
        if not self._record_lost(message.endpoint):
            return
        for router in self.fleet.forward_recipients(sender):
            self.fleet.send(router, message)

    @_handle_message.register
    def _(self, message: VerdictMessage, sender: RouterId) -> None:
        now = self.loop.time()
        entry = Entry(
            message.content,
            message.organisation,
            message.level,
            message.stamp,
            now - message.since / 1000,
            now + message.held / 1000,
            now + message.remembered / 1000,
            tuple(message.endpoints),
        )
        if message.remembered > 0 and self._accept_verdict(entry, sender):
            self.recorder.write_missing()
            message = self._verdict_message(entry)
            for router in self.fleet.forward_recipients(sender):
                self.fleet.send(router, message)

    # Verdicts

    def _update_verdict(self, content: ContentId) -> None:
        """Issue a verdict if this router is responsible and the verdict has changed."""
        if not self._is_responsible(content):
            return
        case = self.crash_table.cases[content]
        ended = self._ended_endpoints(content)
        if ended == case.judged_weights:
            return
        case.judged_weights = ended
        known = self.quarantine.get(content)
        since = self._first_crash_at(content)
        weights = dict(ended)
        named: set[EndpointId] = set()
        if known is not None and not known.level.is_clear:
            named = set(known.endpoints)
            since = min(since, known.since)
            weights = dict.fromkeys(named, 1.0) | ended
        level = level_for(list(weights.values()), self._succeeded_recently(content))
        if level in REJECTION_DURATIONS and self._is_premature(content, case):
            case.judged_weights = {}
            self.loop.call_later(PART_VERDICT_DELAY, self._update_known, content)
            level = Level.SUSPECTED if known is None else known.level
        changed = known is None or known.level is not level or not ended.keys() <= named
        if level is not Level.CLEARED and changed:
            self._issue_verdict(content, case.organisation, level, since, weights)

    def _is_premature(self, content: ContentId, case: Case) -> bool:
        """Return whether evidence may be on its way that a part is not the cause."""
        if not is_part(content):
            return False
        times = sorted(crash.at for crash in case.crashes.values())
        decisive_at = times[min(len(times), DECISIVE_CRASHES) - 1]
        return self.loop.time() - decisive_at < PART_VERDICT_DELAY

    def _update_known(self, content: ContentId) -> None:
        """Issue a delayed verdict, unless the crashes have been forgotten meanwhile."""
        if content in self.crash_table.cases:
            self._update_verdict(content)

    def _lower_verdict(self, content: ContentId, since: float) -> None:
        """Lower a verdict if fewer crashes count against the content than before."""
        known = self.quarantine.get(content)
        if known is None or known.level.is_clear:
            return
        left = self._ended_endpoints(content)
        level = level_for(list(left.values()), self._succeeded_recently(content))
        if level is known.level:
            return
        if level is not Level.CLEARED:
            since = self._first_crash_at(content)
        self._issue_verdict(content, known.organisation, level, since, left)

    def _attribute_crashes(self, verdict: Entry) -> None:
        """Attribute crashes to a harmful content.

        They no longer count against the contents that were in flight with it, nor
        against the parts of its own prompt.
        """
        for endpoint in verdict.endpoints:
            self.attributed.setdefault(endpoint, verdict.content)
        while len(self.attributed) > MAX_ATTRIBUTED_ENDPOINTS:
            del self.attributed[next(iter(self.attributed))]
        now = self.loop.time()
        for content, case in list(self.crash_table.cases.items()):
            explained = is_part(content) and not is_part(verdict.content)
            if content == verdict.content:
                continue
            if explained or case.is_likely_harmless(now):
                self._lower_verdict(content, now)

    def _ended_endpoints(self, content: ContentId) -> dict[EndpointId, float]:
        """Return the endpoints that ended while serving a content, with weights.

        Crashes attributed to another content do not count if this one is likely
        harmless. Those attributed to a whole content do not count against parts.
        """
        case = self.crash_table.cases.get(content)
        if case is None:
            return {}
        likely_harmless = case.is_likely_harmless(self.loop.time())
        return {
            name: crash.weight
            for name, crash in case.crashes.items()
            if self.deregistrations.has_crashed(crash, self.registered(crash.endpoint))
            and not self._is_explained(name, content, likely_harmless)
        }

    def _is_explained(
        self, endpoint: EndpointId, content: ContentId, likely_harmless: bool
    ) -> bool:
        """Return whether another verdict explains the crash of an endpoint."""
        cause = self.attributed.get(endpoint, content)
        if cause == content:
            return False
        return likely_harmless or (is_part(content) and not is_part(cause))

    def _succeeded_recently(self, content: ContentId) -> bool:
        """Return whether a recent successful run of a content is known."""
        now = self.loop.time()
        case = self.crash_table.cases.get(content)
        if case is not None and now - case.last_success_at < SUCCESS_EVIDENCE_DURATION:
            return True
        return self._last_success(content) is not None

    def _last_success(self, content: ContentId) -> float | None:
        """Return the loop time of the last successful run at this router, if known."""
        now = self.loop.time()
        runs = self.successful_runs.last(content, now)
        return runs if runs is not None else self.part_runs.last(content, now)

    def _first_crash_at(self, content: ContentId) -> float:
        """Return the loop time of the first crash that counts against a content."""
        case = self.crash_table.cases.get(content)
        times = [crash.at for crash in case.crashes.values()] if case else []
        return min(times, default=self.loop.time())

    def _issue_verdict(
        self,
        content: ContentId,
        organisation: OrganisationId,
        level: Level,
        since: float,
        endpoints: Iterable[EndpointId],
    ) -> None:
        """Issue a verdict: apply it here, broadcast it and write it to the store."""
        now = self.loop.time()
        known = self.quarantine.get(content)
        stamp = round(time.time() * 1000)
        if known is not None:
            # Keeps stamps increasing when the system clock is set back.
            stamp = max(stamp, known.stamp + 1)
        held = now + REJECTION_DURATIONS.get(level, 0.0)
        named = tuple(sorted(endpoints)[:MAX_ENDPOINTS_PER_VERDICT])
        forget = held + RETENTION_DURATION
        entry = Entry(content, organisation, level, stamp, since, held, forget, named)
        self._accept_verdict(entry, self.fleet.own.router)
        self.fleet.send_to_all(self._verdict_message(entry))
        self.recorder.write_missing()

    def _accept_verdict(self, entry: Entry, source: RouterId | str) -> bool:
        """Apply a verdict from any source; return whether it is newer."""
        known = self.quarantine.get(entry.content)
        if not self.quarantine.put(entry):
            return False
        if known is not None and source != self.fleet.own.router:
            self._review_if_lowered(entry, known)
        held = self.quarantine.rejection_remaining(entry.content, self.loop.time())
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
            # Not counted as a successful run: that would allow five more crashes.
            self.crash_table.clear(entry.content)
            self.reports.forget(entry.content, entry.since)
            return True
        if entry.level is Level.CLEARED:
            self.crash_table.record_success(
                entry.content, entry.organisation, entry.since
            )
            self.reports.forget(entry.content, entry.since)
            return True
        at = self._last_success(entry.content)
        if at is not None:
            self._report_success(entry.content, entry.organisation, at)
        if entry.level is Level.QUARANTINED:
            # At level RESTED a request in flight is not stopped, since it may still
            # succeed and clear the content.
            self.on_quarantined(entry.content)
            self._attribute_crashes(entry)
        return True

    def _review_if_lowered(self, entry: Entry, known: Entry) -> None:
        """Have a content judged again if another router has lowered its verdict.

        That router may have counted fewer crashes than this one.
        """
        case = self.crash_table.cases.get(entry.content)
        if case is not None and entry.level.severity < known.level.severity:
            case.judged_weights = {}

    def _verdict_message(self, entry: Entry) -> VerdictMessage:
        now = self.loop.time()
        return VerdictMessage(
            entry.content,
            entry.organisation,
            entry.level,
            entry.stamp,
            round((now - entry.since) * 1000),
            max(0, round((entry.held_until - now) * 1000)),
            max(0, round((entry.expires_at - now) * 1000)),
            list(entry.endpoints),
        )
