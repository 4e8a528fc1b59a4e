"""Tests of `carawayfold.coordination.containment`."""
