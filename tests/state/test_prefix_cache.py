"""Model of an engine's prefix cache."""

from __future__ import annotations

from carawayfold.protocol.exchanges import Part
from carawayfold.state.prefix_cache import PrefixCache


def parts(*names):
    return tuple(Part(name, 100) for name in names)


def test_a_part_counts_only_behind_all_parts_before_it():
    cache = PrefixCache(1000)
    cache.read(parts("a", "b"))
    assert cache.kept(parts("a", "b", "c")) == 200
    assert cache.kept(parts("x", "b")) == 0


def test_least_recently_used_part_is_evicted_first():
    cache = PrefixCache(300)
    cache.read(parts("a"))
    cache.read(parts("b"))
    cache.read(parts("a", "c"))
    cache.read(parts("d"))
    assert cache.kept(parts("a")) == 100
    assert cache.kept(parts("b")) == 0
    assert cache.tokens <= 300
