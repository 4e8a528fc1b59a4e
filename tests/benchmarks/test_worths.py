"""The table of worths tells what was played, on which code, and what was not."""

from __future__ import annotations

import json

from benchmarks.worths.plays import read_plays
from benchmarks.worths.table import rows_of, written


def write_entry(folder, number, head, worth, *, argv=(), **day):
    played = {"name": "trouble-1", "G": worth, "rules": {}, "gate": True} | day
    entry = {
        "id": str(number),
        "at": [f"2026-12-0{number}T10:00:00Z", ""],
        "argv": list(argv),
        "head": head,
        "site": "north",
        "days": [played],
    }
    (folder / f"2026120{number}-{number}.json").write_text(json.dumps(entry))


def rows(folder, current="new"):
    plays, unreadable = read_plays(folder, code=lambda commit: commit)
    return rows_of(plays, current), unreadable


def test_plays_of_one_code_count_together_and_beside_the_code_before(tmp_path):
    write_entry(tmp_path, 1, "old", 0.5)
    write_entry(tmp_path, 2, "new", 0.6)
    write_entry(tmp_path, 3, "new", 0.7)
    (row,), _ = rows(tmp_path)
    assert (round(row.newest.worth, 3), round(row.newest.spread, 3)) == (0.65, 0.1)
    assert round(row.difference, 3) == 0.15
    assert row.current


def test_a_day_that_broke_a_rule_or_was_given_up_counts_nothing(tmp_path):
    write_entry(tmp_path, 1, "new", 0.8, rules={"FAIR": 1}, gate=False)
    write_entry(tmp_path, 2, "new", 0.8, fault="too slow", gate=False)
    (row,), _ = rows(tmp_path)
    assert row.newest.worth == 0
    assert row.newest.gate == "0 of 2, FAIR given up"


def test_a_day_not_played_on_this_code_says_since_when(tmp_path):
    write_entry(tmp_path, 1, "old", 0.5)
    (row,), _ = rows(tmp_path)
    assert not row.current
    assert "not played since 2026-12-01" in written([row])


def test_uncharged_days_are_rows_of_their_own_and_other_seeds_or_sizes_none(tmp_path):
    write_entry(tmp_path, 1, "new", 0.5)
    write_entry(tmp_path, 2, "new", 0.9, argv=["--no-cpu"])
    write_entry(tmp_path, 3, "new", 0.9, argv=["--small"])
    write_entry(tmp_path, 4, "new", 0.9, name="trouble-1 --seed 7")
    write_entry(tmp_path, 5, "new", 0.9, argv=["--seed", "7"])
    found, _ = rows(tmp_path)
    assert [(row.day.charged, len(row.newest.plays)) for row in found] == [
        (False, 1),
        (True, 1),
    ]


def test_an_entry_that_cant_be_read_is_named(tmp_path):
    (tmp_path / "20261201-1.json").write_text("{")
    found, unreadable = rows(tmp_path)
    assert found == []
    assert unreadable[0].startswith("20261201-1.json")
