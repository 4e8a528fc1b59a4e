"""Tests of the benchmarks' own tools."""
