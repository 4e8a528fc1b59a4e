"""Table of the newest worth of each standard day and the one before."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.worths.plays import Day, Play

#: Smallest difference of worth that is more than noise.
NOISE = 0.03
HEAD = (
    "| deployment | day | processor time | worth | plays, spread | code, played | "
    "before | difference | gate | on this code |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


@dataclass(frozen=True)
class Measured:
    """Consecutive plays of a day with the same code."""

    plays: tuple[Play, ...]

    @property
    def worth(self) -> float:
        """Return the mean worth; a play that was aborted or broke a rule counts 0."""
        counted = [0.0 if x.rules or x.fault else x.worth for x in self.plays]
        return sum(counted) / len(counted)

    @property
    def spread(self) -> float:
        """Return the difference between the best and the worst play."""
        worths = [play.worth for play in self.plays]
        return max(worths) - min(worths)

    @property
    def gate(self) -> str:
        """Return how many plays passed the gate, and the broken rules."""
        broken = sorted({rule for play in self.plays for rule in play.rules})
        if any(play.fault for play in self.plays):
            broken.append("given up")
        passed = sum(play.gate for play in self.plays)
        text = f"{passed} of {len(self.plays)}"
        return f"{text}, {' '.join(broken)}" if broken else text


@dataclass(frozen=True)
class Row:
    """Results of one day.

    Attributes
    ----------
    before : Measured or None
        Plays with the previous code.
    current : bool
        Whether the newest plays are of the current code.
    """

    day: Day
    newest: Measured
    before: Measured | None
    current: bool

    @property
    def difference(self) -> float | None:
        """Return the difference to the previous worth, None if there is none."""
        if self.before is None:
            return None
        return self.newest.worth - self.before.worth


def rows_of(plays: Iterable[Play], current: str) -> list[Row]:
    """Return a row for each day that has been played.

    Parameters
    ----------
    plays : iterable of Play
        Plays, the oldest first.
    current : str
        Digest of the current code.
    """
    rows = []
    for day, played in groupby(sorted(plays, key=_by_day), key=lambda play: play.day):
        series = [
            Measured(tuple(same)) for _, same in groupby(played, key=lambda x: x.code)
        ]
        newest = series[-1]
        before = series[-2] if len(series) > 1 else None
        last = newest.plays[-1]
        rows.append(Row(day, newest, before, last.clean and last.code == current))
    return rows


def _by_day(play: Play) -> tuple[Day, str]:
    return play.day, play.at


def written(rows: Iterable[Row]) -> str:
    """Return the rows as a Markdown table."""
    return "\n".join([HEAD, *(_line(row) for row in rows)])


def _line(row: Row) -> str:
    last = row.newest.plays[-1]
    before, difference = "none", ""
    if row.before is not None:
        before = f"{row.before.worth:.3f} ({row.before.plays[-1].commit})"
        difference = f"{row.difference:+.3f}"
        if abs(row.difference) >= NOISE:
            difference = f"**{difference}**"
    cells = [
        row.day.deployment,
        row.day.name,
        "charged" if row.day.charged else "not charged",
        f"{row.newest.worth:.3f}",
        f"{len(row.newest.plays)}, {row.newest.spread:.3f}",
        f"{last.commit}{'' if last.clean else ' and changes'}, {last.at[:16]}",
        before,
        difference,
        row.newest.gate,
        "yes" if row.current else f"not played since {last.at[:10]}",
    ]
    return f"| {' | '.join(cells)} |"
