"""Detects endpoints that crashed under requests and reports the crashes.

Each content has one responsible router, which counts the crashes during which the
content was in flight. Crashes are reported to that router only: in most crashes nearly
all contents are harmless, and a broadcast would use more bandwidth than heartbeats.

A sound endpoint may be silent for a while and go on. An attempt that was given up for
that reason is reported only if the endpoint refuses connections, or is deregistered
before this router has received anything from it.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.protocol.datagrams import CrashMessage
from carawayfold.state.crashes import MAX_DEREGISTRATION_DELAY
from carawayfold.transport.probes import ProbeResult

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.settings import Address
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import (
        ContentId,
        EndpointId,
        OrganisationId,
        RouterId,
    )

logger = logbook.Logger(__name__)

#: Seconds before each probe of an endpoint that lost connections. Most crashed
#: endpoints refuse the first probe. The later ones are needed since the operating
#: system of a busy instance may close the listening socket of a process some
#: milliseconds after its connections, and a router whose event loop is late sees no
#: answer.
PROBE_DELAYS = (0.003, 0.05, 0.25, 1.0)
#: Most reports stored for sending to a newly responsible router.
MAX_REPORTS = 1000
#: Seconds for which a report is sent to a newly responsible router.
REPORT_DURATION = 900.0
#: Partitions over which contents are distributed. Each router caches the responsible
#: router per partition, so there are few of them, but enough for every hub.
PARTITION_COUNT = 64
#: Times that a report is sent to the same responsible router. At a datagram loss of 3 %
#: fewer than one report in thirty thousand is lost.
SENDS_PER_OWNER = 3


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt during which the connection to the endpoint was lost.

    Attributes
    ----------
    at : float
        Loop time in seconds of the last byte from the endpoint.
    begun : bool
        Whether the response had begun by then.
    started : float or None
        Loop time in seconds at which the attempt was sent; None if unknown.
    parts : tuple of ContentId
        Identities of the parts of its prompt that other requests share.
    silent : bool
        Whether the connection was given up because the endpoint sent nothing.
    """

    content: ContentId
    organisation: OrganisationId
    endpoint: Endpoint
    at: float
    begun: bool = False
    started: float | None = None
    parts: tuple[ContentId, ...] = ()
    silent: bool = False

    @property
    def suspects(self) -> tuple[ContentId, ...]:
        """Return the identities under which the endpoint may have crashed.

        An endpoint that crashes under a part does so as it begins to answer, so an
        answer that had begun shows that the parts are harmless.
        """
        return (self.content,) if self.begun else (self.content, *self.parts)

    @property
    def lasted(self) -> float | None:
        """Return the seconds from sending to the last byte, None if unknown."""
        return None if self.started is None else self.at - self.started


class PendingReport(msgspec.Struct):
    """A crash that this router observed, and the state of its delivery.

    Attributes
    ----------
    refused : bool
        Whether the endpoint refused connections afterwards.
    owner : RouterId or None
        The responsible router that the report was last sent to.
    incarnation : int
        Incarnation of that router.
    sends : int
        Times that the report was sent to that incarnation.
    """

    loss: LostAttempt
    refused: bool
    owner: RouterId | None = None
    incarnation: int = 0
    sends: int = 0


def partition_of(content: ContentId) -> str:
    """Return the partition by which the router responsible for a content is chosen."""
    return f"contents/{int(content[:8], 16) % PARTITION_COUNT}"


class CrashReports:
    """Detects crashes at this router and reports them to the responsible routers.

    Parameters
    ----------
    fleet : Fleet
        Returns the router responsible for a content, and sends to it.
    endpoint_activity : EndpointActivity
        Time of the last byte from each endpoint.
    probe : callable
        Probes an address and returns the result.
    on_own_report : callable
        Called with the reports on contents that this router is responsible for.
    on_lost : callable
        Called with each endpoint that is confirmed to have ended.
    spawn : callable
        Runs a coroutine as a task.
    registered : callable
        Returns the registration of an endpoint, or None.
    """

    def __init__(
        self,
        fleet: Fleet,
        endpoint_activity: EndpointActivity,
        probe: Callable[[Address], Awaitable[ProbeResult]],
        on_own_report: Callable[[CrashMessage, RouterId], None],
        on_lost: Callable[[EndpointId], None],
        spawn: Callable[[Coroutine[None, None, None]], None],
        registered: Callable[[EndpointId], Endpoint | None],
    ) -> None:
        self.fleet = fleet
        self.endpoint_activity = endpoint_activity
        self.probe = probe
        self.on_own_report = on_own_report
        self.on_lost = on_lost
        self.spawn = spawn
        self.registered = registered
        self.loop = asyncio.get_running_loop()
        #: Lost attempts at endpoints that are being probed.
        self.probed: dict[EndpointId, list[LostAttempt]] = {}
        #: Probed endpoints that are deregistered after they announced their stop.
        self.stopped: set[EndpointId] = set()
        #: Attempts given up at silent endpoints that have not been found to have ended.
        self.unconfirmed: dict[EndpointId, list[LostAttempt]] = {}
        #: Reports by content and endpoint, the oldest first.
        self.reports: OrderedDict[tuple[ContentId, EndpointId], PendingReport] = (
            OrderedDict()
        )

    def note(self, loss: LostAttempt) -> None:
        """Probe the endpoint of a lost attempt, once for all attempts lost together.

        An attempt may be noted repeatedly while its endpoint stays silent.
        """
        if loss.silent and self._is_noted(loss):
            return
        losses = self.probed.setdefault(loss.endpoint.id, [])
        losses.append(loss)
        if len(losses) == 1:
            self.spawn(self._probe_endpoint(loss.endpoint))

    def _is_noted(self, loss: LostAttempt) -> bool:
        """Return whether an attempt at a silent endpoint is probed or held already."""
        endpoint = loss.endpoint.id
        held = (*self.probed.get(endpoint, ()), *self.unconfirmed.get(endpoint, ()))
        key = (loss.content, loss.started, loss.at)
        return any((item.content, item.started, item.at) == key for item in held)

    async def _probe_endpoint(self, endpoint: Endpoint) -> None:
        probing_started = self.loop.time()
        for delay in PROBE_DELAYS:
            await asyncio.sleep(delay)
            probe_result = await self.probe(endpoint.address)
            alive = (
                self.endpoint_activity.last_byte_at.get(endpoint.id, 0.0)
                > probing_started
            )
            if alive or probe_result is ProbeResult.REFUSED:
                break
        losses = self.probed.pop(endpoint.id)
        stopped = endpoint.id in self.stopped
        self.stopped.discard(endpoint.id)
        logger.info(
            "probed an endpoint after lost connections",
            extra={
                "endpoint": endpoint.id,
                "reach": probe_result.value,
                "heard_since": alive,
                "contents": len({loss.content for loss in losses}),
            },
        )
        if alive:
            return
        # A proxy in front of an endpoint may accept connections although the endpoint
        # has ended; its registration decides then.
        refused = probe_result is ProbeResult.REFUSED
        if refused:
            self.on_lost(endpoint.id)
        ended = refused or self.registered(endpoint.id) is None
        for loss in losses:
            if loss.silent and stopped:
                continue
            if ended or not loss.silent:
                self._report(loss, refused)
            else:
                self.unconfirmed.setdefault(endpoint.id, []).append(loss)

    def endpoint_removed(self, endpoint: Endpoint) -> None:
        """Report the attempts at a silent endpoint that is no longer registered.

        An endpoint that announced its stop has not crashed, also while it is probed.
        """
        losses = self.unconfirmed.pop(endpoint.id, [])
        if endpoint.leaving:
            if endpoint.id in self.probed:
                self.stopped.add(endpoint.id)
            return
        for loss in losses:
            self._report(loss, refused=False)

    def _report(self, loss: LostAttempt, refused: bool) -> None:
        """Report a lost attempt, unless its endpoint has gone on after a silence."""
        last_byte_at = self.endpoint_activity.last_byte_at.get(loss.endpoint.id, 0.0)
        if loss.silent and not refused and last_byte_at > loss.at:
            return
        for suspect in loss.suspects:
            suspected = msgspec.structs.replace(loss, content=suspect, parts=())
            self._create_report(suspected, refused)

    def _create_report(self, loss: LostAttempt, refused: bool) -> None:
        report = PendingReport(loss, refused)
        self.reports[loss.content, loss.endpoint.id] = report
        if len(self.reports) > MAX_REPORTS:
            self.reports.popitem(last=False)
        self._send_report(report)

    def _send_report(self, report: PendingReport) -> None:
        owner = self.fleet.responsible(partition_of(report.loss.content))
        incarnation = self.fleet.membership.incarnation_of(owner)
        if (owner, incarnation) != (report.owner, report.incarnation):
            report.owner = owner
            report.incarnation = incarnation
            report.sends = 0
        if report.sends >= SENDS_PER_OWNER:
            return
        report.sends += 1
        loss = report.loss
        message = CrashMessage(
            loss.content,
            loss.organisation,
            loss.endpoint.id,
            round((self.loop.time() - loss.at) * 1000),
            report.refused,
            loss.begun,
            None if loss.lasted is None else round(loss.lasted * 1000),
            round(loss.at * 1000),
        )
        if owner == self.fleet.own.router:
            report.sends = SENDS_PER_OWNER
            self.on_own_report(message, owner)
        else:
            self.fleet.send(owner, message)

    def resend(self) -> None:
        """Resend reports, including to routers that have become responsible.

        A report is sent `SENDS_PER_OWNER` times to each responsible router, since
        datagrams may be lost.
        """
        self._expire_unconfirmed()
        oldest = self.loop.time() - REPORT_DURATION
        for key, report in list(self.reports.items()):
            if report.loss.at < oldest:
                del self.reports[key]
            else:
                self._send_report(report)

    def _expire_unconfirmed(self) -> None:
        """Drop attempts at silent endpoints that stayed registered."""
        oldest = self.loop.time() - MAX_DEREGISTRATION_DELAY
        for endpoint, losses in list(self.unconfirmed.items()):
            recent = [loss for loss in losses if loss.at >= oldest]
            if recent:
                self.unconfirmed[endpoint] = recent
            else:
                del self.unconfirmed[endpoint]

    def forget(self, content: ContentId, until: float) -> None:
        """Drop the reports on a content up to loop time `until`."""
        for key, report in list(self.reports.items()):
            if key[0] == content and report.loss.at <= until:
                del self.reports[key]
