"""The benchmark of deciding."""

from __future__ import annotations

from benchmarks.deciding import row


def test_each_job_takes_time():
    assert all(item > 0 for item in row(10, 30))
