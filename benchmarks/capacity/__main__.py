"""Measures all slopes, and writes the figures, plots and tables of the page."""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from benchmarks.capacity import inside, outside, page
from benchmarks.capacity.slopes import Slope
from benchmarks.report import figure

FOLDER = Path("docs/capacity")
SLOPES = FOLDER / "slopes.json"


def measure() -> list[Slope]:
    """Measure and save all slopes."""
    slopes = [*inside.measure(), *asyncio.run(outside.measure())]
    SLOPES.write_text(json.dumps([asdict(slope) for slope in slopes], indent=1))
    return slopes


def load() -> list[Slope]:
    """Return the slopes of the last measurement."""
    return [Slope(**entry) for entry in json.loads(SLOPES.read_text())]


def main(
    again: Annotated[bool, typer.Option(help="Only rewrite the page.")] = False,
) -> None:
    """Run the measurement."""
    slopes = load() if again else measure()
    for slope in slopes:
        rate, intercept = slope.line
        name = f"{slope.name} by {slope.size}"
        note = f"intercept {intercept:.4g}, fit {slope.fit:.3f}"
        figure(name, rate, slope.unit, note)
    page.write(slopes, FOLDER)


if __name__ == "__main__":
    typer.run(main)
