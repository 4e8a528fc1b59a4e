"""The repeats of a whole fleet under the product's own budget, second by second.

Requests fail from some moment on, and each repeat that a router's part allows is made.
The bound is the users': in any window no more than the ratio of the requests of that
window, of the one before it or of the one half a window before it, and the extra once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from carawayfold.state.budget import BudgetBounds, RetryBudget

SERVICE = "desk"
#: Seconds between two looks at each router.
STEP = 0.1
#: Seconds from the start of the routers to the first request.
LEAD = 12.0
#: Repeats of each request that fails, at most.
REPEATS_MOST = 2


@dataclass
class SimulatedRepeats:
    """A fleet whose requests fail.

    Attributes
    ----------
    routers : int
        How many there are.
    known : int or None
        How many each one counts, None where it was told of none.
    per_s : float
        Requests a second of each router.
    requests, repeats : list of float
        Times of all of them.
    """

    bounds: BudgetBounds
    routers: int
    known: int | None
    per_s: float
    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)

    def play(self, length, restarts=(), fails_from=0.0):
        """Let requests come for so many seconds; all routers restart at given times.

        They fail from `fails_from` seconds after the first one on.
        """
        budgets = self._start(0.0)
        waiting = sorted(restarts)
        owed = 0.0
        for step in range(round(length / STEP)):
            now = LEAD + step * STEP
            if waiting and now >= LEAD + waiting[0]:
                del waiting[0]
                budgets = self._start(now)
            owed += self.per_s * STEP
            for _ in range(int(owed)):
                for budget in budgets:
                    self._take(budget, now, fails=now >= LEAD + fails_from)
            owed -= int(owed)

    def _start(self, now):
        return [RetryBudget(self.bounds, now) for _ in range(self.routers)]

    def _take(self, budget, now, fails):
        budget.request(SERVICE, now)
        self.requests.append(now)
        for _ in range(REPEATS_MOST if fails else 0):
            if budget.take(SERVICE, self.known, now):
                self.repeats.append(now)

    def most_over(self):
        """Return by how much repeats exceed the bound in the worst window."""
        window = self.bounds.window
        ends = sorted(set(self.repeats))
        return max((self._over(end - window, end) for end in ends), default=0.0)

    def _over(self, start, end):
        window = self.bounds.window
        requests = max(
            self._count(self.requests, start - back, end - back)
            for back in (0.0, window / 2, window)
        )
        allowed = self.bounds.ratio * requests + self.bounds.extra
        return self._count(self.repeats, start, end) - allowed

    def play_moved(self, moves_at, failing):
        """Let callers reach the first half of the routers, then only the others.

        Parameters
        ----------
        moves_at : float
            Seconds from the first request until the other half is reached.
        failing : list of tuple
            Begin and end of each span, in the same seconds, in which requests fail.
        """
        budgets = self._start(0.0)
        half = self.routers // 2
        owed = 0.0
        for step in range(round((failing[-1][1] + 1.0) / STEP)):
            seconds = step * STEP
            reached = budgets[:half] if seconds < moves_at else budgets[half:]
            fails = any(begin <= seconds < end for begin, end in failing)
            owed += self.per_s * STEP
            for _ in range(int(owed)):
                for budget in reached:
                    self._take(budget, LEAD + seconds, fails)
            owed -= int(owed)

    def play_added(self, length, added, adds_at, fails_from):
        """Add routers among which the same callers spread; times as in `play`."""
        budgets = self._start(0.0)
        total = self.per_s * self.routers
        owed = 0.0
        for step in range(round(length / STEP)):
            seconds = step * STEP
            if step == round(adds_at / STEP):
                now = LEAD + seconds
                budgets += [RetryBudget(self.bounds, now) for _ in range(added)]
                self.known = len(budgets)
            owed += total / len(budgets) * STEP
            for _ in range(int(owed)):
                for budget in budgets:
                    self._take(budget, LEAD + seconds, seconds >= fails_from)
            owed -= int(owed)

    @staticmethod
    def _count(times, start, end):
        return sum(start < time <= end for time in times)
