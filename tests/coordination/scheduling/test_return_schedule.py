"""The schedule of returns: retry delays, recognition of returns, bounds."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling import return_schedule
from carawayfold.coordination.scheduling.offers import Standing
from carawayfold.coordination.scheduling.rejections import (
    MAX_RETRY_AFTER,
    MAX_RETRY_FRACTION,
    MIN_RETRY_AFTER,
)
from carawayfold.coordination.scheduling.return_schedule import (
    BUCKET_DURATION,
    BUCKETS,
    EARLY_TOLERANCE,
    MAX_PROMISES,
    PROMISE_DURATION,
    Access,
    ReturnSchedule,
    cost_of,
)
from tests.schedule_builders import offer

#: Cost of the requests of these tests, in tokens.
COST = cost_of(offer())


def schedule(capacity=100, demand=0, now=10.0):
    """Return a schedule of a pool that is full at `now`.

    Parameters
    ----------
    capacity, demand : float
        Requests per second that are granted and offered.
    """
    made = ReturnSchedule()
    steps = range(1000)
    for step in steps:
        at = now - 5.0 + step * 0.005
        made.grants.add(capacity * COST * 0.005, at)
        made.within.add(demand * COST * 0.005, at)
    made.observe_capacity(0.0, now)
    return made


def promise(made, now, number=1, wait=0.0, access=Access.WITHIN_SHARE, **fields):
    """Offer a request and reject it; return it and its retry delay."""
    item = offer(f"r.0.{number}", own=number, now=now, **fields)
    made.offered(item, within_share=True, now=now)
    return item, made.promise(item, wait, access, now)


def returned(made, item, now, number=1000, later=0.0):
    """Offer a rejected request again; return the offer.

    `later` seconds are added to its deadline.
    """
    again = offer(
        f"r.0.{number}",
        now=now,
        prompt=item.prompt,
        due=now + 1.0,
        expires=item.expires + later,
        organisation=item.organisation,
    )
    made.offered(again, within_share=True, now=now)
    return again


def test_a_pool_with_room_tells_the_minimum_delay_or_the_predicted_wait():
    assert promise(schedule(), 10.0)[1] < MIN_RETRY_AFTER + 2 * BUCKET_DURATION
    delay = promise(schedule(), 10.0, wait=1.2)[1]
    assert 1.2 - 1e-9 <= delay < 1.2 + 2 * BUCKET_DURATION


def test_returns_are_spread_over_the_room_that_is_expected():
    made = schedule(capacity=100, demand=50)
    delays = [promise(made, 10.0, number)[1] for number in range(100)]
    # Four fifths of 50 requests per second, of which these callers' own are a part.
    per_bucket = [
        sum(begin <= item < begin + 0.5 for item in delays)
        for begin in (0.5, 1.0, 1.5, 2.0)
    ]
    assert max(per_bucket) <= 25
    assert max(delays) > 2.0


def test_a_burst_is_expected_to_end():
    quiet, bursting = schedule(demand=20), schedule(demand=20)
    for step in range(100):
        bursting.within.add(2 * COST, 10.0 + step * 0.01)
    assert promise(quiet, 11.0)[1] < 0.6
    assert 0.6 < promise(bursting, 11.0)[1] < 10 * MAX_RETRY_FRACTION


@pytest.mark.parametrize("left", [0.3, 1.0, 3.0, 9.0, 60.0])
def test_no_delay_exceeds_a_third_of_the_time_left(left):
    made = schedule(capacity=10, demand=100)
    for number in range(300):
        fields = {"expires": 10.0 + left}
        delay = promise(made, 10.0, number, wait=7.0, **fields)[1]
        longest = max(MIN_RETRY_AFTER, left * MAX_RETRY_FRACTION)
        assert MIN_RETRY_AFTER <= delay <= min(longest, MAX_RETRY_AFTER) + 1e-9


def test_returns_without_expected_room_are_spread_over_the_last_permitted_times():
    made = schedule(capacity=10, demand=100)
    delays = [promise(made, 10.0, number)[1] for number in range(100)]
    longest = 10.0 * MAX_RETRY_FRACTION
    assert min(delays) > longest / 2
    assert max(delays) - min(delays) > 0.8 * longest / 3


def test_behind_and_urgent_requests_return_before_those_beyond_a_share():
    made = schedule(capacity=100, demand=50)
    for number in range(60):
        promise(made, 10.0, number)
    delays = [
        promise(made, 10.0, 100 + number, access=access)[1]
        for number, access in enumerate(Access)
    ]
    assert delays == sorted(delays)
    assert delays[2] > delays[0] + BUCKET_DURATION


def test_a_return_is_recognised_and_its_answer_is_due_when_it_first_was():
    made = schedule()
    item, delay = promise(made, 10.0)
    again = returned(made, item, 10.0 + delay)
    assert again.standing is Standing.RETURNED
    assert again.due == item.due


def test_a_return_adds_nothing_to_the_new_demand():
    made = schedule()
    item, delay = promise(made, 10.0)
    before = made.within.mean.total
    returned(made, item, 10.0 + delay)
    assert made.within.mean.total <= before


def test_a_caller_that_returns_early_is_told_the_same_time_again():
    made = schedule(capacity=10, demand=100)
    item, delay = promise(made, 10.0)
    booked = sum(made.booked)
    for attempt in range(5):
        now = 10.05 + attempt * 0.05
        again = returned(made, item, now, number=50 + attempt)
        assert again.standing is Standing.EARLY
        told = made.promise(again, 0.0, Access.FIRST, now)
        assert told == pytest.approx(10.0 + delay - now)
    assert sum(made.booked) == booked
    assert returned(made, item, 10.0 + delay).standing is Standing.RETURNED


def test_an_early_caller_does_not_delay_others():
    def delay_of_another(abuses):
        made = schedule(capacity=100, demand=50)
        item, _ = promise(made, 10.0)
        for attempt in range(abuses):
            now = 10.01 + attempt * 0.005
            again = returned(made, item, now, number=50 + attempt)
            made.promise(again, 0.0, Access.FIRST, now)
        return promise(made, 10.3, number=2)[1]

    assert delay_of_another(abuses=50) == pytest.approx(delay_of_another(abuses=0))


@pytest.mark.parametrize(
    ("later", "standing"),
    [(0.0, "returned"), (0.05, "returned"), (0.25, "new"), (1.0, "new"), (5.0, "new")],
)
def test_a_return_of_which_the_scheduler_hears_late_is_a_new_request(later, standing):
    made = schedule()
    item, delay = promise(made, 10.0)
    again = returned(made, item, 10.0 + delay + later, later=later)
    assert again.standing is Standing(standing)


def test_other_contents_or_organisations_are_new_requests():
    made = schedule()
    item, delay = promise(made, 10.0)
    other = offer("r.0.7", now=10.0 + delay, own=5, expires=item.expires)
    made.offered(other, within_share=True, now=10.0 + delay)
    assert other.standing is Standing.NEW
    item.organisation = "birch"
    assert returned(made, item, 10.0 + delay).standing is Standing.NEW


@pytest.mark.parametrize(
    ("waited", "standing"), [(0.0, "new"), (0.05, "new"), (0.5, "returned")]
)
def test_requests_without_a_prompt_return_only_if_their_objective_is_shorter(
    waited, standing
):
    """Another request of the route may have the same deadline.

    Its objective may be a little shorter, as its router took time to read it.
    """
    made = schedule()
    fields = {"prompt": (), "prompt_tokens": 0, "output_tokens": 0}
    item, _ = promise(made, 10.0, **fields)
    now = 10.0 + 0.5
    again = offer("r.0.2", now=now, **fields)
    again.due, again.expires = now + 1.0 - waited, item.expires
    made.offered(again, within_share=True, now=now)
    assert again.standing is Standing(standing)


def test_promises_of_callers_that_left_count_less():
    made = schedule(capacity=100, demand=50)
    for number in range(200):
        promise(made, 10.0, number)
    now = 10.0 + PROMISE_DURATION + 0.1
    returned(made, offer("r.0.999", now=now), now)
    assert not made.promises
    assert made.counts.lost == 200
    assert made.return_ratio == return_schedule.MIN_RETURN_RATIO


def test_memory_is_bounded():
    made = schedule()
    for number in range(MAX_PROMISES + 500):
        promise(made, 10.0 + number * 0.001, number)
    assert len(made.promises) == MAX_PROMISES
    assert len(made.booked) == BUCKETS


def test_passed_buckets_are_cleared():
    made = schedule(capacity=10, demand=100)
    for number in range(100):
        promise(made, 10.0, number)
    assert made.take_summary(10.0)["returns_expected"] > 0
    assert made.take_summary(10.0 + MAX_RETRY_AFTER + 0.3)["returns_expected"] == 0


def test_a_schedule_without_observations_uses_the_configured_throughput():
    made = ReturnSchedule()
    made.observe_capacity(100 * COST, 1.0)
    delay = made.promise(offer(now=1.0), 0.0, Access.WITHIN_SHARE, 1.0)
    assert delay < MIN_RETRY_AFTER + 2 * BUCKET_DURATION


def test_a_schedule_that_knows_no_capacity_spreads_returns_around_the_wait():
    made = ReturnSchedule()
    delays = [promise(made, 1.0, number, wait=2.0)[1] for number in range(50)]
    assert 1.5 <= min(delays) < 1.7
    assert 2.3 < max(delays) <= 2.5


@pytest.mark.parametrize("prompt", ["same", "none"])
def test_requests_that_look_alike_may_all_return_when_they_were_told(prompt):
    """A caller may send one request several times; others have no prompt."""
    made = schedule(capacity=10, demand=100)
    fields = {} if prompt == "same" else {"prompt": (), "prompt_tokens": 0}
    items = [
        offer(f"r.0.{number}", now=10.0, **{"prompt": offer().prompt, **fields})
        for number in range(5)
    ]
    for item in items:
        made.offered(item, within_share=True, now=10.0)
    delays = [made.promise(item, 0.0, Access.WITHIN_SHARE, 10.0) for item in items]
    assert max(delays) > min(delays) + EARLY_TOLERANCE
    for number, (delay, item) in enumerate(zip(sorted(delays), items, strict=True)):
        again = offer(f"r.1.{number}", now=10.0 + delay, prompt=item.prompt)
        again.due, again.expires = item.due, item.expires
        made.offered(again, within_share=True, now=10.0 + delay)
        assert again.standing is Standing.RETURNED
    assert not made.promises
    assert made.counts.returned == len(items)


def test_requests_that_look_alike_are_counted_when_their_promise_ends():
    made = schedule()
    for _ in range(3):
        item = offer(now=10.0)
        made.promise(item, 0.0, Access.WITHIN_SHARE, 10.0)
    now = 10.0 + PROMISE_DURATION + 0.1
    made.offered(offer("r.0.2", now=now), within_share=True, now=now)
    assert made.counts.lost == 3


def test_a_time_within_the_tolerance_is_not_early():
    made = schedule()
    item, delay = promise(made, 10.0)
    now = 10.0 + delay - EARLY_TOLERANCE / 2
    assert returned(made, item, now).standing is Standing.RETURNED
