"""Shares of organisations in a pool while messages are lost, late or duplicated."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayfold.coordination.scheduling.admission import AdmissionControl
from carawayfold.coordination.scheduling.offers import Granted, Outcome
from tests.schedule_builders import offer, scheduler

POOL = "model/0"
STEP = 0.05
SECONDS = 8.0
#: Requests of each organisation in a step, over all its routers.
IN_STEP = 8
#: Seconds that a request runs on an engine.
RUNNING = 0.2
#: Minimum granted requests of an organisation as a fraction of the most granted to one.
MIN_SHARE = 0.5
#: Seconds from which granted requests count.
SETTLED = 2.0


class Routers:
    """Two organisations behind routers that throttle as the leader instructs them."""

    def __init__(self, spread, lost, late):
        self.made = scheduler(endpoints=2, slots=4, throughput=100_000)
        self.made.overloaded = True
        self.spread = spread
        self.admission = {
            (name, number): AdmissionControl()
            for name, count in spread.items()
            for number in range(count)
        }
        self.lost = lost
        self.late = late
        self.got = dict.fromkeys(spread, 0)
        self.waiting = {}
        self.ends = []

    def play(self):
        for step in range(round(SECONDS / STEP)):
            now = 1.0 + step * STEP
            for call, at in [item for item in self.ends if item[1] <= now]:
                self.made.ended(call, Outcome.COMPLETE, at)
                self.ends.remove((call, at))
            self._offer_all(step, now)
            if step % self.late == 0:
                self._decide(step, now)
            self.made.expire(now)
        return self.got

    def _offer_all(self, step, now):
        for name, count in self.spread.items():
            for number in range(IN_STEP):
                admission = self.admission[name, number % count]
                call = f"{name}-{number % count}.0.{step}-{number}"
                request = offer(call, name, now=now, organisation=name, due=now + 0.3)
                if admission.reject(request, POOL, now) is not None:
                    continue
                request.throttled_tokens = admission.take_throttled_tokens(
                    request, POOL
                )
                if (step * 7 + number) % 20 in self.lost:
                    continue
                self.waiting[call] = request, admission
                self.made.offer(request, now)

    def _decide(self, step, now):
        for decision in self.made.decide(now):
            request, admission = self.waiting.pop(decision.call)
            if (step * 3) % 20 not in self.lost:
                admission.record_decision(request, POOL, decision, "decider", now)
            if isinstance(decision, Granted):
                self.made.begun(decision.call, 0.02)
                self.ends.append((decision.call, now + RUNNING))
                if now > SETTLED:
                    self.got[request.organisation] += 1


@settings(max_examples=40)
@given(
    one=st.integers(1, 8),
    two=st.integers(1, 8),
    lost=st.sets(st.integers(0, 19), max_size=4),
    late=st.integers(1, 4),
)
def test_floods_get_equal_shares_behind_any_number_of_routers(one, two, lost, late):
    got = Routers({"one": one, "two": two}, lost, late).play()
    assert min(got.values()) >= MIN_SHARE * max(got.values())
    assert min(got.values()) > 0
