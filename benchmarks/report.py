"""Output of benchmark figures, one per line."""

from __future__ import annotations


def figure(name: str, value: float, unit: str, baseline: str = "") -> None:
    """Print the name, value, unit and baseline of a figure."""
    suffix = f"  (baseline: {baseline})" if baseline else ""
    print(f"{name:<52} {value:>12.3f} {unit}{suffix}", flush=True)
