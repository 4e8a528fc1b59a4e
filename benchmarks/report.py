"""One line a figure: name, value, unit, and the baseline of the same run."""

from __future__ import annotations


def figure(name: str, value: float, unit: str, baseline: str = "") -> None:
    """Print one figure."""
    suffix = f"  (baseline: {baseline})" if baseline else ""
    print(f"{name:<52} {value:>12.3f} {unit}{suffix}", flush=True)
