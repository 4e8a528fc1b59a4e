"""Imports go one way, those for type checkers included.

Modules that name each other only for type checkers still can't be read one without the
other. The circles listed are older than this test; the list may only get shorter.
"""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

import pytest

import carawayfold

ROOT = Path(carawayfold.__file__).parent
#: Jobs of `carawayfold.coordination` in the order in which they may import: each one
#: only what stands before it.
JOBS = ("fleet", "knowledge", "containment", "scheduling", "slots", "requests")
#: Folders that may import from `coordination`: none of them.
BELOW = ("state", "protocol", "platform")
#: Modules that still import each other.
CIRCLES = {
    frozenset({"fleet.fleet", "fleet.heartbeat_recipients", "fleet.hub_lists"}),
    frozenset({"requests.attempts", "requests.forwarding"}),
    frozenset({"slots.exchange", "slots.link_fleet"}),
    frozenset({"requests.calls", "requests.at_most_once"}),
}


def modules():
    """Return the source of each module of the package by its name."""
    found = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        found[".".join(parts).removesuffix(".__init__")] = path.read_text()
    return found


def imports():
    """Return the modules that each module names."""
    known = modules()
    found = defaultdict(set)
    for name, source in known.items():
        for node in ast.walk(ast.parse(source)):
            if not isinstance(node, ast.ImportFrom) or not node.module:
                continue
            for alias in node.names:
                whole = f"{node.module}.{alias.name}"
                target = whole if whole in known else node.module
                if target in known and target != name:
                    found[name].add(target)
    return found


def reached(graph, start):
    """Return every module that `start` names, by way of others too."""
    seen, left = set(), [start]
    while left:
        for target in graph.get(left.pop(), ()):
            if target not in seen:
                seen.add(target)
                left.append(target)
    return seen


def job_of(name):
    parts = name.split(".")
    inside = len(parts) > 3 and parts[1] == "coordination"
    return parts[2] if inside else None


def test_each_job_imports_only_those_before_it():
    wrong = [
        (name, target)
        for name, targets in imports().items()
        for target in targets
        if job_of(name) and job_of(target)
        if JOBS.index(job_of(target)) > JOBS.index(job_of(name))
    ]
    assert wrong == []


@pytest.mark.parametrize("folder", BELOW)
def test_what_lies_below_does_not_import_coordination(folder):
    wrong = [
        (name, target)
        for name, targets in imports().items()
        for target in targets
        if name.startswith(f"carawayfold.{folder}.")
        if target.startswith("carawayfold.coordination")
    ]
    assert wrong == []


def test_no_new_circle():
    graph = imports()
    circles = set()
    for name in graph:
        if not name.startswith("carawayfold.coordination."):
            continue
        around = {
            other for other in reached(graph, name) if name in reached(graph, other)
        }
        inside = {other for other in around if job_of(other)}
        if len(inside) > 1:
            prefix = "carawayfold.coordination."
            circles.add(frozenset(item.removeprefix(prefix) for item in inside))
    assert circles == CIRCLES
