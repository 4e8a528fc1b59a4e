"""Detection of crashed endpoints by probes."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment.crash_reports import CrashReports, LostAttempt
from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.fleet.membership import Member, Membership
from carawayfold.state.contents import content_id
from carawayfold.transport.probes import ProbeResult
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate

CONTENT = content_id("alder", b"POST", b"/", b"body")


class SingleRouterFleet:
    """A fleet of one router, which is responsible for every content."""

    own = Member("r-0", "north", 1, 0.0)
    membership = Membership(own, lambda: 0.0, 1.0)

    def responsible(self, subject):
        return "r-0"


def probe_endpoint(reaches, byte_after=None, losses=1):
    """Probe an endpoint with the given results.

    Returns the crash reports, the endpoints lost and the number of probes.
    """

    async def work():
        loop = asyncio.get_running_loop()
        endpoint_activity = EndpointActivity()
        remaining = list(reaches)
        reports, lost, tasks = [], [], []

        async def probe(address):
            return remaining.pop(0)

        made = CrashReports(
            SingleRouterFleet(),
            endpoint_activity,
            probe,
            lambda message, sender: reports.append(message),
            lost.append,
            lambda work: tasks.append(loop.create_task(work)),
        )
        for _ in range(losses):
            made.note(LostAttempt(CONTENT, "alder", endpoint("e-1"), loop.time()))
        if byte_after is not None:
            loop.call_later(
                byte_after, lambda: endpoint_activity.record_bytes("e-1", loop.time())
            )
        await asyncio.gather(*tasks)
        return reports, lost, len(reaches) - len(remaining)

    return simulate(work)


def test_an_endpoint_that_refuses_connections_has_ended():
    reports, lost, probes = probe_endpoint([ProbeResult.REFUSED])
    assert [report.refused for report in reports] == [True]
    assert (lost, probes) == (["e-1"], 1)


@pytest.mark.parametrize("first", [ProbeResult.ACCEPTED, ProbeResult.SILENT])
def test_an_endpoint_whose_socket_closes_later_is_probed_again(first):
    reports, lost, probes = probe_endpoint([first, ProbeResult.REFUSED])
    assert [report.refused for report in reports] == [True]
    assert (lost, probes) == (["e-1"], 2)


def test_an_endpoint_that_sends_bytes_again_has_not_ended():
    reports, lost, _ = probe_endpoint([ProbeResult.ACCEPTED] * 4, byte_after=0.01)
    assert (reports, lost) == ([], [])


def test_an_undecided_probe_leaves_the_decision_to_the_registration():
    reports, lost, _ = probe_endpoint([ProbeResult.ACCEPTED] * 4)
    assert [report.refused for report in reports] == [False]
    assert lost == []


def test_one_probe_serves_all_lost_attempts():
    reports, _, probes = probe_endpoint([ProbeResult.REFUSED], losses=3)
    assert probes == 1
    assert len(reports) == 3
