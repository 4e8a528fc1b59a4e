"""Silent endpoints of the soak test."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from benchmarks.soak import misbehaviour
from benchmarks.soak.callers import Account
from benchmarks.soak.faults import Faults
from benchmarks.soak.misbehaviour import SILENCE_DURATION, Misbehaviour


@pytest.fixture
def played(monkeypatch):
    """Return a rig of three endpoints, and the faults that were set."""
    sent = []

    async def post_json(port, path, value):
        sent.append((port, value))

    monkeypatch.setattr(misbehaviour, "post_json", post_json)
    endpoints = {
        f"desk-{port}": SimpleNamespace(port=port, popen=SimpleNamespace(poll=poll))
        for port, poll in ((1, lambda: None), (2, lambda: None), (3, lambda: 70))
    }
    fleet = SimpleNamespace(endpoints=endpoints)
    faults = Faults(fleet, random.Random(1), Account(), None)
    return Misbehaviour(faults), sent


def test_all_endpoints_without_another_fault_are_silent_and_sound(played):
    rig, sent = played
    rig.faults.busy.add("desk-2")
    asyncio.run(rig.silence_all())
    assert [port for port, _ in sent] == [1, 3]
    least, most = SILENCE_DURATION
    assert all(least <= value["quiet"] <= most for _, value in sent)
    assert rig.faults.busy == {"desk-2"}
    assert not rig.faults.account.unsound.spans


def test_an_endpoint_that_crashes_while_it_is_silent_is_free_at_once(played):
    rig, _ = played
    start = time.time()
    asyncio.run(rig._silence("desk-3"))
    assert time.time() - start < SILENCE_DURATION[0]
