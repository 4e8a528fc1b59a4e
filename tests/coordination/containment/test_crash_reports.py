"""Detection of crashed endpoints by probes."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment.containment import REVIEW_INTERVAL
from carawayfold.coordination.containment.crash_reports import CrashReports, LostAttempt
from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.coordination.fleet.membership import Member, Membership
from carawayfold.state.contents import content_id
from carawayfold.transport.probes import ProbeResult
from tests.schedule_builders import endpoint
from tests.simulated_fleet import simulate

#: Seconds for which a router is observed after the probes.
OBSERVED_FOR = 20.0
CONTENT = content_id("alder", b"POST", b"/", b"body")


class SingleRouterFleet:
    """A fleet of one router, which is responsible for every content."""

    own = Member("r-0", "north", 1, 0.0)
    membership = Membership(own, lambda: 0.0, 1.0)

    def responsible(self, subject):
        return "r-0"


def probe_endpoint(
    reaches, byte_after=None, losses=1, silent=False, removed_after=None, leaving=False
):
    """Probe an endpoint with the given results, and remove it from the registrations.

    Returns the crash reports, the endpoints lost and the number of probes.
    """

    async def work():
        loop = asyncio.get_running_loop()
        endpoint_activity = EndpointActivity()
        remaining = list(reaches)
        reports, lost, tasks = [], [], []
        ended = endpoint("e-1", leaving=leaving)
        registrations = {"e-1": ended}

        async def probe(address):
            return remaining.pop(0)

        made = CrashReports(
            SingleRouterFleet(),
            endpoint_activity,
            probe,
            lambda message, sender: reports.append(message),
            lost.append,
            lambda work: tasks.append(loop.create_task(work)),
            registrations.get,
        )

        def remove():
            made.endpoint_removed(registrations.pop("e-1"))

        for _ in range(losses):
            loss = LostAttempt(CONTENT, "alder", ended, loop.time(), silent=silent)
            made.note(loss)
        if removed_after is not None:
            loop.call_later(removed_after, remove)
        if byte_after is not None:
            loop.call_later(
                byte_after, lambda: endpoint_activity.record_bytes("e-1", loop.time())
            )
        await asyncio.gather(*tasks)
        for _ in range(round(OBSERVED_FOR / REVIEW_INTERVAL)):
            await asyncio.sleep(REVIEW_INTERVAL)
            made.resend()
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


ACCEPTED = [ProbeResult.ACCEPTED] * 4
DARK = [ProbeResult.SILENT] * 4


def test_a_silent_endpoint_that_refuses_connections_has_ended():
    reports, lost, _ = probe_endpoint([ProbeResult.REFUSED], silent=True)
    assert [report.refused for report in reports] == [True]
    assert lost == ["e-1"]


@pytest.mark.parametrize("reaches", [ACCEPTED, DARK])
def test_a_silence_is_no_crash_while_the_endpoint_is_registered(reaches):
    assert probe_endpoint(reaches, silent=True) == ([], [], 4)


@pytest.mark.parametrize("reaches", [ACCEPTED, DARK])
@pytest.mark.parametrize("removed_after", [0.5, 3.0, 9.5])
def test_an_endpoint_that_is_removed_after_its_silence_has_ended(
    reaches, removed_after
):
    reports, _, _ = probe_endpoint(reaches, silent=True, removed_after=removed_after)
    assert [report.refused for report in reports] == [False]


@pytest.mark.parametrize("byte_after", [0.2, 2.5])
def test_an_endpoint_that_went_on_after_a_silence_has_not_ended(byte_after):
    reports, _, _ = probe_endpoint(
        ACCEPTED, byte_after=byte_after, silent=True, removed_after=3.0
    )
    assert reports == []


def test_an_endpoint_that_is_removed_long_after_a_silence_has_not_ended():
    reports, _, _ = probe_endpoint(ACCEPTED, silent=True, removed_after=11.0)
    assert reports == []


def test_a_silence_of_an_endpoint_that_announced_its_stop_is_no_crash():
    reports, _, _ = probe_endpoint(
        ACCEPTED, silent=True, removed_after=3.0, leaving=True
    )
    assert reports == []


def test_an_attempt_is_noted_once_during_a_silence():
    reports, _, _ = probe_endpoint(ACCEPTED, silent=True, losses=3, removed_after=3.0)
    assert len(reports) == 1


@pytest.mark.parametrize("removed_after", [0.5, 3.0])
def test_a_silent_endpoint_that_is_removed_as_announced_has_not_ended(removed_after):
    reports, lost, _ = probe_endpoint(
        ACCEPTED, silent=True, removed_after=removed_after, leaving=True
    )
    assert (reports, lost) == ([], [])
