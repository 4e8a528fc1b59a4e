"""Tests of `carawayfold.coordination.slots`."""
