"""Log lines on the scheduling decisions of a router."""

from __future__ import annotations

import asyncio

import logbook

from carawayfold.coordination.scheduling import decision_statistics
from carawayfold.coordination.scheduling.decision_statistics import SchedulingStatistics
from carawayfold.coordination.scheduling.offers import PoolLoad
from carawayfold.state.usage import UsageTable


def test_a_log_line_names_the_organisations_that_requested_most():
    async def work():
        made = SchedulingStatistics()
        statistics = made.of("model/0")
        statistics.offers, statistics.repeated = 3, 2
        account = UsageTable(4.0)
        for number in range(decision_statistics.MAX_NAMED_ORGANISATIONS + 1):
            account.asked(f"o-{number}", 0.0, 100 * number)
        account.granted("o-2", 0.0, 50)
        details = {"model/0": {"waits": 4}}
        made.write({"model/0": account}, {"model/0"}, details)
        made.write({"model/0": account}, {"model/0"}, details)

    with logbook.TestHandler() as handler:
        asyncio.run(work())
    (line,) = handler.records
    assert line.message == "pool decided"
    assert line.extra["leads"]
    assert (line.extra["offers"], line.extra["again"]) == (3, 2)
    wanted = [["o-3", 300, 0], ["o-2", 200, 50], ["o-1", 100, 0]]
    assert line.extra["organisations"] == wanted
    assert line.extra["waits"] == 4


def test_offers_for_unknown_pools_are_logged_once():
    async def work():
        made = SchedulingStatistics()
        made.unknown_pool_offers = 3
        made.write({}, set())
        made.write({}, set())

    with logbook.TestHandler() as handler:
        asyncio.run(work())
    (line,) = handler.records
    assert line.message == "offered unknown pools"
    assert line.extra["offers"] == 3


def test_a_log_line_states_the_load_of_a_pool_and_the_requests_moved_to_it():
    async def work():
        made = SchedulingStatistics()
        statistics = made.of("model/0")
        statistics.moved_first, statistics.moved_later = 3, 2
        statistics.load = PoolLoad(0.0214, 0.75)
        made.of("model/1").offers = 1
        made.write({"model/0": UsageTable(4.0), "model/1": UsageTable(4.0)}, set())

    with logbook.TestHandler() as handler:
        asyncio.run(work())
    known, unknown = (line.extra for line in handler.records)
    assert (known["moved_first"], known["moved_later"]) == (3, 2)
    assert (known["wait_ms"], known["used"]) == (21, 0.75)
    assert (unknown["wait_ms"], unknown["used"]) == (None, None)
