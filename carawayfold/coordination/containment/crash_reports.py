"""Finds out whether an endpoint ended under requests, and tells who looks after each.

Each content has a home, the router that counts the crashes at which it was there. Only
that one is told of every crash: on most crashes nearly all contents are innocent, and
telling everyone would take more than heartbeats do.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.protocol.datagrams import CrashMessage
from carawayfold.transport.probes import Reach

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from carawayfold.coordination.containment.pulse import Pulse
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

#: Seconds before each look at an endpoint that lost connections. Most that have ended
#: refuse at the first one; the system of a busy instance may close the listening socket
#: of a process some milliseconds after its connections, and a router that is late
#: itself sees no answer.
LOOK_DELAYS = (0.003, 0.05, 0.25, 1.0)
#: Reports kept to be told again to a new home.
REPORTS_KEPT = 1000
#: Seconds for which a report is told again to a new home.
REPORT_LIFETIME = 900.0
#: Homes among which contents are dealt out: each router remembers who looks after
#: which, so there are few of them, and enough that every hub has some.
HOMES = 64
#: How often a report is sent to the same home, so that three lost datagrams of a
#: hundred lose none in thirty thousand.
TELLS = 3


class Loss(msgspec.Struct, frozen=True):
    """An attempt whose endpoint went away under it.

    Attributes
    ----------
    at : float
        Loop time of the endpoint's last sign of life.
    begun : bool
        Whether the answer had begun by then.
    started : float or None
        Loop time at which it was sent; None where that is not known.
    """

    content: ContentId
    organisation: OrganisationId
    endpoint: Endpoint
    at: float
    begun: bool = False
    started: float | None = None

    @property
    def lasted(self) -> float | None:
        """Return the seconds for which the endpoint had it, as far as known."""
        return None if self.started is None else self.at - self.started


class Report(msgspec.Struct):
    """What this router saw, and whom it has told."""

    loss: Loss
    refused: bool
    home: RouterId | None = None
    incarnation: int = 0
    tells: int = 0


def subject(content: ContentId) -> str:
    """Return what the home of a content is ranked by."""
    return f"contents/{int(content[:8], 16) % HOMES}"


class CrashReports:
    """The crashes that this router saw.

    Parameters
    ----------
    fleet : Fleet
        Who is the home of a content.
    pulse : Pulse
        Endpoints' signs of life.
    probe : callable
        Returns what becomes of a connection to an address.
    take_own : callable
        Takes the reports on contents whose home is this router.
    on_lost : callable
        Called with each endpoint that has ended for sure.
    spawn : callable
        Runs a coroutine as a task.
    """

    def __init__(
        self,
        fleet: Fleet,
        pulse: Pulse,
        probe: Callable[[Address], Awaitable[Reach]],
        take_own: Callable[[CrashMessage, RouterId], None],
        on_lost: Callable[[EndpointId], None],
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self.fleet = fleet
        self.pulse = pulse
        self.probe = probe
        self.take_own = take_own
        self.on_lost = on_lost
        self.spawn = spawn
        self.loop = asyncio.get_running_loop()
        #: Losses at endpoints that are being looked at.
        self.looked_at: dict[EndpointId, list[Loss]] = {}
        self.kept: OrderedDict[tuple[ContentId, EndpointId], Report] = OrderedDict()

    def note(self, loss: Loss) -> None:
        """Find out what became of the endpoint of a lost attempt."""
        losses = self.looked_at.setdefault(loss.endpoint.id, [])
        losses.append(loss)
        if len(losses) == 1:
            self.spawn(self._look(loss.endpoint))

    async def _look(self, endpoint: Endpoint) -> None:
        begun = self.loop.time()
        for delay in LOOK_DELAYS:
            await asyncio.sleep(delay)
            reach = await self.probe(endpoint.address)
            lives = self.pulse.heard.get(endpoint.id, 0.0) > begun
            if lives or reach is Reach.REFUSED:
                break
        losses = self.looked_at.pop(endpoint.id)
        logger.info(
            "endpoint looked at",
            extra={
                "endpoint": endpoint.id,
                "reach": reach.value,
                "heard_since": lives,
                "contents": len({loss.content for loss in losses}),
            },
        )
        if lives:
            return
        # Something before an endpoint may take connections although it has ended: its
        # registration then tells.
        if reach is Reach.REFUSED:
            self.on_lost(endpoint.id)
        for loss in losses:
            self._report(loss, reach is Reach.REFUSED)

    def _report(self, loss: Loss, refused: bool) -> None:
        report = Report(loss, refused)
        self.kept[loss.content, loss.endpoint.id] = report
        if len(self.kept) > REPORTS_KEPT:
            self.kept.popitem(last=False)
        self._tell(report)

    def _tell(self, report: Report) -> None:
        home = self.fleet.responsible(subject(report.loss.content))
        incarnation = self.fleet.membership.incarnation_of(home)
        if (home, incarnation) != (report.home, report.incarnation):
            report.home = home
            report.incarnation = incarnation
            report.tells = 0
        if report.tells >= TELLS:
            return
        report.tells += 1
        loss = report.loss
        message = CrashMessage(
            loss.content,
            loss.organisation,
            loss.endpoint.id,
            round((self.loop.time() - loss.at) * 1000),
            report.refused,
            loss.begun,
            None if loss.lasted is None else round(loss.lasted * 1000),
        )
        if home == self.fleet.own.router:
            report.tells = TELLS
            self.take_own(message, home)
        else:
            self.fleet.send(home, message)

    def tell_again(self) -> None:
        """Tell each report to its home until that has got it, and to a new home."""
        oldest = self.loop.time() - REPORT_LIFETIME
        for key, report in list(self.kept.items()):
            if report.loss.at < oldest:
                del self.kept[key]
            else:
                self._tell(report)

    def forget(self, content: ContentId, until: float) -> None:
        """Drop what counted against a content up to a time."""
        for key, report in list(self.kept.items()):
            if key[0] == content and report.loss.at <= until:
                del self.kept[key]
