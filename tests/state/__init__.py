"""Tests of state."""
