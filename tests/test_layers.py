"""Direction of imports between subpackages, imports for type checkers included.

Modules that import each other only for type checkers can't be understood separately
either. The import cycles listed here are older than this test; the list may only get
shorter.
"""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

import pytest

import carawayfold

ROOT = Path(carawayfold.__file__).parent
#: Subpackages of `carawayfold.coordination`; each may import only those before it.
SUBPACKAGES = ("fleet", "knowledge", "containment", "scheduling", "slots", "requests")
#: Packages that must not import from `coordination`.
LOWER_LAYERS = ("state", "protocol", "platform")
#: Import cycles that still exist.
KNOWN_CYCLES = {
    frozenset({"fleet.fleet", "fleet.heartbeat_recipients", "fleet.hub_lists"}),
    frozenset({"requests.attempts", "requests.forwarding"}),
    frozenset({"slots.exchange", "slots.link_fleet"}),
    frozenset({"requests.calls", "requests.at_most_once"}),
}


def modules():
    """Return the source of each module of the package by module name."""
    found = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        found[".".join(parts).removesuffix(".__init__")] = path.read_text()
    return found


def imports():
    """Return the modules that each module imports."""
    known = modules()
    found = defaultdict(set)
    for name, source in known.items():
        for node in ast.walk(ast.parse(source)):
            if not isinstance(node, ast.ImportFrom) or not node.module:
                continue
            for alias in node.names:
                full_name = f"{node.module}.{alias.name}"
                target = full_name if full_name in known else node.module
                if target in known and target != name:
                    found[name].add(target)
    return found


def reachable_from(graph, start):
    """Return every module that `start` imports, directly or indirectly."""
    seen, pending = set(), [start]
    while pending:
        for target in graph.get(pending.pop(), ()):
            if target not in seen:
                seen.add(target)
                pending.append(target)
    return seen


def subpackage_of(name):
    parts = name.split(".")
    inside = len(parts) > 3 and parts[1] == "coordination"
    return parts[2] if inside else None


def test_each_subpackage_imports_only_those_before_it():
    violations = [
        (name, target)
        for name, targets in imports().items()
        for target in targets
        if subpackage_of(name) and subpackage_of(target)
        if SUBPACKAGES.index(subpackage_of(target))
        > SUBPACKAGES.index(subpackage_of(name))
    ]
    assert violations == []


@pytest.mark.parametrize("folder", LOWER_LAYERS)
def test_lower_layers_do_not_import_coordination(folder):
    violations = [
        (name, target)
        for name, targets in imports().items()
        for target in targets
        if name.startswith(f"carawayfold.{folder}.")
        if target.startswith("carawayfold.coordination")
    ]
    assert violations == []


def test_no_new_import_cycle():
    graph = imports()
    cycles = set()
    for name in graph:
        if not name.startswith("carawayfold.coordination."):
            continue
        cycle = {
            other
            for other in reachable_from(graph, name)
            if name in reachable_from(graph, other)
        }
        inside = {other for other in cycle if subpackage_of(other)}
        if len(inside) > 1:
            prefix = "carawayfold.coordination."
            cycles.add(frozenset(item.removeprefix(prefix) for item in inside))
    assert cycles == KNOWN_CYCLES
