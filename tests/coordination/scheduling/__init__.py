"""Tests of `carawayfold.coordination.scheduling`."""
