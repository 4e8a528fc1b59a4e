"""Tests of `carawayfold.coordination.requests`."""
