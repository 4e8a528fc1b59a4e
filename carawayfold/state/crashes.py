"""Crashes of endpoints, by the contents in flight there as routers report them.

All requests in flight at an endpoint fail when it crashes, so each of them may be the
cause. A harmful content is in flight at each of these crashes, while the other contents
differ from crash to crash.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import ContentId, EndpointId, OrganisationId, RouterId
from carawayfold.state.quarantine import Level
from carawayfold.state.successful_runs import SUCCESS_EVIDENCE_DURATION

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint

#: Seconds for which a crash counts against the contents in flight.
CRASH_RETENTION_DURATION = 900.0
#: Weight of a crash against a content whose answer had begun, where others weigh 1. In
#: five traced crashes the harmful content never had a first event, and four of five
#: other contents had one. A content that crashes endpoints later in its run therefore
#: needs twice as many crashes.
ANSWER_BEGUN_WEIGHT = 0.5
#: Least number of crashes at which a content is suspected. It is then sent once per
#: call, without retries, and a run that completes clears it.
MIN_SUSPECT_CRASHES = 2
#: Least weight of the crashes at which a content is quarantined: three at which its
#: answer had not begun. A lower value would reject contents that were in flight twice
#: by coincidence, a higher one would cost further endpoints.
MIN_QUARANTINE_WEIGHT = 3.0
#: Least weight for a content that completed a run shortly before. Three endpoints that
#: crash independently within a few seconds have nearly all popular contents in flight.
MIN_REST_WEIGHT = 5.0
#: Most contents with recorded crashes, in all and of one organisation. One crash adds
#: up to as many as an endpoint has slots, 64 on present engines.
MAX_CASES = 4000
MAX_CASES_PER_ORGANISATION = 400
#: Seconds within which two reports on one endpoint are of the same crash. An endpoint
#: that keeps its name after a restart may crash again under it.
SAME_CRASH_DURATION = 0.5
#: Seconds by which a request sent after a crash may appear to be sent before it.
SEND_TIME_TOLERANCE = 0.05
#: Most deregistered endpoints that are remembered.
MAX_DEREGISTRATIONS = 2000
#: Seconds after a lost connection within which a crashed endpoint is deregistered:
#: three heartbeats at the longest interval in use, and the time to propagate the
#: change. A later deregistration has another cause.
MAX_DEREGISTRATION_DELAY = 10.0
#: Seconds by which a deregistration may be received before the report of a connection
#: lost in the same crash.
DEREGISTRATION_TOLERANCE = 0.5


class Crash(msgspec.Struct, frozen=True):
    """A possible crash of an endpoint while it ran a content.

    Attributes
    ----------
    endpoint : EndpointId
        The endpoint.
    router : RouterId
        Router that lost its connection.
    at : float
        Monotonic seconds at which data was last received from the endpoint.
    refused : bool
        Whether the endpoint refused a new connection immediately afterwards.
    begun : bool
        Whether the answer to the content had begun.
    started : float
        Monotonic seconds at which the content was sent to the endpoint; negative
        infinity if not known.
    observed : float or None
        Monotonic seconds of the crash by the clock of `router`; None if not known. The
        times above are later by the time until the report was read.
    """

    endpoint: EndpointId
    router: RouterId
    at: float
    refused: bool
    begun: bool = False
    started: float = float("-inf")
    observed: float | None = None

    @property
    def weight(self) -> float:
        """Return the weight against the content, 1 if its answer had not begun."""
        return ANSWER_BEGUN_WEIGHT if self.begun else 1.0

    @property
    def lasted(self) -> float:
        """Return the seconds from the sending of the content to the crash."""
        return self.at - self.started

    def is_same(self, other: Crash) -> bool:
        """Return whether two reports on one endpoint are of the same crash.

        A request sent after the other crash was run by the restarted endpoint. Reports
        of one router are compared by its clock: any of them may have been read late.
        """
        after = self._seconds_after(other)
        if abs(after) >= SAME_CRASH_DURATION:
            return False
        lasted = self.lasted if after > 0 else other.lasted
        return lasted >= abs(after) - SEND_TIME_TOLERANCE

    def _seconds_after(self, other: Crash) -> float:
        known = None not in (self.observed, other.observed)
        if known and self.router == other.router:
            return self.observed - other.observed
        return self.at - other.at


class Case(msgspec.Struct):
    """The crashes at which one content was in flight.

    Attributes
    ----------
    organisation : OrganisationId
        Organisation whose requests have the content.
    last_success_at : float
        Monotonic seconds of the last known run that completed; negative infinity if
        there is none.
    crashes : dict
        Crashes by endpoint. Further crashes of one endpoint have ``#2``, ``#3`` and so
        on after its name.
    judged_weights : dict
        Weights of the crashes at the last verdict; empty if it has to be judged again.
    """

    organisation: OrganisationId
    last_success_at: float = float("-inf")
    crashes: dict[EndpointId, Crash] = msgspec.field(default_factory=dict)
    judged_weights: dict[EndpointId, float] = msgspec.field(default_factory=dict)

    def find(self, crash: Crash) -> tuple[EndpointId, Crash | None]:
        """Return the key of a crash in `crashes`, and its recorded report if any."""
        name, count = crash.endpoint, 1
        while name in self.crashes:
            known = self.crashes[name]
            if known.is_same(crash):
                return name, known
            count += 1
            name = EndpointId(f"{crash.endpoint}#{count}")
        return name, None

    def is_likely_harmless(self, now: float) -> bool:
        """Return whether the content was probably in flight by coincidence.

        It completed a run shortly before, or its answer had begun at one of the
        crashes. Neither was the case for any harmful content that was traced.
        """
        if now - self.last_success_at < SUCCESS_EVIDENCE_DURATION:
            return True
        return any(crash.begun for crash in self.crashes.values())


class Deregistration(msgspec.Struct, frozen=True):
    """When an endpoint was deregistered, and whether it had announced its stop."""

    at: float
    announced: bool


class Deregistrations:
    """Deregistrations, to distinguish a crashed endpoint from a stopped one."""

    def __init__(self) -> None:
        self.entries: OrderedDict[EndpointId, Deregistration] = OrderedDict()

    def note(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint is no longer registered."""
        self.entries[endpoint.id] = Deregistration(now, endpoint.leaving)
        if len(self.entries) > MAX_DEREGISTRATIONS:
            self.entries.popitem(last=False)

    def has_crashed(self, crash: Crash, registered: Endpoint | None) -> bool:
        """Return whether a lost connection was caused by a crash of the endpoint.

        An endpoint that announced its stop, or was deregistered before its connections
        were lost, was stopped on purpose. One that neither refuses connections nor is
        deregistered still runs; only its connection failed.

        Parameters
        ----------
        crash : Crash
            Report of the lost connection.
        registered : Endpoint or None
            The endpoint's registration, None if it has none.
        """
        if registered is not None:
            return crash.refused and not registered.leaving
        deregistration = self.entries.get(crash.endpoint)
        if deregistration is None:
            return crash.refused
        after = deregistration.at - crash.at
        in_time = -DEREGISTRATION_TOLERANCE <= after <= MAX_DEREGISTRATION_DELAY
        return not deregistration.announced and (
            in_time or (crash.refused and after > 0)
        )


class CrashTable:
    """The crashes recorded by one router, by content.

    Attributes
    ----------
    cases : OrderedDict
        Cases by content, the most recently changed one last.
    organisations : Counter
        Number of cases by organisation.
    """

    def __init__(self) -> None:
        self.cases: OrderedDict[ContentId, Case] = OrderedDict()
        self.organisations: Counter[OrganisationId] = Counter()

    def note(
        self, content: ContentId, organisation: OrganisationId, crash: Crash
    ) -> bool:
        """Count a crash against a content; return whether that changed its case."""
        case = self.cases.get(content)
        if case is None:
            case = self._add_case(content, organisation)
        name, known = case.find(crash)
        if known is not None:
            # Any of several requests with the content at one endpoint may be the cause.
            refused = known.refused or crash.refused
            begun = known.begun and crash.begun
            if (refused, begun) == (known.refused, known.begun):
                return False
            crash = msgspec.structs.replace(known, refused=refused, begun=begun)
        case.crashes[name] = crash
        self.cases.move_to_end(content)
        return True

    def record_success(
        self, content: ContentId, organisation: OrganisationId, at: float
    ) -> None:
        """Record a run that completed, and drop the crashes up to it.

        The content was in flight at those crashes by coincidence.

        Parameters
        ----------
        content : ContentId
            Content of the run.
        organisation : OrganisationId
            Organisation whose request it was.
        at : float
            Monotonic seconds of the run.
        """
        case = self.cases.get(content) or self._add_case(content, organisation)
        case.last_success_at = max(case.last_success_at, at)
        for endpoint, crash in list(case.crashes.items()):
            if crash.at <= at:
                del case.crashes[endpoint]

    def clear(self, content: ContentId) -> None:
        """Drop the case of a content."""
        case = self.cases.pop(content, None)
        if case is not None:
            self._decrement(case.organisation)

    def expire(self, now: float) -> None:
        """Drop crashes older than `CRASH_RETENTION_DURATION`, and empty cases."""
        for content, case in list(self.cases.items()):
            for endpoint, crash in list(case.crashes.items()):
                if now - crash.at > CRASH_RETENTION_DURATION:
                    del case.crashes[endpoint]
            if (
                not case.crashes
                and now - case.last_success_at > SUCCESS_EVIDENCE_DURATION
            ):
                self.clear(content)

    def _add_case(self, content: ContentId, organisation: OrganisationId) -> Case:
        case = self.cases[content] = Case(organisation)
        self.organisations[organisation] += 1
        if self.organisations[organisation] > MAX_CASES_PER_ORGANISATION:
            self.clear(self._content_with_fewest_crashes(organisation, content))
        elif len(self.cases) > MAX_CASES:
            most = self.organisations.most_common(1)[0][0]
            self.clear(self._content_with_fewest_crashes(most, content))
        return case

    def _content_with_fewest_crashes(
        self, organisation: OrganisationId, excluded: ContentId
    ) -> ContentId:
        """Return the content of an organisation with fewest crashes, oldest first.

        The content `excluded` is not considered.
        """
        candidates = [
            content
            for content, case in self.cases.items()
            if case.organisation == organisation and content != excluded
        ]
        return min(candidates, key=lambda content: len(self.cases[content].crashes))

    def _decrement(self, organisation: OrganisationId) -> None:
        self.organisations[organisation] -= 1
        if not self.organisations[organisation]:
            del self.organisations[organisation]


def level_for(weights: list[float], ran_well: bool) -> Level:
    """Return the verdict on a content.

    Parameters
    ----------
    weights : list of float
        Weights of the crashes at which the content was in flight.
    ran_well : bool
        Whether it completed a run shortly before.
    """
    if ran_well and sum(weights) >= MIN_REST_WEIGHT:
        return Level.RESTED
    if not ran_well and sum(weights) >= MIN_QUARANTINE_WEIGHT:
        return Level.QUARANTINED
    return Level.SUSPECTED if len(weights) >= MIN_SUSPECT_CRASHES else Level.CLEARED
