"""Releases and isolated routers of the soak test."""

from __future__ import annotations

import asyncio
import contextlib
import random
from types import SimpleNamespace

import pytest

from benchmarks.soak import releases
from benchmarks.soak.isolation import Isolation
from benchmarks.soak.releases import Releases


class RecordingFaults:
    """Faults that record what they are asked for, without processes."""

    def __init__(self, software=""):
        self.rng = random.Random(1)
        self.software = software
        self.busy = set()
        self.calls = []
        self.fleet = SimpleNamespace(
            endpoints={"model-1": SimpleNamespace(port=1), "desk-1": None},
            services={"model-0": "model", "model-1": "model", "desk-1": "desk"},
            software={"model-0": "v1", "model-1": "v1", "desk-1": "v1"},
            routers={"router-0": None},
            isolate=lambda name: self.calls.append(("isolate", name)),
            reconnect=lambda name: self.calls.append(("reconnect", name)),
        )

    @contextlib.asynccontextmanager
    async def claimed(self, name):
        free = name not in self.busy
        self.busy |= {name}
        yield free
        if free:
            self.busy -= {name}

    @contextlib.contextmanager
    def disturbed(self, *names):
        yield

    unsound = disturbed

    def pick_router(self):
        return "router-0"

    def fault_duration(self):
        return 0.0

    async def start_endpoint(self, service, software):
        self.calls.append(("start", service, software))
        self.fleet.endpoints["model-2"] = SimpleNamespace(port=2)
        return "model-2"

    async def retire_endpoint(self, name):
        self.calls.append(("retire", name))


@pytest.fixture(autouse=True)
def posted(monkeypatch):
    """Record the faults that endpoints are told, and return them."""
    told = []

    async def post(port, path, value):
        told.append((port, value))

    monkeypatch.setattr(releases, "post_json", post)
    monkeypatch.setattr(releases, "BREAKING_DURATION", 0.0)
    return told


@pytest.mark.parametrize("software", ["", "v1"])
def test_a_release_replaces_model_endpoints_by_those_of_another_version(
    software, posted
):
    faults = RecordingFaults(software)
    asyncio.run(Releases(faults, None).release())
    assert faults.calls == [("start", "model", "v2"), ("retire", "model-1")]
    assert faults.software == ("v2" if software else "")
    assert posted == [(2, {"break_after": releases.BROKEN_AFTER}), (2, {})]
    assert not faults.busy


def test_a_router_is_isolated_only_while_it_has_no_other_fault():
    faults = RecordingFaults()
    faults.busy.add("store-of-router-0")
    asyncio.run(Isolation(faults).isolate())
    assert faults.calls == []
    assert faults.busy == {"store-of-router-0"}
    faults.busy.clear()
    asyncio.run(Isolation(faults).isolate())
    assert faults.calls == [("isolate", "router-0"), ("reconnect", "router-0")]
