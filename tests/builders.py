"""Builders of test data."""

from __future__ import annotations

from benchmarks.deployments import Deployment

#: A deployment small enough for a test.
SMALL = Deployment(
    "small",
    ("north", "south"),
    "survey",
    "desk",
    2,
    2,
    1,
    {"alder": 1.0, "birch": 1.0},
)
