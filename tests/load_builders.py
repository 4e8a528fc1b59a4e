"""Plain endpoints that state their load, and a scheduler that hears it.

Time is simulated: a run of some seconds takes milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from carawayfold.coordination.scheduling.endpoint_speed import StatedLoad
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from carawayfold.coordination.scheduling.scheduler import Scheduler
from tests.schedule_builders import WINDOW, PoolPlan, endpoint, offer

#: Seconds that a request usually takes, and its objective.
WORK = 0.045
OBJECTIVE = 0.2
#: Seconds between two rounds of decisions.
ROUND = 0.002


def plain_offer(number, now):
    """Return the offer of a request without a prompt."""
    return offer(
        f"r.0.{number}",
        prompt=(),
        prompt_tokens=0,
        output_tokens=0,
        now=now,
        due=now + OBJECTIVE,
        expires=now + 1.0,
    )


def stated(factor=1.0, at=0.0, running=1, waiting=0, slots=6):
    """Return a stated load."""
    return StatedLoad(running, waiting, slots, factor, at)


def plain_scheduler(endpoints=3, slots=6, on=True):
    """Return a scheduler of plain endpoints named e-0, e-1, ..."""
    made = Scheduler(WINDOW, features=SchedulingFeatures(endpoint_load=on))
    members = [endpoint(f"e-{number}", slots=slots) for number in range(endpoints)]
    made.set_endpoints(members, PoolPlan())
    return made


@dataclass
class Replay:
    """Replays a steady load of plain requests.

    Attributes
    ----------
    factor : callable
        Returns how many times as long as usual work takes that begins at an endpoint
        at a time.
    states : callable
        Returns the factor that an endpoint states at a time, None for none.
    rate : float
        Requests per second.
    waiting : int
        Waiting requests that all endpoints state.
    """

    factor: object
    states: object
    rate: float = 150.0
    endpoints: int = 3
    scheduler: Scheduler = None
    waiting: int = 0
    placed: list = field(default_factory=list)
    late: int = 0
    rejections: list = field(default_factory=list)

    def __post_init__(self):
        self.scheduler = self.scheduler or plain_scheduler(self.endpoints)

    def run(self, seconds):
        """Play the load; return the replay."""
        pool, ends, numbers = self.scheduler, [], itertools.count()
        arrivals = {}
        now, due = 0.0, 0.0
        while now < seconds:
            while ends and ends[0][0] <= now:
                at, call, name = heapq.heappop(ends)
                self._end(call, name, at)
                self.late += at > arrivals[call] + OBJECTIVE
            while due <= now:
                request = plain_offer(next(numbers), now)
                arrivals[request.call] = now
                pool.offer(request, now)
                due += 1 / self.rate
            for decision in pool.decide(now):
                if not isinstance(decision, Granted):
                    self.rejections.append(now)
                    continue
                name = decision.endpoint
                self.placed.append((now, name))
                ends_at = now + WORK * self.factor(name, now)
                heapq.heappush(ends, (ends_at, decision.call, name))
            now += ROUND
        return self

    def _end(self, call, name, at):
        factor = self.states(name, at)
        load = None if factor is None else stated(factor, at, waiting=self.waiting)
        self.scheduler.begun(call, 0.0, load)
        self.scheduler.ended(call, Outcome.COMPLETE, at)

    @property
    def rejected(self):
        """Return how many requests were rejected."""
        return len(self.rejections)

    def rejected_after(self, begin):
        """Return how many requests were rejected from a time on."""
        return sum(at >= begin for at in self.rejections)

    def share(self, name, begin, end):
        """Return the part of the requests granted in a time that went to `name`."""
        names = [x for at, x in self.placed if begin <= at < end]
        return names.count(name) / len(names)
