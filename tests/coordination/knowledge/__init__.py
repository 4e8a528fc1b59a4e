"""Tests of `carawayfold.coordination.knowledge`."""
