"""Fleets of real processes for the integration tests."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.fleet import Fleet, start_deployment
from benchmarks.processes import Processes
from tests.builders import SMALL


@pytest.fixture
def processes():
    with Processes() as processes:
        yield processes


@pytest.fixture
def small_fleet(processes):
    """Start a fleet of two routers in two data centres."""
    fleet = Fleet(processes)
    asyncio.run(start_deployment(fleet, SMALL))
    return fleet


@pytest.fixture(scope="module")
def shared_fleet():
    """Start the same fleet once for all tests of a module that leave it unchanged."""
    with Processes() as processes:
        fleet = Fleet(processes)
        asyncio.run(start_deployment(fleet, SMALL))
        yield fleet
