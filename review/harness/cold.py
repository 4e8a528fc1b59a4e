"""Judges FAILBACK by the requests that reached cold workers."""

from __future__ import annotations

import json

from harness.routers import CannotRunError
from harness.worker import Worker

#: Figures of the sheet of shifted/altiplano-lidar-now-grown and its site file.
COLD_PER_S = 8.7
COLD_S = 3.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5


def judge(record: list[str], spans: list[tuple[Worker, float]], zero: float) -> int:
    """Return the exit code, and put a summary at the head of the record.

    Parameters
    ----------
    record : list of str
        Lines of the record.
    spans : list of tuple
        Cold workers and the monotonic seconds from which each was cold for `COLD_S`.
    zero : float
        Monotonic seconds from which times in the summary count.
    """
    allowed = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
    broken = False
    for worker, begin in spans:
        arrived = [x.at for x in worker.runs if begin <= x.at < begin + COLD_S]
        if not arrived:
            raise CannotRunError(f"no request reached {worker.name}")
        counts = [sum(at <= other < at + 1 for other in arrived) for at in arrived]
        summary = {
            "worker": worker.name,
            "cold from": round(begin - zero, 3),
            "requests while cold": len(arrived),
            "most within one second": max(counts),
            "from": round(arrived[counts.index(max(counts))] - zero, 3),
            "allowed": round(allowed, 2),
        }
        record.insert(0, json.dumps(summary))
        print(json.dumps(summary))
        broken |= max(counts) > allowed
    return int(broken)
