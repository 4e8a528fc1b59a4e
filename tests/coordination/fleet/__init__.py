"""Tests of `carawayfold.coordination.fleet`."""
