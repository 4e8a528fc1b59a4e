"""Fleets of real processes for the integration tests."""

from __future__ import annotations

import pytest

from benchmarks.processes import Processes


@pytest.fixture
def processes():
    with Processes() as processes:
        yield processes
