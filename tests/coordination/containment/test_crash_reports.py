"""How a router finds out whether an endpoint has ended."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment.crash_reports import CrashReports, Loss
from carawayfold.coordination.containment.pulse import Pulse
from carawayfold.coordination.fleet.membership import Member, Membership
from carawayfold.state.contents import content_id
from carawayfold.transport.probes import Reach
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate

CONTENT = content_id("alder", b"POST", b"/", b"body")


class Alone:
    """A router that is the home of every content."""

    own = Member("r-0", "north", 1, 0.0)
    membership = Membership(own, lambda: 0.0, 1.0)

    def responsible(self, subject):
        return "r-0"


def look(reaches, heard_after=None, losses=1):
    """Return the reports on an endpoint whose looks end in `reaches`, and its loss."""

    async def work():
        loop = asyncio.get_running_loop()
        pulse = Pulse()
        left = list(reaches)
        reports, lost, tasks = [], [], []

        async def probe(address):
            return left.pop(0)

        made = CrashReports(
            Alone(),
            pulse,
            probe,
            lambda message, sender: reports.append(message),
            lost.append,
            lambda work: tasks.append(loop.create_task(work)),
        )
        for _ in range(losses):
            made.note(Loss(CONTENT, "alder", endpoint("e-1"), loop.time()))
        if heard_after is not None:
            loop.call_later(heard_after, lambda: pulse.beat("e-1", loop.time()))
        await asyncio.gather(*tasks)
        return reports, lost, len(reaches) - len(left)

    return simulate(work)


def test_an_endpoint_that_refuses_connections_has_ended():
    reports, lost, looks = look([Reach.REFUSED])
    assert [report.refused for report in reports] == [True]
    assert (lost, looks) == (["e-1"], 1)


@pytest.mark.parametrize("first", [Reach.ACCEPTED, Reach.SILENT])
def test_one_whose_socket_closes_later_is_looked_at_again(first):
    reports, lost, looks = look([first, Reach.REFUSED])
    assert [report.refused for report in reports] == [True]
    assert (lost, looks) == (["e-1"], 2)


def test_one_that_is_heard_again_lives():
    reports, lost, _ = look([Reach.ACCEPTED] * 4, heard_after=0.01)
    assert (reports, lost) == ([], [])


def test_what_can_not_be_told_is_left_to_the_registration():
    reports, lost, _ = look([Reach.ACCEPTED] * 4)
    assert [report.refused for report in reports] == [False]
    assert lost == []


def test_one_look_serves_all_that_was_there():
    reports, _, looks = look([Reach.REFUSED], losses=3)
    assert looks == 1
    assert len(reports) == 3
