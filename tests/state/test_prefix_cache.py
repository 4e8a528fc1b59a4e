"""Model of an engine's prefix cache."""

from __future__ import annotations

from carawayfold.protocol.exchanges import Part
from carawayfold.state.prefix_cache import PrefixCache


def parts(*names):
    return tuple(Part(name, 100) for name in names)


def test_a_part_counts_only_behind_all_parts_before_it():
    kept = PrefixCache(1000)
    kept.read(parts("a", "b"))
    assert kept.kept(parts("a", "b", "c")) == 200
    assert kept.kept(parts("x", "b")) == 0


def test_least_recently_used_part_is_evicted_first():
    kept = PrefixCache(300)
    kept.read(parts("a"))
    kept.read(parts("b"))
    kept.read(parts("a", "c"))
    kept.read(parts("d"))
    assert kept.kept(parts("a")) == 100
    assert kept.kept(parts("b")) == 0
    assert kept.tokens <= 300
