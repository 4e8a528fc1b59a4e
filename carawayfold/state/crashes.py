"""Which endpoints ended under which contents, as the routers report it.

The load it answers: an endpoint that ends takes all its requests with it, so each of
them may be the cause. A harmful content is there each time; its companions change.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.ids import ContentId, EndpointId, OrganisationId, RouterId
from carawayfold.state.quarantine import Level
from carawayfold.state.well_runs import SPEAKS_FOR

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint

#: Seconds for which a crash counts against a content that was there.
CRASH_COUNTS_FOR = 900.0
#: What a crash weighs against a content whose answer had begun by then. In all five
#: traced crashes the harmful content was the one without a first event, and four of
#: five companions had one; one that ends its endpoint later needs twice the crashes.
BEGUN_WEIGHT = 0.5
#: Endpoints that ended under a content after which it is watched: the router sends it
#: once a call, and a run that ends well clears it.
SUSPECTED_AT = 2
#: Weight of the crashes at which a content was there, from which on it is refused:
#: three at which its run had just begun. Less would refuse requests that were there
#: twice by chance, more would cost further endpoints.
QUARANTINED_AT = 3.0
#: The same for a content that ran well not long before. Three endpoints that end by
#: chance within a few seconds have nearly all that callers ask again and again in them.
RESTED_AT = 5.0
#: Contents counted at once, and those of one organisation: a crash leaves as many as an
#: endpoint has slots, 64 on today's engines.
CASES_MOST = 4000
CASES_OF_ORGANISATION = 400
#: Seconds within which two reports on one endpoint are on the same crash. Endpoints
#: that keep their name when they start again end under it a second time.
SAME_CRASH = 0.5
#: Seconds by which what was sent after an end may seem to have been sent before it.
SENT_SLACK = 0.05
#: Endpoints that have left of which it is remembered how.
DEPARTURES_KEPT = 2000
#: Seconds after a lost connection within which the registration of an endpoint that
#: has ended goes: three heartbeats of the slowest known, and the way of the news. One
#: that goes later was taken away for another reason.
DEPARTURE_MOST = 10.0
#: Seconds by which the news that an endpoint is gone may come before the word of a
#: connection that ended with it.
DEPARTURE_SLACK = 0.5


class Crash(msgspec.Struct, frozen=True):
    """An endpoint that seems to have ended while it had a content.

    Attributes
    ----------
    router : RouterId
        Which router lost its connection.
    at : float
        Monotonic seconds of the last sign of life.
    refused : bool
        Whether the endpoint took no new connection right after.
    begun : bool
        Whether the answer to the content had begun by then.
    started : float
        Monotonic seconds at which the content was sent there, as far as that is known.
    """

    endpoint: EndpointId
    router: RouterId
    at: float
    refused: bool
    begun: bool = False
    started: float = float("-inf")

    @property
    def weight(self) -> float:
        """Return what it tells against the content, 1 for a run that just began."""
        return BEGUN_WEIGHT if self.begun else 1.0

    def is_same(self, other: Crash) -> bool:
        """Return whether two reports on one endpoint are on the same end of it.

        What was sent there after the other end met the endpoint's next run.
        """
        if abs(self.at - other.at) >= SAME_CRASH:
            return False
        sent_last = max(self.started, other.started)
        return sent_last <= min(self.at, other.at) + SENT_SLACK


class Case(msgspec.Struct):
    """The crashes at which one content was there, by endpoint.

    Attributes
    ----------
    ran_well_at : float
        Monotonic seconds at which it last ran well, as far as that is known.
    judged : dict
        Weights of the crashes at the last verdict.
    """

    organisation: OrganisationId
    ran_well_at: float = float("-inf")
    crashes: dict[EndpointId, Crash] = msgspec.field(default_factory=dict)
    judged: dict[EndpointId, float] = msgspec.field(default_factory=dict)

    def find(self, crash: Crash) -> tuple[EndpointId, Crash | None]:
        """Return what a crash is kept under, and what is known of it."""
        name, count = crash.endpoint, 1
        while name in self.crashes:
            known = self.crashes[name]
            if known.is_same(crash):
                return name, known
            count += 1
            name = EndpointId(f"{crash.endpoint}#{count}")
        return name, None

    def is_companion(self, now: float) -> bool:
        """Return whether it looks like one that was there by chance.

        It ran well not long before, or its answer had begun at some crash, neither of
        which the harmful contents that were traced ever did.
        """
        if now - self.ran_well_at < SPEAKS_FOR:
            return True
        return any(crash.begun for crash in self.crashes.values())


class Departure(msgspec.Struct, frozen=True):
    """When an endpoint was last registered, and whether it had said that it leaves."""

    at: float
    announced: bool


class Departures:
    """How endpoints left, to tell one that ended from one that was taken away."""

    def __init__(self) -> None:
        self.known: OrderedDict[EndpointId, Departure] = OrderedDict()

    def note(self, endpoint: Endpoint, now: float) -> None:
        """Note that an endpoint is no longer registered."""
        self.known[endpoint.id] = Departure(now, endpoint.leaving)
        if len(self.known) > DEPARTURES_KEPT:
            self.known.popitem(last=False)

    def has_ended(self, crash: Crash, registered: Endpoint | None) -> bool:
        """Return whether an endpoint ended by itself.

        One that announces it, or whose registration goes before its connections do, is
        taken away as planned. One that neither refuses connections nor loses its
        registration still lives: its connection alone broke.

        Parameters
        ----------
        registered : Endpoint or None
            Its registration, if it still stands.
        """
        if registered is not None:
            return crash.refused and not registered.leaving
        departure = self.known.get(crash.endpoint)
        if departure is None:
            return crash.refused
        after = departure.at - crash.at
        timely = -DEPARTURE_SLACK <= after <= DEPARTURE_MOST
        return not departure.announced and (timely or (crash.refused and after > 0))


class CrashBook:
    """All cases that one router looks after."""

    def __init__(self) -> None:
        self.cases: OrderedDict[ContentId, Case] = OrderedDict()
        self.organisations: Counter[OrganisationId] = Counter()

    def note(
        self, content: ContentId, organisation: OrganisationId, crash: Crash
    ) -> bool:
        """Count a crash against a content; return whether that is news."""
        case = self.cases.get(content)
        if case is None:
            case = self._open(content, organisation)
        name, known = case.find(crash)
        if known is not None:
            # Of several copies at one endpoint each may be the cause.
            refused = known.refused or crash.refused
            begun = known.begun and crash.begun
            if (refused, begun) == (known.refused, known.begun):
                return False
            crash = msgspec.structs.replace(known, refused=refused, begun=begun)
        case.crashes[name] = crash
        self.cases.move_to_end(content)
        return True

    def note_well(
        self, content: ContentId, organisation: OrganisationId, at: float
    ) -> None:
        """Forget the crashes before a run that ended well: they were by chance."""
        case = self.cases.get(content) or self._open(content, organisation)
        case.ran_well_at = max(case.ran_well_at, at)
        for endpoint, crash in list(case.crashes.items()):
            if crash.at <= at:
                del case.crashes[endpoint]

    def clear(self, content: ContentId) -> None:
        """Forget all that counts against a content."""
        case = self.cases.pop(content, None)
        if case is not None:
            self._uncount(case.organisation)

    def expire(self, now: float) -> None:
        """Forget crashes that lie too far back."""
        for content, case in list(self.cases.items()):
            for endpoint, crash in list(case.crashes.items()):
                if now - crash.at > CRASH_COUNTS_FOR:
                    del case.crashes[endpoint]
            if not case.crashes and now - case.ran_well_at > SPEAKS_FOR:
                self.clear(content)

    def _open(self, content: ContentId, organisation: OrganisationId) -> Case:
        case = self.cases[content] = Case(organisation)
        self.organisations[organisation] += 1
        if self.organisations[organisation] > CASES_OF_ORGANISATION:
            self.clear(self._weakest(organisation, content))
        elif len(self.cases) > CASES_MOST:
            most = self.organisations.most_common(1)[0][0]
            self.clear(self._weakest(most, content))
        return case

    def _weakest(self, organisation: OrganisationId, kept: ContentId) -> ContentId:
        """Return the case of an organisation with fewest crashes, the oldest."""
        mine = [
            content
            for content, case in self.cases.items()
            if case.organisation == organisation and content != kept
        ]
        return min(mine, key=lambda content: len(self.cases[content].crashes))

    def _uncount(self, organisation: OrganisationId) -> None:
        self.organisations[organisation] -= 1
        if not self.organisations[organisation]:
            del self.organisations[organisation]


def level_for(weights: list[float], ran_well: bool) -> Level:
    """Return what the crashes at which a content was there tell of it."""
    if ran_well and sum(weights) >= RESTED_AT:
        return Level.RESTED
    if not ran_well and sum(weights) >= QUARANTINED_AT:
        return Level.QUARANTINED
    return Level.SUSPECTED if len(weights) >= SUSPECTED_AT else Level.CLEARED
