"""Plays of standard days in the journal."""

from __future__ import annotations

import re
import subprocess
from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

#: Names of standard days; days with other seeds have longer names.
STANDARD_DAY = re.compile(r"(quiet|trouble|scale)-\d+")
#: Folder of the code that determines the results of a day.
PRODUCT = "carawayfold"
#: Options with which a standard day is not played as such.
OTHER_DAY = frozenset({"--small", "--seed", "--vary", "--until"})
#: Length of an abbreviated commit.
SHORT = 8


@dataclass(frozen=True, order=True)
class Day:
    """A standard day of a deployment, with processor time charged or not."""

    deployment: str
    name: str
    charged: bool


@dataclass(frozen=True)
class Play:
    """A play of a standard day.

    Attributes
    ----------
    at : str
        Start time, in the format of the journal.
    commit : str
        Commit that was checked out.
    code : str
        Digest of the product's code in that commit.
    clean : bool
        Whether there were no uncommitted changes.
    worth : float
        Worth of the day.
    rules : tuple of str
        Broken rules.
    fault : str
        Reason why the play was aborted; empty if it was not.
    gate : bool
        Whether the day passed the gate.
    """

    day: Day
    at: str
    commit: str
    code: str
    clean: bool
    worth: float
    rules: tuple[str, ...]
    fault: str
    gate: bool


class Entry(msgspec.Struct):
    """Fields of a journal entry that are used."""

    id: str
    at: list[str]
    argv: list[str]
    head: str = ""
    dirty: bool = False
    site: str | None = None
    days: list[dict[str, Any]] | None = None


@cache
def code_of(commit: str) -> str:
    """Return the digest of the product in a commit, or the commit if it is unknown."""
    command = ["git", "rev-parse", "--verify", "--quiet", f"{commit}:{PRODUCT}"]
    told = subprocess.run(command, capture_output=True, text=True, check=False)
    return told.stdout.strip() or commit


def read_plays(
    folder: Path, code: Callable[[str], str] = code_of
) -> tuple[list[Play], list[str]]:
    """Return the plays of all entries, the oldest first, and unreadable files."""
    plays: list[Play] = []
    unreadable: list[str] = []
    for path in sorted(folder.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=Entry)
        except msgspec.MsgspecError as error:
            unreadable.append(f"{path.name}: {error}")
            continue
        plays += _plays(entry, code)
    plays.sort(key=lambda play: play.at)
    return plays, unreadable


def _plays(entry: Entry, code: Callable[[str], str]) -> Iterator[Play]:
    if entry.site is None or OTHER_DAY & set(entry.argv):
        return
    charged = "--no-cpu" not in entry.argv
    for day in entry.days or []:
        whole = day.get("G") is not None and not day.get("small_twin")
        if not whole or not STANDARD_DAY.fullmatch(day["name"]):
            continue
        yield Play(
            Day(entry.site, day["name"], charged),
            entry.at[0],
            entry.head[:SHORT],
            code(entry.head),
            not entry.dirty,
            day["G"],
            tuple(day.get("rules") or ()),
            str(day.get("fault") or ""),
            bool(day.get("gate")),
        )
