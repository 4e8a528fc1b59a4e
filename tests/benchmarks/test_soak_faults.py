"""Faults of the soak test that overlap."""

from __future__ import annotations

import asyncio
import random
from http.client import RemoteDisconnected
from types import SimpleNamespace

from benchmarks.soak.callers import Account
from benchmarks.soak.faults import Faults


def test_an_endpoint_is_left_alone_until_it_is_registered():
    # An endpoint had started and waited for the store to be registered. Another fault
    # removed it meanwhile, and the run failed with KeyError('model-7').
    taken = []
    fleet = SimpleNamespace(endpoints={})
    faults = Faults(fleet, random.Random(1), None, None)

    def launch(name, service, **_):
        fleet.endpoints[name] = service
        taken.append(name in faults.busy)

    def register(name):
        taken.append(name in faults.busy)
        if len(taken) == 2:
            raise OSError("the store is away")

    fleet.launch_endpoint, fleet.register = launch, register
    asyncio.run(faults.start_endpoint("model"))
    assert taken == [True, True, True]
    assert not faults.busy


def test_the_records_of_an_endpoint_that_crashes_as_it_is_asked_are_collected():
    # A harmful request ended an endpoint that was being removed, and the run failed
    # with RemoteDisconnected.
    ended = []
    popen = SimpleNamespace(wait=ended.append)
    record = {"id": "q-1", "at": 1.0, "ended_at": 2.0}

    def ran(name):
        if not ended:
            raise RemoteDisconnected
        return [record]

    fleet = SimpleNamespace(
        endpoints={"model-1": SimpleNamespace(popen=popen)},
        services={"model-1": "model"},
        ran=ran,
    )
    account = Account()
    asyncio.run(Faults(fleet, random.Random(1), account, None).collect("model-1"))
    assert [item.request for item in account.arrivals] == ["q-1"]
