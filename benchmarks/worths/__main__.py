"""Prints the worth of each standard day; see `table`."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path
from typing import Annotated

import matplotlib as mpl
import typer

mpl.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

from benchmarks.worths.plays import Play, code_of, read_plays  # noqa: E402
from benchmarks.worths.table import rows_of, written  # noqa: E402

TITLE = """# Worth of the standard days

Written by `python -m benchmarks.worths`; a day that broke a rule or was given up counts
0. A difference in bold is more than noise. A day whose newest play is of other code
than this one says so; one that is not listed was never played.

"""


def plot(plays: list[Play], path: Path) -> None:
    """Plot the charged worth of each day over time, one panel per deployment."""
    lines: dict[str, dict[str, list[Play]]] = {}
    for play in plays:
        if play.day.charged:
            days = lines.setdefault(play.day.deployment, {})
            days.setdefault(play.day.name, []).append(play)
    figure, axes = plt.subplots(
        len(lines), 1, figsize=(9, 2.4 * len(lines)), squeeze=False
    )
    for axis, (name, days) in zip(axes[:, 0], sorted(lines.items()), strict=True):
        for day, played in sorted(days.items()):
            times = [datetime.fromisoformat(play.at) for play in played]
            axis.plot(times, [play.worth for play in played], ".-", label=day)
        axis.set_title(name, fontsize=9)
        axis.tick_params(axis="x", labelsize=6)
        axis.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main(
    journal: Annotated[Path, typer.Option(help="Folder of the journal.")] = Path(
        "journal"
    ),
    page: Annotated[Path | None, typer.Option(help="Page to write.")] = None,
    picture: Annotated[Path | None, typer.Option(help="PNG to write.")] = None,
) -> None:
    """Print the newest worth of each standard day, or write it as a page."""
    plays, unreadable = read_plays(journal)
    table = written(rows_of(plays, code_of("HEAD")))
    left_out = "".join(f"\nNot read: {item}" for item in unreadable)
    if page is None:
        print(table + left_out)
    else:
        page.write_text(f"{TITLE}{table}\n{left_out}")
    if picture is not None:
        plot(plays, picture)


if __name__ == "__main__":
    typer.run(main)
