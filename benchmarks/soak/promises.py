"""Guarantees that the soak test of forwarding routers checks.

The checks compare the records of callers with those of endpoints. They perform no
input or output, so that they can be tested with constructed records.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from benchmarks.hosted import StreamEvent

#: Statuses that state that the request has not run and will not run.
NOT_RUN = frozenset({408, 421, 429, 503})
#: Statuses of requests without an answer of an endpoint.
FAILURES = frozenset({502, 504})
#: Statuses of requests that the configuration doesn't allow.
DENIED = frozenset({400, 401, 403, 404, 413, 431})
#: Seconds for which an endpoint that leaves may still receive requests.
LEAVING_BOUND = 2.0
#: Seconds within which a request must end after its caller has disconnected.
CANCELLATION_BOUND = 0.5
#: Seconds within which a configuration must take effect.
CONFIGURATION_BOUND = 2.0
#: Seconds after its last disturbance from which a router must do so.
IN_TOUCH_AFTER = 3.0
#: Endpoints that one content may crash, and later sends of it that are allowed.
MAX_CRASHES_PER_CONTENT = 3
#: Prefix of the names of harmful parts of prompts, and endpoints that requests with
#: one such part may crash.
PART_PREFIX = "part"
MAX_CRASHES_PER_PART = 5
#: Seconds after the last allowed crash from which sends count as violations.
QUARANTINE_BOUND = 3.0
#: Seconds before the end of its time at which a request may be given up.
TIME_MARGIN = 0.1
#: Seconds added to each bound, for a busy machine.
SLACK = 0.5


@dataclass(frozen=True, slots=True)
class CallerRecord:
    """What a caller received for one request.

    Attributes
    ----------
    once : bool
        Whether it may run only once.
    status : int
        Status of the answer; 0 if the connection was closed without one.
    whole : bool
        Whether a complete answer was received.
    fault : str
        Error of a complete answer; empty if it is correct.
    left_at : float
        Time at which the caller disconnected early; 0 if it did not.
    route : str
        Name of its route.
    time_limit : float
        Seconds for which the router may work on it at least.
    crossed : bool
        Whether the router had closed the connection before the request reached it.
    """

    request: str
    service: str
    router: str
    once: bool
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    fault: str = ""
    left_at: float = 0.0
    route: str = ""
    time_limit: float = float("inf")
    crossed: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes
    ----------
    ran : bool
        Whether the endpoint began to run it.
    ended_at : float
        Time at which it ended; 0 while it runs.
    """

    request: str
    service: str
    endpoint: str
    at: float
    ran: bool
    ended_at: float


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A harmful request that crashed an endpoint.

    Attributes
    ----------
    content : str
        Identity of its content or harmful part, equal for all such requests.
    """

    content: str
    request: str
    endpoint: str
    at: float


@dataclass(slots=True)
class Span:
    """A period in which some checks are not applied to a router."""

    start: float
    #: Times at which the fault ended and at which the router had recovered.
    over: float = float("inf")
    end: float = float("inf")


@dataclass(slots=True)
class Disturbances:
    """Periods in which each router, or its access to the store, was disturbed."""

    spans: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))

    def begin(self, name: str, now: float) -> Span:
        """Record the start of a disturbance; its end is set in the returned span."""
        span = Span(now)
        self.spans[name].append(span)
        return span

    def in_touch(self, name: str, now: float) -> bool:
        """Return whether `name` was not disturbed within `IN_TOUCH_AFTER`."""
        return all(span.over < now - IN_TOUCH_AFTER for span in self.spans[name])

    def is_undisturbed(self, name: str, start: float, end: float) -> bool:
        """Return whether `name` was not disturbed between two times."""
        return all(span.end < start or span.start > end for span in self.spans[name])


def find_double_runs(
    caller_records: list[CallerRecord], arrivals: list[Arrival]
) -> list[str]:
    """Return the requests that ran more than once although they may run only once."""
    once = {item.request for item in caller_records if item.once}
    runs = Counter(item.request for item in arrivals if item.ran)
    return [
        f"{request} ran {count} times"
        for request, count in runs.items()
        if count > 1 and request in once
    ]


def find_false_refusals(
    caller_records: list[CallerRecord], arrivals: list[Arrival]
) -> list[str]:
    """Return the requests that ran although they were refused as not run."""
    ran = {item.request for item in arrivals if item.ran}
    return [
        f"{item.request} ran, but {item.router} answered {item.status}"
        for item in caller_records
        if item.whole and item.status in NOT_RUN and item.request in ran
    ]


def find_wrong_answers(
    caller_records: list[CallerRecord], arrivals: list[Arrival]
) -> list[str]:
    """Return complete answers that are wrong or of requests that never ran."""
    ran = {item.request for item in arrivals if item.ran}
    found = [f"{item.request}: {item.fault}" for item in caller_records if item.fault]
    found += [
        f"{item.request} was answered {item.status} and never ran"
        for item in caller_records
        if item.whole and item.status == 200 and item.request not in ran
    ]
    return found


def find_stream_error(made: list[StreamEvent], count: int, whole: bool) -> str:
    """Return how a stream violates its order, empty if it does not.

    Each event must come once and in order, from one software version, and a stream may
    end as complete only after its last event.

    Parameters
    ----------
    made : list of StreamEvent
        What its caller received, also before it resumed the stream.
    count : int
        Number of events of the complete stream.
    whole : bool
        Whether it ended as complete.
    """
    versions = sorted({event.software for event in made})
    if len(versions) > 1:
        numbers = [f"{event.number} {event.software}" for event in made]
        return f"events of the versions {versions}: {', '.join(numbers)}"
    numbers = [event.number for event in made]
    expected = count if whole else len(made)
    if numbers != list(range(1, expected + 1)):
        return f"events {numbers} of {count}, {'whole' if whole else 'cut'}"
    return ""


def find_denials(caller_records: list[CallerRecord]) -> list[str]:
    """Return valid requests that were rejected as invalid."""
    return [
        f"{item.request} was denied by {item.router} with {item.status}"
        for item in caller_records
        if item.whole and item.status in DENIED
    ]


def find_late_arrivals(
    arrivals: list[Arrival], left: dict[str, float], disturbances: Disturbances
) -> list[str]:
    """Return requests that reached an endpoint too long after its leaving notice.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests that reached the endpoints.
    left : dict of str to float
        Time at which the store accepted the leaving notice of each endpoint.
    disturbances : Disturbances
        Disturbances of any router are recorded under ``any``.
    """
    found = []
    for item in arrivals:
        announced = left.get(item.endpoint)
        if announced is None:
            continue
        late = item.at - announced - LEAVING_BOUND
        if late > SLACK and disturbances.is_undisturbed(
            "any", announced - SLACK, item.at
        ):
            found.append(f"{item.request} at {item.endpoint}, {late:.2f} s late")
    return found


def find_work_without_caller(
    caller_records: list[CallerRecord],
    arrivals: list[Arrival],
    disturbances: Disturbances,
) -> list[str]:
    """Return requests that ran too long after their caller had disconnected."""
    ends: dict[str, float] = {}
    for item in arrivals:
        if item.ran:
            end = item.ended_at or float("inf")
            ends[item.request] = max(end, ends.get(item.request, 0.0))
    found = []
    for item in caller_records:
        if not item.left_at or item.request not in ends:
            continue
        late = ends[item.request] - item.left_at - CANCELLATION_BOUND
        until = item.left_at + CANCELLATION_BOUND + SLACK
        if late > SLACK and disturbances.is_undisturbed(
            item.router, item.sent_at, until
        ):
            found.append(f"{item.request} worked on for {late:.2f} s too long")
    return found


def find_repeated_crashes(
    crash_records: list[CrashRecord], disturbances: Disturbances
) -> list[str]:
    """Return the contents that undisturbed routers sent on after too many crashes."""
    found = []
    for content in sorted({item.content for item in crash_records}):
        times = sorted(item.at for item in crash_records if item.content == content)
        is_part = content.startswith(PART_PREFIX)
        allowed = MAX_CRASHES_PER_PART if is_part else MAX_CRASHES_PER_CONTENT
        if len(times) <= allowed:
            continue
        start = times[allowed - 1] + QUARANTINE_BOUND
        late = [
            at
            for at in times
            if at > start
            and disturbances.is_undisturbed("any", at - QUARANTINE_BOUND, at)
        ]
        if len(late) > MAX_CRASHES_PER_CONTENT:
            found.append(f"{content} ended {len(times)} endpoints, {len(late)} late")
    return found


def find_broken_answers(
    caller_records: list[CallerRecord], arrivals: list[Arrival], unsound: Disturbances
) -> list[str]:
    """Return requests that ended cut, failed or unanswered without a reason.

    A request that was cut, or answered with one of `FAILURES`, may have used up its
    time. One whose connection ended without an answer has no such reason. Neither has
    one that crossed the close of its connection, but that is allowed unless it reached
    an endpoint.

    Parameters
    ----------
    caller_records : list of CallerRecord
        What the callers received.
    arrivals : list of Arrival
        Requests that reached the endpoints.
    unsound : Disturbances
        Periods in which a router did not run or an endpoint did not work properly,
        under their names, and in which requests may have been lost on their way to
        endpoints of a service, under the name of the service. A silent endpoint is
        sound, and so is a router that stops, reads its settings or lacks the store.
    """
    endpoints: dict[str, set[str]] = defaultdict(set)
    for item in arrivals:
        endpoints[item.request].add(item.endpoint)
    found = []
    for item in caller_records:
        how = _broken(item, item.request in endpoints)
        names = {item.router, item.service, *endpoints.get(item.request, ())}
        if how and all(
            unsound.is_undisturbed(name, item.sent_at, item.ended_at) for name in names
        ):
            where = ", ".join(sorted(endpoints.get(item.request, ()))) or "no endpoint"
            lasted = item.ended_at - item.sent_at
            found.append(
                f"{item.request} of {item.route or item.service} at {item.router} "
                f"and {where} ended {how} after {lasted:.2f} s"
            )
    return found


def _broken(item: CallerRecord, arrived: bool) -> str:
    """Return how a request was broken off, empty if it was not or its time was over.

    `arrived` is whether it reached an endpoint.
    """
    if item.left_at or (item.crossed and not arrived):
        return ""
    if not item.status:
        return "without an answer"
    if item.ended_at - item.sent_at >= item.time_limit - TIME_MARGIN:
        return ""
    if not item.whole:
        return "cut"
    return f"with {item.status}" if item.status in FAILURES else ""


def find_overspent(
    caller_records: list[CallerRecord],
    arrivals: list[Arrival],
    ratio: float,
    extra: float,
    window: float,
) -> list[str]:
    """Return the services whose retries exceeded the budget in some window."""
    found = []
    for service in {item.service for item in caller_records}:
        sent = sorted(
            item.sent_at for item in caller_records if item.service == service
        )
        repeats = _repeats([item for item in arrivals if item.service == service])
        for end in repeats:
            # The bound allows the requests of this window, the previous one or the
            # one half a window earlier.
            asked = max(
                bisect_right(sent, end - back) - bisect_left(sent, end - back - window)
                for back in (0.0, window / 2, window)
            )
            made = bisect_right(repeats, end) - bisect_left(repeats, end - window)
            if made > ratio * asked + extra:
                found.append(f"{service}: {made} repeats for {asked} requests")
                break
    return found


def _repeats(arrivals: list[Arrival]) -> list[float]:
    seen: set[str] = set()
    times = []
    for item in sorted(arrivals, key=lambda item: item.at):
        if item.request in seen:
            times.append(item.at)
        seen.add(item.request)
    return times
